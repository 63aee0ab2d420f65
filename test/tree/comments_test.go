package tree_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/test/tree"
)

// allowedResultComments is the number of comments in each file that may state results. Numbers may
// only decrease: the test also fails if one is higher than needed.
var allowedResultComments = map[string]int{
	"pkg/emulator/emulator_test.go":          2,
	"pkg/emulator/contact_test.go":           2,
	"pkg/process/poisontask/poisontask.go":   1,
	"pkg/process/cell/isolated_runs_test.go": 1,
}

func TestCommentsStateNoResults(t *testing.T) {
	t.Parallel()
	found, err := tree.ResultComments(root)
	must.NoError(t, err)
	byFile := map[string][]tree.Finding{}
	for _, f := range found {
		byFile[f.File] = append(byFile[f.File], f)
	}
	for file, list := range byFile {
		if len(list) <= allowedResultComments[file] {
			continue
		}
		for _, f := range list {
			t.Errorf("%s:%d: %s: %s", f.File, f.Line, f.What, f.Remedy)
		}
	}
	for file, n := range allowedResultComments {
		if left := len(byFile[file]); left < n {
			t.Errorf("%s: %d comments state results: lower the allowed number from %d", file, left, n)
		}
	}
}

func TestResultCommentsAreFoundWithTheirLine(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		text string
		line int // 0: nothing is found
	}{
		{"// Short tasks earn four times as much there\n// (0.008 against 0.002).", 4},
		{"// Such tasks were seen to need 10 to 300 ms.", 3},
		{"// It is kept.\n//\n// Measured: 65 ms in the mean.", 5},
		{"// An answer takes 65 ms, measured at hosts.", 3},
		{"/* Broke on 3 of 400 days. */", 3},
		{"// Found by a hunt: a cell started nothing.", 3},
		{"// (Tried before: least squares.)", 3},
		{"// See seed 1494.", 3},
		{"// The first number that was seen.", 0},
		{"// Returns 404 where the host is unknown. Nothing is held against it.", 0},
		{"// Waits 250 ms for an answer.", 0},
		{"//go:generate tried 25\n", 0},
	} {
		dir := writeTree(t, map[string]string{"pkg/a/a.go": "package a\n\n" + c.text + "\nvar A = 1\n"})
		found, err := tree.ResultComments(dir)
		must.NoError(t, err)
		if c.line == 0 {
			must.Len(t, 0, found, must.Sprint(c.text))
			continue
		}
		must.Len(t, 1, found, must.Sprint(c.text))
		must.Eq(t, c.line, found[0].Line, must.Sprint(c.text))
	}
}
