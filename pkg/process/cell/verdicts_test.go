package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// stepUntilCrash runs until a leader has noticed the crash of a given worker.
func (f *waitingPolls) stepUntilCrash(t *testing.T, worker string) {
	t.Helper()
	for range 200 {
		f.step()
		if w := f.workers[worker]; w.down {
			f.step()
			return
		}
	}
	t.Fatal("no crash")
}

// Guards against a job without a fault that fails in a wave of crashes: the leader decided on the first crash of the
// wave, whose worker was back at once, before it knew of the others, which came some milliseconds later.
func TestJobDoesNotFailForTheFirstCrashOfAWave(t *testing.T) {
	t.Parallel()
	f, id := newIsolatedStart(100 * time.Millisecond)
	ran := f.stepUntilStart(t, id)
	f.stepUntilCrash(t, ran)
	f.workers[ran].upAt = f.now.Add(50 * time.Millisecond)
	for begin := f.now; f.now.Sub(begin) < 250*time.Millisecond; {
		f.step()
	}
	for _, w := range f.sorted() {
		if w.id != ran {
			f.crashWorker(w, time.Second)
		}
	}
	delete(f.crashAfter, id+".0.0.0")
	for range 3000 {
		f.step()
	}
	must.MapEmpty(t, f.failedJobs)
	must.Greater(t, 1, len(f.starts[id+".0.0.0"]))
}

// Guards against a poisonous task without a bound on its starts if its leader ends between the crash that shows it and the
// failure of its job. The successor doesn't know which workers went silent together, and asks for one more crash.
func TestSuccessorFailsTheJobOfAPoisonousTask(t *testing.T) {
	t.Parallel()
	f, id := newIsolatedStart(100 * time.Millisecond)
	ran := f.stepUntilStart(t, id)
	f.stepUntilCrash(t, ran)
	f.workers[ran].upAt = f.now.Add(50 * time.Millisecond)
	f.stepFor(250 * time.Millisecond)
	must.Len(t, 3, f.rows[id].GetUnits()[0].GetNotes()[0].GetCrashes())
	must.MapEmpty(t, f.failedJobs)
	clear(f.polls)
	f.newLeader()
	f.stepFor(30 * time.Second)
	must.Len(t, 2, f.starts[id+".0.0.0"])
	must.StrContains(t, f.failedJobs[id], "crashed 4 workers that ran it")
}

// A job fails for a crash only after a poll of each other worker has been answered since, and no later than that.
func TestJobOfAPoisonousTaskFailsWithinAPoll(t *testing.T) {
	t.Parallel()
	f, id := newIsolatedStart(100 * time.Millisecond)
	ran := f.stepUntilStart(t, id)
	f.stepUntilCrash(t, ran)
	f.workers[ran].upAt = f.now.Add(500 * time.Millisecond)
	must.MapEmpty(t, f.failedJobs)
	for range 2000 {
		f.step()
		if f.failedJobs[id] != "" {
			return
		}
	}
	t.Fatal("the job does not fail")
}

// Guards against a task that waits on after a silent worker, whose crash would have made its job fail, has answered.
func TestTaskStartsOnceTheSilentWorkerThatWouldDecideAnswers(t *testing.T) {
	t.Parallel()
	f, task := newSilentFleet()
	for range 6000 {
		f.runCrashedStayDown()
		if len(f.starts[task]) == 4 {
			break
		}
	}
	must.Len(t, 4, f.starts[task])
	delete(f.crashAfter, task)
	for len(f.starts[task]) < 5 {
		f.run(crashStep)
	}
	fifth := f.workers[f.starts[task][4]]
	fifth.down, fifth.upAt = true, f.now.Add(time.Hour)
	f.run(time.Second)
	fifth.down, fifth.runs = false, map[string]crashRun{}
	f.run(20 * time.Second)
	must.MapEmpty(t, f.failedJobs)
	must.Greater(t, 5, len(f.starts[task]))
}
