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

const (
	fillerID = "00000000000000bb"
)

// setReadings sets the readings of all runs at a worker, and their progress to 100%.
func (b *testCell) setReadings(worker string, reading func(workers.Active) int64) {
	r := b.reports[worker]
	for i := range r.Active {
		r.Active[i].Reading = reading(r.Active[i])
		r.Active[i].Percent = 100
	}
}

// setAllReadings does the same at all workers.
func (b *testCell) setAllReadings(reading func(workers.Active) int64) {
	for id := range b.reports {
		b.setReadings(id, reading)
	}
}

// A tail latency over its target for two seconds pauses the fillers on its worker, well before the four
// seconds that count as harm.
func TestTailOverTargetPausesFillersOnItsWorker(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	for i := range 16 {
		b.accept(fmt.Sprintf("%016x", i), "watches", &wire.StepSpec{Count: 1, Millicores: 20000, Lasting: true, TailTargetMs: 100, Image: "s"})
	}
	b.accept(fillerID, "offers", &wire.StepSpec{Count: 1, Millicores: 4000, Filler: true, EstimateMs: 9000, Image: "f", Checkpointing: true})
	for range 20 {
		b.step(20 * time.Millisecond)
	}
	worker := b.workerOf[fillerID+".0.0.0"]
	must.NotEq(t, "", worker)
	begin := b.now
	for range 150 {
		b.setAllReadings(func(workers.Active) int64 { return 30 })
		b.setReadings(worker, func(a workers.Active) int64 {
			if a.Task == fillerID+".0.0.0" {
				return 4000
			}
			return 300
		})
		b.step(20 * time.Millisecond)
		if len(b.paces) > 0 {
			break
		}
	}
	must.SliceNotEmpty(t, b.paces)
	must.Eq(t, 0, b.paces[0].Pace.Percent)
	must.Between(t, 1500*time.Millisecond, b.now.Sub(begin), 2600*time.Millisecond)
}

// Guards against fillers that are paused after the four seconds that count as harm, because their leader reads a busy worker's
// answers seldom.
func TestFillersArePausedInTimeThoughAnswersAreRare(t *testing.T) {
	t.Parallel()
	const step, between = 50 * time.Millisecond, 1400 * time.Millisecond
	b := newEmptyCell()
	for i := range 16 {
		b.accept(fmt.Sprintf("%016x", i), "watches", &wire.StepSpec{Count: 1, Millicores: 20000, Lasting: true, TailTargetMs: 100, Image: "s"})
	}
	b.accept(fillerID, "offers", &wire.StepSpec{Count: 1, Millicores: 4000, Filler: true, EstimateMs: 9000, Image: "f", Checkpointing: true})
	for range 20 {
		b.step(20 * time.Millisecond)
	}
	worker := b.workerOf[fillerID+".0.0.0"]
	must.NotEq(t, "", worker)
	b.setAllReadings(func(workers.Active) int64 { return 30 })
	b.step(step)
	slow, begin, paused := &slowPolls{testCell: b, worker: worker}, b.now, time.Duration(0)
	for b.now.Sub(begin) < 6*time.Second && paused == 0 {
		b.setReadings(worker, func(workers.Active) int64 { return 300 })
		for _, e := range slow.step(step, b.now.Add(step).Sub(begin)%between == 0) {
			if pace, ok := e.(cell.SendPace); ok && pace.Pace.Percent == 0 {
				paused = b.now.Sub(begin)
			}
		}
	}
	must.Between(t, 2*time.Second, paused, 3500*time.Millisecond)
}

// Fillers may slow down one image and not another. If the serving tasks on each worker are of one image,
// every filler finds a worker where it does no harm.
func TestServingTasksOfOneImageShareWorkers(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	for i := range 8 {
		image := fmt.Sprintf("s%d", i%2)
		b.accept(fmt.Sprintf("%016x", i), "watches", &wire.StepSpec{Count: 4, Millicores: 7000, Lasting: true, TailTargetMs: 100, Image: image})
		b.step(20 * time.Millisecond)
	}
	images := map[string]map[int]bool{}
	for task, worker := range b.workerOf {
		var job int
		_, err := fmt.Sscanf(task, "%x.0.0.", &job)
		must.NoError(t, err)
		if images[worker] == nil {
			images[worker] = map[int]bool{}
		}
		images[worker][job%2] = true
	}
	for worker, there := range images {
		must.MapLen(t, 1, there, must.Sprint(worker))
	}
}

// A leader paused fillers and handed its cell over. Its successor took them for stalled, stopped them and
// quarantined their worker.
func TestAdoptedFillerIsSentFullPace(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	// The task fits nowhere, so its only run is the one that the worker lists.
	b.accept(fillerID, "offers", &wire.StepSpec{Count: 1, Millicores: 60_000, Filler: true, EstimateMs: 9000, Image: "f", Checkpointing: true})
	r := b.reports["w03"]
	r.Active = append(r.Active, workers.Active{Task: fillerID + ".0.0.0", Run: 7, Percent: 40})
	for range 30 {
		b.step(20 * time.Millisecond)
	}
	must.SliceNotEmpty(t, b.paces)
	must.Eq(t, 7, b.paces[0].Pace.Run)
	must.Eq(t, 100, b.paces[0].Pace.Percent)
	must.Len(t, 1, b.paces, must.Sprint("once"))
}
