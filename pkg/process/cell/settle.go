package cell

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Settling: what earlier leaders started is known, or surely over, so that what is found nowhere may start.

// surelyOver says whether what earlier leaders started at a worker that has not
// been heard is over. One that never answered was granted time by forerunners
// only, until settleBy; one that has answered, while the jobs were being read,
// was granted time by this leader too, and its list is still to come.
func (s *State) surelyOver(now time.Time, w *workers.Worker) bool {
	confirmed := s.confirmed(now)
	if confirmed.Before(s.lastGrantAt(w.ID)) {
		return false
	}
	return !w.Clocked() || (!w.SilentSince.IsZero() && w.LeaseOver(confirmed))
}

// settle ends the waiting for workers that have not been heard.
func (s *State) settle(now time.Time) {
	if s.settled {
		return
	}
	for id := range s.unsettled {
		w := s.workers[id]
		if w == nil || w.Heard {
			delete(s.unsettled, id)
		}
	}
	held, known := s.heldBack(now)
	if !known {
		return
	}
	s.settled, s.othersSettled, s.mayRunUnheard = s.unheardOver(now), true, held
	s.settleBut(now, held)
}

// unheardOver says whether all that ran at workers which are not heard is over.
func (s *State) unheardOver(now time.Time) bool {
	for id := range s.unsettled {
		if !s.surelyOver(now, s.workers[id]) {
			return false
		}
	}
	return true
}

// settleBut settles all tasks but those that may run at workers which are not heard.
func (s *State) settleBut(now time.Time, held map[string]bool) {
	nowhere, settled := 0, 0
	var mayHaveRun []*jobs.Task
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j, changed := s.jobs[id], false
		for _, u := range j.Units {
			for _, t := range u.Tasks {
				if t.Settled || held[t.Name()] {
					continue
				}
				t.Settled, changed = true, true
				settled++
				t.Tried = t.Tried || s.mayHaveRunUnheard(t)
				if !s.trialNowhere(now, t) && len(t.Runs) == 0 && !t.Done && t.LentTo == "" && u.MayHaveBegun() && !j.Ended() {
					mayHaveRun = append(mayHaveRun, t)
				}
				if len(t.Runs) == 0 && j.Begun {
					nowhere++
				}
			}
		}
		if changed {
			s.touch(now, j)
		}
	}
	if s.settled {
		s.rememberUnheard(mayHaveRun)
	}
	s.blameUnseen(now, mayHaveRun)
	if !s.settled && settled == 0 {
		return
	}
	s.note(Note{What: NoteSettled, Detail: fmt.Sprintf("%d tasks found nowhere, %d workers not heard, %d tasks may run there", nowhere, len(s.unsettled), len(held)), AgeMs: -1})
}

// mayHaveRunUnheard says whether a task may have run at a worker that was not heard.
func (s *State) mayHaveRunUnheard(t *jobs.Task) bool {
	for id := range s.unsettled {
		if mayHaveRunAt(s.earlier[id], t) {
			return true
		}
	}
	return false
}
