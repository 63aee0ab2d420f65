package cell

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// takeEnd handles one end of a run that a worker lists. A worker lists each end until the leader
// acknowledges that it is recorded, so an end whose number is not new is skipped.
func (s *State) takeEnd(now time.Time, w *workers.Worker, e workers.End) {
	if e.Number <= w.LastEnd {
		s.noteSkippedEnd(w, e)
		return
	}
	w.LastEnd = e.Number
	s.delays.unwatched.add(w.Unwatched)
	if s.taskNamed(e.Task) == nil {
		s.keepOrphanedEnd(now, w, e)
		return
	}
	s.applyEnd(now, w, e)
}

// applyEnd applies the end of a run to its task and job, which are known here.
func (s *State) applyEnd(now time.Time, w *workers.Worker, e workers.End) {
	t := s.taskNamed(e.Task)
	j := t.Unit.Job
	r := t.Run(e.Run, w.ID)
	s.note(Note{
		Kind: NoteEnd, Job: j.Spec.GetId(), Task: e.Task, Run: e.Run, Worker: w.ID,
		Detail: endDetail(e.Outcome, r), AgeMs: runAgeMs(now, r),
	})
	if r != nil {
		w.Remove(r)
		t.RemoveRun(r)
		t.WaitingSince, t.InCellSince = now, now
	}
	s.endedWithoutCrash(w, t, r)
	if e.Checkpoint != "" && !t.Done {
		t.Checkpoint = e.Checkpoint
	}
	if !j.HasStarted {
		j.HasStarted = true
	}
	switch e.Outcome {
	case workers.EndedDone:
		s.handleSuccess(now, w, t, r)
	case workers.EndedFailed:
		s.handleFailure(now, w, t, e.Run)
	case workers.EndedStopped, workers.EndedLapsed, workers.EndedBroken, workers.EndedAlone:
		// The task waits for a new start and resumes from its checkpoint.
	}
	s.markDirty(j, false)
	s.holdAcknowledgement(now, w, e.Number, j.Spec.GetId())
	s.updateWaiting(now, j)
}

// noteSkippedEnd logs an end that was skipped by its number although its run still counts as running.
func (s *State) noteSkippedEnd(w *workers.Worker, e workers.End) {
	if t := s.taskNamed(e.Task); t != nil && t.Run(e.Run, w.ID) != nil {
		s.note(Note{
			Kind: NoteEndPassed, Job: t.Unit.Job.Spec.GetId(), Task: e.Task, Run: e.Run, Worker: w.ID, AgeMs: -1,
			Detail: fmt.Sprintf("%s, number %d; newest processed number %d", e.Outcome, e.Number, w.LastEnd),
		})
	}
}

// endDetail describes for the log how a run ended, and at what progress if the run is known.
func endDetail(how workers.Outcome, r *jobs.Run) string {
	if r == nil {
		return string(how)
	}
	return fmt.Sprintf("%s at %d%%", how, r.Percent)
}

// runAgeMs returns the milliseconds since a run's start order was first sent, or -1 for an unknown run.
func runAgeMs(now time.Time, r *jobs.Run) int64 {
	if r == nil {
		return -1
	}
	return now.Sub(r.SentAt).Milliseconds()
}

// handleSuccess handles a run that ended well: its task is done, or its whole gang.
func (s *State) handleSuccess(now time.Time, w *workers.Worker, t *jobs.Task, r *jobs.Run) {
	s.learnRunTime(now, t.Unit, r)
	if w.Health.RunSucceeded() {
		s.note(Note{Kind: NoteWorkerBack, Worker: w.ID, Detail: "a run ended well", AgeMs: -1})
	}
	if t.Unit.Lasting() {
		return // a lasting task is started again however its run ends
	}
	if t.Unit.Spec.GetGang() {
		// The success of one member is the success of the whole gang.
		for _, member := range t.Unit.Tasks {
			member.MarkDone()
		}
	} else {
		t.MarkDone()
	}
	s.completeIfDone(now, t.Unit.Job)
}

// completeIfDone ends a job whose tasks are all done. The end of a delegated job is decided by its home
// cell; here its progress is recorded at once, with a report to the home cell.
func (s *State) completeIfDone(now time.Time, j *jobs.Job) {
	switch {
	case j.Delegated():
		if j.DelegatedDone() {
			s.markDirty(j, true)
		}
	case j.AllDone():
		s.endJob(now, j, wire.JobPhase_JOB_PHASE_COMPLETED, "all tasks are done")
	}
}

// handleFailure handles a run that ended in failure. The failure counts against the worker's health while
// the unit has failed at no other worker. The job fails once the task has failed as often as its queue
// allows, unless the task is lasting.
func (s *State) handleFailure(now time.Time, w *workers.Worker, t *jobs.Task, run int64) {
	u := t.Unit
	if u.FailedWorkers == nil {
		u.FailedWorkers = map[string]bool{}
	}
	u.FailedWorkers[w.ID] = true
	t.AvoidWorker = w.ID
	if len(u.FailedWorkers) < 2 && w.Health.RunFailed(u.Name(), now) {
		s.noteQuarantined(w)
	}
	if u.Lasting() {
		return
	}
	t.MarkFailed(run)
	s.failIfAttemptsUsed(now, t)
}

