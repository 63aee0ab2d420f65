package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// A short task with three attempts has failed once, as recorded, and a second time at a worker that does not answer the
// successor. The earlier leader received the second failure and started the third run before it recorded the failure.
// When the third run fails, no fourth may start.
func TestTaskIsNotStartedBeyondItsAttemptsWhileAFailureIsUnreported(t *testing.T) {
	t.Parallel()
	spec := &wire.JobSpec{Id: "00000000000000aa", Queue: "offers", Service: "quotes", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000}}}
	progress := &wire.JobProgress{Id: spec.GetId(), Phase: wire.JobPhase_JOB_PHASE_RUNNING, Units: []*wire.UnitProgress{{Notes: []*wire.TaskNote{{FailedRuns: []int64{1000001}}}}}}
	v := newTakeoverOf(15*time.Second, cell.LoadedJob{Spec: spec, Progress: progress, Recorded: 3})
	v.state.Take(v.now, cell.WorkersListed{Records: []workers.Record{
		{ID: "reached", Service: "quotes", Address: "x", Hall: "hall", Ready: true, Host: "h", Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000}},
		{ID: "second", Service: "quotes", Address: "z", Hall: "hall", Ready: true, Host: "z", Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000}},
	}})
	v.state.Take(v.now, cell.MembershipRecorded{IDs: []string{"reached", "cut-off", "second"}})
	third := workers.Active{Task: "00000000000000aa.0.0.0", Run: 1000003, Percent: 10}
	ended := []workers.End{{Number: 1, Task: third.Task, Run: third.Run, Outcome: workers.EndedFailed}}
	begin, starts, failed := v.now, 0, false
	for v.now.Sub(begin) < 6*time.Second {
		v.now = v.now.Add(50 * time.Millisecond)
		v.state.Take(v.now, cell.Tick{})
		v.state.Take(v.now, cell.LeadershipConfirmed{SentAt: v.now})
		since := v.now.Sub(begin)
		for _, e := range v.state.Decide(v.now, v.now) {
			switch e := e.(type) {
			case cell.SendPoll:
				answer := cell.PollAnswered{Worker: e.To.ID, SentAt: v.now, Report: workers.Report{Clock: v.now.Sub(time.Unix(0, 0))}}
				switch {
				case e.To.ID == "reached" && since < 3*time.Second:
					answer.Report.Active = []workers.Active{third}
				case e.To.ID == "reached":
					answer.Report.Ended = ended
				case e.To.ID == "second":
				case since < 4*time.Second:
					answer.Err = fault.New(fault.Unknown, e.To.ID, "no answer", "")
				default: // answers while its lease goes on: its first list shows the second failure
					answer.Report.Ended = []workers.End{{Number: 1, Task: third.Task, Run: 1000002, Outcome: workers.EndedFailed}}
				}
				v.state.Take(v.now, answer)
			case cell.SendStart:
				starts++
			case cell.Note:
				failed = failed || e.Kind == cell.NoteJobEnded
			}
		}
	}
	must.True(t, failed)
	must.Zero(t, starts, must.Sprint("started a fourth time"))
}

// Lasting tasks that are to run isolated have no known run after a takeover. The new leader does not know how long they
// have waited, so none of them starts without isolation at once.
func TestLastingTasksRunIsolatedAfterTakeover(t *testing.T) {
	t.Parallel()
	active := startSuspects(6, &wire.StepSpec{Count: 10, Millicores: 1000, Lasting: true})
	must.MapLen(t, 2, active)
	for _, runs := range active {
		must.Len(t, 1, runs)
	}
}

