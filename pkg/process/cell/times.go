package cell

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// How long jobs take: what their callers declare, corrected by what was seen of the jobs
// of their queue (package runtimes). When a job is due, whether it can still meet its
// objective and what can end on a worker that leaves all follow from it.

// estimatedFor is how long an estimate of a job's chain of work is used: what is known of
// its queue changes from run to run at first, and slowly then.
const estimatedFor = 500 * time.Millisecond

// learnTime takes in how long a run took that ended well, if it was one piece of work at
// full pace.
func (s *State) learnTime(now time.Time, u *jobs.Unit, r *jobs.Run) {
	if r == nil || r.BeganAt.IsZero() || r.Resumed || !r.CutAt.IsZero() || u.Lasting() || u.Spec.GetGang() {
		return
	}
	s.runtimes.Learn(u.Job.Spec.GetQueue(), declared(u.Spec), now.Sub(r.BeganAt), len(u.Tasks))
}

func declared(step *wire.StepSpec) time.Duration {
	return time.Duration(step.GetEstimateMs()) * time.Millisecond
}

// estimate brings the estimate of a job's chain of work up to date.
func (s *State) estimate(now time.Time, j *jobs.Job) {
	if !s.has(LearnedTimes) || (!j.EstimatedAt().IsZero() && now.Sub(j.EstimatedAt()) < estimatedFor) {
		return
	}
	j.Estimate(now, func(step *wire.StepSpec) time.Duration {
		if step.GetLasting() {
			return 0
		}
		return s.runtimes.Step(j.Spec.GetQueue(), declared(step), int(step.GetCount()))
	})
}

// taskTime estimates how long a task of a unit runs in all.
func (s *State) taskTime(u *jobs.Unit) time.Duration {
	if !s.has(LearnedTimes) {
		return declared(u.Spec)
	}
	return s.runtimes.Task(u.Job.Spec.GetQueue(), declared(u.Spec))
}
