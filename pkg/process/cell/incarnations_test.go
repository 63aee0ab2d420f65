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

// restartingWorker is a leader with one worker, which can restart under the same id.
type restartingWorker struct {
	state *cell.State
	now   time.Time
	// What the current incarnation reports: when it began, its clock's offset, its active runs and its ends.
	born   int64
	offset time.Duration
	active []workers.Active
	ended  []workers.End
	// startsLost loses each order to start and its answer.
	startsLost bool
	version    int64
	starts     []cell.SendStart
	stops      []cell.SendStop
	notes      []cell.Note
	// recorded is the newest end that polls of this incarnation acknowledged.
	recorded int64
	// pollsLost loses the answers to polls.
	pollsLost bool
	// capacity is the capacity that its answers report; nil: none.
	capacity *ledger.Size
	// unconfirmed keeps renewals of the leadership from taking effect.
	unconfirmed bool
}

// restartStep is how far run advances time in each step.
const restartStep = 50 * time.Millisecond

func newRestartingWorker() *restartingWorker {
	v := &restartingWorker{now: time.Unix(1000, 0), born: 1, offset: time.Hour}
	v.state = cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})
	v.state.Take(v.now, cell.ManifestChanged{Manifest: testManifest})
	v.list()
	v.state.Take(v.now, cell.LeadershipGained{Epoch: 1, LeasesEndAt: v.now})
	v.state.Take(v.now, cell.Loaded{Epoch: 1, Fences: testFences(), Wall: v.now})
	v.state.Take(v.now, cell.MembershipRecorded{IDs: []string{"w"}})
	v.run(time.Second)
	return v
}

// list delivers the worker's row in the worker registry.
func (v *restartingWorker) list() {
	v.state.Take(v.now, cell.WorkersListed{Records: []workers.Record{{
		ID: "w", Born: v.born, Service: "quotes", Address: "x", Hall: "hall", Ready: true, Host: "h",
		Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000},
	}}})
}

// restart restarts the worker: its new incarnation knows nothing of the one before.
func (v *restartingWorker) restart(offset time.Duration) {
	v.born++
	v.offset, v.active, v.ended, v.recorded = offset, nil, nil, 0
}

// accept hands in job i, and returns the name of its only task.
func (v *restartingWorker) accept(i int) string {
	id := fmt.Sprintf("%016x", i)
	v.state.Take(v.now, cell.JobAccepted{Spec: &wire.JobSpec{
		Id: id, Queue: "offers", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000, EstimateMs: 500}},
	}})
	return id + ".0.0.0"
}

// clock returns the worker's clock.
func (v *restartingWorker) clock() time.Duration { return v.offset + v.now.Sub(time.Unix(1000, 0)) }

// run advances time and answers each effect as the worker and the table do.
func (v *restartingWorker) run(span time.Duration) {
	for until := v.now.Add(span); v.now.Before(until); {
		v.now = v.now.Add(restartStep)
		v.state.Take(v.now, cell.Tick{})
		if !v.unconfirmed {
			v.state.Take(v.now, cell.LeadershipConfirmed{SentAt: v.now})
		}
		for _, e := range v.state.Decide(v.now, v.now) {
			v.answer(e)
		}
	}
}

func (v *restartingWorker) answer(e cell.Effect) {
	switch e := e.(type) {
	case cell.Note:
		v.notes = append(v.notes, e)
	case cell.SendPoll:
		answer := cell.PollAnswered{Worker: e.To.ID, SentAt: v.now}
		if v.pollsLost {
			answer.Err = fault.New(fault.Unknown, "w", "no answer", "")
		} else {
			v.recorded = max(v.recorded, e.Poll.Recorded)
			answer.Report = workers.Report{Born: v.born, Clock: v.clock(), Active: v.active, Capacity: v.capacity}
			for _, end := range v.ended {
				if end.Number > v.recorded {
					answer.Report.Ended = append(answer.Report.Ended, end)
				}
			}
		}
		v.state.Take(v.now, answer)
	case cell.SendStart:
		v.starts = append(v.starts, e)
		started := cell.StartAnswered{Worker: "w", Task: e.Start.Task, Run: e.Start.Run, Reply: workers.Reply{Clock: v.clock()}}
		if v.startsLost {
			started.Reply, started.Err = workers.Reply{}, fault.New(fault.Unknown, "w", "no answer", "")
		} else {
			v.active = append(v.active, workers.Active{Task: e.Start.Task, Run: e.Start.Run, Percent: 1})
		}
		v.state.Take(v.now, started)
	case cell.SendStop:
		v.stops = append(v.stops, e)
	case cell.WriteProgress:
		v.version++
		v.state.Take(v.now, cell.WriteAnswered{Part: e.Part, Serial: e.Serial, Committed: table.CommitResult{Version: v.version}})
	}
}

