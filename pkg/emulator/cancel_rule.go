package emulator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// The rule UNASKED for cancelled jobs: from cancelGrace after the acknowledgement of a cancel on no task of the job
// starts, and no run of it goes on for longer than runEndGrace. A cancel without an answer counts as well once it has
// waited for maxAckWait while nothing kept the table from answering.

const (
	// startGrace is how long after the acknowledgement of a cancel a task may still be started. It is shorter than
	// cancelGrace: a start needs a leader that has not learned of the cancel, a run also one that finds it.
	startGrace = 3 * time.Second
	// cancelGrace is how long after the acknowledgement of a cancel all its runs have to be ordered to stop.
	cancelGrace = 4 * time.Second
	// maxAckWait is how long a cancel may wait for its answer while the table and the links are healthy. After that it
	// has to have effect as if it had been acknowledged cancelGrace ago.
	maxAckWait = 6 * time.Second
	// runEndGrace is how long a run may go on after that, since workers take a while to end it.
	runEndGrace = 900 * time.Millisecond
	// quietBeforeStop is the time without faults after which the rule holds for a run. It reaches back to contactTime
	// before the cancel.
	quietBeforeStop = contactTime + cancelGrace + runEndGrace
	// cancelCheckEvery is the interval between checks of the runs of a cancelled job.
	cancelCheckEvery = 100 * time.Millisecond
)

// idLength is the length of a job's id, with which the keys of all rows of the job begin.
const idLength = 16

// checkKept breaks the rule KEPT for each cancel, and each row of an ended job, that the table holds when the day ends, on days of
// CancelChanges. The retention of the last job that ends is over by then.
func (c *checker) checkKept() {
	if !c.world.plan.CancelChanges {
		return
	}
	tables := []string{rows.AnchorTable}
	for _, name := range c.world.cells {
		tables = append(tables, rows.SpecTable(name), rows.ProgressTable(name), rows.CancelTable(name))
	}
	var kept []string
	for _, name := range tables {
		for key := range c.world.table.tables[name] {
			isCancel := strings.HasPrefix(name, rows.CancelTable("")) && !rows.IsReturn(key)
			if isCancel || c.phases[key.Key[:idLength]] >= wire.JobPhase_JOB_PHASE_COMPLETED {
				kept = append(kept, name+" "+key.Key)
			}
		}
	}
	for _, row := range slices.Sorted(slices.Values(kept)) {
		c.breakRule("KEPT", "%s stays in the table", row)
	}
}

// startedRun is the checker's record of a run that goes on.
type startedRun struct {
	on *worker
	at time.Time
	// by is the host that ordered the start. late says that the worker executed the order late.
	by       *host
	late     bool
	reported bool
}

// newStartedRun returns the record of a run that a worker starts now.
func newStartedRun(k *worker) *startedRun {
	r := &startedRun{on: k, at: k.world.now, late: k.world.now.Sub(k.orderedAt) >= maxOrderAge}
	if k.orderedBy != nil {
		r.by = k.orderedBy.host
	}
	return r
}

// cancelWait is a cancel that its caller has sent, and that is not acknowledged. host and incarnation name the process
// that has the caller's last call.
type cancelWait struct {
	since       time.Time
	host        *host
	incarnation int
}

// cancelSentTo takes note that a caller sends a cancel to a host.
func (c *checker) cancelSentTo(h *host, id string) {
	c.cancelAsked[id] = true
	if c.isCancelled(id) {
		return
	}
	wait, again := c.cancelWaits[id]
	if !again {
		wait.since = c.world.now
	}
	wait.host, wait.incarnation = h, h.incarnation
	c.cancelWaits[id] = wait
	c.watchCancel(id)
}

// mustHaveEffectFrom returns from when on a job's cancel has to have effect. ok is false if no such time is known.
func (c *checker) mustHaveEffectFrom(job string, grace time.Duration) (at time.Time, ok bool) {
	overdue, isOverdue := c.cancelOverdueAt[job]
	acknowledged, known := c.cancelledAt[job]
	at = acknowledged.Add(grace)
	if isOverdue && (!known || overdue.Before(at)) {
		at = overdue
	}
	return at, known || isOverdue
}

