package cell_test

import (
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

// takeoverCell is a successor to a cell with two members: "reached" answers, "cut-off" does
// not. The cell has one job, whose task may run at "cut-off".
type takeoverCell struct {
	state  *cell.State
	now    time.Time
	starts []cell.SendStart
	// polledAt is when the last poll was sent.
	polledAt time.Time
	// active and ended are the runs and ends that "reached" lists.
	active []workers.Active
	ended  []workers.End
	// unconfirmed stops renewals from taking effect.
	unconfirmed bool
	// silent stops "reached" from answering; alsoAnswers names another worker that answers.
	silent      bool
	alsoAnswers string
}

// newTakeover takes over a cell with one job of one task. until is the time until the predecessor's last lease ends.
func newTakeover(until time.Duration) *takeoverCell {
	spec := &wire.JobSpec{Id: "00000000000000aa", Queue: "offers", Service: "quotes", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000}}}
	return newTakeoverOf(until, cell.LoadedJob{Spec: spec})
}

// newTakeoverOf is newTakeover with a given job, and with tasks of it that other cells have returned.
func newTakeoverOf(until time.Duration, job cell.LoadedJob, returned ...*wire.ReturnedTasks) *takeoverCell {
	v := &takeoverCell{now: time.Unix(1000, 0)}
	v.state = cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})
	reached := workers.Record{
		ID: "reached", Service: "quotes", Address: "x", Hall: "hall", Ready: true, Host: "h",
		Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000},
	}
	v.state.Take(v.now, cell.ManifestChanged{Manifest: testManifest})
	v.state.Take(v.now, cell.WorkersListed{Records: []workers.Record{reached}})
	v.state.Take(v.now, cell.LeadershipGained{Epoch: 2, Predecessors: map[string]time.Time{"before/1": v.now.Add(until)}})
	v.state.Take(v.now, cell.Loaded{
		Epoch: 2, Wall: v.now, Jobs: []cell.LoadedJob{job}, Fences: testFences(), Returned: returned,
		Members: []*wire.RosterEntry{{Id: "reached", Address: "x"}, {Id: "cut-off", Address: "y"}},
	})
	return v
}

// runUntilStart lets time pass until a task starts, for most at the longest. It returns how long that took.
func (v *takeoverCell) runUntilStart(most time.Duration) (time.Duration, bool) {
	begin := v.now
	for v.now.Sub(begin) < most {
		v.now = v.now.Add(50 * time.Millisecond)
		v.state.Take(v.now, cell.Tick{})
		if !v.unconfirmed {
			v.state.Take(v.now, cell.LeadershipConfirmed{SentAt: v.now})
		}
		for _, e := range v.state.Decide(v.now, v.now) {
			switch e := e.(type) {
			case cell.SendPoll:
				v.polledAt = v.now
				if (e.To.ID == "reached" && !v.silent) || e.To.ID == v.alsoAnswers {
					report := workers.Report{Clock: v.now.Sub(time.Unix(0, 0))}
					if e.To.ID == "reached" {
						report.Active, report.Ended = v.active, v.ended
					}
					v.state.Take(v.now, cell.PollAnswered{Worker: e.To.ID, SentAt: v.now, Report: report})
				} else {
					v.state.Take(v.now, cell.PollAnswered{Worker: e.To.ID, SentAt: v.now, Err: fault.New(fault.Unknown, e.To.ID, "no answer", "")})
				}
			case cell.WriteProgress:
				answer := cell.WriteAnswered{Part: e.Part, Serial: e.Serial, Committed: table.CommitResult{Version: 9}}
				if v.unconfirmed {
					answer.Err = fault.New(fault.Unknown, "table", "no answer", "")
				}
				v.state.Take(v.now, answer)
			case cell.SendStop:
				v.active, v.ended = nil, []workers.End{{Number: 1, Task: e.Stop.Task, Run: e.Stop.Run, Outcome: workers.EndedStopped}}
			case cell.SendStart:
				v.starts = append(v.starts, e)
			}
		}
		if len(v.starts) > 0 {
			return v.now.Sub(begin), true
		}
	}
	return 0, false
}

// A task that may run at a member which does not answer must not start before the predecessor's last lease has ended.
func TestTaskThatMayRunAtASilentMemberWaits(t *testing.T) {
	t.Parallel()
	v := newTakeover(15 * time.Second)
	_, started := v.runUntilStart(14 * time.Second)
	must.False(t, started)
	_, started = v.runUntilStart(2 * time.Second)
	must.True(t, started)
}

// A predecessor that reports its end grants no more leases, so the cell must not wait for its whole tenure: it started
// nothing for eleven seconds.
func TestReportedEndOfThePredecessorShortensTheWaitToOneLease(t *testing.T) {
	t.Parallel()
	v := newTakeover(15 * time.Second)
	v.state.Take(v.now, cell.PredecessorEnded{Epoch: 2, Holder: "before/1"})
	after, started := v.runUntilStart(6 * time.Second)
	must.True(t, started)
	must.Greater(t, cell.LongestLease, after)
}

