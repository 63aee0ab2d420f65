package cell

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Delegation of tasks to other cells. A lasting task for which its own cell, the home cell, has no free capacity is
// delegated to another cell. delegateShort and delegateGang have the rules for short tasks and gangs.
//
// All rows of a job are in one part of the table. So one transaction records in the home cell that the task is
// delegated, and writes a specification with only that task for the target cell. The job stays in its home cell.
// The home cell reports the job's state, carries out its cancel, and passes the cancel on in the transaction that
// records it. The target cell reports done tasks and a final failure in a row among the home cell's cancels.
// While the table is unavailable nothing is delegated, because the task could start in neither cell.
//
// A target cell without free capacity returns a delegated task once another cell reports capacity for it. The
// return is a row that the home cell's leader follows. From then on only the home cell may start the task or delegate
// it again, to other cells first. The delegations of a task are numbered, so that reports on an earlier delegation
// have no effect.

const (
	// delegateAfter is how long a lasting task waits before it is delegated. By the platform's rules it is late after
	// six seconds without a run. In the first two seconds, capacity often becomes free in its own cell.
	delegateAfter = 2 * time.Second
	// ownCellGrace is the least time that a task waits in its own cell before it is delegated, even if it has
	// already waited for longer than delegateAfter in other cells.
	ownCellGrace = 300 * time.Millisecond
	// returnAfter is how long a delegated task waits in the target cell before it is returned.
	returnAfter = 1500 * time.Millisecond
	// returnBackoff is how long a task is not delegated again to a cell that returned it. The free capacity there
	// was in fragments that were too small, and one or two tasks have to end before that changes. returnBackoff
	// is less than the three seconds within which free capacity has to be used.
	returnBackoff = 2200 * time.Millisecond
	// peerFreeDivisor divides the free capacity that another cell reports: only one part in peerFreeDivisor may be
	// filled per load message, because other cells delegate there too and the capacity is fragmented.
	peerFreeDivisor = 2
	// delegateToFreeCapacityAfter is how long a lasting task waits before it is delegated to a cell that first has to free
	// capacity for it. That cell keeps short tasks off a worker until the task fits, which a cell full of lasting tasks
	// can't do. It costs short tasks their capacity, so it is only for a wait that would not end otherwise. A cell full of
	// short tasks reports no free capacity, although some becomes free all the time.
	delegateToFreeCapacityAfter = overdueAfter
	// peerLoadMaxAge is the greatest age at which another cell's load message is used.
	peerLoadMaxAge = 3 * time.Second
	// tableConfirmedWithin is the greatest age of the last leadership renewal at which the table counts as available.
	// Renewals come every 0.4 s.
	tableConfirmedWithin = time.Second
)

// peerLoad is the last load message from the leader of another cell.
type peerLoad struct {
	load *wire.CellLoad
	// receivedAt is when the message was received.
	receivedAt time.Time
	// delegatedLasting, delegatedFillers and delegatedShort are the millicores of lasting tasks, fillers and other
	// short tasks that were delegated to the cell since the message.
	delegatedLasting, delegatedFillers, delegatedShort int64
}

// tableAvailable reports whether a write to the table is likely to succeed soon: no part of the table failed its last
// write, and the leadership was renewed within tableConfirmedWithin.
func (s *State) tableAvailable(now time.Time) bool {
	for _, p := range s.writers {
		if p.failing {
			return false
		}
	}
	return now.Sub(s.leadershipConfirmedAt) <= tableConfirmedWithin
}

// delegateWaiting delegates tasks that have waited long enough to cells with free capacity. Tasks that were delegated to this
// cell and wait too long are returned.
func (s *State) delegateWaiting(now time.Time) {
	if !s.tableAvailable(now) {
		return
	}
	var units []*jobs.Unit
	var lasting []*jobs.Task // those without a run for longest come first, as few are delegated at a time
	mustReturn, usable := map[*jobs.Unit]bool{}, s.usableWorkers(now)
	for u := range s.waitingUnits {
		mustReturn[u] = s.mustReturnShort(now, u, usable)
		if (u.Lasting() && s.enabled(LendLasting)) || s.mayDelegateShort(u) || s.mayDelegateGang(u) || mustReturn[u] {
			units = append(units, u)
		}
	}
	slices.SortFunc(units, func(a, b *jobs.Unit) int {
		if a.Name() < b.Name() {
			return -1
		}
		return 1
	})
	for _, u := range units {
		if s.mayDelegateGang(u) {
			s.delegateGang(now, u, usable)
			continue
		}
		if mustReturn[u] {
			s.returnShort(now, u)
			continue
		}
		if !u.Lasting() {
			s.delegateShort(now, u)
			continue
		}
		lasting = append(lasting, u.Waiting(now)...)
	}
	slices.SortStableFunc(lasting, func(a, b *jobs.Task) int { return withoutRunSince(a).Compare(withoutRunSince(b)) })
	for _, t := range lasting {
		s.delegateLasting(now, t)
	}
}

