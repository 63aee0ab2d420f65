// Package jobs answers one question: which tasks of which jobs may start now?
//
// A job has steps, a step has tasks that are alike. A step waits for the steps
// that it comes after; a job that repeats runs its steps once for each of its
// times. A step at one time is a Unit here. Nothing in this package knows
// workers or makes calls; times are arguments. Data flows one way: a
// specification and, after a takeover, recorded progress come in; ends of runs
// change tasks; the progress to record goes out.
package jobs

import (
	"strconv"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Job is one accepted job. It belongs to one thread.
type Job struct {
	Spec *wire.JobSpec
	// Phase is what callers are told once the record that says so is durable.
	Phase wire.JobPhase
	// Recorded is the version of the progress row; 0 before the first.
	Recorded int64
	// Durable is the phase that the progress row holds.
	Durable wire.JobPhase
	// AcceptedAt is the local reading of the steady clock when it was accepted.
	AcceptedAt time.Time
	// EndedAt is when its last phase was decided.
	EndedAt time.Time
	Reason  string
	// Begun says that a task has started at some time.
	Begun bool
	// CancelRequested says that its caller has asked for its end: rows of that stand in the table.
	CancelRequested bool
	Units           []*Unit

	times int
	// targetCells are the cells that have had tasks of the job.
	targetCells map[string]bool
	// chains are the longest chains of estimated work from each step on, as of chainsAt.
	chains   []time.Duration
	chainsAt time.Time
}

// Unit is one step at one of the job's times.
type Unit struct {
	Job   *Job
	Time  int
	Step  int
	Spec  *wire.StepSpec
	Tasks []*Task
	Size  ledger.Size
	// FailedAt are workers where runs of the unit failed. Failures at several of
	// them speak against the unit, not the workers.
	FailedAt map[string]bool

	// ReadyAt is since when tasks of it want a start.
	ReadyAt time.Time
	// Outlook is what the unit's job could still earn when it was last placed.
	Outlook Outlook
	// WaitLoggedAt is when the log last said why they wait.
	WaitLoggedAt time.Time

	done int
	name string
	// gangFailures are run numbers of a gang that ended in failure.
	gangFailures map[int64]bool
}

// Task is one task. It runs at most once at a time, unless its step allows
// copies.
type Task struct {
	Unit  *Unit
	Index int
	Done  bool
	// Settled is false while the task may run at a worker that has not yet been
	// heard since the cell changed its leader.
	Settled bool
	// Checkpoint is the newest that is known; empty: from the start.
	Checkpoint string
	FailedRuns []int64
	// FailedElsewhere is how many of its runs have ended in failure in other cells.
	FailedElsewhere int
	// Crashes are held against the task: workers crashed under it. Trial is how far the record is
	// that it may be tried alone.
	Crashes   []poisontask.Crash
	Isolation IsolationState
	level     poisontask.Level
	// IsolationWaived says that its next run need not be isolated, though it is to be tried; IsolatedSince is since when
	// it has waited for one that is.
	IsolationWaived bool
	IsolatedSince   time.Time
	// IsolatedBefore says that by the record only isolated runs of it were to start, each of which is recorded first.
	IsolatedBefore bool
	// crashedSomewhere says that one of the crashes names a host.
	crashedSomewhere bool
	// Runs are those that may be running now.
	Runs []*Run
	// RetryAt holds back a task whose last start was refused.
	RetryAt time.Time
	// AvoidWorker is where its last run failed: the next one goes elsewhere, if
	// it can.
	AvoidWorker string
	// DelegatedTo is the cell that runs the task instead of this one; for a guest's
	// other tasks, the cell that keeps the job.
	DelegatedTo string
	// Delegations is how often the task has been lent: word of an earlier time is old.
	Delegations int32
	// ReturnedAt is when cells gave the task back, for want of room; the zero time:
	// before this process came to know of it.
	ReturnedAt map[string]time.Time
	// MayHaveRun says that it has had a run here, or may have had one.
	MayHaveRun bool
	// WaitingSince is when it last lost a run, in any cell; zero: it never had one.
	WaitingSince time.Time
	// InCellSince is since when it waits in this cell, Waited how long it had had no run when it was last
	// handed over to another one.
	InCellSince          time.Time
	WaitedBeforeHandover time.Duration

	name string
}

// New returns a job that nobody has worked on yet.
func New(spec *wire.JobSpec, acceptedAt time.Time) *Job {
	j := &Job{Spec: spec, Phase: wire.JobPhase_JOB_PHASE_QUEUED, AcceptedAt: acceptedAt}
	j.Estimate(time.Time{}, func(step *wire.StepSpec) time.Duration { return time.Duration(step.GetEstimateMs()) * time.Millisecond })
	if spec.GetRepeats() == 0 {
		j.openTime(0)
	}
	j.markGuest()
	return j
}

// Repeats is how many times the steps run in all.
func (j *Job) Repeats() int { return max(1, int(j.Spec.GetRepeats())) }

func (j *Job) openTime(time int) {
	for i, step := range j.Spec.GetSteps() {
		u := &Unit{
			Job: j, Time: time, Step: i, Spec: step,
			Size: ledger.Size{Millicores: step.GetMillicores(), MemoryMB: step.GetMemoryMb(), Accelerators: step.GetAccelerators()},
		}
		u.name = j.Spec.GetId() + "." + strconv.Itoa(time) + "." + strconv.Itoa(i)
		for n := range int(step.GetCount()) {
			u.Tasks = append(u.Tasks, &Task{Unit: u, Index: n, Settled: true, name: u.name + "." + strconv.Itoa(n)})
		}
		j.Units = append(j.Units, u)
	}
	j.times = max(j.times, time+1)
	if j.Delegated() {
		j.leaveToHome(time)
	}
}

// OpenDue opens the times that have fallen due by the time of day wall, and
// returns the units that are new.
// A guest's times are opened by what is lent of them.
func (j *Job) OpenDue(wall time.Time) []*Unit {
	if j.Delegated() {
		return nil
	}
	before := len(j.Units)
	for j.times < int(j.Spec.GetRepeats()) && !wall.Before(j.DueAt(j.times)) {
		j.openTime(j.times)
	}
	return j.Units[before:]
}

// DueAt is the time of day at which the job's given time falls due.
func (j *Job) DueAt(n int) time.Time {
	return time.UnixMilli(j.Spec.GetFirstUnixMs() + int64(n)*j.Spec.GetIntervalMs())
}

// NotYetDue says whether a task is of one of the job's times that has not been opened yet. A guest's
// times are opened by what is lent of them, not by the time of day.
func (j *Job) NotYetDue(id TaskID) bool {
	return !j.Delegated() && id.Time >= j.times && id.Time < j.Repeats() && id.Step < len(j.Spec.GetSteps())
}

// Ended says whether the job's phase is its last.
func (j *Job) Ended() bool { return j.Phase.Terminal() }

// IsFinal says whether a phase is one that a job never leaves.
func IsFinal(p wire.JobPhase) bool { return p.Terminal() }

// End gives the job its last phase. A job that has ended stays as it is.
func (j *Job) End(phase wire.JobPhase, reason string, now time.Time) {
	if j.Ended() {
		return
	}
	j.Phase, j.Reason, j.EndedAt = phase, reason, now
}

// AllDone says whether every task of every time has ended well.
func (j *Job) AllDone() bool {
	if j.times < j.Repeats() {
		return false
	}
	for _, u := range j.Units {
		if !u.Done() {
			return false
		}
	}
	return true
}

// unit finds the unit of a step at a time.
func (j *Job) unit(time, step int) *Unit {
	at := time*len(j.Spec.GetSteps()) + step
	if time < 0 || step < 0 || step >= len(j.Spec.GetSteps()) || at >= len(j.Units) {
		return nil
	}
	return j.Units[at]
}

// Task finds a task by its numbers; it is nil where there is none.
func (j *Job) Task(time, step, index int) *Task {
	u := j.unit(time, step)
	if u == nil || index < 0 || index >= len(u.Tasks) {
		return nil
	}
	return u.Tasks[index]
}

// Chain is the longest chain of estimated work from a step to the job's end,
// the step included.
func (j *Job) Chain(step int) time.Duration { return j.chains[step] }

// WholeChain is the longest chain of estimated work of the whole job.
func (j *Job) WholeChain() time.Duration {
	longest := time.Duration(0)
	for _, c := range j.chains {
		longest = max(longest, c)
	}
	return longest
}

// EstimatedAt is when the chains of work were last estimated.
func (j *Job) EstimatedAt() time.Time { return j.chainsAt }

// Estimate works the chains of work out anew, from the last step back, since steps only
// come after earlier ones; takes says how long a step takes.
func (j *Job) Estimate(now time.Time, takes func(*wire.StepSpec) time.Duration) {
	steps := j.Spec.GetSteps()
	list := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		list[i] += takes(steps[i])
		for _, before := range steps[i].GetAfter() {
			list[before] = max(list[before], list[i])
		}
	}
	j.chains, j.chainsAt = list, now
}