// A worker was leaving before the takeover, with 10 s left. A short run there ends in time, and a lasting one is
// stopped only once its task is settled, so the successor stops neither in the first second.
func TestSuccessorKnowsRemainingTimeOfLeavingWorker(t *testing.T) {
	t.Parallel()
	for _, lasting := range []bool{false, true} {
		t.Run(fmt.Sprintf("lasting %v", lasting), func(t *testing.T) {
			t.Parallel()
			now := time.Unix(1000, 0)
			s := cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})
			s.Take(now, cell.ManifestChanged{Manifest: testManifest})
			s.Take(now, cell.WorkersListed{Records: []workers.Record{
				{ID: "w", Service: "quotes", Address: "x", Hall: "hall", Ready: true, Leaving: true, Remaining: 10 * time.Second, Host: "h", Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000}},
			}})
			s.Take(now, cell.LeadershipGained{Epoch: 2, Predecessors: map[string]time.Time{"before/1": now.Add(15 * time.Second)}})
			s.Take(now, cell.Loaded{
				Epoch: 2, Wall: now, Fences: testFences(), Members: []*wire.RosterEntry{{Id: "w", Address: "x"}, {Id: "cut-off", Address: "y"}},
				Jobs: []cell.LoadedJob{{Spec: &wire.JobSpec{Id: "00000000000000aa", Cell: "hall", Queue: "offers", Service: "quotes", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000, EstimateMs: 500, Lasting: lasting}}}}},
			})
			begin := now
			for now.Sub(begin) < time.Second {
				now = now.Add(20 * time.Millisecond)
				s.Take(now, cell.Tick{})
				s.Take(now, cell.LeadershipConfirmed{SentAt: now})
				for _, e := range s.Decide(now, now) {
					switch e := e.(type) {
					case cell.SendPoll:
						answer := cell.PollAnswered{Worker: e.To.ID, SentAt: now, Report: workers.Report{Clock: now.Sub(time.Unix(900, 0)), Active: []workers.Active{{Task: "00000000000000aa.0.0.0", Run: 7, Percent: 50}}}}
						if e.To.ID != "w" {
							answer.Err = fault.New(fault.Unknown, e.To.ID, "no answer", "")
						}
						s.Take(now, answer)
					case cell.SendStop:
						t.Fatalf("stopped after %s, with 10 s left", now.Sub(begin))
					}
				}
			}
		})
	}
}

// After a takeover a lasting task without a known run starts in its own cell if there is capacity.
func TestLastingTaskIsNotDelegatedWhileItsOwnCellHasCapacity(t *testing.T) {
	t.Parallel()
	before := newEmptyCell()
	before.step(100 * time.Millisecond)
	successor := newEmptyCell()
	successor.takeOverFrom(before, 0)
	successor.state.Take(successor.now, cell.LeadershipGained{Epoch: 3, LeasesEndAt: successor.now})
	successor.state.Take(successor.now, cell.Loaded{
		Epoch: 3, Wall: successor.now, StoreNow: 20 * time.Second, Fences: testFences(), Members: before.state.Members(),
		Jobs: []cell.LoadedJob{{Spec: &wire.JobSpec{
			Id: "00000000000000ff", Queue: "watches", Service: "quotes", Cell: "hall",
			Steps: []*wire.StepSpec{{Count: 1, Millicores: 6000, Lasting: true}},
		}}},
	})
	successor.notes = nil
	for range 10 {
		successor.state.Take(successor.now, cell.PeerLoad{Load: loadWithCapacity("other").Load})
		successor.step(100 * time.Millisecond)
	}
	for _, n := range successor.notes {
		must.NotEq(t, cell.NoteLent, n.Kind, must.Sprint(n.Detail))
	}
	must.MapContainsKey(t, successor.started, "00000000000000ff.0.0.0")
}

// A worker goes silent and its row is removed, without saying that it leaves, and the rest of its cell is full. Its
// lasting task, against which there is no crash evidence, is delegated in time.
func TestLastingTaskOfSilentWorkerIsDelegatedWithinSixSeconds(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.accept("00000000000000ff", "watches", &wire.StepSpec{Count: 16, Millicores: 30000, Lasting: true})
	for range 60 {
		b.step(100 * time.Millisecond)
	}
	must.MapLen(t, 16, b.started)
	b.silent["w15"] = true
	delete(b.reports, "w15")
	b.register(15)
	b.notes = nil
	begin := b.now
	delegatedAfter := time.Duration(0)
	for range 120 {
		b.state.Take(b.now, cell.PeerLoad{Load: loadWithCapacity("other").Load})
		b.step(100 * time.Millisecond)
		for _, n := range b.notes {
			if n.Kind == cell.NoteLent && delegatedAfter == 0 {
				delegatedAfter = b.now.Sub(begin)
			}
		}
	}
	must.Between(t, time.Millisecond, delegatedAfter, 6*time.Second)
}

