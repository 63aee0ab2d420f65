// Package store is a process's access to the table: by direct calls, and through a
// peer when the table refuses calls of this host or is unreachable from it.
//
// All transactions of wrenferry may be sent twice: their conditions turn the second
// one into a conflict. So a direct call without an answer is retried through a peer.
// Each answer carries the store's clock, which the client keeps.
package store

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/connection/idletimeout"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/table"
)

// Direct is the client that calls the table service itself.
type Direct interface {
	table.Reader
	Commit(ctx context.Context, t table.Transaction) (table.CommitResult, error)
	Changes(ctx context.Context, tableName string, after int64, wait time.Duration) (table.Page, error)
}

// Peer is another entry host, which calls the table on behalf of this one.
type Peer interface {
	CommitFor(ctx context.Context, t table.Transaction) (table.CommitResult, error)
	ReadFor(ctx context.Context, r table.Range) (table.Page, error)
}

const (
	// directTimeout is the idle timeout of a direct call: fifty times the duration of an
	// ordinary call, and above that of a call to a slow table.
	directTimeout = 900 * time.Millisecond
	// directLimit bounds the total time of a direct call: eight times the transfer time of the
	// longest known row (a manifest of 1,000 queues, 250 kB) on a link of 2 Mbit/s.
	directLimit = 8 * time.Second
	// peerTimeout bounds a transaction through a peer. peerReadTimeout bounds a read through
	// a peer, whose answer may be as long as a manifest.
	peerTimeout     = 700 * time.Millisecond
	peerReadTimeout = 2 * time.Second
	// After failuresToAvoid consecutive failures of direct calls, calls go to peers
	// first for the time avoidFor.
	failuresToAvoid = 2
	avoidFor        = time.Second
)

// Client calls the table directly or through peers. It is safe for concurrent use.
type Client struct {
	direct  Direct
	peers   func() []Peer
	metrics metrics.Registry

	clock atomic.Pointer[clockReading]
	// lastAnswerAt is the time of the last answer, direct or through a peer, in nanoseconds
	// since start.
	lastAnswerAt atomic.Int64
	// lastDirectAnswerAt is that of the last answer to a direct call.
	lastDirectAnswerAt atomic.Int64
	// lastReadTime is how long the last direct reading took, in nanoseconds.
	lastReadTime atomic.Int64

	mu         sync.Mutex
	failures   int
	avoidUntil time.Time
	start      time.Time
	// directFailures and peerFailures count the failed calls since the last answer.
	directFailures, peerFailures int
	// failedAt is when a call last failed. pending holds when the direct calls that are under way began.
	failedAt   time.Time
	pending    map[int64]time.Time
	pendingKey int64
}

// clockReading is the store's clock at a time of this host's clock.
type clockReading struct {
	storeTime time.Duration
	readAt    time.Time
}

// New returns a client. peers returns the peers that may be called, in order of preference.
func New(direct Direct, peers func() []Peer, registry metrics.Registry, now time.Time) *Client {
	return &Client{direct: direct, peers: peers, metrics: registry, start: now, pending: map[int64]time.Time{}}
}

// StoreTime returns the store's clock, extrapolated from the newest answer, or 0 before the first answer.
func (c *Client) StoreTime(now time.Time) time.Duration {
	r := c.clock.Load()
	if r == nil {
		return 0
	}
	return r.storeTime + now.Sub(r.readAt)
}

// SinceLastAnswer returns the time since the last answered call, or since the client's start if there
// is none.
func (c *Client) SinceLastAnswer(now time.Time) time.Duration {
	return now.Sub(c.start) - time.Duration(c.lastAnswerAt.Load())
}

// recordAnswer records the time of an answer, and the store's clock that it carried.
func (c *Client) recordAnswer(store time.Duration) {
	now := clock.Now()
	c.clock.Store(&clockReading{storeTime: store, readAt: now})
	c.lastAnswerAt.Store(int64(now.Sub(c.start)))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directFailures, c.peerFailures = 0, 0
}

// DirectFailing returns whether the last failuresToAvoid direct calls have failed.
func (c *Client) DirectFailing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures >= failuresToAvoid
}

// peersFirst returns whether calls go to peers first. A direct call is tried again when
// avoidFor has passed since the last failure.
func (c *Client) peersFirst() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures >= failuresToAvoid && clock.Now().Before(c.avoidUntil)
}

