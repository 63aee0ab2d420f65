package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/blame"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// heir is a successor to a cell of one worker, of which the roster names the first life.
type heir struct {
	state *cell.State
	now   time.Time
	// silentTable says that records get no answer.
	silentTable bool
}

// newHeir takes over a job; born is the life that answers.
func newHeir(born int64) *heir {
	return newHeirOf(&wire.RosterEntry{Id: "w", Address: "x", Host: "h", Service: "quotes", Born: 1}, born)
}

// newHeirOf is one of a cell whose roster has the given entry.
func newHeirOf(entry *wire.RosterEntry, born int64) *heir {
	h := &heir{now: time.Unix(1000, 0)}
	h.state = cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})
	h.state.Take(h.now, cell.ManifestChanged{Manifest: theManifest})
	h.state.Take(h.now, cell.WorkersListed{Records: []workers.Record{{
		ID: "w", Born: born, Service: "quotes", Address: "x", Hall: "hall", Ready: true, Host: "h", Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000},
	}}})
	h.state.Take(h.now, cell.Led{Epoch: 2, RosterUntil: h.now.Add(15 * time.Second)})
	h.state.Take(h.now, cell.Loaded{
		Epoch: 2, Wall: h.now, Fences: someFences(), Roster: []*wire.RosterEntry{entry},
		Jobs: []cell.LoadedJob{{Spec: &wire.JobSpec{Id: "00000000000000aa", Cell: "hall", Queue: "offers", Service: "quotes", Steps: []*wire.StepSpec{{Count: 2, Millicores: 1000}, {Count: 1, Millicores: 1000, After: []int32{0}}}}}},
	})
	return h
}

func (h *heir) run(span time.Duration, born int64) {
	for until := h.now.Add(span); h.now.Before(until); {
		h.now = h.now.Add(20 * time.Millisecond)
		h.state.Take(h.now, cell.Tick{})
		h.state.Take(h.now, cell.Confirmed{At: h.now})
		for _, e := range h.state.Decide(h.now, h.now) {
			switch e := e.(type) {
			case cell.SendLook:
				h.state.Take(h.now, cell.Looked{Worker: e.To.ID, SentAt: h.now, Report: workers.Report{Born: born, Clock: h.now.Sub(time.Unix(900, 0))}})
			case cell.Record:
				if !h.silentTable {
					h.state.Take(h.now, cell.RecordAnswered{Part: e.Part, Serial: e.Serial, Committed: table.Committed{Version: 9}})
				}
			}
		}
	}
}

// A task crashed each worker that started it, and each time its leader was killed or deposed before that was
// in the table: while it was slow or away, or 30 ms after the crash. Its successors found the task nowhere, and
// started it as if nothing had been. On an emulated day (seed 1494):
//
//	 5.983 worker-10/1 crashes, 6.011 host-2 leads epoch 2
//	 9.302 host-0 leads epoch 4, 9.384 worker-0/1 crashes
//	14.283 worker-6/1 crashes, 15.389 all hosts are killed, the table is slow
//	21.521 worker-2/1 crashes, 23.938 worker-8/1 crashes: "on trial after 2 crashes"
//	28.846 started once more
//
// All that is left of those crashes is that lives of the roster are over. So that is held, a little, against
// what may have run there.
func TestALifeThatEndedUnseenIsHeldAgainstWhatMayHaveRunThere(t *testing.T) {
	t.Parallel()
	h := newHeir(2)
	h.run(time.Second, 2)
	suspects := h.state.Suspects()
	must.Len(t, 2, suspects) // the second step can't have begun
	for _, s := range suspects {
		must.Len(t, 1, s.Crashes)
		must.True(t, s.Crashes[0].Unseen)
		must.Eq(t, blame.Trusted.String(), s.Level)
	}
}

func TestALifeThatGoesOnAccusesNobody(t *testing.T) {
	t.Parallel()
	h := newHeir(1)
	h.run(time.Second, 1)
	must.SliceEmpty(t, h.state.Suspects())
}

// The roster names the life that ended until what that says is recorded: a leader that dies before leaves it
// to the next.
func TestTheRosterNamesAnEndedLifeUntilItIsWeighed(t *testing.T) {
	t.Parallel()
	h := newHeir(2)
	h.silentTable = true
	h.run(time.Second, 2)
	must.Eq(t, 1, h.state.Roster()[0].GetBorn())
	recorded := newHeir(2)
	recorded.run(time.Second, 2)
	must.Eq(t, 2, recorded.state.Roster()[0].GetBorn())
}

// The end of a worker that had said that it leaves accuses no task, also after a takeover.
func TestAWorkerThatLeftBeforeATakeoverAccusesNobody(t *testing.T) {
	t.Parallel()
	h := newHeirOf(&wire.RosterEntry{Id: "w", Address: "x", Host: "h", Service: "quotes", Born: 1, Leaving: true}, 2)
	h.run(time.Second, 2)
	must.SliceEmpty(t, h.state.Suspects())
}
