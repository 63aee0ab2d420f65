package hall

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/interference"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// The leader's records of workers, and the handling of their replies.
//
// A worker's lease ends at a time of the worker's own clock. Each reply carries
// a reading of that clock (a mark); the next message may grant a lease until
// that mark plus the lease time. The worker reads the mark before the leader
// receives the reply. So, by the leader's clock, the lease ends no later than
// the arrival of the reply plus the lease time, however long the message takes.
// Clocks need not agree on the time, only on the length of a second, to within
// the margin.

// worker is one worker of this hall.
type worker struct {
	name    string
	rack    string
	address string
	listed  bool
	leaving bool

	registeredIncarnation  string // the incarnation that the table holds
	registeringIncarnation string // the incarnation in the pending commit, or in an earlier one
	reportedIncarnation    string // the incarnation of the last reply

	reached        bool  // has answered in this leader's epoch
	mark           int64 // the worker's clock in its last reply, in milliseconds
	markReceivedAt time.Time
	leaseExpiresAt time.Time // when the last lease known to this leader ends

	totalCapacity     ledger.Size // including the share of the services
	account           *ledger.Account
	reservedForUrgent ledger.Size          // capacity freed by evictions for urgent tasks that still wait, recomputed each round
	runs              map[string]*wire.Run // the attempts in the last reply, by attempt name
	tasks             map[string]*task     // the tasks placed on this worker, by id
	services          []string             // the services in the samples of the last reply
	guard             *interference.Guard
	lastSampleAt      map[string]time.Time

	inFlight bool // a message awaits its reply
	nextSync time.Time
	syncSoon bool // the next message is due after minSyncInterval, not at nextSync
}

func (w *worker) object() string { return "worker/" + w.name }

// worker returns the record of a worker, and creates it if there is none.
func (s *State) worker(name string) *worker {
	w := s.workers[name]
	if w == nil {
		w = &worker{name: name, guard: interference.NewGuard(s.model), lastSampleAt: map[string]time.Time{}}
		w.resetForEpoch()
		w.clearLoaded()
		s.workers[name] = w
	}
	return w
}

// resetForEpoch drops the state of the worker from an earlier epoch of this
// process.
func (w *worker) resetForEpoch() {
	w.registeredIncarnation = ""
	w.registeringIncarnation = ""
	w.reportedIncarnation = ""
	w.markReceivedAt = time.Time{}
	w.inFlight = false
	w.nextSync = time.Time{}
	w.leaseExpiresAt = time.Time{}
}

// clearLoaded drops the state that a load and the worker's next reply restore.
func (w *worker) clearLoaded() {
	w.reached = false
	w.runs = nil
	w.tasks = map[string]*task{}
	w.account = ledger.NewAccount()
}

// takeHosts applies the platform's list of hosts. A worker that has left the
// list keeps its record: tasks may still run there.
func (s *State) takeHosts(hosts []*wire.Host) {
	for _, w := range s.workers {
		w.listed = false
	}
	for _, h := range hosts {
		if h.GetRole() != RoleWorker || h.GetHall() != s.hall {
			continue
		}
		w := s.worker(h.GetName())
		w.listed = true
		w.rack = h.GetRack()
		w.address = h.GetAddress()
		w.leaving = h.GetLeaving()
		if w.totalCapacity == (ledger.Size{}) {
			w.totalCapacity = ledger.FromWire(h.GetCapacity())
		}
	}
	for name, w := range s.workers {
		if !w.listed && w.address == "" && len(w.tasks) == 0 {
			delete(s.workers, name)
		}
	}
}

// The roles in the host list.
const (
	RoleWorker = "worker"
	RoleRunner = "runner"
	RoleEntry  = "entry"
)

// ---------------------------------------------------------------- replies

// syncRetryDelay is the time from a failed message until the worker gets the next.
const syncRetryDelay = 500 * time.Millisecond

