// Package cancellation decides what a cancel does by the anchor row of the job's id, and builds the transactions of cancels.
// It does no I/O and reads no clock.
//
// A row that is missing does not prove that the job won't run: a submission without an answer may still be carried out
// seconds later, on behalf of another host, or of one that has ended since. So a cancel that finds no job writes a tombstone
// in place of the anchor. It makes the condition of each such insertion fail, and only then is the caller told that there is
// no job. Of a cancel and an insertion that meet, the table carries out one first: the other one finds its row.
package cancellation

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Status is what the table holds under a job's id.
type Status int

// The statuses.
const (
	// Absent means that there is no row, so that an insertion of the job may take effect.
	Absent Status = iota
	// Held means that the table holds the job.
	Held
	// Tombstone means that there is no job, and that no insertion takes effect while the row stands.
	Tombstone
)

// Anchor is what the anchor row of a job's id says.
type Anchor struct {
	Status Status
	// Cell is the home cell of a job, or the cell whose leader removes a tombstone.
	Cell string
	// Until is the time by the table's clock up to which a tombstone stands.
	Until time.Duration
}

// ReadAnchor returns the anchor of a job's id among the rows that a reading or a conflict returned.
func ReadAnchor(id string, found []table.Row) (Anchor, error) {
	key := rows.AnchorKey(id)
	for _, r := range found {
		if r.Key != key || (r.Version == 0 && len(r.Value) == 0) {
			continue // a conflict returns a missing row without version and value
		}
		anchor := &wire.JobAnchor{}
		if err := rows.Read(r, anchor); err != nil {
			return Anchor{}, err
		}
		if until := anchor.GetTombstoneUntilStoreMs(); until > 0 {
			return Anchor{Status: Tombstone, Cell: anchor.GetCell(), Until: time.Duration(until) * time.Millisecond}, nil
		}
		return Anchor{Status: Held, Cell: anchor.GetCell()}, nil
	}
	return Anchor{}, nil
}

// Action is what a cancel does next.
type Action int

// The actions.
const (
	// InsertTombstone commits the transaction of NewTombstone. After a conflict the anchor in its answer decides anew.
	InsertTombstone Action = iota
	// CancelJob commits the transaction of CancelRows.
	CancelJob
	// AnswerNoJob answers that there is no job, which then stays true.
	AnswerNoJob
)

// Next returns what a cancel does that has found the anchor.
func (a Anchor) Next() Action {
	switch a.Status {
	case Held:
		return CancelJob
	case Tombstone:
		return AnswerNoJob
	case Absent:
	}
	return InsertTombstone
}

// NewTombstone returns the transaction that writes a tombstone if there is no anchor. The leader of the cell finds the
// tombstone by a row in the cell's table of cancels, and removes both when its time is over.
func NewTombstone(id, cell string, until time.Duration) table.Transaction {
	anchor := rows.AnchorKey(id)
	return table.Transaction{
		Conditions: []table.Condition{{Key: anchor}},
		Puts: []table.Row{
			rows.Row(anchor, &wire.JobAnchor{Cell: cell, TombstoneUntilStoreMs: until.Milliseconds()}),
			rows.Row(rows.CancelKey(cell, id), &wire.JobRef{Cell: cell, Id: id, TombstoneUntilStoreMs: until.Milliseconds()}),
		},
	}
}

// CancelRows returns the transaction that cancels a job: a row for its home cell, and one for each other cell.
//
// A cell that runs delegated tasks of the job must learn of the cancel even while the home cell has no leader. Its next leader
// must learn of it, too: a notification may be lost, or end with its recipient.
func CancelRows(id, home string, cells []string) table.Transaction {
	tx := table.Transaction{Puts: []table.Row{rows.Row(rows.CancelKey(home, id), &wire.JobRef{Cell: home, Id: id})}}
	for _, name := range cells {
		if name != home {
			tx.Puts = append(tx.Puts, rows.Row(rows.CancelKey(name, id), &wire.JobRef{Cell: name, Id: id}))
		}
	}
	return tx
}
