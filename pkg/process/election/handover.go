package election

import "time"

// Planned handovers (setting confirmedHandover). A leader that is releasing a cell starts nothing there, so it begins only
// when the release can be written, and hands over to a stronger host only after it has led for a while.

const (
	// maxReleaseRenewalAge is the greatest time since the leader learned of its last renewal at which it begins to
	// release. Renewals follow each other after 400 ms and an answer; without one for longer, the table may be away, and
	// nobody could claim the cell.
	maxReleaseRenewalAge = time.Second
	// minLeadership is the time for which a leader leads before it hands over to a stronger host. Each handover costs the
	// cell a load, and where hosts restart one after the other, the next one comes soon.
	minLeadership = 5 * time.Second
)

// MayRelease returns whether this process leads and may begin to release the seat: the table has confirmed its
// leadership recently.
func (s *Seat) MayRelease(now time.Time) bool {
	return s.role == Leader && now.Sub(s.renewalKnownAt) <= maxReleaseRenewalAge
}

// MayHandOver returns whether this process may hand the seat over to a stronger host.
func (s *Seat) MayHandOver(now time.Time) bool {
	return s.MayRelease(now) && now.Sub(s.ledSince) >= minLeadership
}
