package cell_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// A task crashed each worker that started it, 10 ms later. Nothing was remembered of a run that ended
// with its worker, so it was started anew as soon as the next life answered, beside what had died with
// it, on the same worker, each time; a count alone would have given up its neighbours, too. In a
// leader's log, in one millisecond, and again every 3.2 to 3.6 s:
//
//	task-lost  ...0.1.0 run 1000927  "its host runs ..."
//	task-start ...0.1.0 run 1001032  "after 20.822s, 400 millicores left"
//	task-lost  ...0.0.1 run 1000780 (7.9 s old), and eight more
func TestATaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	guilty := f.accept(1, oneTask())
	f.guilty[guilty+".0.0.0"] = 10 * time.Millisecond
	var others []string
	for i := range 60 {
		others = append(others, f.accept(100+i, oneTask()))
		f.run(40 * time.Millisecond)
	}
	f.run(30 * time.Second)
	must.Eq(t, 3, len(f.starts[guilty+".0.0.0"]))
	must.StrContains(t, f.ended[guilty], "crashed 3 workers that ran it")
	must.Eq(t, len(others), f.done(others))
	must.MapLen(t, 1, f.ended)
}

// Two of them are started together, on the same worker: both are given up, and nothing else is.
func TestTwoThatAreStartedTogetherAreToldApartFromTheRest(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	var others []string
	for i := range 20 {
		others = append(others, f.accept(100+i, oneTask()))
	}
	guilty := []string{f.accept(1, oneTask()), f.accept(2, oneTask())}
	for _, id := range guilty {
		f.guilty[id+".0.0.0"] = 10 * time.Millisecond
	}
	f.run(60 * time.Second)
	for _, id := range guilty {
		must.StrContains(t, f.ended[id], "workers that ran it")
		must.LessEq(t, 5, len(f.starts[id+".0.0.0"]))
	}
	must.Eq(t, len(others), f.done(others))
	must.MapLen(t, 2, f.ended)
}

// What is held against a task stands in the table: successors go on from there, though each leader
// dies soon after a crash.
func TestSuspicionOutlastsTakeovers(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	guilty := f.accept(1, oneTask())
	task := guilty + ".0.0.0"
	f.guilty[task] = 10 * time.Millisecond
	for range 8 {
		before := len(f.starts[task])
		for range 600 {
			f.run(crashStep)
			if len(f.starts[task]) > before {
				break
			}
		}
		f.run(400 * time.Millisecond)
		f.lead()
	}
	f.run(20 * time.Second)
	must.LessEq(t, 5, len(f.starts[task]))
	must.StrContains(t, f.ended[guilty], "workers that ran it")
}

// A leader that tries a task and dies before it learns what became of it: the record says that a run
// may have been there, so it counts.
func TestATrialThatNobodySawCounts(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	guilty := f.accept(1, oneTask())
	task := guilty + ".0.0.0"
	f.guilty[task] = 10 * time.Millisecond
	for range 2000 {
		f.run(crashStep)
		if len(f.starts[task]) == 3 {
			break
		}
	}
	must.Eq(t, 3, len(f.starts[task]))
	f.lead()
	f.run(20 * time.Second)
	must.LessEq(t, 4, len(f.starts[task]))
	must.StrContains(t, f.ended[guilty], "workers that ran it")
}

// Workers crash again and again under tasks that have nothing to do with it, all at once: nobody is
// given up, and all ends well when it stops.
func TestCrashesOfManyWorkersAccuseNobody(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	var others []string
	for i := range 40 {
		others = append(others, f.accept(100+i, oneTask()))
	}
	for range 6 {
		f.run(2 * time.Second)
		for _, w := range f.sorted() {
			if !w.gone {
				f.end(w, time.Second)
			}
		}
	}
	f.run(20 * time.Second)
	must.MapEmpty(t, f.ended)
	must.Eq(t, len(others), f.done(others))
}

