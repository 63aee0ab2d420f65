package election

import (
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Predecessors are leaders that were replaced before they released the cell. Each may keep leading for its tenure,
// unless it answers that it doesn't lead. The row names all of them that are not known to have ended, so that a
// successor can ask each one even when several leaders changed within one tenure.

const (
	// maxPredecessors bounds the number of predecessors that a row names.
	maxPredecessors = 8
	// predecessorRetention is the time for which a row names a predecessor after its tenure. It is longer than any lease.
	predecessorRetention = 12 * time.Second
)

// Predecessor is an earlier leader that may not know that it was replaced.
type Predecessor struct {
	// Holder identifies the incarnation of its process, Host and Address its location. All are empty if the
	// entry merges several predecessors or the row names none.
	Holder, Host, Address string
	// MayGrantFor is the time for which it may still grant leases. It is negative if that time has passed.
	MayGrantFor time.Duration
}

// PredecessorEnded records that a predecessor grants no more leases.
func (s *Seat) PredecessorEnded(holder string) {
	if s.endedPredecessors == nil {
		s.endedPredecessors = map[string]bool{}
	}
	s.endedPredecessors[holder] = true
}

// predecessors returns the earlier leaders that this leader's row names.
func (s *Seat) predecessors(now time.Time) []Predecessor {
	list := make([]Predecessor, 0, len(s.row.GetEarlier()))
	for _, e := range s.row.GetEarlier() {
		until := time.Duration(e.GetUntilStoreMs()) * time.Millisecond
		list = append(list, Predecessor{Holder: e.GetHolder(), Host: e.GetHost(), Address: e.GetAddress(), MayGrantFor: until - s.storeTime(now)})
	}
	return list
}

// withoutEnded returns the entries whose leaders are not known to have ended.
func (s *Seat) withoutEnded(list []*wire.EarlierLeader) []*wire.EarlierLeader {
	if s.predecessorsSettled {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(list), func(e *wire.EarlierLeader) bool { return e.GetHolder() != "" && s.endedPredecessors[e.GetHolder()] })
}

// predecessorsOfSuccessor returns the predecessors that a successor of the row's holder has to name. They are the row's own
// entries until predecessorRetention after their tenure, and the holder unless it released the seat. store is the table's clock.
func predecessorsOfSuccessor(row *wire.CellLead, store time.Duration) []*wire.EarlierLeader {
	if row == nil {
		return nil
	}
	list := slices.DeleteFunc(slices.Clone(row.GetEarlier()), func(e *wire.EarlierLeader) bool {
		return e.GetUntilStoreMs() < (store-predecessorRetention).Milliseconds() || (e.GetHolder() != "" && e.GetHolder() == row.GetHolder())
	})
	if len(row.GetEarlier()) == 0 && row.GetEarlierStoreMs() > 0 {
		list = append(list, &wire.EarlierLeader{UntilStoreMs: row.GetEarlierStoreMs()})
	}
	if !row.GetReleased() {
		list = append(list, &wire.EarlierLeader{
			Holder: row.GetHolder(), Host: row.GetHost(), Address: row.GetAddress(), UntilStoreMs: row.GetRenewedStoreMs() + Tenure.Milliseconds(),
		})
	}
	return mergeOldest(list)
}

// mergeOldest bounds the list to maxPredecessors by merging the oldest entries into one without names. A successor can't
// ask the leaders of that entry and waits for their time to pass.
func mergeOldest(list []*wire.EarlierLeader) []*wire.EarlierLeader {
	if len(list) <= maxPredecessors {
		return list
	}
	oldest := list[:len(list)-maxPredecessors+1]
	combined := &wire.EarlierLeader{UntilStoreMs: latestUntil(oldest)}
	return append([]*wire.EarlierLeader{combined}, list[len(oldest):]...)
}

// latestUntil returns the latest time at which any of the leaders may grant a lease, in milliseconds of the table's
// clock, or 0 for an empty list.
func latestUntil(list []*wire.EarlierLeader) int64 {
	last := int64(0)
	for _, e := range list {
		last = max(last, e.GetUntilStoreMs())
	}
	return last
}
