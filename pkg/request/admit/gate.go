// Package admit decides which requests are admitted, in which order, and which are refused.
//
// A Gate is the queue of one service at one entry host. The wait is estimated on arrival: a
// request that would miss its deadline is refused at once, with the time after which to retry.
// Requests of higher priority go first, and displace those of lower priority from a full queue.
package admit

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Load describes the capacity of the service's servers.
type Load struct {
	// Slots is the number of requests that this host may have outstanding.
	Slots int
	// Latency is the time that a server takes for one request.
	Latency time.Duration
}

// Refusal is the reason for which a request is refused, and the time after which to retry.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Reason is why a request was refused.
type Reason string

// The reasons. Callers receive them in ReasonHeader of package gateway.
const (
	QueueFull     Reason = "queue-full"
	WouldBeLate   Reason = "would-miss-deadline"
	PushedOut     Reason = "pushed-out-by-higher-priority"
	WaitedTooLong Reason = "no-slot-before-deadline"
	NoServer      Reason = "no-server-takes-work"
	ServerFull    Reason = "every-server-asked-was-full"
	NotStarted    Reason = "service-not-started"
	OutOfBudget   Reason = "retry-budget-spent"
	SeenElsewhere Reason = "key-is-with-another-entry-host"
	Stopping      Reason = "entry-host-is-stopping"
	NotSent       Reason = "no-connection"
)

// Waiter is one request in the queue.
type Waiter struct {
	priority int
	// Turn is closed when the waiter first reaches the head of the queue.
	Turn chan struct{}
	// Displaced is closed when a waiter of higher priority has displaced this one.
	Displaced chan struct{}
	// turnAnnounced means that Turn is closed.
	turnAnnounced bool
}

// Gate is the queue of one service. It is safe for many goroutines.
type Gate struct {
	mu      sync.Mutex
	waiting []*Waiter // by priority, then by arrival
}

// NewGate returns an empty queue.
func NewGate() *Gate { return &Gate{} }

// Len returns the length of the queue.
func (g *Gate) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting)
}

// minRetryAfter keeps callers from retrying at once.
const minRetryAfter = 50 * time.Millisecond

// Join queues a request, or refuses it. limit is the maximum length of the queue, left the time until
// the request's deadline.
func (g *Gate) Join(priority, limit int, left time.Duration, load Load) (*Waiter, *Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	place := g.position(priority)
	wait := EstimateWait(place, load)
	if wait > left {
		return nil, &Refusal{WouldBeLate, max(minRetryAfter, wait-left+load.Latency)}
	}
	if len(g.waiting) >= limit && !g.displaceLast(priority) {
		return nil, &Refusal{QueueFull, max(minRetryAfter, EstimateWait(len(g.waiting), load))}
	}
	w := &Waiter{priority: priority, Turn: make(chan struct{}), Displaced: make(chan struct{})}
	g.waiting = slices.Insert(g.waiting, place, w)
	g.announceTurn()
	return w, nil
}

// position returns the index in the queue at which a request of the priority is inserted.
func (g *Gate) position(priority int) int {
	i := len(g.waiting)
	for i > 0 && g.waiting[i-1].priority < priority {
		i--
	}
	return i
}

// displaceLast removes the last waiter if its priority is lower, and returns whether it did.
func (g *Gate) displaceLast(priority int) bool {
	if len(g.waiting) == 0 {
		return false
	}
	last := g.waiting[len(g.waiting)-1]
	if last.priority >= priority {
		return false
	}
	g.waiting = g.waiting[:len(g.waiting)-1]
	close(last.Displaced)
	return true
}

// announceTurn closes the Turn of the first waiter. A waiter that is overtaken afterwards keeps a closed
// Turn, so it calls IsFirst before it acts.
func (g *Gate) announceTurn() {
	if len(g.waiting) > 0 && !g.waiting[0].turnAnnounced {
		g.waiting[0].turnAnnounced = true
		close(g.waiting[0].Turn)
	}
}

// IsFirst returns whether the waiter is first in the queue now.
func (g *Gate) IsFirst(w *Waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting) > 0 && g.waiting[0] == w
}

// Leave removes a waiter from the queue. It does nothing if the waiter was displaced.
func (g *Gate) Leave(w *Waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = slices.DeleteFunc(g.waiting, func(x *Waiter) bool { return x == w })
	g.announceTurn()
}

// EstimateWait estimates the time until a request at the given queue position has been served. It assumes
// that load.Slots requests complete within each load.Latency.
func EstimateWait(place int, load Load) time.Duration {
	if load.Slots <= 0 {
		return math.MaxInt64
	}
	rounds := float64(place+1) / float64(load.Slots)
	return time.Duration(rounds*float64(load.Latency)) + load.Latency
}
