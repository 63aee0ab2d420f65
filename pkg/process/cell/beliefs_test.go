package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// A process that receives the interference estimates of a leader and takes over from it shares only estimates
// that it has learned itself.
func TestReceivedBeliefsAreNotSharedAgain(t *testing.T) {
	t.Parallel()
	b := newBusyCell()
	for range 30 {
		b.step(600 * time.Millisecond)
	}
	must.SliceEmpty(t, b.state.Load(b.now, false).GetBeliefs())
	load := b.state.Load(b.now, true)
	must.Len(t, 5, load.GetBeliefs(), must.Sprint("the serving images of the busy cell"))

	next := cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})
	next.Take(b.now, cell.PeerLoad{Load: load})
	next.Take(b.now, cell.PeerLoad{Load: &wire.CellLoad{Leading: true, Cell: "hall"}})
	must.SliceEmpty(t, next.Load(b.now, true).GetBeliefs())
}
