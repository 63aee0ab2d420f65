// Package admit decides which requests may go on, in what order, and which are
// refused at once.
//
// A Gate is the queue of one service at one entry host. Nothing waits that
// can't make its deadline: the wait is estimated on arrival, and a request that
// would be late is refused then and there, with the time to come back. Higher
// priorities go first, and push lower ones out of a full queue.
package admit

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Load is what the gate is told of the service's servers.
type Load struct {
	// Slots is how many requests this host may have outstanding.
	Slots int
	// Latency is how long one takes.
	Latency time.Duration
}

// Refusal says why a request may not go on, and when to come back.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Reason is why a request was refused.
type Reason string

// The reasons.
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
	// Turn is closed when the waiter is first in line.
	Turn chan struct{}
	// Displaced is closed when the waiter has been pushed out.
	Displaced     chan struct{}
	turnAnnounced bool
}

// Gate is the queue of one service. It is safe for many goroutines.
type Gate struct {
	mu      sync.Mutex
	waiting []*Waiter // by priority, then by arrival
}

// NewGate returns an empty queue.
func NewGate() *Gate { return &Gate{} }

// Len is the length of the queue.
func (g *Gate) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting)
}

// minRetryAfter keeps callers from coming back at once.
const minRetryAfter = 50 * time.Millisecond

// Join queues a request, or refuses it.
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

// position is where a request of the priority stands in line.
func (g *Gate) position(priority int) int {
	i := len(g.waiting)
	for i > 0 && g.waiting[i-1].priority < priority {
		i--
	}
	return i
}

// displaceLast drops the last waiter if its priority is lower.
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

// announceTurn tells the first in line; one that was overtaken stays told, and asks
// IsFirst before it acts.
func (g *Gate) announceTurn() {
	if len(g.waiting) > 0 && !g.waiting[0].turnAnnounced {
		g.waiting[0].turnAnnounced = true
		close(g.waiting[0].Turn)
	}
}

// IsFirst says whether the waiter is first in line now.
func (g *Gate) IsFirst(w *Waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting) > 0 && g.waiting[0] == w
}

// Leave takes a waiter out of the queue, whatever became of it.
func (g *Gate) Leave(w *Waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = slices.DeleteFunc(g.waiting, func(x *Waiter) bool { return x == w })
	g.announceTurn()
}

// EstimateWait estimates how long a request at the given place in line waits and is
// served, when the servers turn over so many slots in each answer time.
func EstimateWait(place int, load Load) time.Duration {
	if load.Slots <= 0 {
		return math.MaxInt64
	}
	rounds := float64(place+1) / float64(load.Slots)
	return time.Duration(rounds*float64(load.Latency)) + load.Latency
}
