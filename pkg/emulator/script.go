package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// ScriptVersion is the version of scripts that Record writes, and the only one that is played.
const ScriptVersion = 1

// Script is a day as data: what is planned, what strikes, and what is drawn by chance beside that. Spans
// and moments are nanoseconds since the day's beginning.
type Script struct {
	Version int
	// Plan says how the world behaves, and when the day is over. The counts in it, of jobs and of faults,
	// are what the day was drawn from; played is what stands below.
	Plan    Plan
	Hosts   []Node
	Workers []Node
	Jobs    []ScriptJob
	Cancels []Cancel
	Faults  []Fault
	// Tapes are the draws by stream, in the order in which they are read. Beyond chooses among what follows
	// where a tape has run out.
	Tapes  map[string][]uint64
	Beyond uint64
}

// Node is a host or a worker, and the cell that it belongs to.
type Node struct{ Name, Cell string }

// ScriptJob is a job, the moment at which a caller hands it in, and the task of it that crashes its workers.
type ScriptJob struct {
	At    time.Duration
	Spec  JobSpec
	Crash *Crash `json:",omitempty"`
}

// JobSpec is a job's specification in its own JSON form.
type JobSpec struct{ *wire.JobSpec }

// Crash says which task of a job crashes each worker that starts it, and how long after the start.
type Crash struct {
	Step, Index int
	After       time.Duration
}

// Cancel is a caller's cancel. One that is made surely is repeated until it has been taken, and waits for
// its job to be accepted.
type Cancel struct {
	At     time.Duration
	Job    string
	Surely bool `json:",omitempty"`
}

// Record plays a day and writes its script.
func Record(plan Plan) (*Script, *World, []string, error) {
	if plan.Load != nil {
		return nil, nil, nil, fault.New(fault.BadInput, "Plan.Load", "a day of a given load has no script", "")
	}
	if plan.Lasting > 0 || plan.Leaving.Series > 0 {
		return nil, nil, nil, fault.New(fault.BadInput, "Plan.Leaving", "a day of workers that leave has no script", "play it by its seed")
	}
	w := drawnWorld(plan, true)
	w.script = &Script{Version: ScriptVersion, Plan: plan}
	broken := w.playDrawn()
	w.script.Tapes = w.draws.tapes
	return w.script, w, broken, nil
}

// Play plays the script's day, without any random number, and returns the rules that were broken. The
// script has to be a valid one; it stays as it is.
func (s *Script) Play() (*World, []string) {
	w := newWorld(s.Plan, tapeDraws(s.Tapes, s.Beyond))
	w.cells = cellNames(s.Plan.Cells)
	for _, p := range s.Workers {
		w.workers = append(w.workers, newWorker(w, p.Name, usualMachine(p.Cell)))
	}
	for _, p := range s.Hosts {
		w.hosts = append(w.hosts, newHost(w, p.Name, p.Cell))
	}
	for _, j := range s.Jobs {
		w.planJob(j)
	}
	for _, c := range s.Cancels {
		w.planCancel(c)
	}
	for _, f := range s.Faults {
		w.after(f.At, func() { w.strikeWith(f) })
	}
	return w, w.run()
}

func newWorld(plan Plan, d *draws) *World {
	w := &World{
		plan: plan, draws: d, start: time.Unix(1_000_000, 0),
		jobs: map[string]*wire.JobSpec{}, cuts: map[[2]string]time.Time{}, hallCuts: map[string]time.Time{},
		truths: map[string]*TaskTruth{}, saved: map[string]time.Duration{}, results: map[string]*JobResult{},
		crashers: map[string]time.Duration{}, Noted: map[cell.NoteKind]int{},
	}
	w.now, w.impairedAt = w.start, w.start
	w.checker = newChecker(w)
	w.table = newTable(w)
	return w
}

// drawnWorld is the world of a day that is drawn from its seed.
func drawnWorld(plan Plan, keep bool) *World {
	r := rand.New(rand.NewPCG(plan.Seed, 7))
	w := newWorld(plan, generatorDraws(r, keep))
	w.rand = r
	return w
}

func cellNames(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("hall-%d", i))
	}
	return names
}

// planJob has a job handed in.
func (w *World) planJob(j ScriptJob) {
	spec, ok := proto.Clone(j.Spec.JobSpec).(*wire.JobSpec)
	if !ok {
		return
	}
	if w.script != nil {
		w.script.Jobs = append(w.script.Jobs, j)
	}
	if c := j.Crash; c != nil {
		task := name(spec.GetId(), 0, c.Step, c.Index)
		w.crashers[crashTaskKey(task)] = c.After
		w.logf("%s crashes its worker after %s", task, c.After)
	}
	w.after(j.At, func() { w.submit(spec, 0) })
}

// planCancel has a job cancelled.
func (w *World) planCancel(c Cancel) {
	if w.script != nil {
		w.script.Cancels = append(w.script.Cancels, c)
	}
	do := w.cancel
	if c.Surely {
		do = w.cancelSurely
	}
	w.after(c.At, func() { do(c.Job) })
}

// takeFleet writes down the hosts and workers of a day as it begins.
func (s *Script) takeFleet(w *World) {
	for _, h := range w.hosts {
		s.Hosts = append(s.Hosts, Node{h.name, h.hall})
	}
	for _, k := range w.workers {
		s.Workers = append(s.Workers, Node{k.name, k.Hall})
	}
}

// FirstBreaks is when each broken rule was broken first.
func (w *World) FirstBreaks() map[string]time.Duration { return w.checker.brokenAt }

// TapesRead are the parts of a script's tapes that its day has read.
func (w *World) TapesRead() map[string][]uint64 {
	read := map[string][]uint64{}
	for stream, tape := range w.draws.tapes {
		if n := min(w.draws.read[stream], len(tape)); n > 0 {
			read[stream] = tape[:n]
		}
	}
	return read
}
