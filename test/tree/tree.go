// Package tree checks the repository itself: which package imports which, what comments
// say, and how long the heads of packages are. Its tests run the checks in CI; nothing of
// the product calls it, and it changes no file.
package tree

import (
	"io/fs"
	"path/filepath"
	"strings"
)

// Finding is one place that a check does not accept.
type Finding struct {
	File   string // from the root, with slashes
	Line   int
	What   string
	Remedy string
}

// goFiles lists the Go files under a root that people write, by their names from the root.
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
