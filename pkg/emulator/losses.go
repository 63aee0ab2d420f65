package emulator

import "time"

// Moments at which several workers of a cell are lost for good, and so is the host of their leader. A successor then learns
// nothing of these workers from a connection: they are silent as those that are cut off are, and its predecessor, too.

// Losses configures such moments.
type Losses struct {
	// Moments is the number of moments, Apart the time between two of them.
	Moments int
	Apart   time.Duration
	// Workers is the largest number of workers that are lost at a moment.
	Workers int
	// Mixed means that other workers of the cell crash and come back, or are cut off, at the same moments.
	Mixed bool
}

const (
	// firstLossAt is the earliest time of the first moment.
	firstLossAt = 13 * time.Second
	// maxLossLag bounds the time between the loss of the workers and that of the leader's host; either may be first.
	maxLossLag = 300 * time.Millisecond
	// maxLossSpread bounds the time between the first and the last worker lost at a moment.
	maxLossSpread = 60 * time.Millisecond
	// minCutOff and maxCutOff bound the time for which a worker is cut off beside lost ones.
	minCutOff, maxCutOff = 500 * time.Millisecond, 2500 * time.Millisecond
	// minHostReplacement and maxHostReplacement bound the time until another host joins in place of a lost one.
	minHostReplacement, maxHostReplacement = 500 * time.Millisecond, 3 * time.Second
)

// scheduleLosses schedules the moments of Plan.Losses.
func (w *World) scheduleLosses() {
	l := w.plan.Losses
	for i := range l.Moments {
		at := firstLossAt + time.Duration(i)*l.Apart + w.between(0, 3*time.Second)
		w.after(at, w.loseWorkersAndLeader)
	}
}

// loseWorkersAndLeader has some workers of a cell and the host of its leader be lost for good. Others join in their
// places.
func (w *World) loseWorkersAndLeader() {
	name := w.cells[w.rand.IntN(len(w.cells))]
	stay := w.stayingWorkers(name)
	count := min(1+w.rand.IntN(w.plan.Losses.Workers), len(stay)-2)
	if count < 1 {
		return
	}
	workersAt, leaderAt := w.between(0, maxLossLag), time.Duration(0)
	if w.rand.IntN(4) > 0 {
		workersAt, leaderAt = leaderAt, workersAt
	}
	for _, k := range stay[:count] {
		w.after(workersAt+w.between(0, maxLossSpread), func() {
			w.injectFault(Fault{Kind: LeaveWorker, Target: k.name, How: int(LeaveLost)})
			w.after(w.between(0, spotReplacementDelay), func() { w.startReplacement(name) })
		})
	}
	w.after(leaderAt, func() { w.replaceLeader(name) })
	if w.plan.Losses.Mixed {
		w.troubleOthers(stay[count:], workersAt)
	}
}

// replaceLeader removes the host of a cell's leader for good. Another host joins some time later.
func (w *World) replaceLeader(name string) {
	leader := w.leaderOf(name)
	if leader == nil {
		return
	}
	w.injectFault(Fault{Kind: RemoveHost, Target: leader.name})
	w.after(w.between(minHostReplacement, maxHostReplacement), func() {
		w.injectFault(Fault{Kind: JoinHost, Target: hostName(len(w.hosts)), Cell: leader.hall})
	})
}

// troubleOthers crashes one of the other workers, which comes back, and cuts one off from all hosts.
func (w *World) troubleOthers(others []*worker, at time.Duration) {
	if len(others) > 0 && w.rand.IntN(2) == 0 {
		span := w.between(50*time.Millisecond, 1500*time.Millisecond)
		w.after(at+w.between(0, maxLossSpread), func() { w.injectFault(Fault{Kind: CrashWorker, Target: others[0].name, For: span}) })
	}
	if len(others) > 1 && w.rand.IntN(2) == 0 {
		span := w.between(minCutOff, maxCutOff)
		w.after(at+w.between(0, maxLossSpread), func() {
			for _, h := range w.hosts {
				w.cutLink(h.name, others[1].name, span)
			}
		})
	}
}

// addHost adds a host to a hall.
func (w *World) addHost(name, hall string) {
	w.hosts = append(w.hosts, newHost(w, name, hall))
	w.logf("%s joins %s", name, hall)
}

// LostWorkersPlan returns the plan of a day on which several workers are lost for good, again and again, and within 0.3 s the
// host of their leader, while lasting tasks stay. The inventory tells who has ended.
func LostWorkersPlan(seed uint64) Plan {
	plan := leavingBasePlan(seed)
	plan.Lasting = 0.45 + 0.05*float64(seed%4)
	plan.Losses = Losses{Moments: 3, Apart: 19 * time.Second, Workers: 3, Mixed: seed%3 > 0}
	plan.Inventory = Inventory{Listed: true, LateListing: seed%4 == 3}
	plan.SameIDs, plan.Resets = seed%5 == 0, seed%6 == 4
	plan.Jobs, plan.Trouble, plan.End = 40, 72*time.Second, 125*time.Second
	return plan
}

// FailingInventoryPlan returns a LostWorkersPlan on which the inventory fails at times. Then leases decide, and tasks may wait
// for longer than the rule LOST allows.
func FailingInventoryPlan(seed uint64) Plan {
	plan := LostWorkersPlan(seed)
	plan.Inventory.Failures = 6
	return plan
}

// LostWorkersCrashTasksPlan returns a LostWorkersPlan with tasks that crash their workers.
func LostWorkersCrashTasksPlan(seed uint64) Plan {
	plan := LostWorkersPlan(seed)
	plan.CrashTasks = 3
	return plan
}
