package store

import (
	"time"
)

const (
	// troubleAfter is the time after which a direct call without an answer means trouble: ten times that of an ordinary
	// one.
	troubleAfter = 150 * time.Millisecond
	// troubleFor is the time for which a failed call means trouble.
	troubleFor = 2 * time.Second
)

// InTrouble returns whether a call has failed lately, or a direct one waits for long. The client then learns little from
// calls made only now and then, and its owner should read the table regularly.
func (c *Client) InTrouble(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.failedAt.IsZero() && now.Sub(c.failedAt) < troubleFor {
		return true
	}
	for _, began := range c.pending {
		if now.Sub(began) >= troubleAfter {
			return true
		}
	}
	return false
}

// markPending records a direct call that begins now. The returned function ends it.
func (c *Client) markPending(now time.Time) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingKey++
	key := c.pendingKey
	c.pending[key] = now
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.pending, key)
	}
}

// RecordPassedOn records that another host has passed on rows that it read at the given time: the table answers those
// through which this host would call it. It says nothing about the calls of this host.
func (c *Client) RecordPassedOn(readAt time.Time) {
	at := int64(readAt.Sub(c.start))
	for {
		last := c.lastAnswerAt.Load()
		if at <= last || c.lastAnswerAt.CompareAndSwap(last, at) {
			return
		}
	}
}
