// Package hall schedules the work of one hall: it elects the leader, places tasks on workers,
// and handles lost workers.
//
// One thread of package control owns a State and feeds it events. Each Step returns effects,
// which the caller carries out and answers with more events. Comments that say "In the model"
// name the step of model/lease.pml that the code implements.
//
// The package does no I/O, reads no clock and starts no goroutine, so a test can produce
// every failure by events alone.
package hall

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/wrenferry/wrenferry/pkg/process/interference"
	"github.com/wrenferry/wrenferry/pkg/process/leadership"
	"github.com/wrenferry/wrenferry/pkg/process/quarantine"
	"github.com/wrenferry/wrenferry/pkg/version/settings"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// phase is the stage of leadership that this process has reached.
type phase int

const (
	// following: another process leads, or none does.
	following phase = iota
	// loading: this process leads and reads the hall's rows from the table.
	loading
	// leading: this process leads and has the whole state in memory.
	leading
)

// State is the control state of one hall. It is not safe for concurrent use:
// one thread owns it.
type State struct {
	hall       string
	leadership leadership.Leadership
	phase      phase
	tree       *settings.Tree
	draining   bool
	otherHalls []string

	tasks     map[string]*task
	jobs      map[string]*job
	workers   map[string]*worker
	unwritten changes

	pending      *pendingCommit
	nextCommit   int64
	lastCommitAt time.Time
	sequence     int64
	// longestLease is the longest lease granted in this epoch.
	longestLease time.Duration
	reads        tableReads

	model      *interference.Model
	quarantine *quarantine.Tracker
	facts      *lru.Cache[string, []Fact]
	outbox     []Effect

	unsafe Unsafe
}

// tableReads records which reads of the table await their answer, and when the
// next read of each kind is due.
type tableReads struct {
	leaderPending  bool
	nextLeaderRead time.Time
	loadPending    bool
	nextLoad       time.Time
	inboxPending   bool
	nextInboxRead  time.Time
	foreignSince   map[string]time.Time // first read of each row in another hall's inbox, by key
	inboxReads     int                  // reads of any inbox by this process
}

// Unsafe disables safety checks, one per field, so that a test can show that
// each check is needed. A daemon sets a field only when its command line asks
// for that field explicitly.
type Unsafe struct {
	// NoTenureWait requeues the tasks of an unreachable worker at once.
	NoTenureWait bool
	// NoRegistration grants work to any incarnation of a worker.
	NoRegistration bool
	// NoLedger places tasks whether or not there is enough capacity.
	NoLedger bool
	// NoRecorded tells workers to forget results before they are recorded.
	NoRecorded bool
	// RepeatAll treats every task as repeatable.
	RepeatAll bool
}

// Option configures a State that New creates.
type Option func(*State)

// WithUnsafe disables safety checks, for tests.
func WithUnsafe(u Unsafe) Option { return func(s *State) { s.unsafe = u } }

// maxFactObjects and maxFactsPerObject bound the facts kept for "explain".
const (
	maxFactObjects    = 8192
	maxFactsPerObject = 32
)

// New returns the State of a process that has read nothing yet. The holder is
// the name that the process writes into the leader row; it must differ for each
// start of each process.
func New(hall, holder, address string, options ...Option) *State {
	facts, _ := lru.New[string, []Fact](maxFactObjects) // fails for a negative size only
	s := &State{
		hall:       hall,
		leadership: leadership.New(hall, holder, address),
		workers:    map[string]*worker{},
		model:      interference.NewModel(),
		quarantine: quarantine.New(),
		facts:      facts,
	}
	s.clearLoaded()
	for _, o := range options {
		o(s)
	}
	return s
}

// clearLoaded drops the state that a load reads from the table again.
func (s *State) clearLoaded() {
	s.tasks = map[string]*task{}
	s.jobs = map[string]*job{}
	s.unwritten = newChanges()
	s.reads.foreignSince = map[string]time.Time{}
	for _, w := range s.workers {
		w.clearLoaded()
	}
}

