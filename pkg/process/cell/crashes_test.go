package cell_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// A task that crashes each worker 10 ms after its start was started again without end, every 3.2 to 3.6 s, since a run
// that ended with its worker left no evidence. It started again on the same worker as soon as the next incarnation
// answered, beside the tasks that it had crashed before (eight of them in one case, with runs up to 7.9 s old). A count
// of crashes alone would have failed the jobs of these neighbours, too.
func TestATaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	poisonous := f.accept(1, oneTask())
	f.crashAfter[poisonous+".0.0.0"] = 10 * time.Millisecond
	var others []string
	for i := range 60 {
		others = append(others, f.accept(100+i, oneTask()))
		f.run(40 * time.Millisecond)
	}
	f.run(30 * time.Second)
	must.Eq(t, 3, len(f.starts[poisonous+".0.0.0"]))
	must.StrContains(t, f.failedJobs[poisonous], "crashed 3 workers that ran it")
	must.Eq(t, len(others), f.countCompleted(others))
	must.MapLen(t, 1, f.failedJobs)
}

// Two crashing tasks start together on the same worker: both jobs fail, and no other job does.
func TestTwoCrashingTasksOnOneWorkerBothFail(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	var others []string
	for i := range 20 {
		others = append(others, f.accept(100+i, oneTask()))
	}
	poisonous := []string{f.accept(1, oneTask()), f.accept(2, oneTask())}
	for _, id := range poisonous {
		f.crashAfter[id+".0.0.0"] = 10 * time.Millisecond
	}
	f.run(60 * time.Second)
	for _, id := range poisonous {
		must.StrContains(t, f.failedJobs[id], "workers that ran it")
		must.LessEq(t, 5, len(f.starts[id+".0.0.0"]))
	}
	must.Eq(t, len(others), f.countCompleted(others))
	must.MapLen(t, 2, f.failedJobs)
}

// The table holds the evidence against a task: successors go on from it, though each leader dies soon
// after a crash.
func TestCrashEvidenceSurvivesTakeovers(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	poisonous := f.accept(1, oneTask())
	task := poisonous + ".0.0.0"
	f.crashAfter[task] = 10 * time.Millisecond
	for range 8 {
		before := len(f.starts[task])
		for range 600 {
			f.run(crashStep)
			if len(f.starts[task]) > before {
				break
			}
		}
		f.run(400 * time.Millisecond)
		f.newLeader()
	}
	f.run(20 * time.Second)
	must.LessEq(t, 5, len(f.starts[task]))
	must.StrContains(t, f.failedJobs[poisonous], "workers that ran it")
}

// A leader orders an isolated run and dies before it learns of the crash. The record says that there may have been
// a run, so the successor counts it as evidence.
func TestARecordedIsolatedRunCountsAfterATakeover(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	poisonous := f.accept(1, oneTask())
	task := poisonous + ".0.0.0"
	f.crashAfter[task] = 10 * time.Millisecond
	for range 2000 {
		f.run(crashStep)
		if len(f.starts[task]) == 3 {
			break
		}
	}
	must.Eq(t, 3, len(f.starts[task]))
	f.newLeader()
	f.run(20 * time.Second)
	must.LessEq(t, 4, len(f.starts[task]))
	must.StrContains(t, f.failedJobs[poisonous], "workers that ran it")
}

// All workers crash at the same time, several times, without a fault of any task: no job fails, and all jobs
// complete once the crashes stop.
func TestSimultaneousCrashesFailNoJob(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	var others []string
	for i := range 40 {
		others = append(others, f.accept(100+i, oneTask()))
	}
	for range 6 {
		f.run(2 * time.Second)
		for _, w := range f.sorted() {
			if !w.down {
				f.crashWorker(w, time.Second)
			}
		}
	}
	f.run(20 * time.Second)
	must.MapEmpty(t, f.failedJobs)
	must.Eq(t, len(others), f.countCompleted(others))
}

