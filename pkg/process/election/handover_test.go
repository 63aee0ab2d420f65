package election_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/election"
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
