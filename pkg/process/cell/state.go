// Package cell schedules the workers of one cell: who may start what, where,
// and what is known of it.
//
// A State belongs to one thread. It takes in events and returns effects; it
// makes no calls and reads no clock, so each failure can be brought about by
// events alone. Data flows one way:
//
//	event -> load.go, settle.go (takeover), look.go, lives.go and lists.go (workers), orders.go (answers)
//	      -> ends.go (what an end means for its job)
//	      -> crashes.go (what the end of a life means for what ran there)
//	      -> lost.go (what is taken for over), leaving.go, lend.go
//	      -> place.go, trials.go, fillers.go, harm.go, advice.go (what to start, and where)
//	      -> pace.go (how fast fillers work)
//	      -> record.go (what must last) and effects
//
// A start is not recorded anywhere: workers list what runs. An end is
// acknowledged to its worker after it is recorded. See docs/design/platform.md.
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

type phase int

const (
	following phase = iota
	loading
	leading
	releasing
)

// Bounds are the times that the deployment sets.
type Bounds struct {
	// MaxLease is the longest that a worker holds what runs without renewal.
	MaxLease time.Duration
	// Retention is how long an ended job's state is told.
	Retention time.Duration
}

// Unsafe takes out one fence each, so that a test can show what it is for.
type Unsafe struct {
	// NoSettling starts at once what an earlier leader may have started.
	NoSettling bool
	// NoRecorded acknowledges ends before they are recorded.
	NoRecorded bool
	// NoLeaseWait takes runs of a silent worker for over at once.
	NoLeaseWait bool
	// NoConfirmation takes runs for over though another may lead by now.
	NoConfirmation bool
	// NoBlame holds nothing against tasks under which workers crash.
	NoBlame bool
	// NoStrayRoom starts beside runs of which nobody knows how much room they take.
	NoStrayRoom bool
	// NoUnseen holds nothing against tasks for lives that ended unseen.
	NoUnseen bool
	// NoStrays has runs stopped at once whose jobs are not known yet.
	NoStrays bool
	// NoTrialRecord tries a task before it is recorded that it may be tried.
	NoTrialRecord bool
}

// State is what the leader of a cell knows.
type State struct {
	name   string
	bounds Bounds
	unsafe Unsafe
	// without are the mechanisms that are left out.
	without Mechanism
	// peers are the deployment's other cells.
	peers []string

	epoch    int64
	phase    phase
	manifest *manifest.Manifest
	wall     time.Time

	jobs    map[string]*jobs.Job
	workers map[string]*workers.Worker
	// order are the workers by id, made anew when reorder is set.
	order   []*workers.Worker
	reorder bool
	roster  map[string]bool
	// over are workers whose host runs another one by now, with the life that is over. They
	// are few: one a restart that this process has seen.
	over map[string]int64
	// followedAt is as of when all jobs of the cell's table have been told.
	followedAt time.Time
	// falls are when workers fell silent, the last few seconds.
	falls []fall
	// hostCrashes are the last crashes of each host.
	hostCrashes map[string][]hostCrash
	// silent are runs whose workers fell silent.
	silent []silentRun
	// accused are the tasks against which anything is held, in the order in which that came to be.
	accused []*jobs.Task
	// closed are workers that nothing else may join, for a trial; kept those that are kept for one;
	// trialsOut is how many are on. All as of one placing, but for kept.
	closed    map[*workers.Worker]bool
	kept      map[*jobs.Task]keptWorker
	trialsOut int
	// died are runs whose workers have started again, until that is confirmed.
	died []diedRun
	// cancels are asked for, of jobs that have not been seen yet.
	cancels map[string]time.Time
	// waiting are the units that have tasks to start.
	waiting map[*jobs.Unit]struct{}
	parts   map[string]*part
	seq     int64
	runs    int64
	// advices are tickets by unit; adviceOut is the unit that is being asked for.
	advices   map[string]*advice
	adviceOut string
	// others is what the leaders of other cells told of theirs.
	others map[string]otherLoad
	// lent are specifications for other cells that are not recorded yet.
	lent map[*jobs.Job][]*wire.JobSpec

	// unsettled are the workers that must be heard before tasks which were
	// found nowhere may start; settleBy is when waiting ends anyway.
	unsettled map[string]bool
	settled   bool
	settleBy  time.Time
	// othersSettled says that only tasks which the membership names may still run unheard.
	othersSettled bool
	// mayRunUnheard are those tasks, by name.
	mayRunUnheard map[string]bool
	// earlier are the lives that the roster names until what their ends say is recorded, which it is with
	// the change weighedSeq; unseen those of them that ended before their lists were heard.
	earlier    map[string]*wire.RosterEntry
	unseen     []string
	weighedSeq int64
	// unheard are members that were not heard when the cell settled, and whose end has not shown since.
	unheard map[string]unheardMember
	// unseenHeld are the tasks against which this leader holds an end that nobody saw.
	unseenHeld map[*jobs.Task]bool
	// predecessors are leaders that are not known to be over, and when what each may have granted is
	// over; overUntil is the same for the others.
	predecessors map[string]time.Time
	overUntil    time.Time
	// overAt is the same for single workers, by what predecessors told of their leases; granted are those of this
	// process's earlier leaderships.
	overAt, granted map[string]time.Time
	// grantedUnknown is until when leases may go on at workers that an earlier leadership of this process never learned of.
	grantedUnknown time.Time

	// press is what was learned of fillers beside serving tasks. It outlives a
	// leadership: it is about images.
	press       *interference.Press
	pressToldAt time.Time
	// orders bounds the orders to start that are on their way. It is about this host's
	// link and outlives a leadership.
	orders *flow.Window
	// heldNotedAt is when it was last told that orders are held back.
	heldNotedAt time.Time
	// runtimes is what was learned of how long tasks run. It outlives a leadership, too.
	runtimes *runtimes.Estimates
	// neighbours is what fillers would meet at each worker, for one placing.
	neighbours map[*workers.Worker]neighbours
	harms      map[place]float64
	// fillerRooms and fillerFrees are what loads tell of room for fillers, by image,
	// as of roomsAt.
	fillerRooms, fillerFrees map[string]int64
	roomsAt                  time.Time
	// waitsNotedAt is when the log last said why lasting tasks wait.
	waitsNotedAt time.Time
	// roomy says that much of the cell's room is free, likewise.
	roomy bool
	// held are workers whose room is kept for lasting tasks, likewise.
	held map[*workers.Worker]bool
	// confirmedAt is when this process surely led the cell last. What is taken
	// for over without its worker having said so must be over by then: else a
	// later leader may have renewed it, or acknowledged its end.
	confirmedAt time.Time
	// leadsUntil is how long this process may go on without another renewal.
	leadsUntil time.Time

	placeNow bool
	scanNow  bool
	outbox   []Effect
}

