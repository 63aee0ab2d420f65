package cell

import (
	"slices"
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
	if s.phase != loading && s.phase != leading || r.outstanding || now.Sub(r.askedAt) < r.interval() || !s.hasSilentWorker(now) {
		return
	}
	r.outstanding, r.askedAt = true, now
	r.readings++
	s.emit(ReadInventory{})
}

// hasSilentWorker reports whether a worker is silent that is not known to have ended, and that a list could prove to have.
func (s *State) hasSilentWorker(now time.Time) bool {
	for _, w := range s.workersByID() {
		if !w.Ended && !w.SilentSince.IsZero() && s.knownIncarnation(w).MustBeListed(now) {
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
	if inventory.Overlap(earlier, e.List) {
		return // another cell of this process asked for it
	}
	r.last = e.List
	if s.omitsRunningWorker(earlier) {
		return
	}
	for _, w := range s.workersByID() {
		if !w.Ended && !w.SilentSince.IsZero() && inventory.Ended(earlier, e.List, s.knownIncarnation(w)) {
			s.endIncarnation(now, w, "the inventory does not list it")
		}
	}
}

// omitsRunningWorker reports whether a list does not name a worker of this cell that has answered a later poll.
func (s *State) omitsRunningWorker(l inventory.List) bool {
	for _, w := range s.workersByID() {
		i := inventory.Incarnation{Worker: w.ID, KnownAt: latest(w.KnownAt, s.gainedAt), AliveAt: w.ListAskedAt}
		if !w.Ended && w.SilentSince.IsZero() && l.Omits(i) {
			return true
		}
	}
	return false
}

// knownIncarnation returns the incarnation of a worker that this leader knows. A leader can't tell for how long its
// predecessors knew it, nor whether the incarnation that the membership or the registry named is the one that answered later
// under its id.
func (s *State) knownIncarnation(w *workers.Worker) inventory.Incarnation {
	i := inventory.Incarnation{Worker: w.ID, KnownAt: latest(w.KnownAt, s.gainedAt, w.FirstAnswerAt), AliveAt: w.LastAnswerAt}
	if w.Born == 0 {
		i.KnownAt = latest(i.KnownAt, w.LastAnswerAt) // it may have started again unnoticed
	}
	return i
}

// latest returns the latest of some times.
func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }
