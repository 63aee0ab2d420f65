package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Guards against a lasting task that waits ten seconds beside free capacity to learn whether a worker crashed that never
// answers again, for its next start or for the verdict.
func TestLastingTaskOfWorkersThatStaySilentStartsOrFailsInTime(t *testing.T) {
	t.Parallel()
	prompt := func(worker string) *wire.CrashNote {
		return &wire.CrashNote{Worker: worker, Run: 1, Host: worker, Born: 1, Began: true, AgeMostMs: 10, Lives: 1}
	}
	for name, recorded := range map[string][]*wire.CrashNote{"no evidence": nil, "two crashes": {prompt("a"), prompt("b")}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newCrashFleet()
			id := f.accept(1, &wire.StepSpec{Count: 1, Millicores: 1000, EstimateMs: 500, Lasting: true})
			task := id + ".0.0.0"
			f.rows[id] = &wire.JobProgress{Id: id, Units: []*wire.UnitProgress{{Notes: []*wire.TaskNote{{Crashes: recorded}}}}}
			f.crashAfter[task] = 10 * time.Millisecond
			f.newLeader()
			starts, since := 0, f.now
			for f.failedJobs[id] == "" {
				f.runCrashedStayDown()
				if len(f.starts[task]) > starts {
					starts, since = len(f.starts[task]), f.now
				}
				must.LessEq(t, 6*time.Second, f.now.Sub(since), must.Sprintf("starts at %v", f.starts[task]))
			}
			must.LessEq(t, 5, starts+len(recorded))
		})
	}
}

// Guards against a further start of a lasting task, before it is overdue, that is poisonous if its silent worker has crashed,
// and against its start in company or without a record once it is overdue.
func TestOverdueLastingTaskStartsIsolatedBeforeTheOutcomeOfItsSilentWorkerIsKnown(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	f.accept(2, &wire.StepSpec{Count: 600, Millicores: 3500, EstimateMs: 500})
	f.run(2 * time.Second)
	task, began := delegatedJob+".0.0.0", f.now
	f.state.Take(f.now, cell.JobAccepted{Spec: &wire.JobSpec{
		Id: delegatedJob, Cell: "hall", Home: "other", Queue: "watches", Service: "quotes", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000, Lasting: true}},
		Guest: []*wire.TaskRef{{Lending: 1, WaitedMs: 1000, Crashes: []*wire.CrashNote{crashNote("a", false), crashNote("b", false), crashNote("c", true)}}},
	}})
	for len(f.starts[task]) == 0 && f.now.Sub(began) < 10*time.Second {
		f.run(crashStep)
	}
	must.Between(t, 3*time.Second, f.now.Sub(began), 4900*time.Millisecond, must.Sprint("the task had waited for one second"))
	must.MapLen(t, 1, f.workers[f.starts[task][0]].runs, must.Sprint("the start is in company"))
	must.Eq(t, f.starts[task][0], f.taskNote(delegatedJob).GetTrialWorker(), must.Sprint("the start is not recorded"))
}

// Guards against a verdict right after a takeover, before the silent worker that would decide can answer: a task that may
// still run somewhere is not known to be overdue.
func TestSuccessorAwaitsTheSilentWorkerOfALastingTask(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	id := f.accept(1, &wire.StepSpec{Count: 1, Millicores: 1000, EstimateMs: 500, Lasting: true})
	var crashes []*wire.CrashNote
	for i, worker := range []string{"a", "b", "c", "d", "w0"} {
		crashes = append(crashes, &wire.CrashNote{Worker: worker, Run: 1, Host: worker, Born: 1, Began: true, AgeMostMs: 10, Lives: 1, Silent: i >= 2})
	}
	f.rows[id] = &wire.JobProgress{Id: id, Units: []*wire.UnitProgress{{Notes: []*wire.TaskNote{{Crashes: crashes}}}}}
	f.workers["w0"].down, f.workers["w0"].upAt = true, f.now.Add(time.Hour)
	f.newLeader()
	f.run(time.Second)
	f.workers["w0"].down = false
	f.run(9 * time.Second)
	must.MapEmpty(t, f.failedJobs)
	must.SliceNotEmpty(t, f.starts[id+".0.0.0"])
}

// Guards against a verdict for a run whose worker went silent, by the wait before that run: the lease has not expired, and
// the worker answers again.
func TestVerdictOnALastingTaskDoesNotCountTheWaitBeforeItsRun(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	var crashes []*wire.CrashNote
	for _, worker := range []string{"a", "b", "c", "d"} {
		crashes = append(crashes, &wire.CrashNote{Worker: worker, Run: 1, Host: worker, Born: 1, Began: true, AgeMostMs: 10, Lives: 1, Silent: true})
	}
	f.state.Take(f.now, cell.JobAccepted{Spec: &wire.JobSpec{
		Id: delegatedJob, Cell: "hall", Home: "other", Queue: "watches", Service: "quotes", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000, Lasting: true}},
		Guest: []*wire.TaskRef{{Lending: 1, WaitedMs: 3000, Crashes: crashes}},
	}})
	task := delegatedJob + ".0.0.0"
	for len(f.starts[task]) == 0 {
		f.run(crashStep)
	}
	w := f.workers[f.starts[task][0]]
	f.run(2 * crashStep)
	w.down, w.upAt = true, f.now.Add(time.Hour)
	f.run(2 * time.Second)
	w.down, w.runs = false, map[string]crashRun{}
	f.run(6 * time.Second)
	must.MapEmpty(t, f.failedJobs)
	must.Greater(t, 1, len(f.starts[task]))
}
