package cli

import (
	"context"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/operators"
)

var settingsHistory = verb{
	path:    "settings history",
	short:   "List all versions that were ever accepted",
	example: "  wrenferry settings history",
	run:     runSettingsHistory,
}

func runSettingsHistory(ctx context.Context, s *session) error {
	view, err := get[[]operators.SettingsView](ctx, s, "/v1/settings/history")
	if err != nil {
		return err
	}
	return show(s, view, "VERSION TIME ACTOR EDIT", func(list []operators.SettingsView) [][]any {
		lines := make([][]any, 0, len(list))
		for _, v := range list {
			lines = append(lines, []any{v.Version, v.At.Format(time.DateTime), v.Actor, v.EditID})
		}
		return lines
	})
}
