package cli

import (
	"context"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
)

var eventsVerb = verb{
	path: "events", args: "", min: 0, max: 0,
	short:   "List the events that the scheduler logs, and what each says",
	long:    "events prints the one table of events that logs are made from.",
	example: "  wrenferry events",
	run:     runEvents,
}

func runEvents(_ context.Context, s *session) error {
	return show(s, cell.Notes, "EVENT SAYS", func(notes []cell.NoteHelp) [][]any {
		lines := make([][]any, 0, len(notes))
		for _, n := range notes {
			lines = append(lines, []any{string(n.What), n.Says})
		}
		return lines
	})
}
