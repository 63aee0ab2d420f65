package kit

import (
	"net"
	"sync"
	"time"
)

// Proxy passes channels on. It can make the open ones silent: they stay open and carry no more data.
type Proxy struct {
	Address string
	to      string
	mu      sync.Mutex
	open    map[*channel]bool
}

type channel struct {
	in, out net.Conn
	silent  bool
}

// NewProxy starts a proxy on a loopback address.
func (w *World) NewProxy(to string) *Proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	p := &Proxy{Address: l.Addr().String(), to: to, open: map[*channel]bool{}}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(in)
		}
	}()
	return p
}

func (p *Proxy) pass(in net.Conn) {
	out, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		_ = in.Close()
		return
	}
	c := &channel{in: in, out: out}
	p.mu.Lock()
	p.open[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pump(c, out, in) })
	both.Go(func() { p.pump(c, in, out) })
	both.Wait()
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
}

func (p *Proxy) pump(c *channel, to, from net.Conn) {
	defer c.in.Close()
	defer c.out.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		silent := c.silent
		p.mu.Unlock()
		if silent {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// Silence makes all open channels silent for good, and returns how many they are. New ones work.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.silent = true
	}
	return len(p.open)
}
