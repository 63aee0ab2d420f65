// Package peer is the connection between entry hosts, over gRPC: a client for each host in the
// platform's list, and the serving side. The gateway, the settings store and operators call it.
//
// Peers exchange settings, answer questions about idempotency keys, and forward notices. The
// package makes no decisions. An unreachable peer costs its caller a bounded wait only.
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
	// keyAnswerTimeout bounds the wait for the peers' answers about a key.
	keyAnswerTimeout = 250 * time.Millisecond
	// notifyTimeout bounds all other calls to peers.
	notifyTimeout = time.Second
	// departedRetention is the time for which a peer that has left the host list still counts
	// as unreachable: the longest window of an idempotency key.
	departedRetention = time.Hour
)

// Peers is the set of the other entry hosts. It is safe for concurrent use.
type Peers struct {
	name string
	hall string

	mu          sync.Mutex
	known       map[string]*peer
	departed    map[string]time.Time
	hasHostList bool
	wakeOwnLoop func()
}

// peer is the connection to one other entry host.
type peer struct {
	name    string
	hall    string
	address string
	conn    *grpc.ClientConn
	client  wire.PeerClient
}

// NewPeers returns an empty set of peers for the entry host with this name and hall.
// wakeSelf wakes the control loop of this process.
func NewPeers(name, hall string, wakeSelf func()) *Peers {
	return &Peers{name: name, hall: hall, known: map[string]*peer{}, departed: map[string]time.Time{}, wakeOwnLoop: wakeSelf}
}

// SetHosts opens connections to the entry hosts that are new in the host list, and closes
// those to hosts that are no longer in it.
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
		return // invalid address; the next host list may have a valid one
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

// callEach calls f for all peers concurrently, and returns when all calls have returned.
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

// KeyAnswers summarizes the answers of the other entry hosts about an idempotency key.
type KeyAnswers struct {
	// MaybeRan: at least one host has or had a request with the key that may have run.
	MaybeRan bool
	// Incomplete: at least one host could not be reached, or its process is younger than the
	// key's window.
	Incomplete bool
}

// Ask asks all peers about a key. It sets q.Asker to this host.
func (p *Peers) Ask(ctx context.Context, q *wire.AskRequest) KeyAnswers {
	var mu sync.Mutex
	window := time.Duration(q.GetWindowMs()) * time.Millisecond
	answers := KeyAnswers{Incomplete: p.membershipIncomplete(time.Now(), window)}
	q.Asker = p.name
	p.callEach(ctx, keyAnswerTimeout, func(ctx context.Context, known *peer) {
		reply, err := known.client.Ask(ctx, q)
		mu.Lock()
		defer mu.Unlock()
		young := reply.GetSeen() == wire.Seen_SEEN_PROMISED && reply.GetAgeMs() < window.Milliseconds()
		answers.Incomplete = answers.Incomplete || err != nil || young
		answers.MaybeRan = answers.MaybeRan || reply.GetSeen() == wire.Seen_SEEN_MAYBE_RAN
	})
	return answers
}

// membershipIncomplete returns whether entry hosts that can't be asked may have existed
// within the window: a peer has left the host list, or no list has been read yet.
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

// notify calls f for all peers in the background.
func (p *Peers) notify(f func(context.Context, *peer)) {
	go p.callEach(context.Background(), notifyTimeout, f)
}

// Offer sends a version of the settings to all peers.
func (p *Peers) Offer(row *wire.SettingsRow) {
	p.notify(func(ctx context.Context, known *peer) { _, _ = known.client.Offer(ctx, row) })
}

// AnnounceLeaving notifies all peers that a backend server is leaving.
func (p *Peers) AnnounceLeaving(service, name string) {
	notice := &wire.LeavingNotice{Service: service, Name: name, ReportedBy: p.name}
	p.notify(func(ctx context.Context, known *peer) { _, _ = known.client.Leaving(ctx, notice) })
}

// WakeLeader notifies the entry hosts of a hall that the hall's inbox has new entries.
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

// Fetch returns the settings of the highest version above have that any peer holds,
// or nil if there are none.
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

// Explain asks all peers for the facts about a name, and returns the answers of those
// that lead a hall and know facts.
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
