// Package table says what wrenferry asks of a transactional table service, in
// wrenferry's own words. An adapter (platform/) speaks the service's protocol.
//
// Rows live in tables, and within a table in parts. A transaction stays within
// one part. Every row has a version, drawn from one counter that rises with
// each transaction. Errors say what is known:
//
//	fault.NotRun       the service surely did nothing
//	fault.Unknown      it may have done it, or may still do it later
//	fault.Unavailable  a reading got no answer
package table

import (
	"context"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
)

// Key names one row.
type Key struct {
	Table, Part, Key string
}

// Row is a row as it was read, or as it is to be written.
type Row struct {
	Key
	Value []byte
	// Version is that of the row's last change. As a condition, 0 means
	// "not there".
	Version int64
	// Gone marks, in a list of changes, a row that was removed.
	Gone bool
}

// Condition demands that a row still has a version.
type Condition struct {
	Key
	Version int64
}

// Transaction is done whole or not at all.
type Transaction struct {
	Conditions []Condition
	Puts       []Row
	Removes    []Key
}

// Entries counts what the service counts against its limit.
func (t Transaction) Entries() int { return len(t.Conditions) + len(t.Puts) + len(t.Removes) }

// Committed is the answer to a transaction.
type Committed struct {
	// Conflict says that nothing was done, since a condition did not hold.
	Conflict bool
	// Found are the rows of the conditions as they are, after a conflict.
	Found []Row
	// Version is that of all rows that were put.
	Version int64
	// StoreTime is the service's own steady clock.
	StoreTime time.Duration
}

// Range asks for rows of one part, keys rising, from From on and before To.
// Empty bounds are open.
type Range struct {
	Table, Part, From, To string
	Limit                 int
}

// Page is a part of a range as of one moment.
type Page struct {
	Rows      []Row
	More      bool
	Version   int64
	StoreTime time.Duration
}

// ErrForgotten answers a reading of changes that starts before what the service
// remembers: read the table anew.
var ErrForgotten = fault.New(fault.NotFound, "changes", "the history is gone", "read the table anew")

// Reader reads ranges.
type Reader interface {
	Read(ctx context.Context, r Range) (Page, error)
}

// ReadAll reads a whole part of a table, page by page. The version is that of
// the first page, so that reading the changes from it on misses nothing.
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
