// Package cell schedules the tasks of one cell on its workers. It decides which
// tasks start on which worker and which runs are stopped, and it keeps what the
// cell's leader knows of jobs, runs and workers.
//
// A State belongs to one goroutine. It applies events and returns effects. It makes
// no calls and reads no clock, so a test can reproduce each failure by events
// alone. Data flows one way:
//
//	event -> load.go, settle.go (takeover), look.go, lives.go and lists.go (reports of workers), orders.go (replies to orders)
//	      -> ends.go (the effect of a run's end on its job)
//	      -> crashes.go (evidence against the tasks of a worker that crashed)
//	      -> lost.go (runs and workers that are presumed over), leaving.go, lend.go (tasks for other cells)
//	      -> place.go, trials.go, fillers.go, harm.go, advice.go (which tasks start, and where)
//	      -> pace.go (the share at which fillers work)
//	      -> record.go (progress that the table must hold) and effects
//
// Starts are not recorded in the table: workers list their runs. The leader
// acknowledges an end to its worker after the end is recorded. See
// docs/design/platform.md.
package cell

import (
	"slices"
	"sort"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/flow"
	"github.com/wrenferry/wrenferry/pkg/process/interference"
	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/runtimes"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// phase is how far a process's leadership of the cell has come.
type phase int

const (
	// following: another process leads the cell, or none.
	following phase = iota
	// loading: this process leads the cell and reads its jobs from the table.
	loading
	// leading: this process schedules the cell.
	leading
	// releasing: this process hands the cell over and starts nothing more.
	releasing
)

// Bounds are the limits that the deployment's settings set.
type Bounds struct {
	// MaxLease is the longest time that a worker may keep its runs without a renewal.
	MaxLease time.Duration
	// Retention is how long callers can read the state of an ended job.
	Retention time.Duration
}

// Unsafe switches single safety mechanisms off, so that a test can show what each of them prevents.
type Unsafe struct {
	// NoSettling starts tasks at once after a takeover, though an earlier leader may have started them.
	NoSettling bool
	// NoRecorded acknowledges ends to workers before they are recorded.
	NoRecorded bool
	// NoLeaseWait presumes the runs of a silent worker lost before the worker's lease has ended.
	NoLeaseWait bool
	// NoConfirmation presumes runs lost though another process may lead the cell by now.
	NoConfirmation bool
	// NoBlame records no crash evidence against the tasks that ran on workers that crashed.
	NoBlame bool
	// NoStrayRoom starts tasks beside orphaned runs, whose size is not known.
	NoStrayRoom bool
	// NoUnseen records no crash evidence for unobserved ends: incarnations that ended while no leader observed their runs.
	NoUnseen bool
	// NoStrays stops orphaned runs at once, before their jobs can become known.
	NoStrays bool
	// NoTrialRecord starts an isolated run before the table records that there may be one.
	NoTrialRecord bool
}

// State holds what a process knows of one cell, and takes the cell's decisions while the process leads it.
type State struct {
	name   string
	bounds Bounds
	unsafe Unsafe
	// without are the mechanisms that are switched off.
	without Mechanism
	// peers are the deployment's other cells, sorted.
	peers []string

	epoch    int64
	phase    phase
	manifest *manifest.Manifest
	// wall is the time of day of the current Decide.
	wall time.Time

	jobs    map[string]*jobs.Job
	workers map[string]*workers.Worker
	// sortedWorkers lists the workers by id. It is rebuilt when reorder is set.
	sortedWorkers []*workers.Worker
	reorder       bool
	// roster holds the ids that the recorded membership row names: only these workers get work.
	roster map[string]bool
	// over holds, by worker id, the incarnations (their Born) that have ended because a later one answered on
	// their host. There are few of them: one for each restart that this process has observed.
	over map[string]int64
	// followedAt is the time up to which the cell's table has been followed: all jobs recorded before it are known.
	followedAt time.Time
	// falls are the times at which workers fell silent, as far back as fellKept.
	falls []fall
	// hostCrashes are the crashes by host, as far back as hostKept.
	hostCrashes map[string][]hostCrash
	// silent are runs whose worker fell silent: whether the worker crashed is not known yet.
	silent []silentRun
	// accused are the implicated tasks: those with crash evidence, in the order in which they got the first of it.
	accused []*jobs.Task
	// closed are the workers that no other task may join, because an isolated run is there or is about to start.
	// trialsOut is the number of isolated runs. Both are as of the last placement. kept are the workers reserved for
	// the isolated run of a task; a reservation lasts over several placements.
	closed    map[*workers.Worker]bool
	kept      map[*jobs.Task]keptWorker
	trialsOut int
	// died are runs whose worker has restarted. They are presumed lost once leadership is confirmed for a later time.
	died []diedRun
	// pendingCancels are cancels of jobs that are not known yet, with the time at which each was received.
	pendingCancels map[string]time.Time
	// waiting are the units that have tasks to start.
	waiting map[*jobs.Unit]struct{}
	// parts write progress, each to one part of the table.
	parts map[string]*part
	// seq is the number of the last change to any job's progress.
	seq int64
	// runs is how many run numbers this epoch has used.
	runs int64
	// advices holds the tickets of the advising service by unit. adviceOut is the unit whose advice request has no
	// answer yet.
	advices   map[string]*advice
	adviceOut string
	// others are the loads that the leaders of other cells reported, by cell.
	others map[string]otherLoad
	// lent are specifications of delegated tasks for other cells that are not recorded yet.
	lent map[*jobs.Job][]*wire.JobSpec

	// unsettled are the members that have not answered this leader. Until settled is set, tasks that no worker lists
	// wait for them. settleBy is when the last lease that earlier leaders may have granted ends, which ends the wait.
	unsettled map[string]bool
	settled   bool
	settleBy  time.Time
	// othersSettled is set once only tasks that the membership names may still run at members that have not answered.
	othersSettled bool
	// mayRunUnheard holds the names of those tasks.
	mayRunUnheard map[string]bool
	// earlier are the entries of retained members, by worker: incarnations that earlier leaders could use, and
	// incarnations that have ended. The membership names them until the crash evidence from their ends is recorded,
	// which it is with change number weighedSeq. unseen are those that ended before this leader received their lists.
	earlier    map[string]*wire.RosterEntry
	unseen     []string
	weighedSeq int64
	// unheard are the unreached members: those that had not answered when the cell settled, and that have neither
	// answered nor ended since, as far as is known.
	unheard map[string]unheardMember
	// unseenHeld are the tasks to whose crash evidence this leader has added an unobserved end.
	unseenHeld map[*jobs.Task]bool
	// predecessors are the leaders that may still act, by the names of their incarnations, each with the time at which
	// the last lease that it may grant ends. otherLeasesUntil is that time for all other earlier leaders.
	predecessors     map[string]time.Time
	otherLeasesUntil time.Time
	// reportedLeases holds, by worker, when the leases end that predecessors reported at their own end. ownLeases holds
	// the same for leases that this process granted in earlier leaderships.
	reportedLeases, ownLeases map[string]time.Time
	// unknownLeasesUntil is the time until which leases may last at workers that an earlier leadership of this process
	// never learned of.
	unknownLeasesUntil time.Time

	// press holds the learned interference of fillers with serving tasks. It is kept when a leadership ends, since it
	// depends on images only. pressToldAt is when the log last reported it.
	press       *interference.Press
	pressToldAt time.Time
	// orders limits the bytes of start orders in flight. It is kept when a leadership ends, since it depends on this
	// host's link only.
	orders *flow.Window
	// heldNotedAt is when the log last reported that start orders are held back.
	heldNotedAt time.Time
	// runtimes estimates how long tasks run. It is kept when a leadership ends, too.
	runtimes *runtimes.Estimates
	// neighbours caches the tasks that a filler would run beside, by worker, and harms the cost of a filler at a
	// worker. Both are valid for one placement.
	neighbours map[*workers.Worker]neighbours
	harms      map[place]float64
	// fillerRooms and fillerFrees are the sums of capacity for fillers that Load reports, by image, as of roomsAt.
	fillerRooms, fillerFrees map[string]int64
	roomsAt                  time.Time
	// waitsNotedAt is when the log last gave the reasons why lasting tasks wait.
	waitsNotedAt time.Time
	// roomy is set if much of the cell's capacity is free, as of the last placement.
	roomy bool
	// held are the workers whose capacity is reserved for lasting tasks, as of the last placement.
	held map[*workers.Worker]bool
	// confirmedAt is the last time at which this process surely led the cell. A run that is presumed over without a
	// report from its worker must have ended before that time: otherwise a later leader may have renewed the worker's
	// lease or acknowledged the run's end.
	confirmedAt time.Time
	// tenureUntil is when the tenure ends, and with it the leadership unless it is renewed. The zero time sets no limit.
	tenureUntil time.Time

	// placeNow makes the next Decide place tasks, scanNow makes it run the scans of runScans.
	placeNow bool
	scanNow  bool
	// outbox are the effects that the next Decide returns.
	outbox []Effect
}

// Option configures a State.
type Option func(*State)

// WithUnsafe switches safety mechanisms off, for tests.
func WithUnsafe(u Unsafe) Option { return func(s *State) { s.unsafe = u } }

// WithPeers names the deployment's cells. A cancel is written to the table for each of them, so the State must know
// them to remove those rows.
func WithPeers(cells []string) Option {
	return func(s *State) {
		s.peers = slices.Sorted(slices.Values(cells))
		s.peers = slices.DeleteFunc(s.peers, func(name string) bool { return name == s.name })
	}
}

// New returns the State of a process that does not lead the cell.
func New(name string, bounds Bounds, options ...Option) *State {
	s := &State{
		name: name, bounds: bounds, workers: map[string]*workers.Worker{}, press: interference.NewPress(), orders: flow.NewWindow(), runtimes: runtimes.New(), others: map[string]otherLoad{},
		neighbours: map[*workers.Worker]neighbours{}, harms: map[place]float64{}, held: map[*workers.Worker]bool{}, over: map[string]int64{},
	}
	s.resetLeadership()
	for _, o := range options {
		o(s)
	}
	return s
}

// resetLeadership drops everything that belongs to one leadership.
func (s *State) resetLeadership() {
	s.jobs = map[string]*jobs.Job{}
	s.pendingCancels = map[string]time.Time{}
	s.waiting = map[*jobs.Unit]struct{}{}
	s.roster = map[string]bool{}
	s.parts = map[string]*part{}
	s.lent = map[*jobs.Job][]*wire.JobSpec{}
	s.advices = map[string]*advice{}
	s.adviceOut = ""
	s.unsettled = map[string]bool{}
	s.earlier, s.unseen, s.unheard = map[string]*wire.RosterEntry{}, nil, map[string]unheardMember{}
	s.unseenHeld = map[*jobs.Task]bool{}
	s.settled, s.othersSettled, s.mayRunUnheard = false, false, nil
	s.died, s.falls, s.silent, s.followedAt = nil, nil, nil, time.Time{}
	s.hostCrashes = map[string][]hostCrash{}
	s.accused = nil
	s.closed, s.kept = map[*workers.Worker]bool{}, map[*jobs.Task]keptWorker{}
	s.phase = following
	s.workers = map[string]*workers.Worker{}
	s.reorder = true
}

// Take applies one event. Callers apply a batch of events and then call Decide once: a Decide after each event would
// cost as much again and gain nothing.
func (s *State) Take(now time.Time, e Event) {
	switch e := e.(type) {
	case Tick:
		s.scanNow = true
		s.placeNow = s.placeNow || len(s.waiting) > 0
	case ManifestChanged:
		s.manifest = e.Manifest
		s.placeNow = true
	case BoundsChanged:
		s.bounds = e.Bounds
	case WorkersListed:
		s.takeListed(now, e)
	case Led:
		s.takeLed(now, e)
	case Deposed:
		s.rememberLeases(now)
		s.stepDown(e.Why)
	case Confirmed:
		s.confirmedAt, s.tenureUntil = e.At, e.Until
	case PredecessorOver:
		s.takePredecessorOver(now, e)
	case RosterRecorded:
		s.takeRoster(e)
	case Loaded:
		s.takeLoaded(now, e)
	case Accepted:
		s.takeAccepted(now, e)
	case Followed:
		s.takeFollowed(e)
	case CancelAsked:
		s.takeCancel(now, e)
	case Returned:
		s.takeReturned(now, e.Tasks)
	case Looked:
		s.takeLooked(now, e)
	case Started:
		s.takeStarted(now, e)
	case StopAnswered:
		s.takeStopAnswered(now, e)
	case PaceAnswered:
		s.takePaceAnswered(now, e)
	case RecordAnswered:
		s.takeRecorded(now, e)
	case Release:
		s.takeRelease(now)
	case ClearSuspicion:
		s.takeClearSuspicion(now, e)
	case Advised:
		s.takeAdvised(now, e)
	case OtherLoad:
		s.others[e.Load.GetCell()] = otherLoad{load: e.Load, at: now}
		if s.has(SharedBeliefs) && len(e.Load.GetBeliefs()) > 0 && (e.Load.GetCell() != s.name || s.phase == following) {
			s.press.Hear(e.Load.GetCell(), beliefsOf(e.Load))
		}
	}
}

// Decide takes all decisions that are due and returns the effects to carry out. wall is the time of day. Of the
// decisions, only those about the times of repeating jobs depend on it.
func (s *State) Decide(now, wall time.Time) []Effect {
	s.wall = wall
	if s.tenureExpired(now) {
		return s.effectsPastTenure()
	}
	if s.phase == leading || s.phase == releasing {
		s.runScans(now)
		if s.phase == leading {
			s.place(now)
		}
		s.record(now)
	}
	if s.phase != following {
		s.look(now)
	}
	out := s.outbox
	s.outbox = nil
	return out
}

// runScans takes the decisions that examine every run. They are due after a tick, after an answer that changes
// whether a worker or its incarnation counts as alive, and after a job's end, but not after every answer.
func (s *State) runScans(now time.Time) {
	if !s.scanNow {
		return
	}
	s.scanNow = false
	s.checkRuns(now)
	s.buryGone(now)
	s.buryDied(now)
	s.clearSuspects()
	s.forgetSilent(now)
	s.settle(now)
	s.forgetEarlier()
	s.dropEmptyMembers(now)
	s.noteKnownRuns(now)
	if s.phase == leading {
		s.openDueTimes(now)
		s.leave(now)
		s.lend(now)
		s.pace(now)
		s.noteLastingWaits(now)
	}
	s.stopUnwanted(now)
	s.dropExpiredJobs(now)
}

// sorted lists the workers by id. A map has no fixed order, so the same events would lead to other decisions each time.
func (s *State) sorted() []*workers.Worker {
	if len(s.sortedWorkers) != len(s.workers) || s.reorder {
		s.sortedWorkers = s.sortedWorkers[:0:0]
		for _, w := range s.workers {
			s.sortedWorkers = append(s.sortedWorkers, w)
		}
		sort.Slice(s.sortedWorkers, func(a, b int) bool { return s.sortedWorkers[a].ID < s.sortedWorkers[b].ID })
		s.reorder = false
	}
	return s.sortedWorkers
}

func (s *State) emit(e Effect) { s.outbox = append(s.outbox, e) }

func (s *State) note(n Note) {
	s.emit(n)
}

// noteIfHeld notes a change that every process hears of, if this process leads the cell or loads its jobs.
func (s *State) noteIfHeld(n Note) {
	if s.Holds() {
		s.note(n)
	}
}

// target names a worker's current incarnation for a call.
func target(w *workers.Worker) workers.Target {
	return workers.Target{ID: w.ID, Born: w.Born, Address: w.Address}
}

// touch updates which units of a job wait for a start, and makes a placement due.
func (s *State) touch(now time.Time, j *jobs.Job) {
	for _, u := range j.Units {
		if !j.Ended() && !u.Done() && u.Ready() && wantsStart(u) {
			if _, waits := s.waiting[u]; !waits {
				s.waiting[u], u.ReadyAt = struct{}{}, now
			}
		} else {
			delete(s.waiting, u)
		}
	}
	s.placeNow = true
}

// wantsStart says whether a unit has a task to start: one that is settled, not done, not delegated and without a run.
func wantsStart(u *jobs.Unit) bool {
	for _, t := range u.Tasks {
		if !t.Done && t.LentTo == "" && t.Settled && len(t.Runs) == 0 {
			return true
		}
	}
	return false
}

// openDueTimes opens the times of repeating jobs that have fallen due.
func (s *State) openDueTimes(now time.Time) {
	for _, j := range s.jobs {
		if j.Spec.GetRepeats() == 0 || j.Ended() {
			continue
		}
		if opened := j.OpenDue(s.wall); len(opened) > 0 {
			if !s.newSettled() {
				markUnsettled(opened) // a predecessor opens them, too, and may have started their tasks
			}
			s.holdBackNamed(j)
			s.claimStrays(now, j)
			s.touch(now, j)
		}
	}
}

// dropExpiredJobs drops jobs that ended longer ago than the retention, and cancels of unknown jobs after the same time.
// It also drops the tickets of jobs that have ended.
func (s *State) dropExpiredJobs(now time.Time) {
	for id, at := range s.pendingCancels {
		if now.Sub(at) > s.bounds.Retention {
			delete(s.pendingCancels, id)
		}
	}
	for id, j := range s.jobs {
		if j.Ended() && j.Durable == j.Phase && now.Sub(j.EndedAt) > s.bounds.Retention {
			s.part(rows.JobPart(id)).expired[id] = j
			delete(s.jobs, id)
		}
		if j.Ended() {
			for _, u := range j.Units {
				delete(s.advices, u.Name())
			}
		}
	}
}
