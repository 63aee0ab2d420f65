package cell_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// recorded returns the job's progress as the table holds it, or nil.
func (b *testCell) recorded(t *testing.T, name, id string) *wire.JobProgress {
	t.Helper()
	var last *wire.JobProgress
	b.eachPut(t, rows.ProgressKey(name, id), func(r table.Row) {
		last = &wire.JobProgress{}
		must.NoError(t, rows.Read(r, last))
	})
	return last
}

// succeed returns the pending count that the next leader tells once it has loaded the jobs.
func (b *testCell) succeed(t *testing.T, specs ...*wire.JobSpec) int32 {
	t.Helper()
	var loaded []cell.LoadedJob
	for _, spec := range specs {
		l := cell.LoadedJob{Spec: spec, Progress: b.recorded(t, "hall", spec.GetId())}
		if l.Progress != nil {
			l.Recorded = 1
		}
		loaded = append(loaded, l)
	}
	next := newEmptyCell()
	next.state.Take(next.now, cell.LeadershipGained{Epoch: 2, LeasesEndAt: next.now.Add(5 * time.Second)})
	next.state.Take(next.now, cell.Loaded{Epoch: 2, Wall: next.now, Fences: testFences(), Jobs: loaded})
	return next.state.Load(next.now, false).GetPending()["offers"]
}

// waitingJob returns a job of the queue offers with the given tasks, which fill a worker each.
func waitingJob(id string, count int32) *wire.JobSpec {
	return &wire.JobSpec{Id: id, Queue: "offers", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{{Count: count, Millicores: 32000, MemoryMb: 100, EstimateMs: 1000}}}
}

// The pending count of a cell jumped when its leader changed: jobs that had begun counted as waiting again.
func TestSuccessorTellsThePendingCountOfItsPredecessor(t *testing.T) {
	t.Parallel()
	b, _ := newCellWithOneFreeWorker(t)
	began, waits := waitingJob("00000000000000b1", 2), waitingJob("00000000000000b2", 1)
	waits.Steps[0].Label = "a label that no worker has"
	for _, spec := range []*wire.JobSpec{began, waits} {
		b.state.Take(b.now, cell.JobAccepted{Spec: spec})
		b.step(20 * time.Millisecond)
	}
	b.finish("00000000000000b1.0.0.0", workers.EndedBroken)
	for range 20 {
		b.step(20 * time.Millisecond)
	}
	must.NotNil(t, b.recorded(t, "hall", began.GetId()), must.Sprint("the end of a run is recorded"))
	must.Nil(t, b.recorded(t, "hall", waits.GetId()))
	must.Eq(t, 1, b.state.Load(b.now, false).GetPending()["offers"])
	must.Eq(t, 1, b.succeed(t, began, waits))
}

// A job that was delegated in part before anything of it began was recorded as waiting for as long as it ran.
func TestJobThatBeginsAfterItsRowWasWrittenIsRecordedAsBegun(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	lasting := waitingJob("00000000000000b1", 2)
	lasting.Steps[0].Lasting = true
	row := &wire.JobProgress{Id: lasting.GetId(), Phase: wire.JobPhase_JOB_PHASE_QUEUED, Units: []*wire.UnitProgress{{
		Notes: []*wire.TaskNote{{Index: 1, LentTo: "other", Lending: 1}},
	}}}
	b.state.Take(b.now, cell.LeadershipGained{Epoch: 2, LeasesEndAt: b.now})
	b.state.Take(b.now, cell.Loaded{Epoch: 2, Wall: b.now, Fences: testFences(), Jobs: []cell.LoadedJob{{Spec: lasting, Progress: row, Recorded: 1}}})
	b.state.Take(b.now, cell.MembershipRecorded{IDs: slices.Collect(maps.Keys(b.reports))})
	must.Eq(t, 1, b.state.Load(b.now, false).GetPending()["offers"])
	for range 40 {
		b.step(20 * time.Millisecond)
	}
	must.True(t, b.started[lasting.GetId()+".0.0.0"])
	must.Zero(t, b.state.Load(b.now, false).GetPending()["offers"])
	must.Zero(t, b.succeed(t, lasting))
	writes := len(b.records)
	for range 100 {
		b.step(50 * time.Millisecond)
	}
	must.Eq(t, writes, len(b.records), must.Sprint("one more write a job"))
}

// A write for each job that begins would cost the table more than all else that is recorded.
func TestJobWithoutARowIsNotRecordedWhenItBegins(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	for _, lasting := range []bool{false, true} {
		spec := waitingJob(map[bool]string{false: "00000000000000b1", true: "00000000000000b2"}[lasting], 1)
		spec.Steps[0].Lasting = lasting
		b.state.Take(b.now, cell.JobAccepted{Spec: spec})
	}
	for range 100 {
		b.step(20 * time.Millisecond)
	}
	must.MapLen(t, 2, b.started)
	must.Zero(t, b.state.Load(b.now, false).GetPending()["offers"])
	must.SliceEmpty(t, b.records)
}

// The wait of a lasting task is recorded after a takeover, and the task starts while the table still takes that record.
func TestJobThatBeginsWhileItsRowIsWrittenIsRecordedAsBegun(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	lasting := waitingJob("00000000000000b1", 1)
	lasting.Steps[0].Lasting = true
	b.heldWrites = true
	b.state.Take(b.now, cell.LeadershipGained{Epoch: 2, LeasesEndAt: b.now})
	b.state.Take(b.now, cell.Loaded{Epoch: 2, Wall: b.now, Fences: testFences(), Jobs: []cell.LoadedJob{{Spec: lasting}}})
	b.state.Take(b.now, cell.MembershipRecorded{IDs: slices.Collect(maps.Keys(b.reports))})
	for range 40 {
		b.step(20 * time.Millisecond)
	}
	must.MapLen(t, 1, b.started)
	must.Zero(t, b.state.Load(b.now, false).GetPending()["offers"])
	must.Len(t, 1, b.records)
	must.Eq(t, 1, b.succeed(t, lasting), must.Sprint("the row was sent before the start"))
	b.heldWrites = false
	b.version++
	b.state.Take(b.now, cell.WriteAnswered{Part: b.records[0].Part, Serial: b.records[0].Serial, Committed: table.CommitResult{Version: b.version}})
	for range 20 {
		b.step(20 * time.Millisecond)
	}
	must.Len(t, 2, b.records)
	must.Zero(t, b.succeed(t, lasting))
}
