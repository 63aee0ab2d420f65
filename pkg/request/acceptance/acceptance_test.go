package acceptance_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/request/acceptance"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// answering is a table that answers direct calls all the time.
func answering(now time.Time) acceptance.Table {
	return acceptance.Table{HasPeers: true, AnsweredAt: now, DirectAnsweredAt: now}
}

// A table that is slow, or that this host reaches on another way, must not count as away: its submissions would be refused.
func TestTableIsAwayOnlyIfNoWayToItAnswers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		table acceptance.Table
		ms    int
		away  bool
	}{
		{"both ways fail", acceptance.Table{DirectFailures: 1, PeerFailures: 1, HasPeers: true, AnsweredAt: start}, 701, true},
		{"answered a moment ago", acceptance.Table{DirectFailures: 3, PeerFailures: 2, HasPeers: true, AnsweredAt: start}, 700, false},
		{"no peer was asked", acceptance.Table{DirectFailures: 3, HasPeers: true, AnsweredAt: start}, 5000, false},
		{"no peer is known", acceptance.Table{DirectFailures: 2, AnsweredAt: start}, 701, true},
		{"one failed call", acceptance.Table{DirectFailures: 1, AnsweredAt: start}, 5000, false},
		{"no call since", acceptance.Table{AnsweredAt: start}, 5000, false},
	} {
		must.Eq(t, c.away, c.table.Away(at(c.ms)), must.Sprint(c.name))
	}
}

// Guards against a transaction that is sent when its caller has too little time left for the answer of a slow table.
func TestSubmissionIsNotSentWithoutTimeForAnswer(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		readMs, leftMs int
		want           acceptance.Action
	}{
		{4, 100, acceptance.Send},
		{4, 10, acceptance.Refuse},
		{264, 500, acceptance.Refuse},
		{264, 600, acceptance.Send},
	} {
		table := answering(start)
		table.ReadTime = time.Duration(c.readMs) * time.Millisecond
		must.Eq(t, c.want, acceptance.New(start, at(c.leftMs)).Next(start, table).Do, must.Sprint(c))
	}
}

// run plays a submission in virtual time. Every call takes callMs and has the outcome that call returns; readings do not
// show the anchor row. It returns the last step and its time in ms.
func run(s acceptance.Submission, callMs int, call func(n int) acceptance.Outcome, table func(ms int) acceptance.Table) (acceptance.Submission, acceptance.Step, int) {
	for ms := 0; ; {
		step := s.Next(at(ms), table(ms))
		switch step.Do {
		case acceptance.Refuse, acceptance.AnswerUnknown:
			return s, step, ms
		case acceptance.Wait:
			ms += int(max(step.Pause, time.Millisecond) / time.Millisecond)
		case acceptance.Look:
			ms += callMs
			s = s.WithLook()
		case acceptance.Send, acceptance.SendByPeer:
			ms += callMs
			s = s.WithOutcome(at(ms), step.Do == acceptance.SendByPeer, call(s.Calls()))
		}
	}
}

func healthy(ms int) acceptance.Table { return answering(at(ms)) }

// The call without an answer may take effect after a later call was refused, so "not run" would be wrong.
func TestRefusalAfterCallWithoutAnswerIsUnknown(t *testing.T) {
	t.Parallel()
	s, step, ms := run(acceptance.New(start, at(2850)), 20, func(n int) acceptance.Outcome {
		if n == 0 {
			return acceptance.NoAnswer
		}
		return acceptance.Refused
	}, healthy)
	must.Eq(t, acceptance.AnswerUnknown, step.Do)
	must.True(t, s.Unknown())
	must.Between(t, 2500, ms, 2850)
	must.LessEq(t, 8, s.Calls())
}

