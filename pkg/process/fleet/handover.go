package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/election"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Planned handovers with the setting confirmedHandover. A leader goes on leading until a release is of use.

const (
	// releaseReserve is the part of the grace period of a stopping host that is left for an unconfirmed release, for the
	// claim of another host, and for the exit of the process.
	releaseReserve = 2500 * time.Millisecond
	// handoverInterval is the time between two tries to hand over a cell.
	handoverInterval = 300 * time.Millisecond
)

// mayRelease reports whether to begin a release of a led cell: its jobs are loaded, since a release discards a load, and
// the table has confirmed the leadership recently.
func (s *localCell) mayRelease(now time.Time) bool {
	return s.state.Leading() && s.seat.MayRelease(now)
}

// mayHandOver reports whether to hand a led cell over to a stronger host.
func (s *localCell) mayHandOver(now time.Time) bool {
	return s.state.Settled() && s.seat.MayHandOver(now)
}

// mayBeReleased reports whether this process leads the cell and is not releasing it yet.
func (s *localCell) mayBeReleased() bool {
	return s.seat.Role() == election.Leader && s.state.HoldsLeadership() && !s.state.Releasing()
}

// cellCondition is a condition on a cell that this process leads.
type cellCondition func(s *localCell, now time.Time) bool

// ifLed runs a function on the control goroutine for a cell that this process leads, if the condition holds and no release
// has begun. It returns whether the function has run.
func (c *Control) ifLed(ctx context.Context, name string, condition cellCondition, run func(s *localCell, now time.Time)) bool {
	ran := make(chan bool, 1)
	ok := c.query(ctx, func(c *Control, now time.Time) {
		s := c.cells[name]
		holds := s != nil && s.mayBeReleased() && condition(s, now)
		if holds {
			run(s, now)
		}
		ran <- holds
	})
	return ok && <-ran
}

// releaseIf begins the release of a led cell to a successor. If a renewal is in flight, it begins with the answer, and only
// if the condition holds then: the release can't be written earlier, and until it begins, the cell goes on starting tasks.
// It returns whether the release has begun or waits for that answer.
func (c *Control) releaseIf(ctx context.Context, name string, condition cellCondition, successor *election.Acceptance, why string) bool {
	return c.ifLed(ctx, name, condition, func(s *localCell, now time.Time) {
		s.afterWrite = func(now time.Time) {
			if s.mayBeReleased() && condition(s, now) {
				logHandover(c.log, name, successor.Host, why)
				c.beginRelease(now, s, successor)
			}
		}
		if !s.seat.WritePending() {
			s.runAfterWrite(now)
		}
	})
}

// beginRelease begins the release of a cell to a successor, or to nobody if that is nil.
func (c *Control) beginRelease(now time.Time, s *localCell, successor *election.Acceptance) {
	kind := "unconfirmed"
	if successor != nil {
		kind = "confirmed"
	}
	metrics.GetOrRegisterCounter("lead.handovers."+kind, c.metrics).Inc(1)
	s.successor = successor
	s.seat.PrepareRelease()
	s.state.Take(now, cell.ReleaseRequested{})
	s.needsDecision = true
}

// runAfterWrite runs what waits for the answer to the last write of the leadership row.
func (s *localCell) runAfterWrite(now time.Time) {
	if run := s.afterWrite; run != nil {
		s.afterWrite = nil
		run(now)
	}
}

