package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Guards against a lasting gang whose tasks are delegated one by one to different cells, so that it starts in none.
func TestLastingGangLeavesAFullCellAsAWhole(t *testing.T) {
	t.Parallel()
	home := newEmptyCell()
	home.fillWorkers()
	home.accept(delegatedJob, "watches", &wire.StepSpec{Count: 2, Millicores: 3000, MemoryMb: 1000, Lasting: true, Gang: true, TailTargetMs: 100, Image: "s2"})
	for range 50 {
		home.state.Take(home.now, loadOfOneWorker("a", "", 32_000))
		home.state.Take(home.now, loadOfOneWorker("b", "", 32_000))
		home.step(100 * time.Millisecond)
	}
	a, b := home.lastDelegated(t, "a", delegatedJob), home.lastDelegated(t, "b", delegatedJob)
	must.Len(t, 2, append(a, b...))
	must.True(t, len(a) == 0 || len(b) == 0, must.Sprintf("%d go to one cell, %d to another", len(a), len(b)))
}
