package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// The counts of a leader that could not read its table were told like those of any other.
func TestLoadTellsWhenItsLeaderReadTheTable(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.step(300 * time.Millisecond)
	load := b.state.Load(b.now, false)
	must.Eq(t, 1, load.GetEpoch())
	must.Eq(t, 300, load.GetTableReadMs(), must.Sprint("since it has led the cell"))
	b.state.Take(b.now, cell.TableCaughtUp{At: b.now.Add(-200 * time.Millisecond)})
	b.step(5 * time.Second)
	must.Eq(t, 5200, b.state.Load(b.now, false).GetTableReadMs())
	b.state.Take(b.now, cell.LeadershipLost{})
	must.Zero(t, b.state.Load(b.now, false).GetEpoch())
}

// A leader that hands its cell over takes no more jobs, so its readings find none that it would count.
func TestReadingsDuringAReleaseDoNotCount(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.state.Take(b.now, cell.TableCaughtUp{At: b.now})
	b.state.Take(b.now, cell.ReleaseRequested{})
	b.step(4 * time.Second)
	must.True(t, b.state.Releasing())
	b.accept("00000000000000b1", "offers", &wire.StepSpec{Count: 1, Millicores: 1000})
	b.state.Take(b.now, cell.TableCaughtUp{At: b.now})
	load := b.state.Load(b.now, false)
	must.Zero(t, load.GetPending()["offers"], must.Sprint("the job is its successor's"))
	must.Eq(t, 4000, load.GetTableReadMs())
}

// A reading that an earlier epoch began ends after the next one has loaded the table.
func TestReadingsOfAnEarlierEpochMakeNoLeaderLate(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.state.Take(b.now, cell.TableCaughtUp{At: b.now.Add(-5 * time.Second)})
	must.Zero(t, b.state.Load(b.now, false).GetTableReadMs())
}
