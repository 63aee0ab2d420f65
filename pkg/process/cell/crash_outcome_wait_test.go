package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Guards against a wait for the outcome of a silent worker that begins anew each time that another task of the job is
// returned.
func TestReturnOfAnotherTaskDoesNotProlongTheWaitForACrashOutcome(t *testing.T) {
	t.Parallel()
	for name, returns := range map[string]bool{"no returns": false, "another task is returned": true} {
		t.Run(name, func(t *testing.T) {
			b := newEmptyCell()
			full := &wire.JobSpec{Id: "00000000000000aa", Queue: "watches", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{{Count: 16, Millicores: 10000, MemoryMb: 1000, Lasting: true, TailTargetMs: 100, Image: "s1"}}}
			for i := range 16 {
				b.reports[fmt.Sprintf("w%02d", i)].Active = []workers.Active{{Task: fmt.Sprintf("%s.0.0.%d", full.GetId(), i), Run: int64(i + 1), Percent: 100, Reading: 40}}
			}
			notes := append(crashNotes("a", "b"), &wire.CrashNote{Worker: "c", Run: 9, Host: "c", Born: 1, Began: true, Company: 9, Lives: 1, Silent: true})
			spec := &wire.JobSpec{Id: delegatedJob, Queue: "watches", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{{Count: 1, Millicores: 6000, Lasting: true}, {Count: 1, Millicores: 30000, Lasting: true}}}
			takeOverFrom(b, 2, time.Hour,
				cell.LoadedJob{Spec: full, Progress: &wire.JobProgress{Id: full.GetId(), Phase: wire.JobPhase_JOB_PHASE_RUNNING}, Recorded: 1},
				cell.LoadedJob{Spec: spec, Progress: &wire.JobProgress{Id: delegatedJob, Phase: wire.JobPhase_JOB_PHASE_RUNNING, Units: []*wire.UnitProgress{{Step: 0, Notes: []*wire.TaskNote{{Crashes: notes}}}}}, Recorded: 1})
			began, lending, count, handedAt := b.now, int32(0), 0, time.Duration(0)
			peers := []string{"o1", "o2", "o3", "o4", "o5"}
			returnAt, returnFrom := time.Time{}, ""
			for b.now.Sub(began) < 30*time.Second && !b.started[delegatedJob+".0.0.0"] && handedAt == 0 {
				for _, peer := range peers {
					b.state.Take(b.now, loadWithCapacity(peer))
				}
				if returns && !returnAt.IsZero() && !b.now.Before(returnAt) {
					returnAt = time.Time{}
					count++
					b.state.Take(b.now, cell.TasksReturned{Tasks: &wire.ReturnedTasks{Id: delegatedJob, From: returnFrom, Tasks: []*wire.TaskRef{{Step: 1, Lending: lending, WaitedMs: 3000}}}})
				}
				b.records = nil
				b.step(50 * time.Millisecond)
				for _, peer := range peers {
					b.eachPut(t, rows.SpecKey(peer, delegatedJob), func(r table.Row) {
						handed := &wire.JobSpec{}
						must.NoError(t, rows.Read(r, handed))
						for _, g := range handed.GetGuest() {
							switch {
							case g.GetStep() == 0:
								handedAt = b.now.Sub(began)
							case g.GetLending() > lending:
								lending, returnAt, returnFrom = g.GetLending(), b.now.Add(1500*time.Millisecond), peer
							}
						}
					})
				}
			}
			must.LessEq(t, 10*time.Second, b.now.Sub(began))
		})
	}
}