// The ended incarnation was not leaving, the one in its place is. The entry of the ended one must not say that it
// leaves.
func TestEntryOfEndedIncarnationIsNotMarkedLeaving(t *testing.T) {
	t.Parallel()
	h := newSoleSuccessor(2)
	h.tableDown = true
	h.run(time.Second, 2)
	h.state.Take(h.now, cell.WorkersListed{Records: []workers.Record{{
		ID: "w", Born: 2, Service: "quotes", Address: "x", Hall: "hall", Ready: true, Leaving: true, Remaining: 5 * time.Second, Host: "h", Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000},
	}}})
	h.run(100*time.Millisecond, 2)
	entry := h.state.Members()[0]
	must.Eq(t, 1, entry.GetBorn())
	must.False(t, entry.GetLeaving())
}

// A lasting task that has waited long enough for an isolated run starts without isolation. That holds for one start:
// the next run is to be isolated again.
func TestIsolationWaiverHoldsForOneStart(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	s := cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})
	s.Take(now, cell.ManifestChanged{Manifest: testManifest})
	var list []workers.Record
	ids := []string{"w0", "w1", "w2"}
	for _, id := range ids {
		list = append(list, workers.Record{ID: id, Service: "quotes", Address: "x", Hall: "hall", Ready: true, Host: id, Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000}})
	}
	s.Take(now, cell.WorkersListed{Records: list})
	spec := &wire.JobSpec{Id: "00000000000000aa", Cell: "hall", Queue: "offers", Service: "quotes", Steps: []*wire.StepSpec{{Count: 2, Millicores: 1000, Lasting: true}}}
	up := &wire.UnitProgress{}
	for i := range 2 {
		up.Notes = append(up.Notes, &wire.TaskNote{Index: int32(i), Crashes: []*wire.CrashNote{
			{Worker: "a", Run: 1, Host: "ha", Began: true, Company: 9, Lives: 1}, {Worker: "b", Run: 2, Host: "hb", Began: true, Company: 9, Lives: 1, AgeMs: 4000}, {Worker: "c", Run: 3, Host: "hc", Began: true, Company: 9, Lives: 1, AgeMs: 4000},
		}})
	}
	s.Take(now, cell.LeadershipGained{Epoch: 2, LeasesEndAt: now})
	s.Take(now, cell.Loaded{Epoch: 2, Wall: now, Fences: testFences(), Jobs: []cell.LoadedJob{{Spec: spec, Progress: &wire.JobProgress{Id: spec.GetId(), Units: []*wire.UnitProgress{up}}, Recorded: 1}}})
	s.Take(now, cell.MembershipRecorded{IDs: ids})
	active, ended := map[string][]workers.Active{}, map[string][]workers.End{}
	number := int64(0)
	play := func(span time.Duration) (most int) {
		for until := now.Add(span); now.Before(until); {
			now = now.Add(20 * time.Millisecond)
			s.Take(now, cell.Tick{})
			s.Take(now, cell.LeadershipConfirmed{SentAt: now})
			for _, e := range s.Decide(now, now) {
				switch e := e.(type) {
				case cell.SendPoll:
					s.Take(now, cell.PollAnswered{Worker: e.To.ID, SentAt: now, Report: workers.Report{Clock: now.Sub(time.Unix(900, 0)), Active: active[e.To.ID], Ended: ended[e.To.ID]}})
				case cell.SendStart:
					active[e.To.ID] = append(active[e.To.ID], workers.Active{Task: e.Start.Task, Run: e.Start.Run, Percent: 100})
					s.Take(now, cell.StartAnswered{Worker: e.To.ID, Task: e.Start.Task, Run: e.Start.Run, Reply: workers.Reply{Clock: now.Sub(time.Unix(900, 0))}})
				case cell.WriteProgress:
					s.Take(now, cell.WriteAnswered{Part: e.Part, Serial: e.Serial, Committed: table.CommitResult{Version: 9}})
				}
			}
			n := 0
			for _, a := range active {
				n += len(a)
			}
			most = max(most, n)
		}
		return most
	}
	must.Eq(t, 2, play(4*time.Second), must.Sprint("one isolated, the other one after its wait"))
	for id, runs := range active {
		for _, a := range runs {
			number++
			ended[id] = append(ended[id], workers.End{Number: number, Task: a.Task, Run: a.Run, Outcome: workers.EndedStopped})
		}
	}
	clear(active)
	must.Eq(t, 1, play(time.Second))
}
