package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// recorded is the newest end that a worker was told to be recorded.
func (b *busyCell) recorded(id string) int64 {
	newest := int64(0)
	for _, l := range b.looked {
		if l.To.ID == id {
			newest = max(newest, l.Look.Recorded)
		}
	}
	return newest
}

// A worker does not answer until its lease is over, and a task of it starts again
// elsewhere. It had ended well there just before, and nothing else ran: so its lease left
// no trace. Its end is not acknowledged, and the lease not renewed, until a run there was
// ended by it.
func TestAnEndOfATaskThatWasStartedAgainIsNotAcknowledged(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.accept("00000000000000f1", "offers", &wire.StepSpec{Count: 1, Millicores: 100, MemoryMb: 10, EstimateMs: 500})
	b.step(20 * time.Millisecond)
	const task = "00000000000000f1.0.0.0"
	first := b.at[task]
	must.NotEq(t, "", first)
	b.silent[first] = true
	b.finish(task, workers.EndedDone)
	for b.at[task] == first {
		b.step(50 * time.Millisecond)
	}
	b.silent[first] = false
	for range 40 {
		b.step(50 * time.Millisecond)
	}
	must.Zero(t, b.recorded(first))
	last := b.lastLook(first)
	must.Zero(t, last.Look.Until, must.Sprint("its lease is not renewed"))

	b.accept("00000000000000f2", "offers", &wire.StepSpec{Count: 16, Millicores: 30000, MemoryMb: 10, EstimateMs: 5000})
	b.step(50 * time.Millisecond)
	for other, at := range b.at {
		if at == first && other != task {
			b.finish(other, workers.EndedLapsed)
		}
	}
	for range 20 {
		b.step(50 * time.Millisecond)
	}
	must.Positive(t, b.recorded(first))
	must.Positive(t, b.lastLook(first).Look.Until)
}

// lastLook is the last look at a worker.
func (b *busyCell) lastLook(id string) cell.SendLook {
	var last cell.SendLook
	for _, l := range b.looked {
		if l.To.ID == id {
			last = l
		}
	}
	return last
}
