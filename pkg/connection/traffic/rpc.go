package traffic

import (
	"context"
	"path"
	"time"

	"google.golang.org/grpc/stats"
)

// RPCHandler counts gRPC calls in a Meter. Prefix tells calls that are made from calls that are served.
type RPCHandler struct {
	Meter  *Meter
	Prefix string
}

// rpcCall is the context key of a call's *callBytes.
type rpcCall struct{}

// callBytes holds the counts of one call.
type callBytes struct {
	purpose        string
	sent, received int
}

// TagRPC implements stats.Handler.
func (h RPCHandler) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, rpcCall{}, &callBytes{purpose: h.Prefix + path.Base(info.FullMethodName)})
}

// HandleRPC implements stats.Handler.
func (h RPCHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	c, ok := ctx.Value(rpcCall{}).(*callBytes)
	if !ok {
		return
	}
	switch s := s.(type) {
	case *stats.OutPayload:
		c.sent += s.WireLength
	case *stats.InPayload:
		c.received += s.WireLength
	case *stats.End:
		h.Meter.Add(c.purpose, c.sent, c.received, s.EndTime.Sub(s.BeginTime).Round(time.Microsecond))
	}
}

// TagConn implements stats.Handler.
func (h RPCHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (h RPCHandler) HandleConn(context.Context, stats.ConnStats) {}
