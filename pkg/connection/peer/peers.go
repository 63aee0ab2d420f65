// Package peer is the connection between entry hosts, over gRPC: a client for each host in the
// platform's list, and the serving side. The gateway, the settings store and operators call it.
//
// It decides nothing: peers hand over settings, answer for keys, and pass on news. A peer that
// can't be reached costs its caller a bounded wait and no more.
package peer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// askTimeout is how long a peer may take to answer for a key.
	askTimeout = 250 * time.Millisecond
	// newsTimeout is how long a peer may take to take news in.
	newsTimeout = time.Second
	// remember is how long a peer that left the list still counts as one that
	// can't be reached: the longest key window.
	remember = time.Hour
)

// Peers is the set of the other entry hosts. It is safe for many goroutines.
type Peers struct {
	name string
	hall string

	mu       sync.Mutex
	known    map[string]*peer
	departed map[string]time.Time
	listed   bool
	wakeSelf func()
}

// peer is one other entry host.
type peer struct {
	name    string
	hall    string
	address string
	conn    *grpc.ClientConn
	client  wire.PeerClient
}

// NewPeers returns the empty set of the named entry host. wakeSelf wakes the
// control loop of this process.
func NewPeers(name, hall string, wakeSelf func()) *Peers {
	return &Peers{name: name, hall: hall, known: map[string]*peer{}, departed: map[string]time.Time{}, wakeSelf: wakeSelf}
}

// SetHosts takes in the entry hosts of the host list.
func (p *Peers) SetHosts(now time.Time, hosts []*wire.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = true
	current := map[string]bool{}
	for _, h := range hosts {
		if h.GetControl() == "" || h.GetName() == p.name {
			continue
		}
		id := h.GetName() + "@" + h.GetControl()
		current[id] = true
		if p.known[id] == nil {
			p.add(id, h)
		}
	}
	for id, known := range p.known {
		if !current[id] {
			_ = known.conn.Close()
			delete(p.known, id)
			p.departed[id] = now
		}
	}
	for id, at := range p.departed {
		if now.Sub(at) > remember {
			delete(p.departed, id)
		}
	}
}

func (p *Peers) add(id string, h *wire.Host) {
	conn, err := grpc.NewClient(h.GetControl(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: time.Second,
		}),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
	)
	if err != nil {
		return // not an address: the next list may have a better one
	}
	p.known[id] = &peer{name: h.GetName(), hall: h.GetHall(), address: h.GetControl(), conn: conn, client: wire.NewPeerClient(conn)}
}

func (p *Peers) list() []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*peer, 0, len(p.known))
	for _, known := range p.known {
		out = append(out, known)
	}
	return out
}

// each calls every peer at once, and waits for all.
func (p *Peers) each(ctx context.Context, timeout time.Duration, f func(context.Context, *peer)) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, known := range p.list() {
		wait.Go(func() { f(ctx, known) })
	}
	wait.Wait()
}

// ------------------------------------------------------------------- keys

// Asked sums up what the other entry hosts said of a key.
type Asked struct {
	// MaybeRan: at least one has, or had, the key and may have run it.
	MaybeRan bool
	// Unsure: at least one could not be reached, or is younger than the window.
	Unsure bool
}

// Ask asks every peer about a key, in this host's name.
func (p *Peers) Ask(ctx context.Context, q *wire.AskRequest) Asked {
	var mu sync.Mutex
	window := time.Duration(q.GetWindowMs()) * time.Millisecond
	asked := Asked{Unsure: p.missing(time.Now(), window)}
	q.Asker = p.name
	p.each(ctx, askTimeout, func(ctx context.Context, known *peer) {
		reply, err := known.client.Ask(ctx, q)
		mu.Lock()
		defer mu.Unlock()
		young := reply.GetSeen() == wire.Seen_SEEN_PROMISED && reply.GetAgeMs() < window.Milliseconds()
		asked.Unsure = asked.Unsure || err != nil || young
		asked.MaybeRan = asked.MaybeRan || reply.GetSeen() == wire.Seen_SEEN_MAYBE_RAN
	})
	return asked
}

// missing says whether there may be, or have been, entry hosts within the
// window that can't be asked.
func (p *Peers) missing(now time.Time, window time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.departed {
		if now.Sub(at) < window {
			return true
		}
	}
	return !p.listed
}

// ------------------------------------------------------------------- news

// tell passes news on without waiting.
func (p *Peers) tell(f func(context.Context, *peer)) {
	go p.each(context.Background(), newsTimeout, f)
}

// Offer hands a settings version to every peer.
func (p *Peers) Offer(row *wire.SettingsRow) {
	p.tell(func(ctx context.Context, known *peer) { _, _ = known.client.Offer(ctx, row) })
}

// SpreadLeaving tells every peer that a backend server is leaving.
func (p *Peers) SpreadLeaving(service, name string) {
	notice := &wire.LeavingNotice{Service: service, Name: name, ReportedBy: p.name}
	p.tell(func(ctx context.Context, known *peer) { _, _ = known.client.Leaving(ctx, notice) })
}

// WakeLeader tells the entry hosts of a hall that its inbox has something.
func (p *Peers) WakeLeader(hall string) {
	if hall == p.hall {
		p.wakeSelf()
	}
	p.tell(func(ctx context.Context, known *peer) {
		if known.hall == hall {
			_, _ = known.client.Wake(ctx, &wire.Have{})
		}
	})
}

// Fetch returns the highest settings version above the given one that any peer
// has, or nil.
func (p *Peers) Fetch(ctx context.Context, have int64) *wire.SettingsRow {
	var mu sync.Mutex
	var best *wire.SettingsRow
	p.each(ctx, newsTimeout, func(ctx context.Context, known *peer) {
		row, err := known.client.Fetch(ctx, &wire.Have{Version: have})
		mu.Lock()
		defer mu.Unlock()
		if err == nil && row.GetVersion() > max(have, best.GetVersion()) {
			best = row
		}
	})
	return best
}

// Explain asks every peer; those that lead a hall answer.
func (p *Peers) Explain(ctx context.Context, name string) []*wire.Answer {
	var mu sync.Mutex
	var answers []*wire.Answer
	p.each(ctx, newsTimeout, func(ctx context.Context, known *peer) {
		answer, err := known.client.Explain(ctx, &wire.Question{Name: name})
		mu.Lock()
		defer mu.Unlock()
		if err == nil && len(answer.GetFacts()) > 0 {
			answers = append(answers, answer)
		}
	})
	return answers
}
