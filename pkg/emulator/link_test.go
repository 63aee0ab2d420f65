package emulator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/emulator"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// slowLinkRate is the slowest known link of an entry host, 2 Mbit/s, in bytes a second.
	slowLinkRate = 250_000
	// wideJobTasks is the number of tasks of a wide job, bodyBytes the size of the body in each start order.
	wideJobTasks = 40
	bodyBytes    = 900
)

// weakLinkPlan is a day of wide jobs, twelve at once every four seconds, led by hosts with slow links: 590 kB
// of orders at a time, 2.4 s of the link.
func weakLinkPlan(seed uint64) emulator.Plan {
	plan := emulator.DefaultPlan(seed)
	plan.Faults, plan.Hosts, plan.LinkRate = 0, 3, slowLinkRate
	plan.Trouble, plan.End = 30*time.Second, 60*time.Second
	load := &emulator.Load{Halls: []string{"hall-0"}, Queues: []manifest.Queue{
		{Name: "wide", Service: "service", MaxAttempts: 3, Stretch: 2, Slack: time.Second},
	}}
	for range 24 {
		load.Machines = append(load.Machines, emulator.Machine{Hall: "hall-0", Millicores: 32000, MemoryMB: 128000})
	}
	for i := range 48 {
		at := 3*time.Second + time.Duration(i/12)*4*time.Second
		load.Jobs = append(load.Jobs, wideJob(i, at))
	}
	plan.Load = load
	return plan
}

func wideJob(i int, at time.Duration) emulator.SubmittedJob {
	truths := make([]emulator.TaskBehavior, wideJobTasks)
	for k := range truths {
		truths[k] = emulator.TaskBehavior{Work: 700 * time.Millisecond}
	}
	return emulator.SubmittedJob{At: at, CallerHall: "hall-0", Tasks: [][]emulator.TaskBehavior{truths}, Spec: &wire.JobSpec{
		Id: fmt.Sprintf("%016x", i+1), Queue: "wide", Service: "service", Cell: "hall-0", Body: strings.Repeat("x", bodyBytes),
		Steps: []*wire.StepSpec{{Count: wideJobTasks, Millicores: 2000, MemoryMb: 1000, EstimateMs: 700}},
	}}
}

// Bursts of orders that exceed the link amplified themselves: orders timed out in the link, were sent again
// behind the first ones, and delayed the renewals of leases and of the leadership, so that work was lost, cells
// changed leaders and tasks ran twice. With the order window none of that happens.
func TestBurstsDoNotFillAWeakLink(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w, broken := emulator.Play(weakLinkPlan(seed))
		must.SliceEmpty(t, broken)
		for _, kind := range []cell.NoteKind{cell.NoteStartUnsure, cell.NoteStartRefused, cell.NoteWorkerSilent, cell.NoteLost, cell.NoteDeposed} {
			must.Zero(t, w.Noted[kind], must.Sprintf("seed %d: %s", seed, kind))
		}
		for _, r := range w.Results() {
			must.Eq(t, wire.JobPhase_JOB_PHASE_COMPLETED, r.Phase)
		}
	}
}

// The same bursts without the order window show what the window prevents.
func TestBurstsFillAWeakLinkWithoutTheWindow(t *testing.T) {
	t.Parallel()
	plan := weakLinkPlan(1)
	plan.Without = cell.OrderWindow
	w, _ := emulator.Play(plan)
	must.Greater(t, 500, w.Noted[cell.NoteStartUnsure])
	must.Greater(t, 50, w.Noted[cell.NoteWorkerSilent])
	must.Greater(t, 5, w.Noted[cell.NoteDeposed])
}