// An earlier submission of the same id may yet take effect, so a refusal of the present one does not mean "not run".
func TestRefusalOfJobWithUnknownOutcomeIsUnknown(t *testing.T) {
	t.Parallel()
	_, step, _ := run(acceptance.New(start, at(2850)).WithUnknown(), 20, func(int) acceptance.Outcome { return acceptance.Refused }, healthy)
	must.Eq(t, acceptance.AnswerUnknown, step.Do)
}

// Callers are better off with an early refusal, and an overloaded part must get no more calls than a direct call with
// its repetition through two peers causes.
func TestRefusedSubmissionIsGivenBackSoon(t *testing.T) {
	t.Parallel()
	s, step, ms := run(acceptance.New(start, at(2850)), 20, func(int) acceptance.Outcome { return acceptance.Refused }, healthy)
	must.Eq(t, acceptance.Refuse, step.Do)
	must.LessEq(t, 520, ms)
	must.Eq(t, 2, s.Calls())
}

// A submission that was not sent can be refused for certain, but one that is sent to an absent table can't.
func TestNewSubmissionIsNotSentToTableThatFails(t *testing.T) {
	t.Parallel()
	s, step, ms := run(acceptance.New(start, at(2850)), 20, nil, func(int) acceptance.Table {
		return acceptance.Table{DirectFailures: 1, PeerFailures: 1, HasPeers: true, AnsweredAt: at(-300)}
	})
	must.Eq(t, acceptance.Refuse, step.Do)
	must.Eq(t, 0, s.Calls())
	must.LessEq(t, 500, ms)
}

// When a call was given up after 900 ms on a slow table, its answer was lost and the repeated call waited behind it.
func TestDirectCallWaitsWhileTableAnswersOthers(t *testing.T) {
	t.Parallel()
	s := acceptance.New(start, at(2850))
	silent := acceptance.Table{HasPeers: true, AnsweredAt: start, DirectAnsweredAt: start}
	must.True(t, s.KeepWaiting(at(2300), start, healthy(2300)))
	must.False(t, s.KeepWaiting(at(2350), start, healthy(2350)))
	must.True(t, s.KeepWaiting(at(850), start, silent))
	must.False(t, s.KeepWaiting(at(900), start, silent))
	must.True(t, s.KeepWaiting(at(2600), at(2400), silent)) // the last try has the rest of the time
}

// After a call that used up the time for it, a reading is answered sooner than a repeated write.
func TestLastTryReadsAnchorFirst(t *testing.T) {
	t.Parallel()
	s := acceptance.New(start, at(2850)).WithOutcome(at(2350), false, acceptance.NoAnswer)
	must.Eq(t, acceptance.Look, s.Next(at(2350), healthy(2350)).Do)
	must.Eq(t, acceptance.AnswerUnknown, s.WithLook().Next(at(2614), healthy(2614)).Do)
	must.Eq(t, acceptance.Send, s.WithLook().Next(at(2450), healthy(2450)).Do)
}

// A direct call to a table that is out of this host's reach must not be repeated directly.
func TestRepetitionTakesAnotherWay(t *testing.T) {
	t.Parallel()
	table := acceptance.Table{DirectFailures: 1, HasPeers: true, AnsweredAt: start, DirectAnsweredAt: at(-800)}
	s := acceptance.New(start, at(2850)).WithOutcome(at(10), false, acceptance.Refused)
	must.Eq(t, acceptance.SendByPeer, s.Next(at(10), table).Do)
}

// A submission that may have taken effect gains nothing from another answer of the leaders, and the last try needs its time.
func TestLeadersAreAskedAgainOnlyForUnsentSubmission(t *testing.T) {
	t.Parallel()
	away := acceptance.Table{DirectFailures: 2, AnsweredAt: at(-800)}
	s := acceptance.New(start, at(2850))
	must.True(t, s.AsksAgain(at(2300), away))
	must.False(t, s.AsksAgain(at(2350), away))
	must.False(t, s.AsksAgain(at(0), healthy(0)))
	must.False(t, s.WithUnknown().AsksAgain(at(0), away))
}
