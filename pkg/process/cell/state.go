// Package cell schedules the tasks of one cell on its workers. It decides which
// tasks start on which worker and which runs are stopped, and it keeps what the
// cell's leader knows of jobs, runs and workers.
//
// A State belongs to one goroutine. It applies events and returns effects. It makes
// no calls and reads no clock, so a test can reproduce each failure by events
// alone. Data flows one way:
//
//	event -> takeover.go, settle.go (takeover), poll.go, incarnations.go, active_runs.go (reports of workers), orders.go (replies to orders)
//	      -> run_ends.go (the effect of a run's end on its job)
//	      -> crashes.go (evidence against the tasks of a worker that crashed)
//	      -> lost_runs.go (runs and workers that are presumed over), leaving.go, delegation.go (tasks for other cells)
//	      -> placement.go, isolated_runs.go, evacuation.go, urgent_reserve.go, urgent_stops.go, filler_places.go, filler_cost.go, advice.go (which tasks start, and where)
//	      -> filler_pace.go (the pace of fillers)
//	      -> forecasts.go (the wait of jobs that arrive now)
//	      -> write_progress.go (progress that the table must hold) and effects
//
// Starts are not recorded in the table: workers list their runs. The leader acknowledges an end to its
// worker after the end is recorded. See docs/design/platform.md.
package cell

import (
	"slices"
	"sort"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/interference"
	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/orderwindow"
	"github.com/wrenferry/wrenferry/pkg/process/runtimes"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/request/admission"
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
	// UrgentWait is the longest wait for a first start that callers of urgent work accept. Capacity is kept for such work
	// by it; with 0, none is.
	UrgentWait time.Duration
	// RefuseLate is RefuseLog or RefuseOn where the cell forecasts whether new jobs would come too late.
	RefuseLate string
	// ConfirmedHandover makes a release independent of the load: see release.go.
	ConfirmedHandover bool
}

// The treatments of new jobs that would surely come too late.
const (
	RefuseOff = admission.Off
	// RefuseLog accepts these jobs, and logs that they would have been refused.
	RefuseLog = admission.Log
	RefuseOn  = admission.On
)

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
	// NoUnseen records no crash evidence for unobserved ends: incarnations that ended while no leader observed their
	// runs.
	NoUnseen bool
	// NoStrays stops orphaned runs at once, before their jobs can become known.
	NoStrays bool
	// NoTrialRecord starts a task with crash evidence before the table records the start.
	NoTrialRecord bool
	// NoEvacuation starts tasks at the workers of an evacuated hall.
	NoEvacuation bool
	// NoLateStops leaves runs going that the leader discovers only after their jobs have ended.
	NoLateStops bool
	// NoReports ignores what other cells report of the tasks delegated to them.
	NoReports bool
	// NoLostRuns takes runs for going on that have no worker any more.
	NoLostRuns bool
	// NoRequeue does not queue a task again whose run is presumed over.
	NoRequeue bool
	// NoSecondList ends the incarnation of a silent worker by a single list of the inventory, NoSkippedHosts by lists of
	// which one may have skipped it between two pages, NoCompleteLists by lists that are empty or leave out workers which answer, NoListingDelay though the inventory
	// may not list it yet, NoAskedAt by lists that were asked for at any time, also before it was known or last heard.
	NoSecondList, NoSkippedHosts, NoCompleteLists, NoListingDelay, NoAskedAt bool
}

