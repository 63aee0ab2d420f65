package hall_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/hall"
	"github.com/wrenferry/wrenferry/pkg/process/placement"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Comparison of the placement policies in a simulation: a table gives the slowdown
// of each service by each kind of batch work, samples arrive late, and the load
// changes in waves.

const placementTree = `{"placePolicy": "POLICY", "teams": {"t": {"services": {
	"tender": {"kinds": {"quick": {"targetLatency": "100ms"}}},
	"tough": {"kinds": {"quick": {"targetLatency": "100ms"}}},
	"desk": {"kinds": {
		"quiet": {"type": "job", "repeatable": true}, "middle": {"type": "job", "repeatable": true}, "noisy": {"type": "job", "repeatable": true}}}
}}}}`

// slowdowns holds the tail latency that one task adds to a service, in
// milliseconds, by service and kind. Without batch work the tail latency of both
// services is 50 ms; their target is 100 ms.
var slowdowns = map[string]map[string]int64{
	"tender": {"quiet": 1, "middle": 10, "noisy": 30},
	"tough":  {"quiet": 0, "middle": 1, "noisy": 3},
}

const (
	placementWorkers = 30
	sampleAge        = 2 * time.Second
	placementSpan    = 300 // seconds
)

func BenchmarkPlacementPolicies(b *testing.B) {
	for _, p := range placement.Policies {
		b.Run(p.Name, func(b *testing.B) { placementRun(b, p.Name) })
	}
}

// placementRun reports missed targets, finished jobs and actions of a policy.
func placementRun(b *testing.B, policy string) {
	d := newDriver(b, placementWorkers, strings.Replace(placementTree, "POLICY", policy, 1))
	d.durationOf = func(string) time.Duration { return 20 * time.Second }
	var over, samples, jobs int
	kinds := []string{"quiet", "quiet", "middle", "noisy"}
	for second := range placementSpan {
		wave := 3
		if second%60 < 20 {
			wave = 8
		}
		for range wave {
			d.submit(fmt.Sprintf("j%d", jobs), kinds[jobs%len(kinds)], 1, &wire.Size{Millicores: 4000, MemoryMb: 8000})
			jobs++
		}
		d.advance(time.Second)
		missed, all := d.sampleAll()
		over += missed
		samples += all
	}
	done := 0
	for i := range jobs {
		if d.jobState(fmt.Sprintf("j%d", i)) == wire.JobState_JOB_STATE_DONE {
			done++
		}
	}
	b.ReportMetric(100*float64(over)/float64(samples), "over-target-%")
	b.ReportMetric(float64(done), "jobs-done")
	b.ReportMetric(float64(d.reasonCounts[hall.TaskEvicting]), "evictions")
	b.ReportMetric(float64(d.reasonCounts[hall.TaskThrottled]), "throttles")
	b.ReportMetric(0, "ns/op")
}

// sampleAll computes the tail latency of each worker's service, which the worker
// reports late, and returns the numbers of missed targets and of samples. A third
// of the workers have the service "tender", a third "tough", the others none.
func (d *driver) sampleAll() (over, all int) {
	for i, name := range d.order {
		service := [...]string{"tender", "tough", ""}[i%3]
		if service == "" {
			continue
		}
		w := d.workers[name]
		tail := int64(50)
		for _, r := range w.runs {
			if r.GetState() == wire.RunState_RUN_STATE_RUNNING {
				share := int64(100)
				if r.GetThrottlePercent() > 0 {
					share = int64(r.GetThrottlePercent())
				}
				tail += slowdowns[service][d.kindOf(r.GetTaskId())] * share / 100
			}
		}
		w.samples = []*wire.ServiceSample{{Service: service, TailMs: tail, AgeMs: sampleAge.Milliseconds()}}
		all++
		if tail > 100 {
			over++
		}
	}
	return over, all
}

// kindOf returns the kind that placementRun gave to the task's job.
func (d *driver) kindOf(task string) string {
	var n int
	_, _ = fmt.Sscanf(task, "j%d.", &n)
	return [...]string{"quiet", "quiet", "middle", "noisy"}[n%4]
}
