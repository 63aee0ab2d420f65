package intake_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/connection/store"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/request/intake"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
)

// The load of deployment M on its entry hosts.
const (
	replayHosts    = 29
	replayInterval = 946 * time.Millisecond // between two submissions to one host: 30.65 jobs a second on all
)

// replayTable is a table that executes the writes of a part in turn, refuses them when more than a second of them waits,
// and resets all calls for a time. A call that its caller has given up is executed all the same.
type replayTable struct {
	*memTable
	write, read        time.Duration
	resetFrom, resetTo time.Time
	busyUntil          map[string]time.Time
	calls              atomic.Int64 // all calls but the periodic readings
	span               time.Duration
}

func (r *replayTable) resets() bool {
	now := clock.Now()
	return !now.Before(r.resetFrom) && now.Before(r.resetTo)
}

func (r *replayTable) Commit(ctx context.Context, t table.Transaction) (table.CommitResult, error) {
	n := r.calls.Add(1)
	if r.resets() {
		if n%2 == 0 {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.execute(t)
		}
		return table.CommitResult{}, errReset
	}
	part, now := t.Puts[0].Part, clock.Now()
	r.mu.Lock()
	begins := now
	if busy := r.busyUntil[part]; busy.After(now) {
		begins = busy
	}
	if begins.Sub(now) > time.Second {
		r.mu.Unlock()
		return table.CommitResult{}, fault.New(fault.NotRun, "table", "status 429", "")
	}
	r.busyUntil[part] = begins.Add(r.write)
	r.mu.Unlock()
	done := make(chan table.CommitResult, 1)
	time.AfterFunc(begins.Add(r.write).Sub(now), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		done <- r.execute(t)
	})
	select {
	case d := <-done:
		return d, nil
	case <-ctx.Done():
		return table.CommitResult{}, fault.New(fault.Unknown, "table", "no answer", "")
	}
}

func (r *replayTable) Read(ctx context.Context, in table.Range) (table.Page, error) {
	if in.Table == rows.AnchorTable {
		r.calls.Add(1)
	}
	if r.resets() {
		return table.Page{}, fault.New(fault.Unavailable, "table", "the connection was reset", "")
	}
	select {
	case <-time.After(r.read):
		return r.memTable.Read(ctx, in)
	case <-ctx.Done():
		return table.Page{}, fault.New(fault.Unavailable, "table", "no answer", "")
	}
}

// replayResult counts the answers of a replay. Untrue counts the refusals of jobs that the table holds, and lost the accepted
// jobs that it does not hold.
type replayResult struct{ accepted, refused, unknown, untrue, lost, calls int }

// replay plays the load on a table.
func replay(ctx context.Context, r *replayTable, options ...intake.Option) replayResult {
	ctx, end := context.WithCancel(ctx)
	defer end()
	var answers sync.Map
	var callers sync.WaitGroup
	for n := range replayHosts {
		h := newConfirmingHost(r, []store.Peer{tablePeer{r}, tablePeer{r}}, farLeader{}, true, options...)
		go func() {
			time.Sleep(300 * time.Millisecond * time.Duration(n) / replayHosts)
			for ctx.Err() == nil {
				_, _ = h.store.Read(ctx, table.Range{Table: rows.LeadTable}) // the client counts failures
				time.Sleep(300 * time.Millisecond)
			}
		}()
		callers.Go(func() {
			time.Sleep(replayInterval * time.Duration(n) / replayHosts)
			for at := time.Duration(0); at < r.span; at += replayInterval {
				id := fmt.Sprintf("%08x%08x", n, at.Milliseconds())
				callers.Go(func() { answers.Store(id, fault.CodeOf(h.submit(id))) })
				time.Sleep(replayInterval)
			}
		})
	}
	callers.Wait()
	time.Sleep(3 * r.write) // what callers have given up is executed
	result := replayResult{calls: int(r.calls.Load())}
	answers.Range(func(id, code any) bool {
		held := r.holds(id.(string))
		switch code.(fault.Code) {
		case fault.NotRun:
			result.refused++
			if held {
				result.untrue++
			}
		case fault.Unknown:
			result.unknown++
		default: // no fault
			result.accepted++
			if !held {
				result.lost++
			}
		}
		return true
	})
	return result
}

// replayBoth plays the load without and with the setting.
func replayBoth(t *testing.T, newTable func() *replayTable) (off, on replayResult) {
	t.Helper()
	var both sync.WaitGroup
	both.Go(func() { off = replay(t.Context(), newTable()) })
	both.Go(func() { on = replay(t.Context(), newTable(), intake.WithConfirmation()) })
	both.Wait()
	t.Logf("without the setting %+v, with it %+v", off, on)
	must.Eq(t, 0, on.untrue)
	must.Eq(t, 0, on.lost)
	return off, on
}

// On a table that is 66 times slower, calls were given up after 900 ms and repeated, which made the parts' queues longer.
func TestReplayOfSlowTable(t *testing.T) {
	t.Parallel()
	off, on := replayBoth(t, func() *replayTable {
		return &replayTable{memTable: newMemTable(), write: 500 * time.Millisecond, read: 264 * time.Millisecond, busyUntil: map[string]time.Time{}, span: 4 * time.Second}
	})
	must.LessEq(t, off.calls, on.calls)
	must.LessEq(t, 5, on.unknown)
	must.Greater(t, off.accepted, on.accepted)
}

// While a table resets all calls, submissions that were sent had an unknown outcome, which callers do not repeat.
func TestReplayOfTableThatResetsCalls(t *testing.T) {
	t.Parallel()
	off, on := replayBoth(t, func() *replayTable {
		from := clock.Now().Add(time.Second)
		return &replayTable{
			memTable: newMemTable(), write: 8 * time.Millisecond, read: 4 * time.Millisecond, busyUntil: map[string]time.Time{},
			resetFrom: from, resetTo: from.Add(4200 * time.Millisecond), span: 6500 * time.Millisecond,
		}
	})
	must.Less(t, off.unknown/4, on.unknown)
}
