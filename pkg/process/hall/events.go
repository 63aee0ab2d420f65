package hall

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/version/settings"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// ----------------------------------------------------------------- events

// Event is an input of State.Step: the answer to an effect, new settings or
// hosts, a tick of the clock, or a planned stop.
type Event interface{ event() }

// Tick makes the State do all that is due at the time of the step.
type Tick struct{}

// SettingsChanged carries a newly accepted version of the settings.
type SettingsChanged struct{ Tree *settings.Tree }

// HostsListed carries the platform's list of hosts, which may be out of date.
type HostsListed struct{ Hosts []*wire.Host }

// LeaderRead is the answer to a ReadLeader. SentAt is the time when the request
// was sent; an absent row has revision 0.
type LeaderRead struct {
	SentAt   time.Time
	Row      *wire.LeaderRow
	Revision int64
	Err      error
}

// JobAtRevision is a job row with its revision.
type JobAtRevision struct {
	Row      *wire.JobRow
	Revision int64
}

// Loaded is the answer to a Load: all task rows of this hall, the rows of their
// jobs, and the rows of its workers, with their registered incarnations.
type Loaded struct {
	Tasks   []*wire.TaskRow
	Jobs    []JobAtRevision
	Workers []*wire.WorkerRow
	Err     error
}

// InboxItem is an inbox row with the row of its job.
type InboxItem struct {
	Key      string
	Revision int64
	Row      *wire.InboxRow
	Job      JobAtRevision
}

// InboxRead is the answer to a ReadInbox: the rows in the inbox of this hall, or
// of another hall, whose leader may not have read it for a while.
type InboxRead struct {
	Hall  string
	Items []InboxItem
	Err   error
}

// Committed is the answer to a Commit. With an Err, it is unknown whether the
// transaction took effect.
type Committed struct {
	ID        int64
	SentAt    time.Time
	Revision  int64
	Conflicts []string
	Err       error
}

// Synced is the answer to a Sync. With an Err, it is unknown whether the worker
// handled the message.
type Synced struct {
	Worker   string
	Epoch    int64
	Sequence int64
	Reply    *wire.SyncReply
	Err      error
}

// Drain begins a planned stop, in which the leadership is released.
type Drain struct{}

func (Tick) event()            {}
func (SettingsChanged) event() {}
func (HostsListed) event()     {}
func (LeaderRead) event()      {}
func (Loaded) event()          {}
func (InboxRead) event()       {}
func (Committed) event()       {}
func (Synced) event()          {}
func (Drain) event()           {}

// ---------------------------------------------------------------- effects

// Effect is a request of State.Step to its caller. One event answers each effect
// but Note.
type Effect interface{ effect() }

// Commit asks for one transaction on the table.
type Commit struct {
	ID      int64
	Request *wire.CommitRequest
}

// ReadLeader asks for the hall's leader row.
type ReadLeader struct{}

// Load asks for the rows of the hall's tasks, of their jobs, and of its workers.
type Load struct{}

// ReadInbox asks for the rows in a hall's inbox.
type ReadInbox struct{ Hall string }

// Sync sends one message to a worker.
type Sync struct {
	Worker  string
	Address string
	Request *wire.SyncRequest
}

// Note reports a decision, for the counters, the log and "explain".
type Note struct{ Fact Fact }

func (Commit) effect()     {}
func (ReadLeader) effect() {}
func (Load) effect()       {}
func (ReadInbox) effect()  {}
func (Sync) effect()       {}
func (Note) effect()       {}
