package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
)

var fleetSuspects = verb{
	path: "fleet suspects", args: "HOST:PORT...", min: 1, max: 1000,
	short:   "List the tasks under which workers crashed, with the crash evidence of each",
	long:    "fleet suspects asks entry hosts at the metrics addresses of their settings. Of each cell\nthat one leads it lists the tasks under which workers crashed: how much each is suspected\n(trusted, suspect, on trial), and of each crash the worker, how long the run had run, how many\nothers there had not been there for far longer, and what speaks for another cause.",
	example: "  wrenferry fleet suspects 10.1.0.13:7721 10.1.0.14:7721\n  wrenferry fleet suspects 10.1.0.13:7721 -o json",
	run:     runFleetSuspects,
}

var fleetClear = verb{
	path: "fleet clear", args: "TASK HOST:PORT...", min: 2, max: 1000,
	short:   "Drop the crash evidence of a task under which workers crashed",
	long:    "fleet clear asks entry hosts until one leads a cell that has crash evidence of the task;\nthat one starts it like any other from then on. The log has task-cleared. A job that was given\nup stays given up: hand it in anew.",
	example: "  wrenferry fleet clear 37cdd9bca69c3d51.0.1.0 10.1.0.13:7721 10.1.0.14:7721",
	run:     runFleetClear,
}

// suspectRow is a task with crash evidence and its cell.
type suspectRow struct {
	Cell string
	cell.Suspect
}

func runFleetSuspects(ctx context.Context, s *session) error {
	list := []suspectRow{}
	answered := 0
	for _, address := range s.args {
		byCell := map[string][]cell.Suspect{}
		if err := callMetricsAddress(ctx, http.MethodGet, address, "/suspects", &byCell); err != nil {
			continue // other hosts lead other cells; the error below covers the case that none answers
		}
		answered++
		for _, name := range slices.Sorted(maps.Keys(byCell)) {
			for _, one := range byCell[name] {
				list = append(list, suspectRow{name, one})
			}
		}
	}
	if answered == 0 {
		return fault.New(fault.Unavailable, "fleet suspects", "no host answered", "name the metrics addresses of the hosts' settings")
	}
	return show(s, list, "CELL TASK LEVEL WORKER RUN RAN BESIDE SPEAKS-FOR-ANOTHER-CAUSE", suspectLines)
}

func suspectLines(list []suspectRow) [][]any {
	var lines [][]any
	for _, row := range list {
		for _, c := range row.Crashes {
			lines = append(lines, []any{row.Cell, row.Task, row.Level, orDash(c.Worker), c.Run, c.Age.Round(time.Millisecond), c.Company, otherCause(c)})
		}
	}
	return lines
}

// otherCause returns the reason to suspect another cause of the crash than the task, or "-".
func otherCause(c poisontask.Crash) string {
	switch {
	case c.Run == 0:
		return "nobody saw whether it ran"
	case c.Silent:
		return "the worker only fell silent so far"
	case c.Outside:
		return fmt.Sprintf("%d workers fell silent then, or hosts crash by themselves", c.Lives)
	case c.Again:
		return "the same host crashed before"
	case c.Excused:
		return "a far younger run was there"
	}
	return "-"
}

func runFleetClear(ctx context.Context, s *session) error {
	task := s.args[0]
	for _, address := range s.args[1:] {
		if callMetricsAddress(ctx, http.MethodDelete, address, "/suspects/"+task, nil) == nil {
			_, err := fmt.Fprintf(s.out, "%s is no longer suspected (by %s)\n", task, address)
			return err
		}
	}
	return fault.New(fault.NotFound, task, "no host that answered holds anything against it", "see wrenferry fleet suspects")
}

// callMetricsAddress makes a call to the metrics address of a host and decodes the JSON
// answer into the value into, unless that is nil.
func callMetricsAddress(ctx context.Context, method, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, metricsCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, http.NoBody)
	if err != nil {
		return fault.New(fault.BadInput, address, "not an address", "write it as HOST:PORT").WithCause(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fault.New(fault.Unavailable, address, "no answer", "is it the metrics address, and is the host up?").WithCause(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fault.New(fault.Unavailable, address, fmt.Sprintf("not an answer (%s)", response.Status), "name the metrics address of the host's settings")
	}
	if into == nil {
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return fault.New(fault.Unavailable, address, "an answer that can't be read", "name the metrics address of the host's settings").WithCause(err)
	}
	return nil
}