// finishAll ends all active runs successfully.
func (v *restartingWorker) finishAll() {
	for _, a := range v.active {
		v.ended = append(v.ended, workers.End{Number: int64(len(v.ended)) + 1, Task: a.Task, Run: a.Run, Outcome: workers.EndedDone})
	}
	v.active = nil
}

// startsOf returns how often the leader ordered a task to start.
func (v *restartingWorker) startsOf(task string) int {
	n := 0
	for _, s := range v.starts {
		if s.Start.Task == task {
			n++
		}
	}
	return n
}

// A worker crashes, restarts under its id, and numbers its ends from 1 again. A leader that kept the newest number of
// the incarnation before would skip the first ends of the new one, let the worker forget them, presume their runs over
// ("no longer listed by its worker") and start the tasks again.
func TestEndsOfNextIncarnationAreNotSkipped(t *testing.T) {
	t.Parallel()
	v := newRestartingWorker()
	for i := range 3 {
		v.accept(1 + i)
	}
	v.run(500 * time.Millisecond)
	v.finishAll()
	v.run(time.Second)
	v.restart(time.Minute)
	v.list()
	v.run(time.Second)
	task := v.accept(9)
	v.run(500 * time.Millisecond)
	v.finishAll()
	v.run(3 * time.Second)
	must.Eq(t, 1, v.startsOf(task))
}

// An order to start gets no answer, and its worker restarts under its id. The order holds back its task until the
// worker's clock is past the order's limit. The clock of the new incarnation shows an hour less: if the order still
// counted, the task would wait for an hour beside an idle worker.
func TestOrderToEarlierIncarnationDoesNotHoldBackItsTask(t *testing.T) {
	t.Parallel()
	v := newRestartingWorker()
	v.startsLost = true
	task := v.accept(1)
	v.run(300 * time.Millisecond)
	tries := v.startsOf(task)
	must.Positive(t, tries)
	v.restart(time.Minute)
	v.list()
	v.startsLost = false
	v.run(3 * time.Second)
	must.Greater(t, tries, v.startsOf(task))
}

// A worker that has just restarted has seen no epoch yet, and would carry out orders of a deposed leader. So a leader
// starts runs there, and presumes the runs of the incarnation before over, only after a renewal has taken effect that
// it sent after it learned of the new incarnation.
func TestNextIncarnationIsUsedOnlyAfterRenewal(t *testing.T) {
	t.Parallel()
	v := newRestartingWorker()
	first := v.accept(1)
	v.run(500 * time.Millisecond)
	v.unconfirmed = true
	v.restart(time.Minute)
	v.list()
	second := v.accept(2)
	v.run(3 * time.Second)
	must.Eq(t, 1, v.startsOf(first))
	must.Eq(t, 0, v.startsOf(second))
	v.unconfirmed = false
	v.run(time.Second)
	must.Eq(t, 2, v.startsOf(first))
	must.Eq(t, 1, v.startsOf(second))
}

// A row of the incarnation before is written late and stands in the worker registry. The leader still uses the
// incarnation that answers, and applies none of the old row to it.
func TestRowOfEarlierIncarnationIsNotAppliedToTheNext(t *testing.T) {
	t.Parallel()
	v := newRestartingWorker()
	v.restart(time.Minute)
	v.list()
	v.run(time.Second)
	v.state.Take(v.now, cell.WorkersListed{Records: []workers.Record{{
		ID: "w", Born: 1, Service: "quotes", Address: "x", Hall: "hall", Leaving: true, Host: "h",
		Capacity: ledger.Size{Millicores: 1, MemoryMB: 1},
	}}})
	task := v.accept(1)
	v.run(time.Second)
	must.Eq(t, 1, v.startsOf(task))
}

// Only one incarnation leaves: the next one takes work again.
func TestNextIncarnationOfLeavingWorkerTakesWork(t *testing.T) {
	t.Parallel()
	v := newRestartingWorker()
	v.state.Take(v.now, cell.WorkersListed{Records: []workers.Record{{
		ID: "w", Born: 1, Service: "quotes", Address: "x", Hall: "hall", Leaving: true, Host: "h",
		Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000},
	}}})
	v.run(time.Second)
	v.restart(time.Minute)
	v.list()
	task := v.accept(1)
	v.run(time.Second)
	must.Eq(t, 1, v.startsOf(task))
}

