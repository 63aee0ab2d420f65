// Package fleetpeer is the connection between entry hosts of a fleet, over
// gRPC: a client for each address, and the serving side.
//
// The package makes no decisions. A peer that does not answer costs its caller
// a bounded wait only.
package fleetpeer

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/wrenferry/wrenferry/pkg/connection/sendtrace"
	"github.com/wrenferry/wrenferry/pkg/connection/traffic"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Clients holds one gRPC connection for each address that To was called with.
type Clients struct {
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
	meter *traffic.Meter

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewClients returns a Clients without connections. dial opens a connection, which should
// fail when its peer stops acknowledging data. Calls are counted in the meter, which may be nil.
func NewClients(dial func(ctx context.Context, network, address string) (net.Conn, error), meter *traffic.Meter) *Clients {
	return &Clients{dial: dial, meter: meter, conns: map[string]*grpc.ClientConn{}}
}

// PeerClient returns the client of the peer at the address, and opens its connection when first used.
func (c *Clients) PeerClient(address string) (*Peer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conns[address]
	if conn == nil {
		var err error
		conn, err = grpc.NewClient("passthrough:///"+address,
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) { return c.dial(ctx, "tcp", a) }),
			grpc.WithConnectParams(grpc.ConnectParams{
				Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 500 * time.Millisecond},
				MinConnectTimeout: 500 * time.Millisecond,
			}),
			grpc.WithDisableServiceConfig(),
			grpc.WithStatsHandler(sendtrace.Handler{}),
			grpc.WithStatsHandler(traffic.RPCHandler{Meter: c.meter, Prefix: "peer "}),
			grpc.WithNoProxy(),
			grpc.WithReadBufferSize(bufferSize),
			grpc.WithWriteBufferSize(bufferSize),
		)
		if err != nil {
			return nil, fault.New(fault.BadInput, address, "not an address of a peer", "").WithCause(err)
		}
		c.conns[address] = conn
	}
	return &Peer{FleetClient: wire.NewFleetClient(conn), address: address}, nil
}

// bufferSize is the size in bytes of a connection's read and write buffers. It is small
// to save memory: messages between peers are a few KB.
const bufferSize = 8 << 10

// Keep closes the connections to all addresses that are not in wanted.
func (c *Clients) Keep(wanted map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		if !wanted[address] {
			_ = conn.Close() // no caller uses this connection any more
			delete(c.conns, address)
		}
	}
}

// Peer is the connection to one peer.
type Peer struct {
	wire.FleetClient
	address string
}

// CommitFor asks the peer to commit a transaction on behalf of this host. The error has the
// code NotRun if the request was certainly not sent to the peer.
func (p *Peer) CommitFor(ctx context.Context, t table.Transaction) (table.CommitResult, error) {
	ctx, mark := sendtrace.TraceRPC(ctx)
	reply, err := p.Commit(ctx, encodeTransaction(t))
	if err != nil && !mark.MaybeSent() {
		return table.CommitResult{}, fault.New(fault.NotRun, p.address, "no connection to the peer", "").WithCause(err)
	}
	if err != nil {
		return table.CommitResult{}, fault.New(fault.Unknown, p.address, "the peer did not answer", "").WithCause(err)
	}
	if reply.GetFailure() != "" {
		return table.CommitResult{}, fault.New(fault.Code(reply.GetFailure()), p.address, "the peer's table call failed", "")
	}
	return table.CommitResult{
		Conflict: reply.GetConflict(), Current: decodeRows(reply.GetRows()), Version: reply.GetVersion(),
		StoreTime: time.Duration(reply.GetStoreMs()) * time.Millisecond,
	}, nil
}

// ReadFor asks the peer to read a range on behalf of this host.
func (p *Peer) ReadFor(ctx context.Context, r table.Range) (table.Page, error) {
	reply, err := p.Read(ctx, &wire.TableRead{Table: r.Table, Part: r.Part, From: r.From, To: r.To, Limit: int32(r.Limit)})
	if err != nil {
		return table.Page{}, fault.New(fault.Unavailable, p.address, "the peer did not answer", "").WithCause(err)
	}
	if reply.GetFailure() != "" {
		return table.Page{}, fault.New(fault.Code(reply.GetFailure()), p.address, "the peer's table call failed", "")
	}
	return table.Page{
		Rows: decodeRows(reply.GetRows()), More: reply.GetMore(), Version: reply.GetVersion(),
		StoreTime: time.Duration(reply.GetStoreMs()) * time.Millisecond,
	}, nil
}