// State holds what a process knows of one cell, and takes the cell's decisions while the process leads it.
type State struct {
	name   string
	bounds Bounds
	unsafe Unsafe
	// disabled are the mechanisms that are switched off.
	disabled Mechanism
	// peers are the deployment's other cells, sorted.
	peers []string

	epoch    int64
	phase    phase
	manifest *manifest.Manifest
	// evacuatedCells are the cells whose halls are evacuated. The set is kept when a leadership ends, since it depends
	// on operators only.
	evacuatedCells map[string]bool
	// wall is the time of day of the current Decide.
	wall time.Time

	jobs    map[string]*jobs.Job
	workers map[string]*workers.Worker
	// sortedWorkers lists the workers by id. It is rebuilt when orderStale is set.
	sortedWorkers []*workers.Worker
	orderStale    bool
	// recordedMembers holds the ids that the recorded membership row names: only these workers get work.
	recordedMembers map[string]bool
	// endedIncarnations holds, by worker id, the incarnations (their Born) that have ended because a later one answered
	// on their host. There are few of them: one for each restart that this process has observed.
	endedIncarnations map[string]int64
	// caughtUpAt is a time up to which the leader has read the cell's table: all jobs recorded before it are known.
	caughtUpAt time.Time
	// gainedAt is when this process began to lead.
	gainedAt time.Time
	// eventTakenAt is when the last event was taken. gapFrom and gapUntil bound the last time without any.
	eventTakenAt, gapFrom, gapUntil time.Time
	// silences are the intervals in which workers went silent, for silenceMemory.
	silences []silence
	// hostCrashes are the crashes by host, for hostCrashMemory.
	hostCrashes map[string][]hostCrash
	// silentRuns are runs whose worker fell silent: whether the worker crashed is not known yet.
	silentRuns []silentRun
	// implicated are the implicated tasks: those with crash evidence, in the order in which they got the first of it.
	implicated []*jobs.Task
	// verdicts holds the poisonous tasks whose jobs are about to fail, and when the last worker that each crashed went
	// silent.
	verdicts map[*jobs.Task]time.Time
	// closedWorkers are the workers that no other task may join, because an isolated run is there or is about to start.
	// isolatedRuns is the number of isolated runs. Both are as of the last placement. isolationReservations are the
	// workers reserved for the isolated run of a task; a reservation lasts over several placements.
	closedWorkers         map[*workers.Worker]bool
	isolationReservations map[*jobs.Task]isolationReservation
	isolatedRuns          int
	// diedRuns are runs whose worker has restarted. They are presumed over once leadership is confirmed for a later
	// time.
	diedRuns []diedRun
	// pendingCancels are cancels of jobs that are not known yet, with the time at which each was received. Each is likely to
	// have a row in the table.
	pendingCancels map[string]time.Time
	// waitingUnits are the units that have tasks to start.
	waitingUnits map[*jobs.Unit]struct{}
	// writers write progress, each to one part of the table.
	writers map[string]*partWriter
	// changeSeq is the number of the last change to any job's progress.
	changeSeq int64
	// runSerial is how many run numbers this epoch has used.
	runSerial int64
	// ticketsByUnit holds the tickets of the advice service by unit. adviceRequested is the name of the unit whose
	// advice request has no answer yet; "" if there is none. adviceNamed are the workers that the last request named.
	ticketsByUnit   map[string]*unitTickets
	adviceRequested string
	adviceNamed     []jobs.Incarnation
	// peerLoads are the loads that the leaders of other cells reported, by cell.
	peerLoads map[string]peerLoad
	// pendingDelegations are specifications of delegated tasks for other cells that are not recorded yet.
	pendingDelegations map[*jobs.Job][]*wire.JobSpec

	// awaitedMembers are the members that have not answered this leader. Until settled is set, tasks that no worker
	// lists wait for them. settleDeadline is when the last lease that earlier leaders may have granted ends, which ends
	// the wait.
	awaitedMembers map[string]bool
	settled        bool
	settleDeadline time.Time
	// unnamedSettled is set once only tasks that the membership names may still run at members that have not answered.
	unnamedSettled bool
	// heldBackTasks holds the names of those tasks.
	heldBackTasks map[string]bool
	// retainedMembers are the entries of retained members, by worker: incarnations that earlier leaders could use, and
	// incarnations that have ended. The membership names them until the crash evidence from their ends is recorded,
	// which it is with change number evidenceSeq. unobservedEnds are those that ended before this leader received their
	// lists.
	retainedMembers map[string]*wire.RosterEntry
	unobservedEnds  []string
	evidenceSeq     int64
	// unreachedMembers are the unreached members: those that had not answered when the cell settled, and that have
	// neither answered nor ended since, as far as is known.
	unreachedMembers map[string]unreachedMember
	// unobservedEvidence are the tasks to whose crash evidence this leader has added an unobserved end.
	unobservedEvidence map[*jobs.Task]bool
	// endsBeforeSettling are the incarnations whose end this leader learned before the cell settled; true for those that
	// had answered it.
	endsBeforeSettling map[incarnation]bool
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

	// interference holds the learned interference of fillers with serving tasks. It is kept when a leadership ends,
	// since it depends on images only. interferenceLoggedAt is when the log last reported it.
	interference         *interference.PressureModel
	interferenceLoggedAt time.Time
	// startWindow limits the bytes of start orders in flight. It is kept when a leadership ends, since it depends on
	// this host's link only.
	startWindow *orderwindow.Window
	// startsHeldAt is when a start order was last held back, startsHeldSince when that began, without long breaks.
	startsHeldAt, startsHeldSince time.Time
	// delays sums up what this leader does late.
	delays delays
	// startsHeldLoggedAt is when the log last reported that start orders are held back.
	startsHeldLoggedAt time.Time
	// runtimes estimates how long tasks run. It is kept when a leadership ends, too.
	runtimes *runtimes.Estimates
	// placeCosts caches what fillers would cost their neighbours.
	placeCosts placeCosts
	// overdueReservations holds by service the worker that is reserved for an overdue lasting task.
	overdueReservations map[string]overdueReservation
	// passCost is the mean time that a decision with a placement pass takes on this host. It is kept when a leadership ends.
	// placedLast is set if the last decision had one, passEndedAt is when the last one ended.
	passCost    time.Duration
	passEndedAt time.Time
	placedLast  bool
	// reportedCapacity is the cached part of load messages.
	reportedCapacity reportedCapacity
	// lastingWaitsLoggedAt is when the log last gave the reasons why lasting tasks wait.
	lastingWaitsLoggedAt time.Time
	// membersKnownAt is a time by which a predecessor had written the membership that this leader read; zero: not known.
	membersKnownAt time.Time
	// inventory holds the readings of the platform's inventory.
	inventory inventoryReadings
	// awaitedLoggedAt is when the log last named the members that the cell waits for.
	awaitedLoggedAt time.Time
	// placesTaken counts the places that other tasks took from an overdue lasting task, for the log.
	placesTaken placesTaken
	// idlePollPause is the pause between polls of a worker without runs.
	idlePollPause time.Duration
	// mostlyFree is set if much of the cell's capacity is free, cellsMostlyFree if much of all cells' together is, as of the last
	// placement.
	mostlyFree, cellsMostlyFree bool
	// reservedForLasting are the workers whose capacity is reserved for lasting tasks, as of the last placement.
	reservedForLasting map[*workers.Worker]bool
	// reservedForIdle are the workers that take no fillers but those of a job that has nothing running, as of the last
	// placement.
	reservedForIdle map[*workers.Worker]bool
	// idleJobs holds since when jobs with waiting tasks have had nothing running.
	idleJobs map[*jobs.Job]time.Time
	// placeElsewhere caches for units of idle jobs whether another cell has a place. It is valid for one placement.
	placeElsewhere map[*jobs.Unit]bool
	// withoutWorkersSince is since when the cell has had no worker that could take work; zero: it has one.
	withoutWorkersSince time.Time
	// unplaceable are the waiting units of short tasks and gangs that no worker of the cell could ever run, with since when that
	// is so. labelsSeenAt is when the cell last had a worker with a label.
	unplaceable  map[*jobs.Unit]time.Time
	labelsSeenAt map[workerLabel]time.Time
	// releasingSince is when this process began to hand the cell over, as of the phase releasing.
	releasingSince time.Time
	// urgentReserve is what this leadership knows of the capacity that it keeps for urgent tasks.
	urgentReserve *urgentReserve
	// leadershipConfirmedAt is the last time at which this process is known to have led the cell. A run that is
	// presumed over without a report from its worker must have ended before that time: otherwise a later leader may
	// have renewed the worker's lease or acknowledged the run's end.
	leadershipConfirmedAt time.Time
	// storeClock relates this process's clock to the table's, as of the last event with a reading of the table's.
	storeClock jobs.StoreClock
	// tenureUntil is when the tenure ends, and with it the leadership unless it is renewed. The zero time sets no
	// limit.
	tenureUntil time.Time

	// forecasts are the forecasts for new jobs; nil without Bounds.RefuseLate, and unless this process leads the cell.
	forecasts *waitForecasts

	// awaitedStarts is the capacity that the present placement pass has reserved for starts which await their records.
	awaitedStarts []awaitedStart
	// placementDue makes the next Decide place tasks, scanDue makes it run the scans of runScans.
	placementDue bool
	scanDue      bool
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
		name: name, bounds: bounds, workers: map[string]*workers.Worker{}, interference: interference.NewPressureModel(), startWindow: orderwindow.NewWindow(), runtimes: runtimes.New(), peerLoads: map[string]peerLoad{},
		reservedForLasting: map[*workers.Worker]bool{}, reservedForIdle: map[*workers.Worker]bool{}, placeElsewhere: map[*jobs.Unit]bool{}, endedIncarnations: map[string]int64{},
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
	s.waitingUnits = map[*jobs.Unit]struct{}{}
	s.overdueReservations = map[string]overdueReservation{}
	s.recordedMembers = map[string]bool{}
	s.writers = map[string]*partWriter{}
	s.pendingDelegations = map[*jobs.Job][]*wire.JobSpec{}
	s.ticketsByUnit = map[string]*unitTickets{}
	s.adviceRequested = ""
	s.awaitedMembers = map[string]bool{}
	s.retainedMembers, s.unobservedEnds, s.unreachedMembers = map[string]*wire.RosterEntry{}, nil, map[string]unreachedMember{}
	s.unobservedEvidence, s.endsBeforeSettling = map[*jobs.Task]bool{}, map[incarnation]bool{}
	s.settled, s.unnamedSettled, s.heldBackTasks = false, false, nil
	s.diedRuns, s.silences, s.silentRuns, s.caughtUpAt = nil, nil, nil, time.Time{}
	s.hostCrashes = map[string][]hostCrash{}
	s.implicated, s.verdicts = nil, map[*jobs.Task]time.Time{}
	s.closedWorkers, s.isolationReservations = map[*workers.Worker]bool{}, map[*jobs.Task]isolationReservation{}
	s.urgentReserve = newUrgentReserve()
	s.forecasts, s.inventory = nil, inventoryReadings{}
	s.withoutWorkersSince, s.unplaceable, s.labelsSeenAt = time.Time{}, map[*jobs.Unit]time.Time{}, map[workerLabel]time.Time{}
	s.phase = following
	s.workers = map[string]*workers.Worker{}
	s.orderStale = true
}

