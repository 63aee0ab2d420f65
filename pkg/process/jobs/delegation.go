package jobs

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Delegation. A task may be delegated to another cell, the target cell. There the job has only the tasks that were
// delegated. The target cell may return a task, or report that it is done or has failed. The delegations of a task
// are numbered, so that reports on an earlier one have no effect.

// notDelegatedHere is the value of Task.DelegatedTo for tasks of a delegated job that were never delegated to this
// cell. Tasks that this cell has returned have the home cell's name there.
const notDelegatedHere = "elsewhere"

// Delegated returns whether another cell, the home cell, keeps the job and has delegated some of its tasks to this
// cell.
func (j *Job) Delegated() bool { return len(j.Spec.GetGuest()) > 0 || j.Spec.GetHome() != "" }

// leaveTasksToHome leaves all tasks of one occurrence of a delegated job to the home cell.
func (j *Job) leaveTasksToHome(occurrence int) {
	for _, u := range j.Units {
		if u.Time != occurrence {
			continue
		}
		for _, t := range u.Tasks {
			t.DelegatedTo = notDelegatedHere
		}
	}
}

// openOccurrenceOf creates the units of all occurrences up to that of a delegated task.
func (j *Job) openOccurrenceOf(r *wire.TaskRef) {
	for j.openedOccurrences <= int(r.GetTime()) && j.openedOccurrences < j.Repeats() {
		j.openOccurrence(j.openedOccurrences)
	}
}

// applyDelegatedTasks applies the specification's list of delegated tasks. All other tasks are left to the home cell.
func (j *Job) applyDelegatedTasks() {
	for _, r := range j.Spec.GetGuest() {
		j.openOccurrenceOf(r)
		if t := j.taskByRef(r); t != nil {
			t.DelegatedTo, t.Delegations = "", r.GetLending()
			t.copyStateFrom(r)
		}
	}
}

// MarkArrived sets the time at which delegated tasks came to this cell. Their wait here begins then.
func (j *Job) MarkArrived(now time.Time) {
	for _, r := range j.Spec.GetGuest() {
		if t := j.taskByRef(r); t != nil && t.DelegatedTo == "" {
			t.setArrival(now, r)
		}
	}
}

// setArrival sets the times of a task that comes from another cell, including its wait there.
func (t *Task) setArrival(now time.Time, r *wire.TaskRef) {
	t.InCellSince = now
	t.WaitingSince = now.Add(-time.Duration(r.GetWaitedMs()) * time.Millisecond)
}

// copyStateFrom copies the crash evidence, failures and checkpoint that the cell the task comes from knows.
func (t *Task) copyStateFrom(r *wire.TaskRef) {
	t.setEvidence(decodeCrashes(r.GetCrashes()))
	t.StartRecord = NoStartRecord
	t.addFailuresElsewhere(r)
	if r.GetCheckpoint() != "" {
		t.Checkpoint = r.GetCheckpoint()
	}
}

// addFailuresElsewhere updates FailedElsewhere from the total number of failures in r, which includes those in this
// cell.
func (t *Task) addFailuresElsewhere(r *wire.TaskRef) {
	t.FailedElsewhere = max(t.FailedElsewhere, int(r.GetFailed())-(t.Failures()-t.FailedElsewhere))
}

// AddDelegated applies a later specification that delegates more of the job's tasks to this cell. It returns
// the tasks that it adds. settled is true if no predecessor can have started them already.
func (j *Job) AddDelegated(spec *wire.JobSpec, now time.Time, settled bool) []*Task {
	if !j.Delegated() {
		return nil
	}
	var added []*Task
	for _, r := range spec.GetGuest() {
		j.openOccurrenceOf(r)
		t := j.taskByRef(r)
		if t == nil || (t.DelegatedTo != notDelegatedHere && (t.DelegatedTo == "" || r.GetLending() <= t.Delegations)) {
			continue
		}
		added = append(added, t)
		t.DelegatedTo, t.Delegations = "", r.GetLending()
		t.Settled = settled
		t.setArrival(now, r)
		t.copyStateFrom(r)
	}
	if len(added) > 0 {
		j.Spec = spec
	}
	return added
}

