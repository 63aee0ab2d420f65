package cell

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// leavingMargin is the time that must remain between the expected end of a run and the end of its leaving worker for
// the run to go on there. A stop takes part of that time.
const leavingMargin = 300 * time.Millisecond

// stopOnLeavingWorkers stops the runs that leaving workers can't finish in the time they have left. Their tasks go on
// elsewhere from a checkpoint. Runs that can finish there stay.
func (s *State) stopOnLeavingWorkers(now time.Time) {
	for _, w := range s.workersByID() {
		if !w.Leaving || w.Ended || !w.SilentSince.IsZero() {
			continue
		}
		left := w.Remaining - now.Sub(w.LeavingAt)
		for _, r := range w.Runs {
			if r.State != jobs.Running || !s.cannotFinish(now, r, left) || s.settlesSoon(now, w, r, left) {
				continue
			}
			s.stopRun(now, w, r, "its worker is leaving")
		}
	}
}

// stopDuration is about as long as a stop takes.
const stopDuration = time.Second

// settlesSoon reports whether a run is better stopped a little later: its lasting task settles soon and may then start
// elsewhere at once, and the worker has enough time left to wait for that.
func (s *State) settlesSoon(now time.Time, w *workers.Worker, r *jobs.Run, left time.Duration) bool {
	wait := earlierPollWindow + pollWait - now.Sub(w.FirstAnswerAt)
	return r.Task.Unit.Lasting() && !r.Task.Settled && wait > 0 && left-wait > stopDuration
}

// cannotFinish reports whether a run can't end at its worker in the time left. A lasting run never ends by itself.
func (s *State) cannotFinish(now time.Time, r *jobs.Run, left time.Duration) bool {
	if r.Task.Unit.Lasting() {
		return true
	}
	return s.remainingTime(now, r) > left-leavingMargin
}

// remainingTime estimates how much longer a run takes: from its progress so far or, while it has made none, from the
// run times learned for its queue and the estimate that its caller declared.
func (s *State) remainingTime(now time.Time, r *jobs.Run) time.Duration {
	guess := s.estimatedTaskTime(r.Task.Unit)
	if r.Percent <= 0 {
		return max(0, guess-now.Sub(r.BeganAt))
	}
	ran := r.ProgressAt.Sub(r.BeganAt)
	whole := time.Duration(float64(ran) * 100 / float64(r.Percent))
	return max(0, whole-now.Sub(r.BeganAt))
}
