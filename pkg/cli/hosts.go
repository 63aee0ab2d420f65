package cli

import (
	"context"

	"github.com/wrenferry/wrenferry/pkg/process/operators"
)

var hostsVerb = verb{
	path:    "hosts",
	short:   "List the hosts as the platform's list has them",
	example: "  wrenferry hosts",
	run:     runHosts,
}

func runHosts(ctx context.Context, s *session) error {
	view, err := get[[]operators.HostView](ctx, s, "/v1/hosts")
	if err != nil {
		return err
	}
	return show(s, view, "NAME ROLE HALL RACK SERVICE ADDRESS LEAVING", hostLines)
}

func hostLines(hosts []operators.HostView) [][]any {
	lines := make([][]any, 0, len(hosts))
	for _, h := range hosts {
		lines = append(lines, []any{h.Name, h.Role, h.Hall, orDash(h.Rack), orDash(h.Service), h.Address, h.Leaving})
	}
	return lines
}
