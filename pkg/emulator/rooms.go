package emulator

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/ledger"
)

// Rooms of workers that shrink and grow while they run.

const (
	// capacityChangeGrace is how long after it has shrunk a room counts: the time in which hosts are in touch,
	// and one row of the worker.
	capacityChangeGrace = 4500 * time.Millisecond
	// quarters is what a room is divided into.
	quarters = 4
)

// pastRoom is a room that a worker had until some moment.
type pastRoom struct {
	size  ledger.Size
	until time.Time
}

// shrinkRoom takes a part of a worker's room away for a while, at times all of it.
func (w *World) shrinkRoom() {
	k := w.workers[w.rand.IntN(len(w.workers))]
	parts := 1 + w.rand.IntN(quarters)
	w.strikeWith(Fault{Kind: ShrinkWorker, Target: k.name, How: parts, For: w.between(500*time.Millisecond, 8*time.Second)})
}

func (k *worker) setShrunk(parts int64) {
	k.rooms = append(k.rooms, pastRoom{k.room(), k.world.now})
	k.shrunk = parts
}

// room is what the worker says of its room.
func (k *worker) room() ledger.Size {
	left := quarters - k.shrunk
	return ledger.Size{Millicores: k.Millicores * left / quarters, MemoryMB: k.MemoryMB * left / quarters}
}

// checkRoom looks whether a run that has just begun fits into a room that the worker has, or had a
// while ago.
func (c *checker) checkRoom(k *worker, task string) {
	if !c.world.plan.Unguarded {
		return
	}
	none := ledger.Size{}
	if none.Fits(k.freeIn(k.room())) {
		return
	}
	for _, past := range k.rooms {
		if c.world.now.Sub(past.until) < capacityChangeGrace && none.Fits(k.freeIn(past.size)) {
			return
		}
	}
	if by := k.orderedBy; c.world.now.Sub(by.listFailedAt) < capacityChangeGrace || c.world.now.Sub(by.frozenUntil) < capacityChangeGrace {
		return // whoever has no way to the table, or stood still, may not know
	}
	c.breakRule("LIMIT", "%s brings %s to %v below its room", task, k.id(), k.freeIn(k.room()))
}
