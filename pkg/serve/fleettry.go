package serve

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/eventlog"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/fleet"
	"github.com/wrenferry/wrenferry/platform/platformtest"
)

// "wrenferryd fleet try" runs entry hosts on an embedded table service and runners, submits
// jobs as callers do, stops the leader of a cell, and prints the outcome of each job.

const (
	// tryTimeout is the time limit of the whole try-out.
	tryTimeout = 40 * time.Second
	// tryPollInterval is the time between two checks of an awaited condition.
	tryPollInterval = 30 * time.Millisecond
	// tryTaskDuration is the run time of each task.
	tryTaskDuration = 150 * time.Millisecond
)

func newFleetTryCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:     "try",
		Short:   "Run jobs on three entry hosts, an embedded table service and runners, and end",
		Example: "  wrenferryd fleet try",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), tryTimeout)
			defer cancel()
			return tryFleet(ctx, out)
		},
	}
}

// fleetTry is one run of the try-out with its deployment and entry hosts.
type fleetTry struct {
	out        io.Writer
	deployment *platformtest.Deployment
	hosts      []*runningHost
}

// runningHost is a running entry host. stop begins its planned stop; ended receives
// the result of its Run.
type runningHost struct {
	*fleet.Host
	stop  context.CancelFunc
	ended chan error
}

func tryFleet(ctx context.Context, out io.Writer) error {
	halls := []string{"hall-a", "hall-b"}
	t := &fleetTry{out: out, deployment: platformtest.NewDeployment(halls, 2, tryTaskDuration)}
	defer t.deployment.Close()
	defer t.stopAll()
	fmt.Fprintln(out, "An embedded table service and four runners in two halls: nothing is kept.")
	for i, hall := range []string{"hall-a", "hall-a", "hall-b"} {
		if err := t.start(fmt.Sprintf("host-%d", i+1), hall, halls); err != nil {
			return err
		}
	}
	for _, step := range []struct {
		title string
		run   func(context.Context) error
	}{
		{"Three entry hosts are ready, and each hall's cell is led", t.awaitReady},
		{"A caller hands a job of two steps in, twice, at two hosts: it stays one job", t.runJob},
		{"The leader of hall-a is stopped while a job runs: another host goes on with it", t.stopLeader},
		{"A job that nobody handed in, and a path that is no queue", t.callUnknownJobs},
	} {
		fmt.Fprintf(out, "\n== %s\n", step.title)
		if err := step.run(ctx); err != nil {
			return err
		}
	}
	fmt.Fprintln(out, "\nAll done.")
	return nil
}

// start starts an entry host on free local addresses.
func (t *fleetTry) start(name, hall string, halls []string) error {
	addresses, err := platformtest.FreeAddresses(4)
	if err != nil {
		return err
	}
	config := fleet.Config{
		Name: name, Hall: hall, Halls: halls, Callers: addresses[0], Ready: addresses[1], Control: addresses[2], Metrics: addresses[3],
		Table: t.deployment.Store.Address(), MaxLease: 10 * time.Second, Retention: time.Minute, Grace: 4 * time.Second, MemoryMB: 256, Processors: 1,
	}
	return t.run(config)
}

func (t *fleetTry) run(config fleet.Config) error {
	h, err := fleet.New(config, PlatformAdapters(config), eventlog.New(io.Discard, logrus.InfoLevel))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	tried := &runningHost{Host: h, stop: stop, ended: make(chan error, 1)}
	go func() { tried.ended <- h.Run(ctx) }()
	t.hosts = append(t.hosts, tried)
	return nil
}

// stopAll stops all hosts and waits until they have ended.
func (t *fleetTry) stopAll() {
	for _, h := range t.hosts {
		h.stop()
	}
	for _, h := range t.hosts {
		<-h.ended
	}
}

// waitFor polls ok until it returns true. It returns an Unavailable fault about what
// if the context ends first.
func (t *fleetTry) waitFor(ctx context.Context, what string, ok func() bool) error {
	for !ok() {
		select {
		case <-ctx.Done():
			return fault.New(fault.Unavailable, what, "not reached before the time limit", "")
		case <-time.After(tryPollInterval):
		}
	}
	return nil
}

