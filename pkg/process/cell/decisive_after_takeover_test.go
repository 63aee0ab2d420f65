package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Guards against an isolated run that decides right after a takeover: the new leader does not know which workers went
// silent before it led.
func TestDecisiveRunAwaitsAQuietCellAfterATakeover(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	id := f.accept(1, oneTask())
	outside := func(worker string) *wire.CrashNote {
		return &wire.CrashNote{Worker: worker, Run: 1, Host: worker, Born: 1, Began: true, Lives: 3, Outside: true}
	}
	f.rows[id] = &wire.JobProgress{Id: id, Units: []*wire.UnitProgress{{Notes: []*wire.TaskNote{{Crashes: []*wire.CrashNote{outside("a"), outside("b"), outside("c")}}}}}}
	f.newLeader()
	f.run(3900 * time.Millisecond)
	must.SliceEmpty(t, f.starts[id+".0.0.0"])
	f.run(time.Second)
	must.Len(t, 1, f.starts[id+".0.0.0"])
}
