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

// Guards against the age of a job that is handed over as the wait of its task, after a takeover in the home cell.
func TestAgeOfAJobIsNotHandedOverAsAWait(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	full := &wire.JobSpec{Id: "00000000000000aa", Queue: "watches", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{{Count: 16, Millicores: 32000, MemoryMb: 1000, Lasting: true, TailTargetMs: 100, Image: "s1"}}}
	for i := range 16 {
		b.reports[fmt.Sprintf("w%02d", i)].Active = []workers.Active{{Task: fmt.Sprintf("%s.0.0.%d", full.GetId(), i), Run: int64(i + 1), Percent: 100, Reading: 40}}
	}
	spec := &wire.JobSpec{Id: delegatedJob, Queue: "watches", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{{Count: 1, Millicores: 6000, Lasting: true}}}
	b.reports["w03"].Ended = []workers.End{{Number: 1, Task: delegatedJob + ".0.0.0", Run: 77, Outcome: workers.EndedLapsed}}
	takeOverFrom(b, 2, time.Hour,
		cell.LoadedJob{Spec: full, Progress: &wire.JobProgress{Id: full.GetId(), Phase: wire.JobPhase_JOB_PHASE_RUNNING}, Recorded: 1},
		cell.LoadedJob{Spec: spec, Progress: &wire.JobProgress{Id: delegatedJob, Phase: wire.JobPhase_JOB_PHASE_RUNNING, Units: []*wire.UnitProgress{{Notes: []*wire.TaskNote{{Crashes: crashNotes("a", "b")}}}}}, Recorded: 1})
	began := b.now
	handed := &wire.JobSpec{}
	for len(handed.GetGuest()) == 0 && b.now.Sub(began) < 10*time.Second {
		b.state.Take(b.now, loadWithCapacity("other"))
		b.step(50 * time.Millisecond)
		b.eachPut(t, rows.SpecKey("other", delegatedJob), func(r table.Row) { must.NoError(t, rows.Read(r, handed)) })
	}
	must.Len(t, 1, handed.GetGuest())
	c := newEmptyCell()
	busy := runningShortJob(c, "00000000000000bb")
	takeOverFrom(c, 2, 0, busy)
	c.step(50 * time.Millisecond)
	arrived := c.now
	c.state.Take(c.now, cell.JobAccepted{Spec: handed})
	for !c.started[delegatedJob+".0.0.0"] && c.now.Sub(arrived) < 10*time.Second {
		c.step(50 * time.Millisecond)
	}
	must.Less(t, int64(5000), handed.GetGuest()[0].GetWaitedMs())
	must.GreaterEq(t, time.Second, c.now.Sub(arrived), must.Sprint("started in company on arrival"))
}
