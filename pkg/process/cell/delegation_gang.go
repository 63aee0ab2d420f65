package cell

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Delegation of gangs. In a cell full of lasting tasks, capacity for all tasks of a gang at once may never become
// free. So the gang is delegated as a whole to a cell that reports capacity for all of its tasks. Its failure counts,
// crash evidence and checkpoint go with it; tickets of the advice service don't, because they are for workers of this
// cell. A gang that has run here, or may have, waits longer before that, because this cell may still learn that it ended
// well. A target cell that can't start the gang returns it as a whole.

// delegateStartedGangAfter is how long a gang that may have run here waits before it is delegated. After the longest
// lease, no run of it can still go on.
const delegateStartedGangAfter = LongestLease

// mayDelegateGang reports whether a unit is a gang that another cell may run.
func (s *State) mayDelegateGang(u *jobs.Unit) bool { return u.Spec.GetGang() && s.mayDelegateKind(u) }

// delegateGangAfter returns how long a gang waits before it is delegated. One that no worker of this cell could run does not wait
// for capacity.
func (s *State) delegateGangAfter(now time.Time, u *jobs.Unit) time.Duration {
	after := s.unlessEvacuating(delegateAfter)
	_, advised := s.ticketValidity(u)
	switch {
	case slices.ContainsFunc(u.Tasks, func(t *jobs.Task) bool { return s.mayStillRun(now, t) }):
		after = delegateStartedGangAfter
	case s.isUnplaceable(now, u):
		after = 0
	case advised:
		after = s.unlessEvacuating(delegateUnheardAfter) // the advice service is asked about some workers at a time
	}
	if slices.ContainsFunc(u.Tasks, s.needsIsolation) && !s.isUnplaceable(now, u) {
		after = max(after, s.unlessEvacuating(isolatedOtherHostWait)) // another cell would have to run it isolated, too
	}
	return after
}

// delegateGang delegates a gang that has waited long enough to a cell with capacity for all of its tasks. A gang that
// was delegated to this cell is returned after returnAfter.
func (s *State) delegateGang(now time.Time, u *jobs.Unit, usable []*workers.Worker) {
	if len(u.Waiting(now)) < len(u.Tasks) {
		return
	}
	if slices.ContainsFunc(u.Tasks, func(t *jobs.Task) bool { return s.awaitsCrashOutcome(now, t) }) {
		return // the gang may be given up once it is known whether a silent worker crashed
	}
	first := u.Tasks[0]
	if u.Job.Delegated() {
		if s.mustReturnGang(now, u, usable) {
			s.returnTasks(now, u, u.Tasks)
		}
		return
	}
	waited := now.Sub(u.ReadyAt)
	if waited < s.delegateGangAfter(now, u) {
		return
	}
	name, fits := s.peerForGang(now, u)
	if name == "" || u.Job.Delegable(name, u.Tasks) < len(u.Tasks) {
		return
	}
	s.countDelegated(name, u, len(u.Tasks))
	for _, t := range u.Tasks {
		t.WaitedBeforeHandover = s.waitBeforeHandover(now, t)
	}
	j := u.Job
	s.pendingDelegations[j] = append(s.pendingDelegations[j], j.Delegate(name, u.Tasks...))
	s.forecastBegan(j)
	s.markDirty(j, true)
	s.updateWaiting(now, j)
	s.note(Note{
		Kind: NoteLent, Job: j.Spec.GetId(), Task: first.Name(), AgeMs: now.Sub(s.peerLoads[name].receivedAt).Milliseconds(),
		Detail: fmt.Sprintf("gang of %d to %s with capacity for %d, waited %s", len(u.Tasks), name, fits, waited.Round(time.Millisecond)),
	})
}

// mustReturnGang reports whether a gang that another cell delegated here has to go back: it has to leave the hall, or it has
// waited for returnAfter and another cell could start all of it.
func (s *State) mustReturnGang(now time.Time, u *jobs.Unit, usable []*workers.Worker) bool {
	if u.Job.Spec.GetHome() == "" {
		return false
	}
	if s.mustLeave(now) {
		return true
	}
	peer, _ := s.peerForGang(now, u)
	return peer != "" && now.Sub(waitingHereSince(u.Tasks[0])) >= returnAfter && !s.awaitsAdvice(now, u, usable)
}

// mayHaveRunBefore reports whether a task has run, or may have: it may have been started here, or a crash, a failed run
// or a checkpoint of it is known.
func mayHaveRunBefore(t *jobs.Task) bool {
	return t.MayHaveRun || len(t.Crashes) > 0 || len(t.FailedRuns) > 0 || t.Checkpoint != ""
}

// peerForGang returns the cell with capacity for the most tasks of a gang, and for how many. It returns "" if no cell
// has capacity for the whole gang. Cells that returned the gang within its backoff are skipped.
func (s *State) peerForGang(now time.Time, u *jobs.Unit) (best string, most int64) {
	service, waited := s.serviceOf(u.Job), now.Sub(u.ReadyAt)
	for _, name := range slices.Sorted(maps.Keys(s.peerLoads)) {
		o := s.peerLoads[name]
		if name == s.name || !o.mayReceive(now) || !o.hasLabelFor(u) || s.returnedLately(now, u.Tasks[0], name) {
			continue
		}
		fits := s.startableGang(o, u, service, waited)
		if fits >= int64(len(u.Tasks)) && fits > most {
			best, most = name, fits
		}
	}
	return best, most
}

// startableGang returns how many tasks of a gang could start in a cell, less what was delegated there since its load
// message. A gang of fillers needs harmless places, or later a cell that gives others, too.
func (s *State) startableGang(o peerLoad, u *jobs.Unit, service string, waited time.Duration) int64 {
	startable, delegated := o.unclaimed(u, service)
	if u.Spec.GetFiller() && (waited < delegateToHarmfulAfter || !s.givesHarmfulPlaces(o)) {
		return int64(o.delegableTasks(u, service, waited))
	}
	return startable - delegated
}
