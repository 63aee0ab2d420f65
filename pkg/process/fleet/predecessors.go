package fleet

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/election"
)

// A new leader finds out which of its predecessors have ended. An ended predecessor grants no more
// leases, so its runs end when the granted leases expire.

// predecessorAskInterval is the time between two calls that ask a predecessor whether it still leads.
const predecessorAskInterval = 300 * time.Millisecond

// awaitPredecessor reports the end of a predecessor's leadership to the cell. A predecessor on this host has
// ended already: it is an earlier incarnation, or this process itself. Any other predecessor has ended when the
// process at its address answers that it does not lead: it learned of its replacement from a worker or from the
// table, or it is a later incarnation. A predecessor without an address can't be asked.
func (c *Control) awaitPredecessor(s *localCell, epoch int64, p election.Predecessor) {
	ended := predecessorEnded{cell: s.name, epoch: epoch, holder: p.Holder}
	if p.Host == c.self.Host {
		ended.sameProcess, ended.endedAt = p.Holder == c.self.Incarnation, c.self.Since
		ended.apply(c, clock.Now())
		return
	}
	if p.Address == "" {
		return
	}
	go func() {
		for range int(election.Tenure / predecessorAskInterval) {
			if answer, ok := c.askLeadership(p.Address, s.name, p.Holder); ok && !answer.holdsLeadership {
				ended.answer = answer
				if answer.uptime > 0 {
					ended.endedAt = clock.Now().Add(-answer.uptime)
				}
				c.send(ended)
				return
			}
			time.Sleep(predecessorAskInterval)
		}
	}()
}

// predecessorAnswer is the answer of the process at a predecessor's address. grants holds the time left of
// each lease that it granted, by worker; it is known only if the process is still the incarnation that led.
type predecessorAnswer struct {
	holdsLeadership, grantsKnown bool
	grants                       map[string]time.Duration
	// uptime is the uptime of a later incarnation on the predecessor's host, 0 if it is the same incarnation.
	uptime time.Duration
}

// predecessorEnded reports that an earlier leader of a cell grants no more leases.
type predecessorEnded struct {
	cell        string
	epoch       int64
	holder      string
	sameProcess bool // the earlier leader was this process
	// endedAt is the start of the process now at the leader's address: an earlier incarnation had ended by
	// then. It is zero if not known.
	endedAt time.Time
	answer  predecessorAnswer
}

func (m predecessorEnded) apply(c *Control, now time.Time) {
	s := c.cells[m.cell]
	if s == nil || s.seat.Role() != election.Leader || s.seat.Row().GetEpoch() != m.epoch {
		return
	}
	s.seat.PredecessorEnded(m.holder)
	s.state.Take(now, cell.PredecessorEnded{
		Epoch: m.epoch, Holder: m.holder, SameProcess: m.sameProcess, Grants: m.answer.grants, GrantsKnown: m.answer.grantsKnown, EndedAt: m.endedAt,
	})
	s.needsDecision = true
}
