package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Guards against one more start after five crashes: a leader ordered the isolated run that was to decide and ended before
// it learned of the crash, and its successor finds the recorded run nowhere.
func TestTaskWithALostIsolatedRunAsFifthCrashStartsNoMore(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	id := f.accept(1, oneTask())
	task := id + ".0.0.0"
	f.crashAfter[task] = 10 * time.Millisecond
	began := func(worker string, outside bool) *wire.CrashNote {
		return &wire.CrashNote{Worker: worker, Run: 1, Host: worker, Born: 1, Began: true, Lives: 3, Outside: outside}
	}
	f.rows[id] = &wire.JobProgress{Id: id, Units: []*wire.UnitProgress{{Notes: []*wire.TaskNote{{Crashes: []*wire.CrashNote{
		{Worker: "gone", Born: 1, Unseen: true, Company: 9, Lives: 1, Accused: 10},
		began("a", false), began("b", true), began("c", true),
	}}}}}}
	f.newLeader()
	for range 2000 {
		f.run(crashStep)
		if len(f.starts[task]) == 1 {
			break
		}
	}
	must.Len(t, 1, f.starts[task])
	f.newLeader() // before it learns of the crash
	f.run(30 * time.Second)
	must.Len(t, 1, f.starts[task])
	must.StrContains(t, f.failedJobs[id], "crashed 5 workers that ran it")
}
