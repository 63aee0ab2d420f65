package promises_test

import (
	"net"
	"os/exec"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against ports that still accept connections after freeAddress has closed them: a process
// that another test starts at that moment holds copies of the open sockets.
func TestFreeAddressAcceptsNoConnections(t *testing.T) {
	t.Parallel()
	var stop atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		for !stop.Load() {
			c := exec.Command("true")
			if spawn(c) == nil {
				_ = c.Wait()
			}
		}
	}()
	taken := 0
	for range 1500 {
		c, err := net.DialTimeout("tcp", freeAddress(t), time.Second)
		if err == nil {
			taken++
			_ = c.Close()
		}
	}
	stop.Store(true)
	<-done
	must.Eq(t, 0, taken)
}
