package emulator

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Workers that leave for good, in series of one each second, and new ones that come in their place.

// LeaveKind is how the workers of a series leave.
type LeaveKind int

// The kinds of leaves.
const (
	// LeaveReleased drain; a new worker starts as each says so.
	LeaveReleased LeaveKind = iota
	// LeaveScaledIn drain and are not replaced.
	LeaveScaledIn
	// LeaveSpot drain, and are gone before the drain time is over; others come later.
	LeaveSpot
	// LeaveUnannounced never say that they drain: their row goes while they serve on.
	LeaveUnannounced
)

func (l LeaveKind) String() string {
	return [...]string{"released", "scaled in", "spot", "unsaid"}[l]
}

// Leaving says which workers leave on a day.
type Leaving struct {
	// Series is how often a series of leaves strikes, after a pause of Apart each; Least and Most bound
	// the workers of one.
	Series, Least, Most int
	Apart               time.Duration
	// Kinds are the kinds that are drawn from.
	Kinds []LeaveKind
	// Before is how many faults strike in the seconds before a series, and at times in its first.
	Before int
}

const (
	// leaveInterval is the time between two leaves of a series.
	leaveInterval = time.Second
	// firstSeriesAt is when the first series may strike.
	firstSeriesAt = 16 * time.Second
	// drainTime is how long a leaving worker serves on at least, drainMore at most beyond that, and
	// drainLong at times.
	drainTime       = 2 * time.Second
	drainTimeSpread = 500 * time.Millisecond
	maxDrainTime    = 12 * time.Second
	// spotReplacementDelay is how long after a notice of spot workers others come.
	spotReplacementDelay = 4 * time.Second
	// maxRowRetention is how long a row stays at most when its worker is gone.
	maxRowRetention = 3 * time.Second
	// minStartupTime and startLate bound how long a new worker takes until it is ready.
	minStartupTime, maxStartupTime = 1200 * time.Millisecond, 1900 * time.Millisecond
	// scaledInDivisor is the part of all workers that may go without others in their place.
	scaledInDivisor = 5
)

// leave is what a worker that leaves has decided and done; the zero value: it stays.
type leave struct {
	// begunAt is when its row said so, endsAt when its life ends.
	begunAt, endsAt time.Time
	// unannounced says that its row goes instead, with the leave.
	unannounced bool
	// over says that its life has ended for good; its row stays until rowUntil.
	over     bool
	rowUntil time.Time
}

func (l leave) leaves() bool { return !l.begunAt.IsZero() }

// scheduleLeaving has series of workers leave.
func (w *World) scheduleLeaving() {
	l := w.plan.Leaving
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
		w.after(at, func() { w.leaveOneByOne(kind, count) })
		at += time.Duration(count)*leaveInterval + l.Apart
	}
}

const (
	// minFaultLead and faultsLate bound how long before a series faults strike, faultsIn how long after it has
	// begun some do.
	minFaultLead, maxFaultLead = 8 * time.Second, 13 * time.Second
	maxFaultLag                = 4 * time.Second
	// minFaultSpan and longFault bound how long those last.
	minFaultSpan, maxFaultSpan = 300 * time.Millisecond, 4 * time.Second
)

// scheduleFaultsBefore has faults strike before a series of leaves, and some as it begins.
func (w *World) scheduleFaultsBefore(series time.Duration, count int) {
	for range count {
		at := series - w.between(minFaultLead, maxFaultLead)
		if w.rand.IntN(4) == 0 {
			at = series + w.between(0, maxFaultLag)
		}
		w.after(at, w.injectFaultNearLeader)
	}
}

// injectFaultNearLeader brings about one of the faults after which others lead, or tasks are suspected.
func (w *World) injectFaultNearLeader() {
	span := w.between(minFaultSpan, maxFaultSpan)
	cell := w.cells[w.rand.IntN(len(w.cells))]
	h := w.leaderOf(cell)
	if h == nil {
		h = w.hosts[w.rand.IntN(len(w.hosts))]
	}
	kind := w.rand.IntN(8)
	w.logf("FAULT %d of %s near %s for %s", kind, cell, h.name, span)
	switch kind {
	case 0:
		h.kill(span)
	case 1:
		w.cutLeader(cell, span)
	case 2:
		h.freeze(span)
	case 3:
		h.suspend(span)
	case 4:
		w.crashOneWorker()
	case 5:
		w.crashHalfOfWorkers()
	case 6:
		for _, each := range w.hosts {
			each.kill(w.between(500*time.Millisecond, 1500*time.Millisecond))
		}
	case 7:
		w.table.downUntil = w.now.Add(span)
	}
	if until := w.now.Add(span); until.After(w.troubleUntil) {
		w.troubleUntil = until
	}
}

// leaveOneByOne has one worker leave, and the others of its series after it.
func (w *World) leaveOneByOne(kind LeaveKind, count int) {
	var stay []*worker
	for _, k := range w.workers {
		if k.up && !k.leave.leaves() {
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
	k.beginLeave(kind)
	switch kind {
	case LeaveSpot:
		w.after(spotReplacementDelay, func() { w.join(k.Machine) })
	case LeaveReleased, LeaveUnannounced:
		w.join(k.Machine)
	case LeaveScaledIn:
	}
	w.after(leaveInterval, func() { w.leaveOneByOne(kind, count-1) })
}

// join starts a new machine's worker.
func (w *World) join(m Machine) {
	w.after(w.between(minStartupTime, maxStartupTime), func() {
		k := newWorker(w, fmt.Sprintf("worker-%d", len(w.workers)), m)
		w.workers = append(w.workers, k)
		w.logf("%s joins %s", k.id(), k.Hall)
	})
}

func (k *worker) beginLeave(kind LeaveKind) {
	w := k.world
	serves := drainTime + w.between(0, drainTimeSpread)
	switch {
	case kind == LeaveSpot:
		serves = w.between(100*time.Millisecond, drainTime)
	case w.rand.IntN(6) == 0:
		serves = w.between(drainTime, maxDrainTime)
	}
	k.leave.begunAt, k.leave.endsAt = w.now, w.now.Add(serves)
	k.leave.unannounced = kind == LeaveUnannounced
	w.logf("%s leaves (%s), and serves on for %s", k.id(), kind, serves)
	w.after(serves, k.endDeparted)
}

// endDeparted ends a life that left, with all that runs there.
func (k *worker) endDeparted() {
	w := k.world
	if k.leave.over {
		return
	}
	k.leave.over = true
	if k.up {
		w.logf("%s is gone", k.id())
		k.leave.rowUntil = w.now.Add(w.between(0, maxRowRetention))
		k.endLife("gone")
		k.breakCalls()
	}
}

// hasRow says whether the list of workers names the worker.
func (k *worker) hasRow() bool {
	if k.leave.leaves() && k.leave.unannounced {
		return false
	}
	return k.up || k.world.now.Before(k.leave.rowUntil)
}

// sayLeave completes what the worker's row says of its state.
func (k *worker) sayLeave(r *workers.Record) {
	if !k.leave.leaves() || k.leave.unannounced {
		return
	}
	r.Ready, r.Leaving = false, true
	r.Remaining = max(0, k.leave.begunAt.Add(drainTime).Sub(k.world.now))
}
