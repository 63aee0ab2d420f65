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
