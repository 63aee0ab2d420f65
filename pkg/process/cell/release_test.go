package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// newCellUnderLoad returns a cell that hands over at once if so configured, with 200 running tasks.
func newCellUnderLoad(confirmed bool) *testCell {
	b := newEmptyCell()
	b.state.Take(b.now, cell.BoundsChanged{Bounds: cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute, ConfirmedHandover: confirmed}})
	for i := range 200 {
		b.accept(fmt.Sprintf("%016x", i), "offers", &wire.StepSpec{Count: 1, Millicores: 500, MemoryMb: 100, EstimateMs: 2000})
	}
	for range 20 {
		b.step(20 * time.Millisecond)
	}
	return b
}

// releaseUnderLoad asks for a release while four runs end every 20 ms and each transaction takes as long, and returns the
// time until the release may be written.
func (b *testCell) releaseUnderLoad(most time.Duration) time.Duration {
	began := b.now
	b.heldWrites, b.records = true, nil
	b.state.Take(b.now, cell.ReleaseRequested{})
	for i := 0; b.now.Sub(began) < most; i++ {
		for k := range 4 {
			b.finish(fmt.Sprintf("%016x.0.0.0", 4*i+k), workers.EndedDone)
		}
		sent := b.records
		b.records = nil
		b.step(20 * time.Millisecond)
		for _, e := range sent {
			b.version++
			b.state.Take(b.now, cell.WriteAnswered{Part: e.Part, Serial: e.Serial, Committed: table.CommitResult{Version: b.version}})
		}
		if b.state.ReadyToHandOver(b.now) {
			break
		}
	}
	return b.now.Sub(began)
}

// Guards against a release that waits until no run ends any more: under load there is always progress to write.
func TestReleaseUnderLoadDoesNotWait(t *testing.T) {
	t.Parallel()
	b := newCellUnderLoad(true)
	must.LessEq(t, 40*time.Millisecond, b.releaseUnderLoad(time.Second))
}

// Guards against a release that waits for a table that does not answer, and against polls during it: a release with a
// lost answer may have taken effect, and its successor does not expect leases granted later.
func TestReleaseWithoutAnswersWaitsForLimitAndPollsNobody(t *testing.T) {
	t.Parallel()
	b := newCellUnderLoad(true)
	b.finish(fmt.Sprintf("%016x.0.0.0", 39), workers.EndedDone)
	b.step(20 * time.Millisecond)
	b.state.Take(b.now, cell.ReleaseRequested{})
	b.heldWrites, b.polls = true, nil
	began := b.now
	for !b.state.ReadyToHandOver(b.now) {
		b.step(10 * time.Millisecond)
	}
	must.LessEq(t, 260*time.Millisecond, b.now.Sub(began))
	b.step(5 * time.Second)
	must.SliceEmpty(t, b.polls)
}

// Guards against a lost end: one that the leader knows when it begins to release is in the table before the release.
func TestReleaseWritesKnownProgressFirst(t *testing.T) {
	t.Parallel()
	b := newCellUnderLoad(true)
	b.finish(fmt.Sprintf("%016x.0.0.0", 7), workers.EndedDone)
	b.step(20 * time.Millisecond)
	b.state.Take(b.now, cell.ReleaseRequested{})
	must.False(t, b.state.ReadyToHandOver(b.now))
	b.step(0)
	must.True(t, b.state.ReadyToHandOver(b.now))
	phase, known := b.state.Phase(fmt.Sprintf("%016x", 7))
	must.True(t, known)
	must.Eq(t, wire.JobPhase_JOB_PHASE_COMPLETED, phase)
}
