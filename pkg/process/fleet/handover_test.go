package fleet_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/connection/store"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/election"
	"github.com/wrenferry/wrenferry/pkg/process/fleet"
	"github.com/wrenferry/wrenferry/pkg/table"
)

// writelessTable is empty, answers readings, and refuses transactions.
type writelessTable struct {
	pagedTable
	commits *atomic.Int64
}

func (w writelessTable) Commit(context.Context, table.Transaction) (table.CommitResult, error) {
	w.commits.Add(1)
	return table.CommitResult{}, fault.New(fault.NotRun, "table", "too many writes", "")
}

// Guards against claims as fast as the table refuses them, each of which reads the rows again: an overloaded table would
// get hundreds a second from each host.
func TestRefusedClaimsAreRetriedAtTheReadingInterval(t *testing.T) {
	t.Parallel()
	commits := &atomic.Int64{}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	now := clock.Now()
	st := store.New(writelessTable{commits: commits}, func() []store.Peer { return nil }, metrics.NewRegistry(), now)
	self := election.Self{Incarnation: "a/1", Host: "a", Hall: "hall", Since: now.Add(-time.Minute)}
	c := fleet.NewControl(self, map[string]string{"cell": "hall"}, cell.Bounds{ConfirmedHandover: true}, st, nil, nil, logger.WithField("test", true), metrics.NewRegistry())
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	go func() { _ = c.Serve(ctx) }()
	must.ErrorIs(t, (&fleet.LeadershipFollower{Store: st, Control: c}).Serve(ctx), context.DeadlineExceeded)
	must.Between(t, 2, commits.Load(), 9) // one for each reading, and one more after a refusal
}