// Option changes how a State is made.
type Option func(*State)

// WithUnsafe takes fences out, for tests.
func WithUnsafe(u Unsafe) Option { return func(s *State) { s.unsafe = u } }

// WithPeers names the deployment's cells: a cancel stands in the table for each of them.
func WithPeers(cells []string) Option {
	return func(s *State) {
		s.peers = slices.Sorted(slices.Values(cells))
		s.peers = slices.DeleteFunc(s.peers, func(name string) bool { return name == s.name })
	}
}

// New returns the state of a process that does not lead the cell.
func New(name string, bounds Bounds, options ...Option) *State {
	s := &State{
		name: name, bounds: bounds, workers: map[string]*workers.Worker{}, press: interference.NewPress(), orders: flow.NewWindow(), runtimes: runtimes.New(), others: map[string]otherLoad{},
		neighbours: map[*workers.Worker]neighbours{}, harms: map[place]float64{}, held: map[*workers.Worker]bool{}, over: map[string]int64{},
	}
	s.forget()
	for _, o := range options {
		o(s)
	}
	return s
}

func (s *State) forget() {
	s.jobs = map[string]*jobs.Job{}
	s.cancels = map[string]time.Time{}
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

// Take takes in one event. Decide, called after a batch of events, acts on
// them: deciding after each one would cost as much again for nothing.
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
		s.keepLeases(now)
		s.stepDown(e.Why)
	case Confirmed:
		s.confirmedAt, s.leadsUntil = e.At, e.Until
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

// Decide does all that has become due and returns what is to be done. wall is
// the time of day: it decides only which times of repeated jobs are due.
func (s *State) Decide(now, wall time.Time) []Effect {
	s.wall = wall
	if s.pastTenure(now) {
		return s.ceased()
	}
	if s.phase == leading || s.phase == releasing {
		s.decideScans(now)
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

// decideScans does what looks at every run. It follows from time, from looks
// and from jobs that ended, not from each answer.
func (s *State) decideScans(now time.Time) {
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
	s.dropMembers(now)
	s.noteKnownRuns(now)
	if s.phase == leading {
		s.openTimes(now)
		s.leave(now)
		s.lend(now)
		s.pace(now)
		s.noteLastingWaits(now)
	}
	s.stopUnwanted(now)
	s.forgetEnded(now)
}

// sorted lists the workers by id. The order of a map would make the same events
// lead to other decisions the next time.
func (s *State) sorted() []*workers.Worker {
	if len(s.order) != len(s.workers) || s.reorder {
		s.order = s.order[:0:0]
		for _, w := range s.workers {
			s.order = append(s.order, w)
		}
		sort.Slice(s.order, func(a, b int) bool { return s.order[a].ID < s.order[b].ID })
		s.reorder = false
	}
	return s.order
}

func (s *State) emit(e Effect) { s.outbox = append(s.outbox, e) }

func (s *State) note(n Note) {
	s.emit(n)
}

// noteIfHeld is for what every process is told, and only the leader acts on.
func (s *State) noteIfHeld(n Note) {
	if s.Holds() {
		s.note(n)
	}
}

func target(w *workers.Worker) workers.Target {
	return workers.Target{ID: w.ID, Born: w.Born, Address: w.Address}
}

// touch looks anew at which units of a job have tasks to start, and marks its
// progress for recording.
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

func wantsStart(u *jobs.Unit) bool {
	for _, t := range u.Tasks {
		if !t.Done && t.LentTo == "" && t.Settled && len(t.Runs) == 0 {
			return true
		}
	}
	return false
}

func (s *State) openTimes(now time.Time) {
	for _, j := range s.jobs {
		if j.Spec.GetRepeats() == 0 || j.Ended() {
			continue
		}
		if opened := j.OpenDue(s.wall); len(opened) > 0 {
			if !s.newSettled() {
				unsettle(opened) // they fall due for a forerunner, too
			}
			s.holdBackNamed(j)
			s.claimStrays(now, j)
			s.touch(now, j)
		}
	}
}

// forgetEnded drops jobs whose last state has been told for long enough.
func (s *State) forgetEnded(now time.Time) {
	for id, at := range s.cancels {
		if now.Sub(at) > s.bounds.Retention {
			delete(s.cancels, id)
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
