package emulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// The rule HELD: each task of an accepted job that has neither ended nor been cancelled runs at a worker, or one leader
// answers for it: the leader of the job's home cell, or that of the cell to which the home cell has delegated it. The
// rule is checked at each interval, so that it finds a task that no leader would start long before the day ends. It
// relies on what leaders say of their own tasks (cell.State.HoldingOf), and on the runs that the checker sees.
//
// The rule IDLE, on days with Plan.Idle: once the time of faults is over, no job without lasting tasks stays without a run for maxIdle while one
// of its tasks could start and there is capacity for it twice over, with less than half of all capacity in use. A task
// that a leader holds, but does not start, breaks this rule and not HELD.

const (
	// heldCheckEvery is the interval between checks of the rule.
	heldCheckEvery = 200 * time.Millisecond
	// maxUnheld is how long a task may be in nobody's hands, or be taken for running, delegated, returned or recorded
	// when it is not. It is the time in which a lasting task has to run again, and the longest lease: until that ends a
	// leader may have to take a run for going on.
	maxUnheld = maxWaitForRun + longestLease
	// longestLease bounds the leases that leaders grant, with the tenth that a successor adds.
	longestLease = 5 * time.Second
	// maxHeldBack is how long a leader may hold a task back: for its settlement, for a record or a verdict. The longest of
	// these is the wait for a verdict: 10 s for a silent worker, and then for the polls of the others.
	maxHeldBack = maxWaitForRun + 12*time.Second
	// maxIdle is how long a job may be idle. As for lasting tasks, there must have been no fault for calmBeforeCapacity
	// before that.
	maxIdle = 3 * time.Second
)

// heldWait is the checker's record of a task that nobody is seen to hold.
type heldWait struct {
	since    time.Time
	how      string
	reported bool
}

// heldRule is the state of the rule.
type heldRule struct {
	waits map[string]*heldWait
	// leaders holds for each cell the leader at the last check, and since when it leads.
	leaders map[string]leaderSince
	// impairedAt is the last time at which a fault was active. idleSince is since when a job is idle, by its id.
	impairedAt time.Time
	idleSince  map[string]time.Time
	// idleReported holds the jobs that have broken the rule IDLE, which are reported once.
	idleReported map[string]bool
	// lostRuns counts the runs of each task that ended with their worker or its lease.
	lostRuns map[string]int
}

// leaderSince is a leader that has loaded its cell, and when it was first seen.
type leaderSince struct {
	seat  *seat
	epoch int64
	at    time.Time
}

func newHeldRule() heldRule {
	return heldRule{waits: map[string]*heldWait{}, leaders: map[string]leaderSince{}, idleSince: map[string]time.Time{}, idleReported: map[string]bool{}, lostRuns: map[string]int{}}
}

// watchHeld checks the rule for all tasks at each interval. A fault restarts the time of each task.
func (c *checker) watchHeld() {
	w := c.world
	w.after(heldCheckEvery, c.watchHeld)
	c.noteLeaders()
	if w.impaired() {
		clear(c.held.waits)
		clear(c.held.idleSince)
		c.held.impairedAt = w.now
		return
	}
	mostlyFree := w.plan.Idle && w.mostlyFree()
	for _, id := range slices.Sorted(maps.Keys(c.acceptedJobs)) {
		if c.cancelAsked[id] || c.phases[id] >= wire.JobPhase_JOB_PHASE_COMPLETED {
			continue
		}
		spec := w.jobs[id]
		if w.plan.Idle {
			c.checkIdle(id, spec, mostlyFree)
		}
		for occurrence := range max(1, int(spec.GetRepeats())) {
			for step, each := range spec.GetSteps() {
				for i := range int(each.GetCount()) {
					c.checkHeld(spec.GetCell(), taskName(id, occurrence, step, i))
				}
			}
		}
	}
}

