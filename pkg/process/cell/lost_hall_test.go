package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// loseWorkers removes the registry rows of all workers and lets their leases expire, beside another cell that has
// workers, none of them with free capacity.
func (b *testCell) loseWorkers(span time.Duration) {
	for id := range b.reports {
		b.silent[id] = true
	}
	b.state.Take(b.now, cell.WorkersListed{})
	other := &wire.CellLoad{Leading: true, Cell: "other", CapacityMillicores: 64000, Labels: []string{"gpu"}}
	for until := b.now.Add(span); b.now.Before(until); {
		b.state.Take(b.now, cell.PeerLoad{Load: other})
		b.step(100 * time.Millisecond)
	}
}

// Guards against short tasks that wait without end in a hall that has lost its workers: tasks with a failed run, bound to
// a label, and fillers of an image of which other cells report no capacity.
func TestShortTasksLeaveAHallWithoutWorkers(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.accept(delegatedJob, "offers",
		&wire.StepSpec{Count: 1, Millicores: 3000, EstimateMs: 60_000},
		&wire.StepSpec{Count: 1, Millicores: 3000, EstimateMs: 1000, Label: "gpu"},
		&wire.StepSpec{Count: 1, Millicores: 3000, EstimateMs: 60_000, Filler: true, Image: "unknown"})
	b.step(50 * time.Millisecond)
	must.True(t, b.started[delegatedJob+".0.0.0"])
	b.finish(delegatedJob+".0.0.0", workers.EndedFailed)
	b.step(50 * time.Millisecond)
	b.loseWorkers(3800 * time.Millisecond)
	b.eachPut(t, rows.SpecKey("other", delegatedJob), func(table.Row) { t.Error("delegated before a lapsed row could return") })
	b.loseWorkers(12 * time.Second)
	delegated := &wire.JobSpec{}
	b.eachPut(t, rows.SpecKey("other", delegatedJob), func(r table.Row) { must.NoError(t, rows.Read(r, delegated)) })
	must.Len(t, 3, delegated.GetGuest())
}

// Guards against a short task of another cell that waits without end in a hall that has lost its workers.
func TestDelegatedShortTaskIsReturnedFromAHallWithoutWorkers(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.loseWorkers(100 * time.Millisecond)
	b.state.Take(b.now, cell.JobAccepted{Spec: &wire.JobSpec{
		Id: delegatedJob, Queue: "offers", Service: "quotes", Cell: "hall", Home: "home",
		Steps: []*wire.StepSpec{{Count: 1, Millicores: 3000, EstimateMs: 1000}}, Guest: []*wire.TaskRef{{Lending: 1}},
	}})
	b.loseWorkers(12 * time.Second)
	must.True(t, b.returnedTo(t, "home"))
}

// Guards against short tasks that leave a hall, whose workers come back, for a cell whose workers are too small for them.
func TestShortTasksStayWhereTheOnlyOtherCellCannotRunThem(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	var records []workers.Record
	for i := range 16 {
		id := fmt.Sprintf("w%02d", i)
		records = append(records, workers.Record{ID: id, Service: "quotes", Address: "x", Hall: "hall", Ready: true, Host: id, Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000}})
	}
	other := &wire.CellLoad{Leading: true, Cell: "other", CapacityMillicores: 64000, FreeMillicores: 64000, FreeEach: []int64{2000, 2000}, Worker: &wire.WorkerSize{Millicores: 2000, MemoryMb: 8000}}
	b.state.Take(b.now, cell.WorkersListed{})
	b.accept(delegatedJob, "offers", &wire.StepSpec{Count: 3, Millicores: 3000, EstimateMs: 1000})
	began, back := b.now, false
	for b.now.Sub(began) < 30*time.Second {
		if !back && b.now.Sub(began) >= 7*time.Second {
			back = true
			b.state.Take(b.now, cell.WorkersListed{Records: records})
		}
		b.state.Take(b.now, cell.PeerLoad{Load: other})
		b.step(100 * time.Millisecond)
	}
	must.MapLen(t, 3, b.started)
}

