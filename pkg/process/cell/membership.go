package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Membership: the row that names the workers which may hold runs. A successor holds back every task
// that it finds nowhere until it has heard each of them, or until all leases there are surely over. So
// a worker is dropped as soon as it takes no new work and holds nothing: one that has left never
// answers a successor.

// Roster lists the workers that may hold runs, for the cell's row of them; nil while the
// row of earlier leaders has not been read. A worker that is not in the row gets no work.
func (s *State) Roster() []*wire.RosterEntry {
	if s.phase != leading && s.phase != releasing {
		return nil
	}
	list := make([]*wire.RosterEntry, 0, len(s.workers))
	for _, w := range s.sorted() {
		if !w.Gone && !w.Dropped && s.isMember(w) {
			list = append(list, s.rosterEntry(w))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.earlier)) {
		if w := s.workers[id]; w == nil || w.Gone {
			list = append(list, s.earlier[id])
		}
	}
	return list
}

// isMember says whether a worker that takes new work, or may hold any, is named. One that has never answered this
// leader holds nothing of its own: it is named while earlier leaders may have used it, and before its first answer if
// nothing tells that none will come. The list of workers also names some that are gone.
func (s *State) isMember(w *workers.Worker) bool {
	return w.Heard || s.earlier[w.ID] != nil || (w.Listed && !w.Leaving && w.SilentSince.IsZero())
}

// dropMembers takes the workers out of the membership that take no new work and hold nothing.
func (s *State) dropMembers(now time.Time) {
	for _, w := range s.sorted() {
		drop := s.holdsNothing(now, w)
		switch {
		case drop && !w.Dropped:
			delete(s.earlier, w.ID)
			s.note(Note{What: NoteWorkerDropped, Worker: w.ID, AgeMs: now.Sub(w.AnsweredAt).Milliseconds()})
		case w.Dropped && !drop:
			w.SureFrom = now // the write that drops it may still be on its way
		}
		w.Dropped = drop
	}
}

// holdsNothing says whether a worker takes no new work, and surely holds neither a run nor an end that
// is not recorded. This leader's fence stands there, so no order of an earlier one is carried out.
func (s *State) holdsNothing(now time.Time, w *workers.Worker) bool {
	if before := s.earlier[w.ID].GetBorn(); before != 0 && before != w.Born {
		return false // what the end of that incarnation says is not recorded
	}
	if w.Gone || !w.HoldsNothing() || s.recordedEnd(w) < w.Seen {
		return false
	}
	if w.Leaving {
		return true
	}
	// One that is silent may have crashed: it is named until what that says of its tasks is recorded.
	return !w.Listed && now.Sub(w.UnlistedAt) > unlistedFor && w.SilentSince.IsZero() && s.earlier[w.ID] == nil
}
