package emulator

import "time"

// Which hosts are in touch: rules with a bound in time hold for these alone.

const (
	// contactTime is for how long nothing may have ailed a host, its links and the table.
	contactTime = 4 * time.Second
	// maxOrderAge is how old an order may be when it is carried out, to count as its host's own doing.
	maxOrderAge = time.Second
)

// inTouch says whether the order that a worker carries out was given just now, by a host that was in
// touch.
func (c *checker) inTouch(k *worker) bool {
	w, by := c.world, k.orderedBy
	return w.plan.Touch && by != nil && w.now.Sub(k.orderedAt) < maxOrderAge && w.tableInContact() && by.inContact()
}

// tableInContact says whether nothing has ailed the table for a while.
func (w *World) tableInContact() bool {
	t := w.table
	for _, until := range []time.Time{t.downUntil, t.losesUntil, t.slowUntil} {
		if w.now.Sub(until) < contactTime {
			return false
		}
	}
	return true
}

// inContact says whether a host has run, with all its links, for a while.
func (h *host) inContact() bool {
	w := h.world
	if !h.up || w.now.Sub(h.bootedAt) < contactTime || w.now.Sub(h.frozenUntil) < contactTime {
		return false
	}
	for ends, until := range w.cuts {
		if (ends[0] == h.name || ends[1] == h.name) && w.now.Sub(until) < contactTime {
			return false
		}
	}
	return true
}
