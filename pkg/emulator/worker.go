package emulator

import (
	"sort"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// worker is a machine of workers' lives, one after the other. Its clock may be
// 2% wrong; when its lease is over it ends all that runs.
type worker struct {
	world *World
	Machine
	name string
	life int
	up   bool

	rate   float64
	offset time.Duration
	bornAt time.Time
	// bornBefore is when the life before began, in Unix ms.
	bornBefore int64
	fence      int64
	until      time.Duration
	runs       map[string]*workerRun
	highest    map[string]int64 // per task, the highest run that ended there
	ended      []workers.End
	number     int64
	// endedAt is when the ends that are listed came, lapsed those after which the
	// lease ran out: they never count as taken note of.
	endedAt map[int64]time.Time
	lapsed  map[int64]bool
	serial  int

	// Its row is spoilt since and until then, in some way.
	oddSince, oddUntil time.Time
	spoil              func(a *workers.Account)

	// loud says that the last life ended as a process does: connections break, and new ones are
	// refused. broken are the calls that are out.
	loud   bool
	broken []func()

	// shrunk is the part of its room that is away, in quarters; rooms are the
	// rooms that it had before, each until some moment.
	shrunk int64
	rooms  []pastRoom

	// orderedBy is who gave the order that is being carried out, and when.
	orderedBy *seat
	orderedAt time.Time

	leave     leave
	lateUntil time.Time
	sickUntil time.Time
	sickHow   int
}

type workerRun struct {
	task       string
	number     int64
	spec       *wire.StepSpec
	checkpoint string
	stuck      bool
	fails      bool
	// need is the work until its end (for a lasting one until it is at work), done as
	// much of it as was done at settledAt, at the given speed since.
	need, done time.Duration
	settledAt  time.Time
	speed      float64
	pace       int
	timer      int
	truth      *TaskTruth
	reading    reading
}

const (
	workerCores  = 8000
	workerMemory = 32000
	maxHold      = 10 * time.Second
	stopTakes    = 300 * time.Millisecond
	// connectWait is how long a connection to a worker that is down may take to come about.
	connectWait = 500 * time.Millisecond
	// staleFor is how long rows of an earlier life come and go, every staleGap.
	staleFor = 12 * time.Second
	staleGap = 2 * time.Second
)

func newWorker(w *World, name string, m Machine) *worker {
	k := &worker{world: w, name: name, Machine: m}
	k.begin()
	if w.plan.Load != nil {
		w.after(w.draws.between("sample "+k.name, 0, sampleEvery), k.sample)
	}
	return k
}

func (k *worker) begin() {
	w := k.world
	if k.leave.leaves() {
		return
	}
	k.life++
	k.up, k.fence, k.until, k.number = true, 0, 0, 0
	k.broken = nil
	k.rate = 0.98 + 0.04*w.draws.fraction("clock "+k.name)
	k.offset = w.draws.between("clock "+k.name, 0, time.Hour)
	k.bornBefore, k.bornAt = k.bornAt.UnixMilli(), w.now
	k.runs, k.highest, k.ended = map[string]*workerRun{}, map[string]int64{}, nil
	k.endedAt, k.lapsed = map[int64]time.Time{}, map[int64]bool{}
}

// crash ends a life; another begins after a while.
func (k *worker) crash(span time.Duration) {
	if !k.up {
		return
	}
	k.world.logf("%s crashes", k.id())
	k.world.checker.crashed(k)
	k.endLife("lost")
	k.loud = false
	k.world.after(span, k.begin)
}

// endLife ends all that runs with the life.
func (k *worker) endLife(how workers.How) {
	k.up = false
	for _, r := range k.sorted() {
		k.world.checker.ended(k, r, how)
	}
	k.runs = map[string]*workerRun{}
}

// crashLoudly ends a life as a process does that crashes: callers notice at once.
func (k *worker) crashLoudly(span time.Duration) {
	k.crash(span)
	k.breakCalls()
}

// breakCalls has callers notice at once that the life is over.
func (k *worker) breakCalls() {
	k.loud = true
	broken := k.broken
	k.broken = nil
	for _, tell := range broken {
		k.world.after(k.world.draws.hop("break "+k.name), tell)
	}
}

// lapse ends everything when the lease is over.
func (k *worker) lapse() {
	if len(k.runs) == 0 || k.clock() <= k.until {
		return
	}
	for _, r := range k.sorted() {
		k.end(r, workers.EndedLapsed)
	}
}

func (k *worker) sorted() []*workerRun {
	list := make([]*workerRun, 0, len(k.runs))
	for _, r := range k.runs {
		list = append(list, r)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].task < list[b].task })
	return list
}

