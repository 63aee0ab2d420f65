package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/connection/fleetpeer"
	"github.com/wrenferry/wrenferry/pkg/connection/store"
	"github.com/wrenferry/wrenferry/pkg/process/election"
	"github.com/wrenferry/wrenferry/pkg/process/relay"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// relayInterval is the pause between two rounds of a relay, each of which reads the rows of all relays and writes its
	// own.
	relayInterval = time.Second
	// followerInterval is that of other hosts, which read the rows of their hall only. It also shows whether the table
	// answers them.
	followerInterval = 3 * time.Second
	// hostRowMaxAge is the age up to which a row counts as that of a host that is alive: three rounds and their calls.
	hostRowMaxAge = 4 * time.Second
	// hostRowKept is the age from which relays remove a row.
	hostRowKept = 30 * time.Second
	// maxRowsRemoved is the maximum number of rows that one transaction removes.
	maxRowsRemoved = 20
	// joinSpread is the range of the random wait before a host becomes a relay. Those of a hall that start together find
	// the rows of the first ones.
	joinSpread = 500 * time.Millisecond
	// maxTablePeers is the maximum number of peers through which the table is called when it does not answer
	// directly. It limits how long a call of the table takes.
	maxTablePeers = 2
)

// Hosts keeps the list of the relays among the entry hosts, and this host's standing. Relays write a row each.
type Hosts struct {
	// Processors is the number of processors that this host may use; it may be below 1.
	Processors float64
	Self       election.Self
	Store      *store.Client
	Peers      *fleetpeer.Clients
	// Leaders returns the addresses of the leaders of all cells, Followers the number of hosts that follow this one, and
	// Listed is called with the list after each change. They may be nil.
	Leaders   func() []string
	Followers func(now time.Time) int
	Listed    func(list []*wire.EntryHost)
	// Log may be nil.
	Log *logrus.Entry

	leaving  atomic.Bool
	standing atomic.Int64
	// own are the other relays of this host's hall, passed those of other halls that a relay has passed on.
	own    atomic.Pointer[[]*wire.EntryHost]
	passed atomic.Pointer[[]*wire.EntryHost]
	// outdated are the keys of rows that this host found to be too old.
	outdated []table.Key
	// wasRelay means that the row of an earlier incarnation of this host still counts as that of a relay.
	wasRelay bool
}

// String returns the name that the supervisor logs.
func (h *Hosts) String() string { return "hosts follower" }

// MarkLeaving makes the next row mark this host as leaving.
func (h *Hosts) MarkLeaving() { h.leaving.Store(true) }

// Standing returns this host's standing.
func (h *Hosts) Standing() relay.Standing { return relay.Standing(h.standing.Load()) }

// Serve updates the list and the standing until the context ends. It reads first: after a loss of all hosts a weak host has
// to know of stronger ones before it claims a cell, and their rows of before are there.
func (h *Hosts) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		h.readRows(ctx)
		h.updateStanding(ctx)
		pause(ctx, h.interval())
	}
	return ctx.Err()
}

// interval returns the pause between two rounds, which varies so that hosts that were started together don't stay in step.
// A host without a relay reads the table itself, so it looks for one soon.
func (h *Hosts) interval() time.Duration {
	interval := followerInterval
	if h.Standing() == relay.Relay || len(h.ownRelays()) == 0 {
		interval = relayInterval
	}
	return interval*3/4 + rand.N(interval/2)
}

// updateStanding makes this host a relay or a follower, and writes or removes its row. A host that was a relay before it was
// restarted becomes one at once: others choose it by the row that is still there.
func (h *Hosts) updateStanding(ctx context.Context) {
	before := h.Standing()
	next := h.nextStanding()
	if next == relay.Relay && before == relay.Follower && !h.wasRelay {
		pause(ctx, rand.N(joinSpread))
		h.readRows(ctx)
		next = h.nextStanding()
	}
	h.standing.Store(int64(next))
	if next != before && h.Log != nil {
		h.Log.WithFields(logrus.Fields{"relay": next == relay.Relay, "relays": len(h.ownRelays())}).Info("relay-changed")
	}
	switch {
	case next == relay.Relay:
		h.writeRow(ctx)
	case before == relay.Relay:
		// The store client counts a failure; without a removal the row soon counts as too old.
		_, _ = h.Store.Commit(ctx, table.Transaction{Removes: []table.Key{rows.HostKey(h.Self.Hall, h.Self.Host)}})
	}
}

// nextStanding returns the standing that this host should have.
func (h *Hosts) nextStanding() relay.Standing {
	current := h.Standing()
	if h.wasRelay {
		current = relay.Relay
	}
	return relay.Next(h.entry(clock.Now()), current, h.ownRelays())
}

// entry describes this host.
func (h *Hosts) entry(now time.Time) *wire.EntryHost {
	e := &wire.EntryHost{
		Name: h.Self.Host, Hall: h.Self.Hall, Address: h.Self.Address, Life: h.Self.Incarnation,
		SeenStoreMs: h.Store.StoreTime(now).Milliseconds(), Leaving: h.leaving.Load(), Processors: float32(h.Processors),
	}
	if h.Followers != nil {
		e.Followers = int32(h.Followers(now))
	}
	return e
}

func (h *Hosts) writeRow(ctx context.Context) {
	row := rows.Row(rows.HostKey(h.Self.Hall, h.Self.Host), h.entry(clock.Now()))
	// The store client counts a failure; the next round writes again.
	_, _ = h.Store.Commit(ctx, table.Transaction{Puts: []table.Row{row}, Removes: h.outdated})
}

