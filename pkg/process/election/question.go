package election

import "time"

// A leader whose renewal is overdue may be alive: where the table answers tens of times slower than usual, renewals come
// late while the leader goes on. With confirmed handovers, a host asks the leader before it claims the seat. Not claiming is
// always safe. A leader that can't renew for maxDeferral can't record progress either, so it is replaced then as if it had
// not answered.

const (
	// askAgainAfter is the time between an answer of the leader and the next question. An answer that allows the claim
	// counts for as long.
	askAgainAfter = 400 * time.Millisecond
	// maxDeferral is the time by which a renewal may be overdue while its leader answers.
	maxDeferral = 5 * time.Second
)

// question is the exchange with the leader that the row of a version names.
type question struct {
	pending bool
	// againAt is the time of the next question after an answer of a leader that holds the seat.
	againAt time.Time
	// deniedVersion is the version of the row whose leader did not say at deniedAt that it holds the seat.
	deniedVersion int64
	deniedAt      time.Time
}

// Question asks the leader of a row whether it holds the seat. The outcome goes to LeaderAnswered.
type Question struct {
	Leader, Address string
	Version         int64
}

// mustAskLeader returns whether a claim has to wait for the answer of the leader that the row names.
func (s *Seat) mustAskLeader(now time.Time) bool {
	if !s.confirmed || s.row == nil || s.row.GetReleased() || s.row.GetHost() == s.self.Host || s.Overdue(now) >= maxDeferral {
		return false
	}
	return s.question.deniedVersion != s.version || now.Sub(s.question.deniedAt) >= askAgainAfter
}

// Overdue returns by how much the row's renewal is overdue.
func (s *Seat) Overdue(now time.Time) time.Duration { return s.RenewalAge(now) - overdueAfter }

// LeaderToAsk returns the question to ask now, or nil. The arguments are those of NextWrite.
func (s *Seat) LeaderToAsk(now time.Time, held int, leaving bool) *Question {
	if s.role != Follower || s.writePending || s.mustReadRow || s.readAt.IsZero() || leaving {
		return nil
	}
	if s.question.pending || now.Before(s.question.againAt) || !s.mustAskLeader(now) || !s.claimDue(now, held) {
		return nil
	}
	s.question.pending = true
	return &Question{Leader: s.row.GetHost(), Address: s.row.GetAddress(), Version: s.version}
}

// LeaderAnswered handles the outcome of a question: whether its leader says that it holds the seat. Without an answer,
// holds is false. It returns whether this defers a claim.
func (s *Seat) LeaderAnswered(now time.Time, q Question, holds bool) bool {
	s.question.pending = false
	if holds {
		s.question.againAt = now.Add(askAgainAfter)
		return s.role == Follower && s.version == q.Version
	}
	s.question.deniedVersion, s.question.deniedAt = q.Version, now
	return false
}
