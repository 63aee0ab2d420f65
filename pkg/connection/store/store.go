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
	// directMost bounds a call whose answer still comes: eight times what the longest
	// known row (a manifest of 1,000 queues, 250 kB) takes on a link of 2 Mbit/s.
	directMost = 8 * time.Second
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

	clock atomic.Pointer[reading]
	// workedAt is when a call was last answered, straight or not.
	workedAt atomic.Int64

	mu       sync.Mutex
	failures int
	avoidTil time.Time
	start    time.Time
}

// reading is a reading of the store's clock.
type reading struct {
	store time.Duration
	at    time.Time
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
	return r.store + now.Sub(r.at)
}

// SinceWorked is how long no call has been answered.
func (c *Client) SinceWorked(now time.Time) time.Duration {
	return now.Sub(c.start) - time.Duration(c.workedAt.Load())
}

func (c *Client) worked(store time.Duration) {
	now := clock.Now()
	c.clock.Store(&reading{store: store, at: now})
	c.workedAt.Store(int64(now.Sub(c.start)))
}

// Avoiding says whether straight calls have been failing.
func (c *Client) Avoiding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures >= failuresToAvoid
}

// avoid says whether to ask peers first; a straight call is tried again when
// the time is over.
func (c *Client) avoid() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures >= failuresToAvoid && clock.Now().Before(c.avoidTil)
}

func (c *Client) directDone(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.failures = 0
		return
	}
	c.failures++
	c.avoidTil = clock.Now().Add(avoidFor)
}

// Commit asks for a transaction, straight or through a peer.
func (c *Client) Commit(ctx context.Context, t table.Transaction) (table.Committed, error) {
	var done table.Committed
	err := c.either(ctx, "commit", peerTimeout,
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
	err := c.either(ctx, "read", peerReadTimeout,
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
	ctx, cancel := patience.WithSilence(ctx, wait+directTimeout, wait+directMost)
	defer cancel()
	page, err := c.direct.Changes(ctx, tableName, after, wait)
	c.count("changes", err)
	if err == nil {
		c.worked(page.StoreTime)
	}
	return page, err
}

// either tries both ways. What is known of the outcome is the weaker of what
// the tries tell: once one may have taken effect, nothing is "not run". Where no
// peer is known the straight way is taken, whatever it did before.
func (c *Client) either(ctx context.Context, what string, peerLimit time.Duration, straight func(context.Context) (time.Duration, error), through func(context.Context, Peer) (time.Duration, error)) error {
	var unknown, last error
	keep := func(err error) {
		last = err
		if fault.CodeOf(err) != fault.NotRun {
			unknown = err
		}
	}
	peers := c.peers()
	if !c.avoid() || len(peers) == 0 {
		err := c.straight(ctx, straight)
		c.directDone(err)
		c.count(what, err)
		if err == nil {
			return nil
		}
		keep(err)
	}
	for _, p := range peers {
		if ctx.Err() != nil {
			break
		}
		err := c.through(ctx, peerLimit, func(ctx context.Context) (time.Duration, error) { return through(ctx, p) })
		c.count(what+".peer", err)
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

// straight makes a call of the table itself, for as long as something comes of it.
func (c *Client) straight(ctx context.Context, call func(context.Context) (time.Duration, error)) error {
	ctx, cancel := patience.WithSilence(ctx, directTimeout, directMost)
	defer cancel()
	return c.made(call(ctx))
}

// through makes a call through a peer, within a limit.
func (c *Client) through(ctx context.Context, limit time.Duration, call func(context.Context) (time.Duration, error)) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return c.made(call(ctx))
}

// made takes the store's clock from a call that worked.
func (c *Client) made(store time.Duration, err error) error {
	if err == nil {
		c.worked(store)
	}
	return err
}

func (c *Client) count(what string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = string(fault.CodeOf(err))
	}
	metrics.GetOrRegisterCounter("store."+what+"."+outcome, c.metrics).Inc(1)
}
