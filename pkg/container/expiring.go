// Package container holds the generic containers that wrenferry shares.
package container

import (
	"container/list"
	"time"
)

// Expiring is a map whose entries end after a time of their own, bounded in
// number: when it is full the oldest entry goes. It remembers until when it has
// dropped entries that were still good, for users who must know what they may
// have forgotten. Time is an argument, so it works without a clock of its own.
// It is not safe for concurrent use.
type Expiring[K comparable, V any] struct {
	limit     int
	entries   map[K]*list.Element
	order     *list.List // by insertion
	lostUntil time.Time
}

type expiringEntry[K comparable, V any] struct {
	key   K
	value V
	putAt   time.Time
	expiresAt time.Time
}

// NewExpiring returns an empty map for so many entries.
func NewExpiring[K comparable, V any](limit int) *Expiring[K, V] {
	return &Expiring[K, V]{limit: limit, entries: map[K]*list.Element{}, order: list.New()}
}

// Get returns an entry that has not ended.
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

// Put sets an entry, good for so long.
func (m *Expiring[K, V]) Put(now time.Time, key K, value V, span time.Duration) {
	if element, ok := m.entries[key]; ok {
		m.remove(element)
	}
	m.sweep(now)
	m.entries[key] = m.order.PushBack(&expiringEntry[K, V]{key: key, value: value, putAt: now, expiresAt: now.Add(span)})
}

// LostUntil is the time of the newest entry that was dropped for want of room;
// it is zero if none was.
func (m *Expiring[K, V]) LostUntil() time.Time { return m.lostUntil }

// Len returns the number of entries, ended ones that were not yet swept
// included.
func (m *Expiring[K, V]) Len() int { return len(m.entries) }

// sweep drops the oldest entries that have ended, and makes room for one more.
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
