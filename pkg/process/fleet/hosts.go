package fleet

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/connection/fleetpeer"
	"github.com/wrenferry/wrenferry/pkg/connection/store"
	"github.com/wrenferry/wrenferry/pkg/process/election"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// hostsEvery is the pace of writing the own row and reading the others.
	hostsEvery = 2 * time.Second
	// hostGoneAfter is how old a host's row may be: three readings.
	hostGoneAfter = 3*hostsEvery + time.Second
	// peersAsked bounds the peers that are asked in the table's stead, and so
	// how long a call may take.
	peersAsked = 2
)

// Hosts keeps the list of entry hosts, and this host's row in it.
type Hosts struct {
	// Processors is how much of a processor this host has.
	Processors float64
	Self       election.Self
	Store      *store.Client
	Peers      *fleetpeer.Clients
	leaving    atomic.Bool
	known      atomic.Pointer[[]*wire.EntryHost]
}

// String names the part for the supervisor.
func (h *Hosts) String() string { return "hosts follower" }

// Leave lets the row say that this host is stopping.
func (h *Hosts) Leave() { h.leaving.Store(true) }

// Serve keeps the list until the context ends.
func (h *Hosts) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		h.write(ctx)
		h.read(ctx)
		pause(ctx, hostsEvery)
	}
	return ctx.Err()
}

func (h *Hosts) write(ctx context.Context) {
	row := &wire.EntryHost{
		Name: h.Self.Host, Hall: h.Self.Hall, Address: h.Self.Address, Life: h.Self.Life,
		SeenStoreMs: h.Store.Now(clock.Now()).Milliseconds(), Leaving: h.leaving.Load(), Processors: float32(h.Processors),
	}
	// The store client counts a failure; the next round writes again.
	_, _ = h.Store.Commit(ctx, table.Transaction{Puts: []table.Row{rows.Row(rows.HostKey(h.Self.Host), row)}})
}

func (h *Hosts) read(ctx context.Context) {
	page, err := table.ReadAll(ctx, h.Store, rows.HostTable, "")
	if err != nil {
		return // counted by the store client; the last list stays
	}
	var list []*wire.EntryHost
	wanted := map[string]bool{}
	for _, r := range page.Rows {
		host := &wire.EntryHost{}
		if rows.Read(r, host) != nil || host.GetName() == h.Self.Host {
			continue
		}
		if page.StoreTime-time.Duration(host.GetSeenStoreMs())*time.Millisecond > hostGoneAfter {
			continue
		}
		list = append(list, host)
		wanted[host.GetAddress()] = true
	}
	h.known.Store(&list)
	h.Peers.Keep(wanted)
}

// List is the other entry hosts.
func (h *Hosts) List() []*wire.EntryHost {
	if l := h.known.Load(); l != nil {
		return *l
	}
	return nil
}

// ForTable lists peers that may ask the table in our stead: first of other
// halls, since a hall may be cut off whole.
func (h *Hosts) ForTable() []store.Peer {
	list := append([]*wire.EntryHost(nil), h.List()...)
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	var out []store.Peer
	for _, other := range []bool{true, false} {
		for _, host := range list {
			if len(out) >= peersAsked || (host.GetHall() != h.Self.Hall) != other {
				continue
			}
			if p, err := h.Peers.To(host.GetAddress()); err == nil {
				out = append(out, p)
			}
		}
	}
	return out
}

// Successor picks the host to hand a cell over to: of the cell's hall, not leaving, one
// of the strongest; nil: there is none.
func (h *Hosts) Successor(hall string) *wire.EntryHost {
	var fit []*wire.EntryHost
	most := float32(0)
	for _, host := range h.List() {
		if host.GetHall() != hall || host.GetLeaving() || host.GetProcessors() < most {
			continue
		}
		if host.GetProcessors() > most {
			fit, most = nil, host.GetProcessors()
		}
		fit = append(fit, host)
	}
	if len(fit) == 0 {
		return nil
	}
	return fit[rand.IntN(len(fit))]
}

// mostHandicap bounds by how many seats a weak host counts as busier.
const mostHandicap = 3

// Handicap is by how many seats this host is to count as busier than the strongest of
// its hall when it stands for a seat: one for each time that one is stronger.
func (h *Hosts) Handicap() int {
	strongest := h.Successor(h.Self.Hall)
	if strongest == nil || h.Processors <= 0 {
		return 0
	}
	return max(0, min(mostHandicap, int(float64(strongest.GetProcessors())/h.Processors)-1))
}
