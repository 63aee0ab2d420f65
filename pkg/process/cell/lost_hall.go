package cell

import "time"

// A hall that has lost its workers, to a drain of all of them or to a failure that removed their registry rows. What
// waits in its cell leaves as it does from an evacuated hall, once the registry has had time to list workers again.

// trackWorkers keeps since when the cell has had no worker that could ever take work.
func (s *State) trackWorkers(now time.Time) {
	for _, w := range s.workers {
		if w.Listed && !w.Leaving && !w.Ended {
			s.withoutWorkersSince = time.Time{}
			return
		}
	}
	if s.withoutWorkersSince.IsZero() {
		s.withoutWorkersSince = now
	}
}

// withoutWorkers reports whether the cell has had no worker for delegateUnheardAfter, the longest lease. Rows that lapse
// with the store are back within two seconds of its return, and no lease of a worker that left is still valid then.
func (s *State) withoutWorkers(now time.Time) bool {
	return !s.withoutWorkersSince.IsZero() && now.Sub(s.withoutWorkersSince) >= delegateUnheardAfter
}

// mustLeave reports whether waiting short tasks have to go to other cells, also where these have no free capacity: the
// hall is evacuated, or has no workers.
func (s *State) mustLeave(now time.Time) bool { return s.evacuating() || s.withoutWorkers(now) }
