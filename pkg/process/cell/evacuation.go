package cell

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Evacuation of a cell's hall. While it lasts, no run starts at the cell's workers, for whatever reason: usable excludes
// all of them, and orders to start are not repeated. What runs goes on until it ends. What waits is delegated to other
// cells at once. Short tasks go there also where no capacity is free, since a place in another cell's queue is better
// than none; tasks that other cells delegated here are returned.

// takeEvacuations applies a change of the set of evacuated cells.
func (s *State) takeEvacuations(e EvacuationsChanged) {
	before := s.evacuating()
	s.evacuatedCells = e.Cells
	s.placementDue, s.scanDue = true, true
	if before == s.evacuating() {
		return
	}
	running := 0
	for _, w := range s.workersByID() {
		running += len(w.Runs)
	}
	kind := NoteReopened
	if s.evacuating() {
		kind = NoteEvacuated
	}
	s.noteIfLeading(Note{Kind: kind, AgeMs: -1, Detail: fmt.Sprintf("%d units wait, %d tasks run", len(s.waitingUnits), running)})
}

// evacuating reports whether the cell's hall is evacuated.
func (s *State) evacuating() bool { return s.evacuatedCells[s.name] && !s.unsafe.NoEvacuation }

// unlessEvacuating returns how long a task waits before it may go to another cell: the given time, or 0 if it can't
// start in this one.
func (s *State) unlessEvacuating(wait time.Duration) time.Duration {
	if s.evacuating() {
		return 0
	}
	return wait
}

// minFitsElsewhere is how many times a lasting task must fit into the free capacity of all other cells together
// before it is delegated. By the platform's rules the task has to run where it fits twice. The last place is
// left to short tasks, which earn more there, unless the task can't start in this cell at all.
func (s *State) minFitsElsewhere() int64 {
	if s.evacuating() {
		return 1
	}
	return 2
}

// minFitsToDelegate is minFitsElsewhere for a task of this cell. An overdue task also counts capacity that it can't use: of this
// cell, and of cells that have not settled. That holds for the home cell only: a target cell that counted so, too, would return
// the task to a full cell, and cells would hand it to and fro.
func (s *State) minFitsToDelegate(now time.Time, t *jobs.Task) int64 {
	if overdue(now, t) && (s.fitsHere(now, t).free > 0 || s.fitsUnsettled(now, t.Unit) > 0) {
		return 1
	}
	return s.minFitsElsewhere()
}

// mayStillRun reports whether a run of a waiting task may still go on: the task has had one, or may have, and has not waited here
// for as long as any lease lasts, or it is not known whether its last worker crashed. Leases of earlier leaders count from the
// takeover, whenever the step of the task becomes ready.
func (s *State) mayStillRun(now time.Time, t *jobs.Task) bool {
	if !mayHaveRunBefore(t) {
		return false
	}
	since := s.gainedAt
	for _, at := range []time.Time{t.InCellSince, t.WaitingSince} {
		if at.After(since) {
			since = at
		}
	}
	return now.Sub(since) < delegateUnheardAfter || s.awaitsCrashOutcome(now, t)
}

// tooSmallFor reports whether no worker of the cell is large enough for a task of a unit.
func (o peerLoad) tooSmallFor(u *jobs.Unit) bool {
	largest := o.load.GetWorker()
	capacity := ledger.Size{Millicores: largest.GetMillicores(), MemoryMB: largest.GetMemoryMb(), Accelerators: largest.GetAccelerators()}
	return capacity.Millicores > 0 && !fitsCapacity(u, capacity)
}