// ------------------------------------------------------------------ units

// Done says whether all tasks of the unit have ended well.
func (u *Unit) Done() bool { return u.done == len(u.Tasks) }

// Ready says whether the unit's tasks may start: all tasks of the steps that it
// comes after, at the same time, have ended well. A guest's tasks were ready when
// they were lent.
func (u *Unit) Ready() bool {
	if u.Job.Delegated() {
		return true
	}
	for _, a := range u.Spec.GetAfter() {
		before := u.Job.unit(u.Time, int(a))
		if before == nil || !before.Done() {
			return false
		}
	}
	return true
}

// MayHaveBegun says whether an earlier leader may have started the unit's tasks: all that it comes after has ended well,
// or has no run here, as where an end was seen and not recorded.
func (u *Unit) MayHaveBegun() bool {
	if u.Job.Delegated() {
		return true
	}
	for _, a := range u.Spec.GetAfter() {
		before := u.Job.unit(u.Time, int(a))
		if before == nil || !before.MayHaveBegun() {
			return false
		}
		for _, t := range before.Tasks {
			if !t.Done && len(t.Runs) > 0 {
				return false
			}
		}
	}
	return true
}

// ImageOf names what a step's tasks run.
func ImageOf(job *wire.JobSpec, step *wire.StepSpec) string { return job.ImageOf(step) }