// noteLeaders takes note of the leader of each cell that has loaded its jobs. A change of the leader restarts the time of
// the tasks that the cell has to do with.
func (c *checker) noteLeaders() {
	w := c.world
	for _, name := range w.cells {
		found := leaderSince{}
		for _, h := range w.hosts {
			if s := h.leads(name); s != nil && !s.state.Releasing() && s.seat.Row().GetEpoch() >= found.epoch {
				found = leaderSince{seat: s, epoch: s.seat.Row().GetEpoch(), at: w.now}
			}
		}
		if before := c.held.leaders[name]; before.seat != found.seat || before.epoch != found.epoch {
			c.held.leaders[name] = found
		}
	}
}

// checkHeld breaks the rule if nobody has held a task for too long.
func (c *checker) checkHeld(home, task string) {
	w := c.world
	how, longest, since := c.whoHolds(home, task)
	if longest == 0 {
		delete(c.held.waits, task)
		return
	}
	wait := c.held.waits[task]
	if wait == nil {
		wait = &heldWait{since: w.now}
		c.held.waits[task] = wait
	}
	wait.since, wait.how = maxTime(wait.since, since), how
	if w.now.Sub(wait.since) > longest && !wait.reported {
		wait.reported = true
		c.breakRule("HELD", "%s is in nobody's hands for %s: %s", task, w.now.Sub(wait.since), how)
	}
}

// whoHolds returns in words why nobody holds a task, and for how long that is allowed: 0 if the task is held. since is
// when the leaders concerned began to lead; before that no time counts.
func (c *checker) whoHolds(home, task string) (how string, longest time.Duration, since time.Time) {
	if len(c.running[task]) > 0 {
		return "", 0, since
	}
	atHome, longest, held, since := c.heldIn(home, task)
	if held.Holding != cell.HoldingDelegated {
		return atHome, longest, since
	}
	there, longest, held, leads := c.heldIn(held.Cell, task)
	if held.Holding == cell.HoldingDone || held.Holding == cell.HoldingEnded || held.Holding == cell.HoldingNotReady {
		longest = maxUnheld // the home cell still has to learn of it
	}
	return atHome + "; " + there, longest, maxTime(since, leads)
}

// heldIn returns how a cell holds a task, in words and as its leader says, how long that is allowed (0: for ever), and
// since when its leader leads. Without a leader no time counts.
func (c *checker) heldIn(name, task string) (how string, longest time.Duration, held cell.Held, since time.Time) {
	w, leader := c.world, c.held.leaders[name]
	if leader.seat == nil {
		return name + " has no leader", maxUnheld, held, w.now
	}
	held = leader.seat.state.HoldingOf(leader.seat.clock(), task)
	how = fmt.Sprintf("%s at %s says %s %s%s", name, leader.seat.name, held.Holding, held.Cell, held.Reason)
	switch held.Holding {
	case cell.HoldingDone, cell.HoldingNotReady, cell.HoldingWaiting:
		return how, 0, held, leader.at
	case cell.HoldingHeldBack:
		return how, maxHeldBack, held, leader.at
	default:
		return how, maxUnheld, held, leader.at
	}
}

// checkIdle breaks the rule IDLE for a job that has been idle for too long.
func (c *checker) checkIdle(id string, spec *wire.JobSpec, mostlyFree bool) {
	w := c.world
	task := ""
	if mostlyFree && c.calm() && w.now.Sub(c.held.impairedAt) >= calmBeforeCapacity {
		task = c.idleTask(id, spec)
	}
	since, known := c.held.idleSince[id]
	switch {
	case task == "":
		delete(c.held.idleSince, id)
	case !known:
		c.held.idleSince[id] = w.now
	case w.now.Sub(since) > maxIdle && !c.held.idleReported[id]:
		c.held.idleReported[id] = true
		how, _, _ := c.whoHolds(spec.GetCell(), task)
		c.breakRule("IDLE", "%s could run and doesn't for %s, with most of the workers' capacity free; it needs %d in its step, %s: %s",
			task, w.now.Sub(since), c.stepSpec(task).GetMillicores(), c.historyOf(task), how)
	}
}

