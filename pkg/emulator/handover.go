package emulator

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/election"
)

// Planned stops of hosts, and handovers of cells between them, as package fleet makes them.

const (
	// stopGrace is the longest time of a planned stop, minStop the least: callers are served until the balancer has
	// removed the host.
	stopGrace = 6 * time.Second
	minStop   = 2200 * time.Millisecond
	// confirmTime is the time of a planned stop in which a host looks for successors that agree, handoverInterval the time
	// between two tries.
	confirmTime      = stopGrace - 2500*time.Millisecond
	handoverInterval = 300 * time.Millisecond
	// peerTimeout is how long a host waits for another one's answer.
	peerTimeout = 300 * time.Millisecond
)

// HandoverPlan returns the plan of a day of two cells with all hosts stopped and restarted one after the other, twice. The
// table is slow at times, leaders hand over to other hosts, and on some days hosts are suspended or deposed besides.
func HandoverPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Hosts, plan.Workers, plan.Jobs, plan.Faults = 6, 8, 60, int(seed%3)
	plan.Traffic, plan.Trouble, plan.End = 30*time.Second, 36*time.Second, 100*time.Second
	plan.ConfirmedHandover, plan.Restarts = true, 2
	switch seed % 4 {
	case 1:
		plan.Suspends = 3
	case 2:
		plan.Deposed, plan.Touch = 2, true
	default:
	}
	return plan
}

// scheduleRestarts draws the planned stops of Plan.Restarts.
func (w *World) scheduleRestarts() {
	for range w.plan.Restarts {
		at := w.between(earliestFault, w.plan.Trouble/2)
		for _, h := range w.hosts {
			span := w.between(200*time.Millisecond, 2*time.Second)
			w.after(at, func() { w.injectFault(Fault{Kind: StopHost, Target: h.name, For: span}) })
			at += w.between(200*time.Millisecond, 2500*time.Millisecond)
		}
		for range 2 {
			w.after(w.between(earliestFault, w.plan.Trouble-3*time.Second), func() {
				w.injectFault(Fault{Kind: TableSlow, For: w.between(500*time.Millisecond, 3*time.Second)})
			})
			w.after(w.between(earliestFault, w.plan.Trouble), func() {
				if h := w.leader(); h != nil {
					w.injectFault(Fault{Kind: HandOver, Target: h.name})
				}
			})
		}
	}
}

// seatOptions returns the options of the seats of all hosts.
func (w *World) seatOptions() []election.Option {
	if w.plan.ConfirmedHandover {
		return []election.Option{election.WithConfirmedHandover()}
	}
	return nil
}

// stop begins a planned stop of the host. The next incarnation boots a span after the end of this one.
func (h *host) stop(span time.Duration) {
	if !h.up || h.leaving {
		return
	}
	h.world.logf("%s is stopping", h.name)
	h.leaving = true
	began := h.world.now
	var round func()
	round = func() {
		stopping, led := h.world.now.Sub(began), 0
		for _, s := range h.seats {
			if s.seat.Role() == election.Leader {
				led++
				s.handOverStopping(h.world.plan.ConfirmedHandover && stopping < confirmTime)
			}
		}
		if stopping >= stopGrace || (led == 0 && stopping >= minStop) {
			h.kill(span)
			return
		}
		h.world.after(handoverInterval, h.ifSameIncarnation(round))
	}
	h.whenRunning(round)
}

// handOverStopping tries to hand over a cell of a host that stops. If it may not wait, it releases the cell to nobody.
func (h *seat) handOverStopping(mayWait bool) {
	switch {
	case h.state.Releasing() || !h.state.HoldsLeadership():
	case mayWait:
		h.handOverIf(func() bool { return h.state.Leading() && h.seat.MayRelease(h.clock()) })
	default:
		h.release(nil)
	}
}

// handOverToStronger has the host hand its cells over, where it may do so to a stronger host.
func (h *host) handOverToStronger() {
	for _, s := range h.seats {
		if h.up && !h.world.now.Before(h.frozenUntil) {
			s.handOverIf(func() bool { return s.state.Settled() && s.seat.MayHandOver(s.clock()) })
		}
	}
}

