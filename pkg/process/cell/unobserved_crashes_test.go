package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// soleSuccessor is a new leader of a cell with one worker. The membership row names the worker's first incarnation.
type soleSuccessor struct {
	state *cell.State
	now   time.Time
	// tableDown leaves records without an answer, silent polls of the worker.
	tableDown, silent bool
	// active are the runs that the worker lists.
	active []workers.Active
}

// newSoleSuccessor returns a successor that has loaded one job of two steps; born identifies the incarnation in the
// worker registry.
func newSoleSuccessor(born int64) *soleSuccessor {
	return newSoleSuccessorOf(&wire.RosterEntry{Id: "w", Address: "x", Host: "h", Service: "quotes", Born: 1}, born)
}

// newSoleSuccessorOf is newSoleSuccessor for a membership row with the given entries.
func newSoleSuccessorOf(entry *wire.RosterEntry, born int64, more ...*wire.RosterEntry) *soleSuccessor {
	h := &soleSuccessor{now: time.Unix(1000, 0)}
	h.state = cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})
	h.state.Take(h.now, cell.ManifestChanged{Manifest: testManifest})
	h.state.Take(h.now, cell.WorkersListed{Records: []workers.Record{{
		ID: "w", Born: born, Service: "quotes", Address: "x", Hall: "hall", Ready: true, Host: "h", Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000},
	}}})
	h.state.Take(h.now, cell.LeadershipGained{Epoch: 2, LeasesEndAt: h.now.Add(15 * time.Second)})
	h.state.Take(h.now, cell.Loaded{
		Epoch: 2, Wall: h.now, Fences: testFences(), Members: append(more, entry),
		Jobs: []cell.LoadedJob{{Spec: &wire.JobSpec{Id: "00000000000000aa", Cell: "hall", Queue: "offers", Service: "quotes", Steps: []*wire.StepSpec{{Count: 2, Millicores: 1000}, {Count: 1, Millicores: 1000, After: []int32{0}}}}}},
	})
	return h
}

// run advances time and answers each effect; born identifies the incarnation of the worker that answers polls.
func (h *soleSuccessor) run(span time.Duration, born int64) {
	for until := h.now.Add(span); h.now.Before(until); {
		h.now = h.now.Add(20 * time.Millisecond)
		h.state.Take(h.now, cell.Tick{})
		h.state.Take(h.now, cell.LeadershipConfirmed{SentAt: h.now})
		for _, e := range h.state.Decide(h.now, h.now) {
			switch e := e.(type) {
			case cell.SendPoll:
				if h.silent {
					h.state.Take(h.now, cell.PollAnswered{Worker: e.To.ID, SentAt: h.now, Err: fault.New(fault.Unknown, e.To.ID, "no answer", "")})
					continue
				}
				h.state.Take(h.now, cell.PollAnswered{Worker: e.To.ID, SentAt: h.now, Report: workers.Report{Born: born, Active: h.active, Clock: h.now.Sub(time.Unix(900, 0))}})
			case cell.WriteProgress:
				if !h.tableDown {
					h.state.Take(h.now, cell.WriteAnswered{Part: e.Part, Serial: e.Serial, Committed: table.CommitResult{Version: 9}})
				}
			}
		}
	}
}

// If a leader ends before it records a crash, its successor finds only that an incarnation of the membership row is
// over. That is weak evidence against each task that may have run there.
func TestUnobservedCrashIsWeakEvidenceAgainstTasksThatMayHaveRunThere(t *testing.T) {
	t.Parallel()
	h := newSoleSuccessor(2)
	h.run(time.Second, 2)
	suspects := h.state.Suspects()
	must.Len(t, 3, suspects) // the second step may have begun, after ends of the first that are not recorded
	for _, s := range suspects {
		must.Len(t, 1, s.Crashes)
		must.True(t, s.Crashes[0].Unseen)
		must.Eq(t, poisontask.Trusted.String(), s.Level)
	}
}