// delegateLasting delegates a waiting lasting task, or returns it if it was delegated to this cell, once it has waited long enough.
func (s *State) delegateLasting(now time.Time, t *jobs.Task) {
	delegated, here := t.Unit.Job.Delegated(), now.Sub(waitingHereSince(t))
	switch {
	case delegated && here >= s.unlessEvacuating(returnAfter):
		s.returnTask(now, t)
	case s.awaitsCrashOutcome(now, t) && t.Level() >= poisontask.NeedsIsolation:
		// The task may be given up once it is known whether its silent worker crashed.
	case !delegated && now.Sub(waitingSince(t)) >= s.unlessEvacuating(delegateAfter) && here >= s.unlessEvacuating(ownCellGrace):
		s.delegateTask(now, t)
	}
}

// waitingSince returns since when a task has had no run in any cell. For a task that never had one, that is the time at
// which its job was accepted.
func waitingSince(t *jobs.Task) time.Time {
	if t.WaitingSince.IsZero() {
		return t.Unit.Job.AcceptedAt
	}
	return t.WaitingSince
}

// waitBeforeHandover returns how long a task has been without a run, for the cell that takes it over. A leader that took
// over a job that runs does not know when the task last ran: it counts what it has seen itself.
func (s *State) waitBeforeHandover(now time.Time, t *jobs.Task) time.Duration {
	if t.Unit.Job.HasStarted && t.Unit.Job.AcceptedAt.Before(s.gainedAt) {
		return now.Sub(withoutRunSince(t))
	}
	return now.Sub(waitingSince(t))
}

// waitingHereSince returns since when a task has waited in this cell. Where that is not known, it is the time at which
// this leader found the task's unit ready.
func waitingHereSince(t *jobs.Task) time.Time {
	if t.InCellSince.IsZero() {
		return t.Unit.ReadyAt
	}
	return t.InCellSince
}

// delegateTask delegates a lasting task to another cell, if one can take it.
func (s *State) delegateTask(now time.Time, t *jobs.Task) {
	size := t.Unit.Size.Millicores
	name := s.peerForTask(now, t.Unit, t.ReturnedAt, s.minFitsToDelegate(now, t))
	if name == "" && now.Sub(waitingSince(t)) >= s.unlessEvacuating(delegateToFreeCapacityAfter) {
		name = s.peerToFreeCapacity(now, t.Unit, t.ReturnedAt)
	}
	if name == "" || s.holdHere(now, t) {
		return
	}
	o := s.peerLoads[name]
	o.delegatedLasting += size
	s.peerLoads[name] = o
	j := t.Unit.Job
	t.WaitedBeforeHandover = s.waitBeforeHandover(now, t)
	s.pendingDelegations[j] = append(s.pendingDelegations[j], j.Delegate(name, t))
	s.markDirty(j, true)
	s.updateWaiting(now, j)
	s.note(Note{
		Kind: NoteLent, Job: j.Spec.GetId(), Task: t.Name(), AgeMs: now.Sub(o.receivedAt).Milliseconds(),
		Detail: fmt.Sprintf(
			"to %s with %d millicores free, %d delegated since that report, waited %s",
			name, o.load.GetFreeMillicores(), o.delegatedLasting, now.Sub(waitingSince(t)).Round(time.Millisecond),
		),
	})
}

// returnTask returns a delegated task to its home cell, if another cell reports capacity for it.
func (s *State) returnTask(now time.Time, t *jobs.Task) {
	j := t.Unit.Job
	name := s.peerForTask(now, t.Unit, nil, s.minFitsElsewhere())
	if name == "" || j.Spec.GetHome() == "" || len(t.Runs) > 0 || s.holdHere(now, t) {
		return
	}
	t.WaitedBeforeHandover = s.waitBeforeHandover(now, t)
	j.ReturnTask(t)
	s.markDirty(j, true)
	s.updateWaiting(now, j)
	s.note(Note{
		Kind: NoteGivenBack, Job: j.Spec.GetId(), Task: t.Name(), AgeMs: now.Sub(s.peerLoads[name].receivedAt).Milliseconds(),
		Detail: fmt.Sprintf("to %s, capacity in %s, waited %s", j.Spec.GetHome(), name, now.Sub(waitingSince(t)).Round(time.Millisecond)),
	})
}

// takeTasksReturned applies the report of another cell on tasks that were delegated there: tasks that it returns, tasks
// that are done, and a final failure, which fails the job.
func (s *State) takeTasksReturned(now time.Time, r *wire.ReturnedTasks) {
	j := s.jobs[r.GetId()]
	if j == nil || s.phase != leading || s.unsafe.NoReports {
		return
	}
	if j.Ended() {
		j.ApplyReturned(r, now, s.newTasksSettled())
		s.markDirty(j, false) // the transaction that records the end removes the report's row
		return
	}
	news := j.ApplyReturned(r, now, s.newTasksSettled())
	if !news && r.GetFailed() == "" {
		return
	}
	s.note(Note{
		Kind: NoteTakenBack, Job: r.GetId(), AgeMs: -1,
		Detail: fmt.Sprintf("%d tasks returned, %d done, by %s %s", len(r.GetTasks()), len(r.GetDone()), r.GetFrom(), r.GetFailed()),
	})
	if r.GetFailed() != "" {
		s.endJob(now, j, wire.JobPhase_JOB_PHASE_FAILED, r.GetFailed())
		return
	}
	for _, ref := range r.GetTasks() {
		t := j.Task(int(ref.GetTime()), int(ref.GetStep()), int(ref.GetIndex()))
		if t != nil && !t.Unit.Lasting() && s.failIfAttemptsUsed(now, t) {
			return
		}
	}
	s.restoreEvidence(now, j)
	s.holdBackTasks(j)
	s.markDirty(j, true)
	s.updateWaiting(now, j)
	s.completeIfDone(now, j)
}

