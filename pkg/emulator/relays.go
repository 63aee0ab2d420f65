package emulator

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/relay"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Hosts that learn of leaderships from relays, as package fleet does. The relays are the first hosts of each hall.

const (
	// relaysOfHall is the number of relays of a hall.
	relaysOfHall = 2
	// followWait is how long a host waits for the answer of a relay.
	followWait = 600 * time.Millisecond
	// relayLags is the number of answers of a relay of which one is late.
	relayLags = 12
	// maxAgeError is how much younger than it is a passed on renewal may count.
	maxAgeError = 350 * time.Millisecond
)

// RelayPlan returns the plan of a HandoverPlan day with three hosts more in each hall, most of which learn of leaderships
// from relays. Relays die, freeze, are suspended, lag, and are cut off from the table or from other hosts.
func RelayPlan(seed uint64) Plan {
	plan := HandoverPlan(seed)
	plan.Hosts, plan.Faults, plan.Relays = 12, 8, true
	plan.Suspends, plan.Deposed, plan.Touch = 2, 2, true
	if seed%3 == 0 {
		plan.HallCuts = 1
	}
	return plan
}

// PassedReadings returns how many recent readings of leaderships hosts have got from relays.
func (w *World) PassedReadings() int { return w.passedReadings }

// isRelay returns whether the host is a relay of its hall.
func (h *host) isRelay() bool {
	before := 0
	for _, other := range h.world.hosts {
		if other == h {
			return before < relaysOfHall
		}
		if other.hall == h.hall && !other.removed() {
			before++
		}
	}
	return false
}

// relays returns the relays of all halls, whether they are up or not.
func (w *World) relays() []*wire.EntryHost {
	var list []*wire.EntryHost
	for _, h := range w.hosts {
		if !h.removed() && h.isRelay() {
			list = append(list, &wire.EntryHost{Name: h.name, Hall: h.hall, Leaving: h.leaving})
		}
	}
	return list
}

// situation returns what decides whether the host reads the leaderships itself.
func (h *host) situation() relay.Situation {
	s := relay.Situation{LeadershipsAt: h.passedAt, Spread: relay.Spread(h.name)}
	if h.isRelay() {
		s.Standing = relay.Relay
	}
	for _, seat := range h.seats {
		s.Leads = s.Leads || seat.state.HoldsLeadership()
	}
	return s
}

// askRelay asks a relay for the leaderships.
func (h *seat) askRelay() {
	w, sentAt, here := h.world, h.clock(), h.bindIncarnation()
	to := relay.Choose(h.name, h.hall, w.relays(), h.avoided.At(sentAt))
	if to == nil {
		return
	}
	answered := false
	done := func(reply *wire.FollowReply) {
		if !answered {
			answered = true
			h.takePassed(sentAt, to.GetName(), reply)
		}
	}
	other := w.hostAt(to.GetName())
	if other.up && !w.unreachable(h.name, other.name) {
		delay := w.draws.messageDelay("relay " + other.name + " " + h.name)
		if w.draws.oneIn("relay "+other.name, relayLags) {
			delay = w.draws.between("relay "+other.name, 100*time.Millisecond, time.Second)
		}
		w.after(w.draws.messageDelay("relay "+h.name+" "+other.name), other.ifSameIncarnation(func() {
			reply := relay.Reply(other.clock(), relay.Content{Leaderships: other.leaderships}, relay.Known{}, 0)
			w.after(delay, func() { here(func() { done(reply) }) })
		}))
	}
	w.after(followWait, func() { here(func() { done(&wire.FollowReply{}) }) })
}

// takePassed takes the answer of a relay to a request that was sent at sentAt.
func (h *seat) takePassed(sentAt time.Time, from string, reply *wire.FollowReply) {
	now := h.clock()
	passed, err := relay.Accept(now, sentAt, from, reply, rows.LeadTable, "")
	if h.world.plan.Undated && reply.GetLeaderships() != nil {
		reply.Leaderships.AgeUs, reply.Leaderships.AskedAgeUs, reply.HeldUs = 0, 0, now.Sub(sentAt).Microseconds()
		passed, err = relay.Accept(now, sentAt, from, reply, rows.LeadTable, "")
	}
	if err != nil || !passed.Recent.Leaderships {
		h.avoided = h.avoided.With(now, from)
	}
	if err != nil || passed.Leaderships.ReadAt.IsZero() {
		return
	}
	if passed.Recent.Leaderships {
		h.passedAt = now
		h.world.passedReadings++
	}
	row := h.takeLeaderships(passed.Leaderships)
	if row == nil || h.seat.Row() != row {
		return // the seat knows a newer row
	}
	actual := h.world.table.storeTime() - time.Duration(row.GetRenewedStoreMs())*time.Millisecond
	if believed := h.seat.RenewalAge(now); actual-believed > maxAgeError {
		h.world.checker.breakRule("AGE", "%s takes a renewal of %s for %s old that is %s old", h.name, h.cell, believed, actual)
	}
}

// takeLeaderships gives the seat a reading of the table, and keeps it for followers. It returns the cell's row.
func (h *seat) takeLeaderships(reading relay.Reading) *wire.CellLead {
	if reading.StoreTime > h.leaderships.StoreTime {
		h.leaderships = reading.FromAsked()
	}
	var row *wire.CellLead
	version := int64(0)
	for _, r := range reading.Rows {
		if read := (&wire.CellLead{}); r.Key.Key == h.cell && rows.Read(r, read) == nil {
			row, version = read, r.Version
		}
	}
	h.takeChange(h.seat.RowRead(h.clock(), reading.AskedAt, row, version, reading.StoreTime+reading.Age(h.clock())))
	h.act()
	return row
}

// readLeads reads the leadership row of the cell for the seat, from the table or from a relay.
func (h *seat) readLeads() {
	if h.world.plan.Relays {
		s := h.situation()
		if relay.Follows(s) {
			h.askRelay()
		}
		if !relay.SourcesOf(h.clock(), s).Leaderships {
			return
		}
	}
	askedAt, here := h.clock(), h.bindIncarnation()
	h.world.table.scan(h.name, rows.LeadTable, func(list []table.Row, at time.Duration, ok bool) {
		here(func() {
			if !ok {
				return
			}
			h.storeAt, h.storeRead = at, h.clock()
			h.takeLeaderships(relay.Reading{Rows: list, StoreTime: at, AskedAt: askedAt, ReadAt: h.clock()})
		})
	})
}
