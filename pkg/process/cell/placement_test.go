package cell_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// A filler in a mostly free cell waited for a harmless worker until the end of the day.
func TestFillerStartsSoonInMostlyFreeCell(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	for i := range 18 {
		b.accept(fmt.Sprintf("%016x", i), "watches", &wire.StepSpec{Count: 16, Millicores: 1000, Lasting: true, TailTargetMs: 100, Image: "s", Spread: 1})
	}
	b.accept("00000000000000ff", "offers", &wire.StepSpec{Count: 1, Millicores: 15000, Filler: true, EstimateMs: 2000, Image: "f"})
	first := time.Duration(-1)
	begin := b.now
	for range 200 {
		b.step(20 * time.Millisecond)
		if b.started["00000000000000ff.0.0.0"] && first < 0 {
			first = b.now.Sub(begin)
		}
	}
	must.Between(t, time.Second, first, 3*time.Second)
}

// fillerWaitsInFullCell returns how long three fillers wait for their starts, shortest first, in a cell that is
// mostly full of serving tasks which every filler slows down. others are the loads of other cells.
func fillerWaitsInFullCell(t *testing.T, others ...cell.PeerLoad) []time.Duration {
	t.Helper()
	b := newEmptyCell()
	for i := range 16 {
		b.accept(fmt.Sprintf("%016x", i), "watches", &wire.StepSpec{Count: 31, Millicores: 1000, Spread: 31, Lasting: true, TailTargetMs: 100, Image: "s"})
	}
	for range 40 {
		b.setAllReadings(func(workers.Active) int64 { return 90 })
		b.step(100 * time.Millisecond)
	}
	b.accept("00000000000000ff", "offers", &wire.StepSpec{Count: 3, Millicores: 15000, Filler: true, EstimateMs: 2000, Image: "f"})
	begin := b.now
	waits := map[string]time.Duration{}
	for b.now.Sub(begin) < 5*time.Minute && len(waits) < 3 {
		for _, o := range others {
			b.state.Take(b.now, o)
		}
		b.setAllReadings(func(workers.Active) int64 { return 90 })
		b.step(100 * time.Millisecond)
		for i := range 3 {
			task := fmt.Sprintf("00000000000000ff.0.0.%d", i)
			if _, known := waits[task]; b.started[task] && !known {
				waits[task] = b.now.Sub(begin)
			}
		}
	}
	return slices.Sorted(maps.Values(waits))
}

// Fillers in a cell mostly full of serving tasks waited for a harmless worker until the end of the day,
// while other cells were empty.
func TestFillerInFullCellStartsSoonWhenOtherCellsAreEmpty(t *testing.T) {
	t.Parallel()
	empty := cell.PeerLoad{Load: &wire.CellLoad{Leading: true, Cell: "other", CapacityMillicores: 2_000_000, FreeMillicores: 1_800_000}}
	waits := fillerWaitsInFullCell(t, empty)
	must.Len(t, 3, waits)
	must.Between(t, time.Second, waits[0], 3*time.Second)
}

// Without spare capacity in any cell, a filler waits longer for a harmless worker, but not forever.
func TestFillerInFullFleetStartsEventually(t *testing.T) {
	t.Parallel()
	full := cell.PeerLoad{Load: &wire.CellLoad{Leading: true, Cell: "other", CapacityMillicores: 2_000_000, FreeMillicores: 100_000}}
	waits := fillerWaitsInFullCell(t, full)
	must.Len(t, 3, waits)
	must.Greater(t, 3*time.Second, waits[0])
}

// Fillers waited for 20 s and more in one cell, and the log did not say why.
func TestLogSaysWhyTaskWaits(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.accept("00000000000000aa", "offers", &wire.StepSpec{Count: 1, Millicores: 33000})
	for range 80 {
		b.step(50 * time.Millisecond)
	}
	var waitNotes []cell.Note
	for _, n := range b.notes {
		if n.Kind == cell.NoteWaits {
			waitNotes = append(waitNotes, n)
		}
	}
	must.Len(t, 1, waitNotes, must.Sprint("one line after two seconds, not one for each decision"))
	must.Eq(t, "00000000000000aa.0.0.0", waitNotes[0].Task)
	must.StrContains(t, waitNotes[0].Detail, "16 usable workers lack: map[room:16]")
}

// Under load, fillers of jobs past their objectives were placed beside serving tasks at the same harm as
// other fillers. The serving tasks that this put over their targets cost four times what such fillers still
// earned.
func TestFillerOfHopelessJobWaitsForLessHarmfulWorker(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	for i := range 16 {
		b.accept(fmt.Sprintf("%016x", i), "watches", &wire.StepSpec{
			Count: 5, Millicores: 6000, Lasting: true, TailTargetMs: 100, Image: "s1",
		})
	}
	b.step(50 * time.Millisecond)
	step := &wire.StepSpec{Count: 1, Millicores: 3500, Filler: true, EstimateMs: 1000, Image: "f1"}
	for id, age := range map[string]time.Duration{"00000000000000c1": 0, "00000000000000c2": time.Minute} {
		b.state.Take(b.now, cell.JobAccepted{
			Spec: &wire.JobSpec{Id: id, Queue: "offers", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{step}}, StoreNow: age,
		})
	}
	b.step(50 * time.Millisecond)
	must.True(t, b.started["00000000000000c1.0.0.0"])
	must.False(t, b.started["00000000000000c2.0.0.0"], must.Sprint("its job earns little any more"))
	for range 300 {
		b.step(50 * time.Millisecond)
	}
	must.True(t, b.started["00000000000000c2.0.0.0"], must.Sprint("it does not wait forever"))
}

// A job of 200 tasks arrives, and no start order is answered yet. Only as many orders as the window allows
// are sent, and the log says once that orders are held back. After the answers more orders are sent.
func TestStartOrdersAreHeldBackUntilAnswered(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.accept("00000000000000f0", "offers", &wire.StepSpec{Count: 200, Millicores: 100, MemoryMb: 10})
	var sent []cell.SendStart
	ordersHeld := 0
	for range 10 {
		b.now = b.now.Add(20 * time.Millisecond)
		b.state.Take(b.now, cell.Tick{})
		for _, e := range b.state.Decide(b.now, b.now) {
			switch e := e.(type) {
			case cell.SendStart:
				sent = append(sent, e)
			case cell.Note:
				if e.Kind == cell.NoteOrdersHeld {
					ordersHeld++
				}
			}
		}
	}
	must.Between(t, 20, len(sent), 120)
	must.Eq(t, 1, ordersHeld)
	for _, e := range sent {
		b.state.Take(b.now, cell.StartAnswered{
			Worker: e.To.ID, Task: e.Start.Task, Run: e.Start.Run, Reply: workers.Reply{Clock: b.clock}, RoundTrip: 5 * time.Millisecond, Bytes: e.Bytes,
		})
	}
	first := len(sent)
	for _, e := range b.state.Decide(b.now, b.now) {
		if start, ok := e.(cell.SendStart); ok {
			sent = append(sent, start)
		}
	}
	must.Greater(t, first, len(sent))
}
