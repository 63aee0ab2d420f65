package cell

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// The runs that workers list as active, and how they change the runs that the leader knows.

// reconcileActive compares a worker's list of active runs with the runs that the leader knows there. It adopts or
// stops runs that only the worker lists, and presumes runs over that the worker should list and does not.
func (s *State) reconcileActive(now time.Time, w *workers.Worker, e PollAnswered) {
	listed := map[*jobs.Run]bool{}
	foreign := ledger.Size{}
	w.NewOrphanedRuns = nil
	for _, a := range e.Report.Active {
		r := s.matchOrAdopt(now, w, a, e.Report.Clock)
		if r == nil {
			t := s.taskNamed(a.Task)
			if t != nil {
				foreign = foreign.Plus(workers.ReservedSize(t.Unit))
			}
			if endedBefore := t == nil || t.Unit.Job.Ended(); endedBefore && s.unsafe.NoLateStops {
				continue
			}
			if t != nil || s.keepOrphanedRun(now, w, a) {
				s.stopUnadopted(w, a)
			}
			continue
		}
		listed[r] = true
		r.ListedClock = e.Report.Clock
		if r.BeganClock == 0 {
			r.BeganClock = e.Report.Clock
		}
		s.settleListedRun(w, r, e.SentAt)
		s.updateRun(now, w, r, a)
	}
	w.SetForeignSize(foreign)
	w.OrphanedRuns, w.NewOrphanedRuns = w.NewOrphanedRuns, nil
	if e.Report.UnreadableLines != w.UnreadableLines {
		w.UnreadableLines = e.Report.UnreadableLines
		s.note(Note{Kind: NoteUnreadable, Worker: w.ID, Detail: fmt.Sprintf("%d unreadable lines in its lists", e.Report.UnreadableLines), AgeMs: -1})
	}
	w.MoreEnds = e.Report.MoreEnds
	if w.UnreadableLines > 0 || w.MoreEnds {
		return // a run that seems to be missing may be on an unreadable line, or have ended
	}
	for _, r := range w.Runs {
		if listed[r] {
			continue
		}
		switch {
		case r.State == jobs.Sent:
			// The order may still be on its way.
		case r.State == jobs.Unanswered:
			// Use the clock in this answer, not its estimate for now: the answer may have waited here, and
			// the order may have reached the worker meanwhile.
			if workers.ClockPassed(e.Report.Clock, r.ValidUntil) {
				s.dropUnstartedRun(now, w, r)
			}
		case r.AckedAt.Before(e.SentAt):
			s.loseRun(now, w, r, "no longer listed by its worker")
		}
	}
}

// matchOrAdopt returns the run that a line of a worker's list is about. It adopts an unknown run, which an earlier
// leader started. It returns nil if the task is unknown, or if the run must not go on.
// clock is the reading of the worker's clock in the list, 0 if it is not known.
func (s *State) matchOrAdopt(now time.Time, w *workers.Worker, a workers.Active, clock time.Duration) *jobs.Run {
	t := s.taskNamed(a.Task)
	if t == nil {
		return nil
	}
	if r := t.Run(a.Run, w.ID); r != nil {
		if r.State == jobs.Sent || r.State == jobs.Unanswered {
			s.runBegan(now, r, clock)
		}
		return r
	}
	if t.Done || t.Unit.Job.Ended() || !mayAdopt(t) {
		return nil
	}
	r := &jobs.Run{
		Task: t, Number: a.Run, Worker: w.ID, At: incarnationOf(w), State: jobs.Running, SentAt: now, AckedAt: now,
		BeganAt: now, ProgressAt: now, Percent: a.Percent, Pace: 100, PaceWanted: 100, Resumed: true, Adopted: true, Isolated: s.needsIsolation(t),
	}
	if t.Unit.Spec.GetFiller() {
		r.Pace = jobs.PaceUnknown // the earlier leader may have paused it
	}
	t.Runs = append(t.Runs, r)
	t.MayHaveRun = true
	w.Add(r)
	s.runBegan(now, r, clock)
	s.note(Note{Kind: NoteAdopted, Job: t.Unit.Job.Spec.GetId(), Task: a.Task, Run: a.Run, Worker: w.ID, AgeMs: -1})
	s.updateWaiting(now, t.Unit.Job)
	return r
}

