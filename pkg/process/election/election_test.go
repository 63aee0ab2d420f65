package election_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/election"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

var t0 = time.Unix(1000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

func storeAt(ms int) time.Duration { return time.Hour + time.Duration(ms)*time.Millisecond }

func newSeat(host string) *election.Seat {
	return election.New("cell", "hall", election.Self{Life: host + "/1", Host: host, Hall: "hall", Address: host, Since: t0})
}

// lead makes a seat win an empty row.
func lead(t *testing.T, s *election.Seat) {
	t.Helper()
	s.TakeRead(at(0), at(0), nil, 0, storeAt(0))
	must.NotNil(t, s.Next(at(0), nil, 0, false))
	change := s.TakeWritten(at(5), 1)
	must.True(t, change.Led)
	must.Eq(t, election.Leader, s.Role())
}

// A candidate that writes over the version that it knew loses each time.
func TestACandidateThatLostReadsTheRowBeforeItTriesAgain(t *testing.T) {
	t.Parallel()
	s := newSeat("a")
	s.TakeRead(at(0), at(0), nil, 0, storeAt(0))
	must.NotNil(t, s.Next(at(0), nil, 0, false))
	s.TakeWritten(at(10), 0)
	must.Nil(t, s.Next(at(20), nil, 0, false))
	other := &wire.CellLead{Cell: "cell", Epoch: 1, Holder: "b/1", Host: "b", Hall: "hall", RenewedStoreMs: storeAt(5).Milliseconds()}
	s.TakeRead(at(300), at(290), other, 7, storeAt(300))
	must.Eq(t, election.Follower, s.Role())
	must.Nil(t, s.Next(at(310), nil, 0, false))
	must.NotNil(t, s.Next(at(1500), nil, 0, false))
}

func TestAWonSeatWhoseAnswerWasLostIsSeenInTheRow(t *testing.T) {
	t.Parallel()
	s := newSeat("a")
	s.TakeRead(at(0), at(0), nil, 0, storeAt(0))
	w := s.Next(at(0), nil, 0, false)
	must.NotNil(t, w)
	s.TakeWritten(at(900), 0)
	change := s.TakeRead(at(1200), at(1190), w.Row, 3, storeAt(1200))
	must.True(t, change.Led)
}

func TestALeaderGoesOnForItsTenureAndNoLonger(t *testing.T) {
	t.Parallel()
	s := newSeat("a")
	lead(t, s)
	must.False(t, s.Expire(t0.Add(election.Tenure)).Lost)
	must.True(t, s.Expire(t0.Add(election.Tenure+time.Millisecond)).Lost)
}

func TestAnotherHostTakesOverWhenRenewalsAreOverdue(t *testing.T) {
	t.Parallel()
	s := newSeat("b")
	row := &wire.CellLead{Cell: "cell", Epoch: 4, Holder: "a/1", Host: "a", Hall: "hall", RenewedStoreMs: storeAt(0).Milliseconds()}
	s.TakeRead(at(100), at(100), row, 9, storeAt(100))
	must.Nil(t, s.Next(at(1000), nil, 0, false))
	w := s.Next(at(1250), nil, 0, false)
	must.NotNil(t, w)
	must.Eq(t, 5, w.Row.GetEpoch())
	must.Eq(t, 9, w.Version)
}

func TestAnEarlierLifeOfTheSameHostIsOver(t *testing.T) {
	t.Parallel()
	s := newSeat("a")
	row := &wire.CellLead{Cell: "cell", Epoch: 4, Holder: "a/0", Host: "a", Hall: "hall", RenewedStoreMs: storeAt(0).Milliseconds()}
	s.TakeRead(at(10), at(5), row, 9, storeAt(10))
	must.NotNil(t, s.Next(at(11), nil, 0, false))
}

func TestAReleasedSeatIsTakenAtOnceByWhoWasAsked(t *testing.T) {
	t.Parallel()
	s := newSeat("b")
	row := &wire.CellLead{Cell: "cell", Epoch: 4, Holder: "a/1", Host: "a", Hall: "elsewhere", Released: true, RenewedStoreMs: storeAt(0).Milliseconds()}
	s.Want()
	s.TakeRead(at(10), at(5), row, 9, storeAt(10))
	must.NotNil(t, s.Next(at(11), nil, 0, false))
}

// The roster is written with the first renewal that knows it, and then when it changes;
// while earlier leaders' is not read it stays as it is. The table takes no empty row.
func TestTheRosterIsWrittenWhenItIsKnownAndChanges(t *testing.T) {
	t.Parallel()
	s := newSeat("a")
	lead(t, s)
	w := s.Next(at(500), nil, 0, false)
	must.Nil(t, w.Roster)
	s.TakeWritten(at(505), 2)
	w = s.Next(at(510), []*wire.RosterEntry{}, 0, false)
	must.NotNil(t, w)
	must.SliceEmpty(t, w.Roster.GetEntries())
	must.SliceNotEmpty(t, rows.Row(rows.RosterKey("cell"), w.Roster).Value)
	s.TakeWritten(at(515), 3)
	one := []*wire.RosterEntry{{Id: "w1"}}
	w = s.Next(at(520), one, 0, false)
	must.Eq(t, "w1", w.Roster.GetEntries()[0].GetId())
	s.TakeWritten(at(525), 0) // unknown: it is written again
	s.TakeRead(at(800), at(790), w.Row, 4, storeAt(800))
	w = s.Next(at(1000), one, 0, false)
	must.NotNil(t, w.Roster)
	s.TakeWritten(at(1005), 5)
	must.Nil(t, s.Next(at(1010), one, 0, false))
	must.Nil(t, s.Next(at(1500), one, 0, false).Roster)
}

// Leaders follow each other so fast that the first, which is suspended, may still go on as the third begins:
// what the second says of itself tells nothing of the first.
func TestASuccessorKnowsOfLeadersBeforeItsForerunner(t *testing.T) {
	t.Parallel()
	first := &wire.CellLead{Cell: "cell", Epoch: 1, Holder: "a/1", Host: "a", Hall: "hall", RenewedStoreMs: storeAt(0).Milliseconds()}
	b := newSeat("b")
	b.TakeRead(at(1500), at(1490), first, 1, storeAt(1500))
	w := b.Next(at(1500), nil, 0, false)
	must.NotNil(t, w)
	must.Eq(t, (storeAt(0) + election.Tenure).Milliseconds(), w.Row.GetEarlierStoreMs())
	must.Eq(t, 0, b.TakeWritten(at(1505), 2).Earlier)

	c := newSeat("c")
	c.TakeRead(at(3000), at(2990), w.Row, 2, storeAt(3000))
	must.NotNil(t, c.Next(at(3000), nil, 0, false))
	earlier := c.TakeWritten(at(3005), 3).Earlier
	must.Less(t, 20*time.Millisecond, (election.Tenure - 3*time.Second - earlier).Abs())
	must.Positive(t, c.Next(at(3500), nil, 0, false).Row.GetEarlierStoreMs())
	c.TakeWritten(at(3505), 4)
	c.Settled()
	must.Eq(t, 0, c.Next(at(4500), nil, 0, false).Row.GetEarlierStoreMs())
}
