package tree

import (
	"fmt"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
)

// maxHeadLines bounds a package's head: it is read whole, or not at all.
const maxHeadLines = 10

// LongHeads finds packages whose heads have too many lines.
func LongHeads(root string) ([]Finding, error) {
	files, err := goFiles(root)
	if err != nil {
		return nil, err
	}
	var found []Finding
	for _, file := range files {
		fset := token.NewFileSet()
		parsed, err := parser.ParseFile(fset, filepath.Join(root, file), nil, parser.PackageClauseOnly|parser.ParseComments)
		if err != nil {
			return nil, err
		}
		if parsed.Doc == nil || strings.HasSuffix(file, "_test.go") {
			continue
		}
		line := fset.Position(parsed.Doc.Pos()).Line
		if n := fset.Position(parsed.Doc.End()).Line - line + 1; n > maxHeadLines {
			found = append(found, Finding{
				file, line, fmt.Sprintf("the head of package %s has %d lines of %d", parsed.Name.Name, n, maxHeadLines),
				"say what it decides, who calls it and what it never does; the rest stands beside the type that it is about",
			})
		}
	}
	return found, nil
}
