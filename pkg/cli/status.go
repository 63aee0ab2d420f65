package cli

import (
	"context"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/operators"
)

var statusVerb = verb{
	path:    "status",
	short:   "Show one entry host: who leads its hall, what waits and runs, which settings are in force",
	example: "  wrenferry status\n  wrenferry --address 10.0.0.2:8081 status -o json",
	run:     runStatus,
}

func runStatus(ctx context.Context, s *session) error {
	view, err := get[operators.Status](ctx, s, "/v1/status")
	if err != nil {
		return err
	}
	return show(s, view, "", statusLines)
}

func statusLines(v operators.Status) [][]any {
	age := "never read from the table"
	if v.SettingsAgeMS >= 0 {
		age = "confirmed by the table " + (time.Duration(v.SettingsAgeMS) * time.Millisecond).Round(time.Second).String() + " ago"
	}
	lines := [][]any{
		{"entry host", v.Name},
		{"hall", v.Hall},
		{"ready", v.Ready},
		{"leader of the hall", orDash(v.Leader)},
		{"epoch", v.Epoch},
		{"settings version", v.Settings, age},
	}
	if v.Leading {
		lines = append(lines,
			[]any{"jobs", v.Counts.Jobs},
			[]any{"tasks", v.Counts.Waiting, "waiting", v.Counts.Placed, "placed", v.Counts.Running, "running"},
			[]any{"workers", v.Counts.Workers, "listed", v.Counts.Reached, "reached", v.Counts.Aside, "in quarantine"})
	}
	for _, service := range v.Services {
		lines = append(lines, []any{"service " + service.Service, service.State, service.Open, "servers open", service.Queued, "queued"})
	}
	return lines
}
