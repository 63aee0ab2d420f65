package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// unobservedCrashNote is a recorded crash of which nobody saw whether the task ran there.
func unobservedCrashNote() *wire.CrashNote {
	return &wire.CrashNote{Worker: "gone", Born: 1, Company: 20, Lives: 1, Accused: 21, Unseen: true}
}

// newLeaderWithEvidence returns a cell of which a new leader has just loaded a job of one task with the given crashes in
// its record.
func newLeaderWithEvidence(step *wire.StepSpec, crashes ...*wire.CrashNote) (f *crashFleet, job string) {
	f = newCrashFleet()
	job = f.accept(1, step)
	unit := &wire.UnitProgress{}
	for i := range int(step.GetCount()) {
		unit.Notes = append(unit.Notes, &wire.TaskNote{Index: int32(i), Crashes: crashes})
	}
	f.rows[job] = &wire.JobProgress{Id: job, Units: []*wire.UnitProgress{unit}}
	f.newLeader()
	return f, job
}

// Guards against crashes that weigh little since each leader ends with the worker: the first crash is one of which nothing
// is recorded, and each later one is that of a recorded start.
func TestTaskIsGivenUpThoughEachLeaderEndsSoonAfterItsWorker(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond, 600 * time.Millisecond} {
		for _, leaders := range []int{2, 3, 4, 5, 9} {
			t.Run(fmt.Sprintf("%d leaders, %s", leaders, delay), func(t *testing.T) {
				t.Parallel()
				f := newCrashFleet()
				job := f.accept(1, oneTask())
				f.crashAfter[job+".0.0.0"] = 100 * time.Millisecond
				crashes := 0
				for range 9000 {
					f.run(crashStep)
					if f.crashes() == crashes || f.failedJobs[job] != "" {
						continue
					}
					crashes = f.crashes()
					if crashes < leaders {
						f.run(delay)
						f.newLeader()
					}
				}
				must.NotEq(t, "", f.failedJobs[job])
				must.LessEq(t, 5, len(f.starts[job+".0.0.0"]))
			})
		}
	}
}

// runUntil runs until a condition holds, for a minute at most.
func (f *crashFleet) runUntil(t *testing.T, reached func() bool) {
	t.Helper()
	for end := f.now.Add(time.Minute); !reached(); f.run(crashStep) {
		must.True(t, f.now.Before(end), must.Sprint("the awaited state is not reached"))
	}
}

// crashes returns the number of crashes of all workers.
func (f *crashFleet) crashes() int {
	n := 0
	for _, count := range f.crashCount {
		n += count
	}
	return n
}

// A task with evidence starts once the table holds a record that names the worker incarnation. Other tasks don't wait.
func TestStartOfATaskWithEvidenceAwaitsItsRecord(t *testing.T) {
	t.Parallel()
	for name, step := range map[string]*wire.StepSpec{
		"one task": oneTask(),
		"a gang":   {Count: 2, Millicores: 1000, EstimateMs: 500, Gang: true},
		"lasting":  {Count: 1, Millicores: 1000, EstimateMs: 500, Lasting: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, job := newLeaderWithEvidence(step, unobservedCrashNote())
			f.unansweredPart = rows.JobPart(job)
			f.run(5 * time.Second)
			must.SliceEmpty(t, f.starts[job+".0.0.0"])
			other := f.accept(2, oneTask())
			f.run(100 * time.Millisecond)
			must.Len(t, 1, f.starts[other+".0.0.0"])
			f.answerUnanswered(t)
			f.unansweredPart = ""
			f.run(2 * crashStep)
			must.Len(t, 1, f.starts[job+".0.0.0"])
			note := f.taskNote(job)
			must.True(t, note.GetTrial())
			must.Eq(t, f.starts[job+".0.0.0"][0], note.GetTrialWorker())
			must.Eq(t, f.workers[note.GetTrialWorker()].born, note.GetTrialBorn())
		})
	}
}

// The capacity for a start that awaits its record is reserved: a task that comes later does not take it.
func TestCapacityIsReservedForAStartThatAwaitsItsRecord(t *testing.T) {
	t.Parallel()
	whole := func() *wire.StepSpec { return &wire.StepSpec{Count: 1, Millicores: 8000, EstimateMs: 500} }
	f, job := newLeaderWithEvidence(whole(), unobservedCrashNote())
	for i := range 5 {
		delete(f.workers, fmt.Sprintf("w%d", i+1))
	}
	f.newLeader()
	f.unansweredPart = rows.JobPart(job)
	f.run(100 * time.Millisecond)
	later := f.accept(2, whole())
	f.run(100 * time.Millisecond)
	must.SliceEmpty(t, f.starts[later+".0.0.0"])
	f.answerUnanswered(t)
	f.unansweredPart = ""
	f.run(2 * time.Second)
	must.Len(t, 1, f.starts[job+".0.0.0"])
	must.Len(t, 1, f.starts[later+".0.0.0"])
}

// A start is recorded, its worker crashes, and so does its leader. The successor holds the crash of a recorded start
// against the task, and no unobserved end.
func TestCrashOfARecordedStartIsEvidenceForASuccessor(t *testing.T) {
	t.Parallel()
	f, job := newLeaderWithEvidence(oneTask(), unobservedCrashNote())
	f.crashAfter[job+".0.0.0"] = 20 * time.Millisecond
	f.runUntil(t, func() bool { return len(f.starts[job+".0.0.0"]) > 0 })
	f.run(2 * crashStep)
	delete(f.crashAfter, job+".0.0.0")
	f.replaceLeader()
	evidence := f.evidence(job)
	must.Len(t, 2, evidence)
	worker := f.starts[job+".0.0.0"][0]
	must.Eq(t, poisontask.Crash{Worker: worker, Born: 1, Host: worker, Lives: 1, At: evidence[1].At}, evidence[1])
}