// Image names what the unit's tasks run.
func (u *Unit) Image() string { return u.Job.Spec.ImageOf(u.Spec) }

// Lasting says whether the unit's tasks run until the job is cancelled.
func (u *Unit) Lasting() bool { return u.Spec.GetLasting() }

// Waiting lists the tasks that may start now.
func (u *Unit) Waiting(now time.Time) []*Task {
	var list []*Task
	for _, t := range u.Tasks {
		if t.Waiting(now) {
			list = append(list, t)
		}
	}
	return list
}

// Name is the unit's name in advice and logs: ID.TIME.STEP.
func (u *Unit) Name() string { return u.name }

// ------------------------------------------------------------------ tasks

// Name is the task's name at workers: ID.TIME.STEP.INDEX.
func (t *Task) Name() string { return t.name }

// Waiting says whether the task wants a start.
func (t *Task) Waiting(now time.Time) bool {
	return !t.Done && t.DelegatedTo == "" && t.Settled && len(t.Runs) == 0 && !now.Before(t.RetryAt)
}

// MarkDone records that a run of the task ended well. It says whether that was
// news.
func (t *Task) MarkDone() bool {
	if t.Done || t.Unit.Lasting() {
		return false
	}
	t.Done = true
	t.Settled = true
	t.Unit.done++
	return true
}

// MarkFailed counts a run that ended in failure, once, and says how many have.
// A gang counts its runs as one.
func (t *Task) MarkFailed(run int64) int {
	if t.Unit.Spec.GetGang() {
		if t.Unit.gangFailures == nil {
			t.Unit.gangFailures = map[int64]bool{}
		}
		t.Unit.gangFailures[run] = true
	}
	known := false
	for _, r := range t.FailedRuns {
		known = known || r == run
	}
	if !known {
		t.FailedRuns = append(t.FailedRuns, run)
	}
	return t.Failures()
}

// Failures is how many runs of the task, or of its gang, have ended in failure, in any cell.
func (t *Task) Failures() int {
	return t.FailedElsewhere + max(len(t.FailedRuns), len(t.Unit.gangFailures))
}

// Run finds the task's run with the given number at the given worker.
func (t *Task) Run(number int64, worker string) *Run {
	for _, r := range t.Runs {
		if r.Number == number && r.Worker == worker {
			return r
		}
	}
	return nil
}

// Drop takes a run out of those that may be running.
func (t *Task) Drop(r *Run) {
	for i, have := range t.Runs {
		if have == r {
			t.Runs = append(t.Runs[:i:i], t.Runs[i+1:]...)
			return
		}
	}
}
