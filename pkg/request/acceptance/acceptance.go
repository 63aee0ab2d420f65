// Package acceptance decides how package intake goes on with a submission whose transaction the table does not answer, or
// refuses, and whether the table is available to the host. It does no I/O and reads no clock.
//
// Load pattern: a slow table executes the writes of one part in turn, 0.5 s each, and refuses more than a second of them. An
// answer takes up to 2 s, and a call that is given up and repeated makes the queue longer. An absent table resets or
// ignores all calls for seconds.
//
// The limits follow from callers: they wait 3 s for an answer, and repeat a refusal but not an unknown outcome. So a
// submission without an answer uses all of that time, and a refused one is given back after 500 ms.
package acceptance

import "time"

const (
	// answerMaxAge is the age of the table's last answer up to which the table counts as answering. A host reads the
	// leadership rows every 300 ms, and on a table that is 66 times slower such a reading takes 264 ms.
	answerMaxAge = 700 * time.Millisecond
	// minFailures is the number of failed calls in a row that makes the table count as failing. One call fails
	// whenever its connection breaks.
	minFailures = 2
	// RetryAfter is when a submission that is refused while the table is away may be repeated. How long the table stays
	// away is not known, and callers share 3 s among all their tries: a longer time would cost them the next one.
	RetryAfter = time.Second
)

// Table describes a host's calls to the table.
type Table struct {
	// DirectFailures and PeerFailures count the failed calls since the last answer, by their way. HasPeers means that
	// there are peers to call the table through.
	DirectFailures, PeerFailures int
	HasPeers                     bool
	// PeersFirst means that calls go to peers first, since direct calls failed.
	PeersFirst bool
	// AnsweredAt is the time of the last answer, and DirectAnsweredAt that of the last one to a direct call.
	AnsweredAt, DirectAnsweredAt time.Time
	// ReadTime is how long the last direct reading took.
	ReadTime time.Duration
}

// Failing returns whether calls have failed in a row on each way to the table, without an answer since.
func (t Table) Failing() bool {
	return t.DirectFailures+t.PeerFailures >= minFailures && (!t.HasPeers || t.PeerFailures > 0)
}

// Away returns whether the table is known to be unavailable to this host, both directly and through peers.
func (t Table) Away(now time.Time) bool {
	return t.Failing() && t.AwayFor(now) > answerMaxAge
}

// AwayFor returns the time since the table's last answer.
func (t Table) AwayFor(now time.Time) time.Duration { return now.Sub(t.AnsweredAt) }

// AnswersDirectly returns whether the table answers direct calls of this host.
func (t Table) AnswersDirectly(now time.Time) bool {
	return now.Sub(t.DirectAnsweredAt) <= answerMaxAge
}

// commitTime returns how long a transaction takes at least: twice as long as a reading.
func (t Table) commitTime() time.Duration { return max(minCall, 2*t.ReadTime) }

// avoidsDirect returns whether the next call goes through a peer.
func (t Table) avoidsDirect(now time.Time) bool {
	return t.PeersFirst && t.HasPeers && !t.AnswersDirectly(now)
}