// handOverIf offers the cell to the other hosts of its hall, and releases it to one that accepts, if the condition holds
// before and after.
func (h *seat) handOverIf(condition func() bool) {
	if h.state.Releasing() || !condition() {
		return
	}
	var accepted []election.Acceptance
	for _, other := range h.world.hosts {
		if other.hall != h.cell || other == h.host {
			continue
		}
		h.callHost(other, func() election.Acceptance { return other.offer(h.cell) }, func(a election.Acceptance) {
			if a.Host != "" {
				accepted = append(accepted, a)
			}
		})
	}
	h.world.after(peerTimeout, h.ifSameIncarnation(func() {
		next, found := election.ChooseSuccessor(accepted)
		if !found {
			return
		}
		h.afterWrite = func() {
			if !h.state.Releasing() && condition() {
				h.release(&next)
				h.sendTakeOver(next.Host)
			}
		}
		if !h.seat.WritePending() {
			h.runAfterWrite()
		}
	}))
}

// runAfterWrite runs what waits for the answer to the last write of the leadership row.
func (h *seat) runAfterWrite() {
	if run := h.afterWrite; run != nil {
		h.afterWrite = nil
		run()
	}
}

// release begins to release the cell to a successor, or to nobody.
func (h *seat) release(next *election.Acceptance) {
	h.successor = next
	h.world.logf("%s is released to %q by %s", h.cell, h.successorIncarnation(), h.name)
	if h.world.plan.ConfirmedHandover {
		h.seat.PrepareRelease()
	}
	h.state.Take(h.clock(), cell.ReleaseRequested{})
	h.act()
}

// offer returns the host's answer to the offer of a cell; without a name, it does not accept.
func (h *host) offer(name string) election.Acceptance {
	for _, s := range h.seats {
		if s.cell == name && s.seat.AcceptsOffer(h.clock(), h.leaving, true) {
			return election.Acceptance{Incarnation: h.incarnationID(), Host: h.name, Processors: 1, Up: h.world.now.Sub(h.bootedAt)}
		}
	}
	return election.Acceptance{}
}

// callHost calls another host; done gets the answer, if there is one.
func (h *host) callHost(other *host, at func() election.Acceptance, done func(election.Acceptance)) {
	w, here := h.world, h.bindIncarnation()
	if !other.up || w.unreachable(h.name, other.name) {
		return
	}
	w.after(w.draws.messageDelay("word "+h.name+" "+other.name), other.ifSameIncarnation(func() {
		answer := at()
		w.after(w.draws.messageDelay("word "+other.name+" "+h.name), func() { here(func() { done(answer) }) })
	}))
}

// sendTakeOver asks a host to take the cell over.
func (h *seat) sendTakeOver(to string) {
	other := h.world.hostAt(to)
	h.callHost(other, func() election.Acceptance {
		for _, s := range other.seats {
			if s.cell == h.cell && !other.leaving {
				s.seat.AcceptHandover()
				s.readLeads()
			}
		}
		return election.Acceptance{}
	}, func(election.Acceptance) {})
}

// successorIncarnation returns the incarnation that the release of the cell names, or "".
func (h *seat) successorIncarnation() string {
	if h.successor == nil {
		return ""
	}
	return h.successor.Incarnation
}

// askOverdueLeader asks the leader with an overdue renewal whether it holds the cell, if the seat wants to know.
func (h *seat) askOverdueLeader() {
	q := h.seat.LeaderToAsk(h.clock(), 0, h.leaving)
	if q == nil {
		return
	}
	answered := false
	answer := func(holds bool) {
		if answered {
			return
		}
		answered = true
		if h.seat.LeaderAnswered(h.clock(), *q, holds) {
			h.world.logf("%s defers a claim of %s: %s leads", h.name, h.cell, q.Leader)
		}
		h.act()
	}
	other := h.world.hostAt(q.Leader)
	h.callHost(other, func() election.Acceptance {
		if other.mayOrder(h.cell) {
			return election.Acceptance{Host: other.name}
		}
		return election.Acceptance{}
	}, func(a election.Acceptance) { answer(a.Host != "") })
	h.world.after(peerTimeout, h.ifSameIncarnation(func() { answer(false) }))
}
