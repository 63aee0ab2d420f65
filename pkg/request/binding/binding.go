// Package binding ensures that work under one key runs at most once, though its caller may
// retry at another entry host. Package gateway calls it before such work and for peers' questions.
//
// Each host keeps the state of each key for the key window, and may ask all other hosts before
// it runs a key (docs/design/request-binding.md). A host that is asked makes a promise: it asks
// the others before it ever runs that key. So of two hosts that receive a key, at least one
// learns of the other. In the model (model/request.pml): Host.begin, asked, run. The package
// makes no calls and reads no clock.
package binding

import (
	"sync"
	"time"

	"github.com/wrenferry/wrenferry/pkg/container"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// State is the state of a key at one host.
type State int

// The states of a key.
const (
	// Promised means that another host asked: this host must ask, too, before it runs the key.
	Promised State = iota
	// Asking means that this host received the key and has not sent the work yet. It may be asking the others.
	Asking
	// Running means that the work may have been sent to a server.
	Running
	// MayHaveRun means that the attempt ended, and the work may have run.
	MayHaveRun
	// NotRun means that the attempt ended, and the work certainly did not run.
	NotRun
	// Yielded means that another host asked while this host was in state Asking. The other host
	// may run the key, and this host does not.
	Yielded
)

// Key names one piece of work.
type Key struct{ Service, Kind, Key string }

// Question returns the request that asks another host about the key.
func (k Key) Question(window time.Duration) *wire.AskRequest {
	return &wire.AskRequest{Service: k.Service, Kind: k.Kind, Key: k.Key, WindowMs: window.Milliseconds()}
}

// Entry is one attempt under a key at this host, or the promise for a key.
type Entry struct {
	state       State
	askedByPeer bool // another host has asked, so this host must ask before it runs the key
	answer      any  // the answer to the caller, kept for a retry at this host
	done        chan struct{}
}

// Keys holds the keys that one entry host knows. It is safe for concurrent use.
type Keys struct {
	name    string
	started time.Time

	mu      sync.Mutex
	entries *container.Expiring[Key, *Entry]
}

// maxKeys limits the number of keys. Beyond it the oldest key is dropped, and Age then counts from
// the time at which that key was recorded.
const maxKeys = 1 << 17

// New returns the keys of the host name, which started at the given time.
func New(name string, started time.Time) *Keys {
	return &Keys{name: name, started: started, entries: container.NewExpiring[Key, *Entry](maxKeys)}
}

// Age returns the time for which this host has a complete record of its keys.
func (k *Keys) Age(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Sub(latest(k.started, k.entries.NewestDropped()))
}

// BeginResult is the result of Begin.
type BeginResult struct {
	// Fresh means that the key is new here, or that its work is known not to have run. The
	// calling request now owns the key.
	Fresh bool
	// MustAsk means that another host has asked about the key before, so the others must be asked.
	MustAsk bool
	// Earlier is the earlier attempt under a key that is not fresh.
	Earlier *Entry
}

// Begin starts an attempt under a key, unless an earlier one runs or may have run. The key is kept for the window.
func (k *Keys) Begin(now time.Time, key Key, window time.Duration) BeginResult {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, ok := k.entries.Get(now, key)
	if ok && e.state != Promised && e.state != NotRun && e.state != Yielded {
		return BeginResult{Earlier: e}
	}
	k.entries.Put(now, key, &Entry{state: Asking, done: make(chan struct{})}, window)
	return BeginResult{Fresh: true, MustAsk: ok && e.askedByPeer}
}

// Answer answers another host's question, and makes the promise to ask before running the key.
func (k *Keys) Answer(now time.Time, q *wire.AskRequest) *wire.AskReply {
	key := Key{Service: q.GetService(), Kind: q.GetKind(), Key: q.GetKey()}
	age := k.Age(now)
	return &wire.AskReply{
		Seen:  k.recordQuestion(now, key, q.GetAsker(), time.Duration(q.GetWindowMs())*time.Millisecond),
		AgeMs: age.Milliseconds(),
	}
}

// recordQuestion records that the host asker asked about a key, and returns what this host knows of it.
func (k *Keys) recordQuestion(now time.Time, key Key, asker string, window time.Duration) wire.Seen {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, ok := k.entries.Get(now, key)
	if !ok {
		k.entries.Put(now, key, &Entry{state: Promised, askedByPeer: true}, window)
		return wire.Seen_SEEN_PROMISED
	}
	e.askedByPeer = true
	switch e.state {
	case Promised:
		return wire.Seen_SEEN_PROMISED
	case NotRun, Yielded:
		return wire.Seen_SEEN_NOT_RUN
	case Asking:
		// Both hosts are asking: the one with the lower name goes on.
		if asker < k.name {
			e.state = Yielded
			return wire.Seen_SEEN_NOT_RUN
		}
		return wire.Seen_SEEN_MAYBE_RAN
	case Running, MayHaveRun:
	}
	return wire.Seen_SEEN_MAYBE_RAN
}

// Run records that the work is about to be sent. It returns false if this host must not send it,
// as it has yielded the key or no longer knows it.
func (k *Keys) Run(now time.Time, key Key) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, ok := k.entries.Get(now, key)
	if !ok || e.state != Asking {
		return false
	}
	e.state = Running
	return true
}

// End ends the key's attempt at this host. The answer is kept for a caller that retries here.
func (k *Keys) End(now time.Time, key Key, mayHaveRun bool, answer any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, ok := k.entries.Get(now, key)
	if !ok || e.done == nil {
		return
	}
	e.answer = answer
	switch {
	case e.state == Yielded:
	case mayHaveRun:
		e.state = MayHaveRun
	default:
		e.state = NotRun
	}
	close(e.done)
	e.done = nil
}

// Done returns a channel that is closed when an earlier attempt ends, or nil if that has ended
// already.
func (k *Keys) Done(e *Entry) <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e.done == nil {
		return nil
	}
	return e.done
}

// AnswerOf returns the answer of an earlier attempt, or nil if none was kept.
func (k *Keys) AnswerOf(e *Entry) any {
	k.mu.Lock()
	defer k.mu.Unlock()
	return e.answer
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
