package store

import (
	"context"
	"time"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/table"
)

// waitCheckInterval is the interval at which a call made by CommitDirect asks whether to go on.
const waitCheckInterval = 50 * time.Millisecond

// Calls describes the recent calls of a client.
type Calls struct {
	// DirectFailures and PeerFailures count the failed calls since the last answer, direct ones and those through a peer.
	DirectFailures, PeerFailures int
	// HasPeers means that there are peers, and PeersFirst that calls go to them first.
	HasPeers, PeersFirst bool
	// AnsweredAt is the time of the last answer, and DirectAnsweredAt that of the last one to a direct call; both are
	// the client's start if there is none.
	AnsweredAt, DirectAnsweredAt time.Time
	// ReadTime is how long the last direct reading took.
	ReadTime time.Duration
}

// Calls returns a description of the client's recent calls.
func (c *Client) Calls() Calls {
	calls := Calls{
		HasPeers: len(c.peers()) > 0, PeersFirst: c.peersFirst(),
		AnsweredAt:       c.start.Add(time.Duration(c.lastAnswerAt.Load())),
		DirectAnsweredAt: c.start.Add(time.Duration(c.lastDirectAnswerAt.Load())),
		ReadTime:         time.Duration(c.lastReadTime.Load()),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	calls.DirectFailures, calls.PeerFailures = c.directFailures, c.peerFailures
	return calls
}

// CommitDirect sends a transaction to the table service itself, once. The call goes on while keepWaiting returns true.
func (c *Client) CommitDirect(ctx context.Context, t table.Transaction, keepWaiting func(now time.Time) bool) (table.CommitResult, error) {
	began := clock.Now()
	defer c.markPending(began)()
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		ticker := time.NewTicker(waitCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-bounded.Done():
				return
			case <-ticker.C:
				if !keepWaiting(clock.Now()) {
					cancel()
				}
			}
		}
	}()
	done, err := c.direct.Commit(bounded, t)
	_ = c.recordOutcome(done.StoreTime, err) // returns err
	c.recordWay(ctx, began, &c.directFailures, err)
	c.recordDirect(err)
	c.countCall("commit", err)
	return done, err
}

// CommitByPeer sends a transaction through one peer, once.
func (c *Client) CommitByPeer(ctx context.Context, t table.Transaction) (table.CommitResult, error) {
	peers := c.peers()
	if len(peers) == 0 {
		return table.CommitResult{}, fault.New(fault.NotRun, "table", "no peer is known", "ask again")
	}
	var done table.CommitResult
	err := c.callPeer(ctx, peerTimeout, func(ctx context.Context) (time.Duration, error) {
		var err error
		done, err = peers[0].CommitFor(ctx, t)
		return done.StoreTime, err
	})
	c.countCall("commit.peer", err)
	return done, err
}

// recordWay records the outcome of a call on one way to the table: directly or through a peer. A call that its caller ended
// before an answer could be expected says nothing about the table.
func (c *Client) recordWay(ctx context.Context, began time.Time, failures *int, err error) {
	if err == nil {
		if failures == &c.directFailures {
			c.recordDirectAnswer()
		}
		return
	}
	if ctx.Err() != nil && clock.Now().Sub(began) < peerTimeout {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	*failures++
	c.failedAt = clock.Now()
}

func (c *Client) recordDirectAnswer() {
	c.lastDirectAnswerAt.Store(int64(clock.Now().Sub(c.start)))
}
