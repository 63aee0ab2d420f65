package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// BenchmarkLargeCellDecide measures a decision of a leader of a thousand workers that run a task each, and the list of
// members that goes with it.
func BenchmarkLargeCellDecide(b *testing.B) {
	c := newLargeCell(1000)
	for i := range 100 {
		c.accept(fmt.Sprintf("%016x", i), "offers", &wire.StepSpec{Count: 10, Millicores: 9000, MemoryMb: 100, EstimateMs: 10_000})
	}
	for range 30 {
		c.step(50 * time.Millisecond)
	}
	b.Run("decide", func(b *testing.B) {
		for range b.N {
			c.state.Take(c.now, cell.Tick{})
			c.state.Decide(c.now, c.now)
		}
	})
	b.Run("members", func(b *testing.B) {
		for range b.N {
			c.state.Members()
		}
	})
	b.Run("load", func(b *testing.B) {
		for range b.N {
			c.state.Load(c.now, false)
		}
	})
}

// BenchmarkHallDecide measures a decision of a leader of a hall of 220 workers: lasting tasks reserve most of their
// processors, and fillers and short tasks of two steps wait.
func BenchmarkHallDecide(b *testing.B) {
	c := newLargeCell(220)
	c.keepReserve()
	filler := func(i int) *wire.StepSpec {
		return &wire.StepSpec{Count: 40, Millicores: 1800, MemoryMb: 3000, Filler: true, EstimateMs: 1700, Image: fmt.Sprintf("f%d", i%30), Checkpointing: true}
	}
	for i := range 43 {
		c.accept(fmt.Sprintf("%016x", i), "watches", &wire.StepSpec{
			Count: 24, Millicores: 2700, MemoryMb: 6000, Lasting: true, TailTargetMs: 25, Image: fmt.Sprintf("s%d", i%16),
		})
	}
	for i := range 40 {
		second := filler(i)
		second.After = []int32{0}
		c.accept(fmt.Sprintf("%016x", 0xa000+i), "offers", filler(i), second)
	}
	for i := range 8 {
		c.accept(fmt.Sprintf("%016x", 0xb000+i), "watches", &wire.StepSpec{Count: 13, Millicores: 3200, MemoryMb: 6000, EstimateMs: 640})
	}
	for range 30 {
		c.step(20 * time.Millisecond)
	}
	report := func(b *testing.B) {
		counts := c.state.Counts(c.now)
		b.ReportMetric(float64(counts.Waiting), "waiting")
		b.ReportMetric(float64(counts.Running), "running")
	}
	decide := func(b *testing.B, events ...cell.Event) {
		for b.Loop() {
			c.now, c.clock = c.now.Add(time.Millisecond), c.clock+time.Millisecond
			c.state.Take(c.now, cell.LeadershipConfirmed{SentAt: c.now})
			for _, e := range events {
				c.state.Take(c.now, e)
			}
			c.state.Decide(c.now, c.now)
		}
		report(b)
	}
	b.Run("tick", func(b *testing.B) { decide(b, cell.Tick{}) })
	b.Run("placement", func(b *testing.B) { decide(b, cell.ManifestChanged{Manifest: testManifest}) })
	b.Run("other", func(b *testing.B) { decide(b) })
	b.Run("load", func(b *testing.B) {
		for b.Loop() {
			c.now, c.clock = c.now.Add(100*time.Millisecond), c.clock+100*time.Millisecond
			c.state.Load(c.now, false)
		}
	})
}
