package jobs

import (
	"strconv"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/interference"
)

// RunState is how much is known of a run.
type RunState int

// The states of a run.
const (
	// Sent: ordered, and not answered yet. It counts as running.
	Sent RunState = iota
	// Unsure: the order got no answer. It may run, or start running later,
	// until the order's own limit is over by the worker's clock.
	Unsure
	// Running: the worker has said so.
	Running
	// Stopping: we asked the worker to end it. It counts until its end is seen.
	Stopping
	// Died: its worker has started again since. It counts until this process is known to have
	// led the cell after that: a later leader may have seen its end.
	Died
)

// PaceUnknown stands for the pace of a run that an earlier leader may have changed:
// workers do not list it.
const PaceUnknown = -1

// Run is one start of a task at one worker.
type Run struct {
	Task   *Task
	Number int64
	// Worker is the worker's id.
	Worker string
	State  RunState
	// SentAt is when the order was first sent, AckedAt when it was answered.
	SentAt  time.Time
	AckedAt time.Time
	// Tries counts how often the order was sent.
	Tries int
	// ValidUntil is the limit of the order, by the worker's clock: after it the
	// worker does not begin the run.
	ValidUntil time.Duration
	// Percent is the progress as the worker last told; ProgressAt is when it
	// last rose, BeganAt when the run was first seen to run.
	Percent    int
	ProgressAt time.Time
	BeganAt    time.Time
	// Tail is the tail latency of a lasting task's users; UsedMillicores what
	// another one uses. Both are rough and late.
	Tail           time.Duration
	UsedMillicores int64
	// LearnedTail is the tail that was last learned from, and LearnedAt when.
	LearnedTail time.Duration
	LearnedAt   time.Time
	// Pace is the share in percent at which the run works, as it was last told,
	// PaceWanted what it should be.
	Pace, PaceWanted int
	PaceSending      bool
	PacedAt          time.Time
	// OverTargetSince is since when the tail is above its target; zero: it is not.
	OverTargetSince time.Time
	// PausedAt is when it was last made to stand still for a tail that stayed over
	// its target.
	PausedAt time.Time
	// OwnLoad is what is believed of a serving task's own load.
	OwnLoad interference.OwnLoad
	// StopSentAt is when it was last asked to stop, and Why.
	StopSentAt time.Time
	// Resumed says that it went on from a checkpoint, or was found running: what it took is
	// not all that its task takes.
	Resumed    bool
	StopReason string
	Ticket     string
	// Isolated says that the run tries its task alone.
	Isolated bool
}

// TaskID is a task's name, taken apart.
type TaskID struct {
	Job               string
	Time, Step, Index int
}

// ParseTask reads a task's name as workers list it.
func ParseTask(name string) (TaskID, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, false
	}
	id := TaskID{Job: parts[0]}
	for i, at := range []*int{&id.Time, &id.Step, &id.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, false
		}
		*at = n
	}
	return id, true
}
