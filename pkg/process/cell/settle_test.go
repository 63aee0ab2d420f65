package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Another cell has returned a delegated task, and a predecessor has started it at a worker that does not answer the
// successor. The row that returned it still stands, so the successor takes it back once more. It must not count the
// task as one that certainly has no run: it started the task a second time, beside the predecessor's run.
func TestTaskReturnedBeforeATakeoverMayRunAlready(t *testing.T) {
	t.Parallel()
	spec := &wire.JobSpec{Id: "00000000000000aa", Cell: "hall", Queue: "offers", Service: "quotes", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000}}}
	progress := &wire.JobProgress{Id: spec.GetId(), Phase: wire.JobPhase_JOB_PHASE_RUNNING, Units: []*wire.UnitProgress{{Notes: []*wire.TaskNote{{LentTo: "other", Lending: 1}}}}}
	v := newTakeoverOf(15*time.Second, cell.LoadedJob{Spec: spec, Progress: progress, Recorded: 3},
		&wire.ReturnedTasks{Id: spec.GetId(), From: "other", Home: "hall", Tasks: []*wire.TaskRef{{Lending: 1}}})
	_, started := v.runUntilStart(14 * time.Second)
	must.False(t, started)
	_, started = v.runUntilStart(2 * time.Second)
	must.True(t, started)
}

// An occurrence of a repeating job falls due after a takeover, before the cell is settled. A predecessor that was
// suspended opens that occurrence, too, when it resumes, and may start its tasks.
func TestOccurrenceThatFallsDueBeforeTheCellIsSettledWaits(t *testing.T) {
	t.Parallel()
	spec := &wire.JobSpec{
		Id: "00000000000000aa", Cell: "hall", Queue: "offers", Service: "quotes", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000}},
		Repeats: 1, FirstUnixMs: time.Unix(1002, 0).UnixMilli(), IntervalMs: 1000,
	}
	v := newTakeoverOf(15*time.Second, cell.LoadedJob{Spec: spec})
	_, started := v.runUntilStart(14 * time.Second)
	must.False(t, started)
	_, started = v.runUntilStart(2 * time.Second)
	must.True(t, started)
}

// More occurrences of a job are delegated to a cell right after a takeover. Its predecessor may receive and start them,
// too.
func TestOccurrencesDelegatedBeforeTheCellIsSettledWait(t *testing.T) {
	t.Parallel()
	spec := func(occurrences int32) *wire.JobSpec {
		s := &wire.JobSpec{
			Id: "00000000000000aa", Cell: "hall", Home: "other", Queue: "offers", Service: "quotes", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000}},
			Repeats: 3, FirstUnixMs: time.Unix(900, 0).UnixMilli(), IntervalMs: 1000,
		}
		for n := range occurrences {
			s.Guest = append(s.Guest, &wire.TaskRef{Time: n, Lending: 1})
		}
		return s
	}
	v := newTakeoverOf(15*time.Second, cell.LoadedJob{Spec: spec(1)})
	v.state.Take(v.now, cell.JobAccepted{Spec: spec(2)})
	_, started := v.runUntilStart(14 * time.Second)
	must.False(t, started)
	_, started = v.runUntilStart(2 * time.Second)
	must.True(t, started)
}

// The last predecessor reports its end, but it led for a moment only. The leader before it is suspended and may act
// again when it wakes, so its leases still count.
func TestEndOfThePredecessorLeavesTheLeasesOfEarlierOnes(t *testing.T) {
	t.Parallel()
	v := newTakeover(15 * time.Second)
	v.state.Take(v.now, cell.LeadershipGained{Epoch: 2, Predecessors: map[string]time.Time{"first/1": v.now.Add(12 * time.Second), "second/1": v.now.Add(15 * time.Second)}})
	spec := &wire.JobSpec{Id: "00000000000000aa", Queue: "offers", Service: "quotes", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000}}}
	v.state.Take(v.now, cell.Loaded{
		Epoch: 2, Wall: v.now, Jobs: []cell.LoadedJob{{Spec: spec}}, Fences: testFences(),
		Members: []*wire.RosterEntry{{Id: "reached", Address: "x"}, {Id: "cut-off", Address: "y"}},
	})
	v.state.Take(v.now, cell.PredecessorEnded{Epoch: 2, Holder: "second/1"})
	_, started := v.runUntilStart(11 * time.Second)
	must.False(t, started)
	_, started = v.runUntilStart(2 * time.Second)
	must.True(t, started)
}