// Take applies one event. Callers apply a batch of events and then call Decide once: a Decide after each event would
// cost as much again and gain nothing.
func (s *State) Take(now time.Time, e Event) {
	s.noteGap(now)
	switch e := e.(type) {
	case Tick:
		s.scanDue = true
		s.placementDue = s.placementDue || len(s.waitingUnits) > 0
	case ManifestChanged:
		s.manifest = e.Manifest
		s.placementDue = true
	case EvacuationsChanged:
		s.takeEvacuations(e)
	case BoundsChanged:
		s.bounds = e.Bounds
		s.startForecasts(now)
	case WorkersListed:
		s.takeRegistry(now, e)
	case LeadershipGained:
		s.takeLeadershipGained(now, e)
	case LeadershipLost:
		s.rememberLeases(now)
		s.stepDown(e.Why)
	case LeadershipConfirmed:
		s.leadershipConfirmedAt, s.tenureUntil = e.SentAt, e.Until
	case PredecessorEnded:
		s.takePredecessorEnded(now, e)
	case MembershipRecorded:
		s.takeMembershipRecorded(e)
	case Loaded:
		s.takeLoaded(now, e)
	case JobAccepted:
		s.takeAccepted(now, e)
	case TableCaughtUp:
		s.takeTableCaughtUp(e)
	case CancelRequested:
		s.takeCancel(now, e)
	case CancelRemoved:
		delete(s.pendingCancels, e.ID)
	case TasksReturned:
		s.takeTasksReturned(now, e.Tasks)
	case PollAnswered:
		s.takePollAnswered(now, e)
	case InventoryRead:
		s.takeInventory(now, e)
	case StartAnswered:
		s.takeStartAnswered(now, e)
	case StopAnswered:
		s.takeStopAnswered(now, e)
	case PaceAnswered:
		s.takePaceAnswered(now, e)
	case WriteAnswered:
		s.takeWriteAnswered(now, e)
	case ReleaseRequested:
		s.takeRelease(now)
	case ClearSuspicion:
		s.takeClearSuspicion(now, e)
	case AdviceAnswered:
		s.takeAdviceAnswered(now, e)
	case PeerLoad:
		s.peerLoads[e.Load.GetCell()] = peerLoad{load: e.Load, receivedAt: now}
		if s.enabled(SharedBeliefs) && len(e.Load.GetBeliefs()) > 0 && (e.Load.GetCell() != s.name || s.phase == following) {
			s.interference.SetPeerBeliefs(e.Load.GetCell(), decodeBeliefs(e.Load))
		}
	}
}

