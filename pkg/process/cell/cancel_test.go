package cell_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// rowsRemovedOnLoad loads a job whose cancel is in the table, and returns the rows that the leader's first transactions
// remove.
func rowsRemovedOnLoad(job cell.LoadedJob) []table.Key {
	now := time.Unix(1000, 0)
	s := cell.New("hall", cell.Bounds{Retention: time.Minute}, cell.WithPeers([]string{"hall", "target", "never"}))
	s.Take(now, cell.LeadershipGained{Epoch: 1, LeasesEndAt: now})
	s.Take(now, cell.Loaded{Epoch: 1, Fences: testFences(), Wall: now, Jobs: []cell.LoadedJob{job}, Cancels: []string{job.Spec.GetId()}})
	var list []table.Key
	for _, e := range s.Decide(now, now) {
		if r, ok := e.(cell.WriteProgress); ok {
			list = append(list, r.Transaction.Removes...)
		}
	}
	return list
}

// A cancel is written as one row for every cell. When the leader of the home cell records the job's end, it
// removes the rows for cells that never had tasks of the job. A cell that had some removes its own row.
func TestHomeCellRemovesUnusedCancels(t *testing.T) {
	t.Parallel()
	const id = "00000000000000aa"
	steps := []*wire.StepSpec{{Count: 1, Millicores: 1000}}
	progress := &wire.JobProgress{Id: id, Units: []*wire.UnitProgress{{Notes: []*wire.TaskNote{{LentTo: "target", Lending: 1}}}}}
	removed := rowsRemovedOnLoad(cell.LoadedJob{Spec: &wire.JobSpec{Id: id, Cell: "hall", Queue: "offers", Service: "quotes", Steps: steps}, Progress: progress, Recorded: 2})
	must.True(t, slices.Contains(removed, rows.CancelKey("never", id)))
	must.True(t, slices.Contains(removed, rows.CancelKey("hall", id)))
	must.False(t, slices.Contains(removed, rows.CancelKey("target", id)))
}

// A cell that tasks were delegated to removes only its own row of a cancel: the home cell's row must stand until
// the home cell's leader has read it. The same holds where all that is left of the job is that it has ended here.
func TestTargetCellRemovesOnlyItsOwnCancel(t *testing.T) {
	t.Parallel()
	const id = "00000000000000aa"
	delegated := &wire.JobSpec{Id: id, Cell: "hall", Home: "never", Queue: "offers", Service: "quotes", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000}}, Guest: []*wire.TaskRef{{Lending: 1}}}
	ended := &wire.JobProgress{Id: id, Phase: wire.JobPhase_JOB_PHASE_CANCELLED}
	for _, job := range []cell.LoadedJob{{Spec: delegated}, {Spec: &wire.JobSpec{Id: id}, Progress: ended, Recorded: 2}} {
		removed := rowsRemovedOnLoad(job)
		must.True(t, slices.Contains(removed, rows.CancelKey("hall", id)))
		must.False(t, slices.Contains(removed, rows.CancelKey("never", id)))
		must.False(t, slices.Contains(removed, rows.CancelKey("target", id)))
	}
}
