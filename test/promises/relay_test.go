package promises_test

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// relay forwards TCP connections to a target. While cut, it closes all connections.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	cut      bool
	open     map[net.Conn]bool
}

func newRelay(t testing.TB, target string) *relay {
	var l net.Listener
	var err error
	for range 20 { // a test suite that runs at the same time may have taken the port
		if l, err = net.Listen("tcp", freeAddress(t)); err == nil {
			break
		}
	}
	must.NoError(t, err)
	r := &relay{listener: l, target: target, open: map[net.Conn]bool{}}
	go r.serve()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }
func (r *relay) close()          { _ = r.listener.Close() }

func (r *relay) serve() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(in)
	}
}

func (r *relay) forward(in net.Conn) {
	defer in.Close()
	r.mu.Lock()
	cut := r.cut
	r.open[in] = true
	r.mu.Unlock()
	if cut {
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer out.Close()
	go func() { _, _ = io.Copy(out, in); _ = out.Close() }()
	_, _ = io.Copy(in, out)
}

func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if cut {
		for c := range r.open {
			_ = c.Close()
		}
		r.open = map[net.Conn]bool{}
	}
}
