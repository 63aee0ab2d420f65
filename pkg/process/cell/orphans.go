package cell

import (
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Orphaned runs and ends: those that workers list for tasks that this leader does not know. A predecessor may have
// started a job that reached the table after this leader had read it. So an orphaned run or end waits until the leader
// has read the cell's table again, from after the run or end was listed. If its job is known by then, the leader adopts
// the run and counts the end. Otherwise it belongs to no job: the run is stopped and the end acknowledged.

// TableCaughtUp says that the leader has received an event for each job that stood in the cell's table at the time At.
type TableCaughtUp struct{ At time.Time }

func (TableCaughtUp) event() {}

// takeTableCaughtUp drops the orphaned ends that belong to no job, so that they are acknowledged. A leader that releases has not
// taken the jobs that were read: they are its successor's.
func (s *State) takeTableCaughtUp(e TableCaughtUp) {
	if s.phase != leading {
		return
	}
	s.caughtUpAt = e.At
	for _, w := range s.workersByID() {
		w.OrphanedEnds = slices.DeleteFunc(w.OrphanedEnds, func(h workers.OrphanedEnd) bool { return h.At.Before(e.At) && !s.isNotYetDue(h.Task) })
	}
}

// isNotYetDue reports whether a task belongs to an occurrence of a repeating job that has not fallen due here. A
// predecessor may have opened the occurrence by a clock that was ahead, or a moment before the job became known here.
func (s *State) isNotYetDue(task string) bool {
	id, ok := jobs.ParseTaskName(task)
	if !ok {
		return false
	}
	j := s.jobs[id.Job]
	return j != nil && !j.Ended() && j.NotYetDue(id)
}

// keepOrphanedEnd keeps an orphaned end, which is not acknowledged meanwhile.
func (s *State) keepOrphanedEnd(now time.Time, w *workers.Worker, e workers.End) {
	w.OrphanedEnds = append(w.OrphanedEnds, workers.OrphanedEnd{End: e, At: now})
}

// keepOrphanedRun keeps an orphaned run that a worker lists. It returns whether the run belongs to no job, and so is to
// be stopped.
func (s *State) keepOrphanedRun(now time.Time, w *workers.Worker, a workers.Active) bool {
	if s.unsafe.NoStrays {
		return true
	}
	since := now
	if before, seen := w.OrphanedRuns[a.Task]; seen && before.Run == a.Run {
		since = before.Since
	}
	if w.NewOrphanedRuns == nil {
		w.NewOrphanedRuns = map[string]workers.OrphanedRun{}
	}
	w.NewOrphanedRuns[a.Task] = workers.OrphanedRun{Active: a, Since: since}
	return since.Before(s.caughtUpAt) && !s.isNotYetDue(a.Task)
}

// adoptOrphans adopts the orphaned runs of a job that has become known, or whose next occurrences have fallen due, and
// counts the orphaned ends whose tasks are known by now.
func (s *State) adoptOrphans(now time.Time, j *jobs.Job) {
	for _, w := range s.workersByID() {
		for _, task := range orphanedTasks(w, j) {
			s.matchOrAdopt(now, w, w.OrphanedRuns[task].Active, 0)
			delete(w.OrphanedRuns, task)
		}
		ends := w.OrphanedEnds
		w.OrphanedEnds = nil
		for _, end := range ends {
			if s.taskNamed(end.Task) == nil {
				w.OrphanedEnds = append(w.OrphanedEnds, end)
				continue
			}
			s.applyEnd(now, w, end.End)
		}
	}
}

// orphanedTasks returns the sorted names of a job's known tasks that have an orphaned run at a worker.
func orphanedTasks(w *workers.Worker, j *jobs.Job) []string {
	var list []string
	for task := range w.OrphanedRuns {
		id, ok := jobs.ParseTaskName(task)
		if ok && id.Job == j.Spec.GetId() && j.Task(id.Time, id.Step, id.Index) != nil {
			list = append(list, task)
		}
	}
	slices.Sort(list)
	return list
}
