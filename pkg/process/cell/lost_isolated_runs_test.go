package cell_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// startRecorded returns a cell in which a task has crashed two workers and the table has just recorded its isolated
// run, which is not ordered yet, with the job's id and the worker that is reserved for the run.
func startRecorded(t *testing.T) (f *crashFleet, job string, w *fleetWorker) {
	t.Helper()
	f = newCrashFleet()
	job = f.accept(1, oneTask())
	f.crashAfter[job+".0.0.0"] = 20 * time.Millisecond
	for range 2000 {
		f.run(crashStep)
		if n := f.taskNote(job); n.GetTrial() && len(n.GetCrashes()) == 2 && len(f.starts[job+".0.0.0"]) == 2 {
			break
		}
	}
	must.True(t, f.taskNote(job).GetTrial())
	must.Len(t, 2, f.evidence(job))
	must.Len(t, 2, f.starts[job+".0.0.0"])
	delete(f.crashAfter, job+".0.0.0") // evidence comes from the tests from now on
	return f, job, f.workers[f.taskNote(job).GetTrialWorker()]
}

// taskNote returns the recorded note of the only task of a job.
func (f *crashFleet) taskNote(job string) *wire.TaskNote {
	for _, u := range f.rows[job].GetUnits() {
		for _, n := range u.GetNotes() {
			return n
		}
	}
	return nil
}

// lastEvidence returns the newest evidence against the only task of a job, which must be the third.
func (f *crashFleet) lastEvidence(t *testing.T, job string) poisontask.Crash {
	t.Helper()
	must.Len(t, 3, f.evidence(job))
	return f.evidence(job)[2]
}

// The record of an isolated run names the incarnation of the reserved worker before the run is ordered.
func TestRecordNamesTheIncarnationForTheIsolatedRun(t *testing.T) {
	t.Parallel()
	f, job, w := startRecorded(t)
	must.NotNil(t, w)
	must.Eq(t, w.born, f.taskNote(job).GetTrialBorn())
	must.Eq(t, w.id, f.taskNote(job).GetTrialHost())
	version := f.version
	f.run(2 * crashStep)
	must.Eq(t, []string{w.id}, f.starts[job+".0.0.0"][2:])
	must.Eq(t, version, f.version) // the record of the reservation was the only write
}

// The reserved worker restarts while the record is in flight. The run starts only at the incarnation that the record names
// by then. A reservation costs one write.
func TestRecordOfIsolatedRunFollowsTheReservation(t *testing.T) {
	t.Parallel()
	for name, unanswered := range map[string]time.Duration{"answered before the worker is chosen again": 100 * time.Millisecond, "answered after that": 1800 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newCrashFleet()
			job := f.accept(1, oneTask())
			f.crashAfter[job+".0.0.0"] = 20 * time.Millisecond
			for range 2000 {
				f.run(crashStep)
				if len(f.taskNote(job).GetCrashes()) == 2 {
					break
				}
			}
			must.Len(t, 2, f.evidence(job))
			delete(f.crashAfter, job+".0.0.0")
			f.unansweredPart = rows.JobPart(job)
			f.run(restartDelay + 200*time.Millisecond) // the second crash is confirmed, and the record for w2 is in flight
			f.crashWorker(f.workers["w2"], 20*time.Millisecond)
			f.run(unanswered)
			version := f.version
			f.answerUnanswered(t)
			must.Eq(t, 1, f.taskNote(job).GetTrialBorn())
			f.run(2500 * time.Millisecond)
			must.Len(t, 2, f.starts[job+".0.0.0"]) // the record for the next incarnation is in flight
			f.answerUnanswered(t)
			f.unansweredPart = ""
			f.run(2 * crashStep)
			must.Len(t, 3, f.starts[job+".0.0.0"])
			w := f.workers[f.starts[job+".0.0.0"][2]]
			must.Eq(t, 2, w.born)
			must.Eq(t, w.id, f.taskNote(job).GetTrialWorker())
			must.Eq(t, w.born, f.taskNote(job).GetTrialBorn())
			must.Eq(t, version+2, f.version) // one for each incarnation that was reserved
		})
	}
}

// answerUnanswered answers the only transaction that has no answer.
func (f *crashFleet) answerUnanswered(t *testing.T) {
	t.Helper()
	must.Len(t, 1, f.unanswered)
	e, part := f.unanswered[0], f.unansweredPart
	f.unanswered, f.unansweredPart = nil, ""
	f.answerRecord(e)
	f.unansweredPart = part
}