// MergeHomeEvidence applies a later specification of the home cell to the crash evidence of delegated tasks:
// workers that were only silent when the tasks were delegated may have crashed since. It returns the tasks whose
// evidence grew.
func (j *Job) MergeHomeEvidence(spec *wire.JobSpec) []*Task {
	var list []*Task
	for _, r := range spec.GetGuest() {
		t := j.taskByRef(r)
		if t == nil || t.DelegatedTo != "" || r.GetLending() != t.Delegations {
			continue
		}
		changed := false
		for _, c := range decodeCrashes(r.GetCrashes()) {
			changed = (!c.Silent && t.ResolveSilent(c.Worker, c.Run, true)) || changed
		}
		if changed {
			list = append(list, t)
		}
	}
	return list
}

func (j *Job) taskByRef(r *wire.TaskRef) *Task {
	return j.Task(int(r.GetTime()), int(r.GetStep()), int(r.GetIndex()))
}

// ReturnTask leaves a delegated task to the home cell until the home cell delegates it again.
func (j *Job) ReturnTask(t *Task) { t.DelegatedTo = j.Spec.GetHome() }

// DelegationReport returns the target cell's report to the home cell: the returned tasks, the done tasks, and the reason if
// the job has failed. It returns nil if there is nothing to report yet. Done tasks that the newest specification no longer names are
// left out: the home cell has recorded them.
func (j *Job) DelegationReport() *wire.ReturnedTasks {
	if !j.Delegated() || j.Spec.GetHome() == "" || j.Phase == wire.JobPhase_JOB_PHASE_CANCELLED {
		return nil // the home cell decided the cancel itself
	}
	report := &wire.ReturnedTasks{
		Id: j.Spec.GetId(), From: j.Spec.GetCell(), Home: j.Spec.GetHome(),
		Tasks: j.refsDelegatedTo(j.Spec.GetHome()),
	}
	for _, r := range j.Spec.GetGuest() {
		if t := j.taskByRef(r); t != nil && t.Done {
			report.Done = append(report.Done, &wire.TaskRef{Time: r.GetTime(), Step: r.GetStep(), Index: r.GetIndex(), Lending: t.Delegations})
		}
	}
	if j.Phase == wire.JobPhase_JOB_PHASE_FAILED {
		report.Failed = j.Reason
	}
	if len(report.GetTasks())+len(report.GetDone()) == 0 && report.GetFailed() == "" {
		return nil
	}
	return report
}

// DelegatedDone returns whether all delegated tasks that were not returned are done.
func (j *Job) DelegatedDone() bool {
	unfinished := j.refsWhere(func(t *Task) bool { return t.DelegatedTo == "" && !t.Done })
	return j.Delegated() && len(unfinished) == 0
}

// ApplyReturned applies another cell's report of returned and done tasks. It returns whether it changed any task.
// settled is true if no predecessor can have applied the report and started the tasks already.
func (j *Job) ApplyReturned(r *wire.ReturnedTasks, now time.Time, settled bool) bool {
	changed := j.applyDone(r)
	j.addTargetCell(r.GetFrom())
	for _, ref := range r.GetTasks() {
		t := j.taskByRef(ref)
		if t == nil {
			continue
		}
		j.HasStarted = j.HasStarted || hasRun(ref)
		if t.ReturnedAt == nil {
			t.ReturnedAt = map[string]time.Time{}
		}
		if t.DelegatedTo == r.GetFrom() && t.Delegations == ref.GetLending() {
			t.DelegatedTo, t.Settled, changed = "", settled, true
			t.setArrival(now, ref)
			t.ReturnedAt[r.GetFrom()] = now
			t.applyReturnedEvidence(decodeCrashes(ref.GetCrashes()))
			t.addFailuresElsewhere(ref)
			if ref.GetCheckpoint() != "" {
				t.Checkpoint = ref.GetCheckpoint()
			}
			continue
		}
		before := t.FailedElsewhere
		t.addFailuresElsewhere(ref) // a failure may be reported after the return
		changed = changed || t.FailedElsewhere > before
		if _, known := t.ReturnedAt[r.GetFrom()]; !known {
			t.ReturnedAt[r.GetFrom()] = time.Time{}
		}
	}
	return changed
}

