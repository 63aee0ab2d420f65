package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// crashNote is recorded evidence that a worker crashed, or only went silent, under run 1.
func crashNote(worker string, silent bool) *wire.CrashNote {
	return &wire.CrashNote{Worker: worker, Run: 1, Host: worker, Began: true, Lives: 1, Silent: silent}
}

// The home cell of a job learns after the delegation of a task that a silent worker had crashed. Unless it notifies the
// cell that runs the task, the job fails one crash too late.
func TestADelegatedTaskFailsWhenTheHomeCellReportsACrash(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	spec := func(silent bool) *wire.JobSpec {
		return &wire.JobSpec{
			Id: delegatedJob, Cell: "hall", Home: "other", Queue: "watches", Service: "quotes", Steps: []*wire.StepSpec{{Count: 1, Millicores: 6000, Lasting: true}},
			Guest: []*wire.TaskRef{{Lending: 1, Crashes: []*wire.CrashNote{crashNote("a", false), crashNote("b", false), crashNote("c", silent)}}},
		}
	}
	b.state.Take(b.now, cell.JobAccepted{Spec: spec(true)})
	b.step(100 * time.Millisecond)
	must.Eq(t, "on trial", b.state.Suspects()[0].Level)
	b.state.Take(b.now, cell.JobAccepted{Spec: spec(false)})
	b.step(100 * time.Millisecond)
	must.SliceEmpty(t, b.state.Suspects(), must.Sprint("the job has failed"))
	failed := false
	for _, n := range b.notes {
		failed = failed || (n.Kind == cell.NoteJobEnded && n.Job == delegatedJob)
	}
	must.True(t, failed)
}

// The home cell passes the crash of a silent worker on, in the row of the delegated task.
func TestTheHomeCellReportsTheCrashOfASilentWorker(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	for _, r := range b.reports {
		r.Born = 1
	}
	b.accept("00000000000000dd", "watches", &wire.StepSpec{Count: 15, Millicores: 20000, Lasting: true})
	b.step(100 * time.Millisecond)
	b.accept(delegatedJob, "watches", &wire.StepSpec{Count: 1, Millicores: 30000, Lasting: true})
	b.step(100 * time.Millisecond)
	at := b.workerOf[delegatedJob+".0.0.0"]
	b.silent[at] = true
	for range 80 {
		b.state.Take(b.now, loadWithCapacity("other"))
		b.step(100 * time.Millisecond)
	}
	sentSpec := func() (last *wire.JobSpec) {
		b.eachPut(t, rows.SpecKey("other", delegatedJob), func(r table.Row) {
			last = &wire.JobSpec{}
			must.NoError(t, rows.Read(r, last))
		})
		return last
	}
	must.True(t, sentSpec().GetGuest()[0].GetCrashes()[0].GetSilent())
	b.silent[at] = false
	b.reports[at] = &workers.Report{Born: 2}
	for range 5 {
		b.step(100 * time.Millisecond)
	}
	must.False(t, sentSpec().GetGuest()[0].GetCrashes()[0].GetSilent())
	must.Eq(t, 1, sentSpec().GetGuest()[0].GetLending())
}

// Guards against a start of a lasting task that is poisonous if its silent worker has crashed, before that is known, and
// against a wait for that beyond the bound on all its waits: the worker may never answer again.
func TestALastingTaskAwaitsASilentWorkerWhoseCrashWouldFailItUntilItIsOverdue(t *testing.T) {
	t.Parallel()
	for _, waited := range []time.Duration{0, 2 * time.Second} {
		b := newEmptyCell()
		b.state.Take(b.now, cell.JobAccepted{Spec: &wire.JobSpec{
			Id: delegatedJob, Cell: "hall", Home: "other", Queue: "watches", Service: "quotes", Steps: []*wire.StepSpec{{Count: 1, Millicores: 6000, Lasting: true}},
			Guest: []*wire.TaskRef{{Lending: 1, WaitedMs: waited.Milliseconds(), Crashes: []*wire.CrashNote{crashNote("a", false), crashNote("b", false), crashNote("c", true)}}},
		}})
		began := b.now.Add(-waited)
		for b.now.Sub(began) < 3900*time.Millisecond {
			b.step(100 * time.Millisecond)
		}
		must.MapEmpty(t, b.started)
		for b.now.Sub(began) < 5500*time.Millisecond {
			b.step(100 * time.Millisecond)
		}
		must.MapLen(t, 1, b.started)
	}
}
