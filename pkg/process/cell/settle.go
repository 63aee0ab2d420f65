package cell

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Settling after a takeover: the leader finds out which runs earlier leaders started. A worker that answers lists its
// runs. The runs of a worker that does not answer have certainly ended once its lease has ended. A task is
// settled, and may start if no worker lists it, once no earlier run of it can go on unknown to this leader.

// earlierRunsOver reports whether the runs that earlier leaders started at a worker which
// has not answered have certainly ended: its leases must have ended before leadership
// was last confirmed. A worker that never answered has leases of earlier leaders
// only. A worker that answered while the jobs were being read also has a lease of this
// leader, and still has to list its runs.
func (s *State) earlierRunsOver(now time.Time, w *workers.Worker) bool {
	confirmed := s.leadershipLastConfirmed(now)
	if confirmed.Before(s.lastLeaseEndAt(w.ID)) {
		return false
	}
	return !w.HasClock() || (!w.SilentSince.IsZero() && w.LeaseExpired(confirmed))
}

// settle ends the wait for members that have not answered. It has no effect while any task may still run at one of
// them. After that it settles all tasks but those that the membership names there.
func (s *State) settle(now time.Time) {
	if s.settled {
		return
	}
	for id := range s.awaitedMembers {
		w := s.workers[id]
		if w == nil || w.HasListedAll() {
			delete(s.awaitedMembers, id)
		}
	}
	heldBack, known := s.tasksHeldBack(now)
	if !known {
		return
	}
	s.settled, s.unnamedSettled, s.heldBackTasks = s.allEarlierRunsOver(now), true, heldBack
	s.settleExcept(now, heldBack)
}

// allEarlierRunsOver reports whether all runs at members that have not answered have certainly ended.
func (s *State) allEarlierRunsOver(now time.Time) bool {
	for id := range s.awaitedMembers {
		if !s.earlierRunsOver(now, s.workers[id]) {
			return false
		}
	}
	return true
}

// settleExcept settles all tasks but those in heldBack, which may run at members that have not answered. It records
// crash evidence against tasks that may have run where a member's incarnation has ended.
func (s *State) settleExcept(now time.Time, heldBack map[string]bool) {
	listedNowhere, settled := 0, 0
	var mayHaveRun []*jobs.Task
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j, changed := s.jobs[id], false
		for _, u := range j.Units {
			for _, t := range u.Tasks {
				if t.Settled || heldBack[t.Name()] {
					continue
				}
				t.Settled, changed = true, true
				settled++
				t.MayHaveRun = t.MayHaveRun || s.mayHaveRunAtUnreached(t)
				recorded := s.addLostStart(now, t)
				s.resolveUnreachedAt(now, t)
				if !recorded && len(t.Runs) == 0 && !t.Done && t.DelegatedTo == "" && u.MayHaveStarted() && !j.Ended() {
					mayHaveRun = append(mayHaveRun, t)
				}
				if len(t.Runs) == 0 && j.HasStarted {
					listedNowhere++
				}
				if u.Lasting() && len(t.Runs) == 0 && t.DelegatedTo == "" && !j.Ended() {
					s.recordWait(t)
				}
			}
		}
		if changed {
			s.updateWaiting(now, j)
		}
	}
	if s.settled {
		s.keepUnreachedMembers(mayHaveRun)
	}
	s.addUnobservedEvidence(now, mayHaveRun)
	if s.settled {
		s.markUnreachedAt()
	}
	if !s.settled && settled == 0 {
		return
	}
	s.note(Note{Kind: NoteSettled, Detail: fmt.Sprintf("%d tasks found nowhere, %d workers not heard, %d tasks may run there", listedNowhere, len(s.awaitedMembers), len(heldBack)), AgeMs: -1})
}

// mayHaveRunAtUnreached reports whether a task may have run at a member that has not answered.
func (s *State) mayHaveRunAtUnreached(t *jobs.Task) bool {
	for id := range s.awaitedMembers {
		if mayHaveRunAt(s.retainedMembers[id], t) {
			return true
		}
	}
	return false
}
