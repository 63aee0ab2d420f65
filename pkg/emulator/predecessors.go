package emulator

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/election"
)

// predecessorAskEvery is the interval between two questions to a predecessor.
const predecessorAskEvery = 300 * time.Millisecond

// awaitPredecessor asks a host that led the cell before until it answers that it no longer gives orders there.
func (h *seat) awaitPredecessor(epoch int64, p election.Predecessor) {
	ended := cell.PredecessorEnded{Epoch: epoch, Holder: p.Holder}
	if p.Host == h.name {
		ended.SameProcess, ended.EndedAt = p.Holder == h.incarnationID(), h.bootedAt
		h.predecessorEnded(ended)
		return
	}
	for _, other := range h.world.hosts {
		if other.name != p.Host {
			continue
		}
		h.world.after(predecessorAskEvery, h.ifSameIncarnation(func() {
			w := h.world
			answers := other.up && !w.now.Before(other.frozenUntil) && !w.unreachable(h.name, other.name)
			if answers && !other.mayOrder(h.cell) {
				if p.Holder == other.incarnationID() {
					ended.Grants, ended.GrantsKnown = other.leaseGrants(h.cell)
				} else {
					ended.EndedAt = other.bootedAt
				}
				h.predecessorEnded(ended)
				return
			}
			if h.state.HoldsLeadership() && h.seat.Row().GetEpoch() == epoch {
				h.awaitPredecessor(epoch, p)
			}
		}))
	}
}

// predecessorEnded informs the seat and the state that a predecessor gives no more orders, if this host still
// leads.
func (h *seat) predecessorEnded(ended cell.PredecessorEnded) {
	if h.seat.Role() != election.Leader || h.seat.Row().GetEpoch() != ended.Epoch {
		return
	}
	h.seat.PredecessorEnded(ended.Holder)
	h.state.Take(h.clock(), ended)
}

// incarnationID returns the name of this incarnation of the host's process.
func (h *host) incarnationID() string { return fmt.Sprintf("%s/%d", h.name, h.incarnation) }

// leaseGrants returns the rest of each worker's lease that this incarnation knows of in a cell. known is false
// while there may be leases at workers that it never learned of.
func (h *host) leaseGrants(name string) (grants map[string]time.Duration, known bool) {
	for _, s := range h.seats {
		if s.cell == name {
			return s.state.Grants(h.clock())
		}
	}
	return nil, false
}
