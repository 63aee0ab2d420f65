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
	return election.New("cell", "hall", election.Self{Incarnation: host + "/1", Host: host, Hall: "hall", Address: host, Since: t0})
}

// lead makes a seat win the election while the table has no row.
func lead(t *testing.T, s *election.Seat) {
	t.Helper()
	s.RowRead(at(0), at(0), nil, 0, storeAt(0))
	must.NotNil(t, s.NextWrite(at(0), nil, 0, false))
	change := s.RowWritten(at(5), 1)
	must.True(t, change.Gained)
	must.Eq(t, election.Leader, s.Role())
}

// Without a new reading, a candidate that lost would write over the version it knows and lose each time.
func TestLosingCandidateReadsRowBeforeNextClaim(t *testing.T) {
	t.Parallel()
	s := newSeat("a")
	s.RowRead(at(0), at(0), nil, 0, storeAt(0))
	must.NotNil(t, s.NextWrite(at(0), nil, 0, false))
	s.RowWritten(at(10), 0)
	must.Nil(t, s.NextWrite(at(20), nil, 0, false))
	other := &wire.CellLead{Cell: "cell", Epoch: 1, Holder: "b/1", Host: "b", Hall: "hall", RenewedStoreMs: storeAt(5).Milliseconds()}
	s.RowRead(at(300), at(290), other, 7, storeAt(300))
	must.Eq(t, election.Follower, s.Role())
	must.Nil(t, s.NextWrite(at(310), nil, 0, false))
	must.NotNil(t, s.NextWrite(at(1500), nil, 0, false))
}

func TestReadingConfirmsClaimWhoseAnswerWasLost(t *testing.T) {
	t.Parallel()
	s := newSeat("a")
	s.RowRead(at(0), at(0), nil, 0, storeAt(0))
	w := s.NextWrite(at(0), nil, 0, false)
	must.NotNil(t, w)
	s.RowWritten(at(900), 0)
	change := s.RowRead(at(1200), at(1190), w.Row, 3, storeAt(1200))
	must.True(t, change.Gained)
}

func TestLeadershipExpiresAfterTenure(t *testing.T) {
	t.Parallel()
	s := newSeat("a")
	lead(t, s)
	must.False(t, s.Expire(t0.Add(election.Tenure)).Lost)
	must.True(t, s.Expire(t0.Add(election.Tenure+time.Millisecond)).Lost)
}

func TestOtherHostClaimsSeatWhenRenewalIsOverdue(t *testing.T) {
	t.Parallel()
	s := newSeat("b")
	row := &wire.CellLead{Cell: "cell", Epoch: 4, Holder: "a/1", Host: "a", Hall: "hall", RenewedStoreMs: storeAt(0).Milliseconds()}
	s.RowRead(at(100), at(100), row, 9, storeAt(100))
	must.Nil(t, s.NextWrite(at(1000), nil, 0, false))
	w := s.NextWrite(at(1250), nil, 0, false)
	must.NotNil(t, w)
	must.Eq(t, 5, w.Row.GetEpoch())
	must.Eq(t, 9, w.Version)
}

func TestHostClaimsSeatOfItsEarlierIncarnationAtOnce(t *testing.T) {
	t.Parallel()
	s := newSeat("a")
	row := &wire.CellLead{Cell: "cell", Epoch: 4, Holder: "a/0", Host: "a", Hall: "hall", RenewedStoreMs: storeAt(0).Milliseconds()}
	s.RowRead(at(10), at(5), row, 9, storeAt(10))
	must.NotNil(t, s.NextWrite(at(11), nil, 0, false))
}

func TestHostOfferedTheSeatClaimsItOnRelease(t *testing.T) {
	t.Parallel()
	s := newSeat("b")
	row := &wire.CellLead{Cell: "cell", Epoch: 4, Holder: "a/1", Host: "a", Hall: "elsewhere", Released: true, RenewedStoreMs: storeAt(0).Milliseconds()}
	s.AcceptHandover()
	s.RowRead(at(10), at(5), row, 9, storeAt(10))
	must.NotNil(t, s.NextWrite(at(11), nil, 0, false))
}

