package cli

import (
	"context"
	"fmt"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/version/settings"
)

var settingsKeys = verb{
	path: "settings keys", args: "[SETTING]", max: 1,
	short:   "Explain every setting, or one: unit, range, default, example",
	example: "  wrenferry settings keys\n  wrenferry settings keys deadline",
	run:     runSettingsKeys,
}

func runSettingsKeys(_ context.Context, s *session) error {
	if len(s.args) == 0 {
		return show(s, settings.Keys, "SETTING TYPE RANGE DEFAULT EXAMPLE", keyLines)
	}
	k, ok := settings.FindKey(s.args[0])
	if !ok {
		return fault.New(fault.NotFound, s.args[0], "no such setting", "wrenferry settings keys lists them")
	}
	return show(s, k, "", func(k settings.Key) [][]any {
		where := "at any branch"
		if k.Root {
			where = "at the root only"
		}
		return [][]any{
			{k.Name, k.Help},
			{"type", k.Type},
			{"unit", orDash(k.Unit)},
			{"range", k.Range()},
			{"default", k.Default},
			{"example", fmt.Sprintf("%q: %s", k.Name, k.Example)},
			{"stands", where},
		}
	})
}

func keyLines(keys []settings.Key) [][]any {
	lines := make([][]any, 0, len(keys))
	for _, k := range keys {
		lines = append(lines, []any{k.Name, k.Type, k.Range(), k.Default, k.Example})
	}
	return lines
}
