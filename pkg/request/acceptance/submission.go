package acceptance

import "time"

const (
	// directPatience is the time for which a direct call waits while the table does not answer other calls.
	directPatience = 900 * time.Millisecond
	// lastTry is the part of the caller's time that is kept for finding out the outcome after a call that was not
	// answered. A reading of one row takes 264 ms on a table that is 66 times slower.
	lastTry = 500 * time.Millisecond
	// minCall is the least time in which a call may be answered: an ordinary one takes about 20 ms.
	minCall = 20 * time.Millisecond
	// refusedLimit is the time from the first refusal by the table to the last repetition. Callers repeat a refusal
	// themselves, so they are not held longer.
	refusedLimit = 500 * time.Millisecond
	// refusedPause is the pause after a refusal by a table that answers other calls. It is most of the time for
	// which a write occupies the part of a slow table, and allows for one repetition, so that a refused submission
	// causes no more calls than one direct call and its repetition through two peers.
	refusedPause = 400 * time.Millisecond
	// unreachedPause is that pause while the table does not answer direct calls: the next call goes another way.
	unreachedPause = 150 * time.Millisecond
	// unknownPause is the pause after the first call without an answer. It doubles with each further call, up to
	// maxUnknownPause, so that a submission makes few calls while connections are reset.
	unknownPause    = 100 * time.Millisecond
	maxUnknownPause = 800 * time.Millisecond
	// failingPause is the pause before the next call of a submission with an unknown outcome while all calls fail.
	// The host's periodic calls show earlier that the table is back, unless they hang.
	failingPause = 600 * time.Millisecond
	// pollInterval is the longest wait before the next decision, as other calls may change what is known.
	pollInterval = 50 * time.Millisecond
)

// Action is what to do next with a submission.
type Action int

// The actions.
const (
	// Wait makes no call for the time Step.Pause, and then decides again.
	Wait Action = iota
	// Send sends the transaction to the table directly, and SendByPeer through a peer.
	Send
	SendByPeer
	// Look reads the job's anchor row.
	Look
	// Refuse answers that the job was not accepted, once it is shown that no earlier submission of it was.
	Refuse
	// AnswerUnknown answers that the outcome is unknown.
	AnswerUnknown
)

// Step is an action with its limits.
type Step struct {
	Do    Action
	Pause time.Duration
}

// Outcome is the result of a call of a submission that did not show the job's anchor row.
type Outcome int

// The outcomes.
const (
	// Refused means that the call certainly did nothing.
	Refused Outcome = iota
	// NoAnswer means that the call may have taken effect, or may yet do so.
	NoAnswer
)

// Submission is the state of one submission, which has at most one call in flight. It is immutable; the With methods
// return changed copies.
type Submission struct {
	deadline  time.Time
	reserve   time.Duration
	unknown   bool
	calls     int
	byPeer    bool
	last      Outcome
	lastAt    time.Time
	refusedAt time.Time
	looked    bool
}

// New returns a submission whose caller waits until the deadline.
func New(now, deadline time.Time) Submission {
	return Submission{deadline: deadline, reserve: min(lastTry, deadline.Sub(now)/2)}
}

// WithUnknown returns the submission of a job of which an earlier submission had an unknown outcome.
func (s Submission) WithUnknown() Submission {
	s.unknown = true
	return s
}

// WithOutcome returns the submission after a call that ended at now.
func (s Submission) WithOutcome(now time.Time, byPeer bool, o Outcome) Submission {
	s.calls++
	s.byPeer, s.last, s.lastAt, s.looked = byPeer, o, now, false
	switch {
	case o == NoAnswer:
		s.unknown = true
	case s.refusedAt.IsZero():
		s.refusedAt = now
	}
	return s
}

// WithSuccess returns the submission after a call that showed the job's anchor row.
func (s Submission) WithSuccess() Submission {
	s.calls++
	s.unknown = false
	return s
}

// WithLook returns the submission after a reading that did not show the anchor row. It proves nothing: a call
// without an answer may still take effect.
func (s Submission) WithLook() Submission {
	s.looked = true
	return s
}

// Unknown returns whether the transaction may have taken effect, or may yet do so.
func (s Submission) Unknown() bool { return s.unknown }

