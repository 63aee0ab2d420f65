package emulator

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// A day of given jobs on given workers. The actual behaviour of tasks (run time, failures, load of their users,
// interference) is part of the load and hidden from the scheduler, so that two policies can be compared on the
// same day.

// Load is the input of such a day.
type Load struct {
	Halls    []string
	Machines []Machine
	Queues   []manifest.Queue
	Jobs     []SubmittedJob
	// Pressure is the load that a filler image adds to the tasks of a serving image when it uses the whole worker.
	Pressure map[Pair]float64
	// UnloadedTail is the tail latency of a serving task without load.
	UnloadedTail time.Duration
}

// Pair is a serving image and a filler image.
type Pair struct{ Serving, Filler string }

// Machine is the place and capacity of a worker.
type Machine struct {
	Hall, Rack           string
	Millicores, MemoryMB int64
}

// SubmittedJob is a job that a caller submits.
type SubmittedJob struct {
	// At is when it is submitted and CancelAt when it is cancelled, since the start of the day; CancelAt 0
	// means never.
	At, CancelAt time.Duration
	// CallerHall is the hall of the caller.
	CallerHall string
	Spec       *wire.JobSpec
	// Tasks are the actual behaviours of the job's tasks, by step and index.
	Tasks [][]TaskBehavior
}

// TaskBehavior is the actual behaviour of a task.
type TaskBehavior struct {
	// Work is the run time at full speed.
	Work time.Duration
	// FailingRuns is how many of the first runs fail, each half way.
	FailingRuns int
	// The load of a serving task by its own users is Base * (1 + Swing * sin), with a sine wave of the period
	// Period that starts at Phase, in turns.
	Base, Swing, Phase float64
	Period             time.Duration

	runs int
}

// JobResult is the outcome of a job.
type JobResult struct {
	Submitted SubmittedJob
	// Phase is the last phase that callers were told, and EndedAt when, since the start of the day.
	Phase   wire.JobPhase
	EndedAt time.Duration
	// Windows sum up its lasting tasks in each span of WindowSpan since the job was submitted.
	Windows []Window
}

// WindowSpan is the length of a window.
const WindowSpan = 2 * time.Second

// Window holds sums over the lasting tasks of a job, for one span of WindowSpan. AtWork is how long they served,
// OverTarget how long their tail latency was over the target by their own load, and OverTargetByFillers how long it was
// over the target only because of fillers beside them.
type Window struct{ AtWork, OverTarget, OverTargetByFillers time.Duration }

// Results returns the outcome of each job of a given load, in the order of the load.
func (w *World) Results() []*JobResult {
	list := make([]*JobResult, 0, len(w.plan.Load.Jobs))
	for _, h := range w.plan.Load.Jobs {
		list = append(list, w.results[h.Spec.GetId()])
	}
	return list
}

// planLoad schedules the submissions and cancels of the given load.
func (w *World) planLoad() {
	for _, h := range w.plan.Load.Jobs {
		id := h.Spec.GetId()
		w.results[id] = &JobResult{Submitted: h}
		for step, tasks := range h.Tasks {
			for i := range tasks {
				w.truths[fmt.Sprintf("%s.0.%d.%d", id, step, i)] = &tasks[i]
			}
		}
		w.after(h.At, func() { w.submit(h.Spec, 0) })
		if h.CancelAt > 0 {
			w.after(h.CancelAt, func() { w.cancel(id) })
		}
	}
}

// entryHostFor draws the host that a caller connects to: on a day of a given load one of the caller's hall that is
// up if there is any, else any host.
func (w *World) entryHostFor(job string) *host {
	if w.plan.Load != nil {
		var near []*host
		for _, h := range w.hosts {
			if h.up && h.hall == w.results[job].Submitted.CallerHall {
				near = append(near, h)
			}
		}
		if len(near) > 0 {
			return near[w.draws.below("door "+job, int64(len(near)))]
		}
	}
	return w.hosts[w.draws.below("door "+job, int64(len(w.hosts)))]
}

// followInterval returns how often leaders read their tables. On a given load this is rare, since notifications
// by peers bring nearly all news.
func (w *World) followInterval() time.Duration {
	if w.plan.Load != nil {
		return 3 * time.Second
	}
	return 700 * time.Millisecond
}

// attempts returns the maximum number of attempts at each task of a job.
func (w *World) attempts(job string) int {
	if q, ok := w.manifest().Queue(w.jobs[job].GetQueue()); ok {
		return q.MaxAttempts
	}
	return maxAttempts
}

// recordPhase records the phase that callers are told of a job from now on.
func (w *World) recordPhase(id string, phase wire.JobPhase) {
	if r := w.results[id]; r != nil && r.Phase < wire.JobPhase_JOB_PHASE_COMPLETED {
		r.Phase, r.EndedAt = phase, w.now.Sub(w.start)
	}
}

// window returns the window of a job into which a time of the day falls.
func (r *JobResult) window(now time.Duration) *Window {
	n := int((now - r.Submitted.At) / WindowSpan)
	for len(r.Windows) <= n {
		r.Windows = append(r.Windows, Window{})
	}
	return &r.Windows[n]
}
