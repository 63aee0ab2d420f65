package emulator

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// A day of given jobs on given workers. What tasks really do (how long they run, whether
// they fail, how their users' load swings, what disturbs whom) is part of it and hidden
// from the product, so that two policies can be played on the very same day.

// Load is such a day.
type Load struct {
	Halls    []string
	Machines []Machine
	Queues   []manifest.Queue
	Jobs     []Handin
	// Press is what a filler image's use of a whole worker adds to how busy a serving
	// image's tasks are there.
	Press map[Pair]float64
	// Unloaded is the tail of a serving task that has nothing to do.
	Unloaded time.Duration
}

// Pair is a serving image and a filler's.
type Pair struct{ Serving, Filler string }

// Machine is what a worker is.
type Machine struct {
	Hall, Rack           string
	Millicores, MemoryMB int64
}

// Handin is a job that a caller hands in.
type Handin struct {
	// At is the time since the beginning of the day; CancelAt likewise, 0: never.
	At, CancelAt time.Duration
	// Hall is the caller's.
	Hall string
	Spec *wire.JobSpec
	// Tasks are what the job's tasks really do, by step and index.
	Tasks [][]TaskTruth
}

// TaskTruth is what a task really does.
type TaskTruth struct {
	// Work is its run time at full speed.
	Work time.Duration
	// Fails is how many of its runs fail, the first ones, half way.
	Fails int
	// Load is how busy a serving task is with its own users: Base times one plus Swing
	// times a wave of the given period, which begins at the phase (in turns).
	Base, Swing, Phase float64
	Period             time.Duration

	runs int
}

// JobResult is what became of a job.
type JobResult struct {
	Handin Handin
	// Phase is the last that callers were told, at the time EndedAt of the day.
	Phase   wire.JobPhase
	EndedAt time.Duration
	// Windows are what its lasting tasks did in each span of WindowSpan since it was
	// handed in.
	Windows []Window
}

// WindowSpan is the length of a window.
const WindowSpan = 2 * time.Second

// Window sums up over the lasting tasks of a job: the time that they were at work, and
// that they were over their target, by their own load or only by what fills beside them.
type Window struct{ AtWork, Over, OverByOthers time.Duration }

// Results are what became of each job of a given load, in the order of the load.
func (w *World) Results() []*JobResult {
	list := make([]*JobResult, 0, len(w.plan.Load.Jobs))
	for _, h := range w.plan.Load.Jobs {
		list = append(list, w.results[h.Spec.GetId()])
	}
	return list
}

func (w *World) planLoad() {
	for _, h := range w.plan.Load.Jobs {
		id := h.Spec.GetId()
		w.results[id] = &JobResult{Handin: h}
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

// hostFor is a host that a caller's connection leads to: one of its hall's, or any.
func (w *World) hostFor(job string) *host {
	if w.plan.Load != nil {
		var near []*host
		for _, h := range w.hosts {
			if h.up && h.hall == w.results[job].Handin.Hall {
				near = append(near, h)
			}
		}
		if len(near) > 0 {
			return near[w.draws.below("door "+job, int64(len(near)))]
		}
	}
	return w.hosts[w.draws.below("door "+job, int64(len(w.hosts)))]
}

// followInterval is how often leaders read their tables. On a given load, word of peers
// does nearly all of it.
func (w *World) followInterval() time.Duration {
	if w.plan.Load != nil {
		return 3 * time.Second
	}
	return 700 * time.Millisecond
}

func (w *World) attempts(job string) int {
	if q, ok := w.manifest().Queue(w.jobs[job].GetQueue()); ok {
		return q.MaxAttempts
	}
	return maxAttempts
}

// recordPhase takes in what callers are told of a job from now on.
func (w *World) recordPhase(id string, phase wire.JobPhase) {
	if r := w.results[id]; r != nil && r.Phase < wire.JobPhase_JOB_PHASE_COMPLETED {
		r.Phase, r.EndedAt = phase, w.now.Sub(w.start)
	}
}

// window is the one of a job that the present moment falls into.
func (r *JobResult) window(now time.Duration) *Window {
	n := int((now - r.Handin.At) / WindowSpan)
	for len(r.Windows) <= n {
		r.Windows = append(r.Windows, Window{})
	}
	return &r.Windows[n]
}
