package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// A job is accepted while its cell changes its leader. The predecessor receives it and starts a task. The successor
// read the table just before, finds the run in the worker's list, and knows no such job. It must not stop this orphaned
// run: when it received the job a tenth of a second later, it started the task again, beside the run that was being
// stopped.
func TestOrphanedRunIsAdoptedWhenItsJobBecomesKnown(t *testing.T) {
	t.Parallel()
	v := newRestartingWorker()
	task := "0000000000000001.0.0.0"
	v.active = []workers.Active{{Task: task, Run: 7, Percent: 10}}
	v.run(300 * time.Millisecond)
	must.Eq(t, task, v.accept(1))
	v.run(3 * time.Second)
	must.Eq(t, 0, v.startsOf(task))
	v.finishAll()
	v.run(3 * time.Second)
	must.Eq(t, 0, v.startsOf(task))
}

// The same with a run that has ended well by then. Its end must not be acknowledged, and so forgotten by the worker,
// before the job is known.
func TestOrphanedEndCountsWhenItsJobBecomesKnown(t *testing.T) {
	t.Parallel()
	v := newRestartingWorker()
	task := "0000000000000001.0.0.0"
	v.ended = []workers.End{{Number: 1, Task: task, Run: 7, Outcome: workers.EndedDone}}
	v.run(300 * time.Millisecond)
	must.Eq(t, 0, v.recorded)
	must.Eq(t, task, v.accept(1))
	v.run(3 * time.Second)
	must.Eq(t, 0, v.startsOf(task))
	must.Eq(t, 1, v.recorded)
}

// An orphaned run is stopped, and an orphaned end acknowledged, once the table has been read from after they were
// listed and holds no job of theirs.
func TestOrphanedRunIsStoppedOnceTheTableHoldsNoJobOfIt(t *testing.T) {
	t.Parallel()
	v := newRestartingWorker()
	v.active = []workers.Active{{Task: "0000000000000001.0.0.0", Run: 7, Percent: 10}}
	v.ended = []workers.End{{Number: 1, Task: "0000000000000002.0.0.0", Run: 8, Outcome: workers.EndedDone}}
	v.state.Take(v.now, cell.TableCaughtUp{At: v.now})
	v.run(time.Second)
	must.SliceEmpty(t, v.stops)
	must.Eq(t, 0, v.recorded)
	v.state.Take(v.now, cell.TableCaughtUp{At: v.now})
	v.run(time.Second)
	must.SliceNotEmpty(t, v.stops)
	must.Eq(t, 1, v.recorded)
}

// A leader that hands its cell over does not take the job of an orphaned end any more. Its readings of the table acknowledged
// the end, which nothing had recorded, and the successor started the task again.
func TestOrphanedEndIsNotAcknowledgedDuringARelease(t *testing.T) {
	t.Parallel()
	v := newRestartingWorker()
	task := "0000000000000001.0.0.0"
	v.ended = []workers.End{{Number: 1, Task: task, Run: 7, Outcome: workers.EndedDone}}
	v.run(300 * time.Millisecond)
	v.state.Take(v.now, cell.ReleaseRequested{})
	must.Eq(t, task, v.accept(1))
	v.state.Take(v.now, cell.TableCaughtUp{At: v.now})
	v.run(time.Second)
	must.True(t, v.state.Releasing())
	must.Eq(t, 0, v.recorded)
}

// The job is known, but one of its occurrences falls due here a moment later than at the predecessor, whose clock is
// ahead or which checked earlier. An end of that occurrence must not be dropped as belonging to no job: its worker
// forgot it, and the task was started again.
func TestOrphanedEndCountsWhenItsOccurrenceFallsDue(t *testing.T) {
	t.Parallel()
	v := newRestartingWorker()
	ended, runs := "0000000000000001.0.0.0", "0000000000000001.0.0.1"
	v.active = []workers.Active{{Task: runs, Run: 8, Percent: 10}}
	v.ended = []workers.End{{Number: 1, Task: ended, Run: 7, Outcome: workers.EndedDone}}
	v.state.Take(v.now, cell.JobAccepted{Spec: &wire.JobSpec{
		Id: "0000000000000001", Queue: "offers", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{{Count: 2, Millicores: 1000, EstimateMs: 500}},
		Repeats: 1, FirstUnixMs: v.now.Add(time.Second).UnixMilli(), IntervalMs: 1000,
	}})
	v.run(500 * time.Millisecond)
	v.state.Take(v.now, cell.TableCaughtUp{At: v.now})
	v.run(300 * time.Millisecond)
	must.Eq(t, 0, v.recorded)
	must.SliceEmpty(t, v.stops)
	v.run(3 * time.Second)
	must.Eq(t, 0, v.startsOf(ended)+v.startsOf(runs))
	must.Eq(t, 1, v.recorded)
}

// Another cell has delegated an occurrence of a job to this cell, and delegates one more. The predecessor received that
// first and has started it. Its run must be taken over when the delegation becomes known here, and not started a second
// time.
func TestOrphanedRunIsAdoptedWhenItsOccurrenceIsDelegated(t *testing.T) {
	t.Parallel()
	v := newRestartingWorker()
	spec := func(occurrences int32) *wire.JobSpec {
		s := &wire.JobSpec{
			Id: "0000000000000001", Cell: "hall", Home: "other", Queue: "offers", Service: "quotes", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000}},
			Repeats: 2, FirstUnixMs: v.now.Add(-time.Minute).UnixMilli(), IntervalMs: 1000,
		}
		for n := range occurrences {
			s.Guest = append(s.Guest, &wire.TaskRef{Time: n, Lending: 1})
		}
		return s
	}
	v.state.Take(v.now, cell.JobAccepted{Spec: spec(1)})
	v.run(300 * time.Millisecond)
	v.finishAll()
	later := "0000000000000001.1.0.0"
	v.active = append(v.active, workers.Active{Task: later, Run: 99, Percent: 10})
	v.run(300 * time.Millisecond)
	v.state.Take(v.now, cell.JobAccepted{Spec: spec(2)})
	v.run(time.Second)
	must.Eq(t, 0, v.startsOf(later))
	must.SliceEmpty(t, v.stops)
}