func (k *worker) extend(until time.Duration) {
	for _, e := range k.ended {
		k.lapsed[e.Number] = k.lapsed[e.Number] || k.clock() > k.until
	}
	k.until = max(k.until, min(until, k.clock()+maxHold))
	k.serial++
	serial, life := k.serial, k.life
	left := time.Duration(float64(k.until-k.clock())/k.rate) + time.Millisecond
	k.world.after(max(left, 0), func() {
		if k.up && k.life == life && k.serial == serial {
			k.lapse()
		}
	})
}

func (k *worker) look(l workers.Poll) (workers.Report, workers.Refusal) {
	if l.Fence < k.fence {
		return workers.Report{}, workers.RefusedFence
	}
	k.fence = l.Fence
	k.extend(l.Until)
	keep := k.ended[:0:0]
	for _, e := range k.ended {
		if e.Number > l.Recorded {
			keep = append(keep, e)
		} else {
			k.world.checker.noted(k, e)
		}
	}
	k.ended = keep
	report := workers.Report{Born: k.born(), Clock: k.clock(), Ended: append([]workers.End(nil), keep...)}
	for _, r := range k.sorted() {
		report.Active = append(report.Active, workers.Active{Task: r.task, Run: r.number, Checkpoint: k.saved(r), Percent: k.percent(r), Reading: r.reading.told})
	}
	return report, workers.NotRefused
}

func (k *worker) percent(r *workerRun) int {
	if r.stuck {
		return 0
	}
	percent := max(0, int(100*r.work(k.world.now)/max(r.need, 1)))
	if r.spec.GetLasting() {
		return min(100, percent)
	}
	return min(99, percent)
}

func (k *worker) saved(r *workerRun) string {
	if k.world.plan.Load != nil {
		return k.savedWork(r)
	}
	if k.percent(r) > 50 && !r.spec.GetLasting() {
		return "save of " + taskOf(r.task)
	}
	return r.checkpoint
}

// taskOf is what checkpoints belong to: any member's is good for its gang.
func taskOf(task string) string { return task[:strings.LastIndex(task, ".")] }

func (k *worker) start(s workers.Start) (time.Duration, workers.Refusal) {
	if s.Fence < k.fence {
		return k.clock(), workers.RefusedFence
	}
	k.fence = s.Fence
	if r := k.runs[s.Task]; r != nil && r.number == s.Run {
		return k.clock(), workers.NotRefused
	}
	if s.Until < k.clock() {
		return k.clock(), workers.RefusedLate
	}
	k.extend(s.Until)
	if r := k.runs[s.Task]; r != nil || k.highest[s.Task] >= s.Run {
		k.checkBeside(r, s)
		return k.clock(), workers.RefusedOld
	}
	spec, size := k.world.stepOf(s.Task)
	if spec == nil {
		k.world.checker.unasked(k, s)
		return k.clock(), workers.RefusedMalformed
	}
	w := k.world
	if !w.plan.Unguarded && !size.Fits(k.free()) {
		return k.clock(), workers.RefusedRoom
	}
	r := &workerRun{task: s.Task, number: s.Run, spec: spec, settledAt: w.now, checkpoint: s.Checkpoint, pace: 100, speed: 1}
	k.drawRun(r)
	if w.now.Before(k.sickUntil) {
		r.stuck, r.fails = k.sickHow == sickHangs, k.sickHow == sickFails
	} else if w.plan.Load == nil {
		r.fails = w.draws.oneIn("fails "+s.Task, 40)
	}
	k.runs[s.Task] = r
	w.checker.started(k, s)
	w.checker.checkRoom(k, s.Task)
	if !r.stuck {
		k.endAfter(r)
	}
	k.crashAfter(r)
	k.settle()
	return k.clock(), workers.NotRefused
}

