package cell

import (
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
)

// Holding is how this cell holds a task.
type Holding string

// The holdings.
const (
	// HoldingUnknown: this process does not lead the cell, or does not know the job or the task.
	HoldingUnknown Holding = "unknown"
	// HoldingEnded: the job has ended here.
	HoldingEnded Holding = "job-ended"
	// HoldingDone: the task is done.
	HoldingDone Holding = "done"
	// HoldingDelegated: another cell runs the task.
	HoldingDelegated Holding = "delegated"
	// HoldingReturned: the task was delegated to this cell, which has returned it.
	HoldingReturned Holding = "returned"
	// HoldingElsewhere: the job was delegated to this cell, but never this task.
	HoldingElsewhere Holding = "never-delegated-here"
	// HoldingRunning: this cell knows a run of the task, or an order to start it.
	HoldingRunning Holding = "running"
	// HoldingNotReady: the task's occurrence is not due, or a step before it is not done.
	HoldingNotReady Holding = "not-ready"
	// HoldingHeldBack: the task waits for something other than a worker. The reason says for what.
	HoldingHeldBack Holding = "held-back"
	// HoldingWaiting: placement offers the task to workers.
	HoldingWaiting Holding = "waiting"
	// HoldingNotQueued: the task could start, but placement does not know of it. This must not occur.
	HoldingNotQueued Holding = "not-queued"
)

// Held says how this cell holds a task: the cell to which it is delegated, or the reason that holds it back.
type Held struct {
	Holding Holding
	Cell    string
	Reason  WaitReason
}

// HoldingOf returns how this cell holds a task. It is for checks, and no decision depends on it.
func (s *State) HoldingOf(now time.Time, task string) Held {
	id, ok := jobs.ParseTaskName(task)
	j := s.jobs[id.Job]
	if !ok || j == nil || !s.Leading() {
		return Held{Holding: HoldingUnknown}
	}
	if j.Ended() {
		return Held{Holding: HoldingEnded}
	}
	t := j.Task(id.Time, id.Step, id.Index)
	switch {
	case t == nil && j.NotYetDue(id):
		return Held{Holding: HoldingNotReady}
	case t == nil && j.Delegated():
		return Held{Holding: HoldingElsewhere}
	case t == nil:
		return Held{Holding: HoldingUnknown}
	case t.Done:
		return Held{Holding: HoldingDone}
	case t.DelegatedTo != "":
		return delegatedHolding(j, t)
	case len(t.Runs) > 0:
		return Held{Holding: HoldingRunning}
	case !t.Unit.Ready():
		return Held{Holding: HoldingNotReady}
	}
	if why, held := s.heldBackReason(now, t); held {
		return Held{Holding: HoldingHeldBack, Reason: why}
	}
	if _, waits := s.waitingUnits[t.Unit]; !waits {
		return Held{Holding: HoldingNotQueued}
	}
	return Held{Holding: HoldingWaiting}
}

// delegatedHolding returns how this cell holds a task that another cell has.
func delegatedHolding(j *jobs.Job, t *jobs.Task) Held {
	switch {
	case !j.Delegated():
		return Held{Holding: HoldingDelegated, Cell: t.DelegatedTo}
	case t.DelegatedTo == j.Spec.GetHome():
		return Held{Holding: HoldingReturned, Cell: t.DelegatedTo}
	}
	return Held{Holding: HoldingElsewhere}
}

// heldBackReason returns what a task without a run waits for other than a worker, and whether it waits for that. For a
// gang, one member that waits holds back all.
func (s *State) heldBackReason(now time.Time, t *jobs.Task) (WaitReason, bool) {
	members := []*jobs.Task{t}
	if t.Unit.Spec.GetGang() {
		members = t.Unit.Tasks
	}
	someMember := func(waits func(*jobs.Task) bool) bool { return slices.ContainsFunc(members, waits) }
	switch {
	case someMember(func(m *jobs.Task) bool { return !m.Settled }):
		return WaitUnsettled, true
	case someMember(func(m *jobs.Task) bool { _, awaits := s.verdicts[m]; return awaits }):
		return WaitCrashUnknown, true
	case someMember(func(m *jobs.Task) bool { return now.Before(m.RetryAt) }):
		return WaitRefused, true
	case someMember(func(m *jobs.Task) bool { return m.StartRecord == jobs.StartRecordWanted }):
		return WaitCrashUnrecorded, true
	}
	return "", false
}
