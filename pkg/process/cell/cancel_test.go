package cell_test

import (
	"errors"
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

// cancelsRemoved passes the events to a leader that has read a cancel of an unknown job, lets the retention pass, and returns the
// rows that its transactions then remove. The first transaction gets no answer.
func cancelsRemoved(t *testing.T, id string, events ...cell.Event) (list []table.Key) {
	t.Helper()
	now := time.Unix(1000, 0)
	s := cell.New("hall", cell.Bounds{Retention: time.Minute}, cell.WithPeers([]string{"hall", "home"}))
	s.Take(now, cell.LeadershipGained{Epoch: 1, LeasesEndAt: now})
	s.Take(now, cell.Loaded{Epoch: 1, Fences: testFences(), Wall: now})
	s.Take(now, cell.CancelRequested{ID: id})
	for _, e := range events {
		s.Take(now, e)
	}
	unanswered := false
	for range 90 {
		now = now.Add(time.Second)
		s.Take(now, cell.LeadershipConfirmed{SentAt: now, Until: now.Add(10 * time.Second)})
		s.Take(now, cell.TableCaughtUp{At: now})
		s.Take(now, cell.Tick{})
		for _, e := range s.Decide(now, now) {
			r, ok := e.(cell.WriteProgress)
			if !ok {
				continue
			}
			if !unanswered {
				unanswered = true
				s.Take(now, cell.WriteAnswered{Part: r.Part, Serial: r.Serial, Err: errors.New("no answer")})
				continue
			}
			must.Greater(t, time.Minute, now.Sub(time.Unix(1000, 0)))
			list = append(list, r.Transaction.Removes...)
			s.Take(now, cell.WriteAnswered{Part: r.Part, Serial: r.Serial, Committed: table.CommitResult{Version: 9}})
		}
	}
	return list
}

// Guards against rows that stay for ever: the table carries a cancel out late, after the home cell has removed the rows that it
// had written to all cells.
func TestCancelOfAJobThatNeverComesIsRemoved(t *testing.T) {
	t.Parallel()
	const id = "00000000000000aa"
	must.Eq(t, []table.Key{rows.CancelKey("hall", id)}, cancelsRemoved(t, id))
}

// The home cell usually removes the rows of a cancel, which must cost the other cells no transaction.
func TestCancelThatTheHomeCellRemovedCostsNothing(t *testing.T) {
	t.Parallel()
	const id = "00000000000000aa"
	must.SliceEmpty(t, cancelsRemoved(t, id, cell.CancelRemoved{ID: id}))
}
