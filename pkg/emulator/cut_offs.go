package emulator

import "time"

// Workers that are cut off from all hosts and go on, while the inventory makes them look as if they had ended: it is empty,
// does not list them yet, or skips them between two pages as hosts before them leave.

const (
	// firstCutOffAt is when the first round begins, cutOffsEvery the time between two rounds.
	firstCutOffAt = 7 * time.Second
	cutOffsEvery  = 9 * time.Second
	// minCutOffSpan and maxCutOffSpan bound the time for which a worker is cut off: less than a lease.
	minCutOffSpan, maxCutOffSpan = 5 * time.Second, 7 * time.Second
	// cutOffWorkers is the number of workers cut off in a round, beside one that has just joined.
	cutOffWorkers = 3
	// secondNewcomerDelay is the time from the newcomer that is cut off to one that is not, which has room for its tasks.
	secondNewcomerDelay = 2500 * time.Millisecond
	// minNewcomerAge and maxNewcomerAge bound the age at which that one is cut off.
	minNewcomerAge, maxNewcomerAge = 300 * time.Millisecond, 650 * time.Millisecond
	// maxCutOffLag bounds the time from the beginning of a round until the others are cut off, minNewcomerLag and
	// maxNewcomerLag until the newcomer joins: it is silent while the inventory is read for the others.
	maxCutOffLag                   = 500 * time.Millisecond
	minNewcomerLag, maxNewcomerLag = 300 * time.Millisecond, 1300 * time.Millisecond
)

// scheduleCutOffs schedules the rounds of Plan.CutOffs.
func (w *World) scheduleCutOffs() {
	for i := range w.plan.CutOffs {
		at := firstCutOffAt + time.Duration(i)*cutOffsEvery
		w.after(at, w.cutOffWorkers)
	}
}

// cutOffWorkers cuts workers of the last cell off from all hosts, among them one that has just joined.
func (w *World) cutOffWorkers() {
	name := w.cells[len(w.cells)-1]
	stay := w.stayingWorkers(name)
	for _, k := range stay[:min(cutOffWorkers, len(stay)-1)] {
		w.after(w.between(0, maxCutOffLag), func() { w.cutOffWorker(k) })
	}
	join := func() { w.injectFault(Fault{Kind: JoinWorker, Target: workerName(len(w.workers)), Cell: name}) }
	w.after(w.between(minNewcomerLag, maxNewcomerLag), func() {
		join()
		k := w.workers[len(w.workers)-1]
		w.after(w.between(minNewcomerAge, maxNewcomerAge), func() { w.cutOffWorker(k) })
		w.after(secondNewcomerDelay, join)
	})
}

// cutOffWorker cuts a worker off from all hosts.
func (w *World) cutOffWorker(k *worker) {
	span := w.between(minCutOffSpan, maxCutOffSpan)
	for _, h := range w.hosts {
		w.cutLink(h.name, k.name, span)
	}
}

// stayingWorkers returns the workers of a cell that are up and stay, in random order.
func (w *World) stayingWorkers(name string) []*worker {
	var stay []*worker
	for _, k := range w.workers {
		if k.up && !k.leave.isLeaving() && k.Hall == name {
			stay = append(stay, k)
		}
	}
	w.rand.Shuffle(len(stay), func(i, j int) { stay[i], stay[j] = stay[j], stay[i] })
	return stay
}

// CutOffWorkersPlan returns the plan of a day on which workers are cut off while the inventory makes them look as if they had
// ended. On days with an even seed it has several pages.
func CutOffWorkersPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Workers, plan.Faults, plan.Jobs, plan.Lasting = 12, 0, 20, 0.5+0.4*float64(seed%2)+0.1*float64(seed/2%4)
	plan.CutOffs = 4
	plan.Inventory = Inventory{Listed: true, Failures: 4, LateListing: true, Spares: 5, PageSize: []int{5, 100}[seed%2]}
	plan.SameIDs = seed%8 > 5
	plan.Traffic, plan.Trouble, plan.End = 20*time.Second, 46*time.Second, 75*time.Second
	return plan
}
