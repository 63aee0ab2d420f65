// Package incarnation binds HTTP requests to one incarnation of a server process.
//
// A restarted process may have the address and name of its predecessor, but none of its state.
// A connection does not outlive the incarnation that accepted it. So the dialer asks on each
// new connection for the incarnation, and the body of a bound request is sent only on a
// connection to its incarnation. On any other connection the request is not executed.
//
// Bind stores the incarnation and the function that asks for it in the call's context; Dialer
// asks on each new connection; Body sends or refuses once net/http has chosen a connection.
package incarnation

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/wrenferry/wrenferry/pkg/fault"
)

// ErrOtherIncarnation reports that a request was not sent: its connection leads to another incarnation,
// or the incarnation is not known.
var ErrOtherIncarnation = fault.New(fault.NotRun, "", "another incarnation answers at the address", "poll the worker again")

// QueryFunc returns the incarnation at the other end of a new connection, identified by the time at
// which its process was born, or 0 when the process does not report it.
type QueryFunc func(ctx context.Context, c net.Conn) (born int64, err error)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

const (
	// AnyIncarnation is the incarnation of a call that any incarnation may answer, and of a process that
	// does not report its incarnation.
	AnyIncarnation = 0
	// unknownIncarnation marks a connection on which no answer has named the incarnation yet.
	unknownIncarnation = -1
	// RefusedToTell marks a connection whose process refused to name its incarnation: no call that
	// is bound to a certain incarnation is sent on it.
	RefusedToTell = -2
)

// incarnationConn is a connection together with the incarnation at its other end.
type incarnationConn struct {
	net.Conn
	born atomic.Int64
}

// Binding is the incarnation that one call is bound to, and the state of this call.
type Binding struct {
	incarnation  int64
	ask          QueryFunc
	otherReached atomic.Bool
	// chosen is the connection that net/http has chosen for the call.
	chosen atomic.Pointer[incarnationConn]
}

type key struct{}

// Bind returns a context that binds the call made with it to an incarnation, or to none if born
// is AnyIncarnation.
func Bind(ctx context.Context, born int64, ask QueryFunc) (context.Context, *Binding) {
	b := &Binding{incarnation: born, ask: ask}
	ctx = context.WithValue(ctx, key{}, b)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: b.connChosen}), b
}

// FromContext returns the binding in a call's context, or nil.
func FromContext(ctx context.Context) *Binding {
	b, _ := ctx.Value(key{}).(*Binding)
	return b
}

func (b *Binding) connChosen(info httptrace.GotConnInfo) {
	c, _ := info.Conn.(*incarnationConn)
	b.chosen.Store(c)
}

// OtherIncarnation returns whether the call was not sent because its connection does not lead to the
// incarnation that the call is bound to.
func (b *Binding) OtherIncarnation() bool { return b.otherReached.Load() }

// IncarnationUnknown returns whether the incarnation at the other end of the chosen connection is still
// unknown. A retry may get another connection.
func (b *Binding) IncarnationUnknown() bool {
	c := b.chosen.Load()
	return c != nil && c.born.Load() == unknownIncarnation
}

// SetIncarnation records for the chosen connection which incarnation has answered the call.
func (b *Binding) SetIncarnation(born int64) {
	if c := b.chosen.Load(); c != nil {
		c.born.CompareAndSwap(unknownIncarnation, born)
	}
}

// reachesBoundIncarnation returns whether the call may be sent on the chosen connection.
func (b *Binding) reachesBoundIncarnation() bool {
	c := b.chosen.Load()
	if b.incarnation == AnyIncarnation || c == nil {
		return b.incarnation == AnyIncarnation
	}
	reached := c.born.Load()
	return reached == b.incarnation || reached == AnyIncarnation
}

// Dialer returns a dial function that records the incarnation at the other end of a connection.
// It asks for it only when the call is bound to a certain incarnation.
func Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		plain, err := dial(ctx, network, address)
		b := FromContext(ctx)
		if err != nil || b == nil {
			return plain, err
		}
		c := &incarnationConn{Conn: plain}
		c.born.Store(unknownIncarnation)
		if b.incarnation == AnyIncarnation {
			return c, nil
		}
		born, err := b.ask(ctx, plain)
		if err != nil {
			_ = plain.Close() // the error of ask is returned
			return nil, err
		}
		c.born.Store(born)
		return c, nil
	}
}

// body is a request body that is sent only to the incarnation of its binding.
type body struct {
	io.Reader
	binding *Binding
}

// Body returns the request body of a bound call. net/http reads it once it has chosen a
// connection.
func (b *Binding) Body(data []byte) io.ReadCloser {
	return &body{Reader: bytes.NewReader(data), binding: b}
}

// Read reads the data, or returns ErrOtherIncarnation before the first byte when the connection does not
// lead to the bound incarnation.
func (r *body) Read(p []byte) (int, error) {
	if !r.binding.reachesBoundIncarnation() {
		r.binding.otherReached.Store(true)
		return 0, ErrOtherIncarnation
	}
	return r.Reader.Read(p)
}

// Close does nothing: the data is in memory.
func (r *body) Close() error { return nil }
