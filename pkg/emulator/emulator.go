// Package emulator runs the scheduler's decision code in virtual time, in one goroutine, against emulated entry
// hosts, workers, a table and a network, all with injected faults. The same seed gives the same run, called a
// day, and a checker reports broken rules. The hosts drive the product's own election.Seat, cell.State and
// cellchoice.Board; the checker shares no code with the product. emulator.go has the clock and the traffic;
// random_streams.go the random draws; plans.go, script*.go and load.go the input of days; fault_schedule.go and fault_kinds.go the
// faults; inventory.go the platform's inventory;
// host.go, processor.go, handover.go, relays.go, effects.go, leader_messages.go, intake.go, pending_answers.go, contact.go and predecessors.go the hosts; table.go the table;
// losses.go and cut_offs.go plans of lost and cut-off workers;
// worker.go, incarnations.go, machine.go, capacity.go, spoiled_rows.go, leaving.go, leaving_takeovers.go and crash_tasks.go the workers; checker.go,
// cancel_rule.go, lasting_rule.go, held_rule.go, pending_rule.go and evacuations.go the rules.
package emulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	queueName   = "queue"
	serviceName = "service"
	maxAttempts = 3
	// lostAnswerOdds is the number of answers to cancels of which one is lost on days with Plan.LostAnswers.
	lostAnswerOdds = 3
	// maxSubmitRetries is how often a caller without an answer submits a job again.
	maxSubmitRetries = 40
)

// World is the state of one emulated day.
type World struct {
	plan      Plan
	rand      *rand.Rand     // plans the day: fleet, traffic and faults
	draws     *randomStreams // all other random draws, by named stream
	now       time.Time
	start     time.Time
	events    eventHeap
	serial    int
	table     *tableService
	inventory *inventoryService
	cells     []string
	workers   []*worker
	hosts     []*host
	jobs      map[string]*wire.JobSpec
	tickets   map[string]ticket
	checker   *checker
	cuts      map[[2]string]time.Time // when the partition between two names ends
	// hallCuts holds when the partition between two halls ends.
	hallCuts map[string]time.Time
	// evacuations are the evacuations in force, by hall.
	evacuations map[string]*evacuation
	// troubleUntil is the time at which the last fault injected so far ends.
	troubleUntil time.Time
	// impairedAt is the last time at which a fault was active. It is kept only on days that check lasting
	// tasks.
	impairedAt      time.Time
	truths          map[string]*TaskBehavior // actual behaviour of the tasks of plan.Load, by task name
	saved           map[string]time.Duration
	crashTaskDelays map[string]time.Duration // delay from start to worker crash, by task without its occurrence
	// afterCrash and afterEnd, if set, are called at each crash of a worker and at each reported end of a run.
	afterCrash func(k *worker)
	afterEnd   func(task string)
	// suspects counts the jobs of scheduleSuspectBefore. suspectCell is the cell of the last one.
	suspects    int
	suspectCell string
	// afterLeave, if set, is called when a worker begins to leave.
	afterLeave func(k *worker)
	results    map[string]*JobResult
	// gaveUp are the jobs whose callers have given up their submissions. InsertionsKeptOut counts the insertions that met a
	// tombstone, LateInsertionsKeptOut those that the table carried out later than it answers.
	gaveUp                                   map[string]bool
	InsertionsKeptOut, LateInsertionsKeptOut int
	script                                   *Script // records the day, nil if it is not recorded
	// passedReadings counts the recent readings that relays have passed on.
	passedReadings int
	// Noted counts the notes of all hosts by kind.
	Noted map[cell.NoteKind]int
	// Log holds the log lines of the day, to explain a seed that failed.
	Log []string
}

// Play runs the day of a plan. It returns the final state and the rules that were broken, one text each.
func Play(plan Plan) (*World, []string) {
	w := seededWorld(plan, false)
	return w, w.playDrawn()
}

// playDrawn runs a day whose fleet, jobs and faults are drawn from the seed. It returns the broken rules.
func (w *World) playDrawn() []string {
	w.planFleet()
	if w.plan.Load == nil {
		w.planTraffic()
	} else {
		w.planLoad()
	}
	w.scheduleFaults()
	w.scheduleAftermath()
	w.scheduleTakeovers()
	return w.run()
}

// run executes events in order of time until the day ends, and returns the broken rules.
func (w *World) run() []string {
	if w.plan.Load == nil {
		w.after(heldCheckEvery, w.checker.watchHeld)
	}
	if w.plan.Pending {
		w.after(pendingCheckEvery, w.checker.watchPending)
	}
	for len(w.events) > 0 {
		e, ok := heap.Pop(&w.events).(*event)
		if !ok || e.at.Sub(w.start) > w.plan.End {
			break
		}
		w.now = e.at
		e.do()
	}
	w.checker.atEnd()
	return w.checker.broken
}

