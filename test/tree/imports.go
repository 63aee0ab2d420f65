package tree

import (
	"go/parser"
	"go/token"
	"path"
	"path/filepath"
	"strconv"
	"strings"
)

// module is the prefix of import paths of this module.
const module = "github.com/wrenferry/wrenferry/"

// layers are the folders of packages from the lowest layer to the highest. A package may import
// packages of its own layer and of lower ones. The longest folder that contains a package determines
// its layer.
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

// layerOf returns the index of a folder's layer, or false if the folder has none.
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

// UpwardImports finds imports of packages in a higher layer, and packages without a layer. It returns
// an error if a file can't be read or parsed.
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
			imported, _ := strconv.Unquote(spec.Path.Value) // the parser accepts valid paths only
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
