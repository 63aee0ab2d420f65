package cell_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// returnedTo reports whether the cell has recorded that it returns a task of the delegated job to its home cell.
func (b *testCell) returnedTo(t *testing.T, home string) bool {
	t.Helper()
	found := false
	b.eachPut(t, rows.ReturnKey(home, delegatedJob, "hall"), func(table.Row) { found = true })
	return found
}

// Guards against a task that is returned in the instant in which its cell settles, although it fits there: it was passed on
// for over two seconds more.
func TestDelegatedTaskStartsWhereItFitsOnceItsCellSettles(t *testing.T) {
	t.Parallel()
	v := newTakeoverOf(5*time.Second, cell.LoadedJob{Spec: &wire.JobSpec{
		Id: delegatedJob, Queue: "watches", Service: "quotes", Cell: "hall", Home: "home",
		Steps: []*wire.StepSpec{{Count: 1, Millicores: 6000, Lasting: true}}, Guest: []*wire.TaskRef{{Lending: 1, WaitedMs: 1000}},
	}})
	v.state.Take(v.now, cell.MembershipRecorded{IDs: []string{"reached", "cut-off"}})
	started := false
	for range 80 {
		v.state.Take(v.now, loadWithCapacity("third"))
		if _, started = v.runUntilStart(100 * time.Millisecond); started {
			break
		}
	}
	must.True(t, started)
}

// Guards against a wait for an isolated run that each cell begins anew: a task that has been without a run for longer than
// the rule allows starts where it is, and is not moved once more.
func TestOverdueTaskStartsWithoutIsolationInTheCellThatHoldsIt(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	for i := range 5 { // as many isolated runs as the cell allows at a time
		b.state.Take(b.now, cell.JobAccepted{Spec: &wire.JobSpec{
			Id: fmt.Sprintf("%016x", 1+i), Queue: "offers", Service: "quotes", Cell: "hall", Home: "home",
			Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000}}, Guest: []*wire.TaskRef{{Lending: 1, Crashes: crashNotes("a", "b")}},
		}})
	}
	for range 40 {
		b.step(50 * time.Millisecond)
	}
	must.MapLen(t, 5, b.started)
	b.state.Take(b.now, cell.JobAccepted{Spec: &wire.JobSpec{
		Id: delegatedJob, Queue: "watches", Service: "quotes", Cell: "hall", Home: "home",
		Steps: []*wire.StepSpec{{Count: 1, Millicores: 6000, Lasting: true}}, Guest: []*wire.TaskRef{{Lending: 1, WaitedMs: 4500, Crashes: crashNotes("a", "b")}},
	}})
	for range 36 {
		b.state.Take(b.now, loadWithCapacity("third"))
		b.step(50 * time.Millisecond)
	}
	must.True(t, b.started[delegatedJob+".0.0.0"])
	must.False(t, b.returnedTo(t, "home"))
}

// Guards against a wait for a host that has not crashed under a task while only hosts that have crashed under it have
// capacity: a lasting task waited for five or ten seconds there.
func TestOverdueTaskStartsAtAHostThatCrashedUnderIt(t *testing.T) {
	t.Parallel()
	for name, others := range map[string][]string{"suspect": nil, "needs isolation": {"gone"}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, free := newCellWithOneFreeWorker(t)
			b.state.Take(b.now, cell.JobAccepted{Spec: &wire.JobSpec{
				Id: delegatedJob, Queue: "watches", Service: "quotes", Cell: "hall", Home: "home",
				Steps: []*wire.StepSpec{{Count: 1, Millicores: 6000, Lasting: true}},
				Guest: []*wire.TaskRef{{Lending: 1, Crashes: crashNotes(append([]string{free}, others...)...)}},
			}})
			for range 39 {
				b.step(100 * time.Millisecond)
			}
			must.Eq(t, "", b.workerOf[delegatedJob+".0.0.0"], must.Sprint("another host may get capacity"))
			for range 7 {
				b.step(100 * time.Millisecond)
			}
			must.Eq(t, free, b.workerOf[delegatedJob+".0.0.0"])
		})
	}
}

