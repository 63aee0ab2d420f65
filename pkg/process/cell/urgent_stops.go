package cell

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/reserve"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Stops of lasting tasks for urgent ones that wait too long for a place. Package reserve chooses the tasks.

// stopInterval is the least time between two searches for lasting tasks to stop. A search examines all runs and, for units
// that wait, all workers; a cell decides some hundred times a second. It is a small part of the wait that callers accept.
const stopInterval = 20 * time.Millisecond

// stopsAfter is how long a leader stops nothing after it has begun. Workers list a task as running while it is being stopped,
// which takes up to 0.9 s, and its predecessor may have ordered stops until the worker heard of the new leader.
const stopsAfter = 2 * time.Second

// stopForUrgent stops lasting tasks for urgent ones that have waited too long for a place here and find none in another
// cell. It stops nothing until it is known what earlier leaders started, nor while the table is away: the ends of these
// runs could not be recorded. It is called after all waiting tasks have been placed that fit.
func (s *State) stopForUrgent(now time.Time, usable []*workers.Worker) {
	if !s.mayStopNow(now) || now.Sub(s.urgentReserve.triedAt) < stopInterval {
		return
	}
	s.urgentReserve.triedAt = now
	short := map[string]*jobs.Unit{}
	for u := range s.waitingUnits {
		if !s.urgent(u) {
			continue
		}
		service := s.serviceOf(u.Job)
		if before := short[service]; before != nil && (u.ReadyAt.After(before.ReadyAt) || (u.ReadyAt.Equal(before.ReadyAt) && u.Name() > before.Name())) {
			continue // before lacksPlace, which examines each worker
		}
		if s.lacksPlace(now, u, usable) {
			short[service] = u
		}
	}
	for _, service := range slices.Sorted(maps.Keys(short)) {
		s.stopForUnit(now, short[service], service, usable)
	}
}

// mayStopNow reports whether this leader may stop lasting tasks for urgent ones.
func (s *State) mayStopNow(now time.Time) bool {
	leads := s.settled && s.phase == leading && now.Sub(s.gainedAt) >= stopsAfter
	return s.keepsReserve() && leads && !s.evacuating() && s.tableAvailable(now)
}

// lateTasks returns how many late lasting tasks of a service wait for capacity that a candidate for a stop would need, too, and
// whether one of them was stopped for urgent tasks.
func (s *State) lateTasks(now time.Time, service string, hosts []*workers.Worker, candidates []reserve.Candidate) (n int, stopped bool) {
	for u := range s.waitingUnits {
		if !u.Lasting() || s.serviceOf(u.Job) != service || !s.competesWith(u, hosts, candidates) {
			continue
		}
		for _, t := range u.Tasks {
			if t.Waiting(now) && !t.NeedsSpecificWorker() && now.Sub(withoutRunSince(t)) >= lateAfter {
				n++
				stopped = stopped || s.urgentReserve.stops.Resting(now, t.Name())
			}
		}
	}
	return n, stopped
}

// competesWith reports whether a task of a unit would fit in place of a candidate for a stop, with no condition that the candidate
// does not have.
func (s *State) competesWith(u *jobs.Unit, hosts []*workers.Worker, candidates []reserve.Candidate) bool {
	_, needsTicket := s.ticketValidity(u)
	if needsTicket || u.Spec.GetGang() || slices.ContainsFunc(hosts, func(w *workers.Worker) bool { return !w.HasLabel(u.Spec.GetLabel()) }) {
		return false
	}
	return slices.ContainsFunc(candidates, func(c reserve.Candidate) bool {
		w := s.workers[c.Worker]
		return workers.ReservedSize(u).Fits(w.FreeCapacity().Plus(c.Size)) && !spreadReached(u, w)
	})
}

// lacksPlace reports whether an urgent unit has waited too long for want of a place, here and elsewhere. A job that earns
// nothing any more, and a task with the evidence of a crash against it, are not worth a stop.
func (s *State) lacksPlace(now time.Time, u *jobs.Unit, usable []*workers.Worker) bool {
	if !reserve.Overdue(now.Sub(u.ReadyAt), s.bounds.UrgentWait) || u.Outlook == jobs.Hopeless {
		return false
	}
	if !slices.ContainsFunc(u.Waiting(now), func(t *jobs.Task) bool { return !t.NeedsSpecificWorker() }) {
		return false
	}
	service := s.serviceOf(u.Job)
	if slices.ContainsFunc(usable, func(w *workers.Worker) bool { return s.fits(now, u, service, w) }) {
		return false
	}
	if !s.mayDelegateShort(u) || now.Sub(u.ReadyAt) < s.delegateShortAfter(now, u) {
		return true
	}
	name, _ := s.peerForShort(now, u)
	return name == ""
}