// checkBeside looks at an order to start a task that has a run here. A worker turns away what isn't
// above a run that was stopped or has ended there, and begins a higher one beside one that still runs,
// also while that is being stopped.
func (k *worker) checkBeside(r *workerRun, s workers.Start) {
	if r == nil || s.Run <= r.number || s.Run <= k.highest[s.Task] || r.spec.GetCopies() {
		return
	}
	k.world.checker.breakRule("TWICE", "%s run %d is told to start at %s beside run %d", s.Task, s.Run, k.id(), r.number)
}

// endAfter brings a run's end about, at the speed that it has now.
func (k *worker) endAfter(r *workerRun) {
	r.timer++
	if r.speed <= 0 || (r.spec.GetLasting() && !r.fails) {
		return
	}
	life, timer := k.life, r.timer
	k.world.after(time.Duration(float64(r.need-r.done)/r.speed), func() {
		if k.up && k.life == life && k.runs[r.task] == r && r.timer == timer {
			k.lapse()
			k.finish(r)
		}
	})
}

func (k *worker) finish(r *workerRun) {
	if k.runs[r.task] != r {
		return // its lease was over
	}
	if r.fails {
		k.end(r, workers.EndedFailed)
		return
	}
	k.end(r, workers.EndedDone)
}

func (k *worker) free() ledger.Size {
	return k.freeOf(k.room())
}

// freeOf is what is left of a room.
func (k *worker) freeOf(free ledger.Size) ledger.Size {
	for _, r := range k.runs {
		_, size := k.world.stepOf(r.task)
		free = free.Minus(size)
	}
	return free
}

func (k *worker) end(r *workerRun, how workers.How) {
	k.keepWork(r)
	saved := k.saved(r)
	delete(k.runs, r.task)
	k.highest[r.task] = max(k.highest[r.task], r.number)
	k.number++
	k.ended = append(k.ended, workers.End{Number: k.number, Task: r.task, Run: r.number, How: how, Checkpoint: saved})
	k.endedAt[k.number] = k.world.now
	k.world.checker.ended(k, r, how)
	k.settle()
}

func (k *worker) stop(s workers.Stop) (time.Duration, workers.Refusal) {
	if s.Fence < k.fence {
		return k.clock(), workers.RefusedFence
	}
	k.fence = s.Fence
	r := k.runs[s.Task]
	if r == nil || r.number != s.Run {
		return k.clock(), workers.RefusedMissing
	}
	life := k.life
	k.world.after(stopTakes, func() {
		if k.up && k.life == life && k.runs[s.Task] == r {
			k.end(r, workers.EndedStopped)
		}
	})
	return k.clock(), workers.NotRefused
}

// stepOf is a task's step, nil if nobody sent it, and what the task takes: fillers get
// what others leave.
func (w *World) stepOf(task string) (*wire.StepSpec, ledger.Size) {
	id, ok := jobs.ParseTask(task)
	if !ok || w.jobs[id.Job] == nil || id.Step >= len(w.jobs[id.Job].GetSteps()) {
		return nil, ledger.Size{}
	}
	step := w.jobs[id.Job].GetSteps()[id.Step]
	size := ledger.Size{Millicores: step.GetMillicores(), MemoryMB: step.GetMemoryMb()}
	if step.GetFiller() {
		size.Millicores = 0
	}
	return step, size
}
