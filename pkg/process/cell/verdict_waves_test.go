package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// stepFor runs for a given time.
func (f *waitingPolls) stepFor(span time.Duration) {
	for until := f.now.Add(span); f.now.Before(until); {
		f.step()
	}
}

// crashOthers crashes all workers that are up, but for the given one.
func (f *waitingPolls) crashOthers(but string, span time.Duration) {
	for _, w := range f.sorted() {
		if w.id != but && !w.down {
			f.crashWorker(w, span)
		}
	}
}

// blink breaks the connections of workers for long enough that one poll of each fails; the workers go on.
func (f *waitingPolls) blink(ids ...string) {
	for _, id := range ids {
		f.workers[id].down, f.workers[id].upAt = true, f.now.Add(time.Hour)
	}
	f.step()
	for _, id := range ids {
		f.workers[id].down = false
	}
	f.stepFor(200 * time.Millisecond)
}

// newIsolatedStartAfterBlink returns the cell of newIsolatedStart at the start of the isolated run, and the run's worker.
// Connections of the given workers had broken for a moment 1.2 s earlier.
func newIsolatedStartAfterBlink(t *testing.T, ids ...string) (f *waitingPolls, id, ran string) {
	t.Helper()
	f, id = newIsolatedStart(100 * time.Millisecond)
	f.tableDown = true
	f.stepFor(300 * time.Millisecond)
	f.blink(ids...)
	f.stepFor(time.Second)
	must.MapEmpty(t, f.starts)
	f.tableDown = false
	return f, id, f.stepUntilStart(t, id)
}

// Guards against a job that fails in a wave of crashes since the worker of its isolated run had gone silent alone, and
// answered again, some seconds earlier: that silence is not the one of the crash.
func TestVerdictIsAboutTheLatestSilenceOfTheWorker(t *testing.T) {
	t.Parallel()
	for name, blinking := range map[string][]string{"no earlier silence": nil, "an earlier silence": {"w0"}} { // the first is green
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, id, ran := newIsolatedStartAfterBlink(t, blinking...)
			must.Eq(t, "w0", ran)
			f.stepUntilCrash(t, ran)
			f.workers[ran].upAt = f.now.Add(50 * time.Millisecond)
			f.stepFor(250 * time.Millisecond)
			f.crashOthers(ran, time.Second)
			delete(f.crashAfter, id+".0.0.0")
			f.stepFor(30 * time.Second)
			must.MapEmpty(t, f.failedJobs)
		})
	}
}

// Guards against a poisonous task that starts once more since the cell's workers had all gone silent for a moment, and
// answered again, before its isolated run: that is no outage at the time of the crash.
func TestEarlierSilenceOfAllWorkersExcusesNoLaterCrash(t *testing.T) {
	t.Parallel()
	for name, blinking := range map[string][]string{"no earlier silence": nil, "an earlier silence": {"w0", "w1", "w2", "w3", "w4", "w5"}} { // the first is green
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, id, _ := newIsolatedStartAfterBlink(t, blinking...)
			f.stepFor(40 * time.Second)
			must.Len(t, 1, f.starts[id+".0.0.0"])
			must.StrContains(t, f.failedJobs[id], "crashed 3 workers that ran it")
		})
	}
}

// Guards against a job that fails in a wave of crashes whose leader ends with it, or is deposed, while it awaits the
// verdict: the record holds the first crash of the wave as one without an external cause.
func TestSuccessorAwaitsTheOtherCrashesOfAWave(t *testing.T) {
	t.Parallel()
	for name, succeeded := range map[string]bool{"one leader": false, "a successor": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, id := newIsolatedStart(100 * time.Millisecond)
			ran := f.stepUntilStart(t, id)
			f.stepUntilCrash(t, ran)
			f.workers[ran].upAt = f.now.Add(50 * time.Millisecond)
			f.stepFor(250 * time.Millisecond)
			must.MapEmpty(t, f.failedJobs)
			f.crashOthers(ran, time.Second)
			delete(f.crashAfter, id+".0.0.0")
			if succeeded {
				must.Len(t, 3, f.rows[id].GetUnits()[0].GetNotes()[0].GetCrashes())
				clear(f.polls)
				f.newLeader()
			}
			f.stepFor(30 * time.Second)
			must.MapEmpty(t, f.failedJobs)
		})
	}
}

