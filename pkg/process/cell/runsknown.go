package cell

import (
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Members whose runs are known. A worker that leaves gets no more work, and one that is silent gets none for now, so
// the membership can name the tasks that may run there. A successor that does not hear such a worker holds back these
// tasks only; if the worker has crashed, it accuses no others. A worker gets work again only after a membership
// without its tasks has been recorded.

// mayRunMost bounds the tasks that the membership names, in all: what most workers of a cell hold that are cut off
// together is not worth its bytes.
const mayRunMost = 512

// noteKnownRuns works out at which members the runs are known. Their runs only become fewer.
func (s *State) noteKnownRuns(now time.Time) {
	named := 0
	for _, w := range s.sorted() {
		switch {
		case w.Gone || w.Dropped:
			continue
		case !w.Heard:
			// What earlier leaders said of it holds.
		case w.RunsKnown && !s.getsNoWork(now, w):
			w.RunsKnown, w.MayRun, w.SureFrom = false, nil, now
			s.placeNow = true
		case s.getsNoWork(now, w) && s.knowsRuns(w) && named+len(w.Runs) <= mayRunMost:
			w.RunsKnown, w.MayRun = true, tasksAt(w)
		}
		named += len(w.MayRun)
	}
}

// getsNoWork says whether a worker gets no work now, and none later without being told of first. A table that does not
// answer would keep a worker that is heard again from work for as long.
func (s *State) getsNoWork(now time.Time, w *workers.Worker) bool {
	return w.Leaving || (w.Failures >= failuresSilent && (w.RunsKnown || s.tableAnswers(now)))
}

// knowsRuns says whether all that a worker may hold is among its runs.
func (s *State) knowsRuns(w *workers.Worker) bool {
	return w.HoldsNoOthers() && s.recordedEnd(w) >= w.Seen
}

// tasksAt are the names of the tasks that may have a run at a worker, sorted.
func tasksAt(w *workers.Worker) []string {
	list := make([]string, 0, len(w.Runs))
	for _, r := range w.Runs {
		list = append(list, r.Task.Name())
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// mayHaveRunAt says whether a task may have run at a worker of the membership.
func mayHaveRunAt(e *wire.RosterEntry, t *jobs.Task) bool {
	return !e.GetRunsKnown() || slices.Contains(e.GetMayRun(), t.Name())
}

// heldBack are the tasks that may run at workers that are not heard; known is false where any task may.
func (s *State) heldBack(now time.Time) (tasks map[string]bool, known bool) {
	tasks = map[string]bool{}
	for id := range s.unsettled {
		w := s.workers[id]
		if w == nil || s.surelyOver(now, w) {
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

// newSettled says whether no earlier leader can have started what comes to be known here from now on.
func (s *State) newSettled() bool { return s.settled || s.othersSettled || s.unsafe.NoSettling }

// holdBackNamed holds back those tasks of a job which may run at workers that are not heard: an earlier leader may have
// known of them before they came to be known here, as of a time that fell due by its clock.
func (s *State) holdBackNamed(j *jobs.Job) {
	if len(s.mayRunUnheard) == 0 {
		return
	}
	for _, u := range j.Units {
		for _, t := range u.Tasks {
			if s.mayRunUnheard[t.Name()] && !t.Done && len(t.Runs) == 0 {
				t.Settled = false
			}
		}
	}
}
