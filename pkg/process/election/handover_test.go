package election_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/election"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// renewUntil renews a led seat every 400 ms, from 400 ms up to the given time.
func renewUntil(s *election.Seat, untilMs int) {
	for ms := 400; ms <= untilMs; ms += 400 {
		if s.NextWrite(at(ms), nil, 0, false) != nil {
			s.RowWritten(at(ms+5), int64(ms))
		}
	}
}

// Guards against a release while the table is away: the leader starts nothing any more, and nobody can claim the cell.
func TestNoReleaseBeginsWithoutTheTable(t *testing.T) {
	t.Parallel()
	s := newSeat("a")
	lead(t, s)
	renewUntil(s, 8000)
	must.True(t, s.MayRelease(at(9000)))
	must.NotNil(t, s.NextWrite(at(8400), nil, 0, false))
	s.RowWritten(at(9300), 0)
	must.False(t, s.MayRelease(at(9310)))
	must.False(t, s.MayHandOver(at(9310)))
}

// Guards against a release right after a renewal that the table has not answered: it can't be written before the row is
// read again, and the table may be away.
func TestNoReleaseBeginsAfterAFailedRenewal(t *testing.T) {
	t.Parallel()
	s := newSeat("a")
	lead(t, s)
	w := s.NextWrite(at(500), nil, 0, false)
	s.RowWritten(at(510), 0)
	must.False(t, s.MayRelease(at(520)))
	s.RowRead(at(600), at(590), w.Row, 2, storeAt(600))
	must.True(t, s.MayRelease(at(600)))
}

// Guards against handovers to a stronger host in quick succession.
func TestNoHandOverFromALeaderThatHasJustBegun(t *testing.T) {
	t.Parallel()
	s := newSeat("a")
	must.False(t, s.MayRelease(at(0)))
	lead(t, s)
	renewUntil(s, 4800)
	must.True(t, s.MayRelease(at(4900)))
	must.False(t, s.MayHandOver(at(4900)))
	must.NotNil(t, s.NextWrite(at(5300), nil, 0, false))
	s.RowWritten(at(5305), 5300)
	must.True(t, s.MayHandOver(at(5310)))
}

// Guards against a handover to a host that hands the cell over again at once, or can't lead it.
func TestHostAcceptsAnOfferOnlyWhenItCanLead(t *testing.T) {
	t.Parallel()
	s := newSeat("b")
	must.False(t, s.AcceptsOffer(at(1999), false, true), must.Sprint("just started"))
	must.False(t, s.AcceptsOffer(at(2000), true, true), must.Sprint("stopping"))
	must.False(t, s.AcceptsOffer(at(2000), false, false), must.Sprint("without a manifest"))
	must.True(t, s.AcceptsOffer(at(2000), false, true))
}

// Guards against a successor that is weaker than need be, and against one that has yet to restart.
func TestStrongestAndThenYoungestHostSucceeds(t *testing.T) {
	t.Parallel()
	_, found := election.ChooseSuccessor(nil)
	must.False(t, found)
	chosen, _ := election.ChooseSuccessor([]election.Acceptance{
		{Host: "weak", Processors: 1, Up: 3 * time.Second},
		{Host: "old", Processors: 4, Up: time.Hour},
		{Host: "young", Processors: 4, Up: 5 * time.Second},
		{Host: "older", Processors: 4, Up: time.Minute},
	})
	must.Eq(t, "young", chosen.Host)
}

// newReader returns a seat with confirmed handovers that reads a row at the given time.
func newReader(host string, row *wire.CellLead, version int64, readAtMs int) *election.Seat {
	self := election.Self{Incarnation: host + "/1", Host: host, Hall: "hall", Address: host, Since: t0.Add(-time.Minute)}
	s := election.New("cell", "hall", self, election.WithConfirmedHandover())
	s.RowRead(at(readAtMs), at(readAtMs), row, version, storeAt(readAtMs))
	return s
}

// releasedTo returns the row of a release by host a at time 1,000 to a successor, and the seat that wrote it.
func releasedTo(t *testing.T, successor string) (*wire.CellLead, *election.Seat) {
	t.Helper()
	s := newSeat("a")
	lead(t, s)
	s.ReleaseTo(successor)
	w := s.NextWrite(at(1000), nil, 0, false)
	must.True(t, w.Row.GetReleased())
	must.Eq(t, successor, w.Row.GetSuccessor())
	return w.Row, s
}

// Guards against a gap when the call after the release is lost: the successor claims with its next reading.
func TestSuccessorClaimsWhenItReadsTheRelease(t *testing.T) {
	t.Parallel()
	row, _ := releasedTo(t, "b/1")
	w := newReader("b", row, 7, 1010).NextWrite(at(1010), nil, 3, false)
	must.NotNil(t, w)
	must.Eq(t, "", w.Row.GetSuccessor())
}

// Guards against a seat that waits for a successor that ended between its confirmation and the release: other hosts claim
// it after the head start, and a later incarnation of the successor's host is one of them.
func TestOthersClaimWhenTheSuccessorHasEnded(t *testing.T) {
	t.Parallel()
	row, _ := releasedTo(t, "b/0")
	for _, host := range []string{"b", "c"} {
		s := newReader(host, row, 7, 1010)
		s.AcceptHandover()
		must.Nil(t, s.NextWrite(at(1590), nil, 0, false))
		must.NotNil(t, s.NextWrite(at(1600), nil, 0, false))
	}
}

// Guards against a leader that goes on after its release took effect and the answer was lost. It learns of the release
// from a reading, and then tells the successor.
func TestReleaseWithLostAnswerIsLearnedByReading(t *testing.T) {
	t.Parallel()
	row, s := releasedTo(t, "b/1")
	s.RowWritten(at(1900), 0)
	must.Eq(t, election.Leader, s.Role())
	must.Eq(t, "", s.SuccessorToNotify())
	must.Nil(t, s.NextWrite(at(1950), nil, 0, false))
	must.True(t, s.RowRead(at(2000), at(1990), row, 7, storeAt(2000)).Lost)
	must.Eq(t, "b/1", s.SuccessorToNotify())
	claimed := &wire.CellLead{Cell: "cell", Epoch: 2, Holder: "b/1", Host: "b", Hall: "hall", RenewedStoreMs: storeAt(2010).Milliseconds()}
	s.RowRead(at(2300), at(2290), claimed, 8, storeAt(2300))
	must.Eq(t, "", s.SuccessorToNotify())
}

// Guards against a release to nobody: the seat can be claimed as before.
func TestReleaseWithoutSuccessorIsClaimedAsBefore(t *testing.T) {
	t.Parallel()
	row, _ := releasedTo(t, "")
	must.NotNil(t, newReader("c", row, 7, 1010).NextWrite(at(1010), nil, 0, false))
}

// Guards against a release that waits for the answer to a renewal sent just before it.
func TestNoRenewalIsSentBeforeAPreparedRelease(t *testing.T) {
	t.Parallel()
	s := newSeat("a")
	lead(t, s)
	s.PrepareRelease()
	must.Nil(t, s.NextWrite(at(500), nil, 0, false))
	s.ReleaseTo("b/1")
	must.True(t, s.NextWrite(at(510), nil, 0, false).Row.GetReleased())
}
