// Package binding sees to it that work under one key runs at most once, though its caller may
// ask again at another entry host. Package gateway asks it before such work, peers through it.
//
// Each host keeps, for the key window, what it knows of each key that it has met, and may ask
// all others before it runs one (docs/design/request-binding.md). Being asked leaves a promise:
// this host asks the others before it ever runs that key. So of two hosts that have the key, at
// least one finds the other. In the model (model/request.pml): Host.begin, asked, run.
//
// It makes no calls and reads no clock.
package binding

import (
	"sync"
	"time"

	"github.com/wrenferry/wrenferry/pkg/container"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// State is what a host knows of a key.
type State int

// The states of a key.
const (
	// Promised: another host asked; this one asks too before it runs the key.
	Promised State = iota
	// Asking: this host has the key and is asking the others.
	Asking
	// Running: it may have been sent to a server.
	Running
	// MayHaveRun: the attempt ended, and the work may have run.
	MayHaveRun
	// NotRun: the attempt ended, and the work surely did not run.
	NotRun
	// Yielded: another host asked while this one was asking; it may run the
	// key, and this one does not.
	Yielded
)

// Key names one piece of work.
type Key struct{ Service, Kind, Key string }

// Question asks another host about the key.
func (k Key) Question(window time.Duration) *wire.AskRequest {
	return &wire.AskRequest{Service: k.Service, Kind: k.Kind, Key: k.Key, WindowMs: window.Milliseconds()}
}

// Entry is one key's life at this host.
type Entry struct {
	state       State
	askedByPeer bool // another host has asked: from now on this host must ask too
	answer      any  // what the caller was told, for one that asks again here
	done        chan struct{}
}

// Keys is what one entry host remembers. It is safe for many goroutines.
type Keys struct {
	name    string
	started time.Time

	mu      sync.Mutex
	entries *container.Expiring[Key, *Entry]
}

// maxKeys bounds the memory. When it is full, the oldest key goes first and the
// host counts as younger than that key.
const maxKeys = 1 << 17

// New returns the memory of a host that started at the given time.
func New(name string, started time.Time) *Keys {
	return &Keys{name: name, started: started, entries: container.NewExpiring[Key, *Entry](maxKeys)}
}

// Age is for how long this host can vouch for keys.
func (k *Keys) Age(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Sub(latest(k.started, k.entries.LostUntil()))
}

// BeginResult is what Begin found.
type BeginResult struct {
	// Fresh: the key is new here, or is known not to have run, and is now this
	// call's to run.
	Fresh bool
	// MustAsk: another host has asked for it before, so the others must agree.
	MustAsk bool
	// Earlier is the earlier life of a key that is not fresh.
	Earlier *Entry
}

// Begin takes a key in, for the length of the window.
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

// Answer answers another host's question, and leaves a promise.
func (k *Keys) Answer(now time.Time, q *wire.AskRequest) *wire.AskReply {
	key := Key{Service: q.GetService(), Kind: q.GetKind(), Key: q.GetKey()}
	age := k.Age(now)
	return &wire.AskReply{
		Seen:  k.recordQuestion(now, key, q.GetAsker(), time.Duration(q.GetWindowMs())*time.Millisecond),
		AgeMs: age.Milliseconds(),
	}
}

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
		// Both are asking. The name decides who goes on.
		if asker < k.name {
			e.state = Yielded
			return wire.Seen_SEEN_NOT_RUN
		}
		return wire.Seen_SEEN_MAYBE_RAN
	case Running, MayHaveRun:
	}
	return wire.Seen_SEEN_MAYBE_RAN
}

// Run says that the work is about to be sent. It is false if this host has
// yielded the key meanwhile.
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

// End ends the key's attempt here. The answer is kept for a caller that asks
// again.
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

// Wait returns a channel that is closed when an earlier life of the key ends;
// it is nil when that has ended already.
func (k *Keys) Wait(e *Entry) <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e.done == nil {
		return nil
	}
	return e.done
}

// AnswerOf returns what the caller was told in an earlier life of the key.
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
