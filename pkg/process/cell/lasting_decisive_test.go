package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Guards against a lasting task that stands still after a takeover, since its isolated run would decide by a prompt crash:
// it has waited before, and is to use free capacity within three seconds.
func TestLastingTaskAwaitsNoLongQuietTime(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	id := f.accept(1, &wire.StepSpec{Count: 1, Millicores: 1000, EstimateMs: 500, Lasting: true})
	began := func(worker string, outside bool) *wire.CrashNote {
		return &wire.CrashNote{Worker: worker, Run: 1, Host: worker, Born: 1, Began: true, Lives: 1, Outside: outside}
	}
	f.rows[id] = &wire.JobProgress{Id: id, Units: []*wire.UnitProgress{{Notes: []*wire.TaskNote{{Crashes: []*wire.CrashNote{began("a", false), began("b", true)}}}}}}
	f.newLeader()
	f.run(2 * time.Second)
	must.SliceNotEmpty(t, f.starts[id+".0.0.0"])
}