// Decide takes all decisions that are due and returns the effects to carry out. wall is the time of day. Of the
// decisions, only those about the occurrences of repeating jobs depend on it.
func (s *State) Decide(now, wall time.Time) []Effect {
	s.wall, s.placedLast = wall, false
	if s.tenureExpired(now) {
		return s.effectsPastTenure()
	}
	s.updateForecasts(now)
	switch {
	case s.releasingAtOnce():
		s.writeLast(now)
	case s.phase == leading || s.phase == releasing:
		s.runScans(now)
		if s.phase == leading {
			s.runPlacement(now)
		}
		s.writeProgress(now)
	}
	if s.phase != following && !s.releasingAtOnce() {
		s.pollWorkers(now)
		s.requestInventory(now)
	}
	s.countDecision(now)
	out := s.outbox
	s.outbox = nil
	return out
}

// runScans takes the decisions that examine every run. They are due after a tick, after an answer that changes
// whether a worker or its incarnation counts as alive, and after a job's end, but not after every answer.
func (s *State) runScans(now time.Time) {
	if !s.scanDue {
		return
	}
	s.scanDue = false
	s.updateIdlePause()
	s.checkRuns(now)
	s.removeGoneWorkers(now)
	s.loseDiedRuns(now)
	s.exonerateSuspects()
	s.decideVerdicts(now)
	s.expireSilentRuns(now)
	s.settle(now)
	s.logAwaitedMembers(now)
	s.dropRetainedMembers()
	s.dropEmptyMembers(now)
	s.updateKnownRuns(now)
	if s.phase == leading {
		s.openDueOccurrences(now)
		s.stopOnLeavingWorkers(now)
		s.trackWorkers(now)
		s.trackUnplaceable(now)
		s.delegateWaiting(now)
		s.paceFillers(now)
		s.logLastingWaits(now)
		if !s.placementDue {
			s.observeUrgent(now)
		}
		s.logReserve(now)
	}
	s.stopObsoleteRuns(now)
	s.dropExpiredJobs(now)
}

