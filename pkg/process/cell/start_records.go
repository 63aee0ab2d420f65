package cell

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Start records. A task that may have crashed a worker starts only after the table holds a record that names the worker
// incarnation. A crash under such a run is known to a successor even if the leader ends with the worker. So only the
// first crash of a task can be one of which nothing is recorded.

// awaitsStartRecord reports whether the start of a task at a worker has to wait for its record. It requests the record
// if that has not been done.
func (s *State) awaitsStartRecord(t *jobs.Task, w *workers.Worker) bool {
	return t.NeedsStartRecord() && !s.startRecorded(t, w)
}

// startRecorded reports whether the table holds the record of a start of a task at the present incarnation of a worker.
// If that record was not requested yet, startRecorded requests it.
func (s *State) startRecorded(t *jobs.Task, w *workers.Worker) bool {
	if t.WantStartRecord(incarnationOf(w)) {
		s.markDirty(t.Unit.Job, true)
	}
	return t.StartRecord == jobs.StartRecorded || s.unsafe.NoTrialRecord
}

// incarnationOf returns a worker's present incarnation.
func incarnationOf(w *workers.Worker) jobs.Incarnation {
	return jobs.Incarnation{Worker: w.ID, Born: w.Born, Host: w.Host}
}

// awaitedStart is capacity of a worker that is reserved for a start which awaits its record.
type awaitedStart struct {
	worker *workers.Worker
	run    *jobs.Run
}

// reserveForRecord reserves the capacity for a start that awaits its record, until the end of the placement pass. It
// reserves none while the table does not answer: other tasks can use the capacity meanwhile.
func (s *State) reserveForRecord(now time.Time, t *jobs.Task, w *workers.Worker) {
	if !s.tableAvailable(now) {
		return
	}
	r := &jobs.Run{Task: t, Worker: w.ID}
	w.Add(r)
	s.awaitedStarts = append(s.awaitedStarts, awaitedStart{w, r})
}

// releaseAwaitedStarts releases the capacity that reserveForRecord reserved.
func (s *State) releaseAwaitedStarts() {
	for _, a := range s.awaitedStarts {
		a.worker.Remove(a.run)
	}
	s.awaitedStarts = nil
}

// chosenBefore returns the worker for which the record of a task's start was requested, if the task may still start
// there, or nil. A change of the worker would cost another record.
func (s *State) chosenBefore(now time.Time, t *jobs.Task, service string, usable []*workers.Worker) *workers.Worker {
	if t.StartRecord == jobs.NoStartRecord {
		return nil
	}
	for _, w := range usable {
		if w.ID == t.StartAt.Worker && w.Born == t.StartAt.Born && s.fits(now, t.Unit, service, w) && !awaitsOtherHost(now, t, w, usable) && !startsBesideSuspect(t, w) {
			return w
		}
	}
	return nil
}