// planFleet creates the workers and hosts of the day.
func (w *World) planFleet() {
	if w.plan.Load != nil {
		w.cells = w.plan.Load.Halls
		for i, m := range w.plan.Load.Machines {
			w.workers = append(w.workers, newWorker(w, workerName(i), m))
		}
	} else {
		w.cells = cellNames(w.plan.Cells)
		for i := range w.plan.Workers {
			w.workers = append(w.workers, newWorker(w, workerName(i), usualMachine(w.cells[i%w.plan.Cells])))
		}
	}
	for i := range w.plan.Hosts {
		w.hosts = append(w.hosts, newHost(w, hostName(i), w.cells[i%len(w.cells)]))
	}
	if w.script != nil {
		w.script.recordFleet(w)
	}
}

func workerName(n int) string { return fmt.Sprintf("worker-%d", n) }

func hostName(n int) string { return fmt.Sprintf("host-%d", n) }

// usualMachine returns the worker machine of drawn days.
func usualMachine(cell string) Machine {
	return Machine{Hall: cell, Millicores: workerCores, MemoryMB: workerMemory}
}

// ---------------------------------------------------------------- events

// event is a call scheduled for a time; events of the same time run in the order of their serials.
type event struct {
	at     time.Time
	serial int
	do     func()
}

// eventHeap is the queue of events, ordered by time and serial.
type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].serial < h[j].serial
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) {
	if e, ok := x.(*event); ok {
		*h = append(*h, e)
	}
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// after schedules a call after a span of virtual time.
func (w *World) after(span time.Duration, do func()) {
	w.serial++
	heap.Push(&w.events, &event{at: w.now.Add(span), serial: w.serial, do: do})
}

// logf adds a line with the seconds since the day's start to the log.
func (w *World) logf(format string, args ...any) {
	w.Log = append(w.Log, fmt.Sprintf("%8.3f ", w.now.Sub(w.start).Seconds())+fmt.Sprintf(format, args...))
}

// between draws a span from a to b for the plan of the day.
func (w *World) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.rand.Int64N(int64(b-a)+1))
}

// unreachable returns whether a partition separates two hosts or workers, or a host and the table.
func (w *World) unreachable(a, b string) bool {
	if len(w.hallCuts) > 0 && b != "table" && w.hallsDisconnected(w.hallOf(a), w.hallOf(b)) {
		return true
	}
	return w.now.Before(w.cuts[[2]string{a, b}]) || w.now.Before(w.cuts[[2]string{b, a}])
}

// hallOf returns the hall of a host or worker, or "" if no such name exists.
func (w *World) hallOf(name string) string {
	for _, h := range w.hosts {
		if h.name == name {
			return h.hall
		}
	}
	for _, k := range w.workers {
		if k.name == name {
			return k.Hall
		}
	}
	return ""
}

// --------------------------------------------------------------- traffic

// planTraffic draws the jobs, their times of submission, and cancels.
func (w *World) planTraffic() {
	for i := range w.plan.Jobs {
		id := fmt.Sprintf("%016x", i+1)
		spec := w.newJob(id)
		var crash *Crash
		if i < w.plan.CrashTasks {
			crash = w.drawCrashTask(spec)
		}
		at := w.between(2*time.Second, w.plan.Traffic)
		w.scheduleJob(ScriptJob{At: at, Spec: JobSpec{spec}, Crash: crash})
		if spec.GetSteps()[0].GetLasting() {
			w.scheduleCancel(Cancel{At: at + w.between(time.Second, w.plan.Trouble), Job: id, Surely: true})
			continue
		}
		if w.rand.IntN(8) == 0 || (w.plan.Touch && w.rand.IntN(3) == 0) {
			w.scheduleCancel(Cancel{At: at + w.between(100*time.Millisecond, 4*time.Second), Job: id})
		}
	}
	w.planLasting()
	w.scheduleLastingChecks()
	w.planUrgent()
	w.planUrgentLoad()
	w.planBacklog()
	w.planScarceMemory()
	w.planLabelJobs()
	w.planAdvisedJobs()
	w.planGivingUp()
}

