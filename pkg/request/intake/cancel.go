package intake

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/request/cancellation"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// maxTombstoneTries is how often a cancel tries to insert a tombstone. A second try is needed only where a conflict shows no
// anchor, as another tombstone has just been removed.
const maxTombstoneTries = 2

// Cancel writes the rows of a cancel into the table and notifies the leaders. It returns false
// if there is no such job; the table then keeps submissions of the id out. A job whose end this host knows is left alone.
func (i *Intake) Cancel(ctx context.Context, now time.Time, id string) (bool, error) {
	if phase, known := i.knownFinalPhase(id); known {
		i.log.WithFields(logrus.Fields{"job": id, "phase": phase.String()}).Info("job-cancel-late")
		return true, nil
	}
	anchor, err := i.anchor(ctx, id)
	written := false
	for tries := 0; err == nil; {
		switch anchor.Next() {
		case cancellation.CancelJob:
			return true, i.cancelJob(ctx, now, anchor.Cell, id)
		case cancellation.AnswerNoJob:
			i.increment("cancelled-without-job")
			i.log.WithFields(logrus.Fields{
				"job": id, "written": written, "open_submission": i.outcomes.open(id), "ms": clock.Now().Sub(now).Milliseconds(),
			}).Info("job-cancel-without-job")
			return false, nil
		case cancellation.InsertTombstone:
			if tries++; tries > maxTombstoneTries {
				err = fault.New(fault.Unavailable, id, "the anchor changes all the time", "cancel again")
				break
			}
			anchor, written, err = i.insertTombstone(ctx, now, id)
		}
	}
	i.log.WithFields(logrus.Fields{"job": id, "why": err.Error()}).Warn("job-cancel-failed")
	return false, err
}

// insertTombstone keeps submissions of an id out. It returns the anchor row that the table then holds, and whether this call
// wrote it. The transaction may have taken effect, or may yet do so, if the error is fault.Unknown: the caller's next
// cancel tells.
func (i *Intake) insertTombstone(ctx context.Context, now time.Time, id string) (anchor cancellation.Anchor, written bool, err error) {
	anchor = cancellation.Anchor{Status: cancellation.Tombstone, Cell: i.tombstoneCell(), Until: i.store.StoreTime(now) + i.retention}
	done, err := i.store.Commit(ctx, cancellation.NewTombstone(id, anchor.Cell, anchor.Until))
	switch {
	case err != nil:
		return anchor, false, err
	case done.Conflict:
		anchor, err = i.cacheAnchor(id, done.Current)
		return anchor, false, err
	}
	return anchor, true, nil
}

// tombstoneCell returns the cell whose leader is to remove a tombstone: that of the own hall unless only others have a leader.
func (i *Intake) tombstoneCell() string {
	cells := i.leaders.View().Cells
	other := ""
	for _, name := range slices.Sorted(maps.Keys(cells)) {
		c := cells[name]
		switch {
		case !c.Fresh && !c.Mine:
		case c.Hall == i.hall:
			return name
		case other == "":
			other = name
		}
	}
	if other != "" {
		return other
	}
	return i.hall
}

// cancelJob cancels a job that the table holds.
func (i *Intake) cancelJob(ctx context.Context, now time.Time, cell, id string) error {
	cells := i.leaders.View().Cells
	if _, err := i.store.Commit(ctx, cancellation.CancelRows(id, cell, slices.Sorted(maps.Keys(cells)))); err != nil {
		i.log.WithFields(logrus.Fields{"job": id, "why": err.Error()}).Warn("job-cancel-failed")
		return err
	}
	i.increment("cancelled")
	i.log.WithFields(logrus.Fields{"job": id, "cell": cell, "ms": clock.Now().Sub(now).Milliseconds()}).Info("job-cancel")
	for name := range cells {
		i.notifyCancel(name, id) // arrives before the leader reads the row
	}
	return nil
}

// notifyCancel notifies a cell's leader of a cancel in the background.
func (i *Intake) notifyCancel(cell, id string) {
	i.notifyLeader(cell, func() { i.leaders.CancelRequested(cell, id) }, func(ctx context.Context, p wire.FleetClient) error {
		_, err := p.Cancelled(ctx, &wire.JobRef{Cell: cell, Id: id})
		return err
	})
}

// anchor returns what the table holds under a job's id. The home cells of jobs are cached; without an answer of the table an
// older one counts, too, as the job's leader may still be asked.
func (i *Intake) anchor(ctx context.Context, id string) (cancellation.Anchor, error) {
	if cell, known := i.knownCell(id); known {
		return cancellation.Anchor{Status: cancellation.Held, Cell: cell}, nil
	}
	key := rows.AnchorKey(id)
	page, err := i.store.Read(ctx, table.Range{Table: key.Table, Part: key.Part, From: id, To: id + "\x00", Limit: 1})
	if err == nil {
		return i.cacheAnchor(id, page.Rows)
	}
	if cached, ok := i.homeCells.Get(id); ok {
		return cancellation.Anchor{Status: cancellation.Held, Cell: cached.cell}, nil
	}
	return cancellation.Anchor{}, err
}

// cacheAnchor returns the anchor of a job's id among the rows found, and caches the home cell of a job.
func (i *Intake) cacheAnchor(id string, found []table.Row) (cancellation.Anchor, error) {
	anchor, err := cancellation.ReadAnchor(id, found)
	if err == nil && anchor.Status == cancellation.Held {
		i.cacheCell(id, anchor.Cell)
	}
	return anchor, err
}

// readConflict returns the anchor that kept an insertion of the job out. It returns a NotRun fault if that is a tombstone.
func (i *Intake) readConflict(now time.Time, id string, done table.CommitResult) (cancellation.Anchor, error) {
	anchor, err := i.cacheAnchor(id, done.Current)
	if err == nil && anchor.Status == cancellation.Tombstone {
		return anchor, i.cancelledBefore(now, id, anchor)
	}
	return anchor, nil
}

// cancelledBefore returns the NotRun fault for a submission of an id with a tombstone. No call for the job that is still open
// can take effect, so nothing about it stays unknown.
func (i *Intake) cancelledBefore(now time.Time, id string, anchor cancellation.Anchor) error {
	i.outcomes.settle(id)
	i.increment("refused.cancelled")
	wait := max(anchor.Until-i.store.StoreTime(now), time.Second)
	return fault.New(fault.NotRun, id, "the id was cancelled before a job was accepted under it", "submit the job under another id").WithRetryAfter(wait)
}
