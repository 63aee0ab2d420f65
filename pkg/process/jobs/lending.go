package jobs

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Lending. A task may be left to another cell, where the job is a guest that has just
// the tasks it was lent; that cell may give one back. Lendings of a task are numbered:
// what is said of an earlier one counts no more.

// elsewhere stands for the cell that keeps a guest's job.
const elsewhere = "elsewhere"

// Guest says whether another cell keeps the job and has lent some tasks here.
func (j *Job) Guest() bool { return len(j.Spec.GetGuest()) > 0 }

// markGuest leaves a guest's other tasks to the cell that keeps the job.
func (j *Job) markGuest() {
	if !j.Guest() {
		return
	}
	for _, u := range j.Units {
		for _, t := range u.Tasks {
			t.LentTo = elsewhere
		}
	}
	for _, r := range j.Spec.GetGuest() {
		if t := j.at(r); t != nil {
			t.LentTo, t.Lending = "", r.GetLending()
		}
	}
}

// Arrived says when a guest's tasks came to this cell: they wait since then.
func (j *Job) Arrived(now time.Time) {
	for _, r := range j.Spec.GetGuest() {
		if t := j.at(r); t != nil && t.LentTo == "" {
			t.WaitsSince = now
		}
	}
}

// MoreGuests takes in that more of the job's tasks are lent to this cell. It
// says whether that is so.
func (j *Job) MoreGuests(spec *wire.JobSpec, now time.Time) bool {
	if !j.Guest() {
		return false
	}
	more := false
	for _, r := range spec.GetGuest() {
		t := j.at(r)
		if t == nil || (t.LentTo != elsewhere && (t.LentTo == "" || r.GetLending() <= t.Lending)) {
			continue
		}
		t.LentTo, t.Lending, t.WaitsSince, more = "", r.GetLending(), now, true
	}
	if more {
		j.Spec = spec
	}
	return more
}

func (j *Job) at(r *wire.TaskRef) *Task {
	return j.Task(int(r.GetTime()), int(r.GetStep()), int(r.GetIndex()))
}

// GiveBack leaves a guest's task to the cell that keeps its job, until that lends it
// again.
func (j *Job) GiveBack(t *Task) { t.LentTo = j.Spec.GetHome() }

// GivenBack lists the tasks that a guest's cell has given back; nil: none.
func (j *Job) GivenBack() *wire.ReturnedTasks {
	if !j.Guest() || j.Spec.GetHome() == "" {
		return nil
	}
	refs := j.refsTo(j.Spec.GetHome())
	if len(refs) == 0 {
		return nil
	}
	return &wire.ReturnedTasks{Id: j.Spec.GetId(), From: j.Spec.GetCell(), Tasks: refs}
}

// TakeBack takes in what another cell gives back. It says whether a task was lent
// there until now.
func (j *Job) TakeBack(r *wire.ReturnedTasks, now time.Time) bool {
	news := false
	for _, ref := range r.GetTasks() {
		t := j.at(ref)
		if t == nil {
			continue
		}
		if t.RefusedAt == nil {
			t.RefusedAt = map[string]time.Time{}
		}
		if t.LentTo == r.GetFrom() && t.Lending == ref.GetLending() {
			t.LentTo, t.Settled, t.WaitsSince, news = "", true, now, true
			t.RefusedAt[r.GetFrom()] = now
		} else if _, known := t.RefusedAt[r.GetFrom()]; !known {
			t.RefusedAt[r.GetFrom()] = time.Time{}
		}
	}
	return news
}

// refsTo lists the tasks that are left to a cell.
func (j *Job) refsTo(cell string) []*wire.TaskRef {
	var refs []*wire.TaskRef
	for _, u := range j.Units {
		for _, t := range u.Tasks {
			if t.LentTo == cell {
				refs = append(refs, &wire.TaskRef{Time: int32(u.Time), Step: int32(u.Step), Index: int32(t.Index), Lending: t.Lending})
			}
		}
	}
	return refs
}

// Lend leaves a task to another cell, and returns the specification
// that this cell is to have. Tasks lent to it before stay with it.
func (j *Job) Lend(t *Task, cell string) *wire.JobSpec {
	t.LentTo = cell
	t.Lending++
	spec, ok := proto.Clone(j.Spec).(*wire.JobSpec)
	if !ok {
		return nil // a clone has the type of what it is a clone of
	}
	spec.Cell, spec.Home, spec.Guest = cell, j.Spec.GetCell(), j.refsTo(cell)
	return spec
}

// LentCells lists the cells that were lent tasks of the job, also those that gave
// them back.
func (j *Job) LentCells() []string {
	if j.Guest() {
		return nil
	}
	list := j.RefusingCells()
	for _, u := range j.Units {
		for _, t := range u.Tasks {
			if t.LentTo != "" && !slices.Contains(list, t.LentTo) {
				list = append(list, t.LentTo)
			}
		}
	}
	return list
}

// RefusingCells lists the cells that gave tasks of the job back.
func (j *Job) RefusingCells() []string {
	var list []string
	for _, u := range j.Units {
		for _, t := range u.Tasks {
			for _, cell := range slices.Sorted(maps.Keys(t.RefusedAt)) {
				if !slices.Contains(list, cell) {
					list = append(list, cell)
				}
			}
		}
	}
	return list
}