// takeSynced handles the answer to a message, or its loss. A reply with a higher
// epoch means that another process leads.
func (s *State) takeSynced(now time.Time, e Synced) {
	w := s.workers[e.Worker]
	if w == nil || e.Epoch != s.leadership.Epoch() {
		return
	}
	w.inFlight = false
	if e.Err != nil {
		w.nextSync = now.Add(syncRetryDelay)
		return
	}
	if e.Reply.GetEpoch() > s.leadership.Epoch() {
		s.leadershipLost(now, fmt.Sprintf("worker %s knows epoch %d", w.name, e.Reply.GetEpoch()))
		return
	}
	if s.phase != leading {
		w.mark, w.markReceivedAt = e.Reply.GetMark(), now
		return
	}
	s.takeReply(now, w, e.Reply)
}

// takeReply handles a worker's reply when the state is loaded.
func (s *State) takeReply(now time.Time, w *worker, r *wire.SyncReply) {
	if w.reportedIncarnation != r.GetIncarnation() {
		s.newIncarnation(now, w, r.GetIncarnation())
	}
	w.mark, w.markReceivedAt = r.GetMark(), now
	if r.GetRefused() {
		w.syncSoon = true
		return
	}
	if !w.reached {
		w.reached = true
		w.syncSoon = true
		left := time.Duration(r.GetLeaseUntilMark()-r.GetMark()) * time.Millisecond
		w.leaseExpiresAt = laterOf(w.leaseExpiresAt, now.Add(max(0, left)))
		s.note(now, w.object(), WorkerReached, fmt.Sprintf("epoch %d, incarnation %s", s.leadership.Epoch(), w.reportedIncarnation))
	}
	w.totalCapacity = ledger.FromWire(r.GetCapacity())
	w.account.SetCapacity(w.totalCapacity, ledger.FromWire(r.GetServices()))
	s.takeRuns(now, w, r.GetRuns())
	s.takeSamples(now, w, r.GetSamples())
}

// newIncarnation handles a worker that has restarted. All attempts of the
// previous incarnation are over, and their results are lost. The new incarnation
// gets no lease until the table holds its name. In the model: Worker.reboot and
// Leader.register.
func (s *State) newIncarnation(now time.Time, w *worker, incarnation string) {
	w.reportedIncarnation = incarnation
	w.leaseExpiresAt = time.Time{}
	w.reached = false
	if s.unsafe.NoRegistration {
		w.registeredIncarnation = incarnation
	}
	if w.registeredIncarnation == incarnation {
		return
	}
	if w.registeredIncarnation != "" {
		s.note(now, w.object(), WorkerRestarted, incarnation)
	}
	w.account = ledger.NewAccount()
	w.runs = nil
	for _, t := range w.tasks {
		s.loseAttempt(now, t, true, w.name+" started afresh")
	}
	s.unwritten.workers[w.name] = true
}

// workerRegistered handles the commit that wrote a worker's incarnation to the
// table.
func (s *State) workerRegistered(now time.Time, name string) {
	w := s.workers[name]
	if w == nil {
		return
	}
	w.registeredIncarnation = w.registeringIncarnation
	w.syncSoon = true
	s.note(now, w.object(), WorkerRegistered, w.registeredIncarnation)
}

// takeRuns compares the attempts that the worker lists with the tasks that are
// placed there.
func (s *State) takeRuns(now time.Time, w *worker, runs []*wire.Run) {
	w.runs = make(map[string]*wire.Run, len(runs))
	for _, r := range runs {
		name := attemptName(r.GetTaskId(), r.GetAttempt())
		w.runs[name] = r
		s.takeRun(now, w, name, r)
	}
	for _, t := range w.tasks {
		if w.runs[t.attemptName()] == nil && t.startSent && t.row.GetIncarnation() == w.registeredIncarnation {
			s.startMissing(now, w, t)
		}
	}
	s.releaseEnded(w)
}