// Step applies one event at the time now and returns the effects to carry out.
// Decisions follow at the next Tick, or at once after a Committed event:
// scanning all workers and tasks after each worker's reply would make the cost
// grow with the square of their number.
//
// Data flows one way:
//
//	event -> leadership.go (leadership) or inbox.go (new work) or workers.go (replies)
//	      -> tasks.go (transitions) -> place.go (placement, eviction)
//	      -> commit.go (one group commit) and sync.go (messages to workers)
func (s *State) Step(now time.Time, e Event) []Effect {
	s.outbox = nil
	s.take(now, e)
	switch e.(type) {
	case Tick, Committed:
		s.advance(now)
	}
	return s.outbox
}

// take applies an event to the state.
func (s *State) take(now time.Time, e Event) {
	switch e := e.(type) {
	case Tick:
	case SettingsChanged:
		s.tree = e.Tree
	case HostsListed:
		s.takeHosts(e.Hosts)
	case LeaderRead:
		s.takeLeader(now, e)
	case Loaded:
		s.takeLoaded(now, e)
	case InboxRead:
		s.takeInbox(now, e)
	case Committed:
		s.takeCommitted(now, e)
	case Synced:
		s.takeSynced(now, e)
	case Drain:
		s.draining = true
	}
}

// advance does all that is due. The order matters: lost workers are found
// before tasks are placed, and placements are decided before they are committed
// and sent.
func (s *State) advance(now time.Time) {
	if s.tree == nil {
		return
	}
	s.advanceLeadership(now)
	if s.phase == leading {
		s.loseExpiredWorkers(now)
		s.place(now)
		s.commit(now)
	}
	if s.leadership.Role() == leadership.Leader {
		s.syncWorkers(now)
	}
}

// emit adds an effect to those that the current Step returns.
func (s *State) emit(e Effect) { s.outbox = append(s.outbox, e) }

// note records a decision under its object, for "explain". A repetition of the
// object's last fact is dropped.
func (s *State) note(now time.Time, object string, reason Reason, detail string) {
	f := Fact{At: now, Object: object, Reason: reason, Detail: detail}
	known, _ := s.facts.Get(object)
	if n := len(known); n > 0 && known[n-1].Reason == reason && known[n-1].Detail == detail {
		return
	}
	if len(known) >= maxFactsPerObject {
		known = known[1:]
	}
	s.facts.Add(object, append(known[:len(known):len(known)], f))
	s.emit(Note{Fact: f})
}

// fleet returns the fleet-wide settings, which stand at the root of the tree.
func (s *State) fleet() settings.RootSettings { return s.tree.RootSettings() }

// -------------------------------------------------------------- accessors

// Leading reports whether this process leads the hall and has loaded its state.
func (s *State) Leading() bool { return s.phase == leading }

// Leader returns the leader row that was read last.
func (s *State) Leader() *wire.LeaderRow { return s.leadership.Row() }

// DrainComplete reports whether a planned stop is complete: it was requested, and
// this process certainly no longer holds the leadership.
func (s *State) DrainComplete() bool {
	return s.draining && s.leadership.Role() == leadership.Follower
}

// Counts is the summary of a hall on the status page.
type Counts struct {
	Waiting, Placed, Running, Jobs, Workers, Reached, Aside int
	// Unwritten is the number of tasks whose newest state the table does not hold yet.
	Unwritten int
}

// Counts returns the summary.
func (s *State) Counts() Counts {
	c := Counts{Jobs: len(s.jobs), Workers: len(s.workers)}
	for _, t := range s.tasks {
		switch {
		case t.waiting():
			c.Waiting++
		case t.running:
			c.Running++
		case t.placed():
			c.Placed++
		}
	}
	for name, w := range s.workers {
		if w.reached {
			c.Reached++
		}
		if s.quarantine.Quarantined(name) {
			c.Aside++
		}
	}
	return c
}
