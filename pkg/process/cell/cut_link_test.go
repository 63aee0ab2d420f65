package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against an isolated run's crash, which a broken connection shows, that counts as part of an outage since another
// worker's poll times out just after the run's start: its link was cut more than a second before. The isolated run
// starts when the table takes its record, which sets the order of events.
func TestCutLinkIsNoCrashAtTheTimeOfABrokenConnection(t *testing.T) {
	t.Parallel()
	f, id := newIsolatedStart(100 * time.Millisecond)
	begin := f.now
	f.tableDown = true
	for f.now.Sub(begin) < 100*time.Millisecond {
		f.step()
	}
	f.cutOff["w5"] = true
	for f.now.Sub(begin) < 1400*time.Millisecond {
		f.step()
	}
	must.MapEmpty(t, f.starts)
	f.tableDown = false
	for range 2000 {
		f.step()
	}
	must.Len(t, 1, f.starts[id+".0.0.0"])
	must.StrContains(t, f.failedJobs[id], "crashed 3 workers that ran it")
}
