package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// WaitReason is what keeps a lasting task from its next run.
type WaitReason string

// The reasons. Where several hold, waitReason returns the first one that it checks.
const (
	// WaitUnsettled: the task may still run on a worker that has not answered this leader yet.
	WaitUnsettled WaitReason = "unsettled"
	// WaitEvacuated: the cell's hall is evacuated, and no other cell has taken the task yet.
	WaitEvacuated WaitReason = "hall-evacuated"
	// WaitRefused: a worker has just refused to start the task.
	WaitRefused WaitReason = "start-refused"
	// WaitCrashUnknown: it is not known yet whether the silent worker of the task's last run crashed.
	WaitCrashUnknown WaitReason = "crash-unknown"
	// WaitCrashUnrecorded: the table does not hold the record of the task's next start yet.
	WaitCrashUnrecorded WaitReason = "crash-unrecorded"
	// WaitIsolatedRun: the task may only run isolated, and no worker is available for an isolated run.
	WaitIsolatedRun WaitReason = "isolated-run"
	// WaitWorkerKept: the workers with capacity are reserved for isolated runs of other tasks.
	WaitWorkerKept WaitReason = "worker-kept"
	// WaitOtherHost: the workers with capacity are at hosts that crashed under the task, and other hosts are usable.
	WaitOtherHost WaitReason = "other-host"
	// WaitOrdersHeld: start orders are held back because unanswered orders fill the order window.
	WaitOrdersHeld WaitReason = "orders-held"
	// WaitWorkerNotUsable: the workers with capacity are not usable for new work yet.
	WaitWorkerNotUsable WaitReason = "worker-not-usable"
	// WaitTableSilent: other cells have capacity, but the table is unavailable.
	WaitTableSilent WaitReason = "table-silent"
	// WaitReturned: other cells have capacity, but have just returned the task.
	WaitReturned WaitReason = "returned"
	// WaitDelegation: other cells have capacity, but the task is not delegated yet.
	WaitDelegation WaitReason = "delegation"
	// WaitYields: the capacity for the task is kept for urgent tasks.
	WaitYields WaitReason = "yields-to-urgent"
	// WaitCapacity: this cell has no capacity for the task, and the other cells together have too little.
	WaitCapacity WaitReason = "capacity"
)

const (
	// lastingWaitLogInterval is the wait after which the log gives the reason why a lasting task waits, and the
	// interval at which the log repeats it.
	lastingWaitLogInterval = time.Second
	// lastingWaitLogLines is the most log lines per interval.
	lastingWaitLogLines = 6
)

// logLastingWaits logs why lasting tasks wait.
func (s *State) logLastingWaits(now time.Time) {
	if now.Sub(s.lastingWaitsLoggedAt) < lastingWaitLogInterval {
		return
	}
	s.lastingWaitsLoggedAt = now
	lines := 0
	var longest *jobs.Task
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if j.Ended() || !hasLastingStep(j) {
			continue
		}
		for _, t := range waitingLastingTasks(j) {
			waited := now.Sub(withoutRunSince(t))
			if waited < lastingWaitLogInterval {
				continue
			}
			if t.Settled && (longest == nil || withoutRunSince(t).Before(withoutRunSince(longest))) {
				longest = t
			}
			if lines++; lines > lastingWaitLogLines {
				continue
			}
			reason, here := s.waitReason(now, t)
			worker, left, keptFor := s.waitsForWorker(now, t, reason)
			s.note(Note{
				Kind: NoteLastingWaits, Job: id, Task: t.Name(), AgeMs: waited.Milliseconds(), Reason: reason, Worker: worker, Left: left, KeptFor: keptFor,
				FitsHere: here, FitsElsewhere: max(0, s.fitsElsewhere(now, t.Unit)),
			})
		}
	}
	s.logLastingPlaces(now, longest)
}

// hasLastingStep reports whether a job has a step of lasting tasks.
func hasLastingStep(j *jobs.Job) bool {
	return slices.ContainsFunc(j.Spec.GetSteps(), func(step *wire.StepSpec) bool { return step.GetLasting() })
}

// waitingLastingTasks returns the lasting tasks of a job that this cell has to run and that have no run.
func waitingLastingTasks(j *jobs.Job) []*jobs.Task {
	var list []*jobs.Task
	for _, u := range j.Units {
		if !u.Lasting() || !u.Ready() {
			continue
		}
		for _, t := range u.Tasks {
			if len(t.Runs) == 0 && t.DelegatedTo == "" {
				list = append(list, t)
			}
		}
	}
	return list
}

