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

	registered  string // the incarnation that the table holds
	registering string
	reported    string // the incarnation that last answered

	raised    bool // has answered at this leader's epoch
	mark      int64
	markAt    time.Time
	leaseOver time.Time // when any lease that this leader knows of is over

	whole    ledger.Size
	account  *ledger.Worker
	made     ledger.Size // room made for urgent tasks that still wait, as of the last round
	runs     map[string]*wire.Run
	tasks    map[string]*task
	services []string
	guard    *interference.Guard
	samples  map[string]time.Time

	inFlight bool
	nextSync time.Time
	news     bool // has something to be told at once
}

func (w *worker) object() string { return "worker/" + w.name }

// worker finds or makes the record of a worker.
func (s *State) worker(name string) *worker {
	w := s.workers[name]
	if w == nil {
		w = &worker{name: name, guard: interference.NewGuard(s.model), samples: map[string]time.Time{}}
		w.newEpoch()
		w.forget()
		s.workers[name] = w
	}
	return w
}

// newEpoch drops what was known under an earlier epoch of this process.
func (w *worker) newEpoch() {
	w.registered = ""
	w.registering = ""
	w.reported = ""
	w.markAt = time.Time{}
	w.inFlight = false
	w.nextSync = time.Time{}
	w.leaseOver = time.Time{}
}

