package cell

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/inventory"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// The platform's inventory as a witness that a silent worker has ended. While workers are silent, the leader reads it,
// also while it still loads the jobs. Without an answer, the workers' leases decide.

const (
	// minInventoryInterval is the time between two readings after a worker went silent, for each page of the inventory.
	// Two readings in a row have to show that a worker has ended.
	minInventoryInterval = 500 * time.Millisecond
	// maxInventoryInterval is the longest time between two readings while the same workers stay silent.
	maxInventoryInterval = 8 * time.Second
	// minInventoryReadings is the number of readings after which the interval grows.
	minInventoryReadings = 3
)

// inventoryReadings is what a leader knows from its readings of the inventory, and when it reads it next.
type inventoryReadings struct {
	last inventory.List
	// outstanding means that a reading is awaited, which was asked for at askedAt.
	outstanding bool
	askedAt     time.Time
	// readings is the number of readings since a worker last went silent.
	readings int
}

// interval returns the time between the last reading and the next one.
func (r inventoryReadings) interval() time.Duration {
	each := minInventoryInterval * time.Duration(max(1, r.last.Pages))
	return max(each, min(each<<max(0, min(r.readings, 16)-minInventoryReadings), maxInventoryInterval))
}

// requestInventory asks for a reading of the inventory if one is due.
func (s *State) requestInventory(now time.Time) {
	r := &s.inventory
	if s.phase != loading && s.phase != leading || r.outstanding || now.Sub(r.askedAt) < r.interval() || !s.hasSilentWorker() {
		return
	}
	r.outstanding, r.askedAt = true, now
	r.readings++
	s.emit(ReadInventory{})
}

// hasSilentWorker reports whether a worker is silent that is not known to have ended.
func (s *State) hasSilentWorker() bool {
	for _, w := range s.workers {
		if !w.Ended && !w.SilentSince.IsZero() {
			return true
		}
	}
	return false
}

// takeInventory ends the incarnations of silent workers that have ended by this list and the one before.
func (s *State) takeInventory(now time.Time, e InventoryRead) {
	r := &s.inventory
	r.outstanding = false
	if e.Err != nil || (s.phase != loading && s.phase != leading) {
		return
	}
	earlier := r.last
	r.last = e.List
	for _, w := range s.workersByID() {
		if !w.Ended && !w.SilentSince.IsZero() && s.unsafe.inventoryEnded(earlier, e.List, s.knownIncarnation(w)) {
			s.endIncarnation(now, w, "the inventory does not list it")
		}
	}
}

// knownIncarnation returns the incarnation of a worker that this leader knows. A leader can't tell for how long its
// predecessors knew it.
func (s *State) knownIncarnation(w *workers.Worker) inventory.Incarnation {
	i := inventory.Incarnation{Worker: w.ID, KnownAt: w.KnownAt, AliveAt: w.LastAnswerAt}
	if s.gainedAt.After(i.KnownAt) {
		i.KnownAt = s.gainedAt
	}
	return i
}
