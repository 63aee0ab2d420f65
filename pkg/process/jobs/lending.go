package jobs

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Lending. A task may be left to another cell, where the job is a guest that has just
// the tasks it was lent; that cell may give one back, or report that it is done or has
// failed. Lendings of a task are numbered: what is said of an earlier one counts no
// more.

// elsewhere stands for the cell that keeps a guest's job.
const elsewhere = "elsewhere"

// Delegated says whether another cell keeps the job and has lent some tasks here.
func (j *Job) Delegated() bool { return len(j.Spec.GetGuest()) > 0 }

// leaveToHome leaves the tasks of a guest's time to the cell that keeps the job.
func (j *Job) leaveToHome(time int) {
	for _, u := range j.Units {
		if u.Time != time {
			continue
		}
		for _, t := range u.Tasks {
			t.DelegatedTo = elsewhere
		}
	}
}

// openFor opens the times up to that of a task that is lent.
func (j *Job) openFor(r *wire.TaskRef) {
	for j.times <= int(r.GetTime()) && j.times < j.Repeats() {
		j.openTime(j.times)
	}
}

// markGuest takes in which tasks a guest was lent; the others are left to the cell that
// keeps the job.
func (j *Job) markGuest() {
	for _, r := range j.Spec.GetGuest() {
		j.openFor(r)
		if t := j.at(r); t != nil {
			t.DelegatedTo, t.Delegations = "", r.GetLending()
			t.takeOver(r)
		}
	}
}

// Arrived says when a guest's tasks came to this cell: they wait since then.
func (j *Job) Arrived(now time.Time) {
	for _, r := range j.Spec.GetGuest() {
		if t := j.at(r); t != nil && t.DelegatedTo == "" {
			t.arrive(now, r)
		}
	}
}

// arrive takes in that a task comes from another cell, where it had waited already.
func (t *Task) arrive(now time.Time, r *wire.TaskRef) {
	t.InCellSince = now
	t.WaitingSince = now.Add(-time.Duration(r.GetWaitedMs()) * time.Millisecond)
}

// takeOver takes over what is known of a task where it comes from.
func (t *Task) takeOver(r *wire.TaskRef) {
	t.setCrashes(crashesOf(r.GetCrashes()))
	t.Isolation = NoIsolation
	t.failedElsewhere(r)
	if r.GetCheckpoint() != "" {
		t.Checkpoint = r.GetCheckpoint()
	}
}

// failedElsewhere counts the failures that are known where a task comes from beside this cell's own.
func (t *Task) failedElsewhere(r *wire.TaskRef) {
	t.FailedElsewhere = max(t.FailedElsewhere, int(r.GetFailed())-(t.Failures()-t.FailedElsewhere))
}

// AddDelegated takes in that more of the job's tasks are lent to this cell. It
// says whether that is so. settled says that no forerunner may have started them already.
func (j *Job) AddDelegated(spec *wire.JobSpec, now time.Time, settled bool) bool {
	if !j.Delegated() {
		return false
	}
	more := false
	for _, r := range spec.GetGuest() {
		j.openFor(r)
		t := j.at(r)
		if t == nil || (t.DelegatedTo != elsewhere && (t.DelegatedTo == "" || r.GetLending() <= t.Delegations)) {
			continue
		}
		t.DelegatedTo, t.Delegations, more = "", r.GetLending(), true
		t.Settled = settled
		t.arrive(now, r)
		t.takeOver(r)
	}
	if more {
		j.Spec = spec
	}
	return more
}

// MergeHomeEvidence takes in which silent workers have crashed since the guest's tasks were lent, as their home says with
// a later specification. It returns the tasks of which more is held now.
func (j *Job) MergeHomeEvidence(spec *wire.JobSpec) []*Task {
	var list []*Task
	for _, r := range spec.GetGuest() {
		t := j.at(r)
		if t == nil || t.DelegatedTo != "" || r.GetLending() != t.Delegations {
			continue
		}
		news := false
		for _, c := range crashesOf(r.GetCrashes()) {
			news = (!c.Silent && t.Resolve(c.Worker, c.Run, true)) || news
		}
		if news {
			list = append(list, t)
		}
	}
	return list
}

func (j *Job) at(r *wire.TaskRef) *Task {
	return j.Task(int(r.GetTime()), int(r.GetStep()), int(r.GetIndex()))
}

// ReturnTask leaves a guest's task to the cell that keeps its job, until that lends it
// again.
func (j *Job) ReturnTask(t *Task) { t.DelegatedTo = j.Spec.GetHome() }

