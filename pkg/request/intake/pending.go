package intake

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// maxPendingAge is the largest age of a known load whose count is used. Callers are promised two seconds.
const maxPendingAge = time.Second

// Pending returns the number of a queue's accepted jobs of which no task has begun. The counts
// come from the cells' leaders, or from the table where a leader can't be reached. If neither
// can be read the result is an error: a sum without a cell would mean that its jobs have begun.
func (i *Intake) Pending(ctx context.Context, now time.Time, queue string) (int, error) {
	sum := 0
	view := i.leaders.View()
	for _, name := range slices.Sorted(maps.Keys(view.Cells)) {
		n, err := i.pendingInCell(ctx, now, name, view.Cells[name], queue)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

// pendingInCell returns a queue's pending count in one cell: from the known load if it is fresh, otherwise from the
// leader, otherwise from the table.
func (i *Intake) pendingInCell(ctx context.Context, now time.Time, name string, c CellView, queue string) (int, error) {
	i.mu.Lock()
	known, age := i.board.Load(now, name)
	i.mu.Unlock()
	if known != nil && age <= maxPendingAge {
		return int(known.GetPending()[queue]), nil
	}
	askCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if reported := i.fetchLoad(askCtx, name, c, false); reported.GetLeading() && reported.GetCell() == name {
		i.applyLoad(now, reported)
		return int(reported.GetPending()[queue]), nil
	}
	n, err := i.countPendingInTable(ctx, name, queue)
	if err == nil {
		i.increment("pending-from-table")
		i.log.WithFields(logrus.Fields{"cell": name, "queue": queue, "count": n}).Info("pending-from-table")
	}
	return n, err
}

// countPendingInTable counts the queue's jobs in the table that have no progress row. Some of
// these may have begun already.
func (i *Intake) countPendingInTable(ctx context.Context, cell, queue string) (int, error) {
	n := 0
	for p := range rows.JobParts {
		part := rows.PartName(p)
		specs, err := table.ReadAll(ctx, i.store, rows.SpecTable(cell), part)
		if err != nil {
			return 0, err
		}
		progress, err := table.ReadAll(ctx, i.store, rows.ProgressTable(cell), part)
		if err != nil {
			return 0, err
		}
		n += countPendingRows(specs.Rows, progress.Rows, queue)
	}
	return n, nil
}

// countPendingRows counts the specs of a queue without a progress row. Jobs of delegated tasks are left out: their home
// cell counts them.
func countPendingRows(specs, progress []table.Row, queue string) int {
	begun := map[string]bool{}
	for _, r := range progress {
		begun[r.Key.Key] = true
	}
	n := 0
	for _, r := range specs {
		spec := &wire.JobSpec{}
		if rows.Read(r, spec) != nil || begun[r.Key.Key] || spec.GetQueue() != queue || len(spec.GetGuest()) > 0 {
			continue // the cell's leader reports specs that can't be read
		}
		n++
	}
	return n
}