// forget drops what a load and the worker's next reply bring anew.
func (w *worker) forget() {
	w.raised = false
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
		if w.whole == (ledger.Size{}) {
			w.whole = ledger.FromWire(h.GetCapacity())
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

// syncRetry is how soon a worker that did not answer is asked again.
const syncRetry = 500 * time.Millisecond

func (s *State) takeSynced(now time.Time, e Synced) {
	w := s.workers[e.Worker]
	if w == nil || e.Epoch != s.lead.Epoch() {
		return
	}
	w.inFlight = false
	if e.Err != nil {
		w.nextSync = now.Add(syncRetry)
		return
	}
	if e.Reply.GetEpoch() > s.lead.Epoch() {
		s.lost(now, fmt.Sprintf("worker %s knows epoch %d", w.name, e.Reply.GetEpoch()))
		return
	}
	if s.phase != leading {
		w.mark, w.markAt = e.Reply.GetMark(), now
		return
	}
	s.takeReply(now, w, e.Reply)
}

func (s *State) takeReply(now time.Time, w *worker, r *wire.SyncReply) {
	if w.reported != r.GetIncarnation() {
		s.newIncarnation(now, w, r.GetIncarnation())
	}
	w.mark, w.markAt = r.GetMark(), now
	if r.GetRefused() {
		w.news = true
		return
	}
	if !w.raised {
		w.raised = true
		w.news = true
		left := time.Duration(r.GetLeaseUntilMark()-r.GetMark()) * time.Millisecond
		w.leaseOver = latest(w.leaseOver, now.Add(max(0, left)))
		s.note(now, w.object(), WorkerReached, fmt.Sprintf("epoch %d, incarnation %s", s.lead.Epoch(), w.reported))
	}
	w.whole = ledger.FromWire(r.GetCapacity())
	w.account.SetCapacity(w.whole, ledger.FromWire(r.GetServices()))
	s.takeRuns(now, w, r.GetRuns())
	s.takeSamples(now, w, r.GetSamples())
}

// newIncarnation handles a worker that has started afresh. All that ran on the
// incarnation before is over, for good. Nothing is granted to the new one until
// the table holds its name. In the model: Worker.reboot and Leader.register.
func (s *State) newIncarnation(now time.Time, w *worker, incarnation string) {
	w.reported = incarnation
	w.leaseOver = time.Time{}
	w.raised = false
	if s.unsafe.NoRegistration {
		w.registered = incarnation
	}
	if w.registered == incarnation {
		return
	}
	if w.registered != "" {
		s.note(now, w.object(), WorkerRestarted, incarnation)
	}
	w.account = ledger.NewWorker()
	w.runs = nil
	for _, t := range w.tasks {
		s.lose(now, t, true, w.name+" started afresh")
	}
	s.changed.workers[w.name] = true
}

// registered takes in that the table holds the worker's incarnation.
func (s *State) registered(now time.Time, name string) {
	w := s.workers[name]
	if w == nil {
		return
	}
	w.registered = w.registering
	w.news = true
	s.note(now, w.object(), WorkerRegistered, w.registered)
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
		if w.runs[t.name()] == nil && t.startSent && t.row.GetIncarnation() == w.registered {
			s.missing(now, w, t)
		}
	}
	s.releaseEnded(w)
}

func (s *State) takeRun(now time.Time, w *worker, name string, r *wire.Run) {
	t := w.tasks[r.GetTaskId()]
	current := t != nil && t.row.GetAttempt() == r.GetAttempt()
	if r.GetState() != wire.RunState_RUN_STATE_RUNNING {
		w.account.Release(name)
		w.news = true // it wants to hear that the end is recorded
		if current {
			s.ended(now, w, t, r)
		}
		return
	}
	w.account.Adopt(name, ledger.FromWire(r.GetSize()))
	if !current {
		w.news = true
		s.note(now, w.object(), TaskOutOfBounds, name)
		return
	}
	t.startSent = true
	t.lostAt = time.Time{}
	if !t.running {
		t.running = true
		t.runningAt = now
		s.note(now, t.object(), TaskRunning, w.name)
	}
}

// startTriesMost is how often a start is sent to a worker that answers and yet
// doesn't take it.
const startTriesMost = 3

// missing handles a start that the worker doesn't list. One that never ran is
// sent again: the worker refuses the earlier message by its sequence. One that
// ran and is gone was lost there, and so was one that the worker refuses again
// and again: it must have met that attempt before.
func (s *State) missing(now time.Time, w *worker, t *task) {
	t.startTries++
	if t.running || !t.lostAt.IsZero() || t.startTries > startTriesMost {
		w.account.Release(t.name())
		s.lose(now, t, true, w.name+" no longer has it")
		return
	}
	t.startSent = false
	if t.stop != notStopping {
		cause := t.stop
		t.stop = notStopping
		s.askStop(now, t, cause)
	}
}

// releaseEnded takes back bookings of attempts that neither run nor are to run.
func (s *State) releaseEnded(w *worker) {
	for _, name := range w.account.Names() {
		r := w.runs[name]
		if r.GetState() == wire.RunState_RUN_STATE_RUNNING {
			continue
		}
		if !s.wanted(w, name) {
			w.account.Release(name)
		}
	}
}

func (s *State) wanted(w *worker, name string) bool {
	for _, t := range w.tasks {
		if t.name() == name {
			return true
		}
	}
	return false
}

// ------------------------------------------------------------------- loss

// checkWorkers looks for workers whose lease is surely over.
func (s *State) checkWorkers(now time.Time) {
	for _, w := range s.workers {
		if len(w.tasks) == 0 || !s.leaseSurelyOver(now, w) {
			continue
		}
		s.loseWorker(now, w)
	}
}

// leaseSurelyOver says whether nothing granted to the worker, by this leader or
// an earlier one, can still be alive. In the model: Leader.giveup.
func (s *State) leaseSurelyOver(now time.Time, w *worker) bool {
	if !w.markAt.IsZero() && now.Sub(w.markAt) < s.fleet().Lease {
		return false // it answers
	}
	over := w.leaseOver
	if !w.raised && !s.unsafe.NoTenureWait {
		over = latest(over, s.lead.PredecessorsOver())
	}
	return now.After(over)
}

func (s *State) loseWorker(now time.Time, w *worker) {
	s.note(now, w.object(), WorkerLost, fmt.Sprintf("%d tasks", len(w.tasks)))
	w.account = ledger.NewWorker()
	w.runs = nil
	w.raised = false
	w.leaseOver = now
	for _, t := range w.tasks {
		if t.placed() {
			s.lose(now, t, false, w.name+" does not answer")
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
