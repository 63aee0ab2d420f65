package tree

import (
	"fmt"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
)

// maxHeadLines is the maximum number of lines of a package comment, so that readers read it whole.
const maxHeadLines = 10

// LongHeads finds package comments with more than maxHeadLines lines. It returns an error if a file
// can't be read or parsed.
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
				file, line, fmt.Sprintf("the comment of package %s has %d lines, more than %d", parsed.Name.Name, n, maxHeadLines),
				"state what the package decides, which packages call it and what it never does; move the rest to the types concerned",
			})
		}
	}
	return found, nil
}
