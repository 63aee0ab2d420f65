package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// newSilentFleet returns a cell of twelve workers and a task that crashes each of them 10 ms after its start, beside
// short tasks. The record holds the given crashes of the task.
func newSilentFleet(recorded ...*wire.CrashNote) (f *crashFleet, task string) {
	f = newCrashFleet()
	for i := 6; i < 12; i++ {
		id := fmt.Sprintf("w%d", i)
		f.workers[id] = &fleetWorker{id: id, born: 1, runs: map[string]crashRun{}, clockOffset: time.Hour}
	}
	id := f.accept(1, oneTask())
	f.crashAfter[id+".0.0.0"] = 10 * time.Millisecond
	f.rows[id] = &wire.JobProgress{Id: id, Units: []*wire.UnitProgress{{Notes: []*wire.TaskNote{{Crashes: recorded}}}}}
	f.newLeader()
	f.accept(2, &wire.StepSpec{Count: 6000, Millicores: 3500, EstimateMs: 500})
	return f, id + ".0.0.0"
}

// runCrashedStayDown runs for one step; workers that crashed stay down.
func (f *crashFleet) runCrashedStayDown() {
	f.run(crashStep)
	for _, w := range f.sorted() {
		if w.down {
			w.upAt = f.now.Add(time.Hour)
		}
	}
}

// Guards against starts in company of a task that is a suspect for ever: the connections of three workers broke right
// after its start and none is back, so no crash is known to be one.
func TestTaskOfWorkersThatStaySilentNeedsIsolation(t *testing.T) {
	t.Parallel()
	unobserved := &wire.CrashNote{Worker: "gone", Born: 1, Unseen: true, Company: 9, Lives: 1, Accused: 10}
	for name, recorded := range map[string][]*wire.CrashNote{
		"nothing recorded":  nil,
		"an unobserved end": {unobserved},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, task := newSilentFleet(recorded...)
			for range 6000 {
				f.runCrashedStayDown()
				if len(f.starts[task]) == 4 {
					must.MapLen(t, 1, f.workers[f.starts[task][3]].runs, must.Sprint("the fourth start is in company"))
					return
				}
			}
			t.Fatal("no fourth start within a minute")
		})
	}
}
