package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/request/cancellation"
	"github.com/wrenferry/wrenferry/pkg/table"
)

const (
	// tombstoneRemovalTimeout bounds a transaction that removes tombstones: new jobs and cancels of the cell are read after it.
	tombstoneRemovalTimeout = 300 * time.Millisecond
	// tombstoneInterval is the pause after all tombstones that were due are removed, or a removal has failed: a transaction
	// removes many of one part.
	tombstoneInterval = 10 * time.Second
)

// addTombstone adds a row of a cell's table of cancels to the tombstones. It returns false if the row is none of theirs. A
// cancel that can't be decoded counts as one of a job, whose id is the row's key.
func (c *Control) addTombstone(to *cancellation.Tombstones, r table.Row) bool {
	added, err := to.Add(r)
	if err != nil {
		c.logUnreadable(r, err)
	}
	return added
}

// removeTombstones removes some of the tombstones of a cell whose time is over. It returns whether more may be due, which is
// false after a failure, too; the transaction may then have taken effect, and the next one finds that out.
func (c *Control) removeTombstones(ctx context.Context, now time.Time, name string, of *cancellation.Tombstones) (more bool) {
	tx, ok := of.Removal(c.store.StoreTime(now), name)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, tombstoneRemovalTimeout)
	defer cancel()
	done, err := c.store.Commit(ctx, tx)
	fields := logrus.Fields{"cell": name, "rows": len(tx.Removes), "tombstones": of.Len()}
	if err != nil {
		fields["why"], fields["outcome"] = err.Error(), string(fault.CodeOf(err))
		c.log.WithFields(fields).Warn("tombstones-not-removed")
		return false
	}
	of.Removed(tx, done)
	fields["conflict"] = done.Conflict
	c.log.WithFields(fields).Info("tombstones-removed")
	return true
}
