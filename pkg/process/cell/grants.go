package cell

import "time"

// Leases that leaders granted. A successor waits for a worker that it does not hear until what others may have granted
// it is over. A predecessor that has come to its end, and whose process goes on, tells how long that is for each worker:
// nothing, where it did not hear the worker either.

// Grants are the leases that this process may have granted in the cell and that may go on, by worker.
func (s *State) Grants(now time.Time) map[string]time.Duration {
	left := map[string]time.Duration{}
	for id, until := range s.leases(now) {
		left[id] = until.Sub(now)
	}
	return left
}

// leases are until when workers may go on by what this process has granted, in all its leaderships.
func (s *State) leases(now time.Time) map[string]time.Time {
	list := map[string]time.Time{}
	for id, until := range s.granted {
		if until.After(now) {
			list[id] = until
		}
	}
	for id, w := range s.workers {
		if until := now.Add(w.LeaseLeft(now)); until.After(now) && until.After(list[id]) {
			list[id] = until
		}
	}
	return list
}

// takeGrants takes in what a predecessor that is over may have granted: each worker's lease.
func (s *State) takeGrants(now time.Time, grants map[string]time.Duration) {
	for id, left := range grants {
		if until := now.Add(left); until.After(s.overAt[id]) {
			s.overAt[id] = until
		}
	}
}

// lastGrantAt is when the last lease that an earlier leader could have granted a worker is over.
func (s *State) lastGrantAt(worker string) time.Time {
	last := s.lastGrant()
	if at := s.overAt[worker]; at.After(last) {
		last = at
	}
	return last
}

// lastOfAll is when the last lease of all is over.
func (s *State) lastOfAll() time.Time {
	last := s.lastGrant()
	for id := range s.unsettled {
		if at := s.overAt[id]; at.After(last) {
			last = at
		}
	}
	return last
}
