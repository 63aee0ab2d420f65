package emulator

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Plans of days on which an advice service approves no worker of one cell for some jobs.

const (
	// advisedQueueName is the queue whose starts need a ticket on days with Plan.AdvisedJobs.
	advisedQueueName = "advised"
	// advisedFirstID is the number of the first job of that queue.
	advisedFirstID = 0x500000
	// approvedDivisor is the part of the workers of each other cell that the service approves for a step.
	approvedDivisor = 2
)

// advice is what a call of the advice service takes, and how long a ticket is valid.
var advice = manifest.Advice{Decide: 50 * time.Millisecond, Each: 2 * time.Millisecond, Valid: 3 * time.Second}

// ticket is a ticket of the advice service.
type ticket struct {
	unit, worker string
	validUntil   time.Time
}

// AdvicePlan returns the plan of a day of three cells without faults on which some jobs need tickets. The service approves no
// worker of the first cell, where most jobs come, and every second one of the others.
func AdvicePlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Cells, plan.Hosts, plan.Workers, plan.Jobs, plan.Faults = 3, 6, 12, 10, 0
	plan.Idle, plan.AdvisedJobs = true, 14
	return plan
}

// planAdvisedJobs submits the jobs whose starts need tickets.
func (w *World) planAdvisedJobs() {
	for i := range w.plan.AdvisedJobs {
		spec := w.advisedJob(fmt.Sprintf("%016x", advisedFirstID+i))
		w.scheduleJob(ScriptJob{At: w.between(2*time.Second, w.plan.Traffic), Spec: JobSpec{spec}})
	}
}

// advisedJob draws a job of one step whose starts need tickets.
func (w *World) advisedJob(id string) *wire.JobSpec {
	step := &wire.StepSpec{
		Count: int32(1 + w.rand.IntN(3)), Millicores: int64(500 * (1 + w.rand.IntN(4))), MemoryMb: 1000,
		EstimateMs: int64(200 + w.rand.IntN(2000)), Checkpointing: w.rand.IntN(2) == 0, Gang: w.rand.IntN(2) == 0,
	}
	if w.rand.IntN(2) == 0 {
		step.Filler, step.Image = true, fmt.Sprintf("image-%d", w.rand.IntN(2))
	}
	return &wire.JobSpec{Id: id, Queue: advisedQueueName, Service: serviceName, Cell: w.someCell(), Body: "body of " + id, Steps: []*wire.StepSpec{step}}
}

// needsTicket returns whether starts of a job's tasks need a ticket.
func (w *World) needsTicket(job string) bool { return w.jobs[job].GetQueue() == advisedQueueName }

// approves returns whether the advice service approves a worker for a unit. The answer doesn't change.
func (w *World) approves(unit string, k *worker) bool {
	if k.Hall == w.cells[0] {
		return false
	}
	inHall := slices.DeleteFunc(slices.Clone(w.workers), func(other *worker) bool { return other.Hall != k.Hall })
	h := fnv.New32a()
	_, _ = h.Write([]byte(unit)) // a hash never fails
	return slices.Index(inHall, k)%approvedDivisor == int(h.Sum32()%approvedDivisor)
}

// advise answers a call of the advice service, which takes one call at a time of each host.
func (h *seat) advise(e cell.SendAdviceRequest) {
	w, here := h.world, h.bindIncarnation()
	h.adviceFreeAt = maxTime(h.adviceFreeAt, w.now).Add(advice.Decide + time.Duration(len(e.Workers))*advice.Each)
	w.after(h.adviceFreeAt.Sub(w.now), func() {
		here(func() {
			answered := cell.AdviceAnswered{Unit: e.Unit, Tickets: map[string]string{}}
			for _, k := range w.workers {
				if slices.Contains(e.Workers, k.key()) && w.approves(e.Unit, k) {
					number := fmt.Sprint(len(w.tickets))
					w.tickets[number] = ticket{unit: e.Unit, worker: k.key(), validUntil: w.now.Add(advice.Valid)}
					answered.Tickets[k.key()] = number
				}
			}
			h.state.Take(h.clock(), answered)
			h.act()
		})
	})
}

// allowsStart returns whether a start has the ticket that it needs.
func (k *worker) allowsStart(s workers.Start) bool {
	id, ok := jobs.ParseTaskName(s.Task)
	if !ok || !k.world.needsTicket(id.Job) {
		return true
	}
	t := k.world.tickets[s.Ticket]
	return t.unit == taskOf(s.Task) && t.worker == k.key() && !k.world.now.After(t.validUntil)
}

// mayRun returns whether a worker may run a task by its label and by the advice service.
func (k *worker) mayRun(task string, spec *wire.StepSpec) bool {
	job, _, _ := parseTaskName(task)
	return k.hasLabelFor(spec) && (!k.world.needsTicket(job) || k.world.approves(taskOf(task), k))
}