// confirmSuccessor asks the hosts of a hall with at least so many processors whether they would lead a cell, and returns
// the one that should, or nil if none accepts.
func (h *Host) confirmSuccessor(ctx context.Context, name, hall string, processors float64) *election.Acceptance {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var mu sync.Mutex
	var accepted []election.Acceptance
	var asked sync.WaitGroup
	for _, other := range h.Hosts.List() {
		if other.GetHall() != hall || other.GetLeaving() || float64(other.GetProcessors()) < processors {
			continue
		}
		asked.Go(func() {
			p, err := h.peers.PeerClient(other.GetAddress())
			if err != nil {
				return
			}
			offer, err := p.OfferLeadership(ctx, &wire.CellRef{Cell: name})
			if err != nil || !offer.GetAccepts() {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			accepted = append(accepted, election.Acceptance{
				Incarnation: offer.GetIncarnation(), Host: other.GetName(), Address: other.GetAddress(),
				Processors: float64(other.GetProcessors()), Up: time.Duration(offer.GetUpMs()) * time.Millisecond,
			})
		})
	}
	asked.Wait()
	chosen, found := election.ChooseSuccessor(accepted)
	offered := h.Log.WithFields(logrus.Fields{"cell": name, "accepts": found})
	if !found {
		offered.Info("handover-offered")
		return nil
	}
	offered.WithField("to", chosen.Host).Info("handover-offered")
	return &chosen
}

// handOverTo releases a cell to a host that has agreed to lead it, if the condition holds.
func (h *Host) handOverTo(ctx context.Context, name string, condition cellCondition, next *election.Acceptance, why string) bool {
	if !h.Control.releaseIf(ctx, name, condition, next, why) {
		return false
	}
	h.askToTakeOver(ctx, &wire.EntryHost{Name: next.Host, Address: next.Address}, name)
	return true
}

// askOverdueLeader asks the leader with an overdue renewal whether it holds the cell, and sends the outcome to the control
// goroutine.
func (c *Control) askOverdueLeader(name string, q election.Question) {
	answer, ok := c.askLeadership(q.Address, name, "")
	c.send(leaderAnswered{cell: name, question: q, holds: ok && answer.holdsLeadership})
}

// leaderAnswered reports whether a leader with an overdue renewal says that it holds the cell.
type leaderAnswered struct {
	cell     string
	question election.Question
	holds    bool
}

func (m leaderAnswered) apply(c *Control, now time.Time) {
	s := c.cells[m.cell]
	if s == nil || !s.seat.LeaderAnswered(now, m.question, m.holds) {
		return
	}
	metrics.GetOrRegisterCounter("lead.claims-deferred", c.metrics).Inc(1)
	c.log.WithFields(logrus.Fields{
		"cell": m.cell, "leader": m.question.Leader, "overdue_ms": s.seat.Overdue(now).Milliseconds(),
	}).Info("claim-deferred")
}

// successorIncarnation returns the incarnation that the release of the cell names, or "".
func (s *localCell) successorIncarnation() string {
	if s.successor == nil {
		return ""
	}
	return s.successor.Incarnation
}

// readLeadershipsNow makes the LeadershipFollower read the rows without waiting for its interval.
func (c *Control) readLeadershipsNow() {
	select {
	case c.leadershipsWanted <- struct{}{}:
	default: // a reading is due already
	}
}

// readOutcomeNow does the same after a write with an unknown outcome, at most once per leadershipReadInterval: the write is
// repeated after the reading, and a table that refuses writes would get them as fast as it refuses them.
func (c *Control) readOutcomeNow(now time.Time) {
	if now.Sub(c.outcomeReadAt) >= leadershipReadInterval {
		c.outcomeReadAt = now
		c.readLeadershipsNow()
	}
}

// notifySuccessor tells the host that has agreed to lead a cell that the release is written. If the call is lost, that host
// claims the cell with its next reading.
func (h *Host) notifySuccessor(name string, next election.Acceptance) {
	h.askToTakeOver(context.Background(), &wire.EntryHost{Name: next.Host, Address: next.Address}, name)
}

// handOverConfirmed releases all cells that this process leads, each once that is of use, and at the latest
// releaseReserve before the grace period of the stop that began at the given time ends.
func (h *Host) handOverConfirmed(began time.Time) {
	h.Control.BeginStop()
	confirmUntil := began.Add(max(0, time.Duration(h.grace.Load())-releaseReserve))
	end := confirmUntil.Add(handoverTimeout)
	// A claim in flight may still take effect, so this goes on while callers are served in any case.
	for now := clock.Now(); now.Before(began.Add(balancerNoticeTime)) || len(h.Control.LedCells()) > 0; now = clock.Now() {
		if !now.Before(end) {
			return
		}
		var wait sync.WaitGroup
		for _, name := range h.Control.LedCells() {
			wait.Go(func() { h.handOverStopping(name, now.Before(confirmUntil)) })
		}
		wait.Wait()
		h.awaitRelease(now.Add(handoverInterval))
	}
}

// awaitRelease waits until a time, or until this process leads no cell any more.
func (h *Host) awaitRelease(until time.Time) {
	for led := len(h.Control.LedCells()) > 0; clock.Now().Before(until); {
		if led && len(h.Control.LedCells()) == 0 {
			return
		}
		time.Sleep(handoverCheckInterval)
	}
}

// handOverStopping tries to hand over a cell of a host that stops. If it may not wait, it releases the cell to nobody.
func (h *Host) handOverStopping(name string, mayWait bool) {
	ctx := context.Background()
	if mayWait {
		if !h.Control.ifLed(ctx, name, (*localCell).mayRelease, func(*localCell, time.Time) {}) {
			return
		}
		if next := h.confirmSuccessor(ctx, name, h.Control.View().Cells[name].Hall, 0); next != nil {
			h.handOverTo(ctx, name, (*localCell).mayRelease, next, "stopping")
		}
		return
	}
	always := func(*localCell, time.Time) bool { return true }
	if !h.Control.ifLed(ctx, name, always, func(s *localCell, now time.Time) { h.Control.beginRelease(now, s, nil) }) {
		return
	}
	if next := h.Hosts.Successor(h.Control.View().Cells[name].Hall); next != nil {
		logHandover(h.Log, name, next.GetName(), "stopping")
		h.askToTakeOver(ctx, next, name)
	}
}

func logHandover(log *logrus.Entry, name, to, why string) {
	log.WithFields(logrus.Fields{"cell": name, "to": to, "why": why}).Info("cell-handed-over")
}
