package cell

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// What a worker lists as running, against what is believed to run there.

// takeActive compares what the worker lists with what is believed to run there.
func (s *State) takeActive(now time.Time, w *workers.Worker, e Looked) {
	listed := map[*jobs.Run]bool{}
	foreign := ledger.Size{}
	w.NewStrays = nil
	for _, a := range e.Report.Active {
		r := s.matchActive(now, w, a)
		if r == nil {
			t := s.task(a.Task)
			if t != nil {
				foreign = foreign.Plus(workers.Reserved(t.Unit))
			}
			if t != nil || s.keepStray(now, w, a) {
				s.stopForeign(w, a)
			}
			continue
		}
		listed[r] = true
		s.settleListed(w, r, e.SentAt)
		s.takeReading(now, w, r, a)
	}
	w.SetForeign(foreign)
	w.Strays, w.NewStrays = w.NewStrays, nil
	if e.Report.Odd != w.Odd {
		w.Odd = e.Report.Odd
		s.note(Note{What: NoteUnreadable, Worker: w.ID, Detail: fmt.Sprintf("%d lines of its lists", e.Report.Odd), AgeMs: -1})
	}
	if w.Odd > 0 {
		return // a run that seems to be missing may be in one of these
	}
	for _, r := range w.Runs {
		if listed[r] {
			continue
		}
		switch {
		case r.State == jobs.Sent:
			// The order may still be on its way.
		case r.State == jobs.Unsure:
			// By the clock in this very answer, not by what the clock must show
			// now: the answer may have waited here, and the order come meanwhile.
			if workers.Passed(e.Report.Clock, r.ValidUntil) {
				s.loseRun(now, w, r, "never begun, and its order is too old now")
			}
		case r.AckedAt.Before(e.SentAt):
			s.loseRun(now, w, r, "no longer listed by its worker")
		}
	}
}

// matchActive finds the run that a line of the list is about. A run of an
// earlier leader is taken over.
func (s *State) matchActive(now time.Time, w *workers.Worker, a workers.Active) *jobs.Run {
	t := s.task(a.Task)
	if t == nil {
		return nil
	}
	if r := t.Run(a.Run, w.ID); r != nil {
		if r.State == jobs.Sent || r.State == jobs.Unsure {
			s.began(now, r)
		}
		return r
	}
	if t.Done || t.Unit.Job.Ended() || !mayAdopt(t) {
		return nil
	}
	r := &jobs.Run{
		Task: t, Number: a.Run, Worker: w.ID, State: jobs.Running, SentAt: now, AckedAt: now,
		BeganAt: now, ProgressAt: now, Percent: a.Percent, Pace: 100, PaceWanted: 100, Resumed: true, OnTrial: s.triedAlone(t),
	}
	if t.Unit.Spec.GetFiller() {
		r.Pace = jobs.PaceUnknown // its leader may have made it stand still
	}
	t.Runs = append(t.Runs, r)
	t.Tried = true
	w.Add(r)
	s.began(now, r)
	s.note(Note{What: NoteAdopted, Job: t.Unit.Job.Spec.GetId(), Task: a.Task, Run: a.Run, Worker: w.ID, AgeMs: -1})
	s.touch(now, t.Unit.Job)
	return r
}

// earlierPolls is how long after a worker was first heard it may still answer a poll of an earlier leader
// with a list: one that came before this leader's fence waits as long as a poll may.
const earlierPolls = idleWait + 300*time.Millisecond

// settleListed settles the lasting task of a run that its worker lists: while one goes on there is no other. An
// earlier leader may start it anew only if it sees this one's end, which no poll of it shows any more. (Of
// other tasks, a failure that counts may still be unseen.)
func (s *State) settleListed(w *workers.Worker, r *jobs.Run, sentAt time.Time) {
	if t := r.Task; !t.Settled && t.Unit.Lasting() && !t.Unit.Spec.GetCopies() && sentAt.Sub(w.HeardAt) >= earlierPolls {
		t.Settled = true
	}
}

// mayAdopt says whether a run that a worker lists may go on: not beside
// another run of its task, unless copies may.
func mayAdopt(t *jobs.Task) bool { return len(t.Runs) == 0 || t.Unit.Spec.GetCopies() }

func (s *State) began(now time.Time, r *jobs.Run) {
	r.State = jobs.Running
	if r.AckedAt.IsZero() {
		r.AckedAt = now
	}
	if r.BeganAt.IsZero() {
		r.BeganAt, r.ProgressAt = now, now
	}
	j := r.Task.Unit.Job
	if !j.Begun {
		j.Begun = true
	}
}

// stopForeign asks for the end of a run that belongs to no job of this cell.
func (s *State) stopForeign(w *workers.Worker, a workers.Active) {
	s.note(Note{What: NoteStop, Task: a.Task, Run: a.Run, Worker: w.ID, Detail: "no task of this cell may run so", AgeMs: -1})
	s.emit(SendStop{To: target(w), Stop: workers.Stop{Fence: s.epoch, Task: a.Task, Run: a.Run}, Timeout: s.orders.Timeout()})
}

// task finds a task by its name at workers.
func (s *State) task(name string) *jobs.Task {
	id, ok := jobs.ParseTask(name)
	if !ok {
		return nil
	}
	j := s.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.Task(id.Time, id.Step, id.Index)
}

func (s *State) takeReading(now time.Time, w *workers.Worker, r *jobs.Run, a workers.Active) {
	if a.Percent != r.Percent {
		if a.Percent > r.Percent && (w.Health.Moved() || (r.Task.Unit.Lasting() && a.Percent >= 100 && w.Health.Worked())) {
			s.note(Note{What: NoteWorkerBack, Worker: w.ID, Detail: "a run moves on", AgeMs: -1})
		}
		r.Percent, r.ProgressAt = a.Percent, now
	}
	if a.Checkpoint != "" {
		r.Task.Checkpoint = a.Checkpoint
	}
	if r.Task.Unit.Spec.GetTailTargetMs() > 0 {
		r.Tail = time.Duration(a.Reading) * time.Millisecond
	} else {
		r.UsedMillicores = a.Reading
	}
}
