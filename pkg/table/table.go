// Package table defines the interface to a transactional table service, independent of the service's protocol. An
// adapter (platform/) implements the protocol.
//
// Rows are in tables, and within a table in parts. A transaction stays within one part. Every row has a version
// from one counter, which rises with each transaction. Errors state the outcome of a request:
//
//	fault.NotRun       the service has done nothing
//	fault.Unknown      the service may have carried out the request, or may do so later
//	fault.Unavailable  a reading got no answer
package table

import (
	"context"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
)

// Key identifies one row.
type Key struct {
	Table, Part, Key string
}

// Row is a row that was read, or a row to write.
type Row struct {
	Key
	Value []byte
	// Version is the version of the row's last change. In a condition, 0 means that the row doesn't exist.
	Version int64
	// Removed marks a removed row in a list of changes.
	Removed bool
}

// Condition requires that a row has the given version; 0 requires that the row doesn't exist.
type Condition struct {
	Key
	Version int64
}

// Transaction is applied atomically if all its conditions hold.
type Transaction struct {
	Conditions []Condition
	Puts       []Row
	Removes    []Key
}

// Entries returns the number of entries that count toward the service's limit for one transaction.
func (t Transaction) Entries() int { return len(t.Conditions) + len(t.Puts) + len(t.Removes) }

// Bytes returns the size of the values that the transaction puts.
func (t Transaction) Bytes() int {
	sum := 0
	for _, r := range t.Puts {
		sum += len(r.Value)
	}
	return sum
}

// With returns the transaction with the entries of another one added.
func (t Transaction) With(other Transaction) Transaction {
	return Transaction{
		Conditions: slices.Concat(t.Conditions, other.Conditions), Puts: slices.Concat(t.Puts, other.Puts), Removes: slices.Concat(t.Removes, other.Removes),
	}
}

// CommitResult is the answer to a transaction.
type CommitResult struct {
	// Conflict means that nothing was written, since a condition did not hold.
	Conflict bool
	// Current holds the current rows of the conditions after a conflict.
	Current []Row
	// Version is the new version of all rows that were put.
	Version int64
	// StoreTime is the time by the service's monotonic clock.
	StoreTime time.Duration
}

// Range selects rows of one part in ascending order of keys, from From (inclusive) to To (exclusive). An empty bound
// is open.
type Range struct {
	Table, Part, From, To string
	Limit                 int
}

// Page is a consistent reading of a range's first rows. More means that the range has further rows. Version is the
// version as of which the rows were read, StoreTime the time by the service's monotonic clock.
type Page struct {
	Rows      []Row
	More      bool
	Version   int64
	StoreTime time.Duration
}

// ErrChangesExpired is returned for a reading of changes from a version that is older than the service's history of
// changes. The caller has to read the whole table.
var ErrChangesExpired = fault.New(fault.NotFound, "changes", "the service no longer keeps these changes", "read the whole table")

// Reader reads ranges of rows.
type Reader interface {
	Read(ctx context.Context, r Range) (Page, error)
}

// ReadAll reads a whole part of a table, page by page. The version returned is that of the first page, so that a
// reading of the changes since that version misses none.
func ReadAll(ctx context.Context, from Reader, tableName, part string) (Page, error) {
	whole := Page{}
	next := Range{Table: tableName, Part: part}
	for {
		page, err := from.Read(ctx, next)
		if err != nil {
			return Page{}, err
		}
		if whole.Version == 0 {
			whole.Version = page.Version
		}
		whole.StoreTime = page.StoreTime
		whole.Rows = append(whole.Rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return whole, nil
		}
		next.From = page.Rows[len(page.Rows)-1].Key.Key + "\x00"
	}
}