// mayReceive reports whether a task may be delegated on the load message: it is recent, and its cell has settled, so
// that a delegated task may start there at once.
func (o peerLoad) mayReceive(now time.Time) bool {
	return o.recent(now) && o.load.GetSettlesInMs() == 0
}

// recent reports whether the load message is recent enough to be used.
func (o peerLoad) recent(now time.Time) bool { return now.Sub(o.receivedAt) <= peerLoadMaxAge }

// hasLabelFor reports whether the cell has workers with the label that the unit requires, if it requires one.
func (o peerLoad) hasLabelFor(u *jobs.Unit) bool {
	return u.Spec.GetLabel() == "" || slices.Contains(o.load.GetLabels(), u.Spec.GetLabel())
}

// freeEachFor returns the free millicores of each worker of the cell that may take tasks of the unit. Lasting tasks may
// also take workers that they would share with an isolated run.
func (o peerLoad) freeEachFor(u *jobs.Unit) []int64 {
	if each := o.load.GetLastingFreeEach(); u.Lasting() && len(each) > 0 {
		return each
	}
	return o.load.GetFreeEach()
}

// fitsElsewhere returns how many tasks of a unit fit into the free capacity of the other cells, by their last load
// messages less the lasting tasks delegated to them since.
func (s *State) fitsElsewhere(now time.Time, u *jobs.Unit) int64 {
	size, service := max(1, u.Size.Millicores), s.serviceOf(u.Job)
	fits := int64(0)
	for name, o := range s.peerLoads {
		if name == s.name || !o.mayReceive(now) || !o.hasLabelFor(u) {
			continue
		}
		fits += o.startable(u, service) - o.delegatedLasting/size
	}
	return fits
}

// fitsUnsettled returns how many tasks of a unit fit into the free capacity of other cells that have not settled. A task that was
// delegated there would be held back until they have.
func (s *State) fitsUnsettled(now time.Time, u *jobs.Unit) int64 {
	fits := int64(0)
	for name, o := range s.peerLoads {
		if name != s.name && o.recent(now) && o.load.GetSettlesInMs() > 0 && o.hasLabelFor(u) {
			fits += o.startable(u, s.serviceOf(u.Job))
		}
	}
	return fits
}

// peerForTask returns the cell with the most free capacity left, among the cells that have a worker on which a task of
// the unit fits. Cells that returned the task within returnBackoff are skipped. It returns "" if there is no such cell,
// or if the task fits fewer than minFits times into all other cells together.
func (s *State) peerForTask(now time.Time, u *jobs.Unit, returnedAt map[string]time.Time, minFits int64) string {
	if s.fitsElsewhere(now, u) < minFits {
		return ""
	}
	size, service := u.Size.Millicores, s.serviceOf(u.Job)
	best, most := "", int64(-1)
	for _, name := range slices.Sorted(maps.Keys(s.peerLoads)) {
		o := s.peerLoads[name]
		if name == s.name || now.Sub(returnedAt[name]) < returnBackoff || !o.mayReceive(now) || !o.hasLabelFor(u) {
			continue
		}
		if o.load.GetLargestFreeMillicores() < size || o.startable(u, service) == 0 {
			continue
		}
		left := o.load.GetFreeMillicores()/peerFreeDivisor - o.delegatedLasting
		if o.delegatedLasting > 0 && left < size {
			continue
		}
		if left > most {
			best, most = name, left
		}
	}
	return best
}

// peerToFreeCapacity returns the cell whose best worker would have the most capacity for a lasting task of a unit once the
// short tasks there have ended, or "" if the task would fit nowhere. Cells that returned the task within returnBackoff
// are skipped. So are cells to which a lasting task was delegated since their last load message: one task is delegated
// per message.
func (s *State) peerToFreeCapacity(now time.Time, u *jobs.Unit, returnedAt map[string]time.Time) string {
	best, most := "", u.Size.Millicores-1
	for _, name := range slices.Sorted(maps.Keys(s.peerLoads)) {
		o := s.peerLoads[name]
		if name == s.name || o.delegatedLasting > 0 || !o.hasLabelFor(u) || now.Sub(returnedAt[name]) < returnBackoff || !o.mayReceive(now) {
			continue
		}
		if millicores := o.mostForLasting(u, s.serviceOf(u.Job)); millicores > most {
			best, most = name, millicores
		}
	}
	return best
}
