package cli

import (
	"context"
	"fmt"

	"github.com/wrenferry/wrenferry/pkg/process/operators"
	"github.com/wrenferry/wrenferry/pkg/request/gateway"
)

// The verbs of services. Start, drain and stop share the function changeService.

var serviceList = verb{
	path:    "service list",
	short:   "List the services: state, servers, queue at the entry host that answers",
	example: "  wrenferry service list",
	run:     runServiceList,
}

var serviceStart = verb{
	path: "service start", args: "NAME", min: 1, max: 1,
	short:   "Let a service take calls and jobs",
	example: "  wrenferry service start quotes",
	flags:   dryRunFlag,
	run:     changeService("start", "let %s take calls and jobs"),
}

var serviceDrain = verb{
	path: "service drain", args: "NAME", min: 1, max: 1,
	short:   "Take nothing new for a service; what is in flight and running comes to its end",
	example: "  wrenferry service drain quotes --dry-run\n  wrenferry service drain quotes",
	flags:   dryRunFlag,
	run:     changeService("drain", "refuse new calls and jobs for %s and let what is in flight come to its end"),
}

var serviceStop = verb{
	path: "service stop", args: "NAME", min: 1, max: 1,
	short:   "Take nothing new for a service",
	long:    "service stop refuses new calls and jobs. What is in flight is never cut off; stop\nrunning jobs with wrenferry job stop.",
	example: "  wrenferry service stop quotes",
	flags:   dryRunFlag,
	run:     changeService("stop", "refuse all new calls and jobs for %s"),
}

func runServiceList(ctx context.Context, s *session) error {
	view, err := get[[]gateway.ServiceView](ctx, s, "/v1/services")
	if err != nil {
		return err
	}
	return show(s, view, "SERVICE STATE SERVERS OPEN QUEUED", func(list []gateway.ServiceView) [][]any {
		lines := make([][]any, 0, len(list))
		for _, v := range list {
			lines = append(lines, []any{v.Service, v.State, v.Servers, v.Open, v.Queued})
		}
		return lines
	})
}

// changeService returns a function that posts the change name for a service; would is the
// text for a dry run.
func changeService(name, would string) func(context.Context, *session) error {
	return func(ctx context.Context, s *session) error {
		if s.reportDryRun(would, s.args[0]) {
			return nil
		}
		view, err := post[operators.ServiceState](ctx, s, "/v1/services/"+s.args[0]+"/"+name, "", nil)
		if err != nil {
			return err
		}
		return show(s, view, "", func(v operators.ServiceState) [][]any {
			return [][]any{{fmt.Sprintf("service %s is %s", v.Service, v.State)}}
		})
	}
}
