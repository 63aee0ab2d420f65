package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// A cell that has not yet settled the runs of its earlier leaders would hold a delegated task back, so it gets none.
func TestNoTaskIsDelegatedToUnsettledCell(t *testing.T) {
	t.Parallel()
	b := newBusyCell()
	b.accept(delegatedJob, "watches", &wire.StepSpec{Count: 1, Millicores: 30000, Lasting: true, TailTargetMs: 100, Image: "s1"})
	delegated := func() bool {
		found := false
		b.eachPut(t, rows.SpecKey("other", delegatedJob), func(table.Row) { found = true })
		return found
	}
	load := loadWithCapacity("other")
	load.Load.SettlesInMs = 8000
	for range 60 {
		b.state.Take(b.now, load)
		b.step(50 * time.Millisecond)
	}
	must.False(t, delegated())
	b.state.Take(b.now, loadWithCapacity("other"))
	b.step(100 * time.Millisecond)
	must.True(t, delegated())
}

// While a leader waits for the first answer of a worker, its load message reports how long that may still take.
func TestLoadReportsTimeUntilCellSettles(t *testing.T) {
	t.Parallel()
	v := newTakeover(15 * time.Second)
	v.runUntilStart(time.Second)
	must.Between(t, 13000, v.state.Load(v.now, false).GetSettlesInMs(), 14100)
	v.runUntilStart(15 * time.Second)
	must.Eq(t, 0, v.state.Load(v.now, false).GetSettlesInMs())
}

// The wait of a task counts from its last run, across handovers between cells. A returned task is delegated to a third
// cell at once, and its specification there reports how long the task has waited.
func TestWaitOfLastingTaskCountsAcrossHandovers(t *testing.T) {
	t.Parallel()
	b := newBusyCell()
	b.accept(delegatedJob, "watches", &wire.StepSpec{Count: 1, Millicores: 30000, Lasting: true, TailTargetMs: 100, Image: "s1"})
	for range 60 {
		b.state.Take(b.now, loadWithCapacity("full"))
		b.step(50 * time.Millisecond)
	}
	spec := &wire.JobSpec{}
	b.eachPut(t, rows.SpecKey("full", delegatedJob), func(r table.Row) { must.NoError(t, rows.Read(r, spec)) })
	must.Between(t, 2000, spec.GetGuest()[0].GetWaitedMs(), 2200)
	b.state.Take(b.now, cell.TasksReturned{Tasks: &wire.ReturnedTasks{Id: delegatedJob, From: "full", Tasks: []*wire.TaskRef{{Lending: 1, WaitedMs: 3600}}}})
	b.records = nil
	for range 10 {
		b.state.Take(b.now, loadWithCapacity("third"))
		b.step(50 * time.Millisecond)
	}
	spec = &wire.JobSpec{}
	b.eachPut(t, rows.SpecKey("third", delegatedJob), func(r table.Row) { must.NoError(t, rows.Read(r, spec)) })
	must.Len(t, 1, spec.GetGuest())
	must.Between(t, 3900, spec.GetGuest()[0].GetWaitedMs(), 4200)
}

// A delegated task that loses its run is restarted in the target cell, if it can be, and not returned.
func TestDelegatedTaskThatLosesItsRunRestartsInSameCell(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.state.Take(b.now, cell.JobAccepted{Spec: &wire.JobSpec{
		Id: delegatedJob, Queue: "watches", Service: "quotes", Cell: "hall", Home: "home",
		Steps: []*wire.StepSpec{{Count: 1, Millicores: 6000, Lasting: true}}, Guest: []*wire.TaskRef{{Lending: 1}},
	}})
	b.step(100 * time.Millisecond)
	task := delegatedJob + ".0.0.0"
	first := b.workerOf[task]
	must.NotEq(t, "", first)
	b.silent[first] = true
	b.records = nil
	b.register(16)
	for range 60 {
		b.state.Take(b.now, loadWithCapacity("third"))
		b.step(100 * time.Millisecond)
	}
	must.NotEq(t, first, b.workerOf[task])
	b.eachPut(t, rows.ReturnKey("home", delegatedJob, "hall"), func(table.Row) { t.Error("returned") })
}

// A lasting task whose worker fell silent is delegated once its lease is over, although it is not known whether the
// worker crashed. Only a task that one more crash may give up waits until that is known.
func TestLastingTaskOfSilentWorkerIsDelegatedAfterItsLease(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.accept(delegatedJob, "watches", &wire.StepSpec{Count: 16, Millicores: 30000, Lasting: true, TailTargetMs: 100, Image: "s1"})
	for range 25 {
		b.step(100 * time.Millisecond)
	}
	must.MapLen(t, 16, b.started)
	b.silent["w03"] = true
	b.records = nil
	delegated := false
	for range 55 {
		b.state.Take(b.now, loadWithCapacity("other"))
		b.step(100 * time.Millisecond)
		b.eachPut(t, rows.SpecKey("other", delegatedJob), func(table.Row) { delegated = true })
	}
	must.True(t, delegated)
}

// A task that has to run isolated is handed over before it is known whether its silent worker crashed. If the wait for
// that outcome began anew in each cell, no cell would keep the task long enough to start it.
func TestWaitForCrashOutcomeCountsAcrossHandovers(t *testing.T) {
	t.Parallel()
	for name, step := range map[string]*wire.StepSpec{
		"lasting": {Count: 1, Millicores: 6000, Lasting: true}, "gang": {Count: 1, Millicores: 6000, Gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newEmptyCell()
			crash := func(worker string, silent bool) *wire.CrashNote {
				return &wire.CrashNote{Worker: worker, Run: 1, Host: worker, Began: true, Company: 9, Lives: 1, Silent: silent}
			}
			b.state.Take(b.now, cell.JobAccepted{Spec: &wire.JobSpec{
				Id: delegatedJob, Cell: "hall", Home: "other", Queue: "watches", Service: "quotes", Steps: []*wire.StepSpec{step},
				Guest: []*wire.TaskRef{{Lending: 1, WaitedMs: 11000, Crashes: []*wire.CrashNote{crash("a", false), crash("b", false), crash("c", true)}}},
			}})
			for range 20 {
				b.step(50 * time.Millisecond)
			}
			must.MapLen(t, 1, b.started)
		})
	}
}

// Guards against an overdue task that stays in its cell beside capacity that it can't use, while the only place that it could
// use in other cells is left to short tasks: by the platform's rules it fits twice.
func TestOverdueTaskTakesTheLastPlaceElsewhereBesideUnusableCapacity(t *testing.T) {
	t.Parallel()
	b := newBusyCell()
	b.reports["w16"] = &workers.Report{}
	b.register(17) // the membership does not name the new worker yet, so it gets no work
	b.accept(delegatedJob, "watches", &wire.StepSpec{Count: 1, Millicores: 30000, Lasting: true, TailTargetMs: 100, Image: "s1"})
	began, delegated := b.now, false
	for !delegated && b.now.Sub(began) < 8*time.Second {
		b.state.Take(b.now, cell.PeerLoad{Load: &wire.CellLoad{Leading: true, Cell: "other", LargestFreeMillicores: 32000, FreeMillicores: 40_000, FreeEach: []int64{32000, 8000}}})
		b.step(100 * time.Millisecond)
		b.eachPut(t, rows.SpecKey("other", delegatedJob), func(table.Row) { delegated = true })
	}
	must.True(t, delegated)
	must.Between(t, 4*time.Second, b.now.Sub(began), 5*time.Second)
}
