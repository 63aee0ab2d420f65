package workers

import (
	"context"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/ledger"
)

// Target names a worker for a call: the life that is meant, and where it is.
type Target struct {
	ID string
	// Born is the life; 0: any. Orders to one life never reach another, and neither does
	// what a look has to say to it: then the other one's lists are the answer.
	Born    int64
	Address string
}

// Poll asks a worker what runs and what has ended there, and renews its lease.
type Poll struct {
	// Fence is the leader's epoch; a worker does nothing for a lower one.
	Fence int64
	// Until is the end of the lease by the worker's clock; 0: no renewal.
	Until time.Duration
	// Recorded is the newest end that is durable: the worker may forget it.
	Recorded int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// Start orders one run.
type Start struct {
	Fence      int64
	Task       string
	Run        int64
	Body       string
	Until      time.Duration
	Checkpoint string
	Ticket     string
}

// Stop orders the end of one run.
type Stop struct {
	Fence int64
	Task  string
	Run   int64
}

// Pace sets the share in percent at which a run works.
type Pace struct {
	Fence   int64
	Task    string
	Run     int64
	Percent int
}

// How a run ended.
type How string

// The ends of runs.
const (
	EndedDone    How = "done"
	EndedFailed  How = "failed"
	EndedStopped How = "stopped"
	EndedLapsed  How = "lapsed"
	EndedBroken  How = "broken"
	EndedAlone   How = "alone"
)

// Active is one run as its worker lists it.
type Active struct {
	Task       string
	Run        int64
	Checkpoint string
	Percent    int
	// Reading is the fifth entry of the list: a tail latency in ms for tasks
	// with a target, else the millicores in use.
	Reading int64
}

// End is the end of one run as its worker lists it.
type End struct {
	Number     int64
	Task       string
	Run        int64
	How        How
	Checkpoint string
}

// Report is a worker's answer to a look.
type Report struct {
	// Born is when the life that answers began, in Unix ms; 0: it does not say.
	Born   int64
	Clock  time.Duration
	Active []Active
	Ended  []End
	// Room is what the worker says of its room, where it does.
	Room *ledger.Size
	// UnreadableLines is how many lines of both lists could not be read.
	UnreadableLines int
}

// Refusal is why a worker did not do as it was told.
type Refusal string

// The refusals. None means that it did.
const (
	NotRefused         Refusal = ""
	RefusedFence       Refusal = "fence"     // another leader's epoch is higher
	RefusedOld         Refusal = "old"       // not above a run that ended there
	RefusedLate        Refusal = "late"      // the order's limit was over
	RefusedRoom        Refusal = "room"      // it does not fit
	RefusedTicket      Refusal = "ticket"    // not allowed there
	RefusedIncarnation Refusal = "life"      // a worker of another id lives there
	RefusedRestarted   Refusal = "begun"     // not sent: the worker has started again since
	RefusedBusy        Refusal = "busy"      // unwell: it has done nothing
	RefusedMalformed   Refusal = "malformed" // it can't read the order
	RefusedMissing     Refusal = "missing"   // no such run there
)

// Reply is a worker's answer to an order.
type Reply struct {
	Refusal Refusal
	Clock   time.Duration
}

// Caller carries calls to workers. An error says that nobody knows whether the
// order was or will be carried out, unless its code is fault.NotRun.
type Caller interface {
	Poll(ctx context.Context, to Target, l Poll) (Report, Refusal, error)
	Start(ctx context.Context, to Target, s Start) (Reply, error)
	Stop(ctx context.Context, to Target, s Stop) (Reply, error)
	Pace(ctx context.Context, to Target, p Pace) (Reply, error)
}

// Advisor asks the outside service that knows which workers may run a step. It
// returns a ticket for each one that may.
type Advisor interface {
	Advise(ctx context.Context, step string, ids []string) (map[string]string, error)
}