// A suspect that runs for long is cleared: workers that crash later say nothing of before.
func TestASuspectThatRunsWellIsCleared(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	lasting := f.accept(1, &wire.StepSpec{Count: 1, Millicores: 1000, Lasting: true, EstimateMs: 500})
	task := lasting + ".0.0.0"
	f.guilty[task] = time.Hour // it never ends
	for range 6 {
		before := len(f.starts[task])
		f.run(12 * time.Second)
		must.Greater(t, before, len(f.starts[task])+1)
		for _, w := range f.sorted() {
			if _, runs := w.runs[task]; runs {
				f.end(w, time.Second)
			}
		}
	}
	f.run(10 * time.Second)
	must.MapEmpty(t, f.ended)
}

// An operator takes a suspicion back: the task starts like any other.
func TestAnOperatorTakesASuspicionBack(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	id := f.accept(1, oneTask())
	f.guilty[id+".0.0.0"] = 10 * time.Millisecond
	f.run(5 * time.Second)
	suspects := f.state.Suspects()
	must.SliceLen(t, 1, suspects)
	must.Eq(t, id+".0.0.0", suspects[0].Task)
	must.Positive(t, f.state.Counts(f.now).Suspects)
	f.state.Take(f.now, cell.ClearSuspicion{Task: id + ".0.0.0"})
	must.SliceEmpty(t, f.state.Suspects())
	delete(f.guilty, id+".0.0.0")
	f.run(6 * time.Second)
	must.Eq(t, 1, f.done([]string{id}))
}

// In a cell of few workers all of them have crashed under the task by the time that it is tried, and one
// crash was lost with its leader: one more, alone, at a host that runs well without it, still names it.
func TestAFewWorkersAreEnoughToNameATask(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	for _, id := range []string{"w3", "w4", "w5"} {
		delete(f.workers, id)
	}
	f.lead()
	f.run(time.Second)
	ids := []string{f.accept(1, oneTask()), f.accept(2, oneTask())}
	for _, id := range ids {
		f.guilty[id+".0.0.0"] = 20 * time.Millisecond
	}
	f.run(40 * time.Millisecond)
	f.lead() // the first crash was not noticed yet
	for range 400 {
		f.run(10 * time.Millisecond)
		if len(f.starts[ids[0]+".0.0.0"]) == 3 {
			break
		}
	}
	for _, w := range f.sorted() { // others crash in the same moment as under the third start
		if _, runs := w.runs[ids[0]+".0.0.0"]; !runs && !w.gone {
			f.end(w, time.Second)
		}
	}
	f.run(80 * time.Second)
	for _, id := range ids {
		must.StrContains(t, f.ended[id], "workers that ran it")
		must.LessEq(t, 5, len(f.starts[id+".0.0.0"]))
	}
}

// A job that did nothing wrong was given up after runs in which many other workers crashed, the last of them isolated: the
// run that decides waits until workers don't crash any more.
func TestTheRunThatDecidesWaitsUntilWorkersDoNotCrash(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	id := f.accept(1, oneTask())
	outside := func(worker string) *wire.CrashNote {
		return &wire.CrashNote{Worker: worker, Run: 1, Host: worker, Began: true, Lives: 3, Outside: true}
	}
	f.rows[id] = &wire.JobProgress{Id: id, Units: []*wire.UnitProgress{{Notes: []*wire.TaskNote{{Crashes: []*wire.CrashNote{outside("a"), outside("b"), outside("c")}}}}}}
	f.lead()
	for i := range 4 {
		f.end(f.workers["w"+strconv.Itoa(i)], crashBack)
		f.end(f.workers["w"+strconv.Itoa((i+1)%4)], crashBack)
		f.run(2 * time.Second)
	}
	must.MapEmpty(t, f.starts)
	f.run(8 * time.Second)
	must.MapEmpty(t, f.ended)
	must.Eq(t, 1, f.done([]string{id}))
}
