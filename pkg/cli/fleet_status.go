package cli

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/fleet"
)

var fleetStatus = verb{
	path: "fleet status", args: "HOST:PORT...", min: 1, max: 1000,
	short:   "Show who leads each cell of a running fleet, and how full it is",
	long:    "fleet status asks entry hosts at the metrics addresses of their settings. It shows of\neach whether it takes calls, the manifest in force and how long ago the table answered,\nand of each cell that it leads the jobs, the tasks that wait and run, and the workers:\nknown, usable now, in quarantine (aside), and tasks suspected of crashing some. A host that does not answer has a line that says so.",
	example: "  wrenferry fleet status 10.1.0.13:7721 10.1.0.14:7721\n  wrenferry fleet status 10.1.0.13:7721 -o json",
	run:     runFleetStatus,
}

// metricsCallTimeout is the time limit of a call to the metrics address of one host.
const metricsCallTimeout = 2 * time.Second

// hostStatus is the answer of the host at one metrics address.
type hostStatus struct {
	Address string
	// Error is the reason for a missing status.
	Error  string        `json:",omitempty"`
	Status *fleet.Status `json:",omitempty"`
}

func runFleetStatus(ctx context.Context, s *session) error {
	list := make([]hostStatus, 0, len(s.args))
	answered := 0
	for _, address := range s.args {
		status, err := getStatus(ctx, address)
		one := hostStatus{Address: address, Status: status}
		if err != nil {
			one.Error = err.Error()
		} else {
			answered++
		}
		list = append(list, one)
	}
	if err := show(s, list, "HOST HALL READY MANIFEST TABLE-ANSWERED LEADS JOBS WAITING RUNNING WORKERS", fleetStatusLines); err != nil {
		return err
	}
	if answered == 0 {
		return fault.New(fault.Unavailable, "fleet status", "no host answered", "name the metrics addresses of the hosts' settings")
	}
	return nil
}

func getStatus(ctx context.Context, address string) (*fleet.Status, error) {
	status := &fleet.Status{}
	if err := callMetricsAddress(ctx, http.MethodGet, address, "/status", status); err != nil {
		return nil, err
	}
	return status, nil
}

func fleetStatusLines(list []hostStatus) [][]any {
	var lines [][]any
	for _, h := range list {
		if h.Status == nil {
			lines = append(lines, []any{h.Address, "-", "no answer: " + h.Error})
			continue
		}
		first := []any{
			h.Status.Host, h.Status.Hall, orDash(map[bool]string{true: "yes", false: h.Status.Why}[h.Status.Ready]),
			h.Status.Manifest, fmt.Sprintf("%d ms ago", h.Status.StoreAgeMs),
		}
		led := slices.Sorted(maps.Keys(h.Status.Led))
		if len(led) == 0 {
			lines = append(lines, append(first, "-", "-", "-", "-", "-"))
		}
		for _, name := range led {
			c := h.Status.Led[name]
			workers := fmt.Sprintf("%d, %d usable, %d aside, %d suspects", c.Workers, c.Usable, c.Aside, c.Suspects)
			lines = append(lines, append(slices.Clone(first), name, c.Jobs, c.Waiting, c.Running, workers))
		}
	}
	return lines
}
