package cell

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// While start orders are held back, polls and records come less often: the link and the processor carry first what earns
// first, and polls and records that come later carry more each. Ends that are learned late cost what waits for them,
// though: the next step, the end of the job, and the capacity. So calls yield only as far as the jobs at stake have slack.

const (
	// heldFor is how long start orders must have been held back before less urgent calls yield to them: a burst of
	// orders fills the window of a fast link, too, for a moment.
	heldFor = 300 * time.Millisecond
	// heldRecently is how long after a start order was held back less urgent calls yield to start orders.
	heldRecently = 500 * time.Millisecond
	// yieldFactor multiplies the pauses between less urgent calls that yield.
	yieldFactor = 5
	// A job may lose its slack divided by yieldSlackDivisor to the pause before a poll. Each step may lose as much, and the
	// wait for its start comes on top.
	yieldSlackDivisor = 4
	// A run may end after its estimated time divided by earliestEndDivisor.
	earliestEndDivisor = 2
)

// yielding reports whether less urgent calls yield to start orders now.
func (s *State) yielding(now time.Time) bool {
	return s.enabled(YieldToStarts) && now.Sub(s.startsHeldAt) < heldRecently && s.startsHeldAt.Sub(s.startsHeldSince) >= heldFor
}

// pollPause returns the pause before the next poll of a worker that has listed ends: ackPause, or longer while polls yield.
func (s *State) pollPause(now time.Time, w *workers.Worker) time.Duration {
	if !s.yielding(now) {
		return ackPause
	}
	pause := yieldFactor * ackPause
	for _, r := range w.Runs {
		if !r.OverTargetSince.IsZero() {
			return ackPause // fillers beside it are paused by what the next answers show
		}
		pause = min(pause, max(ackPause, s.endMayWait(now, r)))
	}
	return pause
}

// pollsYield reports whether the polls of a worker yield now.
func (s *State) pollsYield(now time.Time, w *workers.Worker) bool {
	return s.pollPause(now, w) > ackPause
}

// endMayWait returns how long the leader may leave a worker without a poll because of a run there: until the run may end, and
// for a part of its job's slack. A job that can't meet its objective any more has no reason for haste.
func (s *State) endMayWait(now time.Time, r *jobs.Run) time.Duration {
	u := r.Task.Unit
	if u.Lasting() || u.Outlook != jobs.OnTime {
		return yieldFactor * ackPause
	}
	untilEnd := r.SentAt.Add(s.estimatedTaskTime(u) / earliestEndDivisor).Sub(now)
	return max(untilEnd, (s.objectiveOf(u.Job)-u.Job.LongestChain())/yieldSlackDivisor)
}

// objectiveOf returns the time within which a job should end.
func (s *State) objectiveOf(j *jobs.Job) time.Duration {
	q := s.queueOf(j)
	return time.Duration(float64(j.LongestChain())*q.Stretch) + q.Slack
}
