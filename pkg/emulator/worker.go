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
	incarnation int
	up   bool

	rate   float64
	offset time.Duration
	bornAt time.Time
	// previousBornAt is when the life before began, in Unix ms.
	previousBornAt int64
	fence      int64
	until      time.Duration
	runs       map[string]*workerRun
	lastRun    map[string]int64 // per task, the highest run that ended there
	ended      []workers.End
	lastEndNumber     int64
	// endedAt is when the ends that are listed came, lapsed those after which the
	// lease ran out: they never count as taken note of.
	endedAt map[int64]time.Time
	endedAfterLease  map[int64]bool
	leaseSerial  int

	// Its row is spoilt since and until then, in some way.
	oddSince, oddUntil time.Time
	spoil              func(a *workers.Account)

	// refusesConnections says that the last life ended as a process does: connections break, and new ones are
	// refused. broken are the calls that are out.
	refusesConnections   bool
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
	// totalWork is the work until its end (for a lasting one until it is at work), done as
	// much of it as was done at settledAt, at the given speed since.
	totalWork, workDone time.Duration
	workedUntil  time.Time
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
	stopTime    = 300 * time.Millisecond
	// connectWindow is how long a connection to a worker that is down may take to come about.
	connectWindow = 500 * time.Millisecond
	// staleRowSpan is how long rows of an earlier life come and go, every staleGap.
	staleRowSpan = 12 * time.Second
	staleRowInterval = 2 * time.Second
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
	k.incarnation++
	k.up, k.fence, k.until, k.lastEndNumber = true, 0, 0, 0
	k.broken = nil
	k.rate = 0.98 + 0.04*w.draws.fraction("clock "+k.name)
	k.offset = w.draws.between("clock "+k.name, 0, time.Hour)
	k.previousBornAt, k.bornAt = k.bornAt.UnixMilli(), w.now
	k.runs, k.lastRun, k.ended = map[string]*workerRun{}, map[string]int64{}, nil
	k.endedAt, k.endedAfterLease = map[int64]time.Time{}, map[int64]bool{}
}

// crash ends a life; another begins after a while.
func (k *worker) crash(span time.Duration) {
	if !k.up {
		return
	}
	k.world.logf("%s crashes", k.id())
	k.world.checker.crashed(k)
	k.endLife("lost")
	k.refusesConnections = false
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
	k.refusesConnections = true
	broken := k.broken
	k.broken = nil
	for _, tell := range broken {
		k.world.after(k.world.draws.hop("break "+k.name), tell)
	}
}

// expireLease ends everything when the lease is over.
func (k *worker) expireLease() {
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
		k.endedAfterLease[e.Number] = k.endedAfterLease[e.Number] || k.clock() > k.until
	}
	k.until = max(k.until, min(until, k.clock()+maxHold))
	k.leaseSerial++
	serial, incarnation := k.leaseSerial, k.incarnation
	left := time.Duration(float64(k.until-k.clock())/k.rate) + time.Millisecond
	k.world.after(max(left, 0), func() {
		if k.up && k.incarnation == incarnation && k.leaseSerial == serial {
			k.expireLease()
		}
	})
}

func (k *worker) poll(l workers.Poll) (workers.Report, workers.Refusal) {
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
			k.world.checker.acknowledged(k, e)
		}
	}
	k.ended = keep
	report := workers.Report{Born: k.born(), Clock: k.clock(), Ended: append([]workers.End(nil), keep...)}
	for _, r := range k.sorted() {
		report.Active = append(report.Active, workers.Active{Task: r.task, Run: r.number, Checkpoint: k.checkpointOf(r), Percent: k.percent(r), Reading: r.reading.listed})
	}
	return report, workers.NotRefused
}

func (k *worker) percent(r *workerRun) int {
	if r.stuck {
		return 0
	}
	percent := max(0, int(100*r.work(k.world.now)/max(r.totalWork, 1)))
	if r.spec.GetLasting() {
		return min(100, percent)
	}
	return min(99, percent)
}

func (k *worker) checkpointOf(r *workerRun) string {
	if k.world.plan.Load != nil {
		return k.checkpointOfLoad(r)
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
	if r := k.runs[s.Task]; r != nil || k.lastRun[s.Task] >= s.Run {
		k.checkConcurrentStart(r, s)
		return k.clock(), workers.RefusedOld
	}
	spec, size := k.world.stepOf(s.Task)
	if spec == nil {
		k.world.checker.startOfUnknownTask(k, s)
		return k.clock(), workers.RefusedMalformed
	}
	w := k.world
	if !w.plan.Unguarded && !size.Fits(k.free()) {
		return k.clock(), workers.RefusedRoom
	}
	r := &workerRun{task: s.Task, number: s.Run, spec: spec, workedUntil: w.now, checkpoint: s.Checkpoint, pace: 100, speed: 1}
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
	k.updateSpeeds()
	return k.clock(), workers.NotRefused
}

// checkConcurrentStart looks at an order to start a task that has a run here. A worker turns away what isn't
// above a run that was stopped or has ended there, and begins a higher one beside one that still runs,
// also while that is being stopped.
func (k *worker) checkConcurrentStart(r *workerRun, s workers.Start) {
	if r == nil || s.Run <= r.number || s.Run <= k.lastRun[s.Task] || r.spec.GetCopies() {
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
	incarnation, timer := k.incarnation, r.timer
	k.world.after(time.Duration(float64(r.totalWork-r.workDone)/r.speed), func() {
		if k.up && k.incarnation == incarnation && k.runs[r.task] == r && r.timer == timer {
			k.expireLease()
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
	return k.freeIn(k.room())
}

// freeIn is what is left of a room.
func (k *worker) freeIn(free ledger.Size) ledger.Size {
	for _, r := range k.runs {
		_, size := k.world.stepOf(r.task)
		free = free.Minus(size)
	}
	return free
}

func (k *worker) end(r *workerRun, how workers.How) {
	k.saveWork(r)
	saved := k.checkpointOf(r)
	delete(k.runs, r.task)
	k.lastRun[r.task] = max(k.lastRun[r.task], r.number)
	k.lastEndNumber++
	k.ended = append(k.ended, workers.End{Number: k.lastEndNumber, Task: r.task, Run: r.number, How: how, Checkpoint: saved})
	k.endedAt[k.lastEndNumber] = k.world.now
	k.world.checker.ended(k, r, how)
	k.updateSpeeds()
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
	incarnation := k.incarnation
	k.world.after(stopTime, func() {
		if k.up && k.incarnation == incarnation && k.runs[s.Task] == r {
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