// leastLoadedPeer returns the cell with the least short work for its capacity, among the cells in halls that are not
// evacuated, that have the label of a unit and workers large enough for it, and that returned none of its tasks lately; ""
// if there is none.
func (s *State) leastLoadedPeer(now time.Time, u *jobs.Unit) string {
	best, least := "", 0.0
	for _, name := range slices.Sorted(maps.Keys(s.peerLoads)) {
		o := s.peerLoads[name]
		if name == s.name || s.evacuatedCells[name] || !o.mayReceive(now) || !o.hasLabelFor(u) || o.load.GetCapacityMillicores() == 0 || o.tooSmallFor(u) || s.allReturnedLately(now, u, name) {
			continue
		}
		const millis = 1000
		work := o.load.GetFillerCoreMs() + o.load.GetBacklogCoreMs() + (o.delegatedFillers+o.delegatedShort)*u.Spec.GetEstimateMs()/millis
		if load := float64(work) / float64(o.load.GetCapacityMillicores()); best == "" || load < least {
			best, least = name, load
		}
	}
	return best
}

// mustReturnShort reports whether a unit has short tasks that another cell delegated here and that this cell has to
// return, because they have to leave its hall or none of its workers could ever run them, or because they could start in
// another cell and not here.
func (s *State) mustReturnShort(now time.Time, u *jobs.Unit, usable []*workers.Worker) bool {
	return returnableShort(u) && (s.mustLeave(now) || s.isUnplaceable(now, u) || s.startsElsewhereOnly(now, u, usable))
}

// startsElsewhereOnly reports whether no task of a unit can start at a usable worker of this cell, and another cell reports
// capacity for one.
func (s *State) startsElsewhereOnly(now time.Time, u *jobs.Unit, usable []*workers.Worker) bool {
	if s.manifest == nil || (s.enabled(OrderWindow) && !s.startWindow.MaySend()) {
		return false // placement may find a worker once it may order starts
	}
	if !slices.ContainsFunc(u.Waiting(now), func(t *jobs.Task) bool { return waitsTooLongHere(now, t) }) {
		return false
	}
	if peer, _ := s.peerForShort(now, u); peer == "" {
		return false
	}
	return !s.fitsUnlessTurnedDown(now, u, usable)
}

// waitsTooLongHere reports whether a delegated short task has waited here for returnAfter, and nothing else keeps it.
func waitsTooLongHere(now time.Time, t *jobs.Task) bool {
	return now.Sub(waitingHereSince(t)) >= returnAfter && !evidenceKeeps(now, t)
}

// returnableShort reports whether a unit has short tasks that another cell delegated here. Gangs are returned by
// delegateGang.
func returnableShort(u *jobs.Unit) bool {
	return u.Job.Delegated() && !u.Lasting() && !u.Spec.GetGang() && u.Job.Spec.GetHome() != ""
}

// returnShort returns the waiting tasks of a unit to their home cell, except those that may still run here.
func (s *State) returnShort(now time.Time, u *jobs.Unit) {
	all := s.mustLeave(now) || s.isUnplaceable(now, u)
	var list []*jobs.Task
	for _, t := range u.Waiting(now) {
		if !s.mayStillRun(now, t) && (all || waitsTooLongHere(now, t)) {
			list = append(list, t)
		}
	}
	if len(list) > 0 {
		s.returnTasks(now, u, list)
	}
}

// returnTasks returns tasks of a unit to their home cell.
func (s *State) returnTasks(now time.Time, u *jobs.Unit, list []*jobs.Task) {
	for _, t := range list {
		t.WaitedBeforeHandover = s.waitBeforeHandover(now, t)
		u.Job.ReturnTask(t)
	}
	reason := "they could start in another cell and not here"
	switch {
	case s.mustLeave(now):
		reason = "this hall is evacuated or has no workers"
	case s.isUnplaceable(now, u):
		reason = "no worker here could ever run them"
	}
	s.markDirty(u.Job, true)
	s.updateWaiting(now, u.Job)
	s.note(Note{
		Kind: NoteGivenBack, Job: u.Job.Spec.GetId(), Task: u.Name(), AgeMs: -1,
		Detail: fmt.Sprintf("%d tasks to %s, since %s", len(list), u.Job.Spec.GetHome(), reason),
	})
}
