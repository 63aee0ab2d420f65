package cell

import "time"

// Leases that leaders granted. A successor waits for a worker that it does not hear until what others may have granted
// it is over. A predecessor that has come to its end, and whose process goes on, tells how long that is for each worker:
// nothing, where it did not hear the worker either.

// Grants are the leases that this process may have granted in the cell and that may go on, by worker, and those that
// it knew of and waited for: its successor does not learn of these otherwise. known is false where they may be at
// workers that it never learned of.
func (s *State) Grants(now time.Time) (grants map[string]time.Duration, known bool) {
	grants = map[string]time.Duration{}
	for id, until := range s.leases(now) {
		grants[id] = until.Sub(now)
	}
	return grants, !s.grantedUnknown.After(now)
}

// keepLeases remembers, as a leadership ends, the leases that may go on.
func (s *State) keepLeases(now time.Time) {
	s.granted = s.leases(now)
	if s.phase == loading && s.overUntil.After(s.grantedUnknown) {
		s.grantedUnknown = s.overUntil
	}
}

// leases are until when workers may go on by what this process has granted, in all its leaderships, or waits for.
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
	for id := range s.unsettled {
		// Of leaders that are not known to be over the successor reads in the row.
		for _, until := range []time.Time{s.overUntil, s.overAt[id]} {
			if !s.settled && until.After(now) && until.After(list[id]) {
				list[id] = until
			}
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
