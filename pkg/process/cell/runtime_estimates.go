package cell

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Estimates of run times: what callers declare, corrected by the run times of earlier jobs in the same
// queue (package runtimes). They decide when a job is due, whether it can still meet its objective, and
// which runs can end on a leaving worker in time.

// estimateValidFor is how long the estimate of a job's longest chain of steps is used. What is known of its
// queue changes with each run at first, and slowly later.
const estimateValidFor = 500 * time.Millisecond

// learnRunTime learns from the duration of a run that succeeded. It skips runs that do not show the time of a
// whole task at full pace: resumed or paused ones, lasting tasks and gangs.
func (s *State) learnRunTime(now time.Time, u *jobs.Unit, r *jobs.Run) {
	if r == nil || r.BeganAt.IsZero() || r.Resumed || !r.PausedAt.IsZero() || u.Lasting() || u.Spec.GetGang() {
		return
	}
	s.runtimes.Learn(u.Job.Spec.GetQueue(), declaredTime(u.Spec), now.Sub(r.BeganAt), len(u.Tasks))
}

// declaredTime returns the run time of a task as the caller estimates it in the step.
func declaredTime(step *wire.StepSpec) time.Duration {
	return time.Duration(step.GetEstimateMs()) * time.Millisecond
}

// refreshEstimate brings the estimates of a job's longest chains of steps up to date.
func (s *State) refreshEstimate(now time.Time, j *jobs.Job) {
	if !s.enabled(LearnedTimes) || (!j.ChainsEstimatedAt().IsZero() && now.Sub(j.ChainsEstimatedAt()) < estimateValidFor) {
		return
	}
	j.EstimateChains(now, func(step *wire.StepSpec) time.Duration {
		if step.GetLasting() {
			return 0
		}
		return s.runtimes.StepTime(j.Spec.GetQueue(), declaredTime(step), int(step.GetCount()))
	})
}

// estimatedTaskTime returns the estimated run time of a whole task of a unit.
func (s *State) estimatedTaskTime(u *jobs.Unit) time.Duration {
	if !s.enabled(LearnedTimes) {
		return declaredTime(u.Spec)
	}
	return s.runtimes.TaskTime(u.Job.Spec.GetQueue(), declaredTime(u.Spec))
}