// waitReason returns why a lasting task waits, and how many times it fits into the free capacity of this cell's
// workers.
func (s *State) waitReason(now time.Time, t *jobs.Task) (reason WaitReason, here int64) {
	fits := s.fitsHere(now, t)
	_, awaitsVerdict := s.verdicts[t]
	switch {
	case !t.Settled:
		return WaitUnsettled, fits.free
	case s.evacuating():
		return WaitEvacuated, fits.free
	case awaitsVerdict:
		return WaitCrashUnknown, fits.free
	case now.Before(t.RetryAt):
		return WaitRefused, fits.free
	case s.awaitsCrashOutcome(now, t) && t.Level() >= poisontask.NeedsIsolation:
		return WaitCrashUnknown, fits.free
	case t.StartRecord == jobs.StartRecordWanted:
		return WaitCrashUnrecorded, fits.free
	case s.needsIsolation(t):
		return WaitIsolatedRun, fits.free
	case fits.usable > 0 && s.enabled(OrderWindow) && !s.startWindow.MaySend():
		return WaitOrdersHeld, fits.free
	case fits.usable > 0 && s.yieldsToUrgent(now, t):
		return WaitYields, fits.free
	case fits.reserved > 0 && fits.usable == 0:
		return WaitWorkerKept, fits.free
	case fits.free > 0 && fits.usable == 0:
		return WaitWorkerNotUsable, fits.free
	case fits.usable > 0 && fits.usable == fits.avoided:
		return WaitOtherHost, fits.free
	}
	return s.undelegatedReason(now, t), fits.free
}

// waitsForWorker returns the worker that a task waits for, how much longer that may take, and the task for whose isolated
// run the worker is kept. It returns "" if the reason names no single worker.
func (s *State) waitsForWorker(now time.Time, t *jobs.Task, reason WaitReason) (worker string, left time.Duration, keptFor string) {
	switch reason {
	case WaitUnsettled:
		for _, id := range slices.Sorted(maps.Keys(s.awaitedMembers)) {
			w := s.workers[id]
			if w == nil || w.HasListedAll() || s.earlierRunsOver(now, w) || (w.RunsKnown && !slices.Contains(w.MayRun, t.Name())) {
				continue
			}
			if lease := max(0, s.lastLeaseEndAt(id).Sub(now)); worker == "" || lease > left {
				worker, left = id, lease
			}
		}
	case WaitWorkerKept:
		for _, other := range s.implicated {
			reservation, reserved := s.isolationReservations[other]
			switch {
			case reserved:
				return reservation.worker.ID, max(0, reservation.since.Add(maxReservation).Sub(now)), other.Name()
			case slices.ContainsFunc(other.Runs, func(r *jobs.Run) bool { return r.Isolated }):
				worker, keptFor = other.Runs[0].Worker, other.Name()
			}
		}
	default:
		// The wait is for capacity or for a decision.
	}
	return worker, left, keptFor
}

// undelegatedReason returns why a task for which this cell has no capacity is not delegated to another cell.
func (s *State) undelegatedReason(now time.Time, t *jobs.Task) WaitReason {
	minFits := s.minFitsToDelegate(now, t)
	switch {
	case s.fitsElsewhere(now, t.Unit) < minFits:
		return WaitCapacity
	case !s.tableAvailable(now):
		return WaitTableSilent
	case s.peerForTask(now, t.Unit, t.ReturnedAt, minFits) == "" && s.peerForTask(now, t.Unit, nil, minFits) != "":
		return WaitReturned
	}
	return WaitDelegation
}

// localFits counts how many tasks of one size fit into the free capacity of this cell's workers: of all listed
// workers (free), of those usable for new work, of those reserved for isolated runs (reserved), and of the usable ones at
// hosts that the task avoids because they crashed under it (avoided).
type localFits struct{ free, usable, reserved, avoided int64 }

// fitsHere counts how many times a task fits into the free capacity of the workers that belong to its service, have
// its label, and have fewer tasks of its step than the step's spread allows.
func (s *State) fitsHere(now time.Time, t *jobs.Task) localFits {
	c := localFits{}
	u, service := t.Unit, s.serviceOf(t.Unit.Job)
	size := workers.ReservedSize(u)
	var usable []*workers.Worker
	if t.NeedsSpecificWorker() {
		usable = s.usableWorkers(now)
	}
	for _, w := range s.workersByID() {
		if w.Ended || !w.Listed || w.Leaving || w.Service != service || !w.HasLabel(u.Spec.GetLabel()) || !size.Fits(w.FreeCapacity()) || spreadReached(u, w) {
			continue
		}
		n := max(1, w.FreeCapacity().Millicores/max(1, size.Millicores))
		c.free += n
		switch {
		case s.closedWorkers[w]:
			c.reserved += n
		case s.usable(now, w):
			c.usable += n
			if t.NeedsSpecificWorker() && awaitsOtherHost(now, t, w, usable) {
				c.avoided += n
			}
		}
	}
	return c
}
