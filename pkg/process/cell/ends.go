package cell

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// takeEnd takes in one end that a worker lists. It is listed again until the
// worker is told that it is recorded, so each is taken in once by its number.
func (s *State) takeEnd(now time.Time, w *workers.Worker, e workers.End) {
	if e.Number <= w.Seen {
		s.notePassed(w, e)
		return
	}
	w.Seen = e.Number
	if s.task(e.Task) == nil {
		s.holdEnd(now, w, e)
		return
	}
	s.countEnd(now, w, e)
}

// countEnd takes in an end of a task that is known.
func (s *State) countEnd(now time.Time, w *workers.Worker, e workers.End) {
	t := s.task(e.Task)
	j := t.Unit.Job
	r := t.Run(e.Run, w.ID)
	s.note(Note{
		What: NoteEnd, Job: j.Spec.GetId(), Task: e.Task, Run: e.Run, Worker: w.ID,
		Detail: endDetail(e.How, r), AgeMs: runAge(now, r),
	})
	if r != nil {
		w.Remove(r)
		t.Drop(r)
		t.WaitsSince, t.HereSince = now, now
	}
	s.endedWithoutCrash(w, t, r)
	if e.Checkpoint != "" && !t.Done {
		t.Checkpoint = e.Checkpoint
	}
	if !j.Begun {
		j.Begun = true
	}
	switch e.How {
	case workers.EndedDone:
		s.endedDone(now, w, t, r)
	case workers.EndedFailed:
		s.endedFailed(now, w, t, e.Run)
	case workers.EndedStopped, workers.EndedLapsed, workers.EndedBroken, workers.EndedAlone:
		// The task waits again, and goes on from its checkpoint.
	}
	s.markDirty(j, false)
	s.pendEnd(w, e.Number, j.Spec.GetId())
	s.touch(now, j)
}

// notePassed tells of an end that is passed over though its run is still taken to be there.
func (s *State) notePassed(w *workers.Worker, e workers.End) {
	if t := s.task(e.Task); t != nil && t.Run(e.Run, w.ID) != nil {
		s.note(Note{
			What: NoteEndPassed, Job: t.Unit.Job.Spec.GetId(), Task: e.Task, Run: e.Run, Worker: w.ID, AgeMs: -1,
			Detail: fmt.Sprintf("%s, number %d; %d was the newest", e.How, e.Number, w.Seen),
		})
	}
}

func endDetail(how workers.How, r *jobs.Run) string {
	if r == nil {
		return string(how)
	}
	return fmt.Sprintf("%s at %d%%", how, r.Percent)
}

func runAge(now time.Time, r *jobs.Run) int64 {
	if r == nil {
		return -1
	}
	return now.Sub(r.SentAt).Milliseconds()
}

func (s *State) endedDone(now time.Time, w *workers.Worker, t *jobs.Task, r *jobs.Run) {
	s.learnTime(now, t.Unit, r)
	if w.Health.Worked() {
		s.note(Note{What: NoteWorkerBack, Worker: w.ID, Detail: "a run ended well", AgeMs: -1})
	}
	if t.Unit.Lasting() {
		return // it is to be started again however it ends
	}
	if t.Unit.Spec.GetGang() {
		// One such end stands for all.
		for _, member := range t.Unit.Tasks {
			member.MarkDone()
		}
	} else {
		t.MarkDone()
	}
	s.completeIfDone(now, t.Unit.Job)
}

// completeIfDone ends a job that has no more to do. A guest ends by the word of the
// cell that keeps it, which is told at once.
func (s *State) completeIfDone(now time.Time, j *jobs.Job) {
	switch {
	case j.Guest():
		if j.LentDone() {
			s.markDirty(j, true)
		}
	case j.AllDone():
		s.endJob(now, j, wire.JobPhase_JOB_PHASE_COMPLETED, "all tasks are done")
	}
}