// readRows reads the rows of the relays: of all halls for a relay, of its own hall for another host. After a failure, which
// the store client counts, the last list stays.
func (h *Hosts) readRows(ctx context.Context) {
	isRelay := h.Standing() == relay.Relay
	var page table.Page
	var err error
	if isRelay {
		page, err = table.ReadAll(ctx, h.Store, rows.HostTable, rows.HostPart)
	} else {
		page, err = h.Store.Read(ctx, rows.HostsOf(h.Self.Hall))
	}
	if err != nil {
		return
	}
	list := h.alive(page)
	own := slices.DeleteFunc(slices.Clone(list), func(e *wire.EntryHost) bool { return e.GetHall() != h.Self.Hall })
	h.own.Store(&own)
	if isRelay {
		others := slices.DeleteFunc(list, func(e *wire.EntryHost) bool { return e.GetHall() == h.Self.Hall })
		h.passed.Store(&others)
	}
	h.listChanged()
}

// alive returns the other relays among the rows of a page, and records the rows that are too old.
func (h *Hosts) alive(page table.Page) []*wire.EntryHost {
	var list []*wire.EntryHost
	h.outdated, h.wasRelay = nil, false
	for _, r := range page.Rows {
		host := &wire.EntryHost{}
		readable := rows.Read(r, host) == nil
		age := page.StoreTime - time.Duration(host.GetSeenStoreMs())*time.Millisecond
		switch {
		case !readable || age > hostRowKept:
			if len(h.outdated) < maxRowsRemoved && r.Key != rows.HostKey(h.Self.Hall, h.Self.Host) {
				h.outdated = append(h.outdated, r.Key)
			}
		case age > hostRowMaxAge:
		case host.GetName() == h.Self.Host:
			h.wasRelay = true
		default:
			list = append(list, host)
		}
	}
	return list
}

// TakeList takes the list of all relays that a relay has passed on, which lacks that relay itself.
func (h *Hosts) TakeList(from *wire.EntryHost, list []*wire.EntryHost) {
	var own, passed []*wire.EntryHost
	for _, e := range append([]*wire.EntryHost{from}, list...) {
		switch {
		case e.GetName() == h.Self.Host:
		case e.GetHall() == h.Self.Hall:
			own = append(own, e)
		default:
			passed = append(passed, e)
		}
	}
	h.own.Store(&own)
	h.passed.Store(&passed)
	h.listChanged()
}

// listChanged passes the list on, and closes the connections to hosts that are neither relays nor leaders.
func (h *Hosts) listChanged() {
	list := h.List()
	addresses := map[string]bool{}
	for _, host := range list {
		addresses[host.GetAddress()] = true
	}
	if h.Leaders != nil {
		for _, address := range h.Leaders() {
			addresses[address] = true
		}
	}
	h.Peers.Keep(addresses)
	if h.Listed != nil {
		h.Listed(list)
	}
}

// List returns the other relays of all halls, without those whose rows are too old.
func (h *Hosts) List() []*wire.EntryHost {
	list := slices.Clone(h.ownRelays())
	if l := h.passed.Load(); l != nil {
		list = append(list, *l...)
	}
	return list
}

// ownRelays returns the other relays of this host's hall.
func (h *Hosts) ownRelays() []*wire.EntryHost {
	if l := h.own.Load(); l != nil {
		return *l
	}
	return nil
}

// TablePeers returns the peers through which this host may call the table, in random order. Peers of other
// halls come first, since the table may be unreachable from a whole hall.
func (h *Hosts) TablePeers() []store.Peer {
	list := append([]*wire.EntryHost(nil), h.List()...)
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	var out []store.Peer
	for _, other := range []bool{true, false} {
		for _, host := range list {
			if len(out) >= maxTablePeers || (host.GetHall() != h.Self.Hall) != other {
				continue
			}
			if p, err := h.Peers.PeerClient(host.GetAddress()); err == nil {
				out = append(out, p)
			}
		}
	}
	return out
}

// Successor returns the host that a cell of the given hall is handed over to: a random one of the hosts
// of that hall with the most processors, without those that are leaving. It returns nil if there is none.
func (h *Hosts) Successor(hall string) *wire.EntryHost {
	var strongest []*wire.EntryHost
	mostProcessors := float32(0)
	for _, host := range h.List() {
		if host.GetHall() != hall || host.GetLeaving() || host.GetProcessors() < mostProcessors {
			continue
		}
		if host.GetProcessors() > mostProcessors {
			strongest, mostProcessors = nil, host.GetProcessors()
		}
		strongest = append(strongest, host)
	}
	if len(strongest) == 0 {
		return nil
	}
	return strongest[rand.IntN(len(strongest))]
}

// maxHandicap is the maximum handicap of a weak host, in cells.
const maxHandicap = 3

// Handicap returns the number that is added to the cells this host leads when it competes for another
// one: the processors of the strongest other host of its hall divided by its own, rounded down, minus one.
// The result is between 0 and maxHandicap, and 0 without another host in the hall.
func (h *Hosts) Handicap() int {
	strongest := h.Successor(h.Self.Hall)
	if strongest == nil || h.Processors <= 0 {
		return 0
	}
	return max(0, min(maxHandicap, int(float64(strongest.GetProcessors())/h.Processors)-1))
}