// The membership is written with the first renewal after it is known, and again when it changes. Until the leader has
// read its predecessors' membership, the stored one stays. The table refuses empty values, so an empty membership still
// encodes to some bytes.
func TestMembershipIsWrittenWhenKnownAndWhenChanged(t *testing.T) {
	t.Parallel()
	s := newSeat("a")
	lead(t, s)
	w := s.NextWrite(at(500), nil, 0, false)
	must.Nil(t, w.Membership)
	s.RowWritten(at(505), 2)
	w = s.NextWrite(at(510), []*wire.RosterEntry{}, 0, false)
	must.NotNil(t, w)
	must.SliceEmpty(t, w.Membership.GetEntries())
	must.SliceNotEmpty(t, rows.Row(rows.RosterKey("cell"), w.Membership).Value)
	s.RowWritten(at(515), 3)
	one := []*wire.RosterEntry{{Id: "w1"}}
	w = s.NextWrite(at(520), one, 0, false)
	must.Eq(t, "w1", w.Membership.GetEntries()[0].GetId())
	s.RowWritten(at(525), 0) // outcome unknown: the membership is written again
	s.RowRead(at(800), at(790), w.Row, 4, storeAt(800))
	w = s.NextWrite(at(1000), one, 0, false)
	must.NotNil(t, w.Membership)
	s.RowWritten(at(1005), 5)
	must.Nil(t, s.NextWrite(at(1010), one, 0, false))
	must.Nil(t, s.NextWrite(at(1500), one, 0, false).Membership)
}

// Leaders change so fast that the first, which is suspended, may still be within its tenure when the third wins. That
// the second has ended says nothing about the first, so the row names both.
func TestRowNamesAllPredecessorsWithinTheirTenure(t *testing.T) {
	t.Parallel()
	first := &wire.CellLead{Cell: "cell", Epoch: 1, Holder: "a/1", Host: "a", Hall: "hall", RenewedStoreMs: storeAt(0).Milliseconds()}
	b := newSeat("b")
	b.RowRead(at(1500), at(1490), first, 1, storeAt(1500))
	w := b.NextWrite(at(1500), nil, 0, false)
	must.NotNil(t, w)
	must.Eq(t, (storeAt(0) + election.Tenure).Milliseconds(), w.Row.GetEarlierStoreMs())
	change := b.RowWritten(at(1505), 2)
	must.Len(t, 1, change.Predecessors)
	must.Eq(t, "a/1", change.Predecessors[0].Holder)

	c := newSeat("c")
	c.RowRead(at(3000), at(2990), w.Row, 2, storeAt(3000))
	must.NotNil(t, c.NextWrite(at(3000), nil, 0, false))
	list := c.RowWritten(at(3005), 3).Predecessors
	must.Len(t, 2, list)
	must.Eq(t, "a/1", list[0].Holder)
	must.Eq(t, "b/1", list[1].Holder)
	must.Less(t, 20*time.Millisecond, (election.Tenure - 3*time.Second - list[0].MayGrantFor).Abs())
	must.Less(t, 20*time.Millisecond, (election.Tenure - 1500*time.Millisecond - list[1].MayGrantFor).Abs())
	row := c.NextWrite(at(3500), nil, 0, false).Row
	must.Len(t, 2, row.GetEarlier())
	must.Positive(t, row.GetEarlierStoreMs())
	c.RowWritten(at(3505), 4)
	c.PredecessorsSettled()
	row = c.NextWrite(at(4500), nil, 0, false).Row
	must.Eq(t, 0, row.GetEarlierStoreMs())
	must.SliceEmpty(t, row.GetEarlier())
}

// The row drops a predecessor that is known to have ended, but still names earlier ones.
func TestRowDropsPredecessorKnownToHaveEnded(t *testing.T) {
	t.Parallel()
	row := &wire.CellLead{
		Cell: "cell", Epoch: 2, Holder: "b/1", Host: "b", Hall: "hall", RenewedStoreMs: storeAt(0).Milliseconds(),
		Earlier: []*wire.EarlierLeader{{Holder: "a/1", Host: "a", UntilStoreMs: storeAt(11000).Milliseconds()}},
	}
	s := newSeat("c")
	s.RowRead(at(1500), at(1490), row, 2, storeAt(1500))
	must.NotNil(t, s.NextWrite(at(1500), nil, 0, false))
	must.Len(t, 2, s.RowWritten(at(1505), 3).Predecessors)
	s.PredecessorEnded("b/1")
	next := s.NextWrite(at(2000), nil, 0, false).Row
	must.Len(t, 1, next.GetEarlier())
	must.Eq(t, "a/1", next.GetEarlier()[0].GetHolder())
	must.Eq(t, storeAt(11000).Milliseconds(), next.GetEarlierStoreMs())
}

