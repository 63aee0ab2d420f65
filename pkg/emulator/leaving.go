package emulator

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Workers that leave for good, and their replacements. Workers leave in series, one each second.

// LeaveKind is the way in which the workers of a series leave.
type LeaveKind int

// The kinds of series.
const (
	// LeaveReleased workers announce that they leave, and drain. A replacement starts at the announcement.
	LeaveReleased LeaveKind = iota
	// LeaveScaledIn workers announce that they leave, drain, and are not replaced.
	LeaveScaledIn
	// LeaveSpot workers announce that they leave, and end before the drain time is over. Replacements start later.
	LeaveSpot
	// LeaveUnannounced workers don't announce that they leave: their registry row is removed while they still serve.
	LeaveUnannounced
	// LeaveLost workers are gone without a word, and nothing answers for them. Their registry row goes some time later.
	LeaveLost
)

// leaveKinds is the number of kinds.
const leaveKinds = int(LeaveLost) + 1

func (l LeaveKind) String() string {
	return [...]string{"released", "scaled in", "spot", "unsaid", "lost"}[l]
}

// Leaving configures which workers leave on a day.
type Leaving struct {
	// Series is the number of series, with a pause of Apart after each. Least and Most bound the number of workers of
	// a series.
	Series, Least, Most int
	Apart               time.Duration
	// Kinds are the kinds from which the kind of each series is drawn.
	Kinds []LeaveKind
	// Before is the number of faults that are injected near each series: most in the seconds before, some in its first
	// seconds.
	Before int
	// WholeHall means that all workers of one hall leave within a second, in one of the ways of Kinds, and are not replaced.
	// Spared is how many of them stay.
	WholeHall bool
	Spared    int
}

const (
	// leaveInterval is the time between two leaving workers of a series.
	leaveInterval = time.Second
	// firstSeriesAt is the earliest time of the first series.
	firstSeriesAt = 16 * time.Second
	// drainTime is the shortest time for which a leaving worker other than a spot worker serves. Most serve up to
	// drainTimeSpread longer, one in six up to maxDrainTime in all.
	drainTime       = 2 * time.Second
	drainTimeSpread = 500 * time.Millisecond
	maxDrainTime    = 12 * time.Second
	// spotReplacementDelay is the time from the announcement of a spot worker to the order of its replacement.
	spotReplacementDelay = 4 * time.Second
	// maxRowRetention is the longest time for which the registry row of an ended worker stays.
	maxRowRetention = 3 * time.Second
	// minStartupTime and maxStartupTime bound the time that a new worker needs until it is ready.
	minStartupTime, maxStartupTime = 1200 * time.Millisecond, 1900 * time.Millisecond
	// scaledInDivisor bounds the workers that leave without a replacement: at most one in five of the plan's.
	scaledInDivisor = 5
)

// departure is the state of a worker that leaves. The zero value means that the worker stays.
type departure struct {
	// begunAt is the time at which the worker began to leave, endsAt the time at which it ends.
	begunAt, endsAt time.Time
	// unannounced means that the worker's row is removed at begunAt, without an announcement.
	unannounced bool
	// lost means that the worker is gone without a word.
	lost bool
	// ended means that the worker has ended for good. Its row stays until rowUntil.
	ended    bool
	rowUntil time.Time
}

// isLeaving returns whether the worker has begun to leave.
func (l departure) isLeaving() bool { return !l.begunAt.IsZero() }

// scheduleLeaving schedules the plan's series of leaving workers.
func (w *World) scheduleLeaving() {
	l := w.plan.Leaving
	if l.WholeHall {
		w.scheduleLossOfHall()
	}
	if l.Series == 0 {
		return
	}
	at := firstSeriesAt
	for range l.Series {
		at += w.between(0, 3*time.Second)
		kind := l.Kinds[w.rand.IntN(len(l.Kinds))]
		count := max(1, l.Least) + w.rand.IntN(l.Most-max(1, l.Least)+1)
		if l.Before > 0 {
			w.scheduleFaultsBefore(at, l.Before)
		}
		if w.plan.Takeovers.Suspects {
			w.scheduleSuspectBefore(at)
		}
		w.after(at, func() { w.leaveOneByOne(kind, count) })
		at += time.Duration(count)*leaveInterval + l.Apart
	}
}

// scheduleLossOfHall schedules that all workers of a hall leave, or all but some. It falls into the time of traffic, when
// cells have delegated tasks to each other.
func (w *World) scheduleLossOfHall() {
	at := w.between(w.plan.Traffic/2, w.plan.Traffic)
	hall, kind := w.cells[w.rand.IntN(len(w.cells))], w.plan.Leaving.Kinds[w.rand.IntN(len(w.plan.Leaving.Kinds))]
	spared := w.plan.Leaving.Spared
	for _, k := range w.workers {
		switch {
		case k.Hall != hall:
		case spared > 0:
			spared--
		default:
			w.after(at+w.between(0, leaveInterval), func() {
				w.injectFault(Fault{Kind: LeaveWorker, Target: k.name, For: w.drawServiceTime(kind), How: int(kind)})
			})
		}
	}
}

const (
	// minFaultLead and maxFaultLead bound the time from a fault to the series that follows. maxFaultLag bounds the time
	// from the beginning of a series to the faults in it.
	minFaultLead, maxFaultLead = 8 * time.Second, 13 * time.Second
	maxFaultLag                = 4 * time.Second
	// minFaultSpan and maxFaultSpan bound the duration of these faults.
	minFaultSpan, maxFaultSpan = 300 * time.Millisecond, 4 * time.Second
)

