package hall

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/interference"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Workers as the leader knows them, and what their replies change.
//
// A worker's lease is a moment on the worker's own clock. Each reply carries a
// reading of that clock (a mark); the next message may grant until that mark
// plus the lease time. The mark was read before the reply came in, so by the
// leader's clock the lease is over no later than the reply's arrival plus the
// lease time, however long the message is on its way. No two clocks need agree
// on the time, only on the length of a second, to within the margin.

// worker is one worker of this hall.
type worker struct {
	name    string
	rack    string
	address string
	listed  bool
	leaving bool

	registeredIncarnation  string // the incarnation that the table holds
	registeringIncarnation string
	reportedIncarnation    string // the incarnation that last answered

	reached        bool // has answered at this leader's epoch
	mark           int64
	markReceivedAt time.Time
	leaseExpiresAt time.Time // when any lease that this leader knows of is over

	totalCapacity     ledger.Size
	account           *ledger.Worker
	reservedForUrgent ledger.Size // room made for urgent tasks that still wait, as of the last round
	runs              map[string]*wire.Run
	tasks             map[string]*task
	services          []string
	guard             *interference.Guard
	lastSampleAt      map[string]time.Time

	inFlight bool
	nextSync time.Time
	syncSoon bool // has something to be told at once
}

func (w *worker) object() string { return "worker/" + w.name }

// worker finds or makes the record of a worker.
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

// resetForEpoch drops what was known under an earlier epoch of this process.
func (w *worker) resetForEpoch() {
	w.registeredIncarnation = ""
	w.registeringIncarnation = ""
	w.reportedIncarnation = ""
	w.markReceivedAt = time.Time{}
	w.inFlight = false
	w.nextSync = time.Time{}
	w.leaseExpiresAt = time.Time{}
}

// clearLoaded drops what a load and the worker's next reply bring anew.
func (w *worker) clearLoaded() {
	w.reached = false
	w.runs = nil
	w.tasks = map[string]*task{}
	w.account = ledger.NewWorker()
}

// takeHosts takes in the platform's list. A worker that has left the list is
// kept as long as something may run on it.
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

// syncRetryDelay is how soon a worker that did not answer is asked again.
const syncRetryDelay = 500 * time.Millisecond

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

// newIncarnation handles a worker that has started afresh. All that ran on the
// incarnation before is over, for good. Nothing is granted to the new one until
// the table holds its name. In the model: Worker.reboot and Leader.register.
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
	w.account = ledger.NewWorker()
	w.runs = nil
	for _, t := range w.tasks {
		s.loseAttempt(now, t, true, w.name+" started afresh")
	}
	s.unwritten.workers[w.name] = true
}

// workerRegistered takes in that the table holds the worker's incarnation.
func (s *State) workerRegistered(now time.Time, name string) {
	w := s.workers[name]
	if w == nil {
		return
	}
	w.registeredIncarnation = w.registeringIncarnation
	w.syncSoon = true
	s.note(now, w.object(), WorkerRegistered, w.registeredIncarnation)
}

// takeRuns compares what the worker holds with what it should hold.
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

func (s *State) takeRun(now time.Time, w *worker, name string, r *wire.Run) {
	t := w.tasks[r.GetTaskId()]
	current := t != nil && t.row.GetAttempt() == r.GetAttempt()
	if r.GetState() != wire.RunState_RUN_STATE_RUNNING {
		w.account.Release(name)
		w.syncSoon = true // it wants to hear that the end is recorded
		if current {
			s.attemptEnded(now, w, t, r)
		}
		return
	}
	w.account.Adopt(name, ledger.FromWire(r.GetSize()))
	if !current {
		w.syncSoon = true
		s.note(now, w.object(), TaskOutOfBounds, name)
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

// maxUnackedStarts is how often a start is sent to a worker that answers and yet
// doesn't take it.
const maxUnackedStarts = 3

// startMissing handles a start that the worker doesn't list. One that never ran is
// sent again: the worker refuses the earlier message by its sequence. One that
// ran and is gone was lost there, and so was one that the worker refuses again
// and again: it must have met that attempt before.
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

// releaseEnded takes back bookings of attempts that neither run nor are to run.
func (s *State) releaseEnded(w *worker) {
	for _, name := range w.account.Names() {
		r := w.runs[name]
		if r.GetState() == wire.RunState_RUN_STATE_RUNNING {
			continue
		}
		if !s.isAssigned(w, name) {
			w.account.Release(name)
		}
	}
}

func (s *State) isAssigned(w *worker, name string) bool {
	for _, t := range w.tasks {
		if t.attemptName() == name {
			return true
		}
	}
	return false
}

// ------------------------------------------------------------------- loss

// loseExpiredWorkers looks for workers whose lease is surely over.
func (s *State) loseExpiredWorkers(now time.Time) {
	for _, w := range s.workers {
		if len(w.tasks) == 0 || !s.leaseCertainlyExpired(now, w) {
			continue
		}
		s.workerLost(now, w)
	}
}

// leaseCertainlyExpired says whether nothing granted to the worker, by this leader or
// an earlier one, can still be alive. In the model: Leader.giveup.
func (s *State) leaseCertainlyExpired(now time.Time, w *worker) bool {
	if !w.markReceivedAt.IsZero() && now.Sub(w.markReceivedAt) < s.fleet().Lease {
		return false // it answers
	}
	over := w.leaseExpiresAt
	if !w.reached && !s.unsafe.NoTenureWait {
		over = laterOf(over, s.leadership.PredecessorsOver())
	}
	return now.After(over)
}

func (s *State) workerLost(now time.Time, w *worker) {
	s.note(now, w.object(), WorkerLost, fmt.Sprintf("%d tasks", len(w.tasks)))
	w.account = ledger.NewWorker()
	w.runs = nil
	w.reached = false
	w.leaseExpiresAt = now
	for _, t := range w.tasks {
		if t.placed() {
			s.loseAttempt(now, t, false, w.name+" does not answer")
		}
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
