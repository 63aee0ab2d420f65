package cli

import (
	"context"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/operators"
)

var explainVerb = verb{
	path: "explain", args: "NAME", min: 1, max: 1,
	short:   "Say where something is, since when and why, what was tried, and what it waits for",
	long:    "explain takes the key of a job, a task (KEY.0), a worker, a hall, a service, or\nSERVICE/KIND. It asks the leader of every hall that can be reached.",
	example: "  wrenferry explain offer-1\n  wrenferry explain quotes/quick",
	run:     runExplain,
}

func runExplain(ctx context.Context, s *session) error {
	view, err := get[[]operators.FactView](ctx, s, "/v1/explain/"+s.args[0])
	if err != nil {
		return err
	}
	return show(s, view, "TIME HALL OBJECT REASON DETAIL", factLines)
}

func factLines(facts []operators.FactView) [][]any {
	lines := make([][]any, 0, len(facts))
	for _, f := range facts {
		lines = append(lines, []any{f.At.Format(time.TimeOnly), orDash(f.Hall), f.Object, f.Reason, f.Detail})
	}
	return lines
}
