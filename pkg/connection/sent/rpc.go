package sent

import (
	"context"

	"google.golang.org/grpc/stats"
)

// The same question for calls over gRPC. Its client tells of a call's headers in the
// goroutine that makes the call, before it returns; one that fails for want of a
// connection, or that waits for one until its time is over, has had none.

type rpcKey struct{}

// WatchRPC returns a context to make one gRPC call with, and its mark. The connection
// needs a Handler.
func WatchRPC(ctx context.Context) (context.Context, *Mark) {
	m := &Mark{}
	return context.WithValue(ctx, rpcKey{}, m), m
}

// Handler sets the marks of a gRPC connection's calls.
type Handler struct{}

// TagRPC leaves a call's context as it is.
func (Handler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC takes in what becomes of a call.
func (Handler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, headers := s.(*stats.OutHeader); !headers {
		return
	}
	if m, ok := ctx.Value(rpcKey{}).(*Mark); ok {
		m.wrote.Store(true)
	}
}

// TagConn leaves a connection's context as it is.
func (Handler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn takes nothing in.
func (Handler) HandleConn(context.Context, stats.ConnStats) {}