// A task whose run lasts long is exonerated: later crashes of its worker don't add to earlier evidence.
func TestALongRunExoneratesASuspect(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	lasting := f.accept(1, &wire.StepSpec{Count: 1, Millicores: 1000, Lasting: true, EstimateMs: 500})
	task := lasting + ".0.0.0"
	f.crashAfter[task] = time.Hour // crashes nothing within the test, and does not end by itself
	for range 6 {
		before := len(f.starts[task])
		f.run(12 * time.Second)
		must.Greater(t, before, len(f.starts[task])+1)
		for _, w := range f.sorted() {
			if _, runs := w.runs[task]; runs {
				f.crashWorker(w, time.Second)
			}
		}
	}
	f.run(10 * time.Second)
	must.MapEmpty(t, f.failedJobs)
}

// An operator drops the evidence against a task: it starts like any other.
func TestAnOperatorClearsASuspect(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	id := f.accept(1, oneTask())
	f.crashAfter[id+".0.0.0"] = 10 * time.Millisecond
	f.run(5 * time.Second)
	suspects := f.state.Suspects()
	must.SliceLen(t, 1, suspects)
	must.Eq(t, id+".0.0.0", suspects[0].Task)
	must.Positive(t, f.state.Counts(f.now).Suspects)
	f.state.Take(f.now, cell.ClearSuspicion{Task: id + ".0.0.0"})
	must.SliceEmpty(t, f.state.Suspects())
	delete(f.crashAfter, id+".0.0.0")
	f.run(6 * time.Second)
	must.Eq(t, 1, f.countCompleted([]string{id}))
}

// In a cell of few workers each has crashed under the task before its isolated run, and the evidence of one
// crash was lost with its leader. One more crash of an isolated run, at a host that is healthy without the task, is
// still enough to fail the job.
func TestACrashingTaskFailsInACellOfFewWorkers(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	for _, id := range []string{"w3", "w4", "w5"} {
		delete(f.workers, id)
	}
	f.newLeader()
	f.run(time.Second)
	ids := []string{f.accept(1, oneTask()), f.accept(2, oneTask())}
	for _, id := range ids {
		f.crashAfter[id+".0.0.0"] = 20 * time.Millisecond
	}
	f.run(40 * time.Millisecond)
	f.newLeader() // before the first crash is noticed
	for range 400 {
		f.run(10 * time.Millisecond)
		if len(f.starts[ids[0]+".0.0.0"]) == 3 {
			break
		}
	}
	for _, w := range f.sorted() { // the other workers crash at the same time as the one with the third start
		if _, runs := w.runs[ids[0]+".0.0.0"]; !runs && !w.down {
			f.crashWorker(w, time.Second)
		}
	}
	f.run(80 * time.Second)
	for _, id := range ids {
		must.StrContains(t, f.failedJobs[id], "workers that ran it")
		must.LessEq(t, 5, len(f.starts[id+".0.0.0"]))
	}
}

// A job without a poisonous task failed after several of its runs had ended while many other workers crashed. The last
// of these runs was isolated. The run that would make the task poisonous waits for a quiet period.
func TestADecisiveRunWaitsForAQuietPeriod(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	id := f.accept(1, oneTask())
	outside := func(worker string) *wire.CrashNote {
		return &wire.CrashNote{Worker: worker, Run: 1, Host: worker, Began: true, Lives: 3, Outside: true}
	}
	f.rows[id] = &wire.JobProgress{Id: id, Units: []*wire.UnitProgress{{Notes: []*wire.TaskNote{{Crashes: []*wire.CrashNote{outside("a"), outside("b"), outside("c")}}}}}}
	f.newLeader()
	for i := range 4 {
		f.crashWorker(f.workers["w"+strconv.Itoa(i)], restartDelay)
		f.crashWorker(f.workers["w"+strconv.Itoa((i+1)%4)], restartDelay)
		f.run(2 * time.Second)
	}
	must.MapEmpty(t, f.starts)
	f.run(8 * time.Second)
	must.MapEmpty(t, f.failedJobs)
	must.Eq(t, 1, f.countCompleted([]string{id}))
}
