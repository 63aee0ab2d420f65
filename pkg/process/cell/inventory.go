package cell

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/inventory"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// The platform's inventory as a witness that a silent worker has ended. While workers are silent, the leader reads it,
// also while it still loads the jobs. Without an answer, the workers' leases decide.

const (
	// minInventoryInterval is the least time between two readings, and inventoryPageInterval the same for each page: the
	// platform bounds the pages that all hosts read together. Two readings in a row have to show that a worker has ended.
	minInventoryInterval  = 500 * time.Millisecond
	inventoryPageInterval = 200 * time.Millisecond
	// maxInventoryInterval is the longest time between two readings while the same workers stay silent.
	maxInventoryInterval = 8 * time.Second
	// minInventoryReadings is the number of readings after which the interval grows.
	minInventoryReadings = 3
	// maxFailedReadings bounds how far the interval grows by readings that fail: they tell nothing of the silent workers.
	maxFailedReadings = minInventoryReadings + 1
)

// inventoryReadings is what a leader knows from its readings of the inventory, and when it reads it next.
type inventoryReadings struct {
	last inventory.List
	// outstanding means that a reading is awaited, which was asked for at askedAt.
	outstanding bool
	askedAt     time.Time
	// readings is the number of readings since a worker went silent or was first missing from a list.
	readings int
}

// interval returns the time between the last reading and the next one.
func (r inventoryReadings) interval() time.Duration {
	each := max(minInventoryInterval, inventoryPageInterval*time.Duration(r.last.Pages))
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

// hasSilentWorker reports whether a worker is silent that is not known to have ended, and that a list could prove to have. Of
// those that are not known any more, the ones count whose end is still awaited as crash evidence.
func (s *State) hasSilentWorker(now time.Time) bool {
	for _, w := range s.workersByID() {
		if !w.Ended && !w.SilentSince.IsZero() && s.unsafe.mustBeListed(s.knownIncarnation(w), now) {
			return true
		}
	}
	return slices.ContainsFunc(s.silentRuns, func(r silentRun) bool { return s.workers[r.worker] == nil && s.incarnationOf(r).MustBeListed(now) })
}

// takeInventory ends the incarnations of silent workers that have ended by this list and the one before.
func (s *State) takeInventory(now time.Time, e InventoryRead) {
	r := &s.inventory
	r.outstanding = false
	if e.Err != nil {
		r.readings = min(r.readings, maxFailedReadings)
	}
	if e.Err != nil || (s.phase != loading && s.phase != leading) {
		return
	}
	earlier := r.last
	if inventory.Overlap(earlier, e.List) {
		return // two cells of this process have asked at the same time
	}
	r.last = e.List
	if running := s.omittedWorker(earlier); running != "" && !s.unsafe.NoCompleteLists {
		s.note(Note{Kind: NoteInventoryOmits, Worker: running, AgeMs: now.Sub(earlier.ReadAt).Milliseconds(), Detail: fmt.Sprintf("%d hosts, %d workers on %d pages", len(earlier.Hosts), len(earlier.Workers), earlier.Pages)})
		return
	}
	ended := func(i inventory.Incarnation) bool { return s.unsafe.inventoryEnded(earlier, e.List, i) }
	for _, w := range s.workersByID() {
		switch {
		case w.Ended || w.SilentSince.IsZero():
		case ended(s.knownIncarnation(w)):
			s.endIncarnation(now, w, "the inventory does not list it")
		case !e.List.Workers[w.ID] && s.knownIncarnation(w).MustBeListed(e.List.AskedAt):
			r.readings = 0 // the next list may show that it has ended
		}
	}
	s.resolveSilentRuns(now, true, func(r silentRun) bool { return s.workers[r.worker] == nil && ended(s.incarnationOf(r)) })
	for _, id := range slices.Sorted(maps.Keys(s.unreachedMembers)) {
		if s.workers[id] == nil && ended(inventory.Incarnation{Worker: id, Host: s.unreachedMembers[id].entry.GetHost(), KnownAt: s.gainedAt}) {
			s.unreachedMemberEnded(now, id)
		}
	}
}

// incarnationOf returns the incarnation at which a silent run was.
func (s *State) incarnationOf(r silentRun) inventory.Incarnation {
	return inventory.Incarnation{Worker: r.worker, Host: r.host, KnownAt: latest(r.at, s.gainedAt)}
}

// omittedWorker returns a worker of this cell that a list does not name and that has answered a later poll, "" if there is none.
func (s *State) omittedWorker(l inventory.List) string {
	for _, w := range s.workersByID() {
		i := inventory.Incarnation{Worker: w.ID, KnownAt: latest(w.KnownAt, s.gainedAt), AliveAt: w.ListAskedAt}
		if !w.Ended && w.SilentSince.IsZero() && l.Omits(i) {
			return w.ID
		}
	}
	return ""
}

// knownIncarnation returns the incarnation of a worker that this leader knows. A successor can't tell for how long its
// predecessors knew it, unless the membership that it read names it. What answered later under its id may be another
// incarnation than the one that the membership or the registry named.
func (s *State) knownIncarnation(w *workers.Worker) inventory.Incarnation {
	return inventory.Incarnation{
		Worker:  w.ID,
		Host:    w.Host,
		KnownAt: latest(w.KnownAt, s.memberKnownAt(w.ID, w.Born), w.FirstAnswerAt),
		AliveAt: latest(w.LastAnswerAt, w.AliveAt),
	}
}

// memberKnownAt returns a time at which a predecessor knew an incarnation, or at which this leadership began if the membership
// does not name it.
func (s *State) memberKnownAt(worker string, born int64) time.Time {
	e := s.retainedMembers[worker]
	if e == nil || e.GetBorn() != born || s.membersKnownAt.IsZero() || s.membersKnownAt.After(s.gainedAt) {
		return s.gainedAt
	}
	return s.membersKnownAt
}

// latest returns the latest of some times.
func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }
