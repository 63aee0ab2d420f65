package hall_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// The benchmark behind docs/CAPACITY.md: the cost of one simulated second of a
// hall's leader, at several sizes. A tenth of the target is 82 workers, 420 batch
// tasks, 22 starts/s.

const capacityTree = `{"teams": {"t": {"services": {"desk": {"kinds": {
	"ingest": {"type": "job", "repeatable": true, "millicores": 2000, "memoryMB": 4000}}}}}}}`

var taskSize = &wire.Size{Millicores: 2000, MemoryMb: 4000}

func BenchmarkLeaderSecond(b *testing.B) {
	for _, c := range []struct{ workers, running, starts int }{
		{20, 105, 6},
		{41, 210, 11},
		{82, 420, 22},
		{164, 840, 44},
		{820, 4200, 220},
		{82, 420, 0},
		{82, 420, 44},
	} {
		b.Run(fmt.Sprintf("workers=%d/running=%d/starts=%d", c.workers, c.running, c.starts), func(b *testing.B) {
			leaderSecond(b, c.workers, c.running, c.starts)
		})
	}
}

// leaderSecond reports the cost of a simulated second with the given numbers of
// workers, running tasks and starts a second.
func leaderSecond(b *testing.B, workers, running, starts int) {
	d := newDriver(b, workers, capacityTree)
	d.runFor = time.Hour
	if starts > 0 {
		d.runFor = time.Duration(running) * time.Second / time.Duration(starts)
	}
	jobs := 0
	for have := 0; have < running; have += 20 {
		d.submit(fmt.Sprintf("j%d", jobs), "ingest", int32(min(20, running-have)), taskSize)
		jobs++
	}
	d.until(b, "nine tenths of the tasks run", func() bool { return d.state.Counts().Running >= running*9/10 })
	heap := heapMB()
	d.traffic, d.stepTime = traffic{}, 0
	b.ResetTimer()
	for range b.N {
		if starts > 0 {
			d.submit(fmt.Sprintf("j%d", jobs), "ingest", int32(starts), taskSize)
			jobs++
		}
		d.advance(time.Second)
	}
	n := float64(b.N)
	b.ReportMetric(float64(d.stepTime.Microseconds())/1000/n, "cpu-ms/s")
	b.ReportMetric(float64(d.traffic.commits)/n, "commits/s")
	b.ReportMetric(float64(d.traffic.written)/n, "rows/s")
	b.ReportMetric(float64(d.traffic.reads)/n, "reads/s")
	b.ReportMetric(float64(d.traffic.syncs)/n, "syncs/s")
	b.ReportMetric(float64(d.traffic.syncBytes)/n/1024, "sync-KB/s")
	b.ReportMetric(float64(d.traffic.starts)/n, "starts/s")
	b.ReportMetric(heap, "heap-MB")
	b.ReportMetric(0, "ns/op")
	runtime.KeepAlive(d)
}

func heapMB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}
