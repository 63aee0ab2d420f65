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
	// keyAnswerTimeout is how long a peer may take to answer for a key.
	keyAnswerTimeout = 250 * time.Millisecond
	// notifyTimeout is how long a peer may take to take news in.
	notifyTimeout = time.Second
	// departedRetention is how long a peer that left the list still counts as one that
	// can't be reached: the longest key window.
	departedRetention = time.Hour
)

// Peers is the set of the other entry hosts. It is safe for many goroutines.
type Peers struct {
	name string
	hall string

	mu       sync.Mutex
	known    map[string]*peer
	departed map[string]time.Time
	hasHostList   bool
	wakeOwnLoop func()
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
	return &Peers{name: name, hall: hall, known: map[string]*peer{}, departed: map[string]time.Time{}, wakeOwnLoop: wakeSelf}
}

// SetHosts takes in the entry hosts of the host list.
func (p *Peers) SetHosts(now time.Time, hosts []*wire.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hasHostList = true
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
		if now.Sub(at) > departedRetention {
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

func (p *Peers) snapshot() []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*peer, 0, len(p.known))
	for _, known := range p.known {
		out = append(out, known)
	}
	return out
}

// callEach calls every peer at once, and waits for all.
func (p *Peers) callEach(ctx context.Context, timeout time.Duration, f func(context.Context, *peer)) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, known := range p.snapshot() {
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
	asked := Asked{Unsure: p.membershipIncomplete(time.Now(), window)}
	q.Asker = p.name
	p.callEach(ctx, keyAnswerTimeout, func(ctx context.Context, known *peer) {
		reply, err := known.client.Ask(ctx, q)
		mu.Lock()
		defer mu.Unlock()
		young := reply.GetSeen() == wire.Seen_SEEN_PROMISED && reply.GetAgeMs() < window.Milliseconds()
		asked.Unsure = asked.Unsure || err != nil || young
		asked.MaybeRan = asked.MaybeRan || reply.GetSeen() == wire.Seen_SEEN_MAYBE_RAN
	})
	return asked
}

// membershipIncomplete says whether there may be, or have been, entry hosts within the
// window that can't be asked.
func (p *Peers) membershipIncomplete(now time.Time, window time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.departed {
		if now.Sub(at) < window {
			return true
		}
	}
	return !p.hasHostList
}

// ------------------------------------------------------------------- news

// notify passes news on without waiting.
func (p *Peers) notify(f func(context.Context, *peer)) {
	go p.callEach(context.Background(), notifyTimeout, f)
}

// Offer hands a settings version to every peer.
func (p *Peers) Offer(row *wire.SettingsRow) {
	p.notify(func(ctx context.Context, known *peer) { _, _ = known.client.Offer(ctx, row) })
}

// SpreadLeaving tells every peer that a backend server is leaving.
func (p *Peers) SpreadLeaving(service, name string) {
	notice := &wire.LeavingNotice{Service: service, Name: name, ReportedBy: p.name}
	p.notify(func(ctx context.Context, known *peer) { _, _ = known.client.Leaving(ctx, notice) })
}

// WakeLeader tells the entry hosts of a hall that its inbox has something.
func (p *Peers) WakeLeader(hall string) {
	if hall == p.hall {
		p.wakeOwnLoop()
	}
	p.notify(func(ctx context.Context, known *peer) {
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
	p.callEach(ctx, notifyTimeout, func(ctx context.Context, known *peer) {
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
	p.callEach(ctx, notifyTimeout, func(ctx context.Context, known *peer) {
		answer, err := known.client.Explain(ctx, &wire.Question{Name: name})
		mu.Lock()
		defer mu.Unlock()
		if err == nil && len(answer.GetFacts()) > 0 {
			answers = append(answers, answer)
		}
	})
	return answers
}
