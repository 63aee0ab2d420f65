package cell

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Settling after a takeover: the leader finds out which runs earlier leaders started. Workers list them, or they have
// surely ended because the worker's lease has. A task is settled, and may start if no worker lists it, once no earlier
// run of it can go on unknown to this leader.

// surelyOver says whether the runs that earlier leaders started at a worker which
// has not answered have surely ended: its leases must have ended before leadership
// was last confirmed. A worker that never answered has leases of earlier leaders
// only. A worker that answered while the jobs were being read also has one of this
// leader, and its list is still to come.
func (s *State) surelyOver(now time.Time, w *workers.Worker) bool {
	confirmed := s.confirmed(now)
	if confirmed.Before(s.lastLeaseEndAt(w.ID)) {
		return false
	}
	return !w.Clocked() || (!w.SilentSince.IsZero() && w.LeaseOver(confirmed))
}

// settle ends the wait for members that have not answered. It has no effect while any task may still run at one of
// them. After that it settles all tasks but those that the membership names there.
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
	s.settled, s.othersSettled, s.mayRunUnheard = s.allEarlierRunsOver(now), true, held
	s.settleExcept(now, held)
}

// allEarlierRunsOver says whether all runs at members that have not answered have surely ended.
func (s *State) allEarlierRunsOver(now time.Time) bool {
	for id := range s.unsettled {
		if !s.surelyOver(now, s.workers[id]) {
			return false
		}
	}
	return true
}

// settleExcept settles all tasks but those in held, which may run at members that have not answered. It records crash
// evidence against tasks that may have run where a member's incarnation has ended.
func (s *State) settleExcept(now time.Time, held map[string]bool) {
	listedNowhere, settled := 0, 0
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
				t.Tried = t.Tried || s.mayHaveRunAtUnreached(t)
				if !s.trialNowhere(now, t) && len(t.Runs) == 0 && !t.Done && t.LentTo == "" && u.MayHaveBegun() && !j.Ended() {
					mayHaveRun = append(mayHaveRun, t)
				}
				if len(t.Runs) == 0 && j.Begun {
					listedNowhere++
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
	s.note(Note{What: NoteSettled, Detail: fmt.Sprintf("%d tasks found nowhere, %d workers not heard, %d tasks may run there", listedNowhere, len(s.unsettled), len(held)), AgeMs: -1})
}

// mayHaveRunAtUnreached says whether a task may have run at a member that has not answered.
func (s *State) mayHaveRunAtUnreached(t *jobs.Task) bool {
	for id := range s.unsettled {
		if mayHaveRunAt(s.earlier[id], t) {
			return true
		}
	}
	return false
}