// A step can't have begun while a task of the step before it runs.
func TestUnobservedCrashIsNoEvidenceAgainstStepsThatCannotHaveBegun(t *testing.T) {
	t.Parallel()
	h := newSoleSuccessor(2)
	h.active = []workers.Active{{Task: "00000000000000aa.0.0.0", Run: 1000001, Percent: 1}}
	h.run(time.Second, 2)
	suspects := h.state.Suspects()
	must.Len(t, 1, suspects)
	must.Eq(t, "00000000000000aa.0.0.1", suspects[0].Task)
}

// The incarnation that the membership row names still answers: nothing has crashed.
func TestIncarnationThatStillAnswersIsNoEvidence(t *testing.T) {
	t.Parallel()
	h := newSoleSuccessor(1)
	h.run(time.Second, 1)
	must.SliceEmpty(t, h.state.Suspects())
}

// The membership row names an ended incarnation until the evidence from its end is recorded. If the leader dies before
// that, the next leader finds the entry.
func TestMembershipNamesEndedIncarnationUntilEvidenceIsRecorded(t *testing.T) {
	t.Parallel()
	h := newSoleSuccessor(2)
	h.tableDown = true
	h.run(time.Second, 2)
	must.Eq(t, 1, h.state.Members()[0].GetBorn())
	recorded := newSoleSuccessor(2)
	recorded.run(time.Second, 2)
	must.Eq(t, 2, recorded.state.Members()[0].GetBorn())
}

// The end of a leaving worker is no evidence against any task, also after a takeover.
func TestEndOfLeavingWorkerIsNoEvidenceAfterTakeover(t *testing.T) {
	t.Parallel()
	h := newSoleSuccessorOf(&wire.RosterEntry{Id: "w", Address: "x", Host: "h", Service: "quotes", Born: 1, Leaving: true}, 2)
	h.run(time.Second, 2)
	must.SliceEmpty(t, h.state.Suspects())
}

// crashUnderTwoTasks returns a cell whose only worker crashed while it ran tasks of two jobs, and a third job that was
// accepted after that. lost is a part of the table whose transactions get no answer until then.
func crashUnderTwoTasks(t *testing.T, lost string) (f *crashFleet, first, second, waiting string) {
	t.Helper()
	f = newCrashFleet()
	for _, id := range []string{"w1", "w2", "w3", "w4", "w5"} {
		delete(f.workers, id)
	}
	f.newLeader()
	f.run(time.Second)
	first, second = f.accept(1, oneTask()), f.accept(2, oneTask())
	f.crashAfter[second+".0.0.0"] = 20 * time.Millisecond
	f.unansweredPart = lost
	f.run(500 * time.Millisecond)
	must.Eq(t, 1, f.crashCount["w0"])
	waiting = f.accept(3, oneTask())
	f.run(500 * time.Millisecond)
	f.unansweredPart = ""
	return f, first, second, waiting
}

// replaceLeader makes another process lead and runs until the cell has settled.
func (f *crashFleet) replaceLeader() {
	f.newLeader()
	f.runUntilSettled()
}

// runUntilSettled runs until the cell has settled, for 10 s at most.
func (f *crashFleet) runUntilSettled() {
	for until := f.now.Add(10 * time.Second); !f.state.Settled() && f.now.Before(until); {
		f.run(crashStep)
	}
}

// evidence returns the crash evidence against the only task of a job.
func (f *crashFleet) evidence(job string) []poisontask.Crash {
	for _, s := range f.state.Suspects() {
		if s.Task == job+".0.0.0" {
			return s.Crashes
		}
	}
	return nil
}

// A predecessor recorded a crash for one task and ended before it recorded the crash for the other. Its successor adds
// the crash as an unobserved one to the evidence against the other task.
func TestCrashRecordedForOneTaskIsAddedToTheOther(t *testing.T) {
	t.Parallel()
	f, first, second, _ := crashUnderTwoTasks(t, rows.JobPart("0000000000000002"))
	must.Nil(t, f.rows[second])
	f.replaceLeader()
	must.Len(t, 1, f.evidence(first))
	must.False(t, f.evidence(first)[0].Unseen)
	must.Len(t, 1, f.evidence(second))
	must.True(t, f.evidence(second)[0].Unseen)
	must.Eq(t, "w0", f.evidence(second)[0].Worker)
	must.Eq(t, 1, f.evidence(second)[0].Born)
}

