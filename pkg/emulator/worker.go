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

// worker is the succession of incarnations of one emulated worker. Its clock runs up to 2% fast or slow. It
// ends all runs when its lease expires.
type worker struct {
	world *World
	Machine
	name        string
	label       string
	incarnation int
	up          bool

	rate   float64
	offset time.Duration
	bornAt time.Time
	// previousBornAt is when the previous incarnation started, in Unix ms.
	previousBornAt int64
	fence          int64
	until          time.Duration
	runs           map[string]*workerRun
	lastRun        map[string]int64 // highest ended run of each task
	ended          []workers.End
	lastEndNumber  int64
	// endedAt holds the time of each listed end by its number. endedAfterLease marks ends whose lease had
	// expired before a poll came: the checker never counts these as acknowledged.
	endedAt         map[int64]time.Time
	endedAfterLease map[int64]bool
	leaseSerial     int

	// The registry row of the worker is altered by spoil from spoiledSince to spoiledUntil.
	spoiledSince, spoiledUntil time.Time
	spoil                      func(a *workers.RegistryRow)

	// refusesConnections says that the last incarnation crashed as a process, not as a host: connections break
	// at once, and new ones are refused. pendingCalls holds callbacks that fail the calls made to this incarnation.
	refusesConnections bool
	pendingCalls       []func()

	// removedQuarters is how many quarters of the capacity are taken away; pastCapacities holds former capacities with the time
	// at which each ended.
	removedQuarters int64
	pastCapacities  []pastCapacity

	// orderedBy is the seat that sent the order being executed, orderedAt when it was sent.
	orderedBy *seat
	orderedAt time.Time

	leave       departure
	listing     listing
	lateUntil   time.Time
	lateness    lateness
	faultyUntil time.Time
	faultyMode  int
}

// workerRun is a run of a task at a worker.
type workerRun struct {
	task       string
	number     int64
	spec       *wire.StepSpec
	checkpoint string
	stuck      bool // makes no progress and never ends
	fails      bool // ends as failed
	// totalWork is the work of the run (for a lasting task, until it serves). workDone of it was done at
	// workedUntil, and the rest goes on from there at speed, which is 1 at full speed.
	totalWork, workDone time.Duration
	workedUntil         time.Time
	speed               float64
	pace                int // throttled speed in percent
	timer               int // counts the scheduled ends, so that only the last one counts
	truth               *TaskBehavior
	reading             reading
}

const (
	workerCores  = 8000  // millicores
	workerMemory = 32000 // MB
	// maxHold is the longest lease that a worker accepts.
	maxHold = 10 * time.Second
	// stopTime is how long a run takes to end after a stop order.
	stopTime = 300 * time.Millisecond
	// connectWindow is how long a connection attempt to a worker that is down goes on; the next incarnation may
	// accept it.
	connectWindow = 500 * time.Millisecond
	// staleRowSpan is how long after a restart the row of the previous incarnation may appear in the registry;
	// it appears and disappears every staleRowInterval.
	staleRowSpan     = 12 * time.Second
	staleRowInterval = 2 * time.Second
)

func newWorker(w *World, name string, m Machine) *worker {
	k := &worker{world: w, name: name, label: w.labelFor(m.Hall), Machine: m}
	k.startIncarnation()
	if w.plan.Load != nil {
		w.after(w.draws.between("sample "+k.name, 0, sampleEvery), k.sample)
	}
	return k
}

// startIncarnation starts the next incarnation with a new clock and no runs, unless the worker leaves.
func (k *worker) startIncarnation() {
	w := k.world
	if k.leave.isLeaving() {
		return
	}
	k.incarnation++
	k.up, k.fence, k.until, k.lastEndNumber = true, 0, 0, 0
	k.pendingCalls = nil
	k.startListing()
	k.rate = 0.98 + 0.04*w.draws.fraction("clock "+k.name)
	k.offset = w.draws.between("clock "+k.name, 0, time.Hour)
	k.previousBornAt, k.bornAt = k.bornAt.UnixMilli(), w.now
	k.runs, k.lastRun, k.ended = map[string]*workerRun{}, map[string]int64{}, nil
	k.endedAt, k.endedAfterLease = map[int64]time.Time{}, map[int64]bool{}
}

