package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Guards against a sixth start of a lasting task that crashes its workers, where only one host has capacity for it and a
// crash before the takeover was not observed.
func TestLastingCrashTaskAtOneHostIsGivenUpAfterFiveStarts(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	f.accept(9, &wire.StepSpec{Count: 5, Millicores: 8000, EstimateMs: 500, Lasting: true})
	f.run(time.Second)
	for _, w := range f.workers {
		for task, r := range w.runs {
			r.duration = time.Hour
			w.runs[task] = r
		}
	}
	id := f.accept(1, &wire.StepSpec{Count: 1, Millicores: 1000, EstimateMs: 500, Lasting: true})
	f.crashAfter[id+".0.0.0"] = 10 * time.Millisecond
	unobserved := []*wire.CrashNote{{Worker: "gone", Born: 1, Unseen: true, Company: 9, Lives: 1, Accused: 10}}
	f.rows[id] = &wire.JobProgress{Id: id, Units: []*wire.UnitProgress{{Notes: []*wire.TaskNote{{Crashes: unobserved}}}}}
	f.newLeader()
	f.accept(2, &wire.StepSpec{Count: 3000, Millicores: 1700, EstimateMs: 500})
	for began := f.now; f.now.Sub(began) < 60*time.Second && f.failedJobs[id] == ""; {
		f.run(10 * time.Millisecond)
	}
	must.MapContainsKey(t, f.failedJobs, id)
	must.LessEq(t, 5, len(f.starts[id+".0.0.0"]))
}
