package emulator

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Plans of days on which a cell loses its only worker with a label that tasks need.

const (
	// scarceLabel is the label that one worker of each cell has on days with Plan.LabelJobs.
	scarceLabel = "gpu"
	// labelFirstID is the number of the first job whose tasks need the label.
	labelFirstID = 0x400000
)

// LostLabelPlan returns the plan of a day of three cells without faults. One worker of each cell has a label that the tasks of
// some jobs need, and that of the first cell, where most jobs come, leaves for good.
func LostLabelPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Cells, plan.Hosts, plan.Workers, plan.Jobs, plan.Faults = 3, 6, 9, 30, 0
	plan.Idle, plan.LabelJobs = true, 14
	return plan
}

// LostLabelTroublePlan returns a LostLabelPlan with more jobs that need the label, beside random faults or deposed leaders.
func LostLabelTroublePlan(seed uint64) Plan {
	plan := LostLabelPlan(seed)
	plan.LabelJobs, plan.Faults = 40, 10
	if seed%2 == 1 {
		plan.Faults, plan.Deposed, plan.Touch = 2, 6, true
	}
	return plan
}

// planLabelJobs submits the jobs whose tasks need the label.
func (w *World) planLabelJobs() {
	for i := range w.plan.LabelJobs {
		spec := w.labelJob(fmt.Sprintf("%016x", labelFirstID+i))
		w.scheduleJob(ScriptJob{At: w.between(2*time.Second, w.plan.Traffic), Spec: JobSpec{spec}})
	}
}

// labelJob draws a job of one to three steps whose tasks need the label.
func (w *World) labelJob(id string) *wire.JobSpec {
	spec := &wire.JobSpec{Id: id, Queue: queueName, Service: serviceName, Cell: w.someCell(), Body: "body of " + id}
	for i := range 1 + w.rand.IntN(3) {
		step := &wire.StepSpec{
			Count: int32(1 + w.rand.IntN(3)), Millicores: int64(500 * (1 + w.rand.IntN(4))), MemoryMb: 1000,
			EstimateMs: int64(200 + w.rand.IntN(2000)), Checkpointing: w.rand.IntN(2) == 0, Label: scarceLabel,
		}
		switch w.rand.IntN(6) {
		case 0, 1:
			step.Filler, step.Image = true, fmt.Sprintf("image-%d", w.rand.IntN(2))
		case 2:
			step.Gang = true
		case 3:
			step.Gang, step.Filler, step.Image = true, true, fmt.Sprintf("image-%d", w.rand.IntN(2))
		}
		if i > 0 {
			step.After = []int32{int32(w.rand.IntN(i))}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// scheduleLossOfLabel schedules that the worker of the first cell with the label leaves for good, in the time of traffic.
func (w *World) scheduleLossOfLabel() {
	if w.plan.LabelJobs == 0 {
		return
	}
	kind := []LeaveKind{LeaveScaledIn, LeaveSpot, LeaveUnannounced}[w.rand.IntN(3)]
	at, span := w.between(w.plan.Traffic/3, w.plan.Traffic), w.drawServiceTime(kind)
	for _, k := range w.workers {
		if k.Hall == w.cells[0] && k.label != "" {
			w.after(at, func() { w.injectFault(Fault{Kind: LeaveWorker, Target: k.name, For: span, How: int(kind)}) })
		}
	}
}

// labelFor returns the label of the next worker of a hall: the first one has it on days with Plan.LabelJobs.
func (w *World) labelFor(hall string) string {
	if w.plan.LabelJobs == 0 {
		return ""
	}
	for _, k := range w.workers {
		if k.Hall == hall {
			return ""
		}
	}
	return scarceLabel
}

// hasLabelFor returns whether the worker has the label that a step needs, if it needs one.
func (k *worker) hasLabelFor(spec *wire.StepSpec) bool {
	return spec.GetLabel() == "" || spec.GetLabel() == k.label
}

// checkLabel breaks the rule LABEL if a task starts at a worker without its label.
func (c *checker) checkLabel(k *worker, task string, spec *wire.StepSpec) {
	if !k.hasLabelFor(spec) {
		c.breakRule("LABEL", "%s starts at %s, which has not the label %s", task, k.id(), spec.GetLabel())
	}
}
