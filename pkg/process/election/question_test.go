package election_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/election"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// newAskingSeat returns a seat of host b that asks the leader, host a, before it claims. Its last renewal is of time 0.
func newAskingSeat() *election.Seat {
	s := election.New("cell", "hall", election.Self{Incarnation: "b/1", Host: "b", Hall: "hall", Address: "b", Since: t0}, election.WithConfirmedHandover())
	row := &wire.CellLead{Cell: "cell", Epoch: 4, Holder: "a/1", Host: "a", Hall: "hall", Address: "a", RenewedStoreMs: storeAt(0).Milliseconds()}
	s.RowRead(at(100), at(100), row, 9, storeAt(100))
	return s
}

// Guards against the replacement of a live leader that can't reach the table for some seconds, and against a leader that
// keeps its seat without the table for longer.
func TestLiveLeaderWithoutTheTableKeepsItsSeatForFiveSeconds(t *testing.T) {
	t.Parallel()
	s, asked := newAskingSeat(), 0
	for ms := 0; ms < 6200; ms += 10 {
		must.Nil(t, s.NextWrite(at(ms), nil, 0, false), must.Sprint(ms))
		if q := s.LeaderToAsk(at(ms), 0, false); q != nil {
			must.Eq(t, "a", q.Address)
			must.GreaterEq(t, 1200, ms)
			must.True(t, s.LeaderAnswered(at(ms+3), *q, true))
			asked++
		}
	}
	must.Between(t, 11, asked, 13)
	w := s.NextWrite(at(6200), nil, 0, false)
	must.NotNil(t, w)
	must.Eq(t, 5, w.Row.GetEpoch())
}

// Guards against a cell that waits for a suspended leader: without an answer, the seat is claimed at once.
func TestSeatOfSuspendedLeaderIsClaimedWhenTheQuestionTimesOut(t *testing.T) {
	t.Parallel()
	s := newAskingSeat()
	q := s.LeaderToAsk(at(1200), 0, false)
	must.NotNil(t, q)
	must.Nil(t, s.NextWrite(at(1400), nil, 0, false))
	must.Nil(t, s.LeaderToAsk(at(1400), 0, false), must.Sprint("one question at a time"))
	must.False(t, s.LeaderAnswered(at(1500), *q, false))
	must.NotNil(t, s.NextWrite(at(1500), nil, 0, false))
}

// Guards against a claim by an answer that is about an older renewal, or that is old.
func TestAnswerAllowsAClaimOfTheSameRowOnly(t *testing.T) {
	t.Parallel()
	s := newAskingSeat()
	q := s.LeaderToAsk(at(1200), 0, false)
	renewed := &wire.CellLead{Cell: "cell", Epoch: 4, Holder: "a/1", Host: "a", Hall: "hall", Address: "a", RenewedStoreMs: storeAt(1100).Milliseconds()}
	s.RowRead(at(1400), at(1390), renewed, 10, storeAt(1400))
	must.False(t, s.LeaderAnswered(at(1500), *q, false))
	must.Nil(t, s.NextWrite(at(2400), nil, 0, false))
	q = s.LeaderToAsk(at(2400), 0, false)
	must.False(t, s.LeaderAnswered(at(2410), *q, false))
	must.Nil(t, s.NextWrite(at(2900), nil, 0, false))
	must.NotNil(t, s.LeaderToAsk(at(2900), 0, false))
}
