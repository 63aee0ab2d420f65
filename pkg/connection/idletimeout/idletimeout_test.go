package idletimeout_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/connection/idletimeout"
)

func TestReceivedDataExtendsTheCall(t *testing.T) {
	t.Parallel()
	ctx, cancel := idletimeout.WithIdleTimeout(context.Background(), 300*time.Millisecond, time.Minute)
	defer cancel()
	for range 10 {
		time.Sleep(50 * time.Millisecond)
		must.NoError(t, ctx.Err())
		idletimeout.DataReceived(ctx)
	}
	<-ctx.Done() // ended by the idle timeout
}

func TestTotalTimeIsBounded(t *testing.T) {
	t.Parallel()
	ctx, cancel := idletimeout.WithIdleTimeout(context.Background(), time.Minute, 20*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	must.ErrorIs(t, ctx.Err(), context.DeadlineExceeded)
	idletimeout.DataReceived(context.Background()) // has no effect
}

// The caller learns of the time-out when it is due, and of the answer when it comes.
func TestAnswerAfterTheTimeoutIsLate(t *testing.T) {
	t.Parallel()
	overdue := make(chan bool, 1)
	answer, late := idletimeout.Call(context.Background(), 20*time.Millisecond, time.Minute, func(ctx context.Context) string {
		<-overdue
		must.NoError(t, ctx.Err())
		return "answer"
	}, func() { overdue <- true })
	must.True(t, late)
	must.Eq(t, "answer", answer)
}

func TestAnswerInTimeIsNotLate(t *testing.T) {
	t.Parallel()
	answer, late := idletimeout.Call(context.Background(), time.Minute, time.Minute, func(context.Context) string { return "answer" }, func() { t.Error("overdue") })
	must.False(t, late)
	must.Eq(t, "answer", answer)
}

func TestCallEndsAfterTheGraceTime(t *testing.T) {
	t.Parallel()
	_, late := idletimeout.Call(context.Background(), 10*time.Millisecond, 20*time.Millisecond, func(ctx context.Context) bool {
		<-ctx.Done()
		return true
	}, func() {})
	must.True(t, late)
}

// A call that gets its answer in pieces ends as one that gets it at once: a poll renews a lease, which runs out meanwhile.
func TestDataDoesNotExtendACallWithGrace(t *testing.T) {
	t.Parallel()
	began := time.Now()
	_, late := idletimeout.Call(context.Background(), 100*time.Millisecond, 200*time.Millisecond, func(ctx context.Context) bool {
		for ctx.Err() == nil && time.Since(began) < 10*time.Second {
			idletimeout.DataReceived(ctx)
			time.Sleep(20 * time.Millisecond)
		}
		return true
	}, func() {})
	must.True(t, late)
	must.Less(t, 5*time.Second, time.Since(began))
}
