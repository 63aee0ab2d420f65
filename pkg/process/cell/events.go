package cell

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/inventory"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Event is an input of a State.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// ManifestChanged carries a newer manifest.
type ManifestChanged struct{ Manifest *manifest.Manifest }

// EvacuationsChanged names the cells whose halls are evacuated now: no task may start at their workers.
type EvacuationsChanged struct{ Cells map[string]bool }

// BoundsChanged carries the limits on leases and on retention from changed settings.
type BoundsChanged struct{ Bounds Bounds }

// WorkersListed carries all workers of the cell that are in the worker registry.
type WorkersListed struct{ Records []workers.Record }

// LeadershipGained says that this process leads the cell from now on, in a new epoch.
type LeadershipGained struct {
	Epoch int64
	// LeasesEndAt is when the last lease expires that was granted by leaders known to have ended.
	LeasesEndAt time.Time
	// Predecessors are the earlier leaders that are not known to have ended, by incarnation, with the
	// time at which the last lease that each could grant expires.
	Predecessors map[string]time.Time
	// MembersKnownAt is a time by which the predecessor had written the membership; zero: not known.
	MembersKnownAt time.Time
}

// LeadershipConfirmed says that a renewal of the leadership took effect which this process sent at SentAt. It still led
// the cell then, so no later leader can have granted anything before SentAt. Until is when this process must
// stop without another renewal; zero: no limit.
type LeadershipConfirmed struct{ SentAt, Until time.Time }

// PredecessorEnded says that a leader of an earlier epoch grants no more leases: it has said so, or its
// process has ended.
type PredecessorEnded struct {
	// Epoch is the epoch of this process's leadership.
	Epoch int64
	// Holder is the incarnation of the earlier leader.
	Holder string
	// Grants are the remaining times of leases that it granted, by worker, if GrantsKnown is set. SameProcess says
	// that it was an earlier leadership of this process.
	Grants                   map[string]time.Duration
	GrantsKnown, SameProcess bool
	// EndedAt is a time since which it has granted nothing, because a later process runs in its place; zero: unknown.
	EndedAt time.Time
}

// LeadershipLost says that this process no longer leads the cell.
type LeadershipLost struct{ Why string }

// MembershipRecorded says which workers the cell's membership row in the table now names.
type MembershipRecorded struct{ IDs []string }

// LoadedJob is one job as it was read from the table.
type LoadedJob struct {
	Spec     *wire.JobSpec
	Progress *wire.JobProgress
	// Recorded is the version of the progress row; 0 if there is none.
	Recorded int64
}

// Loaded carries the cell's rows, read after this leader's fence was written in every part.
type Loaded struct {
	Epoch int64
	// Members are the entries of the membership row: the workers that may hold runs of earlier leaders. They are
	// read after this epoch began.
	Members []*wire.RosterEntry
	Jobs    []LoadedJob
	// Cancels are the ids of jobs to cancel.
	Cancels []string
	// Returned are reports of other cells on tasks that were delegated to them.
	Returned []*wire.ReturnedTasks
	// Fences are the versions of the fence rows by part.
	Fences map[string]int64
	// Wall is the time of day, by which occurrences of repeating jobs fall due.
	Wall time.Time
	// StoreNow is the table service's clock at the time of the event.
	StoreNow time.Duration
}

// JobAccepted carries a job whose specification is in the table.
type JobAccepted struct {
	Spec     *wire.JobSpec
	StoreNow time.Duration
}

// CancelRequested carries the id of a job whose cancel is in the table.
type CancelRequested struct{ ID string }

// CancelRemoved carries the id of a job whose cancel has been removed from the cell's table of cancels.
type CancelRemoved struct{ ID string }

// TasksReturned carries another cell's report, already in the table, on tasks that were delegated to it.
type TasksReturned struct{ Tasks *wire.ReturnedTasks }

// PollAnswered is the outcome of a poll of a worker.
type PollAnswered struct {
	Worker  string
	SentAt  time.Time
	Report  workers.Report
	Refusal workers.Refusal
	Err     error
	// Lag is for how much of the time since SentAt this process had no processor. It is measured only while start orders are in
	// flight.
	Lag time.Duration
	// Late means that the poll has been reported as failed before.
	Late bool
}

// InventoryRead is the outcome of a reading of the platform's inventory, also of one that another cell of this process
// has asked for.
type InventoryRead struct {
	List inventory.List
	Err  error
}

// StartAnswered is the outcome of a start order.
type StartAnswered struct {
	Worker string
	Task   string
	Run    int64
	Reply  workers.Reply
	Err    error
	// RoundTrip is how long the call took, Lag for how much of that this process had no processor. Bytes is the size of
	// the order, as in SendStart.
	RoundTrip, Lag time.Duration
	Bytes          int
}

