package cancellation_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/request/cancellation"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

const id = "00000000000000aa"

// store is a table in memory.
type store struct {
	rows    map[table.Key]table.Row
	version int64
}

func newStore() *store { return &store{rows: map[table.Key]table.Row{}} }

func (s *store) commit(tx table.Transaction) table.CommitResult {
	done := table.CommitResult{}
	for _, c := range tx.Conditions {
		r, ok := s.rows[c.Key]
		if !ok {
			r.Key = c.Key
		}
		done.Current = append(done.Current, r)
		done.Conflict = done.Conflict || r.Version != c.Version
	}
	if done.Conflict {
		return done
	}
	s.version++
	for _, r := range tx.Puts {
		r.Version = s.version
		s.rows[r.Key] = r
	}
	for _, k := range tx.Removes {
		delete(s.rows, k)
	}
	return table.CommitResult{Version: s.version}
}

// insertion is a submission's transaction.
func insertion(id string) table.Transaction {
	return table.Transaction{
		Conditions: []table.Condition{{Key: rows.AnchorKey(id)}},
		Puts:       []table.Row{rows.Row(rows.AnchorKey(id), &wire.JobAnchor{Cell: "home"}), rows.Row(rows.SpecKey("home", id), &wire.JobSpec{Id: id})},
	}
}

// read adds the rows of the cell's table of cancels to tombstones.
func (s *store) read(t *testing.T, cell string) *cancellation.Tombstones {
	t.Helper()
	stones := &cancellation.Tombstones{}
	for key, r := range s.rows {
		if key.Table == rows.CancelTable(cell) {
			_, err := stones.Add(r)
			must.NoError(t, err)
		}
	}
	return stones
}

func anchorOf(t *testing.T, found []table.Row) cancellation.Anchor {
	t.Helper()
	a, err := cancellation.ReadAnchor(id, found)
	must.NoError(t, err)
	return a
}

// Of a cancel and an insertion that meet, the second one finds the row of the first.
func TestCancelAndInsertionInBothOrders(t *testing.T) {
	t.Parallel()
	must.Eq(t, cancellation.InsertTombstone, anchorOf(t, nil).Next())

	first := newStore()
	must.False(t, first.commit(cancellation.NewTombstone(id, "home", time.Minute)).Conflict)
	done := first.commit(insertion(id))
	must.True(t, done.Conflict)
	must.Eq(t, cancellation.Anchor{Status: cancellation.Tombstone, Cell: "home", Until: time.Minute}, anchorOf(t, done.Current))
	must.Eq(t, cancellation.AnswerNoJob, anchorOf(t, done.Current).Next())

	second := newStore()
	must.False(t, second.commit(insertion(id)).Conflict)
	done = second.commit(cancellation.NewTombstone(id, "other", time.Minute))
	must.True(t, done.Conflict)
	must.Eq(t, cancellation.Anchor{Status: cancellation.Held, Cell: "home"}, anchorOf(t, done.Current))
	must.Eq(t, cancellation.CancelJob, anchorOf(t, done.Current).Next())
}

// A missing row of a conflict is no anchor, and neither is the row of another id.
func TestAnchorOfOtherRowsIsAbsent(t *testing.T) {
	t.Parallel()
	must.Eq(t, cancellation.Absent, anchorOf(t, []table.Row{{Key: rows.AnchorKey(id)}}).Status)
	other := rows.Row(rows.AnchorKey("00000000000000bb"), &wire.JobAnchor{Cell: "home"})
	other.Version = 3
	must.Eq(t, cancellation.Absent, anchorOf(t, []table.Row{other}).Status)
}

func TestRowOfEveryCellIsPartOfACancel(t *testing.T) {
	t.Parallel()
	tx := cancellation.CancelRows(id, "b", []string{"a", "b", "c"})
	var keys []table.Key
	for _, r := range tx.Puts {
		keys = append(keys, r.Key)
	}
	must.Eq(t, []table.Key{rows.CancelKey("b", id), rows.CancelKey("a", id), rows.CancelKey("c", id)}, keys)
}

// Guards against tombstones that fill the table, and that are removed while insertions may still be carried out.
func TestTombstonesAreRemovedAfterTheirTime(t *testing.T) {
	t.Parallel()
	s := newStore()
	const ids = 200
	for n := range ids {
		s.commit(cancellation.NewTombstone(fmt.Sprintf("%016x", n), "home", time.Minute+time.Duration(n)*time.Second))
	}
	must.MapLen(t, 2*ids, s.rows)
	stones := s.read(t, "home")
	_, due := stones.Removal(time.Minute, "home")
	must.False(t, due)
	transactions := 0
	for tx, due := stones.Removal(time.Hour, "home"); due; tx, due = stones.Removal(time.Hour, "home") {
		must.LessEq(t, 100, tx.Entries())
		for _, key := range tx.Removes {
			must.Eq(t, tx.Removes[0].Part, key.Part)
		}
		stones.Removed(tx, s.commit(tx))
		transactions++
		must.LessEq(t, ids, transactions)
	}
	must.MapEmpty(t, s.rows)
	must.Eq(t, 0, stones.Len())
}

// Guards against a removal that is carried out late, after the id was submitted again, and removes the anchor of a job.
func TestLateRemovalSparesANewJob(t *testing.T) {
	t.Parallel()
	s := newStore()
	s.commit(cancellation.NewTombstone(id, "home", time.Minute))
	stones := s.read(t, "home")
	tx, due := stones.Removal(time.Hour, "home")
	must.True(t, due)
	must.False(t, s.commit(tx).Conflict) // its answer is lost, and it is done once more
	must.False(t, s.commit(insertion(id)).Conflict)
	done := s.commit(tx)
	must.True(t, done.Conflict)
	stones.Removed(tx, done)
	must.Eq(t, 0, stones.Len())
	must.Eq(t, cancellation.Held, anchorOf(t, []table.Row{s.rows[rows.AnchorKey(id)]}).Status)
}

// A conflict about one tombstone must not keep the others of its part.
func TestConflictKeepsTombstonesThatStand(t *testing.T) {
	t.Parallel()
	s := newStore()
	var ids []string
	for n := 0; len(ids) < 3; n++ {
		if other := fmt.Sprintf("%016x", n); rows.JobPart(other) == rows.JobPart(id) {
			ids = append(ids, other)
			s.commit(cancellation.NewTombstone(other, "home", time.Minute))
		}
	}
	stones := s.read(t, "home")
	delete(s.rows, rows.AnchorKey(ids[1]))
	tx, _ := stones.Removal(time.Hour, "home")
	stones.Removed(tx, s.commit(tx))
	must.Eq(t, 2, stones.Len())
	tx, _ = stones.Removal(time.Hour, "home")
	must.False(t, s.commit(tx).Conflict)
}

// Rows of jobs' cancels and of returned tasks are none of a tombstone.
func TestOtherRowsOfCancelsAreNoTombstones(t *testing.T) {
	t.Parallel()
	stones := &cancellation.Tombstones{}
	for _, r := range []table.Row{
		cancellation.CancelRows(id, "home", nil).Puts[0],
		rows.Row(rows.ReturnKey("home", id, "other"), &wire.ReturnedTasks{Home: "home"}),
	} {
		added, err := stones.Add(r)
		must.NoError(t, err)
		must.False(t, added)
	}
}
