package emulator

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Plans of days that end with a backlog of fillers, which keep all processors busy and reserve none.

// Backlog configures bursts of jobs of fillers that come shortly before Plan.Traffic ends.
type Backlog struct {
	// Bursts is the number of bursts, Jobs the number of jobs in each of them.
	Bursts, Jobs int
}

const (
	// burstEvery is the time between the beginnings of two bursts, burstSpan the time within which the jobs of one burst
	// are submitted. The last burst ends with the traffic.
	burstEvery = 3 * time.Second
	burstSpan  = 2 * time.Second
	// backlogFirstID is the number of the first job of the bursts.
	backlogFirstID = 0x200000
	// backlogImages is the number of images of the fillers of bursts.
	backlogImages = 4
)

// backlogSizes are the processors that fillers of bursts ask for, in millicores.
var backlogSizes = []int64{500, 1000, 1500, 2500, 4000, 6000}

// BacklogPlan returns the plan of a day of two or three cells on which bursts of jobs of fillers come shortly before the end
// of the traffic, without faults. Their work keeps the processors busy for up to half a minute longer.
func BacklogPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Faults, plan.Jobs = 0, 20
	if seed%2 == 1 {
		plan.Cells, plan.Hosts, plan.Workers = 3, 6, 9
	}
	plan.Idle, plan.IdleByReservations = true, true
	plan.Backlog = Backlog{Bursts: 3, Jobs: 3 * plan.Workers / 2}
	plan.Traffic, plan.Trouble, plan.End = 20*time.Second, 20*time.Second, 90*time.Second
	return plan
}

// planBacklog submits the bursts of jobs of fillers.
func (w *World) planBacklog() {
	bursts := w.plan.Backlog.Bursts
	number := backlogFirstID
	for i := range bursts {
		from := w.plan.Traffic - burstSpan - time.Duration(bursts-1-i)*burstEvery
		for range w.plan.Backlog.Jobs {
			spec := w.backlogJob(fmt.Sprintf("%016x", number))
			number++
			w.scheduleJob(ScriptJob{At: from + w.between(0, burstSpan), Spec: JobSpec{spec}})
		}
	}
}

// backlogJob draws a job of one to three steps of fillers, most of them wide.
func (w *World) backlogJob(id string) *wire.JobSpec {
	spec := &wire.JobSpec{Id: id, Queue: queueName, Service: serviceName, Cell: w.someCell(), Body: "body of " + id}
	for i := range 1 + w.rand.IntN(3) {
		step := &wire.StepSpec{
			Count: int32(2 + w.rand.IntN(9)), Millicores: backlogSizes[w.rand.IntN(len(backlogSizes))], MemoryMb: int64(500 * (1 + w.rand.IntN(6))),
			EstimateMs: int64(200 + w.rand.IntN(2000)), Checkpointing: w.rand.IntN(2) == 0,
			Filler: true, Image: fmt.Sprintf("image-%d", w.rand.IntN(backlogImages)),
		}
		if i > 0 {
			step.After = []int32{int32(w.rand.IntN(i))}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}
