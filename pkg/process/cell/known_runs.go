package cell

import (
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Members whose runs are known. A leaving worker gets no more work, and a silent worker gets none for now, so the
// membership row can name the tasks that may run there. A successor that gets no answer from such a worker holds back
// only these tasks, and if the worker has crashed, its end implicates only these tasks. The worker gets work again only
// after a membership row without its tasks has been recorded.

// maxNamedTasks bounds how many tasks the membership row names in all. If most workers of a cell are cut off together,
// naming all their tasks is not worth the size of the row.
const maxNamedTasks = 512

// updateKnownRuns updates RunsKnown and MayRun of each worker. No run starts at a worker while its RunsKnown is set, so
// its MayRun only shrinks.
func (s *State) updateKnownRuns(now time.Time) {
	named := 0
	for _, w := range s.workersByID() {
		switch {
		case w.Ended || w.DroppedFromMembership:
			continue
		case !w.HasListedAll():
			// The entry that earlier leaders wrote still applies.
		case w.RunsKnown && !s.excludedFromWork(now, w):
			w.RunsKnown, w.MayRun, w.UsableFrom = false, nil, now
			s.placementDue = true
		case s.excludedFromWork(now, w) && s.holdsOnlyKnownRuns(w) && named+len(w.Runs) <= maxNamedTasks:
			w.RunsKnown, w.MayRun = true, taskNamesAt(w)
		}
		named += len(w.MayRun)
	}
}

// excludedFromWork reports whether a worker gets no work now, and none later before a membership row without its tasks
// is recorded. It is false for a newly silent worker while the table does not answer: such a worker would otherwise get
// no work after it answers again until the table does, too.
func (s *State) excludedFromWork(now time.Time, w *workers.Worker) bool {
	return w.Leaving || (w.FailedPolls >= silentAfterFailures && (w.RunsKnown || s.tableAvailable(now)))
}

// holdsOnlyKnownRuns reports whether a worker is known to hold nothing but its known runs: no other run, and no end
// that is not recorded.
func (s *State) holdsOnlyKnownRuns(w *workers.Worker) bool {
	return w.OnlyKnownRuns() && s.lastRecordedEnd(w) >= w.LastEnd
}

// taskNamesAt returns the sorted names of the tasks that may have a run at a worker.
func taskNamesAt(w *workers.Worker) []string {
	list := make([]string, 0, len(w.Runs))
	for _, r := range w.Runs {
		list = append(list, r.Task.Name())
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// mayHaveRunAt reports whether a task may have run at a member, given the member's entry in the membership row.
func mayHaveRunAt(e *wire.RosterEntry, t *jobs.Task) bool {
	return !e.GetRunsKnown() || slices.Contains(e.GetMayRun(), t.Name())
}

// tasksHeldBack returns the names of the tasks that may still run at members which have not answered this leader. known
// is false if any task may run at one of them.
func (s *State) tasksHeldBack(now time.Time) (tasks map[string]bool, known bool) {
	tasks = map[string]bool{}
	for id := range s.awaitedMembers {
		w := s.workers[id]
		if w == nil || s.earlierRunsOver(now, w) {
			continue
		}
		if !w.RunsKnown {
			return nil, false
		}
		for _, task := range w.MayRun {
			tasks[task] = true
		}
	}
	return tasks, true
}

// newTasksSettled reports whether tasks that become known here from now on may start at once: no earlier leader can
// have started them, except those that holdBackTasks marks.
func (s *State) newTasksSettled() bool { return s.settled || s.unnamedSettled || s.unsafe.NoSettling }

// holdBackTasks marks as not settled the tasks of a job that may run at members which have not answered. An earlier
// leader may have known a task before it became known here: for example, an occurrence of a repeating job may have
// fallen due earlier by that leader's clock.
func (s *State) holdBackTasks(j *jobs.Job) {
	if len(s.heldBackTasks) == 0 {
		return
	}
	for _, u := range j.Units {
		for _, t := range u.Tasks {
			if s.heldBackTasks[t.Name()] && !t.Done && len(t.Runs) == 0 {
				t.Settled = false
			}
		}
	}
}
