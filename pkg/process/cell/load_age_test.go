package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
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
