package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// BenchmarkReserveDecide measures a decision of the leader of a full cell of 120 workers, 1,000 running tasks, most
// of them lasting, and 1,000 waiting urgent ones, with and without the capacity that is kept for these.
func BenchmarkReserveDecide(b *testing.B) {
	for _, on := range []bool{true, false} {
		b.Run(fmt.Sprintf("reserve=%t", on), func(b *testing.B) {
			c := newLargeCell(120)
			if on {
				c.keepReserve()
			}
			for i := range 100 {
				c.accept(fmt.Sprintf("%016x", i), "watches", &wire.StepSpec{Count: 8, Millicores: 1600, MemoryMb: 100, Lasting: true})
			}
			c.steps(40)
			for i := range 20 {
				c.acceptUrgent(fmt.Sprintf("%016x", 0xd000+i), 10, 1500)
			}
			c.steps(2)
			for i := range 100 {
				c.acceptUrgent(fmt.Sprintf("%016x", 0xe000+i), 10, 1500)
			}
			c.steps(2)
			b.ResetTimer()
			for range b.N {
				c.now = c.now.Add(3 * time.Millisecond)
				c.state.Take(c.now, cell.Tick{})
				c.state.Take(c.now, cell.LeadershipConfirmed{SentAt: c.now})
				c.state.Decide(c.now, c.now)
			}
		})
	}
}

// BenchmarkYieldingDecide measures a decision of the leader of a cell in which 1,000 lasting tasks yield to
// urgent ones, and one in which they wait for capacity.
func BenchmarkYieldingDecide(b *testing.B) {
	for _, on := range []bool{true, false} {
		b.Run(fmt.Sprintf("reserve=%t", on), func(b *testing.B) {
			c := newLargeCell(120)
			if on {
				c.keepReserve()
			}
			for i := range 100 {
				c.accept(fmt.Sprintf("%016x", i), "watches", &wire.StepSpec{Count: 8, Millicores: 1800, MemoryMb: 100, Lasting: true})
			}
			c.steps(50)
			c.acceptUrgent(urgentJob, 40, 7300)
			c.steps(2)
			for i := range 40 {
				c.finish(fmt.Sprintf("%s.0.0.%d", urgentJob, i), workers.EndedDone)
			}
			c.steps(2)
			c.tableDown = true // so that nothing is delegated
			c.state.Take(c.now, loadWithCapacity("other"))
			for i := range 100 {
				c.accept(fmt.Sprintf("%016x", 0xf000+i), "watches", &wire.StepSpec{Count: 10, Millicores: 13000, MemoryMb: 100, Lasting: true})
			}
			c.steps(1)
			must.Eq(b, !on, c.started["000000000000f000.0.0.0"])
			b.ResetTimer()
			for range b.N {
				c.now = c.now.Add(3 * time.Millisecond)
				c.state.Take(c.now, cell.Tick{})
				c.state.Take(c.now, loadWithCapacity("other"))
				c.state.Take(c.now, cell.LeadershipConfirmed{SentAt: c.now})
				c.state.Decide(c.now, c.now)
			}
		})
	}
}
