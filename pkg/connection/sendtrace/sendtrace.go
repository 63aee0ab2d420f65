// Package sendtrace traces whether a request can have reached the server.
//
// A client may report "not run" only when that is certain. The connection itself
// decides: until all headers of the request have been written, the server can't
// have begun to process it.
package sendtrace

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// Mark records whether a request may have reached the server.
type Mark struct{ wrote atomic.Bool }

// MaybeSent returns whether the server may have received the request.
func (m *Mark) MaybeSent() bool { return m.wrote.Load() }

// TraceHTTP returns a context for one HTTP request, and the mark of this request.
func TraceHTTP(ctx context.Context) (context.Context, *Mark) {
	m := &Mark{}
	trace := &httptrace.ClientTrace{
		// net/http calls this hook before the headers leave the write buffer, so the
		// mark can be set too early but never too late.
		WroteHeaders: func() { m.wrote.Store(true) },
	}
	return httptrace.WithClientTrace(ctx, trace), m
}