// recordDirect counts consecutive failures of direct calls.
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

// Commit executes a transaction, directly or through a peer.
func (c *Client) Commit(ctx context.Context, t table.Transaction) (table.CommitResult, error) {
	var done table.CommitResult
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

// Read reads a range, directly or through a peer.
func (c *Client) Read(ctx context.Context, r table.Range) (table.Page, error) {
	var page table.Page
	err := c.directThenPeers(ctx, "read", peerReadTimeout,
		func(ctx context.Context) (time.Duration, error) {
			began := clock.Now()
			var err error
			page, err = c.direct.Read(ctx, r)
			c.lastReadTime.Store(int64(clock.Now().Sub(began)))
			return page.StoreTime, err
		},
		func(ctx context.Context, p Peer) (time.Duration, error) {
			var err error
			page, err = p.ReadFor(ctx, r)
			return page.StoreTime, err
		})
	return page, err
}

// Changes returns the changes of a table after a version. It waits up to wait for a change,
// so it is called directly only.
func (c *Client) Changes(ctx context.Context, tableName string, after int64, wait time.Duration) (table.Page, error) {
	ctx, cancel := idletimeout.WithIdleTimeout(ctx, wait+directTimeout, wait+directLimit)
	defer cancel()
	page, err := c.direct.Changes(ctx, tableName, after, wait)
	c.countCall("changes", err)
	if err == nil {
		c.recordAnswer(page.StoreTime)
		c.recordDirectAnswer()
	}
	return page, err
}

// directThenPeers calls the table directly, unless peersFirst, and then through each peer until
// a call succeeds. If all fail and any of them may have taken effect, its error is returned, not
// one with the code NotRun. Without peers the direct call is made even after failures.
func (c *Client) directThenPeers(ctx context.Context, operation string, peerLimit time.Duration, direct func(context.Context) (time.Duration, error), viaPeer func(context.Context, Peer) (time.Duration, error)) error {
	var unknown, last error
	recordError := func(err error) {
		last = err
		if fault.CodeOf(err) != fault.NotRun {
			unknown = err
		}
	}
	peers := c.peers()
	if !c.peersFirst() || len(peers) == 0 {
		err := c.callDirect(ctx, direct)
		c.recordDirect(err)
		c.countCall(operation, err)
		if err == nil {
			return nil
		}
		recordError(err)
	}
	for _, p := range peers {
		if ctx.Err() != nil {
			break
		}
		err := c.callPeer(ctx, peerLimit, func(ctx context.Context) (time.Duration, error) { return viaPeer(ctx, p) })
		c.countCall(operation+".peer", err)
		if err == nil {
			return nil
		}
		recordError(err)
	}
	switch {
	case unknown != nil:
		return unknown
	case last != nil:
		return last
	}
	return fault.New(fault.NotRun, "table", "no peer was asked within the time there was", "ask again")
}

// callDirect makes a call to the table service itself. The call goes on while data arrives, up to
// directLimit.
func (c *Client) callDirect(ctx context.Context, call func(context.Context) (time.Duration, error)) error {
	began := clock.Now()
	defer c.markPending(began)()
	bounded, cancel := idletimeout.WithIdleTimeout(ctx, directTimeout, directLimit)
	defer cancel()
	err := c.recordOutcome(call(bounded))
	c.recordWay(ctx, began, &c.directFailures, err)
	return err
}

// callPeer makes a call through a peer within the time limit.
func (c *Client) callPeer(ctx context.Context, limit time.Duration, call func(context.Context) (time.Duration, error)) error {
	began := clock.Now()
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := c.recordOutcome(call(bounded))
	c.recordWay(ctx, began, &c.peerFailures, err)
	return err
}

// recordOutcome records the store's clock if the call has succeeded. It returns err.
func (c *Client) recordOutcome(store time.Duration, err error) error {
	if err == nil {
		c.recordAnswer(store)
	}
	return err
}

// countCall counts a call in the metric of its operation and outcome.
func (c *Client) countCall(operation string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = string(fault.CodeOf(err))
	}
	metrics.GetOrRegisterCounter("store."+operation+"."+outcome, c.metrics).Inc(1)
}