// A leader ends after it recorded an isolated run and before it ordered the run. The named incarnation answers the
// successor and does not list the run, so there is no evidence.
func TestRecordedIsolatedRunIsNoEvidenceIfItsWorkerAnswers(t *testing.T) {
	t.Parallel()
	f, job, _ := startRecorded(t)
	f.replaceLeader()
	must.Len(t, 2, f.evidence(job))
	f.run(100 * time.Millisecond)
	f.replaceLeader() // the same holds for the next one
	must.Len(t, 2, f.evidence(job))
}

// The named incarnation answers the successor, and only then ends: its end is no evidence either.
func TestRecordedIsolatedRunIsNoEvidenceIfItsWorkerAnsweredBeforeItsEnd(t *testing.T) {
	t.Parallel()
	f, job, w := startRecorded(t)
	must.NotNil(t, w)
	other := f.sorted()[0]
	if other == w {
		other = f.sorted()[1]
	}
	other.down, other.upAt = true, f.now.Add(time.Hour) // cut off: the cell settles only once its lease has ended
	f.newLeader()
	f.run(100 * time.Millisecond)
	f.crashWorker(w, 500*time.Millisecond)
	f.runUntilSettled()
	for _, c := range f.evidence(job) {
		must.False(t, c.Worker == w.id && c.Run == 0)
	}
	must.Len(t, 2, f.evidence(job))
}

// The named incarnation has ended: its end is evidence against the task alone, and stays so with the next leader. It is
// not counted a second time as an unobserved end.
func TestRecordedIsolatedRunIsEvidenceIfItsIncarnationEnded(t *testing.T) {
	t.Parallel()
	f, job, w := startRecorded(t)
	must.NotNil(t, w)
	born := w.born
	other := f.accept(2, oneTask())
	f.newLeader()
	f.crashWorker(w, 100*time.Millisecond) // before it answers the new leader
	f.runUntilSettled()
	must.Len(t, 1, f.evidence(other)) // it may have run there as well
	must.True(t, f.evidence(other)[0].Unseen)
	for range 2 {
		c := f.lastEvidence(t, job)
		must.Eq(t, poisontask.Crash{Worker: w.id, Born: born, Host: w.id, Lives: 1, Trial: true, At: c.At}, c)
		f.run(2 * crashStep)
		f.replaceLeader()
	}
}

// The named incarnation is not heard until the cell has settled: the evidence is that of a run of which nothing is known
// until the incarnation answers or is known to have ended.
func TestRecordedIsolatedRunIsWeakEvidenceUntilItsWorkerIsHeard(t *testing.T) {
	t.Parallel()
	for name, ended := range map[string]bool{"it has ended": true, "another worker answers at its address": true, "it answers": false} {
		for _, further := range []string{"", ", after a further takeover"} {
			t.Run(name+further, func(t *testing.T) {
				t.Parallel()
				f, job, w := startRecorded(t)
				must.NotNil(t, w)
				born := w.born
				w.down, w.upAt = true, f.now.Add(time.Hour)
				f.replaceLeader()
				c := f.lastEvidence(t, job)
				must.Eq(t, poisontask.Crash{Worker: w.id, Born: born, Host: w.id, Company: 1, Lives: 1, Trial: true, At: c.At}, c)
				f.run(2 * crashStep)
				if further != "" {
					f.newLeader()
				}
				w.replaced = strings.HasPrefix(name, "another")
				if w.down = ended; ended && !w.replaced {
					w.upAt = f.now
				}
				f.run(300 * time.Millisecond)
				if !ended {
					must.Len(t, 2, f.evidence(job))
					return
				}
				must.Eq(t, 0, f.lastEvidence(t, job).Company)
				must.Eq(t, born, f.lastEvidence(t, job).Born)
			})
		}
	}
}

// A record of an older host does not name an incarnation: a run that no worker lists is weak evidence, as ever.
func TestRecordWithoutAnIncarnationIsWeakEvidence(t *testing.T) {
	t.Parallel()
	f, job, _ := startRecorded(t)
	n := f.taskNote(job)
	n.TrialWorker, n.TrialBorn, n.TrialHost = "", 0, ""
	f.replaceLeader()
	c := f.lastEvidence(t, job)
	must.Eq(t, poisontask.Crash{Company: 1, Lives: 1, At: c.At}, c)
}

// The named incarnation was leaving when it ended: that is weak evidence, as ever, and is not made stronger.
func TestRecordedIsolatedRunAtALeavingWorkerIsWeakEvidence(t *testing.T) {
	t.Parallel()
	f, job, w := startRecorded(t)
	must.NotNil(t, w)
	w.leaving = true
	f.newLeader()
	f.crashWorker(w, 100*time.Millisecond)
	f.runUntilSettled()
	c := f.lastEvidence(t, job)
	must.Eq(t, poisontask.Crash{Company: 1, Lives: 1, At: c.At}, c)
}