// awaitReady waits until all hosts are ready and both cells have a leader.
func (t *fleetTry) awaitReady(ctx context.Context) error {
	err := t.waitFor(ctx, "all hosts ready, all cells led", func() bool {
		for _, h := range t.hosts {
			if ok, _ := h.Ready(clock.Now()); !ok {
				return false
			}
		}
		return t.leader("hall-a") != nil && t.leader("hall-b") != nil
	})
	if err != nil {
		return err
	}
	for _, cell := range []string{"hall-a", "hall-b"} {
		h := t.leader(cell)
		fmt.Fprintf(t.out, "%s is led by %s, epoch %d\n", cell, h.Config.Name, h.Control.View().Cells[cell].Epoch)
	}
	return nil
}

// leader returns the host that leads the cell and has loaded its jobs, or nil.
func (t *fleetTry) leader(cell string) *runningHost {
	for _, h := range t.hosts {
		if h.Control.View().Cells[cell].Mine && h.Control.Load(context.Background(), cell, false).GetLeading() {
			return h
		}
	}
	return nil
}

// runJob submits the same job at two hosts and waits for its completion at a third.
func (t *fleetTry) runJob(ctx context.Context) error {
	const id = "00000000000000a1"
	for _, h := range t.hosts[:2] {
		if err := t.submit(ctx, h, id); err != nil {
			return err
		}
	}
	return t.awaitCompleted(ctx, t.hosts[2], id)
}

func (t *fleetTry) submit(ctx context.Context, h *runningHost, id string) error {
	status, _, err := platformtest.Call(ctx, h.Config.Callers, http.MethodPost, id, platformtest.TwoSteps)
	if err != nil || status != http.StatusOK {
		return fault.New(fault.Unavailable, id, fmt.Sprintf("submission at %s returned status %d", h.Config.Name, status), "").WithCause(err)
	}
	fmt.Fprintf(t.out, "%s takes job %s: %d\n", h.Config.Name, id, status)
	return nil
}

// awaitCompleted waits until the host reports the job as completed. It fails if a task of
// the job was started more than once.
func (t *fleetTry) awaitCompleted(ctx context.Context, at *runningHost, id string) error {
	err := t.waitFor(ctx, "job "+id+" completed", func() bool {
		_, body, err := platformtest.Call(ctx, at.Config.Callers, http.MethodGet, id, "")
		return err == nil && strings.Contains(body, "completed")
	})
	if err != nil {
		return err
	}
	tasks := 0
	for task, n := range t.deployment.Starts() {
		if !strings.HasPrefix(task, id) {
			continue
		}
		tasks++
		if n != 1 {
			return fault.New(fault.Internal, task, fmt.Sprintf("was started %d times", n), "")
		}
	}
	fmt.Fprintf(t.out, "%s tells that job %s is completed: %d tasks, each started once\n", at.Config.Name, id, tasks)
	return nil
}

// stopLeader stops the leader of hall-a while a job runs, and waits for a successor and
// for the completion of the job.
func (t *fleetTry) stopLeader(ctx context.Context) error {
	const id = "00000000000000a2"
	old := t.leader("hall-a")
	if err := t.submit(ctx, t.hosts[1], id); err != nil {
		return err
	}
	old.stop()
	err := t.waitFor(ctx, "another leader of hall-a", func() bool {
		next := t.leader("hall-a")
		return next != nil && next != old
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "%s stops; hall-a is led by %s\n", old.Config.Name, t.leader("hall-a").Config.Name)
	return t.awaitCompleted(ctx, t.hosts[2], id)
}

// callUnknownJobs checks the status codes for an unknown job id and a malformed one.
func (t *fleetTry) callUnknownJobs(ctx context.Context) error {
	for _, c := range []struct {
		job    string
		status int
	}{{"00000000000000ff", http.StatusGone}, {"no-id", http.StatusNotFound}} {
		status, _, err := platformtest.Call(ctx, t.hosts[2].Config.Callers, http.MethodGet, c.job, "")
		if err != nil || status != c.status {
			return fault.New(fault.Internal, c.job, fmt.Sprintf("returned status %d; want %d", status, c.status), "").WithCause(err)
		}
		fmt.Fprintf(t.out, "%s: %d\n", c.job, status)
	}
	return nil
}
