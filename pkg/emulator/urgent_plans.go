package emulator

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Plans of days on which cells keep capacity for urgent work while lasting tasks fill them.

const (
	// urgentWaveEvery is the time between two waves of urgent jobs, urgentWaveSpan the time within which those of one
	// wave are submitted.
	urgentWaveEvery = 11 * time.Second
	urgentWaveSpan  = 2 * time.Second
	// urgentFirstID is the number of the first urgent job.
	urgentFirstID = 0x100000
)

// UrgentPlan returns the plan of a day on which waves of urgent jobs come to cells that are nearly full of lasting tasks,
// without faults, with evacuations, or while workers leave, by turns.
func UrgentPlan(seed uint64) Plan {
	plan := leavingBasePlan(seed)
	switch seed % 3 {
	case 0:
		plan.Evacuations, plan.Lasting = 3, plan.Lasting-0.2
	case 1:
		plan.Leaving = LeavingPlan(seed).Leaving
	}
	plan.UrgentWait, plan.UrgentJobs = 300*time.Millisecond, 6
	return plan
}

// UrgentTroublePlan returns an UrgentPlan with faults of the table and of leaders, many crashes at once, suspended hosts, a
// hall that is cut off, or deposed leaders, by turns.
func UrgentTroublePlan(seed uint64) Plan {
	plan := UrgentPlan(seed)
	switch seed / 3 % 5 {
	case 0:
		plan.Faults = 10
	case 1:
		plan.Crashes, plan.SameIDs = 3, true
	case 2:
		plan.Suspends = 6
	case 3:
		plan.HallCuts = 2
	case 4:
		plan.Deposed, plan.CrashTasks = 4, 2
	}
	return plan
}

// planUrgent submits the waves of urgent jobs.
func (w *World) planUrgent() {
	if w.plan.UrgentJobs == 0 {
		return
	}
	number := urgentFirstID
	for from := lastingSubmittedBy; from+urgentWaveSpan <= w.plan.Traffic; from += urgentWaveEvery {
		for range w.plan.UrgentJobs {
			spec := w.urgentJob(fmt.Sprintf("%016x", number))
			number++
			w.scheduleJob(ScriptJob{At: from + w.between(0, urgentWaveSpan), Spec: JobSpec{spec}})
		}
	}
}

// urgentJob draws a job of one step of plain tasks that take less than a second.
func (w *World) urgentJob(id string) *wire.JobSpec {
	step := &wire.StepSpec{
		Count: int32(2 + w.rand.IntN(5)), Millicores: int64(1500 + 500*w.rand.IntN(2)), MemoryMb: 500, EstimateMs: 800,
	}
	return &wire.JobSpec{Id: id, Queue: queueName, Service: serviceName, Cell: w.someCell(), Body: "body of " + id, Steps: []*wire.StepSpec{step}}
}
