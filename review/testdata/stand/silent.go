package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// silentListener can let its open channels go silent for good, while new ones work.
type silentListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*silentConn]bool
}

type silentConn struct {
	net.Conn
	silent atomic.Bool
}

func (l *silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := &silentConn{Conn: c}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*silentConn]bool{}
	}
	l.conns[s] = true
	return s, nil
}

// silence makes all open channels silent.
func (l *silentListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
	l.conns = nil
}

func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() || err != nil {
			return n, err
		}
		time.Sleep(10 * time.Millisecond) // what came is lost
	}
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