// Guards against a short task that stays in a target cell that can't run it, with capacity at home.
func TestTargetCellReturnsShortTaskThatItCannotRun(t *testing.T) {
	t.Parallel()
	for name, spec := range map[string]*wire.JobSpec{
		"too large":     {Queue: "offers", Service: "quotes", Steps: []*wire.StepSpec{{Count: 1, Millicores: 40000, EstimateMs: 1000}}},
		"other service": {Queue: "other", Service: "elsewhere", Steps: []*wire.StepSpec{{Count: 1, Millicores: 3000, EstimateMs: 1000}}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newEmptyCell()
			spec.Id, spec.Cell, spec.Home, spec.Guest = delegatedJob, "hall", "home", []*wire.TaskRef{{Lending: 1}}
			b.state.Take(b.now, cell.JobAccepted{Spec: spec})
			for range 600 {
				b.state.Take(b.now, loadWithCapacity("home"))
				b.step(100 * time.Millisecond)
			}
			must.True(t, b.returnedTo(t, "home"))
		})
	}
}

// Guards against a job that never ends: a task was returned, its run turns out to have ended well, and the home cell, which has not
// learned of that, delegates the task here again.
func TestTaskThatIsDoneHereIsReportedWhenItIsDelegatedAgain(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	delegate := func(lending int32) {
		b.state.Take(b.now, cell.JobAccepted{Spec: &wire.JobSpec{
			Id: delegatedJob, Queue: "offers", Service: "quotes", Cell: "hall", Home: "home",
			Steps: []*wire.StepSpec{{Count: 2, Millicores: 3000, EstimateMs: 1000}},
			Guest: []*wire.TaskRef{{Lending: lending}, {Index: 1, Lending: lending}},
		}})
	}
	delegate(1)
	b.step(50 * time.Millisecond)
	must.True(t, b.started[delegatedJob+".0.0.0"])
	b.loseWorkers(12 * time.Second)
	must.True(t, b.returnedTo(t, "home"))
	b.finish(delegatedJob+".0.0.0", workers.EndedDone)
	b.silent = map[string]bool{}
	b.register(len(b.reports))
	for range 20 {
		b.step(100 * time.Millisecond)
	}
	delegate(2)
	for range 5 {
		b.step(100 * time.Millisecond)
	}
	report := &wire.ReturnedTasks{}
	b.eachPut(t, rows.ReturnKey("home", delegatedJob, "hall"), func(r table.Row) { must.NoError(t, rows.Read(r, report)) })
	must.Len(t, 1, report.GetDone())
	must.Eq(t, 2, report.GetDone()[0].GetLending())
}

// Guards against the same where the leader ends before it has reported.
func TestSuccessorReportsTaskThatWasDoneHereBeforeItWasDelegatedAgain(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	spec := &wire.JobSpec{
		Id: delegatedJob, Queue: "offers", Service: "quotes", Cell: "hall", Home: "home",
		Steps: []*wire.StepSpec{{Count: 1, Millicores: 3000, EstimateMs: 1000}}, Guest: []*wire.TaskRef{{Lending: 2}},
	}
	progress := &wire.JobProgress{Id: delegatedJob, Home: "home", Phase: wire.JobPhase_JOB_PHASE_RUNNING, Units: []*wire.UnitProgress{{Done: []byte{1}}}}
	b.state.Take(b.now, cell.LeadershipGained{Epoch: 2, LeasesEndAt: b.now})
	b.state.Take(b.now, cell.Loaded{Epoch: 2, Wall: b.now, Fences: testFences(), Members: b.state.Members(), Jobs: []cell.LoadedJob{{Spec: spec, Progress: progress, Recorded: 3}}})
	for range 20 {
		b.step(100 * time.Millisecond)
	}
	report := &wire.ReturnedTasks{}
	b.eachPut(t, rows.ReturnKey("home", delegatedJob, "hall"), func(r table.Row) { must.NoError(t, rows.Read(r, report)) })
	must.Len(t, 1, report.GetDone())
	must.Eq(t, 2, report.GetDone()[0].GetLending())
}
