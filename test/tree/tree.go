// Package tree checks the source of the repository: the imports between packages, comments that state
// results, and the length of package comments. Its tests run the checks in CI. No package of the
// product uses it, and it changes no files.
package tree

import (
	"io/fs"
	"path/filepath"
	"strings"
)

// Finding is a violation of a check, with its place and remedy.
type Finding struct {
	File   string // from the root, with slashes
	Line   int
	What   string
	Remedy string
}

// goFiles returns the paths, relative to root, of the Go files under root. It skips *.pb.go files,
// hidden folders, testdata and bin.
func goFiles(root string) ([]string, error) {
	var files []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := d.Name()
		if d.IsDir() {
			if path != root && (strings.HasPrefix(name, ".") || name == "testdata" || name == "bin") {
				return filepath.SkipDir
			}
			return nil
		}
		if strings.HasSuffix(name, ".go") && !strings.HasSuffix(name, ".pb.go") {
			rel, err := filepath.Rel(root, path)
			if err != nil {
				return err
			}
			files = append(files, filepath.ToSlash(rel))
		}
		return nil
	})
	return files, err
}