// crash ends the incarnation silently and starts the next after a delay.
func (k *worker) crash(span time.Duration) {
	if !k.up {
		return
	}
	k.world.logf("%s crashes", k.id())
	k.world.checker.countTaskCrashes(k)
	if k.world.afterCrash != nil {
		k.world.afterCrash(k)
	}
	k.endIncarnation("lost")
	k.refusesConnections = false
	k.world.after(span, k.startIncarnation)
}

// endIncarnation ends the incarnation and, with it, all its runs.
func (k *worker) endIncarnation(how workers.Outcome) {
	k.up = false
	k.endListing()
	for _, r := range k.sorted() {
		k.world.checker.ended(k, r, how)
	}
	k.runs = map[string]*workerRun{}
}

// crashWithReset ends the incarnation as a crashed process does: open connections break at once.
func (k *worker) crashWithReset(span time.Duration) {
	k.crash(span)
	k.failPendingCalls()
}

// crashByFault ends the incarnation as a fault does: its connections break only if Plan.Resets says so.
func (k *worker) crashByFault(span time.Duration) {
	if k.world.plan.Resets && k.up {
		k.crashWithReset(span)
		return
	}
	k.crash(span)
}

// failPendingCalls fails all calls without an answer at once, and refuses new connections.
func (k *worker) failPendingCalls() {
	k.refusesConnections = true
	broken := k.pendingCalls
	k.pendingCalls = nil
	for _, tell := range broken {
		k.world.after(k.world.draws.messageDelay("break "+k.name), tell)
	}
}

// expireLease ends all runs if the lease has expired.
func (k *worker) expireLease() {
	if len(k.runs) == 0 || k.clock() <= k.until {
		return
	}
	for _, r := range k.sorted() {
		k.end(r, workers.EndedLapsed)
	}
}

// sorted returns the runs by task name, so that a day does not depend on the order of a map.
func (k *worker) sorted() []*workerRun {
	list := make([]*workerRun, 0, len(k.runs))
	for _, r := range k.runs {
		list = append(list, r)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].task < list[b].task })
	return list
}

// extend extends the lease to a time of the worker's clock, at most maxHold ahead, and schedules its expiry.
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

// poll answers a leader's poll: it extends the lease, drops the ends that the leader has recorded, and lists
// the runs and the other ends. An older fence is refused.
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
	if most := k.world.plan.MostEnds; most > 0 && len(keep) >= most {
		report.Ended, report.MoreEnds = report.Ended[:most], true
	}
	for _, r := range k.sorted() {
		report.Active = append(report.Active, workers.Active{Task: r.task, Run: r.number, Checkpoint: k.checkpointOf(r), Percent: k.percent(r), Reading: r.reading.listed})
	}
	return report, workers.NotRefused
}

// percent returns the reported progress of a run, below 100 until it ends unless the task is lasting.
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

// checkpointOf returns the checkpoint that the worker reports of a run, "" if there is none.
func (k *worker) checkpointOf(r *workerRun) string {
	if k.world.plan.Load != nil {
		return k.checkpointOfLoad(r)
	}
	if k.percent(r) > 50 && !r.spec.GetLasting() {
		return "save of " + taskOf(r.task)
	}
	return r.checkpoint
}

// taskOf returns a task's name without its index, which is the key of checkpoints: all members of a gang share
// theirs.
func taskOf(task string) string { return task[:strings.LastIndex(task, ".")] }

