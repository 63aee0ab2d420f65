package fleet

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/election"
)

// A new leader finds out which of its predecessors have ended. An ended predecessor grants no more
// leases, so its runs end when the granted leases expire.

// askEvery is the time between two calls that ask a predecessor whether it still leads.
const askEvery = 300 * time.Millisecond

// awaitPredecessor reports the end of a predecessor's leadership to the cell. A predecessor on this host has
// ended already: it is an earlier incarnation, or this process itself. Any other predecessor has ended when the
// process at its address answers that it does not lead: it learned of its replacement from a worker or from the
// table, or it is a later incarnation. A predecessor without an address can't be asked.
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

// predecessorAnswer is the answer of the process at a predecessor's address. grants holds the time left of
// each lease that it granted, by worker; it is known only if the process is still the incarnation that led.
type predecessorAnswer struct {
	holds, grantsTold bool
	grants            map[string]time.Duration
	// up is the uptime of a later incarnation on the predecessor's host, 0 if it is the same incarnation.
	up time.Duration
}

// predecessorOver reports that an earlier leader of a cell grants no more leases.
type predecessorOver struct {
	cell   string
	epoch  int64
	holder string
	own    bool      // the earlier leader was this process
	since  time.Time // start of the incarnation that now runs on its host; zero if not known
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
