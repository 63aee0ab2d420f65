package store_test

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/connection/store"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/table"
)

// answerLosingTable is a table that executes commits but loses their answers. Reads succeed.
type answerLosingTable struct{ reads int }

func (l *answerLosingTable) Commit(context.Context, table.Transaction) (table.CommitResult, error) {
	return table.CommitResult{}, fault.New(fault.Unknown, "table", "the answer was lost", "read it")
}

func (l *answerLosingTable) Read(context.Context, table.Range) (table.Page, error) {
	l.reads++
	return table.Page{}, nil
}

func (l *answerLosingTable) Changes(context.Context, string, int64, time.Duration) (table.Page, error) {
	return table.Page{}, nil
}

// After two commits without an answer, calls go to peers first. A host that knows no
// peer must still call the table directly.
func TestWithoutPeersTheTableIsCalledDirectlyAfterFailures(t *testing.T) {
	t.Parallel()
	l := &answerLosingTable{}
	c := store.New(l, func() []store.Peer { return nil }, metrics.NewRegistry(), clock.Now())
	for range 2 {
		_, err := c.Commit(t.Context(), table.Transaction{})
		must.Eq(t, fault.Unknown, fault.CodeOf(err))
	}
	must.True(t, c.DirectFailing())
	_, err := c.Read(t.Context(), table.Range{})
	must.NoError(t, err)
	must.Eq(t, 1, l.reads)
}