// start executes a start order and checks it against the rules. It returns the worker's clock and, if the order
// is refused, the reason.
func (k *worker) start(s workers.Start) (time.Duration, workers.Refusal) {
	if s.Fence < k.fence {
		return k.clock(), workers.RefusedFence
	}
	k.fence = s.Fence
	if r := k.runs[s.Task]; r != nil && r.number == s.Run {
		return k.clock(), workers.NotRefused
	}
	if s.Until < k.clock() {
		return k.clock(), workers.RefusedExpired
	}
	k.extend(s.Until)
	if r := k.runs[s.Task]; r != nil || k.lastRun[s.Task] >= s.Run {
		k.checkConcurrentStart(r, s)
		return k.clock(), workers.RefusedSuperseded
	}
	spec, size := k.world.stepOf(s.Task)
	if spec == nil {
		k.world.checker.startOfUnknownTask(k, s)
		return k.clock(), workers.RefusedMalformed
	}
	if !k.allowsStart(s) {
		return k.clock(), workers.RefusedTicket
	}
	w := k.world
	if !w.plan.Unguarded && !size.Fits(k.free()) {
		return k.clock(), workers.RefusedNoCapacity
	}
	r := &workerRun{task: s.Task, number: s.Run, spec: spec, workedUntil: w.now, checkpoint: s.Checkpoint, pace: 100, speed: 1}
	k.drawRun(r)
	if w.now.Before(k.faultyUntil) {
		r.stuck, r.fails = k.faultyMode == runsHang, k.faultyMode == runsFail
	} else if w.plan.Load == nil {
		r.fails = w.draws.oneIn("fails "+s.Task, 40)
	}
	k.runs[s.Task] = r
	w.checker.started(k, s)
	w.checker.checkCapacity(k, s.Task)
	if !r.stuck {
		k.endAfter(r)
	}
	k.scheduleTaskCrash(r)
	k.updateSpeeds()
	return k.clock(), workers.NotRefused
}

// checkConcurrentStart breaks the rule TWICE if a start order would run a second, higher run beside one that
// still runs or is being stopped here. A worker refuses a run number that is not above the runs of the task
// that it knows.
func (k *worker) checkConcurrentStart(r *workerRun, s workers.Start) {
	if r == nil || s.Run <= r.number || s.Run <= k.lastRun[s.Task] || r.spec.GetCopies() {
		return
	}
	k.world.checker.breakRule("TWICE", "%s run %d is ordered to start at %s beside run %d", s.Task, s.Run, k.id(), r.number)
}

// endAfter schedules the end of a run at its present speed.
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

// finish ends a run that has done its work, as done or failed.
func (k *worker) finish(r *workerRun) {
	if k.runs[r.task] != r {
		return // its lease has expired
	}
	if r.fails {
		k.end(r, workers.EndedFailed)
		return
	}
	k.end(r, workers.EndedDone)
}

// free returns the part of the worker's capacity that no run reserves.
func (k *worker) free() ledger.Size {
	return k.freeIn(k.capacity())
}

// freeIn returns what the current runs leave of a capacity; negative if they exceed it.
func (k *worker) freeIn(free ledger.Size) ledger.Size {
	for _, r := range k.runs {
		_, size := k.world.stepOf(r.task)
		free = free.Minus(size)
	}
	return free
}

// end ends a run and lists the end until a leader has recorded it.
func (k *worker) end(r *workerRun, how workers.Outcome) {
	k.saveWork(r)
	saved := k.checkpointOf(r)
	delete(k.runs, r.task)
	k.lastRun[r.task] = max(k.lastRun[r.task], r.number)
	k.lastEndNumber++
	k.ended = append(k.ended, workers.End{Number: k.lastEndNumber, Task: r.task, Run: r.number, Outcome: how, Checkpoint: saved})
	k.endedAt[k.lastEndNumber] = k.world.now
	k.world.checker.ended(k, r, how)
	if k.world.afterEnd != nil {
		k.world.afterEnd(r.task)
	}
	k.updateSpeeds()
}

// stop executes a stop order; the run ends stopTime later.
func (k *worker) stop(s workers.Stop) (time.Duration, workers.Refusal) {
	if s.Fence < k.fence {
		return k.clock(), workers.RefusedFence
	}
	k.fence = s.Fence
	r := k.runs[s.Task]
	if r == nil || r.number != s.Run {
		return k.clock(), workers.RefusedNoSuchRun
	}
	incarnation := k.incarnation
	k.world.after(stopTime, func() {
		if k.up && k.incarnation == incarnation && k.runs[s.Task] == r {
			k.end(r, workers.EndedStopped)
		}
	})
	return k.clock(), workers.NotRefused
}

// stepOf returns a task's step, nil if no such job was submitted, and what the task reserves. Fillers reserve
// no processor time: they use what others leave.
func (w *World) stepOf(task string) (*wire.StepSpec, ledger.Size) {
	id, ok := jobs.ParseTaskName(task)
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
