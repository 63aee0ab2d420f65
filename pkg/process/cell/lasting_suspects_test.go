package cell_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// lastingSuspects returns a delegated job of lasting tasks of 6,000 millicores, each with a crash at each of the hosts.
func lastingSuspects(n int, waitedMs int64, hosts ...string) *wire.JobSpec {
	spec := &wire.JobSpec{
		Id: delegatedJob, Queue: "watches", Service: "quotes", Cell: "hall", Home: "home",
		Steps: []*wire.StepSpec{{Count: int32(n), Millicores: 6000, Lasting: true}},
	}
	for i := range n {
		spec.Guest = append(spec.Guest, &wire.TaskRef{Index: int32(i), Lending: 1, WaitedMs: waitedMs, Crashes: crashNotes(hosts...)})
	}
	return spec
}

// Guards against a lasting task that never starts, nor leaves, beside short suspects of which one after the other starts at
// the only worker with capacity.
func TestLastingSuspectIsNotKeptOutByShortSuspects(t *testing.T) {
	t.Parallel()
	for name, elsewhere := range map[string]bool{"no capacity elsewhere": false, "capacity elsewhere": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, _ := newCellWithOneFreeWorker(t)
			began, next, number, at := b.now, b.now, 0, map[string]time.Time{}
			arrived := time.Time{}
			for b.now.Sub(began) < 20*time.Second && !b.started[delegatedJob+".0.0.0"] && !b.returnedTo(t, "home") {
				if arrived.IsZero() && b.now.Sub(began) >= 3*time.Second {
					arrived = b.now
					b.state.Take(b.now, cell.JobAccepted{Spec: lastingSuspects(1, 2000, "a", "b")})
				}
				if !b.now.Before(next) {
					next = b.now.Add(600 * time.Millisecond)
					number++
					b.state.Take(b.now, cell.JobAccepted{Spec: &wire.JobSpec{
						Id: fmt.Sprintf("%016x", 0xe00+number), Queue: "offers", Service: "quotes", Cell: "hall", Home: "home2",
						Steps: []*wire.StepSpec{{Count: 1, Millicores: 3000, EstimateMs: 2000}}, Guest: []*wire.TaskRef{{Lending: 1, Crashes: crashNotes("z")}},
					}})
				}
				if elsewhere {
					b.state.Take(b.now, loadWithCapacity("other"))
				}
				for _, r := range b.reports { // runs make progress, so no worker is quarantined
					for i := range r.Active {
						r.Active[i].Percent, r.Active[i].Reading = 100, r.Active[i].Reading+1
					}
				}
				b.step(50 * time.Millisecond)
				for task := range b.started {
					if !strings.HasPrefix(task, "0000000000000e") {
						continue
					}
					if since, known := at[task]; !known {
						at[task] = b.now
					} else if b.now.Sub(since) > 2*time.Second {
						b.finish(task, workers.EndedDone)
						at[task] = b.now.Add(time.Hour)
					}
				}
			}
			must.Less(t, 6*time.Second, b.now.Sub(arrived), must.Sprint("neither started nor returned"))
		})
	}
}

// Guards against suspects of which the last starts late beside free capacity, as they start one after the other.
func TestSuspectsAtOneWorkerAllStartInTime(t *testing.T) {
	t.Parallel()
	b, _ := newCellWithOneFreeWorker(t)
	b.accept("00000000000000bb", "offers", &wire.StepSpec{Count: 1, Millicores: 32000, MemoryMb: 1000, EstimateMs: 60000})
	b.step(100 * time.Millisecond)
	b.state.Take(b.now, cell.JobAccepted{Spec: lastingSuspects(5, 3000, "a", "b")})
	for range 40 {
		b.step(50 * time.Millisecond)
	}
	b.finish("00000000000000bb.0.0.0", workers.EndedDone)
	began := b.now
	for b.now.Sub(began) < 15*time.Second && len(b.started) < 21 {
		b.step(50 * time.Millisecond)
	}
	must.MapLen(t, 21, b.started)
	must.LessEq(t, 3*time.Second, b.now.Sub(began), must.Sprint("capacity for all, free for that long"))
}

// Guards against a handover of a task whose own isolated run has a worker reserved: another worker went silent, so the run
// waits a second for quiet, and then for the runs at its worker.
func TestTaskWithAWorkerReservedForItsIsolatedRunStays(t *testing.T) {
	t.Parallel()
	b, _ := newCellWithOneFreeWorker(t)
	b.silent["w03"] = true
	b.step(50 * time.Millisecond)
	b.state.Take(b.now, cell.JobAccepted{Spec: lastingSuspects(1, 0, "a", "b")})
	began, short := b.now, false
	for b.now.Sub(began) < 6*time.Second && !b.started[delegatedJob+".0.0.0"] && !b.returnedTo(t, "home") {
		if !short && b.now.Sub(began) >= 700*time.Millisecond {
			short = true
			b.accept("00000000000000bb", "offers", &wire.StepSpec{Count: 2, Millicores: 1000, MemoryMb: 1000, EstimateMs: 60000})
		}
		b.state.Take(b.now, loadWithCapacity("other"))
		b.step(50 * time.Millisecond)
	}
	must.False(t, b.returnedTo(t, "home"), must.Sprint("after ", b.now.Sub(began)))
}
