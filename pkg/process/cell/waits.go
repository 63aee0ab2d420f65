package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/blame"
	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// WaitReason says what keeps a lasting task from its next run.
type WaitReason string

// The reasons, in the order in which they are asked.
const (
	// WaitUnsettled: workers that an earlier leader may have used have not been heard.
	WaitUnsettled WaitReason = "unsettled"
	// WaitRefused: a worker has just refused its start.
	WaitRefused WaitReason = "start-refused"
	// WaitCrashUnknown: it is not known yet whether the worker of its last run crashed.
	WaitCrashUnknown WaitReason = "crash-unknown"
	// WaitUnrecorded: what its last crash says of it is not in the table yet.
	WaitUnrecorded WaitReason = "crash-unrecorded"
	// WaitIsolated: it may only run isolated, and no worker is free for that.
	WaitIsolated WaitReason = "isolated-run"
	// WaitKept: the workers with capacity are kept for isolated runs of other tasks.
	WaitKept WaitReason = "worker-kept"
	// WaitOrders: orders to start are held back.
	WaitOrders WaitReason = "orders-held"
	// WaitWorkers: the workers with capacity take no new work yet.
	WaitWorkers WaitReason = "worker-not-usable"
	// WaitTable: other cells have capacity, and the table does not answer.
	WaitTable WaitReason = "table-silent"
	// WaitReturned: other cells have capacity, and have just returned the task.
	WaitReturned WaitReason = "returned"
	// WaitDelegation: other cells have capacity, and it is not delegated yet.
	WaitDelegation WaitReason = "delegation"
	// WaitCapacity: no cell that is known has capacity.
	WaitCapacity WaitReason = "capacity"
)

const (
	// lastingWaitNoted is the wait after which the log says why a lasting task waits, and how
	// often it says so again.
	lastingWaitNoted = time.Second
	// lastingWaitsMost bounds the lines of one second.
	lastingWaitsMost = 6
)

// noteLastingWaits says in the log why lasting tasks wait.
func (s *State) noteLastingWaits(now time.Time) {
	if now.Sub(s.waitsNotedAt) < lastingWaitNoted {
		return
	}
	s.waitsNotedAt = now
	lines := 0
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if j.Ended() || !hasLasting(j) {
			continue
		}
		for _, t := range lastingWaits(j) {
			waited := now.Sub(waitsSince(t))
			if waited < lastingWaitNoted {
				continue
			}
			if lines++; lines > lastingWaitsMost {
				return
			}
			reason, here := s.whyWaits(now, t)
			s.note(Note{
				What: NoteLastingWaits, Job: id, Task: t.Name(), AgeMs: waited.Milliseconds(), Reason: reason,
				FitsHere: here, FitsElsewhere: max(0, s.fitsElsewhere(now, t.Unit)),
			})
		}
	}
}

func hasLasting(j *jobs.Job) bool {
	return slices.ContainsFunc(j.Spec.GetSteps(), func(step *wire.StepSpec) bool { return step.GetLasting() })
}

// lastingWaits are the lasting tasks of a job that this cell is to run and that have no run.
func lastingWaits(j *jobs.Job) []*jobs.Task {
	var list []*jobs.Task
	for _, u := range j.Units {
		if !u.Lasting() || !u.Ready() {
			continue
		}
		for _, t := range u.Tasks {
			if len(t.Runs) == 0 && t.LentTo == "" {
				list = append(list, t)
			}
		}
	}
	return list
}

// whyWaits says what keeps a lasting task waiting, and how often it would fit into the free
// capacity of the cell's own workers.
func (s *State) whyWaits(now time.Time, t *jobs.Task) (reason WaitReason, here int64) {
	fits := s.fitsHere(now, t)
	switch {
	case !t.Settled:
		return WaitUnsettled, fits.free
	case now.Before(t.RetryAt):
		return WaitRefused, fits.free
	case s.awaitsWord(now, t) && t.Level() >= blame.OnTrial:
		return WaitCrashUnknown, fits.free
	case s.awaitsRecord(now, t):
		return WaitUnrecorded, fits.free
	case s.triedAlone(t):
		return WaitIsolated, fits.free
	case fits.usable > 0 && s.has(OrderWindow) && !s.orders.Room():
		return WaitOrders, fits.free
	case fits.kept > 0 && fits.usable == 0:
		return WaitKept, fits.free
	case fits.free > 0 && fits.usable == 0:
		return WaitWorkers, fits.free
	}
	return s.whyNotElsewhere(now, t), fits.free
}

// whyNotElsewhere says why a task without capacity here has not gone to another cell.
func (s *State) whyNotElsewhere(now time.Time, t *jobs.Task) WaitReason {
	switch {
	case s.fitsElsewhere(now, t.Unit) < fitsToLend:
		return WaitCapacity
	case !s.tableAnswers(now):
		return WaitTable
	case s.borrower(now, t.Unit, t.RefusedAt) == "" && s.borrower(now, t.Unit, nil) != "":
		return WaitReturned
	}
	return WaitDelegation
}

// capacityHere is how many tasks of one size fit into the free capacity of the cell's workers: of
// all that are listed, of those that are usable, and of those that are kept for isolated runs.
type capacityHere struct{ free, usable, kept int64 }

func (s *State) fitsHere(now time.Time, t *jobs.Task) capacityHere {
	c := capacityHere{}
	u, service := t.Unit, s.service(t.Unit.Job)
	size := workers.Reserved(u)
	for _, w := range s.sorted() {
		if w.Gone || !w.Listed || w.Leaving || w.Service != service || !w.HasLabel(u.Spec.GetLabel()) || !size.Fits(w.Free()) {
			continue
		}
		n := max(1, w.Free().Millicores/max(1, size.Millicores))
		c.free += n
		switch {
		case s.closed[w]:
			c.kept += n
		case s.usable(now, w):
			c.usable += n
		}
	}
	return c
}
