package cell

import "time"

// Leases that leaders granted. A successor waits for a worker that does not answer until the leases that earlier
// leaders may have granted the worker have ended. A predecessor whose leadership has ended, but whose process still
// runs, reports the rest of each worker's lease: nothing for a worker that did not answer it either.

// Grants returns the rest of each worker's lease: of leases that this process may have granted in the cell, and of
// leases of earlier leaders that it waited for and that its successor can't learn of in another way. known is false
// while there may be leases at workers that this process never learned of.
func (s *State) Grants(now time.Time) (grants map[string]time.Duration, known bool) {
	grants = map[string]time.Duration{}
	for id, until := range s.leaseEnds(now) {
		grants[id] = until.Sub(now)
	}
	return grants, !s.unknownLeasesUntil.After(now)
}

// rememberLeases remembers the leases that may outlast a leadership which ends now.
func (s *State) rememberLeases(now time.Time) {
	s.ownLeases = s.leaseEnds(now)
	if s.phase == loading && s.otherLeasesUntil.After(s.unknownLeasesUntil) {
		s.unknownLeasesUntil = s.otherLeasesUntil
	}
}

// leaseEnds returns when each worker's lease ends: of the leases that this process has granted in all its
// leaderships, and of those of earlier leaders that it waits for.
func (s *State) leaseEnds(now time.Time) map[string]time.Time {
	list := map[string]time.Time{}
	for id, until := range s.ownLeases {
		if until.After(now) {
			list[id] = until
		}
	}
	for id, w := range s.workers {
		if until := now.Add(w.MaxLeaseLeft(now)); until.After(now) && until.After(list[id]) {
			list[id] = until
		}
	}
	keep := func(id string, until time.Time) {
		if !s.settled && until.After(now) && until.After(list[id]) {
			list[id] = until
		}
	}
	for id := range s.awaitedMembers {
		// The leadership row names the predecessors that may still act, so a successor allows for their leases itself.
		keep(id, s.otherLeasesUntil)
		keep(id, s.reportedLeases[id])
	}
	if s.phase == loading {
		for id, until := range s.reportedLeases {
			keep(id, until) // any of these workers may be a member: the membership is not read yet
		}
	}
	return list
}

// takeReportedLeases keeps the rest of each worker's lease, as a predecessor reported it at its end.
func (s *State) takeReportedLeases(now time.Time, grants map[string]time.Duration) {
	for id, left := range grants {
		if until := now.Add(left); until.After(s.reportedLeases[id]) {
			s.reportedLeases[id] = until
		}
	}
}

// lastLeaseEndAt returns when the last lease that an earlier leader could have granted a worker ends.
func (s *State) lastLeaseEndAt(worker string) time.Time {
	last := s.lastCommonLeaseEnd()
	if at := s.reportedLeases[worker]; at.After(last) {
		last = at
	}
	return last
}

// lastLeaseEnd returns when the last lease of earlier leaders ends at any member that has not answered.
func (s *State) lastLeaseEnd() time.Time {
	last := s.lastCommonLeaseEnd()
	for id := range s.awaitedMembers {
		if at := s.reportedLeases[id]; at.After(last) {
			last = at
		}
	}
	return last
}
