package soak_test

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// proxy forwards TCP connections between programs, and can delay, drop or cut them.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	conns map[*proxied]bool
	delay time.Duration
	// cut means that new connections are closed at once, mute that they and the open ones carry no data and stay open.
	cut, mute bool
	// over means that it was closed. unanswered is what dropConnects holds open.
	over       bool
	unanswered []io.Closer
}

// proxied is one connection through a proxy.
type proxied struct {
	in, out net.Conn
	mu      sync.Mutex
	// silent directions drop all further data: 0 is towards the server, 1 back. They stay silent.
	silent [2]bool
	// mute means that in stays open when out ends.
	mute bool
}

const (
	// maxListenTries and listenAgain bound the wait for a port that is still being closed, or
	// that a process between fork and exec still holds.
	maxListenTries      = 100
	listenRetryInterval = 20 * time.Millisecond
	// maxQueued is the number of attempts to connect that fill a queue of one.
	maxQueued = 2
)

func listen(address string) (l net.Listener, err error) {
	for range maxListenTries {
		if l, err = net.Listen("tcp", address); err == nil {
			return l, nil
		}
		time.Sleep(listenRetryInterval)
	}
	return nil, err
}

func newProxy(address, to string) (*proxy, error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, conns: map[*proxied]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return // it is closed
		}
		go p.forward(in)
	}
}

func (p *proxy) forward(in net.Conn) {
	p.mu.Lock()
	cut, mute := p.cut, p.mute
	p.mu.Unlock()
	if mute {
		p.hold(in)
		return
	}
	out, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil || cut {
		_ = in.Close()
		if out != nil {
			_ = out.Close()
		}
		return
	}
	c := &proxied{in: in, out: out}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pump(c, 0, out, in) })
	both.Go(func() { p.pump(c, 1, in, out) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// pump forwards one direction until either end closes.
func (p *proxy) pump(c *proxied, way int, to io.Writer, from io.Reader) {
	defer c.endOf(from)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		delay := p.delay
		p.mu.Unlock()
		time.Sleep(delay)
		c.mu.Lock()
		silent := c.silent[way]
		c.mu.Unlock()
		if silent {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (c *proxied) close() {
	_ = c.in.Close()
	_ = c.out.Close()
}

// hold keeps a connection open until its client or the proxy closes it, and carries no data.
func (p *proxy) hold(in net.Conn) {
	c := &proxied{in: in, out: in}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	_, _ = io.Copy(io.Discard, in) // until it is closed
	c.close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// endOf closes the connection after one end of it was closed. A mute one stays open for the client.
func (c *proxied) endOf(from io.Reader) {
	c.mu.Lock()
	mute := c.mute
	c.mu.Unlock()
	if mute && from == io.Reader(c.out) {
		return
	}
	c.close()
}

// setMute makes the proxy carry no more data, on open and on new connections, which all stay open.
func (p *proxy) setMute() {
	p.mu.Lock()
	p.mute = true
	p.mu.Unlock()
	p.silence(0, 1)
	p.each(func(c *proxied) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.mute = true
	})
}

// each calls do for all open connections.
func (p *proxy) each(do func(c *proxied)) {
	p.mu.Lock()
	list := make([]*proxied, 0, len(p.conns))
	for c := range p.conns {
		list = append(list, c)
	}
	p.mu.Unlock()
	for _, c := range list {
		do(c)
	}
}

// reset closes all open connections.
func (p *proxy) reset() { p.each((*proxied).close) }

// silence makes open connections drop all further data in the given directions.
func (p *proxy) silence(ways ...int) {
	p.each(func(c *proxied) {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, way := range ways {
			c.silent[way] = true
		}
	})
}

// setCut cuts the proxy: open connections drop their data, and new ones are closed. Ending the cut
// closes the silent connections.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	p.cut = cut
	p.mu.Unlock()
	if cut {
		p.silence(0, 1)
		return
	}
	p.reset()
}

func (p *proxy) setDelay(span time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = span
}

func (p *proxy) close() {
	p.mu.Lock()
	p.over = true
	unanswered := p.unanswered
	p.unanswered = nil
	p.mu.Unlock()
	_ = p.listener.Close()
	for _, each := range unanswered {
		_ = each.Close()
	}
	p.reset()
}

func (p *proxy) closed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.over
}

// dropConnects makes the proxy's address answer no attempt to connect, as that of a machine without power: it listens
// with a queue of one, which it never empties.
func (p *proxy) dropConnects() {
	address, ok := p.listener.Addr().(*net.TCPAddr)
	if !ok {
		return
	}
	_ = p.listener.Close()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return // the address refuses connections then
	}
	queue := os.NewFile(uintptr(fd), address.String())
	at := &syscall.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unanswered = append(p.unanswered, queue)
	if syscall.Bind(fd, at) != nil || syscall.Listen(fd, 0) != nil {
		return
	}
	for range maxQueued {
		if c, err := net.DialTimeout("tcp", address.String(), listenRetryInterval); err == nil {
			p.unanswered = append(p.unanswered, c)
		}
	}
}
