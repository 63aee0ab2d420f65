package emulator

import "time"

// What strikes on a day, and when.

func (w *World) planFaults() {
	for range w.plan.Faults {
		w.after(w.between(2*time.Second, w.plan.Trouble), w.injectRandomFault)
	}
	if w.plan.OddRows {
		w.planOddRows()
	}
	for range w.plan.Deposed {
		w.after(w.between(2*time.Second, w.plan.Trouble), w.deposeLeader)
	}
	for range w.plan.HallCuts {
		w.after(w.between(4*time.Second, w.plan.Trouble), w.cutOffFirstHall)
	}
	for range w.plan.Rooms {
		w.after(w.between(2*time.Second, w.plan.Trouble), w.shrinkRoom)
	}
	for range w.plan.Suspends {
		w.after(w.between(2*time.Second, w.plan.Trouble), w.suspendHost)
	}
	for range w.plan.Flaps {
		w.after(w.between(2*time.Second, w.plan.Trouble), w.crashOneWorker)
	}
	for range w.plan.Crashes {
		w.after(w.between(2*time.Second, w.plan.Trouble), w.crashHalfOfWorkers)
	}
	w.scheduleLeaving()
}

// crashHalfOfWorkers ends the lives of about half of the workers within a moment.
func (w *World) crashHalfOfWorkers() {
	for _, k := range w.workers {
		if w.rand.IntN(2) == 0 {
			span := w.between(50*time.Millisecond, 1500*time.Millisecond)
			w.after(w.between(0, 300*time.Millisecond), func() { w.strikeWith(Fault{Kind: CrashWorker, Target: k.name, For: span}) })
			w.troubleUntil = w.now.Add(span)
		}
	}
}

// suspendHost suspends a host, mostly a leader, for some seconds, at times for longer than a leadership
// lasts.
func (w *World) suspendHost() {
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
		w.isolateWithTwoWorkers(h, span+w.between(time.Second, 4*time.Second))
	}
	w.strikeWith(Fault{Kind: SuspendHost, Target: h.name, For: span})
	if until := w.now.Add(span); until.After(w.troubleUntil) {
		w.troubleUntil = until
	}
}

// deposeLeader has a cell's leader replaced while it goes on: the table is away for all, so that whoever is
// first takes the cell when it returns; or the leader is cut off from it; or a whole hall is cut off from
// it and from all else, and nobody else takes its cell for a while.
func (w *World) deposeLeader() {
	name := w.cells[w.rand.IntN(len(w.cells))]
	span := w.between(1500*time.Millisecond, 11*time.Second)
	switch kind := w.rand.IntN(3); kind {
	case 0:
		w.strikeWith(Fault{Kind: TableDown, For: span})
	case 1:
		w.cutLeader(name, span)
	default:
		w.cutOffHall(name, span)
	}
	if until := w.now.Add(span); until.After(w.troubleUntil) {
		w.troubleUntil = until
	}
}

// cutLeader cuts a cell's leader off from the table, and at times from other hosts. Those don't reach
// some workers at first.
func (w *World) cutLeader(name string, span time.Duration) {
	h := w.leaderOf(name)
	if h == nil {
		return
	}
	w.cutLink(h.name, "table", span)
	for _, other := range w.hosts {
		if other == h {
			continue
		}
		if w.rand.IntN(2) == 0 {
			w.cutLink(h.name, other.name, span)
		}
		k := w.workers[w.rand.IntN(len(w.workers))]
		w.cutLink(other.name, k.name, w.between(0, 3*time.Second))
	}
}

// cutOffFirstHall cuts off the hall that most jobs come to. Meanwhile the leader of the other one ends, and
// what that had only been told is gone with it; workers there crash, and what they ran is started anew.
func (w *World) cutOffFirstHall() {
	w.cutOffHall(w.cells[0], w.between(6*time.Second, 11*time.Second))
	w.after(w.between(500*time.Millisecond, 6*time.Second), func() {
		if h := w.leaderOf(w.cells[1]); h != nil && h.hall != w.cells[0] {
			w.strikeWith(Fault{Kind: KillHost, Target: h.name, For: time.Second})
		}
	})
	for _, k := range w.workers {
		if k.Hall != w.cells[0] {
			w.after(w.between(0, 5*time.Second), func() { w.strikeWith(Fault{Kind: CrashWorker, Target: k.name, For: time.Second}) })
		}
	}
}