// Calls returns the number of transactions that were sent.
func (s Submission) Calls() int { return s.calls }

// Next returns what to do with the submission, which has no call in flight.
func (s Submission) Next(now time.Time, t Table) Step {
	left := s.deadline.Sub(now)
	switch {
	case s.calls > 0 && s.unknown:
		return s.afterUnknown(now, left, t)
	case t.Away(now):
		return Step{Do: Refuse}
	case s.calls > 0:
		return s.afterRefusal(now, left, t)
	case left < t.commitTime() && s.unknown:
		return Step{Do: AnswerUnknown}
	case left < t.commitTime():
		return Step{Do: Refuse} // a transaction that can't be answered in time would make the outcome unknown
	case t.Failing() && left <= s.reserve:
		return Step{Do: Refuse}
	case t.Failing():
		return wait(pollInterval) // soon the table either answers another call or counts as away
	case t.avoidsDirect(now):
		return Step{Do: SendByPeer}
	}
	return Step{Do: Send}
}

// afterRefusal returns the next step if all calls were refused.
func (s Submission) afterRefusal(now time.Time, left time.Duration, t Table) Step {
	pause := unreachedPause
	switch {
	case t.AnswersDirectly(now):
		pause = refusedPause
	case t.HasPeers && !s.byPeer:
		pause = 0
	}
	due := s.lastAt.Add(pause)
	if due.Sub(s.refusedAt) > refusedLimit || left < s.reserve {
		return Step{Do: Refuse}
	}
	return s.sendAt(now, due, t)
}

// afterUnknown returns the next step if a call had no answer.
func (s Submission) afterUnknown(now time.Time, left time.Duration, t Table) Step {
	if left < minCall {
		return Step{Do: AnswerUnknown}
	}
	if left <= s.reserve && !s.looked && !t.Failing() {
		return Step{Do: Look}
	}
	pause := min(unknownPause<<min(s.calls-1, 4), maxUnknownPause)
	if t.Failing() {
		pause = failingPause
	}
	switch {
	case left > s.reserve:
		return s.sendAt(now, s.lastAt.Add(pause), t)
	case t.Failing():
		return wait(min(pollInterval, left)) // the host's other calls show whether the table is back
	case left < s.reserve/2:
		// A table that has used most of the reserve for a reading does not answer a transaction in the rest.
		return Step{Do: AnswerUnknown}
	}
	return s.sendAt(now, s.lastAt.Add(unknownPause), t)
}

// MayRead returns whether the caller has time for a reading of the table and for an answer of the cells' leaders after it.
func (s Submission) MayRead(now time.Time, t Table) bool {
	return s.deadline.Sub(now) >= t.commitTime()
}

// AsksAgain returns whether a submission that leaders could not rule out is kept to ask them again, as no call of its own may
// take effect. While the table is away, the leaders' renewals soon count as old, or the table comes back.
func (s Submission) AsksAgain(now time.Time, t Table) bool {
	return !s.unknown && t.Away(now) && s.deadline.Sub(now) > s.reserve
}

// sendAt returns the step that sends the transaction again when it is due. After a call on one way that did not reach the
// table, the next call takes the other way.
func (s Submission) sendAt(now, due time.Time, t Table) Step {
	switch {
	case now.Before(due):
		return wait(min(pollInterval, due.Sub(now)))
	case t.HasPeers && !s.byPeer && (s.last == Refused || !t.AnswersDirectly(now)), t.avoidsDirect(now):
		return Step{Do: SendByPeer}
	}
	return Step{Do: Send}
}

// KeepWaiting returns whether a direct call that was sent at sentAt goes on without an answer. A table that answers
// other calls is slow, and a repeated call would only queue behind this one.
func (s Submission) KeepWaiting(now, sentAt time.Time, t Table) bool {
	end := s.deadline.Add(-s.reserve)
	if !sentAt.Before(end) {
		return now.Before(s.deadline)
	}
	return now.Before(end) && (now.Sub(sentAt) < directPatience || t.AnswersDirectly(now))
}

func wait(pause time.Duration) Step { return Step{Do: Wait, Pause: pause} }
