package emulator

import "time"

// Hosts in contact. A host is in contact if it and its links have had no fault for contactTime. The rule UNASKED holds
// for starts after a cancel if the order came from such a host, and the table has had no fault for contactTime.

const (
	// contactTime is the time without faults of the host, its links and the table after which a host is in contact.
	contactTime = 4 * time.Second
	// maxOrderAge bounds the age of an order at its execution. An older order says nothing about the present state of
	// its host.
	maxOrderAge = time.Second
)

// orderedInContact returns whether the order that a worker executes is younger than maxOrderAge and comes from a host in contact.
// It returns false on days without Plan.Touch.
func (c *checker) orderedInContact(k *worker) bool {
	return c.world.plan.Touch && c.hasFreshOrder(k)
}

// hasFreshOrder does the same on all days.
func (c *checker) hasFreshOrder(k *worker) bool {
	w, by := c.world, k.orderedBy
	return by != nil && w.now.Sub(k.orderedAt) < maxOrderAge && w.tableInContact() && by.inContact()
}

// tableInContact returns whether the table has had no fault for contactTime.
func (w *World) tableInContact() bool { return w.tableHealthyFor(contactTime) }

// tableHealthyFor returns whether the table has had no fault for a span.
func (w *World) tableHealthyFor(span time.Duration) bool {
	t := w.table
	for _, until := range []time.Time{t.downUntil, t.losesUntil, t.slowUntil} {
		if w.now.Sub(until) < span {
			return false
		}
	}
	return true
}

// inContact returns whether the host has run without a fault of its own or of its links for contactTime.
func (h *host) inContact() bool {
	w := h.world
	if !h.healthyFor(contactTime) {
		return false
	}
	for ends, until := range w.cuts {
		if (ends[0] == h.name || ends[1] == h.name) && w.now.Sub(until) < contactTime {
			return false
		}
	}
	return true
}

// healthyFor returns whether the host has run without a fault of its own for a span.
func (h *host) healthyFor(span time.Duration) bool {
	now := h.world.now
	return h.up && now.Sub(h.bootedAt) >= span && now.Sub(h.frozenUntil) >= span
}

// linksHealthyFor returns whether no link and no hall has been cut off for a span.
func (w *World) linksHealthyFor(span time.Duration) bool {
	for _, until := range w.cuts {
		if w.now.Sub(until) < span {
			return false
		}
	}
	for _, until := range w.hallCuts {
		if w.now.Sub(until) < span {
			return false
		}
	}
	return true
}
