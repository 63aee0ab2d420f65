package cell

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
)

// Bound on all waits of a lasting task together. Each wait for something better than a worker with capacity, such as an
// isolated run, has a bound of its own, which begins anew when another cell takes the task. The time without a run goes with
// the task, so this bound does not.

// overdueAfter is the time without a run after which a lasting task comes before all other work. It starts at any worker that it
// fits on then, once it has had overdueIsolatedWait for an isolated run if it needs one. By the platform's rules it is late after
// six seconds.
const overdueAfter = 4 * time.Second

// firstOverdue returns since when a task of a unit has been overdue, of several the first, and whether one is.
func firstOverdue(now time.Time, u *jobs.Unit) (since time.Time, found bool) {
	if !u.Lasting() {
		return time.Time{}, false
	}
	for _, t := range u.Tasks {
		if !t.Waiting(now) || !overdue(now, t) {
			continue
		}
		if at := withoutRunSince(t).Add(overdueAfter); !found || at.Before(since) {
			since, found = at, true
		}
	}
	return since, found
}

// overdue reports whether a lasting task that this cell has to run has been without a run for overdueAfter, over all cells
// that have held it. A task that may still run somewhere is not overdue.
func overdue(now time.Time, t *jobs.Task) bool {
	withoutRun := t.Settled && t.DelegatedTo == "" && len(t.Runs) == 0
	return t.Unit.Lasting() && withoutRun && now.Sub(withoutRunSince(t)) >= overdueAfter
}

// withoutRunSince returns since when a task is known to have had no run. A leader that does not know when the last run
// ended counts from its takeover: while it holds the task back, no other run of it can begin.
func withoutRunSince(t *jobs.Task) time.Time {
	switch {
	case !t.WaitingSince.IsZero():
		return t.WaitingSince
	case !t.TakenOverAt.IsZero():
		return t.TakenOverAt
	}
	return t.Unit.ReadyAt
}

// recordWait has the table record since when a task that no worker lists has had no run, so that further takeovers do not
// begin its wait anew.
func (s *State) recordWait(t *jobs.Task) {
	if t.WaitingSince.IsZero() && !t.TakenOverAt.IsZero() {
		s.markDirty(t.Unit.Job, false)
	}
}

// recordArrival has the table record since when the lasting tasks of a delegated job have had no run. The specification
// says how long that was at the handover, but not when the handover was.
func (s *State) recordArrival(j *jobs.Job) {
	if j.Delegated() && hasLastingStep(j) {
		s.markDirty(j, false)
	}
}

// setStoreClock updates the relation of the clocks by a reading of the table's clock; 0: there is none yet.
func (s *State) setStoreClock(now time.Time, reading time.Duration) {
	if reading > 0 {
		s.storeClock = jobs.StoreClock{At: now, Store: reading}
	}
}
