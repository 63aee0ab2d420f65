package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Guards against a lasting task without a bound on its starts: another worker crashes each second, so the task's
// isolation is waived, each of its crashes is in company, and one unobserved end among them asks for a crash without
// company. One leader lives through all of it.
func TestLastingTaskOfWaivedIsolationIsGivenUpDespiteAnUnobservedEnd(t *testing.T) {
	t.Parallel()
	unobserved := &wire.CrashNote{Worker: "gone", Born: 1, Unseen: true, Company: 9, Lives: 1, Accused: 10}
	for name, recorded := range map[string][]*wire.CrashNote{
		"nothing recorded":  nil, // green: the contrast
		"an unobserved end": {unobserved},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newCrashFleet()
			id := f.accept(1, &wire.StepSpec{Count: 1, Millicores: 1000, EstimateMs: 500, Lasting: true})
			f.crashAfter[id+".0.0.0"] = 10 * time.Millisecond
			f.rows[id] = &wire.JobProgress{Id: id, Units: []*wire.UnitProgress{{Notes: []*wire.TaskNote{{Crashes: recorded}}}}}
			f.newLeader()
			f.accept(2, &wire.StepSpec{Count: 3000, Millicores: 3500, EstimateMs: 500})
			for range 100 {
				f.run(700 * time.Millisecond)
				if w := f.workers["w5"]; !w.down {
					f.crashWorker(w, 100*time.Millisecond)
				}
				if f.failedJobs[id] != "" {
					break
				}
			}
			must.LessEq(t, 5, len(f.starts[id+".0.0.0"]), must.Sprint(f.failedJobs[id]))
			must.StrContains(t, f.failedJobs[id], "workers that ran it")
		})
	}
}
