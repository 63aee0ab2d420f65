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

// lives is a leader with one worker, which starts again under the id that it has.
type lives struct {
	state *cell.State
	now   time.Time
	// What the life that is up says of itself.
	born   int64
	offset time.Duration
	active []workers.Active
	ended  []workers.End
	// deaf says that its answers to orders to start are lost and the orders too.
	deaf    bool
	version int64
	starts  []cell.SendStart
	stops   []cell.SendStop
	notes   []cell.Note
	// recorded are the ends up to which looks at this life said that they are recorded.
	recorded int64
	lost     bool
	// room is what its answers say of its room.
	room *ledger.Size
	// unconfirmed says that no renewal takes effect any more.
	unconfirmed bool
}

const livesSpan = 50 * time.Millisecond

func newLives() *lives {
	v := &lives{now: time.Unix(1000, 0), born: 1, offset: time.Hour}
	v.state = cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})
	v.state.Take(v.now, cell.ManifestChanged{Manifest: theManifest})
	v.list()
	v.state.Take(v.now, cell.Led{Epoch: 1, RosterUntil: v.now})
	v.state.Take(v.now, cell.Loaded{Epoch: 1, Fences: someFences(), Wall: v.now})
	v.state.Take(v.now, cell.RosterRecorded{IDs: []string{"w"}})
	v.run(time.Second)
	return v
}

// list brings the worker's row.
func (v *lives) list() {
	v.state.Take(v.now, cell.WorkersListed{Records: []workers.Record{{
		ID: "w", Born: v.born, Service: "quotes", Address: "x", Hall: "hall", Ready: true, Host: "h",
		Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000},
	}}})
}

// begin starts the worker again: it knows nothing of before.
func (v *lives) begin(offset time.Duration) {
	v.born++
	v.offset, v.active, v.ended, v.recorded = offset, nil, nil, 0
}

func (v *lives) accept(i int) string {
	id := fmt.Sprintf("%016x", i)
	v.state.Take(v.now, cell.Accepted{Spec: &wire.JobSpec{
		Id: id, Queue: "offers", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000, EstimateMs: 500}},
	}})
	return id + ".0.0.0"
}

func (v *lives) clock() time.Duration { return v.offset + v.now.Sub(time.Unix(1000, 0)) }

// run lets time pass, with what the worker and the table answer.
func (v *lives) run(span time.Duration) {
	for until := v.now.Add(span); v.now.Before(until); {
		v.now = v.now.Add(livesSpan)
		v.state.Take(v.now, cell.Tick{})
		if !v.unconfirmed {
			v.state.Take(v.now, cell.Confirmed{At: v.now})
		}
		for _, e := range v.state.Decide(v.now, v.now) {
			v.answer(e)
		}
	}
}

func (v *lives) answer(e cell.Effect) {
	switch e := e.(type) {
	case cell.Note:
		v.notes = append(v.notes, e)
	case cell.SendLook:
		looked := cell.Looked{Worker: e.To.ID, SentAt: v.now}
		if v.lost {
			looked.Err = fault.New(fault.Unknown, "w", "no answer", "")
		} else {
			v.recorded = max(v.recorded, e.Look.Recorded)
			looked.Report = workers.Report{Born: v.born, Clock: v.clock(), Active: v.active, Room: v.room}
			for _, end := range v.ended {
				if end.Number > v.recorded {
					looked.Report.Ended = append(looked.Report.Ended, end)
				}
			}
		}
		v.state.Take(v.now, looked)
	case cell.SendStart:
		v.starts = append(v.starts, e)
		started := cell.Started{Worker: "w", Task: e.Start.Task, Run: e.Start.Run, Reply: workers.Reply{Clock: v.clock()}}
		if v.deaf {
			started.Reply, started.Err = workers.Reply{}, fault.New(fault.Unknown, "w", "no answer", "")
		} else {
			v.active = append(v.active, workers.Active{Task: e.Start.Task, Run: e.Start.Run, Percent: 1})
		}
		v.state.Take(v.now, started)
	case cell.SendStop:
		v.stops = append(v.stops, e)
	case cell.Record:
		v.version++
		v.state.Take(v.now, cell.RecordAnswered{Part: e.Part, Serial: e.Serial, Committed: table.Committed{Version: v.version}})
	}
}

