package tree_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/test/tree"
)

const root = "../.."

// allowedUpwardImports are the accepted upward imports, each with its reason. The test fails if one no
// longer exists, so that the entry is removed.
var allowedUpwardImports = map[string]string{
	"platform/platform_test.go -> pkg/serve": "the adapter is tested beneath the whole program, which pkg/serve puts together",
}

func TestNoImportPointsUpwards(t *testing.T) {
	t.Parallel()
	found, err := tree.UpwardImports(root)
	must.NoError(t, err)
	seen := map[string]bool{}
	for _, f := range found {
		seen[f.What] = true
		if allowedUpwardImports[f.What] == "" {
			t.Errorf("%s:%d: %s: %s", f.File, f.Line, f.What, f.Remedy)
		}
	}
	for edge := range allowedUpwardImports {
		if !seen[edge] {
			t.Errorf("%s no longer exists: remove it from allowedUpwardImports", edge)
		}
	}
}

func TestUpwardImportsAndUnknownFoldersAreFound(t *testing.T) {
	t.Parallel()
	dir := writeTree(t, map[string]string{
		"pkg/request/a/a.go":    "package a\n\nimport (\n\t\"fmt\"\n\n\t\"github.com/wrenferry/wrenferry/pkg/process/b\"\n)\n",
		"pkg/process/b/b.go":    "package b\n\nimport \"github.com/wrenferry/wrenferry/pkg/request/a\"\n",
		"pkg/connection/c/c.go": "package c\n\nimport \"github.com/wrenferry/wrenferry/pkg/version/d\"\n",
		"pkg/novel/e.go":        "package novel\n",
		"pkg/wire/w.pb.go":      "package wire\n\nimport \"github.com/wrenferry/wrenferry/pkg/process/b\"\n",
	})
	found, err := tree.UpwardImports(dir)
	must.NoError(t, err)
	must.Len(t, 2, found)
	must.Eq(t, "pkg/novel has no layer", found[0].What)
	must.Eq(t, "pkg/request/a/a.go -> pkg/process/b", found[1].What)
	must.Eq(t, 6, found[1].Line)
}

func TestInvalidGoFileIsAnError(t *testing.T) {
	t.Parallel()
	dir := writeTree(t, map[string]string{"pkg/wire/bad.go": "no Go"})
	_, err := tree.UpwardImports(dir)
	must.ErrorContains(t, err, "bad.go")
}

func writeTree(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		path := filepath.Join(dir, name)
		must.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	return dir
}
