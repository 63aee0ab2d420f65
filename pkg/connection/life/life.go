// Package life binds HTTP requests to one life of the process at the other end.
//
// A process may start again at the address, and under the name, that it had, and know nothing
// of before. A connection ends with a life. So whoever makes a connection asks at once, on that
// very connection, which life it has reached; and a request that is for one life is written only
// to a connection that reaches it. Else its body is never sent, so that nothing was asked.
//
// Data flows: Bind puts into a call's context which life it is for, and how to ask; Dialer asks
// when a connection is made; Body, read once a connection was chosen, sends or refuses.
package life

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/wrenferry/wrenferry/pkg/fault"
)

// ErrOther says that a request was not sent, since another life than the one that it was
// for is at the other end, or since that could not be found out.
var ErrOther = fault.New(fault.NotRun, "", "another life answers there", "look anew")

// Ask finds out on a new connection which life is at the other end; 0: it does not say.
type Ask func(ctx context.Context, c net.Conn) (born int64, err error)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

const (
	// Any is the life of a call that is for whoever answers, and of a process that does not say.
	Any = 0
	// unknownIncarnation is that of a connection on which nobody has said yet.
	unknownIncarnation = -1
	// Refused is that of a process which would not say: no call for a certain life is for it.
	Refused = -2
)

// incarnationConn is a connection that knows which life it reaches.
type incarnationConn struct {
	net.Conn
	born atomic.Int64
}

// Binding is what one call is bound to.
type Binding struct {
	born  int64
	ask   Ask
	otherReached atomic.Bool
	// chosen is the connection that the call was given.
	chosen atomic.Pointer[incarnationConn]
}

type key struct{}

// Bind binds the call that is made with the returned context to a life.
func Bind(ctx context.Context, born int64, ask Ask) (context.Context, *Binding) {
	b := &Binding{born: born, ask: ask}
	ctx = context.WithValue(ctx, key{}, b)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: b.connChosen}), b
}

// Of is the binding of a call; nil: it has none.
func Of(ctx context.Context) *Binding {
	b, _ := ctx.Value(key{}).(*Binding)
	return b
}

func (b *Binding) connChosen(info httptrace.GotConnInfo) {
	c, _ := info.Conn.(*incarnationConn)
	b.chosen.Store(c)
}

// Other says whether the call was not made, since it was for another life.
func (b *Binding) Other() bool { return b.otherReached.Load() }

// Unasked says whether nobody had said yet who is at the other end of the connection that the
// call was given. Another one may do.
func (b *Binding) Unasked() bool {
	c := b.chosen.Load()
	return c != nil && c.born.Load() == unknownIncarnation
}

// Learn takes in which life has answered the call.
func (b *Binding) Learn(born int64) {
	if c := b.chosen.Load(); c != nil {
		c.born.CompareAndSwap(unknownIncarnation, born)
	}
}

// reachesBoundIncarnation says whether the connection that was chosen reaches the life that the call is for.
func (b *Binding) reachesBoundIncarnation() bool {
	c := b.chosen.Load()
	if b.born == Any || c == nil {
		return b.born == Any
	}
	reached := c.born.Load()
	return reached == b.born || reached == Any
}

// Dialer makes connections that know which life they reach, as soon as a call that is for a
// certain one wants to know.
func Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		plain, err := dial(ctx, network, address)
		b := Of(ctx)
		if err != nil || b == nil {
			return plain, err
		}
		c := &incarnationConn{Conn: plain}
		c.born.Store(unknownIncarnation)
		if b.born == Any {
			return c, nil
		}
		born, err := b.ask(ctx, plain)
		if err != nil {
			_ = plain.Close() // the cause is told
			return nil, err
		}
		c.born.Store(born)
		return c, nil
	}
}

// body is a request's body that is sent to its life only.
type body struct {
	io.Reader
	binding *Binding
}

// Body returns the body of a bound call. It is read when the call has its connection.
func (b *Binding) Body(data []byte) io.ReadCloser {
	return &body{Reader: bytes.NewReader(data), binding: b}
}

// Read gives what is to be sent, or nothing at all.
func (r *body) Read(p []byte) (int, error) {
	if !r.binding.reachesBoundIncarnation() {
		r.binding.otherReached.Store(true)
		return 0, ErrOther
	}
	return r.Reader.Read(p)
}

// Close is for io.Closer.
func (r *body) Close() error { return nil }