// A leader that released the cell has ended. Its predecessor that did not answer is still named.
func TestReleasedRowStillNamesEarlierPredecessors(t *testing.T) {
	t.Parallel()
	row := &wire.CellLead{
		Cell: "cell", Epoch: 2, Holder: "b/1", Host: "b", Hall: "hall", Released: true, RenewedStoreMs: storeAt(0).Milliseconds(),
		Earlier: []*wire.EarlierLeader{{Holder: "a/1", Host: "a", Address: "x", UntilStoreMs: storeAt(11000).Milliseconds()}},
	}
	s := newSeat("c")
	s.RowRead(at(500), at(490), row, 2, storeAt(500))
	must.NotNil(t, s.NextWrite(at(500), nil, 0, false))
	list := s.RowWritten(at(505), 3).Predecessors
	must.Len(t, 1, list)
	must.Eq(t, "x", list[0].Address)
}

// A row may hold only the time until which earlier leaders may grant, without naming them. That time is kept.
func TestUnnamedPredecessorsKeepTheirEndTime(t *testing.T) {
	t.Parallel()
	row := &wire.CellLead{
		Cell: "cell", Epoch: 2, Holder: "b/1", Host: "b", Hall: "hall", Released: true, RenewedStoreMs: storeAt(0).Milliseconds(),
		EarlierStoreMs: storeAt(9000).Milliseconds(),
	}
	s := newSeat("c")
	s.RowRead(at(500), at(490), row, 2, storeAt(500))
	must.NotNil(t, s.NextWrite(at(500), nil, 0, false))
	list := s.RowWritten(at(505), 3).Predecessors
	must.Len(t, 1, list)
	must.Less(t, 20*time.Millisecond, (8500*time.Millisecond - list[0].MayGrantFor).Abs())
}

// A pending release ends with the leadership: a leader that was replaced before it released the cell must not release
// it when it wins again.
func TestWinningAgainClearsPendingRelease(t *testing.T) {
	t.Parallel()
	s := newSeat("a")
	lead(t, s)
	s.Release()
	other := &wire.CellLead{Cell: "cell", Epoch: 2, Holder: "b/1", Host: "b", Hall: "hall", RenewedStoreMs: storeAt(100).Milliseconds()}
	must.True(t, s.RowRead(at(300), at(290), other, 2, storeAt(300)).Lost)
	must.NotNil(t, s.NextWrite(at(2000), nil, 0, false))
	must.True(t, s.RowWritten(at(2005), 3).Gained)
	must.False(t, s.NextWrite(at(2500), nil, 0, false).Row.GetReleased())
}

// A membership write whose answer was lost may have taken effect, so the next write includes the membership again.
func TestMembershipIsWrittenAgainAfterUnknownOutcome(t *testing.T) {
	t.Parallel()
	s := newSeat("a")
	lead(t, s)
	both, one := []*wire.RosterEntry{{Id: "v"}, {Id: "w"}}, []*wire.RosterEntry{{Id: "v"}}
	must.NotNil(t, s.NextWrite(at(10), both, 0, false).Membership)
	s.RowWritten(at(15), 2)
	dropped := s.NextWrite(at(20), one, 0, false)
	must.NotNil(t, dropped.Membership)
	s.RowWritten(at(900), 0)
	s.RowRead(at(1000), at(990), dropped.Row, 3, storeAt(1000))
	again := s.NextWrite(at(1010), both, 0, false)
	must.NotNil(t, again)
	must.NotNil(t, again.Membership)
	must.Len(t, 2, again.Membership.GetEntries())
}

// A claim may take effect late, even after a successor has found its row overdue. Until the outcome is known, the host
// must not answer the successor that it doesn't lead.
func TestClaimIsPendingUntilItsOutcomeIsKnown(t *testing.T) {
	t.Parallel()
	for name, answer := range map[string]func(*election.Seat, *election.Write) election.Change{
		"the write's answer": func(s *election.Seat, _ *election.Write) election.Change { return s.RowWritten(at(2500), 3) },
		"a reading": func(s *election.Seat, w *election.Write) election.Change {
			s.RowWritten(at(900), 0)
			return s.RowRead(at(2500), at(910), w.Row, 3, storeAt(920))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := newSeat("a")
			a.RowRead(at(0), at(0), nil, 0, storeAt(0))
			w := a.NextWrite(at(0), nil, 0, false)
			must.NotNil(t, w)
			must.True(t, a.ClaimPending())
			must.True(t, answer(a, w).Gained)
			must.False(t, a.ClaimPending())
		})
	}
	a := newSeat("a")
	a.RowRead(at(0), at(0), nil, 0, storeAt(0))
	w := a.NextWrite(at(0), nil, 0, false)
	a.RowWritten(at(900), 0)
	must.True(t, a.ClaimPending(), must.Sprint("the claim's outcome is unknown"))
	w.Row.Holder, w.Row.Epoch = "b/1", 2
	a.RowRead(at(1500), at(1490), w.Row, 4, storeAt(1500))
	must.False(t, a.ClaimPending())
}

