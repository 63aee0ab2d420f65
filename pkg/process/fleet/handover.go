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

// releaseIf begins the release of a cell that this process leads, if the condition holds and no release has begun. It
// returns whether it did.
func (c *Control) releaseIf(ctx context.Context, name string, condition func(s *localCell, now time.Time) bool) bool {
	began := make(chan bool, 1)
	ok := c.query(ctx, func(c *Control, now time.Time) {
		s := c.cells[name]
		if s == nil || s.state.Releasing() || !condition(s, now) {
			began <- false
			return
		}
		s.state.Take(now, cell.ReleaseRequested{})
		s.needsDecision = true
		began <- true
	})
	return ok && <-began
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

// handOverStopping tries to hand over a cell of a host that stops.
func (h *Host) handOverStopping(name string, mayWait bool) {
	ctx := context.Background()
	condition := func(s *localCell, now time.Time) bool { return !mayWait || s.mayRelease(now) }
	if !h.Control.releaseIf(ctx, name, condition) {
		return
	}
	if next := h.Hosts.Successor(h.Control.View().Cells[name].Hall); next != nil {
		h.logHandover(name, next, "stopping")
		h.askToTakeOver(ctx, next, name)
	}
}

func (h *Host) logHandover(name string, next *wire.EntryHost, why string) {
	h.Log.WithFields(logrus.Fields{"cell": name, "to": next.GetName(), "why": why}).Info("cell-handed-over")
}
