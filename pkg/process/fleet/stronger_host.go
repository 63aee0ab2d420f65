package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// strongerHostCheckInterval is the pause between two checks for a stronger host.
	strongerHostCheckInterval = time.Second
	// minHandoverInterval is the least time between two rounds of handovers by this host: a handover
	// interrupts a cell's scheduling for about 0.2 s.
	minHandoverInterval = 15 * time.Second
	// strongerBy is how many times as many processors a stronger host has at least.
	strongerBy = 2
)

// strongerHostHandover hands the cells of this host's hall over to a host with at least twice its
// processors. The first host that claims a cell leads it; without handovers, a weak host that claimed
// first would lead for as long as it runs.
type strongerHostHandover struct {
	host         *Host
	lastHandover time.Time
}

// String returns the name that the supervisor logs.
func (r *strongerHostHandover) String() string { return "relief" }

// Serve checks for a stronger host until the context ends.
func (r *strongerHostHandover) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, strongerHostCheckInterval)
		r.handOverIfStronger(ctx, clock.Now())
	}
	return ctx.Err()
}

// handOverIfStronger hands over the cells of this host's hall that it leads, if a stronger host answers.
func (r *strongerHostHandover) handOverIfStronger(ctx context.Context, now time.Time) {
	h := r.host
	if h.Config.ConfirmedHandover {
		r.handOverConfirmed(ctx, now)
		return
	}
	if h.leaving.Load() || now.Sub(r.lastHandover) < minHandoverInterval || h.Hosts.Handicap() == 0 {
		return
	}
	for _, name := range h.Control.LedCells() {
		if h.Control.View().Cells[name].Hall != h.Config.Hall {
			continue
		}
		next := h.Hosts.Successor(h.Config.Hall)
		if next == nil {
			return
		}
		if _, answers := h.askLeadership(next.GetAddress(), name, ""); !answers {
			return // the list of hosts is some seconds old: this one may be down
		}
		r.lastHandover = now
		h.Log.WithFields(logrus.Fields{"cell": name, "to": next.GetName(), "why": "stronger host"}).Info("cell-handed-over")
		h.Control.send(handOverRequest{cell: name})
		h.askToTakeOver(ctx, next, name)
	}
}

// handOverConfirmed hands over the cells of this host's hall that have been led and settled for a while, if a stronger
// host agrees to lead them.
func (r *strongerHostHandover) handOverConfirmed(ctx context.Context, now time.Time) {
	h := r.host
	if h.leaving.Load() || now.Sub(r.lastHandover) < minHandoverInterval || h.Hosts.Handicap() == 0 {
		return
	}
	for _, name := range h.Control.LedCells() {
		if h.Control.View().Cells[name].Hall != h.Config.Hall {
			continue
		}
		if !h.Control.ifLed(ctx, name, (*localCell).mayHandOver, func(*localCell, time.Time) {}) {
			continue
		}
		next := h.confirmSuccessor(ctx, name, h.Config.Hall, strongerBy*h.Hosts.Processors)
		if next == nil {
			return
		}
		if h.handOverTo(ctx, name, (*localCell).mayHandOver, next, "stronger host") {
			r.lastHandover = now
		}
	}
}

// askToTakeOver asks a host to claim a cell that this host is releasing. A failure is logged.
func (h *Host) askToTakeOver(ctx context.Context, next *wire.EntryHost, name string) {
	p, err := h.peers.PeerClient(next.GetAddress())
	if err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, peerCallTimeout)
		defer cancel()
		_, err = p.TakeOver(ctx, &wire.CellRef{Cell: name})
	}
	if err != nil {
		h.Log.WithFields(logrus.Fields{"cell": name, "to": next.GetName(), "why": err.Error()}).Warn("handover-unanswered")
	}
}
