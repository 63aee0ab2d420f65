package intake_test

import (
	"context"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/request/intake"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// cancelRecorder leads two cells and records the cells that were notified of a cancel.
type cancelRecorder struct {
	stubLeaders
	notified *[]string
}

func (cancelRecorder) View() *intake.View {
	return &intake.View{Cells: map[string]intake.CellView{"home": {Mine: true, Fresh: true}, "other": {Mine: true, Fresh: true}}}
}

func (r cancelRecorder) CancelRequested(cell, id string) {
	*r.notified = append(*r.notified, cell+" "+id)
}

// A cell to which tasks of the job were delegated must learn of a cancel directly: the leader of the job's home cell may
// change at that moment.
func TestCancelNotifiesAllCells(t *testing.T) {
	t.Parallel()
	const id = "00000000000000aa"
	direct := fixedTable{rows: []table.Row{rows.Row(rows.AnchorKey(id), &wire.JobAnchor{Cell: "home", Queue: "offers"})}}
	var notified []string
	found, err := newIntakeWith(direct, cancelRecorder{notified: &notified}).Cancel(context.Background(), clock.Now(), id)
	must.NoError(t, err)
	must.True(t, found)
	slices.Sort(notified)
	must.Eq(t, []string{"home " + id, "other " + id}, notified)
}

// commitRecorder is a table that records the keys of committed rows.
type commitRecorder struct {
	fixedTable
	puts *[]table.Key
}

func (r commitRecorder) Commit(_ context.Context, tx table.Transaction) (table.CommitResult, error) {
	for _, row := range tx.Puts {
		*r.puts = append(*r.puts, row.Key)
	}
	return table.CommitResult{Version: 1}, nil
}

// A notification may be lost, or the leader that received it may end. So one transaction within the job's part of the
// table writes a cancel row for every cell.
func TestCancelWritesRowForEveryCell(t *testing.T) {
	t.Parallel()
	const id = "00000000000000aa"
	var puts []table.Key
	direct := commitRecorder{fixedTable{rows: []table.Row{rows.Row(rows.AnchorKey(id), &wire.JobAnchor{Cell: "home", Queue: "offers"})}}, &puts}
	_, err := newIntakeWith(direct, cancelRecorder{notified: &[]string{}}).Cancel(context.Background(), clock.Now(), id)
	must.NoError(t, err)
	must.Eq(t, []table.Key{rows.CancelKey("home", id), rows.CancelKey("other", id)}, puts)
	must.Eq(t, puts[0].Part, puts[1].Part)
}
