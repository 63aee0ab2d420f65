package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/clock"
)

// waking sees to a host that was suspended: its connections may have fallen silent meanwhile, and their
// keep-alives count from when it wakes. So those that nobody uses are closed at once; calls that are out
// end by their own time-outs. What it believes is judged by a clock that counts the time.
type waking struct {
	outside Outside
	log     *logrus.Entry
}

// idleCloser closes the connections that no call uses.
type idleCloser interface{ CloseIdle() }

// Serve watches until the context ends.
func (w *waking) Serve(ctx context.Context) error {
	clock.Watch(ctx, w.woke)
	return ctx.Err()
}

// String names the part for the supervisor.
func (*waking) String() string { return "waking" }

func (w *waking) woke(slept time.Duration) {
	w.log.WithField("ms", slept.Milliseconds()).Warn("host-woke")
	for _, outside := range []any{w.outside.Table, w.outside.Caller} {
		if c, ok := outside.(idleCloser); ok {
			c.CloseIdle()
		}
	}
}