// The end of a predecessor that was asked for in another epoch says nothing of this epoch's predecessors.
func TestEndOfAPredecessorOfAnotherEpochIsIgnored(t *testing.T) {
	t.Parallel()
	v := newTakeover(15 * time.Second)
	v.state.Take(v.now, cell.PredecessorEnded{Epoch: 1, Holder: "before/1"})
	_, started := v.runUntilStart(10 * time.Second)
	must.False(t, started)
}

// A leader that is cut off from the table and from a worker must not presume the worker's runs lost: a later leader may
// have renewed the worker's lease. Otherwise it starts the task twice, at a worker that the later leader has not
// reached (model/cell.pml).
func TestRunIsPresumedLostOnlyOnceLeadershipIsConfirmedAfterItsLease(t *testing.T) {
	t.Parallel()
	v := newTakeover(0)
	v.active = []workers.Active{{Task: "00000000000000aa.0.0.0", Run: 7, Percent: 10}}
	_, started := v.runUntilStart(time.Second)
	must.False(t, started)
	second := workers.Record{
		ID: "second", Service: "quotes", Address: "z", Hall: "hall", Ready: true, Host: "z",
		Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000},
	}
	v.silent, v.unconfirmed = true, true
	v.state.Take(v.now, cell.WorkersListed{Records: []workers.Record{second}})
	v.state.Take(v.now, cell.MembershipRecorded{IDs: []string{"second"}})
	v.alsoAnswers = "second"
	v.active = nil
	_, started = v.runUntilStart(10 * time.Second)
	must.False(t, started)
	v.unconfirmed = false
	_, started = v.runUntilStart(time.Second)
	must.True(t, started)
	must.Eq(t, "second", v.starts[0].To.ID)
}

// A host without processor time handles a poll's answer a second late. A start order that got no answer is missing in
// that list. The list does not show that the order was never carried out: it is older than the order's time limit,
// though the limit has passed when the list is handled.
func TestListOlderThanAStartOrdersLimitDoesNotRuleTheRunOut(t *testing.T) {
	t.Parallel()
	v := newTakeover(0)
	v.state.Take(v.now, cell.PredecessorEnded{Epoch: 2, Holder: "before/1"})
	_, started := v.runUntilStart(2 * time.Second)
	must.True(t, started)
	first := v.starts[0].Start
	fail := cell.StartAnswered{Worker: "reached", Task: first.Task, Run: first.Run, Err: fault.New(fault.Unknown, "reached", "no answer", "")}
	for range 3 {
		v.state.Take(v.now, fail)
	}
	given := v.now.Sub(time.Unix(0, 0))
	v.polledAt = v.now
	v.state.Take(v.now, cell.Tick{})
	v.state.Decide(v.now, v.now) // sends a poll
	v.now = v.now.Add(10 * time.Second)
	v.state.Take(v.now, cell.PollAnswered{Worker: "reached", SentAt: v.polledAt, Report: workers.Report{Clock: given}})
	v.state.Take(v.now, cell.Tick{})
	for _, e := range v.state.Decide(v.now, v.now) {
		_, start := e.(cell.SendStart)
		must.False(t, start, must.Sprint("the list is older than the order's time limit"))
		if poll, ok := e.(cell.SendPoll); ok && poll.To.ID == "reached" {
			v.state.Take(v.now, cell.PollAnswered{Worker: "reached", SentAt: v.now, Report: workers.Report{Clock: v.now.Sub(time.Unix(0, 0))}})
		}
	}
	v.starts = nil
	_, again := v.runUntilStart(2 * time.Second)
	must.True(t, again, must.Sprint("a list from after the time limit shows that the order was not carried out"))
}

// slowLoad is a leader that cannot read the jobs until after its predecessors' last lease has ended. Meanwhile its
// workers answer and get leases. One job runs at w.
type slowLoad struct {
	state         *cell.State
	now           time.Time
	delayedAnswer *cell.PollAnswered // of w: it arrives half a second after the poll
	silent        bool               // w does not answer any more
	startedAfter  time.Duration
}

func newSlowLoad() *slowLoad {
	l := &slowLoad{now: time.Unix(1000, 0), startedAfter: -1}
	l.state = cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})
	l.state.Take(l.now, cell.ManifestChanged{Manifest: testManifest})
	l.register("w", "quick")
	l.state.Take(l.now, cell.LeadershipGained{
		Epoch: 2, LeasesEndAt: l.now.Add(5 * time.Second),
	})
	return l
}

// register brings the registry rows of the given workers.
func (l *slowLoad) register(ids ...string) {
	var records []workers.Record
	for _, id := range ids {
		records = append(records, workers.Record{
			ID: id, Service: "quotes", Address: id, Hall: "hall", Ready: true, Host: id, Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000},
		})
	}
	l.state.Take(l.now, cell.WorkersListed{Records: records})
}

