package emulator

import "time"

// Random faults: the scheduling of each day's faults, and the functions that draw what each of them affects.

const (
	// earliestFault is the earliest time of a fault of a plan, earliestHallCut that of a cut of a hall.
	earliestFault   = 2 * time.Second
	earliestHallCut = 4 * time.Second
)

// scheduleFaults schedules all faults of the plan.
func (w *World) scheduleFaults() {
	for range w.plan.Faults {
		w.after(w.between(earliestFault, w.plan.Trouble), w.injectRandomFault)
	}
	if w.plan.OddRows {
		w.planOddRows()
	}
	for range w.plan.Deposed {
		w.after(w.between(earliestFault, w.plan.Trouble), w.deposeLeader)
	}
	for range w.plan.HallCuts {
		w.after(w.between(earliestHallCut, w.plan.Trouble), w.cutOffFirstHall)
	}
	w.scheduleCutsInTurn()
	for range w.plan.Rooms {
		w.after(w.between(earliestFault, w.plan.Trouble), w.shrinkWorker)
	}
	for range w.plan.Suspends {
		w.after(w.between(earliestFault, w.plan.Trouble), w.suspendHost)
	}
	for range w.plan.Flaps {
		w.after(w.between(earliestFault, w.plan.Trouble), w.crashOneWorker)
	}
	for range w.plan.Crashes {
		w.after(w.between(earliestFault, w.plan.Trouble), w.crashHalfOfWorkers)
	}
	for range w.plan.Evacuations {
		w.after(w.between(earliestFault, w.plan.Trouble), w.evacuateSomeHall)
	}
	for range w.plan.LateOrders {
		w.after(w.between(earliestFault, w.plan.Trouble), w.delayOrders)
	}
	for range w.plan.RemovedHosts {
		w.after(w.between(earliestFault, w.plan.Trouble), w.removeHost)
	}
	w.scheduleLeaving()
	w.scheduleLossOfLabel()
	w.scheduleLoadEvacuations()
	w.scheduleRestarts()
	w.scheduleLosses()
	w.scheduleCutOffs()
	w.inventory.scheduleFailures()
}

// delayOrders makes a random worker execute orders late for up to 3 s. On every second day the runs that it starts
// meanwhile hang, so that they go on until they are stopped.
func (w *World) delayOrders() {
	k := w.workers[w.rand.IntN(len(w.workers))]
	span := w.between(500*time.Millisecond, 3*time.Second)
	w.injectFault(Fault{Kind: LateWorker, Target: k.name, For: span, How: 1})
	if w.plan.Seed%2 == 0 {
		w.injectFault(Fault{Kind: HangRuns, Target: k.name, For: span})
	}
}

// minHostsLeft is the number of hosts that removeHost leaves.
const minHostsLeft = 2

// removeHost removes a host for good, mostly a leader.
func (w *World) removeHost() {
	var left []*host
	for _, h := range w.hosts {
		if !h.removed() {
			left = append(left, h)
		}
	}
	if len(left) <= minHostsLeft {
		return
	}
	h := left[w.rand.IntN(len(left))]
	if leader := w.leaderOf(w.cells[w.rand.IntN(len(w.cells))]); leader != nil && w.rand.IntN(4) > 0 {
		h = leader
	}
	w.injectFault(Fault{Kind: RemoveHost, Target: h.name})
}

// crashHalfOfWorkers crashes about half of the workers within 300 ms.
func (w *World) crashHalfOfWorkers() {
	for _, k := range w.workers {
		if w.rand.IntN(2) == 0 {
			span := w.between(50*time.Millisecond, 1500*time.Millisecond)
			w.after(w.between(0, 300*time.Millisecond), func() { w.injectFault(Fault{Kind: CrashWorker, Target: k.name, For: span}) })
			w.troubleUntil = w.now.Add(span)
		}
	}
}

// suspendHost suspends a host, mostly a leader, for some seconds. One suspension in three lasts longer than a
// tenure, and after it only this host reaches two of the workers. One in six lasts 10 to 16 s.
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
	w.injectFault(Fault{Kind: SuspendHost, Target: h.name, For: span})
	if until := w.now.Add(span); until.After(w.troubleUntil) {
		w.troubleUntil = until
	}
}

// deposeLeader makes it likely that the leader of a random cell is replaced while it goes on. Either the table refuses
// all requests, so that the first host to reach it again wins the cell; or the leader is cut off from the table; or a
// whole hall is cut off from the table and the other halls, and no other host leads its cell for a while.
func (w *World) deposeLeader() {
	name := w.cells[w.rand.IntN(len(w.cells))]
	span := w.between(1500*time.Millisecond, 11*time.Second)
	switch kind := w.rand.IntN(3); kind {
	case 0:
		w.injectFault(Fault{Kind: TableDown, For: span})
	case 1:
		w.cutLeader(name, span)
	default:
		w.cutOffHall(name, span)
	}
	if until := w.now.Add(span); until.After(w.troubleUntil) {
		w.troubleUntil = until
	}
}

// cutLeader cuts a cell's leader off from the table, and from each other host with a probability of one half. Each other
// host is also cut off from one worker for up to 3 s.
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