// stopForUnit stops lasting tasks so that the missing gaps of a service become free. If the unit that waits needs more than
// the usual gap, these are gaps for its own tasks.
func (s *State) stopForUnit(now time.Time, u *jobs.Unit, service string, usable []*workers.Worker) {
	var hosts []*workers.Worker
	for _, w := range usable {
		if u.Size.Fits(w.Capacity) && s.lacksOnlyCapacity(now, u, service, w) {
			hosts = append(hosts, w)
		}
	}
	k := s.urgentReserve
	demand := k.demands[service]
	if demand == nil || len(hosts) == 0 {
		return
	}
	size, wanted := demand.Size(), k.wanted[service]
	if !u.Size.Fits(size) {
		size, wanted = u.Size, waitingTasks(now, u)
	}
	missing := wanted - s.gapsFree(usable, service, size, freeSoon)
	if missing <= 0 {
		return
	}
	runs, lasting := map[string]*jobs.Run{}, s.lastingTasks(now)
	away := map[*jobs.Unit]int{}
	var candidates []reserve.Candidate
	for _, w := range hosts {
		for _, r := range w.Runs {
			if !s.mayStopForUrgent(now, r) {
				continue
			}
			step, free := r.Task.Unit, w.FreeCapacity()
			if _, known := away[step]; !known {
				away[step] = tasksAway(step)
			}
			c := reserve.Candidate{
				Task: r.Task.Name(), Worker: w.ID, Step: step.Name(), Size: workers.ReservedSize(step),
				MoreAway: reserve.MoreAway(int(step.Spec.GetMayMiss()), len(step.Tasks), away[step]),
			}
			c.Gaps = reserve.Gaps(free.Plus(c.Size), size) - reserve.Gaps(free, size)
			candidates, runs[c.Task] = append(candidates, c), r
		}
	}
	late, stopped := s.lateTasks(now, service, hosts, candidates)
	if stopped {
		return
	}
	for _, c := range reserve.Choose(candidates, missing, k.stops.Allowed(now, lasting)-late) {
		k.stops.Add(now, c.Task)
		k.freedAt[s.workers[c.Worker]] = now
		s.stopRun(now, s.workers[c.Worker], runs[c.Task], "its capacity is kept for urgent tasks")
		s.note(Note{
			Kind: NoteLastingStopped, Job: runs[c.Task].Task.Unit.Job.Spec.GetId(), Task: c.Task, Run: runs[c.Task].Number, Worker: c.Worker,
			AgeMs:  now.Sub(u.ReadyAt).Milliseconds(),
			Detail: fmt.Sprintf("%d gaps of %d millicores and %d MB for queue %s, %d missing", c.Gaps, size.Millicores, size.MemoryMB, u.Job.Spec.GetQueue(), missing),
		})
	}
}

// lacksOnlyCapacity reports whether a unit could start at a worker if lasting tasks were stopped there, at which no run is
// being stopped, nor was within nextStopAfter.
func (s *State) lacksOnlyCapacity(now time.Time, u *jobs.Unit, service string, w *workers.Worker) bool {
	switch s.placementBlocker(now, u, service, w) {
	case blockedByCapacity, blockedByMemory:
	default:
		return false
	}
	if _, stopped := s.urgentReserve.freedAt[w]; stopped {
		return false // observeUrgent removes the entry after nextStopAfter
	}
	if s.closedWorkers[w] || s.reservedForLasting[w] || len(w.OrphanedRuns) > 0 || s.quarantined(now, w) {
		return false
	}
	if most := int(u.Spec.GetSpread()); most > 0 && w.TaskCount(u) >= most {
		return false
	}
	return !slices.ContainsFunc(w.Runs, func(r *jobs.Run) bool { return r.State == jobs.Stopping })
}

// mayStopForUrgent reports whether a run is one of a lasting task that may be stopped for urgent tasks, apart from the other
// tasks of its step.
func (s *State) mayStopForUrgent(now time.Time, r *jobs.Run) bool {
	t := r.Task
	switch {
	case !t.Unit.Lasting() || t.Unit.Spec.GetGang() || t.Unit.Spec.GetCopies():
		return false
	case r.State != jobs.Running || r.Isolated || !t.Settled || t.Unit.Job.Ended():
		return false
	case t.NeedsStartRecord() || s.urgentReserve.stops.Resting(now, t.Name()):
		return false
	}
	return !t.Unit.Job.Delegated() || !slices.ContainsFunc(t.Unit.Tasks, func(other *jobs.Task) bool { return other.DelegatedTo != "" })
}

// tasksAway returns how many tasks of a unit don't run, for any reason. What was delegated to other cells counts as away,
// since this cell does not know whether it runs there.
func tasksAway(u *jobs.Unit) int {
	away := 0
	for _, t := range u.Tasks {
		if t.DelegatedTo != "" || !slices.ContainsFunc(t.Runs, func(r *jobs.Run) bool { return r.State == jobs.Running }) {
			away++
		}
	}
	return away
}

// lastingTasks returns how many lasting tasks run or wait in this cell.
func (s *State) lastingTasks(now time.Time) int {
	n := 0
	for _, w := range s.workersByID() {
		for _, r := range w.Runs {
			if r.Task.Unit.Lasting() {
				n++
			}
		}
	}
	for u := range s.waitingUnits {
		if u.Lasting() {
			n += waitingTasks(now, u)
		}
	}
	return n
}