// workersByID returns the workers, sorted by id. In the order of a map, the same events would lead to other decisions
// each time.
func (s *State) workersByID() []*workers.Worker {
	if len(s.sortedWorkers) != len(s.workers) || s.orderStale {
		s.sortedWorkers = s.sortedWorkers[:0:0]
		for _, w := range s.workers {
			s.sortedWorkers = append(s.sortedWorkers, w)
		}
		sort.Slice(s.sortedWorkers, func(a, b int) bool { return s.sortedWorkers[a].ID < s.sortedWorkers[b].ID })
		for i, w := range s.sortedWorkers {
			w.Slot = i
		}
		s.placeCosts = placeCosts{
			workers: make([]*neighbourhood, len(s.sortedWorkers)), units: map[*jobs.Unit][]placeCost{}, serial: s.placeCosts.serial, placedAt: s.placeCosts.placedAt,
		}
		s.orderStale = false
	}
	return s.sortedWorkers
}

// emit adds an effect to those that the next Decide returns.
func (s *State) emit(e Effect) { s.outbox = append(s.outbox, e) }

// note emits a log line.
func (s *State) note(n Note) {
	s.emit(n)
}

// noteIfLeading notes a change that every process receives, if this process leads the cell or loads its jobs.
func (s *State) noteIfLeading(n Note) {
	if s.HoldsLeadership() {
		s.note(n)
	}
}