// An order to start gets no answer, and its worker's row is removed or becomes unreadable. The leader does not send the
// order again, because a worker without a row takes no new work.
func TestUnansweredStartIsNotRepeatedAtUnlistedWorker(t *testing.T) {
	t.Parallel()
	v := newRestartingWorker()
	v.startsLost = true
	task := v.accept(1)
	v.state.Take(v.now, cell.Tick{})
	for _, e := range v.state.Decide(v.now, v.now) {
		if start, ok := e.(cell.SendStart); ok {
			v.starts = append(v.starts, start)
			v.state.Take(v.now, cell.WorkersListed{})
			v.state.Take(v.now, cell.StartAnswered{Worker: "w", Task: start.Start.Task, Run: start.Start.Run, Err: fault.New(fault.Unknown, "w", "no answer", "")})
		}
	}
	v.run(time.Second)
	must.Eq(t, 1, v.startsOf(task))
}

// A row of another incarnation appears, so the leader does not know which incarnation runs, and is then removed. The
// answer of the known incarnation must not count as a row.
func TestAnswerDoesNotMakeUnlistedWorkerListed(t *testing.T) {
	t.Parallel()
	v := newRestartingWorker()
	v.pollsLost = true
	v.state.Take(v.now, cell.WorkersListed{Records: []workers.Record{{
		ID: "w", Born: 9, Service: "quotes", Address: "x", Hall: "hall", Ready: true, Host: "h",
		Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000},
	}}})
	v.run(200 * time.Millisecond)
	v.state.Take(v.now, cell.WorkersListed{})
	v.pollsLost = false
	task := v.accept(1)
	v.run(2 * time.Second)
	must.Eq(t, 0, v.startsOf(task))
}

// A successor learns of a member from the worker registry, and gets the member's first answer while the table no longer
// answers. It uses the member at once, as far as the cell has settled. If it waited for a renewal, as for a restarted
// worker, each takeover would take another half second, and longer while the table is unavailable.
func TestSuccessorUsesMembersWithoutAnotherRenewal(t *testing.T) {
	t.Parallel()
	v := &restartingWorker{now: time.Unix(1000, 0), born: 1, offset: time.Hour, unconfirmed: true}
	v.state = cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})
	v.state.Take(v.now, cell.ManifestChanged{Manifest: testManifest})
	v.state.Take(v.now, cell.LeadershipGained{Epoch: 2, LeasesEndAt: v.now.Add(15 * time.Second)})
	v.state.Take(v.now, cell.LeadershipConfirmed{SentAt: v.now})
	v.now = v.now.Add(50 * time.Millisecond)
	v.list()
	v.state.Take(v.now, cell.Loaded{Epoch: 2, Fences: testFences(), Wall: v.now, Members: []*wire.RosterEntry{{Id: "w", Address: "x"}}})
	task := v.accept(1)
	v.run(time.Second)
	must.Eq(t, 1, v.startsOf(task))
}

// A leader knows a worker from the membership row alone. The first incarnation that answers may be a new one, which has
// seen no epoch yet and would carry out orders of this leader even if it was deposed meanwhile. So nothing starts there
// until a renewal that was sent after the answer has taken effect.
func TestWorkerKnownOnlyFromMembershipWaitsForRenewal(t *testing.T) {
	t.Parallel()
	v := &restartingWorker{now: time.Unix(1000, 0), born: 5, offset: time.Hour, unconfirmed: true}
	v.state = cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})
	v.state.Take(v.now, cell.ManifestChanged{Manifest: testManifest})
	v.state.Take(v.now, cell.LeadershipGained{Epoch: 1, LeasesEndAt: v.now})
	v.state.Take(v.now, cell.LeadershipConfirmed{SentAt: v.now})
	v.state.Take(v.now, cell.Loaded{Epoch: 1, Fences: testFences(), Wall: v.now, Members: []*wire.RosterEntry{{Id: "w", Address: "x", Host: "h", Service: "quotes"}}})
	v.state.Take(v.now, cell.MembershipRecorded{IDs: []string{"w"}})
	v.run(500 * time.Millisecond)
	v.list()
	task := v.accept(1)
	v.run(time.Second)
	must.Eq(t, 0, v.startsOf(task))
	v.unconfirmed = false
	v.run(200 * time.Millisecond)
	must.Eq(t, 1, v.startsOf(task))
}
