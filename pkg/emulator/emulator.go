// Package emulator plays a deployment in virtual time, from a seed, in one
// goroutine: hosts with their seats and cells, a table, workers and a network,
// all with faults. It finds broken rules with nothing outside, and the same seed
// gives the same day.
//
// The files: emulator.go the clock and the traffic; draws.go what is drawn by chance; plans.go what days are made of;
// script.go days as data, scriptfile.go their files, scriptcheck.go what they may hold; load.go a day of given jobs and
// workers, and what became of them; table.go the table; faults.go what strikes when, strikes.go what that does; touch.go who is in touch; worker.go
// the workers, leaving.go those that leave, lasting.go lasting tasks that stay, crashers.go tasks that crash them, rooms.go how much room they have, lives.go their names and which life a call comes to, rows.go rows that others
// spoil, and machine.go how fast what runs there gets on and how it disturbs; host.go,
// effects.go, words.go and intake.go the hosts, which drive the product's own election.Seat,
// cell.State and cellchoice.Board; checker.go the rules, over what workers did and what
// the table holds. The checker shares no code with the product.
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
)

// World is one day.
type World struct {
	plan    Plan
	rand    *rand.Rand // draws what is planned, and what strikes
	draws   *draws     // gives what is drawn by chance beside that
	now     time.Time
	start   time.Time
	events  eventHeap
	serial  int
	table   *tableService
	cells   []string
	workers []*worker
	hosts   []*host
	jobs    map[string]*wire.JobSpec
	checker *checker
	cuts    map[[2]string]time.Time // until when two ends don't reach each other
	// hallCuts are until when halls are cut off from each other.
	hallCuts map[string]time.Time
	// troubleUntil is when the last fault that has struck is over.
	troubleUntil time.Time
	// impairedAt is when a fault was in force last, on days with lasting tasks that stay.
	impairedAt time.Time
	truths     map[string]*TaskTruth // of a given load, by task
	saved      map[string]time.Duration
	crashers   map[string]time.Duration // after how long they crash their worker, by task of any time
	results    map[string]*JobResult
	script     *Script // what a recorded day is written to
	// Noted counts the notes of all hosts by their kind.
	Noted map[cell.NoteKind]int
	// Log is the story of the day, for a seed that failed.
	Log []string
}

// Play plays a day and returns the rules that were broken.
func Play(plan Plan) (*World, []string) {
	w := drawnWorld(plan, false)
	return w, w.playDrawn()
}

// playDrawn plays a day whose jobs and faults are drawn.
func (w *World) playDrawn() []string {
	w.planFleet()
	if w.plan.Load == nil {
		w.planTraffic()
	} else {
		w.planLoad()
	}
	w.planFaults()
	return w.run()
}

// run plays what is planned, and what follows from it, to the day's end.
func (w *World) run() []string {
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
		w.hosts = append(w.hosts, newHost(w, fmt.Sprintf("host-%d", i), w.cells[i%len(w.cells)]))
	}
	if w.script != nil {
		w.script.takeFleet(w)
	}
}

func workerName(n int) string { return fmt.Sprintf("worker-%d", n) }

func usualMachine(cell string) Machine {
	return Machine{Hall: cell, Millicores: workerCores, MemoryMB: workerMemory}
}

// ---------------------------------------------------------------- events

type event struct {
	at     time.Time
	serial int
	do     func()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].serial < h[j].serial
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is for container/heap.
func (h *eventHeap) Push(x any) {
	if e, ok := x.(*event); ok {
		*h = append(*h, e)
	}
}

// Pop is for container/heap.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (w *World) after(span time.Duration, do func()) {
	w.serial++
	heap.Push(&w.events, &event{at: w.now.Add(span), serial: w.serial, do: do})
}

func (w *World) logf(format string, args ...any) {
	w.Log = append(w.Log, fmt.Sprintf("%8.3f ", w.now.Sub(w.start).Seconds())+fmt.Sprintf(format, args...))
}

func (w *World) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.rand.Int64N(int64(b-a)+1))
}

func (w *World) cut(a, b string) bool {
	if len(w.hallCuts) > 0 && b != "table" && w.apart(w.hallOf(a), w.hallOf(b)) {
		return true
	}
	return w.now.Before(w.cuts[[2]string{a, b}]) || w.now.Before(w.cuts[[2]string{b, a}])
}

// hallOf is the hall of a host or a worker.
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

func (w *World) planTraffic() {
	for i := range w.plan.Jobs {
		id := fmt.Sprintf("%016x", i+1)
		spec := w.newJob(id)
		var crash *Crash
		if i < w.plan.CrashTasks {
			crash = w.drawCrasher(spec)
		}
		at := w.between(2*time.Second, w.plan.Traffic)
		w.planJob(ScriptJob{At: at, Spec: JobSpec{spec}, Crash: crash})
		if spec.GetSteps()[0].GetLasting() {
			w.planCancel(Cancel{At: at + w.between(time.Second, w.plan.Trouble), Job: id, Surely: true})
			continue
		}
		if w.rand.IntN(8) == 0 || (w.plan.Touch && w.rand.IntN(3) == 0) {
			w.planCancel(Cancel{At: at + w.between(100*time.Millisecond, 4*time.Second), Job: id})
		}
	}
	w.planLasting()
}

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

// someCell picks a cell; the first gets most jobs.
func (w *World) someCell() string {
	if len(w.cells) == 1 || w.rand.IntN(4) > 0 {
		return w.cells[0]
	}
	return w.cells[1+w.rand.IntN(len(w.cells)-1)]
}

// submit hands a job in at some host; a caller that gets no answer asks again.
func (w *World) submit(spec *wire.JobSpec, tries int) {
	h := w.hostFor(spec.GetId())
	h.submit(spec, func(taken bool) {
		if taken {
			w.checker.accepted(spec)
			return
		}
		if tries < 40 {
			w.after(w.draws.between("retry "+spec.GetId(), 100*time.Millisecond, 600*time.Millisecond), func() { w.submit(spec, tries+1) })
		}
	})
}

// cancelSurely cancels a job whose tasks last as soon as it is accepted, and again until
// a host has taken the cancel: one that is killed while it stands still answers nothing.
func (w *World) cancelSurely(id string) {
	if w.checker.isCancelled(id) {
		return
	}
	w.cancel(id)
	w.after(2*time.Second, func() { w.cancelSurely(id) })
}

func (w *World) cancel(id string) {
	if !w.checker.isAccepted(id) {
		return
	}
	h := w.hostFor(id)
	w.checker.asked[id] = true
	h.cancel(id, func(taken bool) {
		if taken {
			w.checker.cancelled(id)
			return
		}
		w.after(300*time.Millisecond, func() { w.cancel(id) })
	})
}

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

func (w *World) manifest() *manifest.Manifest {
	if w.plan.Load != nil {
		return manifest.New(1, w.plan.Load.Queues, []manifest.Service{{Name: serviceName, Guards: true}}, manifest.Limits{})
	}
	return manifest.New(1, []manifest.Queue{{
		Name: queueName, Service: serviceName, MaxAttempts: maxAttempts, Stretch: 2, Slack: time.Second,
	}}, []manifest.Service{{Name: serviceName, Guards: !w.plan.Unguarded}}, manifest.Limits{})
}
