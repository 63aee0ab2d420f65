// Package examples contains complete settings trees: the one that "make try" uses
// and those of the first two deployments of wrenferry.
package examples

import "embed"

// Files contains the settings trees by file name.
//
//go:embed *.jsonc
var Files embed.FS

// Read returns the text of a settings tree, or "" if there is no file of that name.
func Read(name string) string {
	text, err := Files.ReadFile(name)
	if err != nil {
		return ""
	}
	return string(text)
}
