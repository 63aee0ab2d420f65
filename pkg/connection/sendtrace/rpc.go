package sendtrace

import (
	"context"

	"google.golang.org/grpc/stats"
)

// Marks of gRPC calls. The gRPC client reports the sending of a call's headers in the
// goroutine that makes the call, before the call returns. A call that gets no connection
// before it fails or times out sends no headers.

type rpcKey struct{}

// TraceRPC returns a context for one gRPC call, and the mark of this call. The connection
// must have a Handler as its stats handler.
func TraceRPC(ctx context.Context) (context.Context, *Mark) {
	m := &Mark{}
	return context.WithValue(ctx, rpcKey{}, m), m
}

// Handler is a gRPC stats handler that sets the marks of a connection's calls.
type Handler struct{}

// TagRPC returns the call's context unchanged.
func (Handler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC sets the call's mark when the call's headers are sent.
func (Handler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, headers := s.(*stats.OutHeader); !headers {
		return
	}
	if m, ok := ctx.Value(rpcKey{}).(*Mark); ok {
		m.wrote.Store(true)
	}
}

// TagConn returns the connection's context unchanged.
func (Handler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn ignores the events of connections.
func (Handler) HandleConn(context.Context, stats.ConnStats) {}
