package soak_test

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy stands on the way between programs, and disturbs what goes through.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	conns map[*proxied]bool
	delay time.Duration
	// cut lets no new connection through.
	cut bool
}

// proxied is one connection through a proxy. Once silent, it says nothing more for good.
type proxied struct {
	in, out net.Conn
	mu      sync.Mutex
	// silent each way: towards the server, and back.
	silent [2]bool
}

const (
	// maxListenTries and listenAgain bound the wait for a port that is still being closed, or that
	// a process which is just being started still holds.
	maxListenTries      = 100
	listenRetryInterval = 20 * time.Millisecond
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
	cut := p.cut
	p.mu.Unlock()
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

// pump carries one way until an end closes.
func (p *proxy) pump(c *proxied, way int, to io.Writer, from io.Reader) {
	defer c.close()
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

// each does something with all connections that are open.
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

// reset closes what is open.
func (p *proxy) reset() { p.each((*proxied).close) }

// silence lets what is open say nothing more, one way or both.
func (p *proxy) silence(ways ...int) {
	p.each(func(c *proxied) {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, way := range ways {
			c.silent[way] = true
		}
	})
}

// setCut lets nothing through for a while, or something again.
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
	_ = p.listener.Close()
	p.reset()
}
