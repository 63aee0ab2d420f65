package emulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// The rule HELD: each task of an accepted job that has neither ended nor been cancelled runs at a worker, or one leader
// answers for it: the leader of the job's home cell, or that of the cell to which the home cell has delegated it. The
// rule is checked at each interval, so that it finds a task that no leader would start long before the day ends. It
// relies on what leaders say of their own tasks (cell.State.HoldingOf), and on the runs that the checker sees.

const (
	// heldCheckEvery is the interval between checks of the rule.
	heldCheckEvery = 200 * time.Millisecond
	// maxUnheld is how long a task may be in nobody's hands, or be taken for running, delegated, returned or recorded
	// when it is not. It is the time in which a lasting task has to run again, and the longest lease: until that ends a
	// leader may have to take a run for going on.
	maxUnheld = maxWaitForRun + longestLease
	// longestLease bounds the leases that leaders grant, with the tenth that a successor adds.
	longestLease = 5 * time.Second
	// maxHeldBack is how long a leader may hold a task back: for its settlement, for a record or an outcome. The longest
	// wait of a task for an outcome is 12 s, for that of a silent worker under a task that may crash its workers.
	maxHeldBack = maxWaitForRun + 12*time.Second
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
}

// leaderSince is a leader that has loaded its cell, and when it was first seen.
type leaderSince struct {
	seat  *seat
	epoch int64
	at    time.Time
}

func newHeldRule() heldRule {
	return heldRule{waits: map[string]*heldWait{}, leaders: map[string]leaderSince{}}
}

// watchHeld checks the rule for all tasks at each interval. A fault restarts the time of each task.
func (c *checker) watchHeld() {
	w := c.world
	w.after(heldCheckEvery, c.watchHeld)
	c.noteLeaders()
	if w.impaired() {
		clear(c.held.waits)
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.acceptedJobs)) {
		if c.cancelAsked[id] || c.phases[id] >= wire.JobPhase_JOB_PHASE_COMPLETED {
			continue
		}
		spec := w.jobs[id]
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