// takeRun compares an attempt that the worker lists with the task placed there.
func (s *State) takeRun(now time.Time, w *worker, name string, r *wire.Run) {
	t := w.tasks[r.GetTaskId()]
	current := t != nil && t.row.GetAttempt() == r.GetAttempt()
	if r.GetState() != wire.RunState_RUN_STATE_RUNNING {
		w.account.Release(name)
		w.syncSoon = true // the worker keeps the end until a sync says that the table holds it
		if current {
			s.attemptEnded(now, w, t, r)
		}
		return
	}
	w.account.Adopt(name, ledger.FromWire(r.GetSize()))
	if !current {
		w.syncSoon = true
		s.note(now, w.object(), StrayAttemptStopped, name)
		return
	}
	t.startSent = true
	t.inDoubtSince = time.Time{}
	if !t.running {
		t.running = true
		t.runningAt = now
		s.note(now, t.object(), TaskRunning, w.name)
	}
}

// maxUnackedStarts is how many replies may omit a start that was sent, before
// the attempt counts as lost.
const maxUnackedStarts = 3

// startMissing handles an attempt whose start was sent and that the worker's
// reply doesn't list. The start of an attempt that never ran is sent again: the
// worker refuses the earlier message by its sequence number. An attempt that has
// run is lost. So is one that the worker refuses maxUnackedStarts times: the
// worker must have had that attempt before.
func (s *State) startMissing(now time.Time, w *worker, t *task) {
	t.unackedStarts++
	if t.running || !t.inDoubtSince.IsZero() || t.unackedStarts > maxUnackedStarts {
		w.account.Release(t.attemptName())
		s.loseAttempt(now, t, true, w.name+" no longer has it")
		return
	}
	t.startSent = false
	if t.stop != notStopping {
		cause := t.stop
		t.stop = notStopping
		s.requestStop(now, t, cause)
	}
}

// releaseEnded releases the reservations of attempts that neither run nor are
// assigned to the worker.
func (s *State) releaseEnded(w *worker) {
	for _, name := range w.account.ReservationNames() {
		r := w.runs[name]
		if r.GetState() == wire.RunState_RUN_STATE_RUNNING {
			continue
		}
		if !s.isAssigned(w, name) {
			w.account.Release(name)
		}
	}
}

// isAssigned reports whether the attempt is the current one of a task that is
// placed on the worker.
func (s *State) isAssigned(w *worker, name string) bool {
	for _, t := range w.tasks {
		if t.attemptName() == name {
			return true
		}
	}
	return false
}

// ------------------------------------------------------------------- loss

// loseExpiredWorkers treats each worker with tasks as lost whose lease has
// certainly expired.
func (s *State) loseExpiredWorkers(now time.Time) {
	for _, w := range s.workers {
		if len(w.tasks) == 0 || !s.leaseCertainlyExpired(now, w) {
			continue
		}
		s.workerLost(now, w)
	}
}

// leaseCertainlyExpired reports whether every lease that this leader or a
// predecessor granted to the worker has expired. In the model: Leader.giveup.
func (s *State) leaseCertainlyExpired(now time.Time, w *worker) bool {
	if !w.markReceivedAt.IsZero() && now.Sub(w.markReceivedAt) < s.fleet().Lease {
		return false // the worker still answers
	}
	over := w.leaseExpiresAt
	if !w.reached && !s.unsafe.NoTenureWait {
		over = laterOf(over, s.leadership.PredecessorLeasesEnd())
	}
	return now.After(over)
}

// workerLost handles a worker whose lease has certainly expired: all its attempts
// are over.
func (s *State) workerLost(now time.Time, w *worker) {
	s.note(now, w.object(), WorkerLost, fmt.Sprintf("%d tasks", len(w.tasks)))
	w.account = ledger.NewAccount()
	w.runs = nil
	w.reached = false
	w.leaseExpiresAt = now
	for _, t := range w.tasks {
		if t.placed() {
			s.loseAttempt(now, t, false, w.name+" does not answer")
		}
	}
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
