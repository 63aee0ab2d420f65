package intake_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"google.golang.org/grpc"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/connection/store"
	"github.com/wrenferry/wrenferry/pkg/request/intake"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// cancelRecorder leads two cells and records the cells that were notified of a cancel.
type cancelRecorder struct {
	stubLeaders
	notified *[]string
}

func (cancelRecorder) View() *intake.View {
	return &intake.View{Cells: map[string]intake.CellView{"home": {Mine: true, Fresh: true}, "other": {Mine: true, Fresh: true}}}
}

func (r cancelRecorder) CancelRequested(cell, id string) {
	*r.notified = append(*r.notified, cell+" "+id)
}

// A cell to which tasks of the job were delegated must learn of a cancel directly: the leader of the job's home cell may
// change at that moment.
func TestCancelNotifiesAllCells(t *testing.T) {
	t.Parallel()
	const id = "00000000000000aa"
	direct := fixedTable{rows: []table.Row{rows.Row(rows.AnchorKey(id), &wire.JobAnchor{Cell: "home", Queue: "offers"})}}
	var notified []string
	found, err := newIntakeWith(direct, cancelRecorder{notified: &notified}).Cancel(context.Background(), clock.Now(), id)
	must.NoError(t, err)
	must.True(t, found)
	slices.Sort(notified)
	must.Eq(t, []string{"home " + id, "other " + id}, notified)
}

// lateLeader leads a cell at another host, and takes 600 ms to carry a call out. It notes the cancels that it carried out before
// their calls had ended.
type lateLeader struct {
	wire.FleetClient
	cancelled chan string
}

func (l lateLeader) PeerClient(string) (wire.FleetClient, error) { return l, nil }

func (l lateLeader) Cancelled(ctx context.Context, in *wire.JobRef, _ ...grpc.CallOption) (*wire.Empty, error) {
	time.Sleep(600 * time.Millisecond)
	if ctx.Err() != nil {
		l.cancelled <- "too late"
		return nil, ctx.Err()
	}
	l.cancelled <- in.GetId()
	return &wire.Empty{}, nil
}

// Guards against tasks of a cancelled job that start because their leader, which had no processor for a while, carried out the
// notification after the caller had given it up, while the table did not show the cancel either.
func TestCancelReachesALeaderThatIsLate(t *testing.T) {
	t.Parallel()
	const id = "00000000000000aa"
	direct := fixedTable{rows: []table.Row{rows.Row(rows.AnchorKey(id), &wire.JobAnchor{Cell: "far", Queue: "offers"})}}
	leader := lateLeader{cancelled: make(chan string, 2)}
	log, _ := logtest.NewNullLogger()
	client := store.New(direct, func() []store.Peer { return nil }, metrics.NewRegistry(), clock.Now())
	leaders := knowingLeaders{jobs: &sync.Map{}, farFresh: true}
	_, err := intake.New("hall", client, leaders, leader, log.WithField("test", true), metrics.NewRegistry()).Cancel(context.Background(), clock.Now(), id)
	must.NoError(t, err)
	must.Eq(t, id, <-leader.cancelled)
}

// commitRecorder is a table that records the keys of committed rows.
type commitRecorder struct {
	fixedTable
	puts *[]table.Key
}

func (r commitRecorder) Commit(_ context.Context, tx table.Transaction) (table.CommitResult, error) {
	for _, row := range tx.Puts {
		*r.puts = append(*r.puts, row.Key)
	}
	return table.CommitResult{Version: 1}, nil
}

// A notification may be lost, or the leader that received it may end. So one transaction within the job's part of the
// table writes a cancel row for every cell.
func TestCancelWritesRowForEveryCell(t *testing.T) {
	t.Parallel()
	const id = "00000000000000aa"
	var puts []table.Key
	direct := commitRecorder{fixedTable{rows: []table.Row{rows.Row(rows.AnchorKey(id), &wire.JobAnchor{Cell: "home", Queue: "offers"})}}, &puts}
	_, err := newIntakeWith(direct, cancelRecorder{notified: &[]string{}}).Cancel(context.Background(), clock.Now(), id)
	must.NoError(t, err)
	must.Eq(t, []table.Key{rows.CancelKey("home", id), rows.CancelKey("other", id)}, puts)
	must.Eq(t, puts[0].Part, puts[1].Part)
}
