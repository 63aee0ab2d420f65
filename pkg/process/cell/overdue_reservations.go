package cell

import (
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Reservations of workers for overdue lasting tasks. What becomes free beside urgent load is as large as a short task, and the
// next short task takes it, so a larger lasting task would wait for as long as the load lasts.

// lateAfter is the time without a run from which a lasting task is late by the platform's rules.
const lateAfter = 6 * time.Second

// overdueReservation is the worker that takes no short tasks until an overdue task fits there.
type overdueReservation struct {
	task   *jobs.Task
	worker *workers.Worker
}

// renewOverdueReservations renews the reservations for overdue tasks that still wait, for one placement pass.
func (s *State) renewOverdueReservations(now time.Time, usable []*workers.Worker) {
	for service, r := range s.overdueReservations {
		if r.task.Waiting(now) && overdue(now, r.task) && slices.Contains(usable, r.worker) && s.mayReserve(r.task.Unit, service, r.worker) {
			s.reservedForLasting[r.worker] = true
		} else {
			delete(s.overdueReservations, service)
		}
	}
}

// placeOverdue starts an overdue lasting task at any worker on which it fits, or reserves a worker for it. Urgent tasks keep the
// others: of each service, one worker of the cell is reserved at a time. It reports whether the task need not wait.
func (s *State) placeOverdue(now time.Time, t *jobs.Task, service string, usable []*workers.Worker) bool {
	w := s.chooseWorker(now, t, service, usable)
	if w == nil {
		if _, reserved := s.overdueReservations[service]; !reserved && !t.NeedsSpecificWorker() && now.Sub(withoutRunSince(t)) >= lateAfter {
			if w := s.reserveWorker(t.Unit, service, usable); w != nil {
				s.overdueReservations[service] = overdueReservation{t, w}
			}
		}
		return false
	}
	if s.awaitsStartRecord(t, w) {
		s.reserveForRecord(now, t, w)
		return true
	}
	s.startRun(now, w, t, s.nextRunNumber(), s.ticket(t.Unit, w))
	return true
}
