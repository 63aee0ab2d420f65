package tree

import (
	"go/parser"
	"go/token"
	"path"
	"path/filepath"
	"strconv"
	"strings"
)

// module is the prefix of the product's own import paths.
const module = "github.com/wrenferry/wrenferry/"

// layers are the folders of packages from the lowest to the highest; a package imports
// its own layer and lower ones. The longest folder that holds a package counts.
var layers = [][]string{
	{"pkg/wire", "pkg/fault", "pkg/container", "pkg/clock", "pkg/rows", "pkg/table", "pkg/eventlog", "pkg/configfile", "pkg/capacity", "examples"},
	{"pkg/version"},
	{"pkg/connection"},
	{"pkg/request"},
	{"pkg/process"},
	{"platform"},
	{"pkg/embedded", "pkg/standin", "pkg/serve", "pkg/tryout", "pkg/emulator", "pkg/lab", "pkg/cli"},
	{"cmd", "standins", "test", "tools"},
}

// layerOf returns a folder's layer; false: the table does not have it.
func layerOf(folder string) (int, bool) {
	for dir := folder; dir != "."; dir = path.Dir(dir) {
		for i, names := range layers {
			for _, name := range names {
				if name == dir {
					return i, true
				}
			}
		}
	}
	return 0, false
}

// UpwardImports finds the imports of packages in a higher layer, and packages without a layer.
func UpwardImports(root string) ([]Finding, error) {
	files, err := goFiles(root)
	if err != nil {
		return nil, err
	}
	var found []Finding
	for _, file := range files {
		fset := token.NewFileSet()
		parsed, err := parser.ParseFile(fset, filepath.Join(root, file), nil, parser.ImportsOnly)
		if err != nil {
			return nil, err
		}
		own, ok := layerOf(path.Dir(file))
		if !ok {
			found = append(found, Finding{file, 1, path.Dir(file) + " has no layer", "add its folder to the table in test/tree/imports.go"})
			continue
		}
		for _, spec := range parsed.Imports {
			imported, _ := strconv.Unquote(spec.Path.Value) // the parser has checked it
			folder, ours := strings.CutPrefix(imported, module)
			if other, known := layerOf(folder); ours && known && other > own {
				found = append(found, Finding{
					file, fset.Position(spec.Pos()).Line, file + " -> " + folder,
					"declare the interface or type where it is used, or move the file to the layer that it belongs to",
				})
			}
		}
	}
	return found, nil
}