// Guards against capacity beside an isolated run that other cells learn of too late to use it within three seconds.
func TestLoadReportsCapacityBesideAnIsolatedRunSoonAfterItsStart(t *testing.T) {
	t.Parallel()
	b, _ := newCellWithOneFreeWorker(t)
	b.state.Take(b.now, cell.JobAccepted{Spec: &wire.JobSpec{
		Id: delegatedJob, Queue: "offers", Service: "quotes", Cell: "hall", Home: "home",
		Steps: []*wire.StepSpec{{Count: 1, Millicores: 6000}}, Guest: []*wire.TaskRef{{Lending: 1, Crashes: crashNotes("a", "b")}},
	}})
	began := b.now
	for !b.started[delegatedJob+".0.0.0"] && b.now.Sub(began) < 5*time.Second {
		b.step(50 * time.Millisecond)
	}
	must.True(t, b.started[delegatedJob+".0.0.0"])
	must.SliceEmpty(t, b.state.Load(b.now, false).GetLastingFreeEach())
	for range 32 {
		b.step(50 * time.Millisecond)
	}
	must.Eq(t, []int64{26000}, b.state.Load(b.now, false).GetLastingFreeEach())
}

// Guards against suspects that start together each time, once both may start without isolation: five crashes gave up the
// jobs of the harmless ones with that of the task that crashed its workers.
func TestSuspectsWithoutIsolationStartOneAfterTheOther(t *testing.T) {
	t.Parallel()
	b, _ := newCellWithOneFreeWorker(t)
	b.accept("00000000000000bb", "offers", &wire.StepSpec{Count: 1, Millicores: 32000, MemoryMb: 1000, EstimateMs: 60000})
	b.step(100 * time.Millisecond)
	must.MapLen(t, 16, b.started)
	b.state.Take(b.now, cell.JobAccepted{Spec: &wire.JobSpec{
		Id: delegatedJob, Queue: "watches", Service: "quotes", Cell: "hall", Home: "home",
		Steps: []*wire.StepSpec{{Count: 2, Millicores: 6000, Lasting: true}},
		Guest: []*wire.TaskRef{{Lending: 1, WaitedMs: 3500, Crashes: crashNotes("a", "b")}, {Index: 1, Lending: 1, WaitedMs: 3500, Crashes: crashNotes("a", "b")}},
	}})
	for range 40 {
		b.step(50 * time.Millisecond)
	}
	must.MapLen(t, 16, b.started)
	b.finish("00000000000000bb.0.0.0", workers.EndedDone)
	starts := func() int { return len(b.started) - 16 }
	for starts() == 0 {
		b.step(50 * time.Millisecond)
	}
	first := b.now
	must.Eq(t, 1, starts())
	for starts() == 1 && b.now.Sub(first) < 3*time.Second {
		b.step(50 * time.Millisecond)
	}
	must.Between(t, 1300*time.Millisecond, b.now.Sub(first), 2*time.Second)
}

// Guards against a lasting task that is kept in a full cell because a place is free whenever its handover is decided, while
// tasks that are placed before it take each of them.
func TestTaskIsDelegatedFromACellWhereOthersTakeEachFreePlace(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.accept("00000000000000bb", "watches", &wire.StepSpec{Count: 2000, Millicores: 32000, MemoryMb: 1000, EstimateMs: 1000})
	b.step(50 * time.Millisecond)
	b.accept(delegatedJob, "offers", &wire.StepSpec{Count: 1, Millicores: 6000, MemoryMb: 1000, Lasting: true, TailTargetMs: 100, Image: "s1"})
	delegated, done := false, map[string]bool{}
	for i := range 60 {
		for task := range b.started {
			firstHalf := b.workerOf[task] < "w08"
			if !done[task] && !strings.HasPrefix(task, delegatedJob) && firstHalf == (i%2 == 0) {
				done[task] = true
				b.finish(task, workers.EndedDone)
			}
		}
		b.state.Take(b.now, loadWithCapacity("third"))
		b.step(50 * time.Millisecond)
		b.eachPut(t, rows.SpecKey("third", delegatedJob), func(table.Row) { delegated = true })
	}
	must.True(t, delegated)
}
