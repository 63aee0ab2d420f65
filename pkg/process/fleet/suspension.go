package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/clock"
)

// suspensionWatch handles the resumption of a suspended host. Its connections may have died during the suspension, and
// their keep-alive timers start only when it resumes, so the idle connections are closed at once. Calls in flight end
// by their own timeouts. Leases and other deadlines need no handling: pkg/clock counts the time of the suspension.
type suspensionWatch struct {
	outside Adapters
	log     *logrus.Entry
}

// idleCloser closes its connections that no call uses.
type idleCloser interface{ CloseIdle() }

// Serve watches for resumptions until the context ends.
func (w *suspensionWatch) Serve(ctx context.Context) error {
	clock.WatchSuspensions(ctx, w.resumed)
	return ctx.Err()
}

// String returns the name that the supervisor logs.
func (*suspensionWatch) String() string { return "waking" }

func (w *suspensionWatch) resumed(slept time.Duration) {
	w.log.WithField("ms", slept.Milliseconds()).Warn("host-woke")
	for _, outside := range []any{w.outside.Table, w.outside.Caller} {
		if c, ok := outside.(idleCloser); ok {
			c.CloseIdle()
		}
	}
}
