package jobs

import (
	"strconv"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/interference"
)

// RunState is the leader's knowledge of a run.
type RunState int

// Run states.
const (
	// Sent: the start order was sent and has not been answered. The run counts as running.
	Sent RunState = iota
	// Unanswered: the start order failed without an answer. The run may be running, or may begin until the worker's
	// clock passes the order's time limit.
	Unanswered
	// Running: the worker has reported the run.
	Running
	// Stopping: the leader has asked the worker to stop the run. The run counts as running until its end is
	// reported.
	Stopping
	// Died: the worker has restarted since. The run counts as running until this process is confirmed to have led
	// the cell after the restart, because a later leader may have observed its end.
	Died
)

// PaceUnknown is the pace of a run whose pace a predecessor may have changed. Workers do not list paces.
const PaceUnknown = -1

// Run is one start of a task at one worker.
type Run struct {
	Task   *Task
	Number int64
	// Worker is the worker's ID, At its incarnation.
	Worker string
	At     Incarnation
	State  RunState
	// SentAt is the time at which the start order was first sent, AckedAt the time of its answer.
	SentAt  time.Time
	AckedAt time.Time
	// Adopted says that an earlier leader started the run, so that its age is not known.
	Adopted bool
	// SendCount is the number of times the start order was sent.
	SendCount int
	// ValidUntil is the order's time limit on the worker's clock. The worker does not begin the run after it.
	ValidUntil time.Duration
	// Percent is the progress that the worker last reported. ProgressAt is the time of its last increase. BeganAt
	// is the time at which the run was first known to be running.
	Percent    int
	ProgressAt time.Time
	BeganAt    time.Time
	// BeganClock is the reading of the worker's clock by which the run was first known to be running, ListedClock the
	// last one at which the worker listed it as running. 0: there is none.
	BeganClock, ListedClock time.Duration
	// TailLatency is the last reported tail latency of a lasting task's requests. UsedMillicores is the CPU use of any
	// other task. Both are imprecise and delayed.
	TailLatency    time.Duration
	UsedMillicores int64
	// LearnedTail is the tail latency that the interference model last learned from, and LearnedAt the time of
	// that.
	LearnedTail time.Duration
	LearnedAt   time.Time
	// Pace is the share of full speed at which the run works, in percent, as the worker was last told. PaceWanted
	// is the share at which it should work.
	Pace, PaceWanted int
	PaceSending      bool
	PacedAt          time.Time
	// OverTargetSince is the time since which the tail latency has been above its target. It is zero while it is
	// not.
	OverTargetSince time.Time
	// PausedAt is the time at which the run was last paused because a neighbour's tail latency stayed above its
	// target.
	PausedAt time.Time
	// OwnLoad is the estimate of a serving task's own load.
	OwnLoad interference.OwnLoad
	// StopSentAt is the time of the last stop request, StopReason the reason for it.
	StopSentAt time.Time
	// Resumed is true if the run went on from a checkpoint, or was already running when this leader found it. The
	// duration of such a run is not the whole duration of its task.
	Resumed    bool
	StopReason string
	Ticket     string
	// Isolated is true for an isolated run.
	Isolated bool
}

// TaskID is a task's name in its parts: ID.TIME.STEP.INDEX.
type TaskID struct {
	Job               string
	Time, Step, Index int // Time is the number of the occurrence
}

// ParseTaskName parses a task's name, as workers list it. It returns false if the name is malformed.
func ParseTaskName(name string) (TaskID, bool) {
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
