package emulator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/election"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// The rule PENDING, on days with Plan.Pending: hosts in contact are asked at drawn moments how many jobs of a queue are
// pending, more often just after a cut has ended and after a cell has got another leader. An answer must not be under
// half of the jobs without times that were accepted more than minPendingAge ago and none of whose tasks has started at a
// worker. A host may refuse to answer. The questions change nothing at the hosts that decide, and draw from no stream.

const (
	// pendingCheckEvery is the interval between checks; at each, one host of pendingOdds is asked, or one of
	// pendingOddsAfterChange if a cut has ended or a leader has changed less than pendingChangeSpan ago.
	pendingCheckEvery      = 100 * time.Millisecond
	pendingOdds            = 8
	pendingOddsAfterChange = 2
	pendingChangeSpan      = 2500 * time.Millisecond
	// minPendingAge is the age from which a job that waits must be counted: 3 s until a job is visible, and 2 s that an
	// answer may be old.
	minPendingAge = 5 * time.Second
)

// pendingRule is the state of the rule.
type pendingRule struct {
	// begun holds the jobs of which a task has started.
	begun map[string]bool
	// leaders holds the host and epoch that lead each cell, changedAt when one of them last changed.
	leaders   map[string]leaderSince
	changedAt time.Time
	// asked is the number of draws.
	asked int
}

func newPendingRule() pendingRule {
	return pendingRule{begun: map[string]bool{}, leaders: map[string]leaderSince{}}
}

// watchPending asks some of the hosts at each interval.
func (c *checker) watchPending() {
	w := c.world
	w.after(pendingCheckEvery, c.watchPending)
	c.noteChanges()
	odds := uint64(pendingOdds)
	if w.now.Sub(c.pending.changedAt) < pendingChangeSpan {
		odds = pendingOddsAfterChange
	}
	for _, h := range w.hosts {
		c.pending.asked++
		if drawBeyondTape("pending "+h.name, c.pending.asked, w.plan.Seed)%odds == 0 && h.inContact() && w.tableInContact() {
			c.askPending(h)
		}
	}
}

// noteChanges takes note of cuts that have ended since the last check, and of new leaders.
func (c *checker) noteChanges() {
	w := c.world
	ended := func(until time.Time) bool { return !until.After(w.now) && w.now.Sub(until) < pendingCheckEvery }
	for _, until := range w.cuts {
		if ended(until) {
			c.pending.changedAt = w.now
		}
	}
	for _, name := range w.cells {
		found := leaderSince{}
		for _, h := range w.hosts {
			for _, s := range h.seats {
				if h.up && s.cell == name && s.seat.Role() == election.Leader && s.seat.Row().GetEpoch() > found.epoch {
					found = leaderSince{seat: s, epoch: s.seat.Row().GetEpoch()}
				}
			}
		}
		if c.pending.leaders[name] != found {
			c.pending.leaders[name], c.pending.changedAt = found, w.now
		}
	}
}

// askPending asks a host for each queue, and breaks the rule if its answer is too low.
func (c *checker) askPending(h *host) {
	waiting := c.waitingJobs()
	for _, queue := range slices.Sorted(maps.Keys(waiting)) {
		told, err := h.pending.count(queue)
		if err != nil {
			c.world.logf("pending: %s refuses to count the jobs of %s: %v", h.name, queue, err)
			continue
		}
		ids := waiting[queue]
		from := h.pending.sourcesText()
		c.world.logf("pending: %s counts %d jobs of %s, %d have waited for long (%s)", h.name, told, queue, len(ids), from)
		if 2*told < len(ids) {
			c.breakRule("PENDING", "%s counts %d jobs of %s as pending (%s); %d have waited for more than %s: %s", h.name, told, queue, from, len(ids), minPendingAge, strings.Join(c.withCells(ids), " "))
		}
	}
}

// withCells returns job ids with the home cells of the jobs.
func (c *checker) withCells(ids []string) []string {
	var list []string
	for _, id := range ids {
		list = append(list, strings.TrimLeft(id, "0")+" of "+c.world.jobs[id].GetCell())
	}
	return list
}

// waitingJobs returns the ids of the jobs that must be counted, by queue.
func (c *checker) waitingJobs() map[string][]string {
	w := c.world
	waiting := map[string][]string{}
	for _, id := range slices.Sorted(maps.Keys(c.acceptedJobs)) {
		spec := w.jobs[id]
		if w.now.Sub(c.acceptedAt[id]) <= minPendingAge || spec.GetRepeats() > 0 || c.pending.begun[id] ||
			c.cancelSent(id) || c.phases[id] >= wire.JobPhase_JOB_PHASE_COMPLETED {
			continue
		}
		waiting[spec.GetQueue()] = append(waiting[spec.GetQueue()], id)
	}
	return waiting
}