func (s *State) endedFailed(now time.Time, w *workers.Worker, t *jobs.Task, run int64) {
	u := t.Unit
	if u.FailedAt == nil {
		u.FailedAt = map[string]bool{}
	}
	u.FailedAt[w.ID] = true
	t.AvoidWorker = w.ID
	if len(u.FailedAt) < 2 && w.Health.Failed(u.Name(), now) {
		s.noteAside(w)
	}
	if u.Lasting() {
		return
	}
	failures := t.MarkFailed(run)
	most := s.maxAttempts(u.Job)
	if failures >= most {
		s.endJob(now, u.Job, wire.JobPhase_JOB_PHASE_FAILED, fmt.Sprintf("%s failed %d times of %d", t.Name(), failures, most))
	}
}

// defaultAttempts is used for a queue that no known manifest names: none of
// its tasks is given up on for fewer failures than any queue allows.
const defaultAttempts = 4

func (s *State) maxAttempts(j *jobs.Job) int {
	if s.manifest != nil {
		if q, ok := s.manifest.Queue(j.Spec.GetQueue()); ok && q.MaxAttempts > 0 {
			return q.MaxAttempts
		}
	}
	return defaultAttempts
}

// service is whose workers run a job now: what the manifest says of its queue,
// or, when that is gone, what it said when the job was accepted.
func (s *State) service(j *jobs.Job) string {
	if s.manifest != nil {
		if q, ok := s.manifest.Queue(j.Spec.GetQueue()); ok {
			return q.Service
		}
	}
	return j.Spec.GetService()
}

// guards says whether a service's workers refuse what does not fit.
func (s *State) guards(service string) bool {
	if s.manifest != nil {
		if v, ok := s.manifest.Service(service); ok {
			return v.Guards
		}
	}
	return false
}

// ------------------------------------------------------------------ stops

// stopAgain is how long a stop may go unanswered before it is sent again.
const stopAgain = 500 * time.Millisecond

// stop asks a worker to end a run. The run counts until its end is seen.
func (s *State) stop(now time.Time, w *workers.Worker, r *jobs.Run, why string) {
	if r.State == jobs.Stopping && now.Sub(r.StopSentAt) < stopAgain {
		return
	}
	if r.State != jobs.Stopping {
		s.note(Note{
			What: NoteStop, Job: r.Task.Unit.Job.Spec.GetId(), Task: r.Task.Name(), Run: r.Number, Worker: w.ID,
			Detail: fmt.Sprintf("%s, at %d%%", why, r.Percent), AgeMs: runAge(now, r),
		})
	}
	if r.AckedAt.IsZero() {
		r.AckedAt = now
	}
	r.State, r.StopSentAt, r.Why = jobs.Stopping, now, why
	s.emit(SendStop{To: target(w), Stop: workers.Stop{Fence: s.epoch, Task: r.Task.Name(), Run: r.Number}, Timeout: s.orders.Timeout()})
}

// stopUnwanted asks for the end of runs whose job has ended or whose task is
// done, and repeats stops that brought nothing.
func (s *State) stopUnwanted(now time.Time) {
	for _, w := range s.sorted() {
		if w.Gone || !w.SilentSince.IsZero() {
			continue
		}
		for _, r := range w.Runs {
			switch {
			case r.State == jobs.Stopping:
				s.stop(now, w, r, r.Why)
			case r.State == jobs.Sent || r.State == jobs.Unsure:
				// A stop that overtakes the start does nothing.
			case r.Task.Unit.Job.Ended():
				s.stop(now, w, r, "its job has ended")
			case r.Task.Done && !r.Task.Unit.Spec.GetGang():
				s.stop(now, w, r, "its task is done")
			}
		}
	}
}

func (s *State) takeStopAnswered(now time.Time, e StopAnswered) {
	w := s.workers[e.Worker]
	if w == nil || e.Err != nil {
		return
	}
	s.answered(now, w, e.Reply)
}

// answered takes in what every answer of a worker tells.
func (s *State) answered(now time.Time, w *workers.Worker, r workers.Reply) {
	if r.Clock > 0 {
		w.TakeClock(now, r.Clock)
	}
	switch r.Refusal {
	case workers.RefusedFence:
		s.emit(StepDown{Why: "worker " + w.ID + " knows a higher epoch"})
	case workers.RefusedLife:
		s.lifeOver(now, w, "another life answers at its address")
	case workers.RefusedBegun:
		s.lookFailed(now, w, "another life answers under its id")
		w.LookAnew(now)
	default:
	}
}
