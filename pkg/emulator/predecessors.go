package emulator

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/election"
)

// askEvery is the time between two questions to a predecessor.
const askEvery = 300 * time.Millisecond

// awaitPredecessor asks a host that led before until it says that it does not.
func (h *seat) awaitPredecessor(epoch int64, p election.Predecessor) {
	if p.Host == h.name {
		h.predecessorOver(epoch, p.Holder)
		return
	}
	for _, other := range h.world.hosts {
		if other.name != p.Host {
			continue
		}
		h.world.after(askEvery, h.back(func() {
			w := h.world
			answers := other.up && !w.now.Before(other.frozenUntil) && !w.cut(h.name, other.name)
			if answers && !other.holds(h.cell) {
				h.predecessorOver(epoch, p.Holder)
				return
			}
			if h.state.Holds() && h.seat.Row().GetEpoch() == epoch {
				h.awaitPredecessor(epoch, p)
			}
		}))
	}
}

func (h *seat) predecessorOver(epoch int64, holder string) {
	if h.seat.Role() != election.Leader || h.seat.Row().GetEpoch() != epoch {
		return
	}
	h.seat.Over(holder)
	h.state.Take(h.clock(), cell.PredecessorOver{Epoch: epoch, Holder: holder})
}