// target names a worker's current incarnation for a call.
func target(w *workers.Worker) workers.Target {
	return workers.Target{ID: w.ID, Born: w.Born, Address: w.Address}
}

// updateWaiting updates which units of a job wait for a start, and makes a placement due.
func (s *State) updateWaiting(now time.Time, j *jobs.Job) {
	for _, u := range j.Units {
		if !j.Ended() && !u.Done() && u.Ready() && hasTaskToStart(u) {
			if _, waits := s.waitingUnits[u]; !waits {
				s.waitingUnits[u], u.ReadyAt = struct{}{}, now
			}
		} else {
			delete(s.waitingUnits, u)
		}
	}
	s.placementDue = true
}

// hasTaskToStart reports whether a unit has a task to start: one that is settled, not done, not delegated and without a
// run.
func hasTaskToStart(u *jobs.Unit) bool {
	for _, t := range u.Tasks {
		if !t.Done && t.DelegatedTo == "" && t.Settled && len(t.Runs) == 0 {
			return true
		}
	}
	return false
}

// openDueOccurrences opens the occurrences of repeating jobs that have fallen due.
func (s *State) openDueOccurrences(now time.Time) {
	for _, j := range s.jobs {
		if j.Spec.GetRepeats() == 0 || j.Ended() {
			continue
		}
		if opened := j.OpenDue(s.wall); len(opened) > 0 {
			if !s.newTasksSettled() {
				markUnsettled(opened) // a predecessor opens them, too, and may have started their tasks
			}
			s.holdBackTasks(j)
			s.adoptOrphans(now, j)
			s.updateWaiting(now, j)
		}
	}
}

// dropExpiredJobs drops jobs that ended longer ago than the retention, and cancels of unknown jobs after the same time: the
// table may have carried such a cancel out late, after the job's home cell had removed its rows. It also drops the tickets of
// jobs that have ended.
func (s *State) dropExpiredJobs(now time.Time) {
	for id, at := range s.pendingCancels {
		if s.phase == leading && s.caughtUpAt.Sub(at) > s.bounds.Retention {
			delete(s.pendingCancels, id)
			s.writer(rows.JobPart(id)).unknownCancels[id] = struct{}{}
		}
	}
	for id, j := range s.jobs {
		if j.Ended() && j.DurablePhase == j.Phase && now.Sub(j.EndedAt) > s.bounds.Retention {
			s.writer(rows.JobPart(id)).expire(id, j)
			delete(s.jobs, id)
		}
		if j.Ended() {
			for _, u := range j.Units {
				delete(s.ticketsByUnit, u.Name())
			}
		}
	}
}
