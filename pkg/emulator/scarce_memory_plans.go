package emulator

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Plans of days on which cells have free processors and nearly no free memory.

// ScarceMemory configures cells whose memory is full of lasting tasks, and bursts of jobs to the first cell, which is not one
// of them.
type ScarceMemory struct {
	// FullCells is the number of cells whose memory is full.
	FullCells int
	// Bursts is the number of bursts, Jobs and LastingJobs the numbers of jobs of short and of lasting tasks in each.
	Bursts, Jobs, LastingJobs int
}

const (
	// memoryFilledBy is when the jobs that fill the memory are submitted. The first burst begins at firstScarceBurst,
	// when these run.
	memoryFilledBy   = 2 * time.Second
	firstScarceBurst = 12 * time.Second
	// scarceBurstEvery is the time between the beginnings of two bursts. The work of one burst ends in less.
	scarceBurstEvery = 9 * time.Second
	// lastingCancelledBeforeEnd is how long before the end of the day its lasting jobs are cancelled.
	lastingCancelledBeforeEnd = 15 * time.Second
	// scarceFirstID is the number of the first job of these days.
	scarceFirstID = 0x300000
)

// ScarceMemoryPlan returns the plan of a day of three cells without faults. Lasting tasks fill the memory of one or two cells
// and leave most of their processors free, while bursts of short and lasting tasks come to another cell. On every second pair
// of days there are more lasting tasks.
func ScarceMemoryPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Cells, plan.Hosts, plan.Workers, plan.Faults, plan.Jobs = 3, 6, 9, 0, 0
	plan.Idle = true
	plan.ScarceMemory = ScarceMemory{FullCells: 1 + int(seed%2), Bursts: 4, Jobs: 6, LastingJobs: 1}
	if seed%4 > 1 {
		plan.ScarceMemory.Jobs, plan.ScarceMemory.LastingJobs = 4, 3
	}
	// Without faults all rules with a time limit hold from the first burst on.
	plan.Traffic, plan.Trouble, plan.End = 41*time.Second, 0, 90*time.Second
	return plan
}

// planScarceMemory submits the lasting jobs that fill the memory of cells, and the bursts.
func (w *World) planScarceMemory() {
	scarce := w.plan.ScarceMemory
	number := scarceFirstID
	submit := func(at time.Duration, spec *wire.JobSpec) {
		spec.Id = fmt.Sprintf("%016x", number)
		spec.Queue, spec.Service, spec.Body = queueName, serviceName, "body of "+spec.GetId()
		number++
		w.scheduleJob(ScriptJob{At: at, Spec: JobSpec{spec}})
		if spec.GetSteps()[0].GetLasting() {
			w.scheduleCancel(Cancel{At: w.plan.End - lastingCancelledBeforeEnd, Job: spec.GetId(), Surely: true})
		}
	}
	for i := range scarce.FullCells {
		submit(w.between(time.Second, memoryFilledBy), w.memoryFillingJob(w.cells[1+i]))
	}
	for i := range scarce.Bursts {
		from := firstScarceBurst + time.Duration(i)*scarceBurstEvery
		for range scarce.Jobs {
			submit(from+w.between(0, burstSpan), w.scarceShortJob())
		}
		for range scarce.LastingJobs {
			submit(from+w.between(0, burstSpan), w.scarceLastingJob())
		}
	}
}

// memoryFillingJob draws a job of one lasting task at each worker of a cell, with nearly all of its memory.
func (w *World) memoryFillingJob(name string) *wire.JobSpec {
	count := int32(0)
	for _, k := range w.workers {
		if k.Hall == name {
			count++
		}
	}
	step := &wire.StepSpec{
		Count: count, Spread: 1, Millicores: int64(500 * (1 + w.rand.IntN(2))), MemoryMb: workerMemory - int64(100*(1+w.rand.IntN(9))),
		EstimateMs: 1000, Lasting: true, TailTargetMs: 100, Image: "serving-0",
	}
	return &wire.JobSpec{Cell: name, Steps: []*wire.StepSpec{step}}
}

// scarceShortJob draws a job of one or two steps of plain tasks, fillers or a gang for the first cell.
func (w *World) scarceShortJob() *wire.JobSpec {
	spec := &wire.JobSpec{Cell: w.cells[0]}
	for i := range 1 + w.rand.IntN(2) {
		step := &wire.StepSpec{
			Count: int32(2 + w.rand.IntN(7)), Millicores: int64(500 * (1 + w.rand.IntN(6))), MemoryMb: int64(1000 * (1 + w.rand.IntN(5))),
			EstimateMs: int64(200 + w.rand.IntN(2000)), Checkpointing: w.rand.IntN(2) == 0,
		}
		switch w.rand.IntN(5) {
		case 0, 1:
			step.Filler, step.Image = true, fmt.Sprintf("image-%d", w.rand.IntN(backlogImages))
		case 2:
			step.Gang, step.Count = true, int32(2+w.rand.IntN(2))
		}
		if i > 0 {
			step.After = []int32{0}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// scarceLastingJob draws a job of lasting tasks for the first cell.
func (w *World) scarceLastingJob() *wire.JobSpec {
	step := &wire.StepSpec{
		Count: int32(1 + w.rand.IntN(3)), Millicores: int64(1000 * (1 + w.rand.IntN(4))), MemoryMb: int64(4000 * (1 + w.rand.IntN(3))),
		EstimateMs: 1000, Lasting: true, TailTargetMs: 100, Image: "serving-1",
	}
	return &wire.JobSpec{Cell: w.cells[0], Steps: []*wire.StepSpec{step}}
}