// StopAnswered is the outcome of a stop order.
type StopAnswered struct {
	Worker string
	Reply  workers.Reply
	Err    error
}

// PaceAnswered is the outcome of a pace order.
type PaceAnswered struct {
	Worker  string
	Task    string
	Run     int64
	Percent int
	Reply   workers.Reply
	Err     error
}

// WriteAnswered is the outcome of a transaction in one part of the table.
type WriteAnswered struct {
	Part      string
	Serial    int64
	Committed table.CommitResult
	Err       error
}

// PeerLoad carries a load message of the leader of another cell.
type PeerLoad struct{ Load *wire.CellLoad }

// ReleaseRequested asks the leader to hand the cell over. The leader starts no more runs.
type ReleaseRequested struct{}

func (Tick) event()                {}
func (ManifestChanged) event()     {}
func (EvacuationsChanged) event()  {}
func (BoundsChanged) event()       {}
func (WorkersListed) event()       {}
func (LeadershipGained) event()    {}
func (LeadershipLost) event()      {}
func (PredecessorEnded) event()    {}
func (LeadershipConfirmed) event() {}
func (MembershipRecorded) event()  {}
func (Loaded) event()              {}
func (JobAccepted) event()         {}
func (CancelRequested) event()     {}
func (CancelRemoved) event()       {}
func (TasksReturned) event()       {}
func (PollAnswered) event()        {}
func (InventoryRead) event()       {}
func (StartAnswered) event()       {}
func (StopAnswered) event()        {}
func (PaceAnswered) event()        {}
func (WriteAnswered) event()       {}
func (ReleaseRequested) event()    {}
func (PeerLoad) event()            {}

// Effect is an action that a State asks its caller to carry out.
type Effect interface{ effect() }

// Load asks to write the fences of an epoch and then read the cell's rows. The answer is Loaded.
type Load struct{ Epoch int64 }

// SendPoll asks to poll a worker. The answer is PollAnswered.
type SendPoll struct {
	To   workers.Target
	Poll workers.Poll
	// Timeout is how long to wait for the answer. It includes the poll's own wait.
	Timeout time.Duration
}

// ReadInventory asks to read the platform's inventory. The answer is InventoryRead.
type ReadInventory struct{}

// SendStart asks to send a start order. The answer is always a StartAnswered, also if the call fails.
type SendStart struct {
	To      workers.Target
	Start   workers.Start
	Timeout time.Duration
	// Bytes is the size of the order, as counted in the window of bytes in flight.
	Bytes int
}

// SendStop asks to send a stop order. The answer is StopAnswered.
type SendStop struct {
	To      workers.Target
	Stop    workers.Stop
	Timeout time.Duration
}

// SendPace asks to send a pace order. The answer is PaceAnswered.
type SendPace struct {
	To      workers.Target
	Pace    workers.Pace
	Timeout time.Duration
}

// WriteProgress asks to commit a transaction with the progress of jobs. The answer is WriteAnswered.
type WriteProgress struct {
	Part        string
	Serial      int64
	Transaction table.Transaction
}

// NotifyLeader asks to notify the leader of another cell of a row that is in the table: tasks that are delegated
// to its cell, a report on tasks that its cell has delegated, or the cancel of a job of which its cell has
// tasks. The leader follows the table anyway; the notification is only faster.
type NotifyLeader struct {
	Cell      string
	Delegated *wire.JobSpec
	Returned  *wire.ReturnedTasks
	Cancelled string
}

// StepDown says that this process must stop leading the cell, and why.
type StepDown struct{ Why string }

// Note is a log line: one decision, with the information that it is based on.
type Note struct {
	Kind   NoteKind
	Job    string
	Task   string
	Run    int64
	Worker string
	// Detail gives more facts as text.
	Detail string
	// AgeMs is in ms the age of the information, or another time that Notes names for this kind; -1: none.
	AgeMs int64
	Code  fault.Code
	// Reason is why a lasting task waits. FitsHere and FitsElsewhere are how often it fits into the
	// free capacity of this cell's workers and of other cells.
	Reason                  WaitReason
	FitsHere, FitsElsewhere int64
	// Worker is then the worker that the task waits for, if there is one: a member that has not answered, or one kept for an
	// isolated run. Left is the longest time for which it still waits for that worker, KeptFor the task of that run.
	Left    time.Duration
	KeptFor string
}

func (Load) effect()          {}
func (SendPoll) effect()      {}
func (ReadInventory) effect() {}
func (SendStart) effect()     {}
func (SendStop) effect()      {}
func (SendPace) effect()      {}
func (WriteProgress) effect() {}
func (NotifyLeader) effect()  {}
func (StepDown) effect()      {}
func (Note) effect()          {}
