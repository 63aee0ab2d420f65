package intake_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/request/intake"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// countingTable counts its reads, each of which takes a while.
type countingTable struct {
	fixedTable
	reads *atomic.Int64
}

func (c countingTable) Read(ctx context.Context, in table.Range) (table.Page, error) {
	c.reads.Add(1)
	time.Sleep(time.Millisecond)
	return c.fixedTable.Read(ctx, in)
}

// A leader that answers late is not to be counted around by each caller: a count reads all parts of two tables.
func TestPendingCountsOfManyCallersShareOneReading(t *testing.T) {
	t.Parallel()
	reads := &atomic.Int64{}
	in := newIntakeWith(countingTable{reads: reads}, stubLeaders{})
	now := clock.Now()
	var wait sync.WaitGroup
	for range 20 {
		wait.Go(func() {
			n, err := in.Pending(context.Background(), now, "offers")
			must.NoError(t, err)
			must.Eq(t, 5, n)
		})
	}
	wait.Wait()
	must.Eq(t, 2*rows.JobParts, int(reads.Load()))
}

// relayExchange asks the intake of a relay for its counts, if there is one.
type relayExchange struct{ relay *intake.Intake }

func (relayExchange) Relaying() bool                         { return false }
func (relayExchange) LoadReported(time.Time, *wire.CellLoad) {}
func (r relayExchange) Pending(ctx context.Context, cell string) (map[string]int, time.Time, bool) {
	if r.relay == nil {
		return nil, time.Time{}, false
	}
	counts, readAt, err := r.relay.CountPending(ctx, clock.Now(), cell)
	return counts, readAt, err == nil
}

// While a hall is cut off, each host of the others is asked for counts that include its jobs.
func TestPendingCountsOfManyHostsShareTheReadingOfARelay(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{4, 64} {
		reads := &atomic.Int64{}
		direct := countingTable{reads: reads}
		relay := newIntakeWith(direct, stubLeaders{})
		now := clock.Now()
		for range hosts {
			in := newIntakeWith(direct, stubLeaders{}, intake.WithExchange(relayExchange{relay: relay}))
			n, err := in.Pending(t.Context(), now, "offers")
			must.NoError(t, err)
			must.Eq(t, 5, n)
		}
		must.Eq(t, 2*rows.JobParts, int(reads.Load()), must.Sprintf("%d hosts", hosts))
	}
}

func TestPendingIsCountedByTheHostWithoutARelay(t *testing.T) {
	t.Parallel()
	reads := &atomic.Int64{}
	in := newIntakeWith(countingTable{reads: reads}, stubLeaders{}, intake.WithExchange(relayExchange{}))
	n, err := in.Pending(t.Context(), clock.Now(), "offers")
	must.NoError(t, err)
	must.Eq(t, 5, n)
	must.Eq(t, 2*rows.JobParts, int(reads.Load()))
}