// newJob draws a job of one to three steps, or one with lasting tasks, or a repeated one.
func (w *World) newJob(id string) *wire.JobSpec {
	spec := &wire.JobSpec{Id: id, Queue: queueName, Service: serviceName, Cell: w.someCell(), Body: "body of " + id}
	for i := range 1 + w.rand.IntN(3) {
		step := &wire.StepSpec{
			Count: int32(1 + w.rand.IntN(4)), Millicores: int64(500 * (1 + w.rand.IntN(6))), MemoryMb: 1000,
			EstimateMs: int64(200 + w.rand.IntN(2000)), Checkpointing: w.rand.IntN(2) == 0,
		}
		if i > 0 && w.rand.IntN(4) > 0 {
			step.After = []int32{int32(w.rand.IntN(i))}
		}
		if w.rand.IntN(6) == 0 {
			step.Spread = 1
		}
		if w.rand.IntN(8) == 0 {
			step.Gang = true
			step.Spread = 0
		}
		if len(w.cells) > 1 && w.rand.IntN(3) == 0 {
			step.Filler, step.Gang, step.Image = true, false, fmt.Sprintf("image-%d", w.rand.IntN(2))
		}
		spec.Steps = append(spec.Steps, step)
	}
	if len(w.cells) > 1 && w.rand.IntN(6) == 0 {
		step := spec.GetSteps()[0]
		step.Lasting, step.Gang, step.Filler, step.TailTargetMs = true, false, false, 100
		step.Image = fmt.Sprintf("serving-%d", w.rand.IntN(2))
		spec.Steps = spec.GetSteps()[:1]
		return spec
	}
	if len(w.cells) > 1 && w.rand.IntN(5) == 0 {
		spec.Repeats = int32(1 + w.rand.IntN(3))
		spec.FirstUnixMs = w.start.Add(w.between(2*time.Second, w.plan.Traffic)).UnixMilli()
		spec.IntervalMs = w.between(200*time.Millisecond, 3*time.Second).Milliseconds()
	}
	return spec
}

// someCell draws the home cell of a job. Three of four jobs go to the first cell, so that it runs short of
// capacity and delegates tasks.
func (w *World) someCell() string {
	if len(w.cells) == 1 || w.rand.IntN(4) > 0 {
		return w.cells[0]
	}
	return w.cells[1+w.rand.IntN(len(w.cells)-1)]
}

// submit submits a job at some host. A caller without an answer retries, up to maxSubmitRetries times.
func (w *World) submit(spec *wire.JobSpec, tries int) {
	if w.gaveUp[spec.GetId()] {
		return
	}
	h := w.entryHostFor(spec.GetId())
	h.submit(spec, func(taken bool) {
		if w.gaveUp[spec.GetId()] {
			return // nobody hears the answer
		}
		if taken {
			w.checker.accepted(spec)
			return
		}
		if tries < maxSubmitRetries {
			w.after(w.draws.between("retry "+spec.GetId(), 100*time.Millisecond, 600*time.Millisecond), func() { w.submit(spec, tries+1) })
		}
	})
}

// cancelUntilAccepted cancels a job with lasting tasks once it is accepted, and retries every 2 s until a host has
// accepted the cancel: a host that is killed while it is frozen never answers.
func (w *World) cancelUntilAccepted(id string) {
	if w.checker.isCancelled(id) {
		return
	}
	w.cancel(id)
	w.after(2*time.Second, func() { w.cancelUntilAccepted(id) })
}

// cancel cancels an accepted job at some host, and retries until a host has accepted it. It does nothing for a
// job that is not accepted.
func (w *World) cancel(id string) {
	if !w.checker.isAccepted(id) {
		return
	}
	h := w.entryHostFor(id)
	w.checker.cancelSentTo(h, id)
	h.cancel(id, func(taken bool) {
		if taken {
			if !w.plan.LostAnswers || !w.draws.oneIn("cancel answer "+id, lostAnswerOdds) {
				w.checker.cancelled(id)
			}
			return
		}
		w.after(300*time.Millisecond, func() { w.cancel(id) })
	})
}

// leader returns a host that leads some cell, nil if there is none.
func (w *World) leader() *host {
	for _, h := range w.hosts {
		for _, name := range w.cells {
			if h.leads(name) != nil {
				return h
			}
		}
	}
	return nil
}

// manifest returns the queues and services of the day.
func (w *World) manifest() *manifest.Manifest {
	if w.plan.Load != nil {
		return manifest.New(1, w.plan.Load.Queues, []manifest.Service{{Name: serviceName, GuardsCapacity: true}}, manifest.Limits{})
	}
	queues := []manifest.Queue{{Name: queueName, Service: serviceName, MaxAttempts: maxAttempts, Stretch: 2, Slack: time.Second}}
	if w.plan.AdvisedJobs > 0 {
		queues = append(queues, queues[0])
		queues[1].Name, queues[1].Advice = advisedQueueName, &advice
	}
	return manifest.New(1, queues, []manifest.Service{{Name: serviceName, GuardsCapacity: !w.plan.Unguarded}}, manifest.Limits{})
}
