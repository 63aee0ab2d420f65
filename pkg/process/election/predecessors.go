package election

import (
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Predecessors: leaders that were replaced before they gave the cell up. Each may go on for its tenure,
// unless it answers that it does not lead. The row names all of them that are not known to be over, so
// that a successor can ask each, however fast leaders followed each other.

const (
	// mostEarlier bounds the leaders that a row names.
	mostEarlier = 8
	// earlierKept is how long a leader is named after its tenure: longer than any lease.
	earlierKept = 12 * time.Second
)

// Predecessor is a leader that may not know that it was replaced.
type Predecessor struct {
	// Holder names the incarnation of its process; Host and Address are where that runs. All are empty
	// where several were merged, or a row does not tell.
	Holder, Host, Address string
	// Grants is how long it may still grant leases; below zero: so long ago it could.
	Grants time.Duration
}

// Over takes in that a predecessor grants nothing more.
func (s *Seat) Over(holder string) {
	if s.over == nil {
		s.over = map[string]bool{}
	}
	s.over[holder] = true
}

// predecessors are the leaders that the own row names.
func (s *Seat) predecessors(now time.Time) []Predecessor {
	list := make([]Predecessor, 0, len(s.row.GetEarlier()))
	for _, e := range s.row.GetEarlier() {
		until := time.Duration(e.GetUntilStoreMs()) * time.Millisecond
		list = append(list, Predecessor{Holder: e.GetHolder(), Host: e.GetHost(), Address: e.GetAddress(), Grants: until - s.storeNow(now)})
	}
	return list
}

// notOver leaves out the leaders that are known to be over.
func (s *Seat) notOver(list []*wire.EarlierLeader) []*wire.EarlierLeader {
	if s.settled {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(list), func(e *wire.EarlierLeader) bool { return e.GetHolder() != "" && s.over[e.GetHolder()] })
}

// earlierLeaders are the leaders before a successor of a row's that are not known to be over.
func earlierLeaders(row *wire.CellLead, store time.Duration) []*wire.EarlierLeader {
	if row == nil {
		return nil
	}
	list := slices.DeleteFunc(slices.Clone(row.GetEarlier()), func(e *wire.EarlierLeader) bool {
		return e.GetUntilStoreMs() < (store-earlierKept).Milliseconds() || (e.GetHolder() != "" && e.GetHolder() == row.GetHolder())
	})
	if len(row.GetEarlier()) == 0 && row.GetEarlierStoreMs() > 0 {
		list = append(list, &wire.EarlierLeader{UntilStoreMs: row.GetEarlierStoreMs()})
	}
	if !row.GetReleased() {
		list = append(list, &wire.EarlierLeader{
			Holder: row.GetHolder(), Host: row.GetHost(), Address: row.GetAddress(), UntilStoreMs: row.GetRenewedStoreMs() + Tenure.Milliseconds(),
		})
	}
	return merged(list)
}

// merged bounds a list by making one entry of the oldest ones, which then can't be asked any more.
func merged(list []*wire.EarlierLeader) []*wire.EarlierLeader {
	if len(list) <= mostEarlier {
		return list
	}
	oldest := list[:len(list)-mostEarlier+1]
	one := &wire.EarlierLeader{UntilStoreMs: lastUntil(oldest)}
	return append([]*wire.EarlierLeader{one}, list[len(oldest):]...)
}

// lastUntil is when the last of some leaders may grant; 0: there are none.
func lastUntil(list []*wire.EarlierLeader) int64 {
	last := int64(0)
	for _, e := range list {
		last = max(last, e.GetUntilStoreMs())
	}
	return last
}