// load brings the cell's rows: one job, and w and quick as members.
func (l *slowLoad) load() {
	spec := &wire.JobSpec{Id: "00000000000000aa", Queue: "offers", Service: "quotes", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000}}}
	l.state.Take(l.now, cell.Loaded{
		Epoch: 2, Wall: l.now, Jobs: []cell.LoadedJob{{Spec: spec}}, Fences: testFences(),
		Members: []*wire.RosterEntry{{Id: "quick", Address: "quick"}, {Id: "w", Address: "w"}},
	})
}

// run lets time pass. It sets startedAfter to the time from the beginning of this call to the first start. Without a
// start, startedAfter stays -1.
func (l *slowLoad) run(span time.Duration) {
	begin := l.now
	for l.now.Sub(begin) < span {
		l.now = l.now.Add(50 * time.Millisecond)
		l.state.Take(l.now, cell.Tick{})
		l.state.Take(l.now, cell.LeadershipConfirmed{SentAt: l.now})
		if l.delayedAnswer != nil && l.now.Sub(l.delayedAnswer.SentAt) >= 500*time.Millisecond {
			l.state.Take(l.now, *l.delayedAnswer)
			l.delayedAnswer = nil
		}
		for _, e := range l.state.Decide(l.now, l.now) {
			l.handle(e, begin)
		}
	}
}

// handle answers polls and notes the first start.
func (l *slowLoad) handle(e cell.Effect, begin time.Time) {
	report := workers.Report{Clock: l.now.Sub(time.Unix(0, 0))}
	switch e := e.(type) {
	case cell.SendStart:
		if l.startedAfter < 0 {
			l.startedAfter = l.now.Sub(begin)
		}
	case cell.SendPoll:
		answer := cell.PollAnswered{Worker: e.To.ID, SentAt: l.now, Report: report}
		switch {
		case e.To.ID != "w":
			l.state.Take(l.now, answer)
		case l.silent:
			l.state.Take(l.now, cell.PollAnswered{Worker: "w", SentAt: l.now, Err: fault.New(fault.Unknown, "w", "no answer", "")})
		default:
			answer.Report.Active = []workers.Active{{Task: "00000000000000aa.0.0.0", Run: 7, Percent: 10}}
			l.delayedAnswer = &answer
		}
	}
}

// A leader that cannot read the table for longer than its predecessor's tenure renews its workers meanwhile. When it
// reads the jobs at last, the workers' leases must not count as ended: their runs were started a second time.
func TestLeasesGrantedDuringASlowLoadDelayStarts(t *testing.T) {
	t.Parallel()
	l := newSlowLoad()
	l.run(8 * time.Second)
	l.load()
	l.run(3 * time.Second)
	must.Eq(t, -1, l.startedAfter, must.Sprint("the run at w goes on"))
	must.Eq(t, 1, l.state.Counts(l.now).Running)
}

// The same, but w has no registry row any more and falls silent as the jobs are read. It keeps its runs for the lease
// that this leader granted, so their tasks must wait for its end.
func TestLeaseOfAWorkerThatFallsSilentAfterASlowLoadDelaysStarts(t *testing.T) {
	t.Parallel()
	l := newSlowLoad()
	l.run(4 * time.Second)
	l.register("quick")
	l.run(4 * time.Second)
	l.silent = true
	if l.delayedAnswer != nil {
		l.delayedAnswer.Err = fault.New(fault.Unknown, "w", "no answer", "")
	}
	l.load()
	l.run(8 * time.Second)
	must.Between(t, 2500*time.Millisecond, l.startedAfter, 5*time.Second)
}

// The registry row of an incarnation that has ended comes back late, after a network cut. It must not end the later
// incarnation on that host, whose tasks would start a second time.
func TestRowOfAnEndedIncarnationDoesNotEndTheLaterOne(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	record := func(id string, version int64) workers.Record {
		return workers.Record{
			ID: id, Service: "quotes", Address: id, Hall: "hall", Ready: true, Host: "m1", Version: version,
			Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000},
		}
	}
	list := func(records ...workers.Record) (gone []string) {
		b.state.Take(b.now, cell.WorkersListed{Records: records})
		for range 3 {
			b.step(300 * time.Millisecond)
		}
		for _, n := range b.notes {
			if n.Kind == cell.NoteWorkerGone {
				gone = append(gone, n.Worker)
			}
		}
		b.notes = nil
		return gone
	}
	b.reports["old"], b.reports["new"] = &workers.Report{}, &workers.Report{}
	must.SliceEmpty(t, list(record("old", 5)))
	b.silent["old"] = true
	must.Eq(t, []string{"old"}, list(record("new", 9)), must.Sprint("a later incarnation on its host answers"))
	must.SliceEmpty(t, list(record("old", 13)), must.Sprint("the later incarnation's row is missing, the ended one's row is written again"))
	must.SliceEmpty(t, list(record("old", 13), record("new", 15)), must.Sprint("the ended incarnation does not become known again"))
	must.SliceEmpty(t, list(record("new", 15)))
}