// Guards against a task that waits after its verdict was withdrawn, or a job that does nothing wrong and waits for long: a
// worker of the wave comes back under its id.
func TestTaskOfAWaveStartsAgainSoonAfterTheVerdict(t *testing.T) {
	t.Parallel()
	f, id := newIsolatedStart(100 * time.Millisecond)
	ran := f.stepUntilStart(t, id)
	f.stepUntilCrash(t, ran)
	f.workers[ran].upAt = f.now.Add(50 * time.Millisecond)
	f.stepFor(250 * time.Millisecond)
	f.crashOthers(ran, time.Second)
	delete(f.crashAfter, id+".0.0.0")
	begin := f.now
	for range 3000 {
		f.step()
		if len(f.starts[id+".0.0.0"]) > 1 {
			break
		}
	}
	must.Len(t, 2, f.starts[id+".0.0.0"])
	must.Less(t, 15*time.Second, f.now.Sub(begin))
}

// Guards against a task that waits on after an operator dropped the evidence against it while its verdict was awaited.
func TestClearedTaskAwaitsNoVerdict(t *testing.T) {
	t.Parallel()
	f, id := newIsolatedStart(100 * time.Millisecond)
	ran := f.stepUntilStart(t, id)
	f.stepUntilCrash(t, ran)
	f.workers[ran].upAt = f.now.Add(50 * time.Millisecond)
	f.stepFor(200 * time.Millisecond)
	must.MapEmpty(t, f.failedJobs)
	must.Eq(t, "guilty", f.state.Suspects()[0].Level)
	delete(f.crashAfter, id+".0.0.0")
	f.state.Take(f.now, cell.ClearSuspicion{Task: id + ".0.0.0"})
	f.stepFor(3 * time.Second)
	must.Len(t, 2, f.starts[id+".0.0.0"])
}

// A job that is cancelled while a verdict on its task is awaited ends as cancelled.
func TestJobCancelledBeforeTheVerdictEndsAsCancelled(t *testing.T) {
	t.Parallel()
	f, id := newIsolatedStart(100 * time.Millisecond)
	ran := f.stepUntilStart(t, id)
	f.stepUntilCrash(t, ran)
	f.workers[ran].upAt = f.now.Add(50 * time.Millisecond)
	f.stepFor(200 * time.Millisecond)
	must.MapEmpty(t, f.failedJobs)
	f.state.Take(f.now, cell.CancelRequested{ID: id})
	f.stepFor(20 * time.Second)
	must.MapEmpty(t, f.failedJobs)
	must.Len(t, 1, f.starts[id+".0.0.0"])
}

// A gang of which one member is poisonous neither starts nor fails while the verdict is awaited, and starts again soon
// after it was withdrawn.
func TestGangAwaitsTheVerdictOnAMember(t *testing.T) {
	t.Parallel()
	f := &waitingPolls{newCrashFleet(), map[string]waitingPoll{}, map[string]bool{}}
	id := f.accept(1, &wire.StepSpec{Count: 2, Millicores: 1000, EstimateMs: 500, Gang: true})
	f.crashAfter[id+".0.0.0"] = 100 * time.Millisecond
	began := func(worker string) *wire.CrashNote {
		return &wire.CrashNote{Worker: worker, Run: 1, Host: worker, Born: 1, Began: true, Lives: 1, Company: 3}
	}
	f.rows[id] = &wire.JobProgress{Id: id, Units: []*wire.UnitProgress{{Notes: []*wire.TaskNote{{Crashes: []*wire.CrashNote{began("a"), began("b")}}}}}}
	f.newLeader()
	ran := f.stepUntilStart(t, id)
	f.stepUntilCrash(t, ran)
	f.workers[ran].upAt = f.now.Add(50 * time.Millisecond)
	f.stepFor(250 * time.Millisecond)
	must.MapEmpty(t, f.failedJobs)
	must.Len(t, 1, f.starts[id+".0.0.0"])
	must.Len(t, 1, f.starts[id+".0.0.1"])
	f.crashOthers(ran, time.Second)
	delete(f.crashAfter, id+".0.0.0")
	f.stepFor(20 * time.Second)
	must.MapEmpty(t, f.failedJobs)
	must.GreaterEq(t, 2, len(f.starts[id+".0.0.0"]))
}

