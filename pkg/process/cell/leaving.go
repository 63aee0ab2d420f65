package cell

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// leaveMargin is what must be left of a leaving worker's time after the end of
// a run, for it to be let run on: a stop takes some of it.
const leaveMargin = 300 * time.Millisecond

// leave moves what a leaving worker can't end in the time it has left. What
// can end there stays; the rest is stopped with a checkpoint and goes on
// elsewhere.
func (s *State) leave(now time.Time) {
	for _, w := range s.sorted() {
		if !w.Leaving || w.Gone || !w.SilentSince.IsZero() {
			continue
		}
		left := w.Remaining - now.Sub(w.LeavingAt)
		for _, r := range w.Runs {
			if r.State != jobs.Running || !s.moveAway(now, r, left) || s.settlesSoon(now, w, r, left) {
				continue
			}
			s.stop(now, w, r, "its worker leaves")
		}
	}
}

// stopTakes is about as long as a stop takes.
const stopTakes = time.Second

// settlesSoon says whether a run is better stopped a little later: once its task is settled, it may start
// elsewhere at once, and there is time for that.
func (s *State) settlesSoon(now time.Time, w *workers.Worker, r *jobs.Run, left time.Duration) bool {
	wait := earlierPolls + lookWait - now.Sub(w.HeardAt)
	return r.Task.Unit.Lasting() && !r.Task.Settled && wait > 0 && left-wait > stopTakes
}

func (s *State) moveAway(now time.Time, r *jobs.Run, left time.Duration) bool {
	if r.Task.Unit.Lasting() {
		return true
	}
	return s.remaining(now, r) > left-leaveMargin
}

// remaining estimates how much longer a run takes, from its progress so far
// or, while there is none, from what is known of its kind and its caller's guess.
func (s *State) remaining(now time.Time, r *jobs.Run) time.Duration {
	guess := s.taskTime(r.Task.Unit)
	if r.Percent <= 0 {
		return max(0, guess-now.Sub(r.BeganAt))
	}
	ran := r.ProgressAt.Sub(r.BeganAt)
	whole := time.Duration(float64(ran) * 100 / float64(r.Percent))
	return max(0, whole-now.Sub(r.BeganAt))
}