// Two leaders followed each other at once. Both report their end, so the last of their leases ends after one lease
// span.
func TestReportedEndsOfAllPredecessorsShortenTheWaitToOneLease(t *testing.T) {
	t.Parallel()
	v := newTakeover(0)
	v.state.Take(v.now, cell.LeadershipGained{Epoch: 2, Predecessors: map[string]time.Time{"first/1": v.now.Add(12 * time.Second), "second/1": v.now.Add(15 * time.Second)}})
	spec := &wire.JobSpec{Id: "00000000000000aa", Queue: "offers", Service: "quotes", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000}}}
	v.state.Take(v.now, cell.Loaded{
		Epoch: 2, Wall: v.now, Jobs: []cell.LoadedJob{{Spec: spec}}, Fences: testFences(),
		Members: []*wire.RosterEntry{{Id: "reached", Address: "x"}, {Id: "cut-off", Address: "y"}},
	})
	v.state.Take(v.now, cell.PredecessorEnded{Epoch: 2, Holder: "second/1"})
	v.state.Take(v.now, cell.PredecessorEnded{Epoch: 2, Holder: "first/1"})
	after, started := v.runUntilStart(6 * time.Second)
	must.True(t, started)
	must.Between(t, 4*time.Second, after, 5*time.Second)
}

// A leader whose host was suspended for longer than the tenure handles an event before its timer. It must order nothing
// more, and step down.
func TestLeaderPastItsTenureStepsDownWithoutOrders(t *testing.T) {
	t.Parallel()
	b := newBusyCell()
	b.state.Take(b.now, cell.LeadershipConfirmed{SentAt: b.now, Until: b.now.Add(12 * time.Second)})
	b.state.Decide(b.now, b.now)
	woke := b.now.Add(13 * time.Second)
	b.state.Take(woke, cell.JobAccepted{Spec: &wire.JobSpec{Id: "00000000000000ff", Queue: "offers", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{{Count: 1, Millicores: 10}}}})
	stepped := false
	for _, e := range b.state.Decide(woke, woke) {
		switch e.(type) {
		case cell.Note:
		case cell.StepDown:
			stepped = true
		default:
			t.Errorf("%T", e)
		}
	}
	must.True(t, stepped)
}

// A lasting task has no other run while a worker keeps listing one to the new leader. Once that run is stopped, the
// task starts again at once, though another member has not answered.
func TestStoppedLastingTaskRestartsBeforeTheCellIsSettled(t *testing.T) {
	t.Parallel()
	spec := &wire.JobSpec{Id: "00000000000000aa", Queue: "watches", Service: "quotes", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000, Lasting: true}}}
	for _, leavesAfter := range []time.Duration{0, 3 * time.Second} {
		v := newTakeoverOf(15*time.Second, cell.LoadedJob{Spec: spec})
		v.active = []workers.Active{{Task: "00000000000000aa.0.0.0", Run: 7, Percent: 100}}
		v.alsoAnswers = "second"
		_, started := v.runUntilStart(leavesAfter)
		must.False(t, started)
		record := func(id string, leaving bool) workers.Record {
			return workers.Record{
				ID: id, Service: "quotes", Address: "x", Hall: "hall", Ready: true, Host: id, Leaving: leaving, Remaining: 4 * time.Second,
				Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000},
			}
		}
		v.state.Take(v.now, cell.WorkersListed{Records: []workers.Record{record("reached", true), record("second", false)}})
		v.state.Take(v.now, cell.MembershipRecorded{IDs: []string{"reached", "second", "cut-off"}})
		after, started := v.runUntilStart(5 * time.Second)
		must.True(t, started, must.Sprintf("the worker leaves after %s", leavesAfter))
		must.Less(t, 4*time.Second, after)
		must.Eq(t, "second", v.starts[0].To.ID)
	}
}
