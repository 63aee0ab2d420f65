package cell

import "time"

// Pauses between placement passes.

const (
	// pausedPlacementFrom is the number of workers from which a leader pauses between placement passes, placementPause the
	// pause for each worker above it, maxPlacementPause the longest. A pass visits the workers for each waiting unit. In a
	// large cell, a pass after each answer of a worker would take all of a host's processor.
	pausedPlacementFrom = 100
	placementPause      = 100 * time.Microsecond
	maxPlacementPause   = 50 * time.Millisecond
	// costDivisor is the weight of earlier passes in their mean cost.
	costDivisor = 4
)

// nextPlacement returns the time before which no placement pass runs. After a pass there is a pause as long as passes take:
// fewer workers with more waiting units, or a slower host, need one just as well. A leader without processor time learns late
// which runs have ended.
func (s *State) nextPlacement() time.Time {
	byWorkers := placementPause * time.Duration(max(0, len(s.workers)-pausedPlacementFrom))
	next := s.placeCosts.placedAt.Add(min(maxPlacementPause, byWorkers))
	if byCost := s.passEndedAt.Add(s.passCost); byCost.After(next) {
		return byCost
	}
	return next
}

// Decided tells the State when the last call of Decide ended and how long it took, if the caller measures that.
func (s *State) Decided(now time.Time, took time.Duration) {
	if s.placedLast {
		s.passEndedAt = now
		s.passCost += (min(took, maxPlacementPause) - s.passCost) / costDivisor
	}
}

// PlacementPausedFor returns for how long a placement pass that is due is put off, so that the caller lets the cell decide
// then; 0: none is.
func (s *State) PlacementPausedFor(now time.Time) time.Duration {
	if !s.placementDue || s.phase != leading {
		return 0
	}
	return max(0, s.nextPlacement().Sub(now))
}
