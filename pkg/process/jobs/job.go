// Package jobs keeps the accepted jobs of a cell and decides which of their tasks may start now.
//
// A job has steps, and a step has identical tasks. A step waits until the steps that it depends on are done. A job
// that repeats falls due several times and runs its steps once for each: these are its occurrences, counted from 0. A
// Unit is one step in one occurrence. The package knows no workers and makes no calls. Times are arguments. Data flows
// one way: specifications come in, and recorded progress after a takeover; ends of runs change tasks; the progress to
// record goes out.
package jobs

import (
	"strconv"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Job is one accepted job. It is not safe for concurrent use.
type Job struct {
	Spec *wire.JobSpec
	// Phase is the job's current phase. Callers are told of it once a progress row with this phase is durable.
	Phase wire.JobPhase
	// ProgressVersion is the version of the job's first progress row, 0 before the first. ProgressRows is the most progress rows
	// that the table may hold of the job.
	ProgressVersion int64
	ProgressRows    int
	// DurablePhase is the phase in the progress row.
	DurablePhase wire.JobPhase
	// AcceptedAt is the local monotonic time at which the job was accepted.
	AcceptedAt time.Time
	// EndedAt is the time at which the job's final phase was decided.
	EndedAt time.Time
	Reason  string
	// HasStarted is true once any task of the job has started.
	HasStarted bool
	// CancelRequested is true once the caller has requested a cancel. The rows of that request are in the table.
	CancelRequested bool
	Units           []*Unit

	openedOccurrences int
	// targetCells are the cells that have had delegated tasks of the job.
	targetCells map[string]bool
	// longestChains holds, per step, the longest chain of estimated work that begins with the step. The estimates
	// are of the time chainsAt.
	longestChains []time.Duration
	chainsAt      time.Time
}

// Unit is one step in one of the job's occurrences.
type Unit struct {
	Job   *Job
	Time  int // number of the occurrence, from 0
	Step  int
	Spec  *wire.StepSpec
	Tasks []*Task
	Size  ledger.Size
	// FailedWorkers are the workers at which runs of the unit failed. Failures at several workers count as evidence
	// that the unit is at fault, not the workers.
	FailedWorkers map[string]bool

	// ReadyAt is the time from which tasks of the unit could start.
	ReadyAt time.Time
	// HasStarted says that this process has ordered a start of one of its tasks.
	HasStarted bool
	// Outlook is the job's outlook at the last placement of the unit.
	Outlook Outlook
	// WaitLoggedAt is the time of the last log line on why tasks of the unit wait.
	WaitLoggedAt time.Time

	done int
	name string
	// gangFailures holds the numbers of the gang's failed runs.
	gangFailures map[int64]bool
}

// Task is one task. It has at most one run at a time, unless its step allows copies.
type Task struct {
	Unit  *Unit
	Index int
	Done  bool
	// Settled is false while the task may be running at a worker that has not answered since the cell's last
	// change of leader.
	Settled bool
	// Checkpoint is the newest known checkpoint. If it is empty, the task starts from the beginning.
	Checkpoint string
	FailedRuns []int64
	// FailedElsewhere is the number of the task's runs that failed in other cells.
	FailedElsewhere int
	// Crashes is the task's crash evidence: crashes of workers at which the task ran or may have run.
	Crashes []poisontask.Crash
	// StartRecord is the state of the record of the next or present run, StartAt the incarnation that the record names.
	StartRecord StartRecord
	StartAt     Incarnation
	level       poisontask.Level
	// IsolationWaived is true if the next run need not be isolated although the task's level is
	// poisontask.NeedsIsolation. IsolationWaitSince is the time from which the task has waited for an isolated run.
	IsolationWaived    bool
	IsolationWaitSince time.Time
	// UnreachedAt is an incarnation at which the task may have run, and which had not answered when the cell settled.
	UnreachedAt Incarnation
	// StartsByRecord is true if the predecessor's record allowed only recorded starts of the task.
	StartsByRecord bool
	// crashHostKnown is true if one of the crashes names a host.
	crashHostKnown bool
	// Runs are the runs that may be running now.
	Runs []*Run
	// RetryAt is the earliest time of the next start after a worker refused one.
	RetryAt time.Time
	// AvoidWorker is the worker at which the last run failed. The next run is placed at another worker if
	// possible.
	AvoidWorker string
	// DelegatedTo is the cell that runs the task, empty if this cell does. In a delegated job, tasks that do not run
	// in this cell have the home cell's name or the constant notDelegatedHere.
	DelegatedTo string
	// Delegations is the number of times the task has been delegated. Reports on an earlier delegation have no
	// effect.
	Delegations int32
	// ReturnedAt holds, per cell, the time at which the cell returned the task for lack of capacity. The zero time
	// means that this process does not know the time: the cell returned the task before.
	ReturnedAt map[string]time.Time
	// MayHaveRun is true if the task has had a run in this cell, or may have had one.
	MayHaveRun bool
	// WaitingSince is the time at which the task last lost a run, in any cell. It is zero if the task has never
	// had a run and was never delegated, or if that time is not known.
	WaitingSince time.Time
	// WaitRecorded is true if the job's progress row, as it was last read or built, says since when the task has had no run.
	WaitRecorded bool
	// TakenOverAt is the time from which this process has led the cell, if an earlier leader may have run the task.
	TakenOverAt time.Time
	// InCellSince is the time from which the task has waited in this cell. WaitedBeforeHandover is how long the
	// task had been without a run when it was last handed over to another cell.
	InCellSince          time.Time
	WaitedBeforeHandover time.Duration
	// HeldSince is the time at which a handover of the task was first put off because it can start in this cell. A time
	// before the present wait in this cell has no meaning.
	HeldSince time.Time

	name string
}

// New returns a job without progress.
func New(spec *wire.JobSpec, acceptedAt time.Time) *Job {
	j := &Job{Spec: spec, Phase: wire.JobPhase_JOB_PHASE_QUEUED, AcceptedAt: acceptedAt}
	j.EstimateChains(time.Time{}, func(step *wire.StepSpec) time.Duration { return time.Duration(step.GetEstimateMs()) * time.Millisecond })
	if spec.GetRepeats() == 0 {
		j.openOccurrence(0)
	}
	j.applyDelegatedTasks()
	return j
}

// Repeats returns the number of occurrences of the job, at least 1.
func (j *Job) Repeats() int { return max(1, int(j.Spec.GetRepeats())) }

func (j *Job) openOccurrence(occurrence int) {
	for i, step := range j.Spec.GetSteps() {
		u := &Unit{
			Job: j, Time: occurrence, Step: i, Spec: step,
			Size: ledger.Size{Millicores: step.GetMillicores(), MemoryMB: step.GetMemoryMb(), Accelerators: step.GetAccelerators()},
		}
		u.name = j.Spec.GetId() + "." + strconv.Itoa(occurrence) + "." + strconv.Itoa(i)
		for n := range int(step.GetCount()) {
			u.Tasks = append(u.Tasks, &Task{Unit: u, Index: n, Settled: true, name: u.name + "." + strconv.Itoa(n)})
		}
		j.Units = append(j.Units, u)
	}
	j.openedOccurrences = max(j.openedOccurrences, occurrence+1)
	if j.Delegated() {
		j.leaveTasksToHome(occurrence)
	}
}

// OpenDue creates the units of all occurrences that are due at the wall-clock time wall, and returns the new
// units. It returns nil for a delegated job: the delegated tasks determine its occurrences.
func (j *Job) OpenDue(wall time.Time) []*Unit {
	if j.Delegated() {
		return nil
	}
	before := len(j.Units)
	for j.openedOccurrences < int(j.Spec.GetRepeats()) && !wall.Before(j.DueAt(j.openedOccurrences)) {
		j.openOccurrence(j.openedOccurrences)
	}
	return j.Units[before:]
}

// DueAt returns the wall-clock time at which occurrence n is due.
func (j *Job) DueAt(n int) time.Time {
	return time.UnixMilli(j.Spec.GetFirstUnixMs() + int64(n)*j.Spec.GetIntervalMs())
}

// NotYetDue returns whether the task belongs to an occurrence whose units do not exist yet. It is false for a
// delegated job, where the delegated tasks determine the occurrences, not the wall-clock time.
func (j *Job) NotYetDue(id TaskID) bool {
	return !j.Delegated() && id.Time >= j.openedOccurrences && id.Time < j.Repeats() && id.Step < len(j.Spec.GetSteps())
}

// Ended returns whether the job is in a final phase.
func (j *Job) Ended() bool { return j.Phase.Terminal() }

// IsFinal returns whether p is a final phase: a job never leaves it.
func IsFinal(p wire.JobPhase) bool { return p.Terminal() }

// End sets the job's final phase. It does nothing if the job has already ended.
func (j *Job) End(phase wire.JobPhase, reason string, now time.Time) {
	if j.Ended() {
		return
	}
	j.Phase, j.Reason, j.EndedAt = phase, reason, now
}

// AllDone returns whether every task of every occurrence has succeeded.
func (j *Job) AllDone() bool {
	if j.openedOccurrences < j.Repeats() {
		return false
	}
	for _, u := range j.Units {
		if !u.Done() {
			return false
		}
	}
	return true
}

// unit returns the unit of a step in an occurrence, nil if there is none.
func (j *Job) unit(occurrence, step int) *Unit {
	index := occurrence*len(j.Spec.GetSteps()) + step
	if occurrence < 0 || step < 0 || step >= len(j.Spec.GetSteps()) || index >= len(j.Units) {
		return nil
	}
	return j.Units[index]
}

// Task returns the task with the given occurrence, step and index, nil if there is none.
func (j *Job) Task(occurrence, step, index int) *Task {
	u := j.unit(occurrence, step)
	if u == nil || index < 0 || index >= len(u.Tasks) {
		return nil
	}
	return u.Tasks[index]
}

// ChainFrom returns the longest chain of estimated work from the given step to the job's end, including the step.
func (j *Job) ChainFrom(step int) time.Duration { return j.longestChains[step] }

// LongestChain returns the longest chain of estimated work of the whole job.
func (j *Job) LongestChain() time.Duration {
	longest := time.Duration(0)
	for _, c := range j.longestChains {
		longest = max(longest, c)
	}
	return longest
}

// ChainsEstimatedAt returns the time at which the chains of work were last estimated.
func (j *Job) ChainsEstimatedAt() time.Time { return j.chainsAt }

// EstimateChains recomputes the chains of work. It goes from the last step to the first, because a step depends only on
// earlier ones. estimate returns the estimated duration of a step.
func (j *Job) EstimateChains(now time.Time, estimate func(*wire.StepSpec) time.Duration) {
	steps := j.Spec.GetSteps()
	chains := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		chains[i] += estimate(steps[i])
		for _, before := range steps[i].GetAfter() {
			chains[before] = max(chains[before], chains[i])
		}
	}
	j.longestChains, j.chainsAt = chains, now
}

