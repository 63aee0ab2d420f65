package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// resizableWorker is a leader with one worker whose capacity changes.
type resizableWorker struct {
	*restartingWorker
	version int64
}

// newResizableWorker returns a leader that has polled its worker, of 32 cores.
func newResizableWorker() *resizableWorker {
	return &resizableWorker{restartingWorker: newRestartingWorker()}
}

// setCapacity registers the worker with a new capacity, in a new version of its row.
func (v *resizableWorker) setCapacity(millicores int64) {
	v.version++
	v.registerCapacity(millicores, v.version)
}

// registerCapacity registers the worker with a capacity, in the given version of its row.
func (v *resizableWorker) registerCapacity(millicores, version int64) {
	v.state.Take(v.now, cell.WorkersListed{Records: []workers.Record{{
		ID: "w", Born: v.born, Service: "quotes", Address: "x", Hall: "hall", Ready: true, Host: "h", Version: version,
		Capacity: ledger.Size{Millicores: millicores, MemoryMB: 128000},
	}}})
}

// When the capacity of a worker shrinks, nothing more is started there until its runs fit again, and none of
// them is stopped. Capacity that grows is used at once.
func TestShrunkCapacityTakesNoMoreAndGrownCapacityIsUsed(t *testing.T) {
	t.Parallel()
	v := newResizableWorker()
	v.setCapacity(2000)
	v.run(200 * time.Millisecond)
	first, second := v.accept(1), v.accept(2)
	v.run(200 * time.Millisecond)
	must.Eq(t, 1, v.startsOf(first))
	must.Eq(t, 1, v.startsOf(second))
	v.setCapacity(1000)
	third := v.accept(3)
	v.run(600 * time.Millisecond)
	v.setCapacity(0)
	v.run(400 * time.Millisecond)
	must.Eq(t, 0, v.startsOf(third))
	must.SliceEmpty(t, v.stops)
	v.setCapacity(3000)
	v.run(200 * time.Millisecond)
	must.Eq(t, 1, v.startsOf(third))
}

// An answer of a worker may report a newer capacity than its row does. Reading the same version of the row
// again does not undo that; reading a newer version does.
func TestNewestReportedCapacityCounts(t *testing.T) {
	t.Parallel()
	v := newResizableWorker()
	v.setCapacity(2000)
	capacity := ledger.Size{Millicores: 500, MemoryMB: 128000}
	v.capacity = &capacity
	v.run(time.Second)
	v.capacity = nil
	task := v.accept(1)
	v.registerCapacity(2000, v.version)
	v.run(time.Second)
	must.Eq(t, 0, v.startsOf(task))
	v.setCapacity(2000)
	v.run(200 * time.Millisecond)
	must.Eq(t, 1, v.startsOf(task))
}

// A worker that does not refuse starts beyond its capacity lists a run that this cell does not know. The run's
// size is unknown, so nothing is started beside it. (A worker that does refuse them needs no such caution.)
func TestNothingStartsBesideUnknownRunWhereCapacityIsNotEnforced(t *testing.T) {
	t.Parallel()
	v := newResizableWorker()
	v.state.Take(v.now, cell.ManifestChanged{Manifest: manifest.New(2, []manifest.Queue{
		{Name: "offers", Service: "quotes", MaxAttempts: 3, Stretch: 2, Slack: time.Second},
	}, []manifest.Service{{Name: "quotes"}}, manifest.Limits{})})
	v.active = []workers.Active{{Task: "00000000000000ee.0.0.0", Run: 7, Percent: 1}}
	v.run(200 * time.Millisecond)
	v.state.Take(v.now, cell.JobAccepted{Spec: &wire.JobSpec{
		Id: "0000000000000001", Queue: "offers", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000, EstimateMs: 500}},
	}})
	v.run(time.Second)
	must.Eq(t, 0, v.startsOf("0000000000000001.0.0.0"))
	v.active = nil
	v.run(time.Second)
	must.Eq(t, 1, v.startsOf("0000000000000001.0.0.0"))
}
