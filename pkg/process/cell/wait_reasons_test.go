package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// waitReasons returns the reasons that the log gave for the waits of lasting tasks, the newest last.
func (b *testCell) waitReasons() []cell.WaitReason {
	var list []cell.WaitReason
	for _, n := range b.notes {
		if n.Kind == cell.NoteLastingWaits {
			list = append(list, n.Reason)
		}
	}
	return list
}

// Once a second the log gives the condition that keeps a lasting task from running.
func TestLogGivesReasonOfLastingTaskWait(t *testing.T) {
	t.Parallel()
	lasting := &wire.StepSpec{Count: 1, Millicores: 30000, Lasting: true, TailTargetMs: 100, Image: "s1"}
	free := &wire.CellLoad{Leading: true, Cell: "other", LargestFreeMillicores: 32000, FreeMillicores: 64000, FreeEach: []int64{32000, 32000}}
	for _, c := range []struct {
		name  string
		other *wire.CellLoad
		down  bool
		want  cell.WaitReason
	}{
		{"no cell has capacity", nil, false, cell.WaitCapacity},
		{"another cell has capacity", free, false, cell.WaitDelegation},
		{"the table is unavailable", free, true, cell.WaitTableSilent},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newBusyCell()
			b.tableDown = c.down
			b.step(300 * time.Millisecond)
			b.accept("00000000000000ff", "watches", lasting)
			b.notes = nil
			for range 90 {
				if c.other != nil {
					b.state.Take(b.now, cell.PeerLoad{Load: c.other})
				}
				b.step(20 * time.Millisecond)
			}
			must.SliceContains(t, b.waitReasons(), c.want)
			must.SliceLen(t, 1, b.waitReasons(), must.Sprint("once a second, after the first one"))
		})
	}
}

// The number of log lines is limited, however many lasting tasks wait.
func TestLogLinesOfLastingWaitsAreLimited(t *testing.T) {
	t.Parallel()
	b := newBusyCell()
	b.accept("00000000000000ff", "watches", &wire.StepSpec{Count: 40, Millicores: 30000, Lasting: true, TailTargetMs: 100, Image: "s1"})
	b.notes = nil
	for range 150 {
		b.step(20 * time.Millisecond)
	}
	must.Between(t, 1, len(b.waitReasons()), 18)
}

// Guards against a wait that the log attributes to missing capacity, while the workers with capacity are at hosts that
// the task avoids.
func TestLogNamesTheWaitForAnotherHost(t *testing.T) {
	t.Parallel()
	b, free := newCellWithOneFreeWorker(t)
	b.state.Take(b.now, cell.JobAccepted{Spec: &wire.JobSpec{
		Id: delegatedJob, Queue: "watches", Service: "quotes", Cell: "hall", Home: "home",
		Steps: []*wire.StepSpec{{Count: 1, Millicores: 6000, Lasting: true}}, Guest: []*wire.TaskRef{{Lending: 1, Crashes: crashNotes(free)}},
	}})
	for range 25 {
		b.step(100 * time.Millisecond)
	}
	must.SliceContains(t, b.waitReasons(), cell.WaitOtherHost)
}

// Capacity that the step's spread does not allow the task to use is no capacity for it.
func TestLogCountsNoCapacityBeyondTheSpread(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.accept("00000000000000aa", "watches", &wire.StepSpec{Count: 17, Millicores: 6000, Lasting: true, Spread: 1, TailTargetMs: 100, Image: "s1"})
	for range 30 {
		b.step(50 * time.Millisecond)
	}
	must.SliceContains(t, b.waitReasons(), cell.WaitCapacity)
	for _, n := range b.notes {
		if n.Kind == cell.NoteLastingWaits {
			must.Eq(t, 0, n.FitsHere)
		}
	}
}

// lastWaitFor returns the newest log line with a given reason on the wait of a lasting task.
func (b *testCell) lastWaitFor(reason cell.WaitReason) cell.Note {
	last := cell.Note{}
	for _, n := range b.notes {
		if n.Kind == cell.NoteLastingWaits && n.Reason == reason {
			last = n
		}
	}
	return last
}

// Guards against an unsettled task of which the log does not say for which member it waits, and for how much longer.
func TestLogNamesTheMemberThatAnUnsettledTaskWaitsFor(t *testing.T) {
	t.Parallel()
	successor, left := takeOverFromLeavingWorker(t, lastingJob("00000000000000ff"))
	for range 30 {
		successor.step(100 * time.Millisecond)
	}
	wait := successor.lastWaitFor(cell.WaitUnsettled)
	must.Eq(t, left, wait.Worker)
	must.Between(t, 12*time.Second, wait.Left, 15*time.Second)
}

// Guards against a wait for a kept worker of which the log does not say for which task's isolated run it is kept.
func TestLogNamesTheTaskForWhichAWorkerIsKept(t *testing.T) {
	t.Parallel()
	b, free := newCellWithOneFreeWorker(t)
	b.state.Take(b.now, cell.JobAccepted{Spec: &wire.JobSpec{
		Id: delegatedJob, Queue: "offers", Service: "quotes", Cell: "hall", Home: "home",
		Steps: []*wire.StepSpec{{Count: 1, Millicores: 6000}}, Guest: []*wire.TaskRef{{Lending: 1, Crashes: crashNotes("a", "b")}},
	}})
	for began := b.now; !b.started[delegatedJob+".0.0.0"] && b.now.Sub(began) < 5*time.Second; {
		b.step(50 * time.Millisecond)
	}
	b.accept("00000000000000bb", "watches", &wire.StepSpec{Count: 1, Millicores: 6000, Lasting: true})
	for range 40 {
		b.step(50 * time.Millisecond)
	}
	wait := b.lastWaitFor(cell.WaitWorkerKept)
	must.Eq(t, free, wait.Worker)
	must.Eq(t, delegatedJob+".0.0.0", wait.KeptFor)
}
