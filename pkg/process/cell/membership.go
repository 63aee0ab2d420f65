package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Membership: the row in the table that names the workers which may hold runs. A successor holds back
// every task that no worker lists until each member has answered, or until all leases there have certainly
// ended. So a worker is dropped from the membership as soon as it takes no new work and holds nothing:
// a worker that has left never answers a successor.

// Members returns the entries of the cell's membership row: the workers that may hold runs. It is nil
// while this process does not lead, or has not read the row of earlier leaders. A worker gets no work
// until the recorded row names it.
func (s *State) Members() []*wire.RosterEntry {
	if s.phase != leading && s.phase != releasing {
		return nil
	}
	list := make([]*wire.RosterEntry, 0, len(s.workers))
	for _, w := range s.workersByID() {
		if !w.Ended && !w.DroppedFromMembership && s.isMember(w) {
			list = append(list, s.memberEntry(w))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.retainedMembers)) {
		if w := s.workers[id]; w == nil || w.Ended {
			list = append(list, s.retainedMembers[id])
		}
	}
	return list
}

// isMember reports whether the membership names a worker that is neither gone nor dropped. A worker that has answered
// this leader is a member. A worker that has not answered holds no run of this leader: it is a member while earlier
// leaders may have used it, or while its first answer can be expected, since it is registered, not leaving and not
// silent. Registration alone does not suffice: rows of workers that are gone stay for a while.
func (s *State) isMember(w *workers.Worker) bool {
	return w.HasAnswered || s.retainedMembers[w.ID] != nil || (w.Listed && !w.Leaving && w.SilentSince.IsZero())
}

// dropEmptyMembers drops workers that take no new work and hold nothing from the membership.
func (s *State) dropEmptyMembers(now time.Time) {
	for _, w := range s.workersByID() {
		drop := s.canBeDropped(now, w)
		switch {
		case drop && !w.DroppedFromMembership:
			delete(s.retainedMembers, w.ID)
			s.note(Note{Kind: NoteWorkerDropped, Worker: w.ID, AgeMs: now.Sub(w.LastAnswerAt).Milliseconds()})
		case w.DroppedFromMembership && !drop:
			w.UsableFrom = now // the write of the row without it may still be in flight
		}
		w.DroppedFromMembership = drop
	}
}

// canBeDropped reports whether a worker takes no new work and is known to hold neither a run nor an end that
// is not recorded. It has this leader's fence, so it refuses orders of earlier leaders.
func (s *State) canBeDropped(now time.Time, w *workers.Worker) bool {
	if before := s.retainedMembers[w.ID].GetBorn(); before != 0 && before != w.Born {
		return false // the crash evidence from the end of that incarnation is not recorded
	}
	if w.Ended || !w.Empty() || s.lastRecordedEnd(w) < w.LastEnd {
		return false
	}
	if w.Leaving {
		return true
	}
	// A silent worker may have crashed: it stays a member until the evidence against its tasks is recorded.
	return !w.Listed && now.Sub(w.UnlistedAt) > unlistedGrace && w.SilentSince.IsZero() && s.retainedMembers[w.ID] == nil
}
