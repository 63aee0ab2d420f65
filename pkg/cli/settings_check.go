package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/version/settings"
)

var settingsCheck = verb{
	path: "settings check", args: "FILE", min: 1, max: 1,
	short:   "Check a file of settings, whole, without any entry host",
	long:    "settings check reads a tree (- is standard input) and lists everything that is\nwrong with it: file:line:column, the value, the range, the remedy.",
	example: "  wrenferry settings check tree.jsonc",
	run:     runSettingsCheck,
}

func runSettingsCheck(_ context.Context, s *session) error {
	text, err := s.readFile(s.args[0])
	if err != nil {
		return err
	}
	tree, err := settings.Parse(s.args[0], text)
	if err != nil {
		return err
	}
	return show(s, tree.KindNames(), "", func(names []string) [][]any {
		lines := [][]any{{fmt.Sprintf("%s is good: %d kinds", s.args[0], len(names))}}
		for _, name := range names {
			lines = append(lines, []any{"  " + name})
		}
		return lines
	})
}

// readFile returns the text of a file, or of standard input for "-".
func (s *session) readFile(path string) (string, error) {
	var text []byte
	var err error
	if path == "-" {
		text, err = io.ReadAll(s.in)
	} else {
		text, err = os.ReadFile(path)
	}
	if err != nil {
		return "", fault.New(fault.BadInput, path, "can't be read", "check the path").WithCause(err)
	}
	return string(text), nil
}
