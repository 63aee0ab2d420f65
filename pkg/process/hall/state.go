// Package hall is the scheduler of one hall: who leads it, what runs where, and what happens
// next.
//
// One thread of package control owns a State and feeds it events; each Step returns effects,
// which others carry out and answer with more events. What the model calls a step is named
// in the comments: see model/lease.pml.
//
// It does no I/O, reads no clock and starts no goroutine, so every failure can be brought
// about in a test by the events alone.
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

// phase is how far a leader has got.
type phase int

const (
	// following: not the leader.
	following phase = iota
	// loading: the leader, reading the table.
	loading
	// leading: the leader, with the whole state in memory.
	leading
)

// State is the control state of one hall. It belongs to one thread.
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
	// longestLease is the longest that was granted in this epoch.
	longestLease time.Duration
	reads        tableReads

	model      *interference.Model
	quarantine *quarantine.Record
	facts      *lru.Cache[string, []Fact]
	outbox     []Effect

	unsafe Unsafe
}

// tableReads remembers which questions to the table are under way, and when the
// next one is due.
type tableReads struct {
	leaderPending  bool
	nextLeaderRead time.Time
	loadPending    bool
	nextLoad       time.Time
	inboxPending   bool
	nextInboxRead  time.Time
	foreignSince   map[string]time.Time
	inboxReads     int
}

// Unsafe takes out one fence each. It exists so that a test can show that the
// fence is needed; a daemon never sets it unless it is told to in so many words
// on its command line.
type Unsafe struct {
	// NoTenureWait requeues the tasks of an unreachable worker at once.
	NoTenureWait bool
	// NoRegistration grants work to any incarnation of a worker.
	NoRegistration bool
	// NoLedger places tasks whether or not there is room.
	NoLedger bool
	// NoRecorded tells workers to forget results before they are recorded.
	NoRecorded bool
	// RepeatAll treats every task as repeatable.
	RepeatAll bool
}

// Option changes how a State is made.
type Option func(*State)

// WithUnsafe takes fences out, for tests.
func WithUnsafe(u Unsafe) Option { return func(s *State) { s.unsafe = u } }

// factObjects and factsEach bound what is kept for "explain".
const (
	maxFactObjects    = 8192
	maxFactsPerObject = 32
)

// New returns the state of a process that knows nothing yet. The holder must
// be different for each start of each process.
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

// clearLoaded drops everything that a load brings anew.
func (s *State) clearLoaded() {
	s.tasks = map[string]*task{}
	s.jobs = map[string]*job{}
	s.unwritten = newChanges()
	s.reads.foreignSince = map[string]time.Time{}
	for _, w := range s.workers {
		w.clearLoaded()
	}
}

// Step takes in one event at the time now and returns what is to be done. What
// follows from it is decided at the next Tick, or at once when a commit has been
// answered: a look at all workers and tasks after each worker's answer would
// make the cost grow with the square of their number.
//
// Data flows one way:
//
//	event -> lead.go (leadership) or inbox.go (new work) or workers.go (replies)
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

// advance does all that has become due. Its order matters: what was lost is
// known before places are chosen, and choices are made before they are
// committed and sent.
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

func (s *State) emit(e Effect) { s.outbox = append(s.outbox, e) }

// note records a decision under the object that it is about.
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

// fleet returns the settings of the root.
func (s *State) fleet() settings.Fleet { return s.tree.Fleet() }

// --------------------------------------------------------------- readings

// Leading says whether this process leads the hall and has loaded its state.
func (s *State) Leading() bool { return s.phase == leading }

// Leader returns the leader row last seen.
func (s *State) Leader() *wire.LeaderRow { return s.leadership.Row() }

// Released says whether a planned stop may end: the leadership, if it was
// held, has been given up for sure.
func (s *State) Released() bool {
	return s.draining && s.leadership.Role() == leadership.Follower
}

// Counts is a summary for the status page.
type Counts struct {
	Waiting, Placed, Running, Jobs, Workers, Reached, Aside int
	// Unwritten counts tasks whose newest state the table does not hold yet.
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
		if s.quarantine.Aside(name) {
			c.Aside++
		}
	}
	return c
}