// scheduleFaultsBefore schedules faults before a series of leaving workers. One fault in four falls into the first
// seconds of the series.
func (w *World) scheduleFaultsBefore(series time.Duration, count int) {
	for range count {
		at := series - w.between(minFaultLead, maxFaultLead)
		if w.rand.IntN(4) == 0 {
			at = series + w.between(0, maxFaultLag)
		}
		w.after(at, w.injectFaultNearLeader)
	}
}

// injectFaultNearLeader injects a fault that changes the leader of a cell, or that makes tasks suspected of crashes.
func (w *World) injectFaultNearLeader() {
	span := w.between(minFaultSpan, maxFaultSpan)
	cell := w.cells[w.rand.IntN(len(w.cells))]
	h := w.leaderOf(cell)
	if h == nil {
		h = w.hosts[w.rand.IntN(len(w.hosts))]
	}
	switch w.rand.IntN(8) {
	case 0:
		w.injectFault(Fault{Kind: KillHost, Target: h.name, For: span})
	case 1:
		w.cutLeader(cell, span)
	case 2:
		w.injectFault(Fault{Kind: FreezeHost, Target: h.name, For: span})
	case 3:
		w.injectFault(Fault{Kind: SuspendHost, Target: h.name, For: span})
	case 4:
		w.crashOneWorker()
	case 5:
		w.crashHalfOfWorkers()
	case 6:
		for _, each := range w.hosts {
			w.injectFault(Fault{Kind: KillHost, Target: each.name, For: w.between(500*time.Millisecond, 1500*time.Millisecond)})
		}
	case 7:
		w.injectFault(Fault{Kind: TableDown, For: span})
	}
	if until := w.now.Add(span); until.After(w.troubleUntil) {
		w.troubleUntil = until
	}
}

// leaveOneByOne makes a random worker leave, starts its replacement, and schedules the rest of the series. The series
// ends early once one worker per cell is left, or once too many have been scaled in.
func (w *World) leaveOneByOne(kind LeaveKind, count int) {
	var stay []*worker
	for _, k := range w.workers {
		if k.up && !k.leave.isLeaving() {
			stay = append(stay, k)
		}
	}
	if count == 0 || len(stay) <= len(w.cells) {
		return
	}
	if kind == LeaveScaledIn && len(stay) <= w.plan.Workers-w.plan.Workers/scaledInDivisor {
		return
	}
	k := stay[w.rand.IntN(len(stay))]
	w.injectFault(Fault{Kind: LeaveWorker, Target: k.name, For: w.drawServiceTime(kind), How: int(kind)})
	switch kind {
	case LeaveSpot:
		w.after(spotReplacementDelay, func() { w.startReplacement(k.Hall) })
	case LeaveReleased, LeaveUnannounced:
		w.startReplacement(k.Hall)
	case LeaveScaledIn:
	}
	w.after(leaveInterval, func() { w.leaveOneByOne(kind, count-1) })
}

// startReplacement has a worker join a cell after a random start-up time.
func (w *World) startReplacement(cell string) {
	w.after(w.between(minStartupTime, maxStartupTime), func() {
		w.injectFault(Fault{Kind: JoinWorker, Target: workerName(len(w.workers)), Cell: cell})
	})
}

// addWorker adds a worker on a new machine.
func (w *World) addWorker(name, cell string) {
	k := newWorker(w, name, usualMachine(cell))
	w.workers = append(w.workers, k)
	w.logf("%s joins %s", k.id(), k.Hall)
}

// drawServiceTime draws how long a leaving worker serves on, which may be longer than the drain time.
func (w *World) drawServiceTime(kind LeaveKind) time.Duration {
	serves := drainTime + w.between(0, drainTimeSpread)
	switch {
	case kind == LeaveSpot:
		serves = w.between(100*time.Millisecond, drainTime)
	case w.rand.IntN(6) == 0:
		serves = w.between(drainTime, maxDrainTime)
	}
	return serves
}

// beginLeave makes the worker leave, and serve on for a time.
func (k *worker) beginLeave(kind LeaveKind, serves time.Duration) {
	w := k.world
	k.leave.begunAt, k.leave.endsAt = w.now, w.now.Add(serves)
	k.leave.unannounced, k.leave.lost = kind == LeaveUnannounced, kind == LeaveLost
	w.logf("%s leaves (%s), and serves on for %s", k.id(), kind, serves)
	w.after(serves, k.endDeparted)
	if w.afterLeave != nil {
		w.afterLeave(k)
	}
}

// endDeparted ends a leaving worker with all its runs. No incarnation follows.
func (k *worker) endDeparted() {
	w := k.world
	if k.leave.ended {
		return
	}
	k.leave.ended = true
	k.leaveInventory()
	if k.up {
		w.logf("%s is gone", k.id())
		k.leave.rowUntil = w.now.Add(w.draws.between("row "+k.name, 0, maxRowRetention))
		k.endIncarnation("gone")
		k.refusesConnections = false
		if !k.leave.lost || w.plan.Resets {
			k.failPendingCalls()
		}
	}
}

// hasRow returns whether the worker registry has a row of the worker.
func (k *worker) hasRow() bool {
	if k.leave.isLeaving() && k.leave.unannounced {
		return false
	}
	return k.up || k.world.now.Before(k.leave.rowUntil)
}

// setLeavingFields sets the fields of the worker's row that announce that it leaves.
func (k *worker) setLeavingFields(r *workers.Record) {
	if !k.leave.isLeaving() || k.leave.unannounced || k.leave.lost {
		return
	}
	r.Ready, r.Leaving = false, true
	r.Remaining = max(0, k.leave.begunAt.Add(drainTime).Sub(k.world.now))
}
