package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// A job was accepted while its cell changed its leader. The forerunner was told of it, and started
// a task; the successor, which had read the table just before, found the run in the worker's list,
// knew no such job, and asked for the run's end. Then it was told of the job too, and started the
// task at the same worker a tenth of a second after the forerunner, beside the run that was still
// being stopped:
//
//	36.436 s  ...0.1.15 of a deposed leader (epoch 1)
//	36.538 s  ...0.1.15 of its successor (epoch 2), at the same worker
func TestARunIsNotDoubledWhoseJobBecomesKnownLater(t *testing.T) {
	t.Parallel()
	v := newLives()
	task := "0000000000000001.0.0.0"
	v.active = []workers.Active{{Task: task, Run: 7, Percent: 10}}
	v.run(300 * time.Millisecond)
	must.Eq(t, task, v.accept(1))
	v.run(3 * time.Second)
	must.Eq(t, 0, v.startsOf(task))
	v.finish()
	v.run(3 * time.Second)
	must.Eq(t, 0, v.startsOf(task))
}

// The same with a run that had ended well by then: its end must not be forgotten by its worker
// before the job is known.
func TestAGoodEndIsKeptWhoseJobBecomesKnownLater(t *testing.T) {
	t.Parallel()
	v := newLives()
	task := "0000000000000001.0.0.0"
	v.ended = []workers.End{{Number: 1, Task: task, Run: 7, How: workers.EndedDone}}
	v.run(300 * time.Millisecond)
	must.Eq(t, 0, v.recorded)
	must.Eq(t, task, v.accept(1))
	v.run(3 * time.Second)
	must.Eq(t, 0, v.startsOf(task))
	must.Eq(t, 1, v.recorded)
}

// What no job in the table names is nobody's: its run is stopped and its end forgotten, once the
// table has been read from after they were listed.
func TestWhatNoJobNamesIsStoppedOnceTheTableWasRead(t *testing.T) {
	t.Parallel()
	v := newLives()
	v.active = []workers.Active{{Task: "0000000000000001.0.0.0", Run: 7, Percent: 10}}
	v.ended = []workers.End{{Number: 1, Task: "0000000000000002.0.0.0", Run: 8, How: workers.EndedDone}}
	v.state.Take(v.now, cell.Followed{At: v.now})
	v.run(time.Second)
	must.SliceEmpty(t, v.stops)
	must.Eq(t, 0, v.recorded)
	v.state.Take(v.now, cell.Followed{At: v.now})
	v.run(time.Second)
	must.SliceNotEmpty(t, v.stops)
	must.Eq(t, 1, v.recorded)
}