// checkCancelAtStart breaks the rule for a start after the cancel of the task's job has to have effect.
func (c *checker) checkCancelAtStart(k *worker, job, task string) {
	if c.cancelAsked[job] {
		c.watchCancel(job)
	}
	at, ok := c.mustHaveEffectFrom(job, startGrace)
	if ok && c.world.now.After(at) && (c.calm() || c.orderedInContact(k)) {
		c.breakRule("UNASKED", "%s starts %s after its cancel had to have effect", task, c.world.now.Sub(at))
	}
}

// watchCancel checks a job at each interval, from its cancel on until the cancel is answered and the job has no run. A
// later start of a run begins it again.
func (c *checker) watchCancel(job string) {
	if c.watchedCancels[job] {
		return
	}
	c.watchedCancels[job] = true
	var check func()
	check = func() {
		c.checkCancelWait(job)
		_, waits := c.cancelWaits[job]
		if !c.checkCancelledRuns(job) && !waits {
			delete(c.watchedCancels, job)
			return
		}
		c.world.after(cancelCheckEvery, check)
	}
	c.world.after(cancelCheckEvery, check)
}

// checkCancelWait ends the wait of a cancel without an answer once it has lasted for maxAckWait without a fault of the
// table, the links and the host that has the call. A cancel whose host has ended has no effect unless it was recorded
// before, which its caller does not know.
func (c *checker) checkCancelWait(job string) {
	wait, ok := c.cancelWaits[job]
	if !ok {
		return
	}
	w, h := c.world, wait.host
	if !h.up || h.incarnation != wait.incarnation {
		delete(c.cancelWaits, job)
		return
	}
	if w.now.Sub(wait.since) >= maxAckWait && w.tableHealthyFor(maxAckWait) && w.linksHealthyFor(maxAckWait) && h.healthyFor(maxAckWait) {
		c.cancelOverdueAt[job] = w.now
		delete(c.cancelWaits, job)
	}
}

// checkCancelledRuns breaks the rule for runs of a cancelled job that go on for too long. It returns whether the job has
// runs.
func (c *checker) checkCancelledRuns(job string) bool {
	found := false
	for occurrence := range max(1, int(c.world.jobs[job].GetRepeats())) {
		for step, spec := range c.world.jobs[job].GetSteps() {
			for i := range int(spec.GetCount()) {
				task := taskName(job, occurrence, step, i)
				for _, id := range slices.Sorted(maps.Keys(c.running[task])) {
					found = true
					c.checkCancelledRun(job, task, id, c.running[task][id])
				}
			}
		}
	}
	return found
}

// checkCancelledRun breaks the rule if a run of a cancelled job goes on for too long. Its time is counted from contactTime
// after its start if the worker started it late, or the host that ordered it has been removed: only a later list of the
// worker tells a leader of such a run.
func (c *checker) checkCancelledRun(job, task, id string, r *startedRun) {
	at, ok := c.mustHaveEffectFrom(job, cancelGrace)
	if !ok || r.reported {
		return
	}
	how := ""
	if !c.isCancelled(job) {
		how = ", without an answer to it"
	}
	if r.by != nil && r.by.removed() {
		how, at = how+", started by a host that is removed", maxTime(at, r.at.Add(contactTime+cancelGrace))
	}
	if r.late {
		how, at = how+", started late", maxTime(at, r.at.Add(contactTime+cancelGrace))
	}
	if c.world.now.Sub(at) <= runEndGrace || !c.quietFor(r.on, quietBeforeStop) {
		return
	}
	r.reported = true
	c.breakRule("UNASKED", "%s at %s runs %s after its cancel had to have effect%s", task, id, c.world.now.Sub(at), how)
}

// quietFor returns whether there has been no fault for a span that may keep a leader from stopping runs at a worker.
// Cancels, tasks that fail or crash other workers, workers that join or are planned to leave, and evacuations are none.
func (c *checker) quietFor(k *worker, span time.Duration) bool {
	w := c.world
	if !w.tableHealthyFor(span) || !w.linksHealthyFor(span) || w.now.Sub(k.lateUntil) < span || w.now.Sub(k.spoiledUntil) < span {
		return false
	}
	if k.leave.isLeaving() && k.leave.unannounced {
		return false
	}
	for _, h := range w.hosts {
		if h.removed() && w.now.Sub(h.removedAt) < span || !h.removed() && !h.healthyFor(span) {
			return false
		}
	}
	return true
}
