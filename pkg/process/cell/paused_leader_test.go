package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// pausedUnderARun returns a cell whose leader has just taken, after a pause, an answer that had come before it. The answer
// lists a run of a task with evidence that had gone on for some 200 ms. Its worker crashed when the pause began, and is
// down from then on.
func pausedUnderARun(t *testing.T, pause time.Duration) (f *crashFleet, job string) {
	t.Helper()
	f, job = newLeaderWithEvidence(oneTask(), &wire.CrashNote{Worker: "gone", Run: 7, Host: "gone", Born: 1, Began: true, Lives: 1})
	f.runUntil(t, func() bool { return len(f.starts[job+".0.0.0"]) > 0 })
	w := f.workers[f.starts[job+".0.0.0"][0]]
	r := w.runs[job+".0.0.0"]
	r.duration = time.Hour
	w.runs[job+".0.0.0"] = r
	f.run(100 * time.Millisecond)
	f.heldPoll = w.id
	f.runUntil(t, func() bool { return f.held != nil })
	answer := *f.held
	f.heldPoll, f.held = "", nil
	f.crashWorker(w, time.Hour)
	f.now = f.now.Add(pause)
	f.state.Take(f.now, answer)
	for _, e := range f.state.Decide(f.now, f.now) {
		f.answer(e)
	}
	return f, job
}

// The pause must not count as the age of the run, neither to exonerate the task nor in the evidence when the worker has
// crashed.
func TestPauseOfTheLeaderIsNoAgeOfARun(t *testing.T) {
	t.Parallel()
	f, job := pausedUnderARun(t, 2500*time.Millisecond)
	must.Len(t, 1, f.evidence(job))
	f.run(time.Second)
	must.Len(t, 2, f.evidence(job))
	must.Less(t, time.Second, f.evidence(job)[1].Age)
}

// A worker crashes while its leader is paused for longer than the lease. The first failed poll shows that the run is over:
// it may have ended with its worker.
func TestCrashDuringAPauseLongerThanTheLeaseIsEvidence(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	job := f.accept(1, oneTask())
	f.run(50 * time.Millisecond)
	w := f.workers[f.starts[job+".0.0.0"][0]]
	f.heldPoll = w.id
	f.runUntil(t, func() bool { return f.held != nil })
	failed := cell.PollAnswered{Worker: w.id, SentAt: f.held.SentAt, Err: fault.New(fault.Unknown, w.id, "EOF", "")}
	f.heldPoll, f.held = "", nil
	f.crashWorker(w, time.Hour)
	f.now = f.now.Add(4 * time.Second)
	f.state.Take(f.now, failed)
	f.run(100 * time.Millisecond)
	must.Len(t, 1, f.evidence(job))
	must.True(t, f.evidence(job)[0].Silent)
}

// A run ends soon after its start, and the worker's answer that lists the end comes seconds later: nothing shows that the
// run had lasted.
func TestLateReportOfAnEndIsNoAgeOfARun(t *testing.T) {
	t.Parallel()
	f, job := newLeaderWithEvidence(oneTask(), &wire.CrashNote{Worker: "gone", Run: 7, Host: "gone", Born: 1, Began: true, Lives: 1})
	f.runUntil(t, func() bool { return len(f.starts[job+".0.0.0"]) > 0 })
	w := f.workers[f.starts[job+".0.0.0"][0]]
	r := w.runs[job+".0.0.0"]
	delete(w.runs, job+".0.0.0")
	w.down, w.upAt = true, f.now.Add(time.Hour) // cut off for less than its lease
	f.run(3 * time.Second)
	w.down = false
	w.lastEnd++
	w.unreadEnds = append(w.unreadEnds, workers.End{Number: w.lastEnd, Task: job + ".0.0.0", Run: r.number, Outcome: workers.EndedFailed})
	f.run(100 * time.Millisecond)
	must.Len(t, 1, f.evidence(job))
}

// The time of an answer that a paused leader takes late is not the time at which the worker was alive: a worker that
// crashed in the pause went silent together with the others.
func TestWorkersThatCrashDuringAPauseWentSilentTogether(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	job := f.accept(1, oneTask())
	f.run(50 * time.Millisecond)
	w := f.workers[f.starts[job+".0.0.0"][0]]
	f.heldPoll = w.id
	f.runUntil(t, func() bool { return f.held != nil })
	answer := *f.held
	f.heldPoll, f.held = "", nil
	for _, other := range f.sorted()[:4] {
		f.crashWorker(other, time.Hour)
	}
	f.crashWorker(w, time.Hour)
	f.now = f.now.Add(4 * time.Second)
	f.state.Take(f.now, answer)
	f.run(time.Second)
	must.Len(t, 1, f.evidence(job))
	must.True(t, f.evidence(job)[0].Outside)
	must.GreaterEq(t, 4, f.evidence(job)[0].Lives)
}