// hasRun returns whether a run of a returned task is known.
func hasRun(r *wire.TaskRef) bool {
	return r.GetFailed() > 0 || r.GetCheckpoint() != "" || slices.ContainsFunc(r.GetCrashes(), (*wire.CrashNote).GetBegan)
}

func (j *Job) applyDone(r *wire.ReturnedTasks) bool {
	changed := false
	for _, ref := range r.GetDone() {
		t := j.taskByRef(ref)
		if t == nil || t.DelegatedTo != r.GetFrom() || t.Delegations != ref.GetLending() {
			continue
		}
		t.DelegatedTo = ""
		changed = t.MarkDone() || changed
	}
	j.HasStarted = j.HasStarted || changed
	return changed
}

// addTargetCell records that a cell has had tasks of the job.
func (j *Job) addTargetCell(cell string) {
	if j.targetCells == nil {
		j.targetCells = map[string]bool{}
	}
	j.targetCells[cell] = true
}

// maxSpecBytes bounds the size of the specification that names the tasks delegated to a cell, and so that of the report on them.
// The table takes rows of 64 kB.
const maxSpecBytes = 48 << 10

// Delegable returns how many of the first tasks of a list may be delegated to a cell beside those that are there.
func (j *Job) Delegable(cell string, tasks []*Task) int {
	size := proto.Size(j.Spec)
	for _, r := range j.refsDelegatedTo(cell) {
		size += refBytes(r)
	}
	for i, t := range tasks {
		if size += refBytes(t.ref()); size > maxSpecBytes {
			return i
		}
	}
	return len(tasks)
}

// refBytes returns the size of a reference in a specification, with its tag and length.
func refBytes(r *wire.TaskRef) int {
	const tagAndLength = 3
	return proto.Size(r) + tagAndLength
}

// refsDelegatedTo returns references to the tasks that are left to a cell.
func (j *Job) refsDelegatedTo(cell string) []*wire.TaskRef {
	return j.refsWhere(func(t *Task) bool { return t.DelegatedTo == cell })
}

func (j *Job) refsWhere(include func(t *Task) bool) []*wire.TaskRef {
	var refs []*wire.TaskRef
	for _, u := range j.Units {
		for _, t := range u.Tasks {
			if include(t) {
				refs = append(refs, t.ref())
			}
		}
	}
	return refs
}

// ref returns a reference to the task, with what the cell that it goes to has to know.
func (t *Task) ref() *wire.TaskRef {
	return &wire.TaskRef{
		Time: int32(t.Unit.Time), Step: int32(t.Unit.Step), Index: int32(t.Index), Lending: t.Delegations, Crashes: encodeCrashes(t.Crashes),
		Failed: int32(t.Failures()), Checkpoint: t.Checkpoint, WaitedMs: t.WaitedBeforeHandover.Milliseconds(),
	}
}

// Delegate delegates tasks to another cell and returns the specification for that cell. Tasks that were delegated
// to it earlier stay in the specification.
func (j *Job) Delegate(cell string, tasks ...*Task) *wire.JobSpec {
	for _, t := range tasks {
		t.DelegatedTo = cell
		t.Delegations++
	}
	j.addTargetCell(cell)
	spec, ok := proto.Clone(j.Spec).(*wire.JobSpec)
	if !ok {
		return nil // unreachable: proto.Clone returns its argument's type
	}
	spec.Cell, spec.Home, spec.Guest = cell, j.Spec.GetCell(), j.refsDelegatedTo(cell)
	return spec
}

// TargetCells returns the cells that have had tasks of the job, including cells that returned them or completed
// them. The home cell notifies all of them when the job ends.
func (j *Job) TargetCells() []string {
	if j.Delegated() {
		return nil
	}
	return slices.Sorted(maps.Keys(j.targetCells))
}