// Guards against a job that fails in a wave of crashes in the middle of which another leader takes over: the workers
// that crashed before have never answered it, so it counts none of them as silent.
func TestCrashOfAWaveThatBeganBeforeTheTakeoverFailsNoJob(t *testing.T) {
	t.Parallel()
	for name, succeeded := range map[string]bool{"one leader": false, "a successor": true} { // the first is green
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, id := newIsolatedStart(250 * time.Millisecond)
			ran := f.stepUntilStart(t, id)
			f.stepFor(100 * time.Millisecond)
			f.crashOthers(ran, 4*time.Second)
			if succeeded {
				clear(f.polls)
				f.newLeader()
			}
			f.stepUntilCrash(t, ran)
			f.workers[ran].upAt = f.now.Add(time.Second)
			delete(f.crashAfter, id+".0.0.0")
			f.stepFor(30 * time.Second)
			must.MapEmpty(t, f.failedJobs)
		})
	}
}

// Guards against a job that fails for a single crash of another cause during its isolated run: a run after whose crash the
// job fails starts when no worker has gone silent for four seconds. That holds for each rule by which the job fails, also
// for that of four crashes of any kind, the last one soon after the start and without company.
func TestIsolatedRunThatDecidesByAnyRuleAwaitsAQuietCell(t *testing.T) {
	t.Parallel()
	unobserved := &wire.CrashNote{Worker: "a", Born: 1, Unseen: true, Company: 9, Lives: 1, Accused: 10}
	late := &wire.CrashNote{Worker: "b", Run: 1, Host: "b", Born: 1, Began: true, Lives: 1, Company: 3, AgeMs: 1500, AgeMostMs: 1600}
	outside := func(worker string) *wire.CrashNote {
		return &wire.CrashNote{Worker: worker, Run: 1, Host: worker, Born: 1, Began: true, Lives: 3, Company: 3, Outside: true, AgeMs: 80, AgeMostMs: 140}
	}
	for name, recorded := range map[string][]*wire.CrashNote{
		"five crashes":                       {outside("a"), outside("b"), outside("c"), outside("d")}, // green: the contrast
		"four crashes, the last is decisive": {unobserved, late, outside("c")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := &waitingPolls{newCrashFleet(), map[string]waitingPoll{}, map[string]bool{}}
			id := f.accept(1, oneTask())
			f.crashAfter[id+".0.0.0"] = 200 * time.Millisecond
			f.rows[id] = &wire.JobProgress{Id: id, Units: []*wire.UnitProgress{{Notes: []*wire.TaskNote{{Crashes: recorded}}}}}
			f.newLeader()
			f.tableDown = true
			f.stepFor(500 * time.Millisecond)
			f.crashWorker(f.workers["w5"], 500*time.Millisecond)
			f.step()
			crashed := f.now
			f.tableDown = false
			ran := f.stepUntilStart(t, id)
			if started := f.now.Sub(crashed); started < 4*time.Second {
				f.stepUntilCrash(t, ran)
				delete(f.crashAfter, id+".0.0.0")
				f.stepFor(10 * time.Second)
				must.MapEmpty(t, f.failedJobs, must.Sprintf("the run that decides started %s after another crash", started))
			}
		})
	}
}
