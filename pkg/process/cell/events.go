package cell

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Event is something that a State takes in.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// ManifestChanged brings a newer manifest.
type ManifestChanged struct{ Manifest *manifest.Manifest }

// BoundsChanged brings other bounds from the settings.
type BoundsChanged struct{ Bounds Bounds }

// WorkersListed brings all workers of the cell that the list holds.
type WorkersListed struct{ Records []workers.Record }

// Led says that this process leads the cell from now on.
type Led struct {
	Epoch int64
	// RosterUntil is when the last lease of leaders that are known to be over is over.
	RosterUntil time.Time
	// Predecessors are leaders that are not known to be over, by their incarnations' names, and when
	// the last lease that each could grant is over.
	Predecessors map[string]time.Time
}

// Confirmed says that this process still led the cell when it sent a renewal
// that took effect. Nobody else can have granted anything before that moment. Until is how long this
// process may go on without another one; the zero time: it is not bounded.
type Confirmed struct{ At, Until time.Time }

// PredecessorOver says that a leader before this epoch grants nothing more:
// it has said so, or its process is over.
type PredecessorOver struct {
	Epoch  int64
	Holder string
	// Grants are the leases of its own that may go on, by worker, where GrantsKnown; Own says that it was an earlier
	// leadership of this process.
	Grants           map[string]time.Duration
	GrantsKnown, Own bool
	// Since is from when on it has granted nothing, as a later process runs in its place; the zero time: not known.
	Since time.Time
}

// Deposed says that it no longer does.
type Deposed struct{ Why string }

// RosterRecorded says which workers the cell's roster in the table now names.
type RosterRecorded struct{ IDs []string }

// LoadedJob is one job as it was read from the table.
type LoadedJob struct {
	Spec     *wire.JobSpec
	Progress *wire.JobProgress
	Recorded int64
}

// Loaded brings what the table holds of the cell, read after its fences were
// put in every part.
type Loaded struct {
	Epoch int64
	// Roster are the workers that may hold runs of earlier leaders, read after this
	// epoch began.
	Roster  []*wire.RosterEntry
	Jobs    []LoadedJob
	Cancels []string
	// Returned are the tasks that other cells have given back.
	Returned []*wire.ReturnedTasks
	// Fences are the versions of the fence rows by part.
	Fences map[string]int64
	// Wall is the time of day, for jobs with times.
	Wall time.Time
	// StoreNow is the store's clock at the time of the event.
	StoreNow time.Duration
}

// Accepted brings a job that stands in the table.
type Accepted struct {
	Spec     *wire.JobSpec
	StoreNow time.Duration
}

// CancelAsked brings a cancel that stands in the table.
type CancelAsked struct{ ID string }

// Returned brings tasks that another cell gives back; they stand in the table.
type Returned struct{ Tasks *wire.ReturnedTasks }

// Looked is the outcome of a look at a worker.
type Looked struct {
	Worker  string
	SentAt  time.Time
	Report  workers.Report
	Refusal workers.Refusal
	Err     error
}

// Started is the outcome of an order to start.
type Started struct {
	Worker string
	Task   string
	Run    int64
	Reply  workers.Reply
	Err    error
	// Took is how long the call took, Bytes what its order counted for.
	Took  time.Duration
	Bytes int
}

// StopAnswered is the outcome of an order to stop.
type StopAnswered struct {
	Worker string
	Reply  workers.Reply
	Err    error
}

// PaceAnswered is the outcome of an order to pace.
type PaceAnswered struct {
	Worker  string
	Task    string
	Run     int64
	Percent int
	Reply   workers.Reply
	Err     error
}

// RecordAnswered is the outcome of writing progress in one part.
type RecordAnswered struct {
	Part      string
	Serial    int64
	Committed table.Committed
	Err       error
}

// OtherLoad is what the leader of another cell tells of it.
type OtherLoad struct{ Load *wire.CellLoad }

// Release asks the leader to hand the cell over: it starts nothing more.
type Release struct{}

func (Tick) event()            {}
func (ManifestChanged) event() {}
func (BoundsChanged) event()   {}
func (WorkersListed) event()   {}
func (Led) event()             {}
func (Deposed) event()         {}
func (PredecessorOver) event() {}
func (Confirmed) event()       {}
func (RosterRecorded) event()  {}
func (Loaded) event()          {}
func (Accepted) event()        {}
func (CancelAsked) event()     {}
func (Returned) event()        {}
func (Looked) event()          {}
func (Started) event()         {}
func (StopAnswered) event()    {}
func (PaceAnswered) event()    {}
func (RecordAnswered) event()  {}
func (Release) event()         {}
func (OtherLoad) event()       {}

// Effect is something that a State wants done.
type Effect interface{ effect() }

// Load asks for the fences to be put and the cell's rows to be read; Loaded
// answers.
type Load struct{ Epoch int64 }

// SendLook asks for a look at a worker; Looked answers.
type SendLook struct {
	To   workers.Target
	Look workers.Look
	// Timeout is how long to wait for the answer, the look's own wait included.
	Timeout time.Duration
}

// SendStart asks for an order to start; Started answers, in any case.
type SendStart struct {
	To      workers.Target
	Start   workers.Start
	Timeout time.Duration
	// Bytes is what the order counts for on the way.
	Bytes int
}

// SendStop asks for an order to stop; StopAnswered answers.
type SendStop struct {
	To      workers.Target
	Stop    workers.Stop
	Timeout time.Duration
}

// SendPace asks for an order to pace; PaceAnswered answers.
type SendPace struct {
	To      workers.Target
	Pace    workers.Pace
	Timeout time.Duration
}

// Record asks for progress to be written; RecordAnswered answers.
type Record struct {
	Part        string
	Serial      int64
	Transaction table.Transaction
}

// Tell asks for word to the leader of another cell of what stands in the table by now:
// tasks that it is lent, what became of tasks that it has lent, or the end of a job of
// which it has tasks. It is only faster than the table, which that leader follows.
type Tell struct {
	Cell      string
	Lent      *wire.JobSpec
	Returned  *wire.ReturnedTasks
	Cancelled string
}

// StepDown says that another leader was found to be in charge.
type StepDown struct{ Why string }

// Note is a line for the log: one decision and what it was made from.
type Note struct {
	What   What
	Job    string
	Task   string
	Run    int64
	Worker string
	// Detail is what else decided, in words and figures.
	Detail string
	// AgeMs is how old the information was, where that matters; -1: it has none.
	AgeMs int64
	Code  fault.Code
	// Reason is why a lasting task waits, and how often it fits into the free capacity of this
	// cell's workers and of other cells.
	Reason                  WaitReason
	FitsHere, FitsElsewhere int64
}

func (Load) effect()      {}
func (SendLook) effect()  {}
func (SendStart) effect() {}
func (SendStop) effect()  {}
func (SendPace) effect()  {}
func (Record) effect()    {}
func (Tell) effect()      {}
func (StepDown) effect()  {}
func (Note) effect()      {}
