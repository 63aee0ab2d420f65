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

// slowTable is a table that answers a commit after 1 s.
type slowTable struct{ answerLosingTable }

func (*slowTable) Commit(ctx context.Context, _ table.Transaction) (table.CommitResult, error) {
	select {
	case <-time.After(time.Second):
		return table.CommitResult{Version: 1}, nil
	case <-ctx.Done():
		return table.CommitResult{}, fault.New(fault.Unknown, "table", "no answer", "")
	}
}

// A call to a slow table was given up after 900 ms, although it would have been answered.
func TestDirectCommitGoesOnWhileItsCallerKeepsWaiting(t *testing.T) {
	t.Parallel()
	c := store.New(&slowTable{}, func() []store.Peer { return nil }, metrics.NewRegistry(), clock.Now())
	began := clock.Now()
	done, err := c.CommitDirect(t.Context(), table.Transaction{}, func(time.Time) bool { return true })
	must.NoError(t, err)
	must.Eq(t, 1, done.Version)
	must.False(t, c.Calls().DirectAnsweredAt.Before(began.Add(time.Second)))
	_, err = c.CommitDirect(t.Context(), table.Transaction{}, func(now time.Time) bool { return now.Sub(began) < 1300*time.Millisecond })
	must.Eq(t, fault.Unknown, fault.CodeOf(err))
	must.Eq(t, 1, c.Calls().DirectFailures)
}

// failingPeer is a peer that does not reach the table either.
type failingPeer struct{}

func (failingPeer) CommitFor(context.Context, table.Transaction) (table.CommitResult, error) {
	return table.CommitResult{}, fault.New(fault.NotRun, "peer", "no connection", "")
}

func (failingPeer) ReadFor(context.Context, table.Range) (table.Page, error) {
	return table.Page{}, fault.New(fault.Unavailable, "peer", "no connection", "")
}

// A table that is taken for available or away by mistake costs callers unknown outcomes or refusals.
func TestFailuresAreCountedUntilAnAnswer(t *testing.T) {
	t.Parallel()
	c := store.New(&answerLosingTable{}, func() []store.Peer { return []store.Peer{failingPeer{}} }, metrics.NewRegistry(), clock.Now())
	_, err := c.Commit(t.Context(), table.Transaction{})
	must.Error(t, err)
	must.Eq(t, 1, c.Calls().DirectFailures)
	must.Eq(t, 1, c.Calls().PeerFailures)
	ended, end := context.WithCancel(t.Context())
	end()
	_, err = c.Commit(ended, table.Transaction{})
	must.Error(t, err)
	must.Eq(t, 1, c.Calls().DirectFailures) // the caller had gone before an answer could come
	_, err = c.Changes(t.Context(), "jobs", 0, 0)
	must.NoError(t, err)
	must.Eq(t, 0, c.Calls().DirectFailures+c.Calls().PeerFailures)
}
