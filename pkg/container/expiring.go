// Package container provides generic containers.
package container

import (
	"container/list"
	"time"
)

// Expiring is a map with a limited number of entries, each with its own expiry
// time. A full map evicts its oldest entry. NewestDropped shows callers which live
// entries may have been evicted. Methods take the current time as an argument
// and read no clock. Expiring is not safe for concurrent use.
type Expiring[K comparable, V any] struct {
	limit     int
	entries   map[K]*list.Element
	order     *list.List // by insertion, oldest first
	lostUntil time.Time  // see NewestDropped
}

type expiringEntry[K comparable, V any] struct {
	key       K
	value     V
	putAt     time.Time
	expiresAt time.Time
}

// NewExpiring returns an empty map that holds at most limit entries.
func NewExpiring[K comparable, V any](limit int) *Expiring[K, V] {
	return &Expiring[K, V]{limit: limit, entries: map[K]*list.Element{}, order: list.New()}
}

// Get returns the value of key and true, or false if there is no unexpired entry.
func (m *Expiring[K, V]) Get(now time.Time, key K) (V, bool) {
	if element, ok := m.entries[key]; ok {
		e := element.Value.(*expiringEntry[K, V])
		if now.Before(e.expiresAt) {
			return e.value, true
		}
		m.remove(element)
	}
	var zero V
	return zero, false
}

// Put sets an entry that expires span after now. It counts as the newest entry.
func (m *Expiring[K, V]) Put(now time.Time, key K, value V, span time.Duration) {
	if element, ok := m.entries[key]; ok {
		m.remove(element)
	}
	m.sweep(now)
	m.entries[key] = m.order.PushBack(&expiringEntry[K, V]{key: key, value: value, putAt: now, expiresAt: now.Add(span)})
}

// NewestDropped returns the Put time of the newest unexpired entry evicted to make
// room, or the zero time if none was evicted. No unexpired
// entry put after that time was evicted.
func (m *Expiring[K, V]) NewestDropped() time.Time { return m.lostUntil }

// Len returns the number of entries, including expired ones not yet removed.
func (m *Expiring[K, V]) Len() int { return len(m.entries) }

// sweep removes expired entries from the oldest end and makes room for one more entry.
func (m *Expiring[K, V]) sweep(now time.Time) {
	for element := m.order.Front(); element != nil; element = m.order.Front() {
		e := element.Value.(*expiringEntry[K, V])
		ended := !now.Before(e.expiresAt)
		if !ended && m.order.Len() < m.limit {
			return
		}
		if !ended {
			m.lostUntil = e.putAt
		}
		m.remove(element)
	}
}

func (m *Expiring[K, V]) remove(element *list.Element) {
	e := element.Value.(*expiringEntry[K, V])
	m.order.Remove(element)
	delete(m.entries, e.key)
}
