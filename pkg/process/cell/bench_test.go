package cell_test

import (
	"testing"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
)

// BenchmarkBusyDecide times one decision of a busy cell. A leader makes about a hundred per second.
func BenchmarkBusyDecide(b *testing.B) {
	c := newBusyCell()
	counts := c.state.Counts(c.now)
	b.ReportMetric(float64(counts.Waiting), "waiting")
	b.ReportMetric(float64(counts.Running), "running")
	for b.Loop() {
		c.now = c.now.Add(5 * time.Millisecond)
		c.clock += 5 * time.Millisecond
		c.state.Take(c.now, cell.Tick{})
		c.state.Decide(c.now, c.now)
	}
}
