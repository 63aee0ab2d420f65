package emulator

import "time"

// What strikes on a day, and when.

func (w *World) planFaults() {
	for range w.plan.Faults {
		w.after(w.between(2*time.Second, w.plan.Trouble), w.strike)
	}
	if w.plan.OddRows {
		w.planOddRows()
	}
	for range w.plan.Rooms {
		w.after(w.between(2*time.Second, w.plan.Trouble), w.shrinkRoom)
	}
	for range w.plan.Suspends {
		w.after(w.between(2*time.Second, w.plan.Trouble), w.suspendOne)
	}
	for range w.plan.Flaps {
		w.after(w.between(2*time.Second, w.plan.Trouble), w.flap)
	}
	for range w.plan.Crashes {
		w.after(w.between(2*time.Second, w.plan.Trouble), w.crashMany)
	}
}

// crashMany ends the lives of about half of the workers within a moment.
func (w *World) crashMany() {
	for _, k := range w.workers {
		if w.rand.IntN(2) == 0 {
			span := w.between(50*time.Millisecond, 1500*time.Millisecond)
			w.after(w.between(0, 300*time.Millisecond), func() { k.crash(span) })
			w.troubleUntil = w.now.Add(span)
		}
	}
}

// suspendOne suspends a host, mostly a leader, for some seconds, at times for longer than a leadership
// lasts.
func (w *World) suspendOne() {
	h := w.hosts[w.rand.IntN(len(w.hosts))]
	if leader := w.leader(); leader != nil && w.rand.IntN(4) > 0 {
		h = leader
	}
	span := w.between(300*time.Millisecond, 7*time.Second)
	if w.rand.IntN(4) == 0 {
		span = w.between(10*time.Second, 16*time.Second)
	}
	if w.rand.IntN(3) == 0 {
		span = w.between(longerThanTenure, longerThanTenure+5*time.Second)
		w.leaveTwoTo(h, span+w.between(time.Second, 4*time.Second))
	}
	h.suspend(span)
	if until := w.now.Add(span); until.After(w.troubleUntil) {
		w.troubleUntil = until
	}
}

// longerThanTenure is longer than a leader goes on without a renewal, and a lease.
const longerThanTenure = 17 * time.Second

// leaveTwoTo cuts all hosts but one off from two workers, and that one from the table: when it wakes, it
// is the only one that reaches them, and nothing else tells it that others lead by now.
func (w *World) leaveTwoTo(h *host, span time.Duration) {
	for _, k := range w.workers[:2] {
		for _, other := range w.hosts {
			if other != h {
				w.cuts[[2]string{other.name, k.name}] = w.now.Add(span)
			}
		}
	}
	w.cuts[[2]string{h.name, "table"}] = w.now.Add(span)
}

// flap ends the life of one worker for a short while.
func (w *World) flap() {
	k := w.workers[w.rand.IntN(len(w.workers))]
	span := w.between(50*time.Millisecond, 3*time.Second)
	k.crash(span)
	if until := w.now.Add(span); until.After(w.troubleUntil) {
		w.troubleUntil = until
	}
}

// strike brings one fault about.
func (w *World) strike() {
	span := w.between(300*time.Millisecond, 6*time.Second)
	h := w.hosts[w.rand.IntN(len(w.hosts))]
	if leader := w.leader(); leader != nil && w.rand.IntN(2) == 0 {
		h = leader
	}
	k := w.workers[w.rand.IntN(len(w.workers))]
	switch w.rand.IntN(12) {
	case 0:
		h.kill(span)
	case 1:
		h.freeze(span)
	case 2:
		for _, each := range w.hosts {
			each.kill(w.between(500*time.Millisecond, 1500*time.Millisecond))
		}
	case 3:
		w.table.downUntil = w.now.Add(span)
	case 4:
		w.table.losesUntil = w.now.Add(span)
	case 5:
		w.table.slowUntil = w.now.Add(span)
	case 6:
		w.cuts[[2]string{h.name, "table"}] = w.now.Add(span)
	case 7:
		w.cuts[[2]string{h.name, k.name}] = w.now.Add(span)
	case 8:
		for _, each := range w.hosts {
			w.cuts[[2]string{each.name, k.name}] = w.now.Add(span)
		}
	case 9:
		k.lateUntil = w.now.Add(span)
	case 10:
		k.crash(span)
	case 11:
		k.sickUntil = w.now.Add(span)
		k.sickHow = w.rand.IntN(2)
	}
	if until := w.now.Add(span); until.After(w.troubleUntil) {
		w.troubleUntil = until
	}
	w.logf("FAULT near %s and %s for %s", h.name, k.name, span)
}