// Report is what a guest's cell tells the one that keeps the job: the tasks that it
// has given back, those that are done, and whether one has failed for good; nil:
// nothing yet.
func (j *Job) Report() *wire.ReturnedTasks {
	if !j.Delegated() || j.Spec.GetHome() == "" || j.Phase == wire.JobPhase_JOB_PHASE_CANCELLED {
		return nil // a cancel is its home's own word
	}
	report := &wire.ReturnedTasks{
		Id: j.Spec.GetId(), From: j.Spec.GetCell(), Home: j.Spec.GetHome(),
		Tasks: j.refsTo(j.Spec.GetHome()), Done: j.refs(func(t *Task) bool { return t.Done }),
	}
	if j.Phase == wire.JobPhase_JOB_PHASE_FAILED {
		report.Failed = j.Reason
	}
	if len(report.GetTasks())+len(report.GetDone()) == 0 && report.GetFailed() == "" {
		return nil
	}
	return report
}

// DelegatedDone says whether all that was lent to a guest, and not given back, is done.
func (j *Job) DelegatedDone() bool {
	open := j.refs(func(t *Task) bool { return t.DelegatedTo == "" && !t.Done })
	return j.Delegated() && len(open) == 0
}

// ApplyReturned takes in what another cell gives back or has done. It says whether a task
// was lent there until now. settled says that no forerunner may have taken it back, and started it,
// already.
func (j *Job) ApplyReturned(r *wire.ReturnedTasks, now time.Time, settled bool) bool {
	news := j.takeDone(r)
	j.borrowed(r.GetFrom())
	for _, ref := range r.GetTasks() {
		t := j.at(ref)
		if t == nil {
			continue
		}
		if t.ReturnedAt == nil {
			t.ReturnedAt = map[string]time.Time{}
		}
		if t.DelegatedTo == r.GetFrom() && t.Delegations == ref.GetLending() {
			t.DelegatedTo, t.Settled, news = "", settled, true
			t.arrive(now, ref)
			t.ReturnedAt[r.GetFrom()] = now
			t.takeBackCrashes(crashesOf(ref.GetCrashes()))
			t.failedElsewhere(ref)
			if ref.GetCheckpoint() != "" {
				t.Checkpoint = ref.GetCheckpoint()
			}
		} else if _, known := t.ReturnedAt[r.GetFrom()]; !known {
			t.ReturnedAt[r.GetFrom()] = time.Time{}
		}
	}
	return news
}

func (j *Job) takeDone(r *wire.ReturnedTasks) bool {
	news := false
	for _, ref := range r.GetDone() {
		t := j.at(ref)
		if t == nil || t.DelegatedTo != r.GetFrom() || t.Delegations != ref.GetLending() {
			continue
		}
		t.DelegatedTo = ""
		news = t.MarkDone() || news
	}
	j.Begun = j.Begun || news
	return news
}

// borrowed remembers that a cell has had tasks of the job.
func (j *Job) borrowed(cell string) {
	if j.targetCells == nil {
		j.targetCells = map[string]bool{}
	}
	j.targetCells[cell] = true
}

// refsTo lists the tasks that are left to a cell.
func (j *Job) refsTo(cell string) []*wire.TaskRef {
	return j.refs(func(t *Task) bool { return t.DelegatedTo == cell })
}

func (j *Job) refs(which func(t *Task) bool) []*wire.TaskRef {
	var refs []*wire.TaskRef
	for _, u := range j.Units {
		for _, t := range u.Tasks {
			if which(t) {
				refs = append(refs, &wire.TaskRef{Time: int32(u.Time), Step: int32(u.Step), Index: int32(t.Index), Lending: t.Delegations, Crashes: crashNotes(t.Crashes), Failed: int32(t.Failures()), Checkpoint: t.Checkpoint, WaitedMs: t.WaitedBeforeHandover.Milliseconds()})
			}
		}
	}
	return refs
}

// Delegate leaves tasks to another cell, and returns the specification that this cell is
// to have. Tasks lent to it before stay with it.
func (j *Job) Delegate(cell string, tasks ...*Task) *wire.JobSpec {
	for _, t := range tasks {
		t.DelegatedTo = cell
		t.Delegations++
	}
	j.borrowed(cell)
	spec, ok := proto.Clone(j.Spec).(*wire.JobSpec)
	if !ok {
		return nil // a clone has the type of what it is a clone of
	}
	spec.Cell, spec.Home, spec.Guest = cell, j.Spec.GetCell(), j.refsTo(cell)
	return spec
}

// TargetCells lists the cells that have had tasks of the job, also those that gave them
// back or have done them: they are told when the job ends.
func (j *Job) TargetCells() []string {
	if j.Delegated() {
		return nil
	}
	return slices.Sorted(maps.Keys(j.targetCells))
}