// cutOffHall cuts a hall's hosts and workers off from other halls', and the hosts from the table.
func (w *World) cutOffHall(hall string, span time.Duration) {
	w.strikeWith(Fault{Kind: CutCell, Target: hall, For: span})
}

// cutLink cuts two ends off from each other.
func (w *World) cutLink(from, to string, span time.Duration) {
	w.strikeWith(Fault{Kind: CutLink, Target: from, Peer: to, For: span})
}

// apart says whether halls are cut off from each other.
func (w *World) apart(a, b string) bool {
	return a != b && (w.now.Before(w.hallCuts[a]) || w.now.Before(w.hallCuts[b]))
}

// leaderOf is a host that leads a cell, as far as it knows itself.
func (w *World) leaderOf(name string) *host {
	for _, h := range w.hosts {
		if h.leads(name) != nil {
			return h
		}
	}
	return nil
}

// longerThanTenure is longer than a leader goes on without a renewal, and a lease.
const longerThanTenure = 17 * time.Second

// isolateWithTwoWorkers cuts all hosts but one off from two workers, and that one from the table: when it wakes, it
// is the only one that reaches them, and nothing else tells it that others lead by now.
func (w *World) isolateWithTwoWorkers(h *host, span time.Duration) {
	for _, k := range w.workers[:2] {
		for _, other := range w.hosts {
			if other != h {
				w.cutLink(other.name, k.name, span)
			}
		}
	}
	w.cutLink(h.name, "table", span)
}

// crashOneWorker ends the life of one worker for a short while.
func (w *World) crashOneWorker() {
	k := w.workers[w.rand.IntN(len(w.workers))]
	span := w.between(50*time.Millisecond, 3*time.Second)
	w.strikeWith(Fault{Kind: CrashWorker, Target: k.name, For: span})
	if until := w.now.Add(span); until.After(w.troubleUntil) {
		w.troubleUntil = until
	}
}

// injectRandomFault brings one fault about.
func (w *World) injectRandomFault() {
	span := w.between(300*time.Millisecond, 6*time.Second)
	h := w.hosts[w.rand.IntN(len(w.hosts))]
	if leader := w.leader(); leader != nil && w.rand.IntN(2) == 0 {
		h = leader
	}
	k := w.workers[w.rand.IntN(len(w.workers))]
	switch w.rand.IntN(12) {
	case 0:
		w.strikeWith(Fault{Kind: KillHost, Target: h.name, For: span})
	case 1:
		w.strikeWith(Fault{Kind: FreezeHost, Target: h.name, For: span})
	case 2:
		for _, each := range w.hosts {
			w.strikeWith(Fault{Kind: KillHost, Target: each.name, For: w.between(500*time.Millisecond, 1500*time.Millisecond)})
		}
	case 3:
		w.strikeWith(Fault{Kind: TableDown, For: span})
	case 4:
		w.strikeWith(Fault{Kind: TableLoses, For: span})
	case 5:
		w.strikeWith(Fault{Kind: TableSlow, For: span})
	case 6:
		w.cutLink(h.name, "table", span)
	case 7:
		w.cutLink(h.name, k.name, span)
	case 8:
		for _, each := range w.hosts {
			w.cutLink(each.name, k.name, span)
		}
	case 9:
		w.strikeWith(Fault{Kind: LateWorker, Target: k.name, For: span})
	case 10:
		w.strikeWith(Fault{Kind: CrashWorker, Target: k.name, For: span})
	case 11:
		w.strikeWith(Fault{Kind: [...]FaultKind{sickHangs: HangRuns, sickFails: FailRuns}[w.rand.IntN(2)], Target: k.name, For: span})
	}
	if until := w.now.Add(span); until.After(w.troubleUntil) {
		w.troubleUntil = until
	}
}
