package workers

import (
	"context"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/ledger"
)

// Target names the incarnation of a worker to call, and its address.
type Target struct {
	ID string
	// Born identifies the incarnation; 0: any. An order for one incarnation never reaches
	// another one. Neither does the content of a poll: another incarnation answers it with
	// its own lists and changes nothing.
	Born    int64
	Address string
}

// Poll asks a worker for its active runs and its ends, and renews its lease.
type Poll struct {
	// Fence is the leader's epoch; a worker rejects calls with a lower one than it knows.
	Fence int64
	// Until is the end of the lease by the worker's clock; 0: the lease is not renewed.
	Until time.Duration
	// Recorded is the number of the newest end that is durable: the worker may drop the
	// ends up to it.
	Recorded int64
	// Wait is how long the worker may delay its answer until a run ends.
	Wait time.Duration
}

// Start orders a worker to start one run.
type Start struct {
	Fence int64
	Task  string
	Run   int64
	Body  string
	// Until is the end of the lease by the worker's clock. After it the worker refuses the
	// start (RefusedExpired).
	Until      time.Duration
	Checkpoint string
	Ticket     string
}

// Stop orders a worker to end one run.
type Stop struct {
	Fence int64
	Task  string
	Run   int64
}

// Pace sets the share of full speed, in percent, at which a run works.
type Pace struct {
	Fence   int64
	Task    string
	Run     int64
	Percent int
}

// Outcome is the outcome of a run, in the words of the worker's list.
type Outcome string

// The ends of runs.
const (
	EndedDone    Outcome = "done"
	EndedFailed  Outcome = "failed"
	EndedStopped Outcome = "stopped"
	EndedLapsed  Outcome = "lapsed"
	EndedBroken  Outcome = "broken"
	EndedAlone   Outcome = "alone"
)

// Active is one active run in a worker's list.
type Active struct {
	Task       string
	Run        int64
	Checkpoint string
	Percent    int
	// Reading is the fifth entry of the line: the tail latency in ms for a task with a
	// latency target, otherwise the millicores in use.
	Reading int64
}

// End is one ended run in a worker's list. Number counts the ends of an incarnation.
type End struct {
	Number     int64
	Task       string
	Run        int64
	Outcome    Outcome
	Checkpoint string
}

// Report is a worker's answer to a poll.
type Report struct {
	// Born is when the incarnation that answers started, in Unix ms; 0: not reported.
	Born   int64
	Clock  time.Duration
	Active []Active
	Ended  []End
	// Capacity is the capacity that the worker reports; nil: not reported.
	Capacity *ledger.Size
	// UnreadableLines is how many lines of both lists could not be parsed.
	UnreadableLines int
	// MoreEnds means that the list of ends is full: the worker may have later ends, which it lists once earlier ones are
	// acknowledged.
	MoreEnds bool
}

// Refusal is why a worker did not carry out a call, in the words of its answer.
type Refusal string

// The values of Refusal. NotRefused: the worker carried out the call.
const (
	NotRefused         Refusal = ""
	RefusedFence       Refusal = "fence"     // another leader's epoch is higher
	RefusedSuperseded  Refusal = "old"       // a run of the task with this or a higher number ended there
	RefusedExpired     Refusal = "late"      // the order's time limit (Until) was over
	RefusedNoCapacity  Refusal = "room"      // the run does not fit into the free capacity
	RefusedTicket      Refusal = "ticket"    // the ticket does not allow the run there
	RefusedOtherWorker Refusal = "life"      // a worker with another ID answers at the address
	RefusedRestarted   Refusal = "begun"     // not sent: the worker has restarted since
	RefusedBusy        Refusal = "busy"      // the worker is overloaded or unavailable and did nothing
	RefusedMalformed   Refusal = "malformed" // the worker can't parse the order
	RefusedNoSuchRun   Refusal = "missing"   // the worker has no such run
)

// Reply is a worker's answer to an order. Clock is the reading of its clock.
type Reply struct {
	Refusal Refusal
	Clock   time.Duration
}

// Caller sends calls to workers. After an error the order may have been carried out or may
// still be, unless the error's code is fault.NotRun.
type Caller interface {
	Poll(ctx context.Context, to Target, poll Poll) (Report, Refusal, error)
	Start(ctx context.Context, to Target, s Start) (Reply, error)
	Stop(ctx context.Context, to Target, s Stop) (Reply, error)
	Pace(ctx context.Context, to Target, p Pace) (Reply, error)
}

// Advisor asks the external service that decides which workers may run a step. Advise
// returns a ticket for each allowed worker, by worker ID.
type Advisor interface {
	Advise(ctx context.Context, step string, ids []string) (map[string]string, error)
}