// earlierPollWindow is how long after its first answer to this leader a worker may still answer a poll of an earlier
// leader with a list. A poll that reached the worker before this leader's fence waits there for as long as any poll
// may.
const earlierPollWindow = idlePollWait + 300*time.Millisecond

// settleListedRun settles the lasting task of a run that its worker lists, once no poll of an earlier leader can be
// answered there any more. The task has no other run while this one goes on, and an earlier leader would start the task
// again only after it had received the end of this run. Other tasks are not settled here: a failure that counts towards
// their attempts may not have been reported yet.
func (s *State) settleListedRun(w *workers.Worker, r *jobs.Run, sentAt time.Time) {
	if t := r.Task; !t.Settled && t.Unit.Lasting() && !t.Unit.Spec.GetCopies() && sentAt.Sub(w.FirstAnswerAt) >= earlierPollWindow {
		t.Settled = true
	}
}

// mayAdopt reports whether a run of a task that a worker lists may go on: the task has no other run, or allows copies.
func mayAdopt(t *jobs.Task) bool { return len(t.Runs) == 0 || t.Unit.Spec.GetCopies() }

// runBegan marks a run as running and its job as begun. clock is the reading of the worker's clock by then.
func (s *State) runBegan(now time.Time, r *jobs.Run, clock time.Duration) {
	r.State = jobs.Running
	if r.BeganClock == 0 {
		r.BeganClock = clock
	}
	if r.AckedAt.IsZero() {
		r.AckedAt = now
	}
	if r.BeganAt.IsZero() {
		r.BeganAt, r.ProgressAt = now, now
	}
	s.updateRecordedWait(now, r.Task)
	j := r.Task.Unit.Job
	if j.HasStarted {
		return
	}
	j.HasStarted = true
	if j.ProgressVersion != 0 {
		s.recordBegin(j)
	}
}

// recordBegin has the table record that a job has begun whose row does not say so, as the row would be taken for that of a
// job that waits. A job without a row is not recorded. A leader that releases leaves it to its successor, which hears of the
// run from its worker.
func (s *State) recordBegin(j *jobs.Job) {
	if s.phase == leading && !j.Delegated() && !j.Ended() {
		s.markDirty(j, false)
	}
}

// stopUnadopted orders a worker to stop a run that belongs to no job of this cell, or that its task may not have.
func (s *State) stopUnadopted(w *workers.Worker, a workers.Active) {
	s.note(Note{Kind: NoteStop, Task: a.Task, Run: a.Run, Worker: w.ID, Detail: "no task of this cell may have this run", AgeMs: -1})
	s.emit(SendStop{To: target(w), Stop: workers.Stop{Fence: s.epoch, Task: a.Task, Run: a.Run}, Timeout: s.startWindow.Timeout()})
}

// taskNamed returns the task that workers list under a name, or nil if it is unknown.
func (s *State) taskNamed(name string) *jobs.Task {
	id, ok := jobs.ParseTaskName(name)
	if !ok {
		return nil
	}
	j := s.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.Task(id.Time, id.Step, id.Index)
}

// updateRun updates a run from a line of its worker's list: progress, checkpoint, and the tail latency or the
// processors in use. Progress may end the quarantine of the worker.
func (s *State) updateRun(now time.Time, w *workers.Worker, r *jobs.Run, a workers.Active) {
	if a.Percent != r.Percent {
		if a.Percent > r.Percent && (w.Health.Progressed() || (r.Task.Unit.Lasting() && a.Percent >= 100 && w.Health.RunSucceeded())) {
			s.note(Note{Kind: NoteWorkerBack, Worker: w.ID, Detail: "a run makes progress", AgeMs: -1})
		}
		r.Percent, r.ProgressAt = a.Percent, now
	}
	if a.Checkpoint != "" {
		r.Task.Checkpoint = a.Checkpoint
	}
	if r.Task.Unit.Spec.GetTailTargetMs() > 0 {
		r.TailLatency = time.Duration(a.Reading) * time.Millisecond
	} else {
		r.UsedMillicores = a.Reading
	}
}