// ------------------------------------------------------------------ units

// Done returns whether all tasks of the unit have succeeded.
func (u *Unit) Done() bool { return u.done == len(u.Tasks) }

// Ready returns whether the unit's tasks may start: all tasks of the steps that it depends on, in the same
// occurrence, have succeeded. Delegated tasks were ready when they were delegated.
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

// MayHaveStarted returns whether a predecessor may have started the unit's tasks. It returns false if a task of a
// step that the unit depends on, directly or indirectly, is not done and has a run here. A task that is not done
// and has no run does not rule a start out: the predecessor may have observed its end without recording it.
func (u *Unit) MayHaveStarted() bool {
	if u.Job.Delegated() {
		return true
	}
	for _, a := range u.Spec.GetAfter() {
		before := u.Job.unit(u.Time, int(a))
		if before == nil || !before.MayHaveStarted() {
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

// ImageOf returns the name of the image that a step's tasks run.
func ImageOf(job *wire.JobSpec, step *wire.StepSpec) string { return job.ImageOf(step) }

// Image returns the name of the image that the unit's tasks run.
func (u *Unit) Image() string { return u.Job.Spec.ImageOf(u.Spec) }

// Lasting returns whether the unit's tasks run until the job is cancelled.
func (u *Unit) Lasting() bool { return u.Spec.GetLasting() }

// Waiting returns the tasks that may start now.
func (u *Unit) Waiting(now time.Time) []*Task {
	var list []*Task
	for _, t := range u.Tasks {
		if t.Waiting(now) {
			list = append(list, t)
		}
	}
	return list
}

// Name returns the unit's name in advice and logs: ID.TIME.STEP.
func (u *Unit) Name() string { return u.name }

// ------------------------------------------------------------------ tasks

// Name returns the task's name at workers: ID.TIME.STEP.INDEX.
func (t *Task) Name() string { return t.name }

// Waiting returns whether the task may start now.
func (t *Task) Waiting(now time.Time) bool {
	return !t.Done && t.DelegatedTo == "" && t.Settled && len(t.Runs) == 0 && !now.Before(t.RetryAt)
}

// MarkDone marks the task as done after a run of it succeeded. It returns whether that changed the task. A lasting
// task is never done.
func (t *Task) MarkDone() bool {
	if t.Done || t.Unit.Lasting() {
		return false
	}
	t.Done = true
	t.Settled = true
	t.Unit.done++
	return true
}

// MarkFailed counts a failed run, once per run number, and returns the number of failures. The runs of a gang with
// the same number count as one failure of the gang.
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

// Failures returns how many runs of the task, or of its gang, have failed in any cell.
func (t *Task) Failures() int {
	return t.FailedElsewhere + max(len(t.FailedRuns), len(t.Unit.gangFailures))
}

// Run returns the task's run with the given number at the given worker, nil if there is none.
func (t *Task) Run(number int64, worker string) *Run {
	for _, r := range t.Runs {
		if r.Number == number && r.Worker == worker {
			return r
		}
	}
	return nil
}

// RemoveRun removes a run from Runs.
func (t *Task) RemoveRun(r *Run) {
	for i, have := range t.Runs {
		if have == r {
			t.Runs = append(t.Runs[:i:i], t.Runs[i+1:]...)
			return
		}
	}
}
