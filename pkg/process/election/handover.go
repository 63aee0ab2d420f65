package election

import (
	"cmp"
	"slices"
	"time"
)

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
	// minUptime is the time since its start after which a host accepts an offered seat. Before, it knows neither the
	// registry nor the other hosts.
	minUptime = 2 * time.Second
	// successorHeadStart is the time for which other hosts leave a released seat to the successor that its row names. It
	// is two readings of the rows, so that the successor claims in time also if the call that tells it is lost.
	successorHeadStart = 600 * time.Millisecond
)

// MayRelease returns whether this process leads and may begin to release the seat: the table has confirmed its
// leadership recently, and has answered the last write.
func (s *Seat) MayRelease(now time.Time) bool {
	return s.role == Leader && !s.mustReadRow && now.Sub(s.renewalKnownAt) <= maxReleaseRenewalAge
}

// WritePending returns whether a write of the row has no answer yet.
func (s *Seat) WritePending() bool { return s.writePending }

// PrepareRelease makes the release the next write: on a slow table it would wait for a renewal that is sent before it.
func (s *Seat) PrepareRelease() { s.releasePrepared = s.role == Leader }

// MayHandOver returns whether this process may hand the seat over to a stronger host.
func (s *Seat) MayHandOver(now time.Time) bool {
	return s.MayRelease(now) && now.Sub(s.ledSince) >= minLeadership
}

// AcceptsOffer returns whether this process would lead the cell if its leader released it. prepared says that it has what
// a leader needs, such as a manifest.
func (s *Seat) AcceptsOffer(now time.Time, leaving, prepared bool) bool {
	return !leaving && prepared && now.Sub(s.self.Since) >= minUptime
}

// Acceptance is a host's agreement to lead a cell next.
type Acceptance struct {
	Incarnation, Host, Address string
	Processors                 float64
	// Up is how long the process has run.
	Up time.Duration
}

// ChooseSuccessor returns the acceptance of the strongest host, or false if there is none. Among equals, it is the one that
// started last: where hosts restart one after the other, that one has already restarted.
func ChooseSuccessor(accepted []Acceptance) (Acceptance, bool) {
	if len(accepted) == 0 {
		return Acceptance{}, false
	}
	return slices.MinFunc(accepted, func(a, b Acceptance) int {
		return cmp.Or(cmp.Compare(b.Processors, a.Processors), cmp.Compare(a.Up, b.Up), cmp.Compare(a.Host, b.Host))
	}), true
}

// reserved returns whether the row is released to a successor: to this process (named), or to another one (reserved).
func (s *Seat) reserved() (named, reserved bool) {
	if !s.confirmed || !s.row.GetReleased() || s.row.GetSuccessor() == "" {
		return false, false
	}
	named = s.row.GetSuccessor() == s.self.Incarnation
	return named, !named
}

// SuccessorToNotify returns the incarnation that this process has released the seat to, or "". The release is known to be
// written, and nobody has claimed the seat since.
func (s *Seat) SuccessorToNotify() string {
	if s.role == Leader || !s.row.GetReleased() || s.row.GetHolder() != s.self.Incarnation {
		return ""
	}
	return s.row.GetSuccessor()
}
