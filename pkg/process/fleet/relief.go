package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// reliefEvery is the pace of looking whether a stronger host should lead instead,
	// and reliefAfter the least time between two handovers of this host: one costs a
	// cell about 0.2 s.
	reliefEvery = time.Second
	reliefAfter = 15 * time.Second
)

// relief hands the cells of this host's hall over to a host that is at least twice as
// strong. Who leads a cell is decided by who comes first; a weak host that was first
// would lead for as long as it lives.
type relief struct {
	host *Host
	last time.Time
}

// String names the part for the supervisor.
func (r *relief) String() string { return "relief" }

// Serve looks until the context ends.
func (r *relief) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, reliefEvery)
		r.look(ctx, clock.Now())
	}
	return ctx.Err()
}

func (r *relief) look(ctx context.Context, now time.Time) {
	h := r.host
	if h.leaving.Load() || now.Sub(r.last) < reliefAfter || h.Hosts.Handicap() == 0 {
		return
	}
	for _, name := range h.Control.Held() {
		if h.Control.View().Cells[name].Hall != h.Config.Hall {
			continue
		}
		next := h.Hosts.Successor(h.Config.Hall)
		if next == nil {
			return
		}
		if _, answers := h.leads(next.GetAddress(), name, ""); !answers {
			return // a list is some seconds old
		}
		r.last = now
		h.Log.WithFields(logrus.Fields{"cell": name, "to": next.GetName(), "why": "it is stronger"}).Info("cell-handed-over")
		h.Control.tell(giveUp{cell: name})
		h.askToTakeOver(ctx, next, name)
	}
}

// askToTakeOver asks a host to lead a cell that has just been given up.
func (h *Host) askToTakeOver(ctx context.Context, next *wire.EntryHost, name string) {
	p, err := h.peers.To(next.GetAddress())
	if err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, peerWord)
		defer cancel()
		_, err = p.TakeOver(ctx, &wire.CellRef{Cell: name})
	}
	if err != nil {
		h.Log.WithFields(logrus.Fields{"cell": name, "to": next.GetName(), "why": err.Error()}).Warn("handover-unanswered")
	}
}
