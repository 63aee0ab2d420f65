package emulator

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/ledger"
)

// Worker capacities that shrink and grow during a day.

const (
	// capacityChangeGrace is how long after it has shrunk a former capacity is still allowed: the time in which
	// hosts in contact with the table read it, plus one row of the worker.
	capacityChangeGrace = 4500 * time.Millisecond
	// quarters is the number of equal parts that a capacity is divided into.
	quarters = 4
)

// pastCapacity is a former capacity of a worker and when it ended.
type pastCapacity struct {
	size  ledger.Size
	until time.Time
}

// shrinkWorker takes one to four quarters of a worker's capacity away for a while.
func (w *World) shrinkWorker() {
	k := w.workers[w.rand.IntN(len(w.workers))]
	parts := 1 + w.rand.IntN(quarters)
	w.injectFault(Fault{Kind: ShrinkWorker, Target: k.name, How: parts, For: w.between(500*time.Millisecond, 8*time.Second)})
}

// setRemovedQuarters takes away a number of quarters of the capacity, 0 for none.
func (k *worker) setRemovedQuarters(parts int64) {
	k.pastCapacities = append(k.pastCapacities, pastCapacity{k.capacity(), k.world.now})
	k.removedQuarters = parts
}

// capacity returns the capacity that the worker reports.
func (k *worker) capacity() ledger.Size {
	left := quarters - k.removedQuarters
	return ledger.Size{Millicores: k.Millicores * left / quarters, MemoryMB: k.MemoryMB * left / quarters}
}

// checkCapacity breaks the rule LIMIT if a run that has just started exceeds the worker's capacity and each
// capacity of the last moments. It is checked only where workers accept every start.
func (c *checker) checkCapacity(k *worker, task string) {
	if !c.world.plan.Unguarded {
		return
	}
	none := ledger.Size{}
	if none.Fits(k.freeIn(k.capacity())) {
		return
	}
	for _, past := range k.pastCapacities {
		if c.world.now.Sub(past.until) < capacityChangeGrace && none.Fits(k.freeIn(past.size)) {
			return
		}
	}
	if by := k.orderedBy; c.world.now.Sub(by.listFailedAt) < capacityChangeGrace || c.world.now.Sub(by.frozenUntil) < capacityChangeGrace {
		return // a host that was frozen or cut off from the table may not know the new capacity
	}
	c.breakRule("LIMIT", "%s brings the free capacity of %s to %v", task, k.id(), k.freeIn(k.capacity()))
}
