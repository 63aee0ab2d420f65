package tree_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/test/tree"
)

// allowedLongHeads are the files whose package comments may be too long. The test fails if one is
// short, so that the entry is removed.
var allowedLongHeads = map[string]bool{
	"pkg/process/poisontask/poisontask.go": true,
	"pkg/process/cell/state.go":            true,
}

func TestPackageHeadsAreShort(t *testing.T) {
	t.Parallel()
	found, err := tree.LongHeads(root)
	must.NoError(t, err)
	seen := map[string]bool{}
	for _, f := range found {
		seen[f.File] = true
		if !allowedLongHeads[f.File] {
			t.Errorf("%s:%d: %s: %s", f.File, f.Line, f.What, f.Remedy)
		}
	}
	for file := range allowedLongHeads {
		if !seen[file] {
			t.Errorf("%s: its package comment is short or missing: remove it from allowedLongHeads", file)
		}
	}
}

func TestLongHeadIsFound(t *testing.T) {
	t.Parallel()
	dir := writeTree(t, map[string]string{
		"pkg/a/a.go": strings.Repeat("// A line.\n", 11) + "package a\n",
		"pkg/b/b.go": strings.Repeat("// A line.\n", 10) + "package b\n",
		"pkg/c/c.go": strings.Repeat("// A line.\n", 11) + "\npackage c\n", // not a package comment, since a blank line follows
	})
	found, err := tree.LongHeads(dir)
	must.NoError(t, err)
	must.Len(t, 1, found)
	must.Eq(t, "pkg/a/a.go", found[0].File)
}