// The recorded worker answers a successor without the run, and another member has ended: that is no evidence, as the
// task started nowhere else.
func TestUnobservedEndIsNoEvidenceAgainstATaskWithARecordedStart(t *testing.T) {
	t.Parallel()
	f, job := newLeaderWithEvidence(oneTask(), unobservedCrashNote())
	f.runUntil(t, func() bool { return f.taskNote(job).GetTrial() })
	recorded := f.taskNote(job).GetTrialWorker()
	f.newLeader()
	for _, w := range f.sorted() {
		if w.id != recorded {
			f.crashWorker(w, 100*time.Millisecond) // before it answers the new leader
			break
		}
	}
	f.runUntilSettled()
	must.Len(t, 1, f.evidence(job))
}

// A predecessor recorded a start. Before the cell has settled, a worker that was silent under an earlier run proves to
// have crashed. The recorded start must still count.
func TestRecordedStartCountsThoughEarlierEvidenceIsConfirmedFirst(t *testing.T) {
	t.Parallel()
	silent := &wire.CrashNote{Worker: "w0", Run: 7, Born: 1, Host: "w0", Began: true, Lives: 1, Silent: true}
	f, job := newLeaderWithEvidence(oneTask(), silent)
	note := f.rows[job].GetUnits()[0].GetNotes()[0]
	note.Trial, note.TrialWorker, note.TrialBorn, note.TrialHost = true, "w1", 1, "w1"
	f.crashWorker(f.workers["w0"], 100*time.Millisecond)
	f.crashWorker(f.workers["w1"], time.Second)
	f.newLeader()
	f.runUntilSettled()
	evidence := f.evidence(job)
	must.Len(t, 2, evidence)
	must.False(t, evidence[0].Silent)
	must.Eq(t, "w1", evidence[1].Worker)
}

// Evidence is added while a run goes on whose start needed no record: the record of the evidence names that run.
func TestRecordOfEvidenceNamesThePresentRun(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	job := f.accept(1, oneTask())
	w0 := f.workers["w0"]
	w0.down, w0.upAt = true, f.now.Add(time.Hour) // the cell settles without it
	f.newLeader()
	f.runUntil(t, func() bool { return len(f.starts[job+".0.0.0"]) > 0 })
	must.SliceEmpty(t, f.evidence(job))
	w0.upAt = f.now // it proves to have crashed
	f.run(300 * time.Millisecond)
	must.Len(t, 1, f.evidence(job))
	must.Eq(t, f.starts[job+".0.0.0"][0], f.taskNote(job).GetTrialWorker())
}

// A leaving worker ends under a recorded start that needs no isolation: that is no evidence.
func TestRecordedStartAtALeavingWorkerIsNoEvidence(t *testing.T) {
	t.Parallel()
	f, job := newLeaderWithEvidence(oneTask(), unobservedCrashNote())
	f.runUntil(t, func() bool { return f.taskNote(job).GetTrial() })
	w := f.workers[f.taskNote(job).GetTrialWorker()]
	w.leaving = true
	f.newLeader()
	f.crashWorker(w, 100*time.Millisecond)
	f.runUntilSettled()
	must.Len(t, 1, f.evidence(job))
}

// A worker crashes under a task, and its leader ends. The successor settles without that worker, and starts the task at
// another one, which crashes, too, before the successor ends. The leader after it holds both crashes against the task.
func TestCrashesUnderTwoLeadersAreBothEvidence(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	job := f.accept(1, oneTask())
	f.crashAfter[job+".0.0.0"] = 50 * time.Millisecond
	for starts := 1; starts <= 2; starts++ {
		f.runUntil(t, func() bool { return len(f.starts[job+".0.0.0"]) == starts && f.crashes() == starts })
		f.workers[f.starts[job+".0.0.0"][starts-1]].upAt = f.now.Add(time.Hour)
		f.newLeader()
	}
	delete(f.crashAfter, job+".0.0.0")
	first, second := f.starts[job+".0.0.0"][0], f.starts[job+".0.0.0"][1]
	must.NotEq(t, first, second)
	for _, id := range []string{first, second} {
		f.workers[id].upAt = f.now
	}
	f.runUntilSettled()
	evidence := f.evidence(job)
	must.Len(t, 2, evidence)
	for _, c := range evidence {
		must.Eq(t, c.Worker == first, c.Unseen)
		must.Eq(t, c.Worker == second, !c.Unseen)
	}
}

// The member that a successor settled without answers again: it was cut off, and the task's next start needs no record.
func TestMemberThatAnswersAgainLeavesNoTrace(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	job := f.accept(1, oneTask())
	w0 := f.workers["w0"]
	w0.down, w0.upAt = true, f.now.Add(time.Hour)
	f.newLeader()
	f.unansweredPart = rows.JobPart(job)
	f.run(6 * time.Second)
	must.SliceEmpty(t, f.starts[job+".0.0.0"]) // its start awaits the record
	w0.down = false
	f.run(200 * time.Millisecond)
	must.Len(t, 1, f.starts[job+".0.0.0"])
	must.SliceEmpty(t, f.evidence(job))
}
