package cell

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Runs whose ends the leader decides without a report of the worker: after the end of an incarnation, after the expiry
// of a lease, and when a run stalls. For the first two, the leader waits until its leadership is confirmed for a time
// after the end of the incarnation or the lease (see model/cell.pml).

// endIncarnation ends a worker's incarnation because a later one has begun. Rows that name the ended incarnation are
// out of date from now on, and takeRegistry skips them.
func (s *State) endIncarnation(now time.Time, w *workers.Worker, why string) {
	if !w.Ended {
		s.addUnobservedEnd(w)
		s.unreachedMemberEnded(now, w.ID)
		s.rememberEnd(w)
		s.lostStartEnded(now, w)
		s.workerCrashed(now, w)
	}
	s.endedIncarnations[w.ID] = w.Born
	s.markGone(now, w, why)
}

// markGone marks a worker's incarnation as over. removeGoneWorkers presumes its runs over once that is confirmed.
func (s *State) markGone(now time.Time, w *workers.Worker, why string) {
	if w.Ended {
		return
	}
	w.Ended, w.EndKnownAt, w.EndReason = true, now, why
	s.noteIfLeading(Note{Kind: NoteWorkerGone, Worker: w.ID, Detail: why, AgeMs: -1})
	s.scanDue = true
}

// removeGoneWorkers drops the workers whose incarnations are over and presumes their runs over, once this process is
// confirmed to have led the cell after that. Before that, a later leader may already have received the successful end
// of such a run.
func (s *State) removeGoneWorkers(now time.Time) {
	for _, w := range s.workersByID() {
		if !w.Ended || s.leadershipLastConfirmed(now).Before(w.EndKnownAt) {
			continue
		}
		for _, r := range w.Runs {
			s.loseRun(now, w, r, w.EndReason)
		}
		delete(s.workers, w.ID)
		s.orderStale = true
		s.placementDue = true
	}
}

// leadershipLastConfirmed returns the last time at which this process is known to have led the cell.
func (s *State) leadershipLastConfirmed(now time.Time) time.Time {
	if s.unsafe.NoConfirmation {
		return now
	}
	return s.leadershipConfirmedAt
}

// loseRun presumes a run over whose end will not be reported. why is for the log; w is nil if the worker is no longer
// known.
func (s *State) loseRun(now time.Time, w *workers.Worker, r *jobs.Run, why string) {
	t := r.Task
	if s.unsafe.NoLostRuns {
		return
	}
	if w != nil {
		w.Remove(r)
	}
	t.RemoveRun(r)
	t.WaitingSince, t.InCellSince = lastAnswer(now, w), now
	if t.Unit.Lasting() {
		s.markDirty(t.Unit.Job, false) // the record says since when it has had no run
	}
	s.note(Note{
		Kind: NoteLost, Job: t.Unit.Job.Spec.GetId(), Task: t.Name(), Run: r.Number, Worker: r.Worker, Detail: why,
		AgeMs: now.Sub(r.SentAt).Milliseconds(),
	})
	if !s.unsafe.NoRequeue {
		s.updateWaiting(now, t.Unit.Job)
	}
}

// dropUnstartedRun drops a run that never began. The wait of its task goes on.
func (s *State) dropUnstartedRun(now time.Time, w *workers.Worker, r *jobs.Run) {
	t := r.Task
	withoutRun, inCell, ready := t.WaitingSince, t.InCellSince, t.Unit.ReadyAt
	s.loseRun(now, w, r, "it never began, and its order has expired")
	t.WaitingSince, t.InCellSince, t.Unit.ReadyAt = withoutRun, inCell, ready
}

// lastAnswer returns when a worker whose runs are presumed over last answered: until then they went on for sure. It
// returns now if the worker is unknown or never answered.
func lastAnswer(now time.Time, w *workers.Worker) time.Time {
	if w == nil || w.LastAnswerAt.IsZero() {
		return now
	}
	return w.LastAnswerAt
}

// checkRuns presumes runs of silent workers over once their leases have expired, and stops stalled runs of the others.
func (s *State) checkRuns(now time.Time) {
	for _, w := range s.workersByID() {
		if w.Ended {
			continue
		}
		if !w.SilentSince.IsZero() {
			s.checkLease(now, w)
			continue
		}
		for _, r := range w.Runs {
			s.stopIfStalled(now, w, r)
		}
	}
}

// checkLease presumes the runs of a silent worker over once its lease has expired. It then drops the worker if the
// worker registry has no row of it either.
func (s *State) checkLease(now time.Time, w *workers.Worker) {
	over := w.LeaseExpired(s.leadershipLastConfirmed(now)) || s.unsafe.NoLeaseWait
	if over {
		if w.FailedPolls < silentAfterFailures {
			s.workerSilent(now, w) // no further poll would find the runs here
		}
		for _, r := range w.Runs {
			s.loseRun(now, w, r, fmt.Sprintf("its worker's lease has expired, after %d failed polls", w.FailedPolls))
		}
	}
	if !w.Listed && now.Sub(w.UnlistedAt) > unlistedGrace && len(w.Runs) == 0 && (over || s.earlierRunsOver(now, w)) {
		s.markGone(now, w, "not listed and silent")
	}
}

const (
	// unlistedGrace is how long a silent worker is kept that has no runs and no row in the worker registry. It is short
	// because a successor has to wait for each worker that the membership row names.
	unlistedGrace = time.Second
	// stallTimeout is how long a run may make no progress before it counts as stalled. 1% of the longest known tasks
	// takes less than half a second, even at a sixth of their speed.
	stallTimeout = 1500 * time.Millisecond
	// fillerStallTimeout is stallTimeout for fillers, which get only the processor time that other tasks leave.
	fillerStallTimeout = 4 * time.Second
	// A worker's list shows a stall only if the leader asked for it at least the stall timeout divided by stallCheckDivisor after
	// the run's last progress: a run at work has made progress by then.
	stallCheckDivisor = 3
)

// stopIfStalled stops a run that has stalled at full pace, and quarantines its worker. A leader that has not asked for a while
// does not know whether a run makes progress.
func (s *State) stopIfStalled(now time.Time, w *workers.Worker, r *jobs.Run) {
	if r.State != jobs.Running || r.Percent >= 100 || w.MoreEnds {
		return
	}
	limit := stallTimeout
	if r.Task.Unit.Spec.GetFiller() {
		limit = fillerStallTimeout
	}
	if r.Pace < 100 || r.PaceWanted < 100 || now.Sub(r.PacedAt) < limit {
		return
	}
	progressAt := r.ProgressAt
	if r.BeganAt.After(progressAt) {
		progressAt = r.BeganAt
	}
	if now.Sub(progressAt) < limit || w.ListAskedAt.Sub(progressAt) < limit/stallCheckDivisor {
		return
	}
	w.Health.Stalled(now)
	s.noteQuarantined(w)
	s.stopRun(now, w, r, "makes no progress")
}

// noteQuarantined logs that a worker is quarantined, and why.
func (s *State) noteQuarantined(w *workers.Worker) {
	why, _ := w.Health.QuarantineReason()
	s.note(Note{Kind: NoteWorkerAside, Worker: w.ID, Detail: why, AgeMs: -1})
}
