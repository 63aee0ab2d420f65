package cli

import (
	"context"
	"fmt"
	"net/url"

	"github.com/spf13/pflag"

	"github.com/wrenferry/wrenferry/pkg/request/gateway"
)

// The verbs of jobs. Drain and stop share the function changeJob.

const jobHead = "KEY STATE DONE TASKS HALL SERVICE KIND REASON RESULT"

var jobList = verb{
	path:    "job list",
	short:   "List jobs by key",
	example: "  wrenferry job list",
	run:     runJobList,
}

var jobShow = verb{
	path: "job show", args: "KEY", min: 1, max: 1,
	short:   "Show one job",
	example: "  wrenferry job show offer-1",
	run:     runJobShow,
}

var jobStart = verb{
	path: "job start", args: "SERVICE/KIND", min: 1, max: 1,
	short:   "Submit a job under a key of your own",
	long:    "job start submits a job as a caller would. Asking again with the same key and body\nis always safe: a key stands for one job.",
	example: "  wrenferry job start quotes/offer --key offer-1 --body offer.json --tasks 3",
	flags: func(set *pflag.FlagSet, f *flags) {
		dryRunFlag(set, f)
		set.StringVar(&f.key, "key", "", "the job's key (required)")
		set.StringVar(&f.body, "body", "", "file with the job's body; - is standard input")
		set.IntVar(&f.tasks, "tasks", 1, "how many tasks the job has")
	},
	run: runJobStart,
}

var jobDrain = verb{
	path: "job drain", args: "KEY", min: 1, max: 1,
	short:   "Start no more tasks of a job; those that run come to their end",
	example: "  wrenferry job drain offer-1",
	flags:   dryRunFlag,
	run:     changeJob("drain", "cancel the tasks of %s that have not started"),
}

var jobStop = verb{
	path: "job stop", args: "KEY", min: 1, max: 1,
	short:   "Cancel a job; its running tasks are stopped without a checkpoint",
	example: "  wrenferry job stop offer-1 --dry-run\n  wrenferry job stop offer-1",
	flags:   dryRunFlag,
	run:     changeJob("stop", "stop all tasks of %s; work done so far is lost"),
}

func runJobList(ctx context.Context, s *session) error {
	view, err := get[[]gateway.JobView](ctx, s, "/v1/job-list")
	if err != nil {
		return err
	}
	return show(s, view, jobHead, jobLines)
}

func runJobShow(ctx context.Context, s *session) error {
	view, err := get[gateway.JobView](ctx, s, "/v1/jobs/"+s.args[0])
	if err != nil {
		return err
	}
	return s.showJob(view)
}

func runJobStart(ctx context.Context, s *session) error {
	var body string
	if s.flags.body != "" {
		var err error
		if body, err = s.readFile(s.flags.body); err != nil {
			return err
		}
	}
	if s.reportDryRun("submit %s under the key %q with %d tasks", s.args[0], s.flags.key, s.flags.tasks) {
		return nil
	}
	path := fmt.Sprintf("/v1/jobs/%s?%s=%d", s.args[0], gateway.TasksParameter, s.flags.tasks)
	view, err := post[gateway.JobView](ctx, s, path, s.flags.key, []byte(body))
	if err != nil {
		return err
	}
	return s.showJob(view)
}

// changeJob returns a function that posts the change name for a job; would is the text for
// a dry run.
func changeJob(name, would string) func(context.Context, *session) error {
	return func(ctx context.Context, s *session) error {
		if s.reportDryRun(would, s.args[0]) {
			return nil
		}
		view, err := post[gateway.JobView](ctx, s, "/v1/job-list/"+url.PathEscape(s.args[0])+"/"+name, "", nil)
		if err != nil {
			return err
		}
		return s.showJob(view)
	}
}

func (s *session) showJob(view gateway.JobView) error {
	if s.flags.output == "json" {
		return s.showJSON(view)
	}
	return show(s, []gateway.JobView{view}, jobHead, jobLines)
}

func jobLines(jobs []gateway.JobView) [][]any {
	lines := make([][]any, 0, len(jobs))
	for _, j := range jobs {
		lines = append(lines, []any{j.Key, j.State, j.DoneTasks, j.Tasks, j.Hall, j.Service, j.Kind, orDash(j.Reason), orDash(j.Result)})
	}
	return lines
}