// If a predecessor recorded a crash for every task that ran there, its successor adds it to no other task's evidence.
func TestCrashRecordedForAllTasksIsAddedToNoOther(t *testing.T) {
	t.Parallel()
	f, first, second, waiting := crashUnderTwoTasks(t, "")
	f.replaceLeader()
	for _, id := range []string{first, second} {
		must.False(t, f.evidence(id)[0].Unseen)
	}
	must.SliceEmpty(t, f.evidence(waiting))
}

// A task that may only run isolated starts after its isolated run is recorded. Without such a record no predecessor
// started the task, so the end of an incarnation is no evidence against it.
func TestUnobservedCrashIsNoEvidenceAgainstTaskWaitingForIsolatedRun(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	id := f.accept(1, oneTask())
	f.crashAfter[id+".0.0.0"] = 20 * time.Millisecond
	for range 1000 {
		f.run(crashStep)
		if evidence := f.evidence(id); len(evidence) == 2 && poisontask.LevelOf(evidence) == poisontask.NeedsIsolation {
			break
		}
	}
	before := f.evidence(id)
	must.Eq(t, poisontask.NeedsIsolation, poisontask.LevelOf(before))
	f.run(100 * time.Millisecond) // until the second crash is recorded, and before the isolated run
	must.Len(t, 2, f.starts[id+".0.0.0"])
	f.newLeader()
	for _, w := range f.sorted() {
		if !w.down {
			f.crashWorker(w, 100*time.Millisecond) // before it answers the new leader
			break
		}
	}
	f.runUntilSettled()
	must.Len(t, 2, f.evidence(id))
}

// A worker crashes while leaders change, and restarts only after the successor has settled without it. The crash must
// still count as evidence against the tasks that may have run there.
func TestCrashDetectedAfterSettlingIsEvidence(t *testing.T) {
	t.Parallel()
	for name, back := range map[string]workers.Record{"the same id": {ID: "w", Born: 2}, "another id": {ID: "w2", Born: 2}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newSoleSuccessor(1)
			h.silent = true
			h.run(17*time.Second, 1)
			must.SliceEmpty(t, h.state.Suspects())
			h.silent = false
			back.Service, back.Address, back.Hall, back.Ready, back.Host = "quotes", "x", "hall", true, "h"
			back.Capacity = ledger.Size{Millicores: 32000, MemoryMB: 128000}
			h.state.Take(h.now, cell.WorkersListed{Records: []workers.Record{back}})
			h.run(500*time.Millisecond, 2)
			must.Len(t, 3, h.state.Suspects())
		})
	}
}

// The same incarnation answers again after the cell has settled: it was cut off, which is no evidence against any task.
func TestWorkerAnsweringAgainAfterSettlingIsNoEvidence(t *testing.T) {
	t.Parallel()
	h := newSoleSuccessor(1)
	h.silent = true
	h.run(17*time.Second, 1)
	h.silent = false
	h.run(500*time.Millisecond, 1)
	must.SliceEmpty(t, h.state.Suspects())
}

// Two unreached members have crashed. A task can have run at only one of them, so only one of the crashes is
// added to its evidence.
func TestTaskGetsOneUnobservedCrashAfterSettling(t *testing.T) {
	t.Parallel()
	h := newSoleSuccessorOf(&wire.RosterEntry{Id: "w", Address: "x", Host: "h", Service: "quotes", Born: 1}, 1, &wire.RosterEntry{Id: "v", Address: "y", Host: "g", Service: "quotes", Born: 1})
	record := func(id, host string) workers.Record {
		return workers.Record{ID: id, Born: 1, Service: "quotes", Address: id, Hall: "hall", Ready: true, Host: host, Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000}}
	}
	h.state.Take(h.now, cell.WorkersListed{Records: []workers.Record{record("v", "g"), record("w", "h")}})
	h.silent = true
	h.run(17*time.Second, 1)
	h.silent = false
	h.run(500*time.Millisecond, 2)
	for _, s := range h.state.Suspects() {
		must.Len(t, 1, s.Crashes)
	}
	must.SliceNotEmpty(t, h.state.Suspects())
}
