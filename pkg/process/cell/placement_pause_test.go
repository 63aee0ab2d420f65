package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// startedBy has a cell accept a job each millisecond, and returns how many decisions placed tasks.
func startedBy(b *testCell, jobs int) (decisions int) {
	for i := range jobs {
		b.now, b.clock = b.now.Add(time.Millisecond), b.clock+time.Millisecond
		b.accept(fmt.Sprintf("%016x", i), "offers", &wire.StepSpec{Count: 1, Millicores: 100, MemoryMb: 100, EstimateMs: 1000})
		b.state.Take(b.now, cell.LeadershipConfirmed{SentAt: b.now})
		placed := false
		for _, e := range b.state.Decide(b.now, b.now) {
			_, start := e.(cell.SendStart)
			placed = placed || start
		}
		if placed {
			decisions++
		}
	}
	return decisions
}

// At 220 workers, a placement pass after each answer of a worker filled the processor of a large host.
func TestLargeCellPausesBetweenPlacements(t *testing.T) {
	t.Parallel()
	large, small := newLargeCell(220), newLargeCell(16)
	must.Eq(t, 30, startedBy(small, 30))
	must.Zero(t, small.state.PlacementPausedFor(small.now))
	must.Between(t, 2, startedBy(large, 30), 3)
	pause := large.state.PlacementPausedFor(large.now)
	must.Between(t, time.Millisecond, pause, 12*time.Millisecond)
	large.now = large.now.Add(pause)
	must.Zero(t, large.state.PlacementPausedFor(large.now))
	must.SliceNotEmpty(t, large.state.Decide(large.now, large.now), must.Sprint("what waited is placed after the pause"))
	must.Zero(t, large.state.PlacementPausedFor(large.now))
}