// finish ends all that runs, well.
func (v *lives) finish() {
	for _, a := range v.active {
		v.ended = append(v.ended, workers.End{Number: int64(len(v.ended)) + 1, Task: a.Task, Run: a.Run, How: workers.EndedDone})
	}
	v.active = nil
}

func (v *lives) startsOf(task string) int {
	n := 0
	for _, s := range v.starts {
		if s.Start.Task == task {
			n++
		}
	}
	return n
}

// A worker crashed, started again under its id, and numbered its ends from 1 again. The leader
// kept the newest number of the life before, took the next life's first ends for known ones,
// and their runs for lost: "no longer listed by its worker". It started the tasks again, after
// it had let the worker forget their ends.
func TestEndsOfTheNextLifeAreNotTakenForKnownOnes(t *testing.T) {
	t.Parallel()
	v := newLives()
	for i := range 3 {
		v.accept(1 + i)
	}
	v.run(500 * time.Millisecond)
	v.finish()
	v.run(time.Second)
	v.begin(time.Minute)
	v.list()
	v.run(time.Second)
	task := v.accept(9)
	v.run(500 * time.Millisecond)
	v.finish()
	v.run(3 * time.Second)
	must.Eq(t, 1, v.startsOf(task))
}

// An order to start got no answer, and its worker started again under its id. The order holds
// its task until the worker's clock is past the order's limit. The next life's clock showed an
// hour less, so the task would have waited for an hour, with all of the worker's room free.
func TestAnOrderToTheLifeBeforeDoesNotHoldItsTask(t *testing.T) {
	t.Parallel()
	v := newLives()
	v.deaf = true
	task := v.accept(1)
	v.run(300 * time.Millisecond)
	tries := v.startsOf(task)
	must.Positive(t, tries)
	v.begin(time.Minute)
	v.list()
	v.deaf = false
	v.run(3 * time.Second)
	must.Greater(t, tries, v.startsOf(task))
}

// A worker that has just started again has seen no epoch yet, and would do what a deposed leader
// says. So the leader uses it, and takes for lost what ran at the life before, only when a
// renewal that was sent after it came to know of the new life took effect.
func TestTheNextLifeIsUsedOnlyByWhoStillLeads(t *testing.T) {
	t.Parallel()
	v := newLives()
	first := v.accept(1)
	v.run(500 * time.Millisecond)
	v.unconfirmed = true
	v.begin(time.Minute)
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

// A row of the life before came late and stands in the list: the life that answers is used
// all the same, and the old row says nothing of it.
func TestARowOfTheLifeBeforeSaysNothingOfTheNext(t *testing.T) {
	t.Parallel()
	v := newLives()
	v.begin(time.Minute)
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

// What a worker was told to leave for is over with its life: the next one takes work again.
func TestTheNextLifeDoesNotLeave(t *testing.T) {
	t.Parallel()
	v := newLives()
	v.state.Take(v.now, cell.WorkersListed{Records: []workers.Record{{
		ID: "w", Born: 1, Service: "quotes", Address: "x", Hall: "hall", Leaving: true, Host: "h",
		Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000},
	}}})
	v.run(time.Second)
	v.begin(time.Minute)
	v.list()
	task := v.accept(1)
	v.run(time.Second)
	must.Eq(t, 1, v.startsOf(task))
}

// An order got no answer, and its worker's row went, or turned into what nobody understands: the
// order is not sent again, for the worker takes no new work.
func TestAnOrderIsNotRepeatedWhereNoRowNamesAWorker(t *testing.T) {
	t.Parallel()
	v := newLives()
	v.deaf = true
	task := v.accept(1)
	v.state.Take(v.now, cell.Tick{})
	for _, e := range v.state.Decide(v.now, v.now) {
		if start, ok := e.(cell.SendStart); ok {
			v.starts = append(v.starts, start)
			v.state.Take(v.now, cell.WorkersListed{})
			v.state.Take(v.now, cell.Started{Worker: "w", Task: start.Start.Task, Run: start.Start.Run, Err: fault.New(fault.Unknown, "w", "no answer", "")})
		}
	}
	v.run(time.Second)
	must.Eq(t, 1, v.startsOf(task))
}

// A row of another life had put the worker in doubt, and went. The life that answers is not
// thereby in the list again.
func TestARowThatWentIsNotThereSinceItsLifeAnswers(t *testing.T) {
	t.Parallel()
	v := newLives()
	v.lost = true
	v.state.Take(v.now, cell.WorkersListed{Records: []workers.Record{{
		ID: "w", Born: 9, Service: "quotes", Address: "x", Hall: "hall", Ready: true, Host: "h",
		Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000},
	}}})
	v.run(200 * time.Millisecond)
	v.state.Take(v.now, cell.WorkersListed{})
	v.lost = false
	task := v.accept(1)
	v.run(2 * time.Second)
	must.Eq(t, 0, v.startsOf(task))
}

