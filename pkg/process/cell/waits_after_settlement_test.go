package cell_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// lastProgress returns the newest progress row that the cell wrote of a job, or nil.
func (b *testCell) lastProgress(t *testing.T, job string) *wire.JobProgress {
	t.Helper()
	var last *wire.JobProgress
	b.eachPut(t, rows.ProgressKey("hall", job), func(row table.Row) {
		last = &wire.JobProgress{}
		must.NoError(t, proto.Unmarshal(row.Value, last))
	})
	return last
}

// Guards against a wait that begins anew when a cell settles late: a task that was held back for a worker that left under the
// predecessor then waits beside an isolated run at the only worker with capacity.
func TestTaskThatWasHeldBackJoinsAnIsolatedRunInTime(t *testing.T) {
	t.Parallel()
	full := &wire.StepSpec{Count: 14, Millicores: 32000, MemoryMb: 1000, Lasting: true, TailTargetMs: 100, Image: "s1"}
	b := newEmptyCell()
	b.accept("00000000000000aa", "watches", full)
	b.accept("00000000000000ff", "watches", &wire.StepSpec{Count: 1, Millicores: 6000, Lasting: true})
	b.step(100 * time.Millisecond)
	must.MapLen(t, 15, b.started)
	left := b.workerOf[unreachedTask]
	b.register(16, left)
	b.step(100 * time.Millisecond)
	b.silent[left] = true

	successor := newEmptyCell()
	running := func(id string) *wire.JobSpec {
		return &wire.JobSpec{Id: id, Queue: "watches", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{full}}
	}
	successor.takeOverWith(b, 5*time.Second, b.state.Members(), running("00000000000000aa"), lastingJob("00000000000000ff"))
	for worker, report := range b.reports {
		if worker != left {
			successor.reports[worker].Active = slices.Clone(report.Active)
		}
	}
	successor.state.Take(successor.now, cell.MembershipRecorded{IDs: slices.Sorted(maps.Keys(successor.reports))})
	began := successor.now
	for successor.now.Sub(began) < 3800*time.Millisecond {
		successor.step(50 * time.Millisecond)
	}
	suspect := "00000000000000bb"
	successor.state.Take(successor.now, cell.JobAccepted{Spec: &wire.JobSpec{
		Id: suspect, Queue: "offers", Service: "quotes", Cell: "hall", Home: "home",
		Steps: []*wire.StepSpec{{Count: 1, Millicores: 6000}}, Guest: []*wire.TaskRef{{Lending: 1, Crashes: crashNotes("a", "b")}},
	}})
	for !successor.started[unreachedTask] && successor.now.Sub(began) < 20*time.Second {
		successor.step(50 * time.Millisecond)
	}
	must.True(t, successor.started[suspect+".0.0.0"])
	must.Between(t, 5*time.Second, successor.now.Sub(began), 6*time.Second)
}

// Guards against a successor that counts the wait of a lasting task from the takeover, although the end of its last run was
// recorded before.
func TestSuccessorKnowsSinceWhenALastingTaskHasHadNoRun(t *testing.T) {
	t.Parallel()
	b, free := newCellWithOneFreeWorker(t)
	step := &wire.StepSpec{Count: 1, Millicores: 6000, Lasting: true}
	accepted := b.now
	spec := &wire.JobSpec{Id: delegatedJob, Queue: "watches", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{step}}
	b.state.Take(b.now, cell.JobAccepted{Spec: spec, StoreNow: time.Hour})
	b.step(50 * time.Millisecond)
	must.Eq(t, free, b.workerOf[delegatedJob+".0.0.0"])
	for range 60 {
		b.step(50 * time.Millisecond)
	}
	b.register(16, free) // no other worker has capacity
	b.step(50 * time.Millisecond)
	b.endStoppedRuns()
	ended := b.now
	for range 50 {
		b.step(50 * time.Millisecond)
	}

	full := &wire.JobSpec{Id: "00000000000000aa", Queue: "watches", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{{Count: 15, Millicores: 32000, MemoryMb: 1000, Lasting: true, TailTargetMs: 100, Image: "s1"}}}
	progress := &wire.JobProgress{Id: full.GetId(), Phase: wire.JobPhase_JOB_PHASE_RUNNING}
	successor := newEmptyCell()
	successor.now, successor.clock, successor.reports = b.now, b.clock, b.reports
	takeOverFrom(successor, 2, time.Hour+b.now.Sub(accepted), cell.LoadedJob{Spec: full, Progress: progress, Recorded: 1}, cell.LoadedJob{Spec: spec, Progress: b.lastProgress(t, delegatedJob), Recorded: 1})
	successor.register(16, free)
	for range 30 {
		successor.step(50 * time.Millisecond)
	}
	age := time.Duration(successor.lastWaitFor(cell.WaitCapacity).AgeMs) * time.Millisecond
	must.Between(t, 3*time.Second, age, successor.now.Sub(ended)+100*time.Millisecond)
}

// Guards against the wait of a task whose worker went silent for good, of which the record says nothing.
func TestWaitOfALostRunIsRecorded(t *testing.T) {
	t.Parallel()
	for name, crashes := range map[string][]*wire.CrashNote{"suspect": crashNotes("a", "b"), "no evidence": nil} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, free := newCellWithOneFreeWorker(t)
			b.state.Take(b.now, cell.JobAccepted{StoreNow: time.Hour, Spec: &wire.JobSpec{
				Id: delegatedJob, Queue: "watches", Service: "quotes", Cell: "hall", Home: "home",
				Steps: []*wire.StepSpec{{Count: 1, Millicores: 6000, Lasting: true}}, Guest: []*wire.TaskRef{{Lending: 1, Crashes: crashes}},
			}})
			for range 100 {
				b.step(50 * time.Millisecond)
			}
			must.Eq(t, free, b.workerOf[delegatedJob+".0.0.0"])
			b.silent[free] = true
			for range 180 {
				b.step(50 * time.Millisecond)
			}
			notes := b.lastProgress(t, delegatedJob).GetUnits()[0].GetNotes()
			must.Positive(t, notes[0].GetWithoutRunSinceStoreMs())
		})
	}
}