// A process that led twice is named once, with the later of its two times.
func TestRowNamesProcessThatLedTwiceOnce(t *testing.T) {
	t.Parallel()
	row := &wire.CellLead{
		Cell: "cell", Epoch: 3, Holder: "b/1", Host: "b", Hall: "hall", RenewedStoreMs: storeAt(0).Milliseconds(),
		Earlier: []*wire.EarlierLeader{{Holder: "b/1", Host: "b", UntilStoreMs: storeAt(5000).Milliseconds()}, {Holder: "a/1", Host: "a", UntilStoreMs: storeAt(11000).Milliseconds()}},
	}
	s := newSeat("c")
	s.RowRead(at(1500), at(1490), row, 2, storeAt(1500))
	must.NotNil(t, s.NextWrite(at(1500), nil, 0, false))
	list := s.RowWritten(at(1505), 3).Predecessors
	must.Len(t, 2, list)
	must.Eq(t, "b/1", list[1].Holder)
	must.Greater(t, 10*time.Second, list[1].MayGrantFor)
}

// A worker gets work again only after the table no longer lists its runs as known, so this change is written at once.
// Newly known runs wait for the next renewal. A list that has become shorter waits until it is half as long.
func TestMembershipIsWrittenAtOnceWhenRunsBecomeUnknown(t *testing.T) {
	t.Parallel()
	s := newSeat("a")
	lead(t, s)
	open := []*wire.RosterEntry{{Id: "w"}}
	known := func(tasks ...string) []*wire.RosterEntry {
		return []*wire.RosterEntry{{Id: "w", RunsKnown: true, MayRun: tasks}}
	}
	must.NotNil(t, s.NextWrite(at(10), open, 0, false))
	s.RowWritten(at(15), 2)
	must.Nil(t, s.NextWrite(at(20), known("a", "b", "c"), 0, false))
	must.NotNil(t, s.NextWrite(at(420), known("a", "b", "c"), 0, false).Membership)
	s.RowWritten(at(425), 3)
	must.Nil(t, s.NextWrite(at(830), known("a", "b"), 0, false).Membership)
	s.RowWritten(at(835), 4)
	must.NotNil(t, s.NextWrite(at(1240), known("a"), 0, false).Membership)
	s.RowWritten(at(1245), 5)
	must.NotNil(t, s.NextWrite(at(1250), open, 0, false).Membership)
}

// A successor has to know since when the members of the row that it replaces were known. The clocks by which hosts estimate the
// table's differ by the time that a reading takes, so only this process's own readings of that version count.
func TestClaimTellsWhenTheReplacedRowWasFirstRead(t *testing.T) {
	t.Parallel()
	s := newSeat("b")
	row := &wire.CellLead{Cell: "cell", Epoch: 4, Holder: "a/1", Host: "a", Hall: "hall", RenewedStoreMs: storeAt(0).Milliseconds()}
	s.RowRead(at(100), at(50), row, 8, storeAt(100))
	s.RowRead(at(400), at(350), row, 9, storeAt(400))
	s.RowRead(at(700), at(650), row, 9, storeAt(700)) // the same version again
	must.NotNil(t, s.NextWrite(at(1250), nil, 0, false))
	change := s.RowWritten(at(1300), 10)
	must.True(t, change.Gained)
	must.Eq(t, at(400), change.ReplacedReadAt)

	first := newSeat("a")
	first.RowRead(at(0), at(0), nil, 0, storeAt(0))
	must.NotNil(t, first.NextWrite(at(0), nil, 0, false))
	must.True(t, first.RowWritten(at(5), 1).ReplacedReadAt.IsZero(), must.Sprint("it replaced none"))
}

// The answer to the claim is lost, and a reading shows that it took effect.
func TestClaimWhoseAnswerWasLostTellsWhenTheReplacedRowWasFirstRead(t *testing.T) {
	t.Parallel()
	s := newSeat("b")
	row := &wire.CellLead{Cell: "cell", Epoch: 4, Holder: "a/1", Host: "a", Hall: "hall", RenewedStoreMs: storeAt(0).Milliseconds()}
	s.RowRead(at(100), at(50), row, 8, storeAt(100))
	w := s.NextWrite(at(1250), nil, 0, false)
	must.NotNil(t, w)
	s.RowWritten(at(2000), 0)
	change := s.RowRead(at(2300), at(2290), w.Row, 9, storeAt(2300))
	must.True(t, change.Gained)
	must.Eq(t, at(100), change.ReplacedReadAt)
}