// A successor hears a worker that the roster names, after it came to know of it by the list, while
// the table has fallen silent again: it uses it at once, as what it has settled allows. (Held to
// a renewal like a life that began anew, each takeover stood still for another half second, and
// as long as the table was away.)
func TestASuccessorUsesWorkersOfTheRosterWithoutAnotherRenewal(t *testing.T) {
	t.Parallel()
	v := &lives{now: time.Unix(1000, 0), born: 1, offset: time.Hour, unconfirmed: true}
	v.state = cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})
	v.state.Take(v.now, cell.ManifestChanged{Manifest: theManifest})
	v.state.Take(v.now, cell.Led{Epoch: 2, RosterUntil: v.now.Add(15 * time.Second)})
	v.state.Take(v.now, cell.Confirmed{At: v.now})
	v.now = v.now.Add(50 * time.Millisecond)
	v.list()
	v.state.Take(v.now, cell.Loaded{Epoch: 2, Fences: someFences(), Wall: v.now, Roster: []*wire.RosterEntry{{Id: "w", Address: "x"}}})
	task := v.accept(1)
	v.run(time.Second)
	must.Eq(t, 1, v.startsOf(task))
}

// A leader knows a worker from the roster alone, and the first life of it that answers may be a new one,
// which has seen no epoch yet: if the leader was deposed meanwhile, that life would do what it says.
// So nothing is started there until a renewal that was sent after the answer took effect.
func TestALifeThatIsKnownFromTheRosterAloneWaitsForARenewal(t *testing.T) {
	t.Parallel()
	v := &lives{now: time.Unix(1000, 0), born: 5, offset: time.Hour, unconfirmed: true}
	v.state = cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})
	v.state.Take(v.now, cell.ManifestChanged{Manifest: theManifest})
	v.state.Take(v.now, cell.Led{Epoch: 1, RosterUntil: v.now})
	v.state.Take(v.now, cell.Confirmed{At: v.now})
	v.state.Take(v.now, cell.Loaded{Epoch: 1, Fences: someFences(), Wall: v.now, Roster: []*wire.RosterEntry{{Id: "w", Address: "x", Host: "h", Service: "quotes"}}})
	v.state.Take(v.now, cell.RosterRecorded{IDs: []string{"w"}})
	v.run(500 * time.Millisecond)
	v.list()
	task := v.accept(1)
	v.run(time.Second)
	must.Eq(t, 0, v.startsOf(task))
	v.unconfirmed = false
	v.run(200 * time.Millisecond)
	must.Eq(t, 1, v.startsOf(task))
}
