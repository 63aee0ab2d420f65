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

// ScriptVersion is the version of scripts that Record writes, and the only one that DecodeScript accepts.
const ScriptVersion = 1

// Script is a recorded day: its plan, jobs, cancels and faults, and the other random draws made while it was played.
// Times are counted from the beginning of the day; times and durations are in nanoseconds.
type Script struct {
	Version int
	// Plan configures the day. Its numbers of jobs, faults, hosts and workers are those that the day was generated
	// from. Play ignores them and plays the lists below.
	Plan  Plan
	Hosts []Node
	// Workers are the workers at the beginning of the day. Faults of the kind JoinWorker add more.
	Workers []Node
	Jobs    []ScriptJob
	Cancels []Cancel
	Faults  []Fault
	// Tapes are the random draws by stream, in the order in which they are read. Beyond selects one of the sequences
	// that may follow the end of a tape.
	Tapes  map[string][]uint64
	Beyond uint64
}

// Node is a host or a worker, with the cell of its hall.
type Node struct{ Name, Cell string }

// ScriptJob is a job with the time at which a caller submits it, and its task that crashes workers, if any.
type ScriptJob struct {
	At    time.Duration
	Spec  JobSpec
	Crash *Crash `json:",omitempty"`
	// GiveUp is set if the caller gives up.
	GiveUp *GiveUp `json:",omitempty"`
}

// JobSpec is a job's specification in its own JSON form.
type JobSpec struct{ *wire.JobSpec }

// Crash names the task of a job that crashes each worker that starts it, and the time from the start to the crash.
type Crash struct {
	Step, Index int
	After       time.Duration
}

// Cancel is a caller's request to cancel a job. With Surely it waits until the job is accepted, and is repeated until a
// host acknowledges it.
type Cancel struct {
	At     time.Duration
	Job    string
	Surely bool `json:",omitempty"`
}

// Record plays a day and returns its script, the world after the day, and the broken rules. It returns a BadInput error
// for a day of a given load, which no script can hold.
func Record(plan Plan) (*Script, *World, []string, error) {
	if plan.Load != nil {
		return nil, nil, nil, fault.New(fault.BadInput, "Plan.Load", "a day of a given load can't be recorded", "")
	}
	w := seededWorld(plan, true)
	w.script = &Script{Version: ScriptVersion, Plan: plan}
	broken := w.playDrawn()
	w.script.Tapes = w.draws.tapes
	return w.script, w, broken, nil
}

// Play plays the script's day without a random generator, and returns the world after it and the broken rules. The
// script must be valid (see Check); Play does not modify it.
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
		w.scheduleJob(j)
	}
	for _, c := range s.Cancels {
		w.scheduleCancel(c)
	}
	w.scheduleLastingChecks()
	for _, f := range s.Faults {
		w.after(f.At, func() { w.injectFault(f) })
	}
	return w, w.run()
}

// newWorld returns a world without hosts, workers and jobs.
func newWorld(plan Plan, d *randomStreams) *World {
	w := &World{
		plan: plan, draws: d, start: time.Unix(1_000_000, 0),
		jobs: map[string]*wire.JobSpec{}, tickets: map[string]ticket{}, cuts: map[[2]string]time.Time{}, hallCuts: map[string]time.Time{}, evacuations: map[string]*evacuation{},
		truths: map[string]*TaskBehavior{}, saved: map[string]time.Duration{}, results: map[string]*JobResult{}, gaveUp: map[string]bool{},
		crashTaskDelays: map[string]time.Duration{}, Noted: map[cell.NoteKind]int{},
	}
	w.now, w.impairedAt = w.start, w.start
	w.checker = newChecker(w)
	w.table = newTable(w)
	w.inventory = newInventoryService(w)
	return w
}

// seededWorld returns the empty world of a day that is generated from its seed. With keep, the draws are recorded.
func seededWorld(plan Plan, keep bool) *World {
	r := rand.New(rand.NewPCG(plan.Seed, 7))
	w := newWorld(plan, generatorDraws(r, keep))
	w.rand = r
	return w
}

// cellNames returns the names of the first cells, which are also the names of their halls.
func cellNames(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("hall-%d", i))
	}
	return names
}

// scheduleJob schedules the submission of a job.
func (w *World) scheduleJob(j ScriptJob) {
	spec, ok := proto.Clone(j.Spec.JobSpec).(*wire.JobSpec)
	if !ok {
		return
	}
	if w.script != nil {
		w.script.Jobs = append(w.script.Jobs, j)
	}
	if c := j.Crash; c != nil {
		task := taskName(spec.GetId(), 0, c.Step, c.Index)
		w.crashTaskDelays[crashTaskKey(task)] = c.After
		w.logf("%s crashes its worker after %s", task, c.After)
	}
	w.after(j.At, func() { w.submit(spec, 0) })
	if g := j.GiveUp; g != nil {
		w.after(j.At+g.After, func() { w.giveUp(spec, *g) })
	}
}

// scheduleCancel schedules the cancel of a job.
func (w *World) scheduleCancel(c Cancel) {
	if w.script != nil {
		w.script.Cancels = append(w.script.Cancels, c)
	}
	do := w.cancel
	if c.Surely {
		do = w.cancelUntilAccepted
	}
	w.after(c.At, func() { do(c.Job) })
}

// recordFleet records the hosts and workers of a day as it begins.
func (s *Script) recordFleet(w *World) {
	for _, h := range w.hosts {
		s.Hosts = append(s.Hosts, Node{h.name, h.hall})
	}
	for _, k := range w.workers {
		s.Workers = append(s.Workers, Node{k.name, k.Hall})
	}
}

// FirstBreaks returns the time at which each broken rule was broken first, by rule.
func (w *World) FirstBreaks() map[string]time.Duration { return w.checker.brokenAt }

// TapesRead returns the parts of a script's tapes that the day has read.
func (w *World) TapesRead() map[string][]uint64 {
	read := map[string][]uint64{}
	for stream, tape := range w.draws.tapes {
		if n := min(w.draws.read[stream], len(tape)); n > 0 {
			read[stream] = tape[:n]
		}
	}
	return read
}