// failIfAttemptsUsed fails a task's job if the task has failed as often as its queue allows, and reports whether it has.
func (s *State) failIfAttemptsUsed(now time.Time, t *jobs.Task) bool {
	failures, most := t.Failures(), s.maxAttempts(t.Unit.Job)
	if failures < most {
		return false
	}
	s.endJob(now, t.Unit.Job, wire.JobPhase_JOB_PHASE_FAILED, fmt.Sprintf("%s failed %d times of %d", t.Name(), failures, most))
	return true
}

// defaultMaxAttempts is the limit for a queue that the manifest does not name. It is at least what any queue
// allows, so that no job fails too early.
const defaultMaxAttempts = 4

// maxAttempts returns after how many failed runs of one task a job fails.
func (s *State) maxAttempts(j *jobs.Job) int {
	if q := s.queueOf(j); q.MaxAttempts > 0 {
		return q.MaxAttempts
	}
	return defaultMaxAttempts
}

// serviceOf returns the name of the service whose workers run a job: the one that the manifest names for
// the job's queue or, if the queue is gone, the one that it named when the job was accepted.
func (s *State) serviceOf(j *jobs.Job) string {
	if s.manifest != nil {
		if q, ok := s.manifest.Queue(j.Spec.GetQueue()); ok {
			return q.Service
		}
	}
	return j.Spec.GetService()
}

// enforcesCapacity reports whether the workers of a service refuse a start that exceeds their capacity.
func (s *State) enforcesCapacity(service string) bool {
	if s.manifest != nil {
		if v, ok := s.manifest.Service(service); ok {
			return v.GuardsCapacity
		}
	}
	return false
}

// ------------------------------------------------------------------ stops

// stopRetryAfter is how long after a stop order it is sent again if the run has not ended.
const stopRetryAfter = 500 * time.Millisecond

// stopRun orders a worker to end a run. The run counts as running until the worker lists its end.
func (s *State) stopRun(now time.Time, w *workers.Worker, r *jobs.Run, why string) {
	if r.State == jobs.Stopping && now.Sub(r.StopSentAt) < stopRetryAfter {
		return
	}
	if r.State != jobs.Stopping {
		s.note(Note{
			Kind: NoteStop, Job: r.Task.Unit.Job.Spec.GetId(), Task: r.Task.Name(), Run: r.Number, Worker: w.ID,
			Detail: fmt.Sprintf("%s, at %d%%", why, r.Percent), AgeMs: runAgeMs(now, r),
		})
	}
	if r.AckedAt.IsZero() {
		r.AckedAt = now
	}
	r.State, r.StopSentAt, r.StopReason = jobs.Stopping, now, why
	s.emit(SendStop{To: target(w), Stop: workers.Stop{Fence: s.epoch, Task: r.Task.Name(), Run: r.Number}, Timeout: s.startWindow.Timeout()})
}

// stopObsoleteRuns stops runs whose job has ended or whose task is done, and repeats stop orders that had no
// effect.
func (s *State) stopObsoleteRuns(now time.Time) {
	for _, w := range s.workersByID() {
		if w.Ended || !w.SilentSince.IsZero() {
			continue
		}
		for _, r := range w.Runs {
			switch {
			case r.State == jobs.Stopping:
				s.stopRun(now, w, r, r.StopReason)
			case r.State == jobs.Sent || r.State == jobs.Unanswered:
				// A stop order that arrives before the start order has no effect.
			case s.unsafe.NoLateStops && r.Task.Unit.Job.Ended() && r.BeganAt.After(r.Task.Unit.Job.EndedAt):
			case r.Task.Unit.Job.Ended():
				s.stopRun(now, w, r, "its job has ended")
			case r.Task.Done && !r.Task.Unit.Spec.GetGang():
				s.stopRun(now, w, r, "its task is done")
			}
		}
	}
}

// takeStopAnswered handles the outcome of a stop order.
func (s *State) takeStopAnswered(now time.Time, e StopAnswered) {
	w := s.workers[e.Worker]
	if w == nil || e.Err != nil {
		return
	}
	s.handleReply(now, w, e.Reply)
}

// handleReply processes what every reply of a worker carries: a reading of its clock, and a refusal.
func (s *State) handleReply(now time.Time, w *workers.Worker, r workers.Reply) {
	if r.Clock > 0 {
		w.UpdateClock(now, r.Clock)
	}
	switch r.Refusal {
	case workers.RefusedFence:
		s.emit(StepDown{Why: "worker " + w.ID + " knows a higher epoch"})
	case workers.RefusedOtherWorker:
		s.endIncarnation(now, w, "another worker answers at its address")
	case workers.RefusedRestarted:
		s.pollFailed(now, w, "another incarnation answers under its id")
		w.PollNow(now)
	default:
	}
}
