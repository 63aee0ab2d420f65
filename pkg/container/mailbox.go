package container

import "sync"

// Mailbox holds the newest value that was put into it until it is taken. It is safe for concurrent use.
type Mailbox[T any] struct {
	mu      sync.Mutex
	value   T
	full    bool
	arrived chan struct{}
}

// NewMailbox returns an empty Mailbox.
func NewMailbox[T any]() *Mailbox[T] { return &Mailbox[T]{arrived: make(chan struct{}, 1)} }

// Put replaces the value.
func (m *Mailbox[T]) Put(value T) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.value, m.full = value, true
	select {
	case m.arrived <- struct{}{}:
	default: // the last arrival has not been received yet
	}
}

// Take returns the value and empties the Mailbox, or returns false if it is empty.
func (m *Mailbox[T]) Take() (T, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var none T
	value, full := m.value, m.full
	m.value, m.full = none, false
	return value, full
}

// Arrived returns a channel that receives once after values were put.
func (m *Mailbox[T]) Arrived() <-chan struct{} { return m.arrived }