// historyOf describes what a task is and what became of its runs, which decides whether it may go to another cell.
func (c *checker) historyOf(task string) string {
	spec, kind := c.stepSpec(task), "plain"
	switch {
	case spec.GetGang():
		kind = "gang"
	case spec.GetFiller():
		kind = "filler"
	}
	return fmt.Sprintf("%s, %d lost runs, %d failed, %s saved", kind, c.held.lostRuns[task], len(c.failed[task]), c.world.saved[task])
}

// idleTask returns a task of a job that could start and has capacity, if no task of the job runs; else "".
func (c *checker) idleTask(id string, spec *wire.JobSpec) string {
	w, found := c.world, ""
	for occurrence := range max(1, int(spec.GetRepeats())) {
		for step, each := range spec.GetSteps() {
			for i := range int(each.GetCount()) {
				task := taskName(id, occurrence, step, i)
				if len(c.running[task]) > 0 || each.GetLasting() {
					return ""
				}
				if found == "" && !c.unitDone(id, occurrence, step, i) && !w.now.Before(c.dueAt(id, occurrence)) && c.stepsBeforeDone(id, occurrence, each) && w.fitsTwice(task, each) {
					found = task
				}
			}
		}
	}
	return found
}

// stepsBeforeDone returns whether all tasks of the steps that a step depends on have ended well.
func (c *checker) stepsBeforeDone(id string, occurrence int, spec *wire.StepSpec) bool {
	for _, before := range spec.GetAfter() {
		for i := range int(c.world.jobs[id].GetSteps()[before].GetCount()) {
			if !c.unitDone(id, occurrence, int(before), i) {
				return false
			}
		}
	}
	return true
}

// fitsTwice returns whether there is capacity for two tasks of a step, or for twice its gang.
func (w *World) fitsTwice(task string, spec *wire.StepSpec) bool {
	fits, needed := int64(0), int64(requiredFit)
	if spec.GetGang() {
		needed *= int64(spec.GetCount())
	}
	for _, k := range w.workers {
		if !k.takesNewWork() || !k.mayRun(task, spec) {
			continue
		}
		n := fittingTasks(k.unused(), spec)
		if most := int64(spec.GetSpread()); most > 0 {
			n = min(n, most-k.runningOf(taskOf(task)))
		}
		fits += max(0, n)
	}
	return fits >= needed
}

// mostlyFree returns whether less than half of the capacity of the workers that take new work is in use.
func (w *World) mostlyFree() bool {
	total, unused := int64(0), int64(0)
	for _, k := range w.workers {
		if k.takesNewWork() {
			total, unused = total+k.capacity().Millicores, unused+max(0, k.unused().Millicores)
		}
	}
	return 2*unused > total
}

// takesNewWork returns whether the worker is up and stays, in a hall that is not evacuated.
func (k *worker) takesNewWork() bool {
	return k.up && !k.leave.isLeaving() && k.world.evacuations[k.Hall] == nil
}

// unused returns the capacity that the worker's runs leave, by what their steps ask for. Fillers take the processors that
// they ask for, although they reserve none, unless Plan.IdleByReservations says otherwise.
func (k *worker) unused() ledger.Size {
	if k.world.plan.IdleByReservations {
		return k.free()
	}
	left := k.capacity()
	for _, r := range k.runs {
		left = left.Minus(ledger.Size{Millicores: r.spec.GetMillicores(), MemoryMB: r.spec.GetMemoryMb()})
	}
	return left
}

// stepSpec returns the step of a task.
func (c *checker) stepSpec(task string) *wire.StepSpec {
	job, _, step := parseTaskName(task)
	return c.world.jobs[job].GetSteps()[step]
}