// cutOffFirstHall cuts off the hall that receives most jobs. Meanwhile the leader of the second cell is killed, so that
// cancels which it knows only from messages are lost. The workers of the other halls crash, so that their tasks have to
// start again.
func (w *World) cutOffFirstHall() {
	w.cutOffHall(w.cells[0], w.between(6*time.Second, 11*time.Second))
	w.after(w.between(500*time.Millisecond, 6*time.Second), func() {
		if h := w.leaderOf(w.cells[1]); h != nil && h.hall != w.cells[0] {
			w.injectFault(Fault{Kind: KillHost, Target: h.name, For: time.Second})
		}
	})
	for _, k := range w.workers {
		if k.Hall != w.cells[0] {
			w.after(w.between(0, 5*time.Second), func() { w.injectFault(Fault{Kind: CrashWorker, Target: k.name, For: time.Second}) })
		}
	}
}

// scheduleCutsInTurn has the halls cut off one after the other for Plan.CutsInTurn times.
func (w *World) scheduleCutsInTurn() {
	for i := range w.plan.CutsInTurn {
		span := (w.plan.Trouble - earliestHallCut) / time.Duration(w.plan.CutsInTurn)
		begin := earliestHallCut + time.Duration(i)*span
		hall := w.cells[i%len(w.cells)]
		w.after(w.between(begin, begin+span/4), func() { w.cutOffHall(hall, w.between(span/2, 2*span)) })
	}
}

// cutOffHall cuts a hall's hosts and workers off from other halls, and its hosts from the table.
func (w *World) cutOffHall(hall string, span time.Duration) {
	w.injectFault(Fault{Kind: CutCell, Target: hall, For: span})
}

// cutLink cuts the link between two hosts, between a host and a worker, or between a host and the table.
func (w *World) cutLink(from, to string, span time.Duration) {
	w.injectFault(Fault{Kind: CutLink, Target: from, Peer: to, For: span})
}

// hallsDisconnected returns whether two halls are cut off from each other now.
func (w *World) hallsDisconnected(a, b string) bool {
	return a != b && (w.now.Before(w.hallCuts[a]) || w.now.Before(w.hallCuts[b]))
}

// leaderOf returns the first host that regards itself as the leader of a cell, or nil. A deposed leader may be returned.
func (w *World) leaderOf(name string) *host {
	for _, h := range w.hosts {
		if h.leads(name) != nil {
			return h
		}
	}
	return nil
}

// longerThanTenure exceeds both the time for which a leader goes on without a renewal and a lease.
const longerThanTenure = 17 * time.Second

// isolateWithTwoWorkers cuts all hosts but h off from the first two workers, and h off from the table. When h resumes
// after a suspension, it alone reaches these workers, and can't read in the table that other hosts lead now.
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

// crashOneWorker crashes a random worker, which restarts after up to 3 s.
func (w *World) crashOneWorker() {
	k := w.workers[w.rand.IntN(len(w.workers))]
	span := w.between(50*time.Millisecond, 3*time.Second)
	w.injectFault(Fault{Kind: CrashWorker, Target: k.name, For: span})
	if until := w.now.Add(span); until.After(w.troubleUntil) {
		w.troubleUntil = until
	}
}

// injectRandomFault injects one fault of a random kind. For a fault of a single host it prefers
// a leader in half of the cases.
func (w *World) injectRandomFault() {
	span := w.between(300*time.Millisecond, 6*time.Second)
	h := w.hosts[w.rand.IntN(len(w.hosts))]
	if leader := w.leader(); leader != nil && w.rand.IntN(2) == 0 {
		h = leader
	}
	k := w.workers[w.rand.IntN(len(w.workers))]
	switch w.rand.IntN(12) {
	case 0:
		w.injectFault(Fault{Kind: KillHost, Target: h.name, For: span})
	case 1:
		w.injectFault(Fault{Kind: FreezeHost, Target: h.name, For: span})
	case 2:
		for _, each := range w.hosts {
			w.injectFault(Fault{Kind: KillHost, Target: each.name, For: w.between(500*time.Millisecond, 1500*time.Millisecond)})
		}
	case 3:
		w.injectFault(Fault{Kind: TableDown, For: span})
	case 4:
		w.injectFault(Fault{Kind: TableLoses, For: span})
	case 5:
		w.injectFault(Fault{Kind: TableSlow, For: span})
	case 6:
		w.cutLink(h.name, "table", span)
	case 7:
		w.cutLink(h.name, k.name, span)
	case 8:
		for _, each := range w.hosts {
			w.cutLink(each.name, k.name, span)
		}
	case 9:
		w.injectFault(Fault{Kind: LateWorker, Target: k.name, For: span})
	case 10:
		w.injectFault(Fault{Kind: CrashWorker, Target: k.name, For: span})
	case 11:
		w.injectFault(Fault{Kind: [...]FaultKind{runsHang: HangRuns, runsFail: FailRuns}[w.rand.IntN(2)], Target: k.name, For: span})
	}
	if until := w.now.Add(span); until.After(w.troubleUntil) {
		w.troubleUntil = until
	}
}
