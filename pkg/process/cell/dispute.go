package cell

import (
	"fmt"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Ends in dispute. A worker that answers no more is waited for until its lease is over;
// then its tasks start again elsewhere. If one of them had ended well just before, the
// worker lists that end when it is heard again. To acknowledge it would be to say that
// the task had been done when its second run started. An end doesn't count once the
// lease has run out and ended something after it; a lease that ran out where nothing ran
// any more leaves no trace at the worker. So such an end is not acknowledged, and the
// worker's lease not renewed, until the worker lists a run that its lease has ended. For
// that it gets one run that surely outlasts an order's own lease.
//
// What it costs: one run of some seconds, and the worker's other room for as long.

const (
	// sacrificeLeast is how long a run must be expected to take to outlast the lease that
	// comes with its order, by half as much again.
	sacrificeLeast = startValid + startValid/2
	lacksDispute   = lack("an end in dispute")
)

// startedAgain says whether a task has had a run after the given one, or may have had one
// under an earlier leader, which took the given one for over. Copies may.
func (s *State) startedAgain(task string, run int64) bool {
	id, ok := jobs.ParseTask(task)
	j := s.jobs[id.Job]
	if !ok || j == nil {
		return false
	}
	t := j.Task(id.Time, id.Step, id.Index)
	switch {
	case t == nil: // the job has ended, and its steps are not known any more
		return j.HasLapsed(id, run)
	case t.Unit.Spec.GetCopies() || t.Unit.Lasting():
		return false
	}
	return t.Newest > run || (t.Newest < run && j.HasLapsed(id, run))
}

// noteLapse has a task's runs up to a number recorded as taken for over by a lease alone,
// for successors.
func (s *State) noteLapse(t *jobs.Task, run int64) {
	t.Unit.Job.NoteLapse(t, run)
	s.markDirty(t.Unit.Job, false)
}

// dispute notes that an end of a worker must not be acknowledged.
func (s *State) dispute(w *workers.Worker, task string, run, number int64) {
	if s.unsafe.NoDispute || number <= max(w.Recorded, w.Lapsed) || (w.Disputed != 0 && w.Disputed <= number) {
		return
	}
	w.Disputed = number
	s.note(Note{What: NoteDisputed, Task: task, Run: run, Worker: w.ID, Detail: fmt.Sprintf("end %d", number), AgeMs: -1})
}

// disputeDone disputes the end by which a task counts as done, if a later run of it
// comes to light.
func (s *State) disputeDone(t *jobs.Task, run int64) {
	t.Newest = max(t.Newest, run)
	if t.DoneBy.Worker == "" || !s.startedAgain(t.Name(), t.DoneBy.Run) {
		return
	}
	if w := s.workers[t.DoneBy.Worker]; w != nil {
		s.dispute(w, t.Name(), t.DoneBy.Run, t.DoneBy.Number)
	}
}

// takeLapse takes in that a worker's lease has ended a run: what it listed before does
// not count any more, whoever acknowledges it.
func (s *State) takeLapse(w *workers.Worker, number int64) {
	w.Lapsed = max(w.Lapsed, number)
	if w.Disputed < number {
		w.Disputed = 0
	}
}

// mayLapse says whether a unit's task may go to a worker with an end in dispute: alone,
// and long enough to be ended by the lease that comes with its order.
func (s *State) mayLapse(u *jobs.Unit, w *workers.Worker) bool {
	return !u.Lasting() && !u.Spec.GetGang() && len(w.Runs) == 0 && s.taskTime(u) >= sacrificeLeast
}

// mayAcknowledge bounds up to which end a worker's may be acknowledged. Before all
// workers were heard that an earlier leader could have used, an end may turn out to be
// disputed.
func (s *State) mayAcknowledge(w *workers.Worker) int64 {
	upTo := w.Seen
	if w.Disputed != 0 {
		upTo = min(upTo, w.Disputed-1)
	}
	if w.Inherited != 0 && !s.settled && !s.unsafe.NoDispute {
		upTo = min(upTo, w.Inherited-1)
	}
	return upTo
}

// takeInherited notes the first end of a run that an earlier leader has ordered.
func (s *State) takeInherited(w *workers.Worker, e workers.End) {
	if !s.settled && w.Inherited == 0 && e.How == workers.EndedDone && e.Run <= s.epoch*runsPerEpoch {
		w.Inherited = e.Number
	}
}

// renewable says whether a worker's lease may be renewed.
func renewable(w *workers.Worker) bool {
	return w.Clocked() && w.SilentSince.IsZero() && w.Disputed == 0
}
