// Package store is a process's way to the table: straight, and through a peer
// when the table turns this host away or can't be reached from it.
//
// All transactions of wrenferry may be asked for twice: their conditions make
// the second one a conflict. So what got no answer straight is asked for again
// through a peer. The store's clock is read off every answer.
package store

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/connection/patience"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/table"
)

// Direct is the table's own client.
type Direct interface {
	table.Reader
	Commit(ctx context.Context, t table.Transaction) (table.Committed, error)
	Changes(ctx context.Context, tableName string, after int64, wait time.Duration) (table.Page, error)
}

// Peer asks the table in our stead.
type Peer interface {
	CommitFor(ctx context.Context, t table.Transaction) (table.Committed, error)
	ReadFor(ctx context.Context, r table.Range) (table.Page, error)
}

const (
	// directTimeout is how long the table may say nothing: fifty times what an ordinary
	// call takes, and above what a slow table takes.
	directTimeout = 900 * time.Millisecond
	// directLimit bounds a call whose answer still comes: eight times what the longest
	// known row (a manifest of 1,000 queues, 250 kB) takes on a link of 2 Mbit/s.
	directLimit = 8 * time.Second
	// peerTimeout bounds a transaction through a peer, and peerReadTimeout a reading:
	// its answer may be as long as a manifest.
	peerTimeout     = 700 * time.Millisecond
	peerReadTimeout = 2 * time.Second
	// failuresToAvoid straight calls in a row send the next ones to peers
	// first, for avoidFor.
	failuresToAvoid = 2
	avoidFor        = time.Second
)

// Client is safe for many goroutines.
type Client struct {
	direct  Direct
	peers   func() []Peer
	metrics metrics.Registry

	clock atomic.Pointer[clockReading]
	// lastAnswerAt is when a call was last answered, straight or not.
	lastAnswerAt atomic.Int64

	mu       sync.Mutex
	failures int
	avoidUntil time.Time
	start    time.Time
}

// clockReading is a reading of the store's clock.
type clockReading struct {
	storeTime time.Duration
	readAt    time.Time
}

// New returns a client. peers lists those that may be asked, best first.
func New(direct Direct, peers func() []Peer, registry metrics.Registry, now time.Time) *Client {
	return &Client{direct: direct, peers: peers, metrics: registry, start: now}
}

// Now is the store's clock, as far as it is known.
func (c *Client) Now(now time.Time) time.Duration {
	r := c.clock.Load()
	if r == nil {
		return 0
	}
	return r.storeTime + now.Sub(r.readAt)
}

// SinceWorked is how long no call has been answered.
func (c *Client) SinceWorked(now time.Time) time.Duration {
	return now.Sub(c.start) - time.Duration(c.lastAnswerAt.Load())
}

func (c *Client) recordAnswer(store time.Duration) {
	now := clock.Now()
	c.clock.Store(&clockReading{storeTime: store, readAt: now})
	c.lastAnswerAt.Store(int64(now.Sub(c.start)))
}

// Avoiding says whether straight calls have been failing.
func (c *Client) Avoiding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures >= failuresToAvoid
}

// peersFirst says whether to ask peers first; a straight call is tried again when
// the time is over.
func (c *Client) peersFirst() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures >= failuresToAvoid && clock.Now().Before(c.avoidUntil)
}

func (c *Client) recordDirect(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.failures = 0
		return
	}
	c.failures++
	c.avoidUntil = clock.Now().Add(avoidFor)
}

// Commit asks for a transaction, straight or through a peer.
func (c *Client) Commit(ctx context.Context, t table.Transaction) (table.Committed, error) {
	var done table.Committed
	err := c.directThenPeers(ctx, "commit", peerTimeout,
		func(ctx context.Context) (time.Duration, error) {
			var err error
			done, err = c.direct.Commit(ctx, t)
			return done.StoreTime, err
		},
		func(ctx context.Context, p Peer) (time.Duration, error) {
			var err error
			done, err = p.CommitFor(ctx, t)
			return done.StoreTime, err
		})
	return done, err
}

// Read reads a range, straight or through a peer.
func (c *Client) Read(ctx context.Context, r table.Range) (table.Page, error) {
	var page table.Page
	err := c.directThenPeers(ctx, "read", peerReadTimeout,
		func(ctx context.Context) (time.Duration, error) {
			var err error
			page, err = c.direct.Read(ctx, r)
			return page.StoreTime, err
		},
		func(ctx context.Context, p Peer) (time.Duration, error) {
			var err error
			page, err = p.ReadFor(ctx, r)
			return page.StoreTime, err
		})
	return page, err
}

// Changes reads what has changed; only straight, since it waits.
func (c *Client) Changes(ctx context.Context, tableName string, after int64, wait time.Duration) (table.Page, error) {
	ctx, cancel := patience.WithSilence(ctx, wait+directTimeout, wait+directLimit)
	defer cancel()
	page, err := c.direct.Changes(ctx, tableName, after, wait)
	c.countCall("changes", err)
	if err == nil {
		c.recordAnswer(page.StoreTime)
	}
	return page, err
}

// directThenPeers tries both ways. What is known of the outcome is the weaker of what
// the tries tell: once one may have taken effect, nothing is "not run". Where no
// peer is known the straight way is taken, whatever it did before.
func (c *Client) directThenPeers(ctx context.Context, what string, peerLimit time.Duration, straight func(context.Context) (time.Duration, error), through func(context.Context, Peer) (time.Duration, error)) error {
	var unknown, last error
	keep := func(err error) {
		last = err
		if fault.CodeOf(err) != fault.NotRun {
			unknown = err
		}
	}
	peers := c.peers()
	if !c.peersFirst() || len(peers) == 0 {
		err := c.callDirect(ctx, straight)
		c.recordDirect(err)
		c.countCall(what, err)
		if err == nil {
			return nil
		}
		keep(err)
	}
	for _, p := range peers {
		if ctx.Err() != nil {
			break
		}
		err := c.callPeer(ctx, peerLimit, func(ctx context.Context) (time.Duration, error) { return through(ctx, p) })
		c.countCall(what+".peer", err)
		if err == nil {
			return nil
		}
		keep(err)
	}
	switch {
	case unknown != nil:
		return unknown
	case last != nil:
		return last
	}
	return fault.New(fault.NotRun, "table", "no peer was asked within the time there was", "ask again")
}

// callDirect makes a call of the table itself, for as long as something comes of it.
func (c *Client) callDirect(ctx context.Context, call func(context.Context) (time.Duration, error)) error {
	ctx, cancel := patience.WithSilence(ctx, directTimeout, directLimit)
	defer cancel()
	return c.recordOutcome(call(ctx))
}

// callPeer makes a call through a peer, within a limit.
func (c *Client) callPeer(ctx context.Context, limit time.Duration, call func(context.Context) (time.Duration, error)) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return c.recordOutcome(call(ctx))
}

// recordOutcome takes the store's clock from a call that worked.
func (c *Client) recordOutcome(store time.Duration, err error) error {
	if err == nil {
		c.recordAnswer(store)
	}
	return err
}

func (c *Client) countCall(what string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = string(fault.CodeOf(err))
	}
	metrics.GetOrRegisterCounter("store."+what+"."+outcome, c.metrics).Inc(1)
}
