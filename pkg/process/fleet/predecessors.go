package fleet

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/election"
)

// A new leader finds out which of its predecessors are over: what they granted then ends with a lease.

// askEvery is the time between two questions to a predecessor.
const askEvery = 300 * time.Millisecond

// awaitPredecessor finds out when a predecessor has come to its end: it was an earlier incarnation of this
// very host, or the process at its address says that it does not lead (it was told by a worker or by the
// table, or is a new one).
func (c *Control) awaitPredecessor(s *seat, epoch int64, p election.Predecessor) {
	over := predecessorOver{cell: s.name, epoch: epoch, holder: p.Holder}
	if p.Host == c.self.Host {
		over.own, over.since = p.Holder == c.self.Life, c.self.Since
		over.apply(c, clock.Now())
		return
	}
	if p.Address == "" {
		return
	}
	go func() {
		for range int(election.Tenure / askEvery) {
			if answer, ok := c.leads(p.Address, s.name, p.Holder); ok && !answer.holds {
				over.answer = answer
				if answer.up > 0 {
					over.since = clock.Now().Add(-answer.up)
				}
				c.tell(over)
				return
			}
			time.Sleep(askEvery)
		}
	}()
}

// predecessorAnswer is what a process answers that led a cell: whether it holds it, and the leases of its own that may
// go on, if it is still the incarnation that led.
type predecessorAnswer struct {
	holds, grantsTold bool
	grants            map[string]time.Duration
	// up is how long a later process has run in its place.
	up time.Duration
}

// predecessorOver says that an earlier leader of a cell grants nothing more. Its own says that it was this process.
type predecessorOver struct {
	cell   string
	epoch  int64
	holder string
	own    bool
	since  time.Time
	answer predecessorAnswer
}

func (m predecessorOver) apply(c *Control, now time.Time) {
	s := c.seats[m.cell]
	if s == nil || s.seat.Role() != election.Leader || s.seat.Row().GetEpoch() != m.epoch {
		return
	}
	s.seat.Over(m.holder)
	s.state.Take(now, cell.PredecessorEnded{
		Epoch: m.epoch, Holder: m.holder, SameProcess: m.own, Grants: m.answer.grants, GrantsKnown: m.answer.grantsTold, EndedAt: m.since,
	})
	s.touched = true
}
