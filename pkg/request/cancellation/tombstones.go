package cancellation

import (
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// maxRemovals is how many tombstones one transaction removes; each takes four of its 100 entries.
const maxRemovals = 25

// Tombstones are the tombstones of a cell that its leader has read and has to remove. It is not safe for concurrent use.
type Tombstones struct {
	// byPart holds the tombstones of each part by job id. A transaction stays within a part.
	byPart map[string]map[string]tombstone
}

// tombstone is what its row in the table of cancels says. Anchor and row have the same version, as one transaction wrote them.
type tombstone struct {
	until   time.Duration
	version int64
}

// Add takes a row of the cell's table of cancels. It returns false if the row belongs to no tombstone.
func (t *Tombstones) Add(r table.Row) (bool, error) {
	ref := &wire.JobRef{}
	if rows.IsReturn(r.Key) {
		return false, nil
	}
	if err := rows.Read(r, ref); err != nil {
		return false, err
	}
	if ref.GetTombstoneUntilStoreMs() == 0 {
		return false, nil
	}
	if t.byPart == nil {
		t.byPart = map[string]map[string]tombstone{}
	}
	if t.byPart[r.Part] == nil {
		t.byPart[r.Part] = map[string]tombstone{}
	}
	t.byPart[r.Part][r.Key.Key] = tombstone{until: time.Duration(ref.GetTombstoneUntilStoreMs()) * time.Millisecond, version: r.Version}
	return true, nil
}

// Len returns the number of tombstones.
func (t *Tombstones) Len() int {
	n := 0
	for _, part := range t.byPart {
		n += len(part)
	}
	return n
}

// Removal returns a transaction that removes tombstones of one part of the cell whose time is over at now, a time of the
// table's clock. It returns false if there are none. A transaction that is carried out late, or twice, removes no row that was
// written since, as it requires the versions that were read.
func (t *Tombstones) Removal(now time.Duration, cell string) (tx table.Transaction, ok bool) {
	for _, part := range slices.Sorted(maps.Keys(t.byPart)) {
		n := 0
		for _, id := range slices.Sorted(maps.Keys(t.byPart[part])) {
			if stone := t.byPart[part][id]; stone.until < now && n < maxRemovals {
				n++
				for _, key := range []table.Key{rows.AnchorKey(id), rows.CancelKey(cell, id)} {
					tx.Conditions = append(tx.Conditions, table.Condition{Key: key, Version: stone.version})
					tx.Removes = append(tx.Removes, key)
				}
			}
		}
		if n > 0 {
			return tx, true
		}
	}
	return table.Transaction{}, false
}

// Removed drops the tombstones of a transaction that was answered: all after a success, after a conflict those that the
// table does not hold as they were read.
func (t *Tombstones) Removed(tx table.Transaction, done table.CommitResult) {
	current := map[table.Key]int64{}
	for _, r := range done.Current {
		current[r.Key] = r.Version
	}
	for _, c := range tx.Conditions {
		if !done.Conflict || current[c.Key] != c.Version {
			delete(t.byPart[c.Part], c.Key.Key)
		}
	}
}
