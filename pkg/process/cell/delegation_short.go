package cell

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
)

// Delegation of short tasks, those that are not lasting; delegation_gang.go has the rules for gangs. A wide step needs
// more capacity at once than its cell has. The steps of a job may be fillers of different images, and its cell may have
// no harmless place for some of these. Both are spread over the cells that have free capacity.

const (
	// delegateFillerAfter is how long a filler waits before it is delegated. That is some polls of the workers, between
	// which the load of its neighbours may fall. A delegation takes about 50 ms.
	delegateFillerAfter = 400 * time.Millisecond
	// delegatePlainAfter is how long other short tasks wait before they are delegated. It is less than
	// delegateFillerAfter because their objectives are the tightest.
	delegatePlainAfter = 100 * time.Millisecond
	// delegateToHarmfulAfter is how long a filler waits before it may go to a cell without a harmless place for it. Before
	// that, its own cell may give it a place whatever that costs (harmfulPlaceAfter).
	delegateToHarmfulAfter = harmfulPlaceAfter + 500*time.Millisecond
)

// mayDelegateShort reports whether each task of a unit may run by itself in any cell. Lasting tasks, gangs and tasks
// delegated to this cell may not.
func (s *State) mayDelegateShort(u *jobs.Unit) bool {
	return !u.Lasting() && !u.Spec.GetGang() && !u.Job.Delegated() && s.mayDelegateKind(u)
}

// mayDelegateKind reports whether the mechanism that delegates tasks of a unit's kind is enabled.
func (s *State) mayDelegateKind(u *jobs.Unit) bool {
	switch {
	case u.Lasting():
		return s.enabled(LendLasting)
	case u.Spec.GetFiller():
		return s.enabled(LendFillers)
	}
	return s.enabled(LendPlain)
}

// delegateUnheardAfter is how long a short task that may have run here waits before it is delegated. After the longest
// lease, no run of it can still go on.
const delegateUnheardAfter = LongestLease

// delegateShortAfter returns how long the tasks of a unit wait before they are delegated. Tasks that require a label or a
// rack wait longer, because the registry rows of the workers that have it may only have lapsed, unless they have been missing for
// as long. So do tasks whose starts need a ticket, because the advice service is asked about some workers at a time.
func (s *State) delegateShortAfter(now time.Time, u *jobs.Unit) time.Duration {
	_, advised := s.ticketValidity(u)
	bound := advised || u.Spec.GetLabel() != "" || u.Spec.GetRack() != ""
	switch {
	case bound && !s.mustLeave(now) && !s.isUnplaceable(now, u):
		return delegateUnheardAfter
	case u.Spec.GetFiller():
		return s.unlessEvacuating(delegateFillerAfter)
	}
	return s.unlessEvacuating(delegatePlainAfter)
}

// delegateShort delegates waiting tasks of a unit to the cell where most of them could start at once. A task that may have
// run here waits longer, because this cell may still learn that the run ended well.
func (s *State) delegateShort(now time.Time, u *jobs.Unit) {
	waited := now.Sub(u.ReadyAt)
	if waited < s.delegateShortAfter(now, u) {
		return
	}
	var candidates []*jobs.Task
	for _, t := range u.Waiting(now) {
		if !s.mayStillRun(now, t) && (s.mustLeave(now) || s.isUnplaceable(now, u) || !evidenceKeeps(now, t)) {
			candidates = append(candidates, t)
		}
	}
	name, delegable := s.peerForShort(now, u)
	candidates = slices.DeleteFunc(candidates, func(t *jobs.Task) bool { return s.returnedLately(now, t, name) })
	n := min(len(candidates), delegable)
	if n > 0 {
		n = u.Job.Delegable(name, candidates[:n])
	}
	if n <= 0 {
		return
	}
	s.countDelegated(name, u, n)
	j := u.Job
	s.pendingDelegations[j] = append(s.pendingDelegations[j], j.Delegate(name, candidates[:n]...))
	s.forecastBegan(j)
	s.markDirty(j, true)
	s.updateWaiting(now, j)
	s.note(Note{
		Kind: NoteLent, Job: j.Spec.GetId(), Task: candidates[0].Name(), AgeMs: now.Sub(s.peerLoads[name].receivedAt).Milliseconds(),
		Detail: fmt.Sprintf("%d of %d waiting tasks to %s with capacity for %d, waited %s", n, len(candidates), name, delegable, waited.Round(time.Millisecond)),
	})
}

// evidenceKeeps reports whether a task stays in this cell because of its crash evidence: another cell would begin the wait for
// an isolated run, or for another host, anew.
func evidenceKeeps(now time.Time, t *jobs.Task) bool {
	return len(t.Crashes) > 0 && now.Sub(waitingHereSince(t)) < isolatedOtherHostWait
}

// countDelegated adds n tasks of a unit to what was delegated to a cell since its last load message.
func (s *State) countDelegated(name string, u *jobs.Unit, n int) {
	o := s.peerLoads[name]
	millicores := int64(n) * u.Size.Millicores
	switch {
	case u.Lasting():
		o.delegatedLasting += millicores
	case u.Spec.GetFiller():
		o.delegatedFillers += millicores
	default:
		o.delegatedShort += millicores
	}
	s.peerLoads[name] = o
}

// peerForShort returns the cell where most tasks of a unit could start at once, and how many may be delegated to it
// on its last load message; "" and 0 if there is none. Out of a hall that they have to leave, all tasks may go to the
// least loaded cell if they could start in none.
func (s *State) peerForShort(now time.Time, u *jobs.Unit) (best string, most int) {
	for _, name := range slices.Sorted(maps.Keys(s.peerLoads)) {
		o := s.peerLoads[name]
		if name == s.name || !o.mayReceive(now) || !o.hasLabelFor(u) || o.tooSmallFor(u) || s.allReturnedLately(now, u, name) {
			continue
		}
		if delegable := o.delegableTasks(u, s.serviceOf(u.Job), now.Sub(u.ReadyAt)); delegable > most {
			best, most = name, delegable
		}
	}
	if most == 0 && u.Spec.GetFiller() && now.Sub(u.ReadyAt) >= delegateToHarmfulAfter {
		best, most = s.mostlyFreePeer(now, u)
	}
	if most > 0 || !s.mustLeave(now) {
		return best, most
	}
	if best = s.leastLoadedPeer(now, u); best != "" {
		most = len(u.Tasks)
	}
	return best, most
}

// mostlyFreePeer returns the cell with unused processors for the most tasks of a unit of fillers, among the cells that give them
// harmful places, and how many may be delegated to it on its last load message; "" and 0 if there is none. The sums for
// fillers in load messages are of harmless places, and only for images that have run beside serving images.
func (s *State) mostlyFreePeer(now time.Time, u *jobs.Unit) (best string, most int) {
	for _, name := range slices.Sorted(maps.Keys(s.peerLoads)) {
		o := s.peerLoads[name]
		if name == s.name || !s.givesHarmfulPlaces(o) || !o.mayReceive(now) || !o.hasLabelFor(u) || o.tooSmallFor(u) || s.allReturnedLately(now, u, name) {
			continue
		}
		if delegable := o.delegableByRoom(u, s.serviceOf(u.Job), now.Sub(u.ReadyAt)); delegable > most {
			best, most = name, delegable
		}
	}
	return best, most
}

// givesHarmfulPlaces reports whether a cell gives fillers also places that cost their neighbours more than they earn (maxNetCost): it
// does while it, or all cells together, are mostly free.
func (s *State) givesHarmfulPlaces(o peerLoad) bool {
	return o.tellsCapacity() && (s.cellsMostlyFree || o.isMostlyFree())
}

// returnedLately reports whether a cell returned a task within the task's backoff.
func (s *State) returnedLately(now time.Time, t *jobs.Task, name string) bool {
	return now.Sub(t.ReturnedAt[name]) < s.shortReturnBackoff(t, name)
}

// allReturnedLately reports whether a cell returned each waiting task of a unit within the task's backoff.
func (s *State) allReturnedLately(now time.Time, u *jobs.Unit, name string) bool {
	return !slices.ContainsFunc(u.Waiting(now), func(t *jobs.Task) bool { return !s.returnedLately(now, t, name) })
}

const (
	// maxReturnDoublings bounds the backoff of a short task that was returned by a cell which may never be able to run it, to
	// about 37 minutes.
	maxReturnDoublings = 10
	// maxStartableDoublings bounds it for a cell that reports workers on which the task could start, to about 9 seconds.
	maxStartableDoublings = 2
)

// shortReturnBackoff returns how long a short task is not delegated again to a cell that returned it. It doubles with each
// delegation, so that the task does not change cells every few seconds. The number of delegations outlasts the leader.
func (s *State) shortReturnBackoff(t *jobs.Task, name string) time.Duration {
	most := int32(maxReturnDoublings)
	if o := s.peerLoads[name]; len(o.load.GetFreeWorkers()) > 0 && o.startable(t.Unit, s.serviceOf(t.Unit.Job)) > 0 {
		most = maxStartableDoublings
	}
	return returnBackoff << min(max(0, t.Delegations-1), most)
}

// delegableTasks returns how many more tasks of a unit of a service may be delegated to the cell on its last load message.
// waited is how long the unit has waited.
func (o peerLoad) delegableTasks(u *jobs.Unit, service string, waited time.Duration) int {
	size := max(1, u.Size.Millicores)
	if !u.Spec.GetFiller() {
		return o.delegableByRoom(u, service, waited)
	}
	harmless := (o.load.GetFillerFreeMillicores()[u.Image()] - o.delegatedFillers) / size
	if len(o.load.GetFreeWorkers()) > 0 {
		harmless = min(harmless, o.startable(u, service)-o.delegatedFillers/size)
	}
	return int(harmless)
}

// tellsCapacity reports whether the load message names the cell's capacity. Senders of earlier versions don't.
func (o peerLoad) tellsCapacity() bool { return o.load.GetCapacityMillicores() > 0 }

// isMostlyFree reports whether the cell by itself has spare capacity.
func (o peerLoad) isMostlyFree() bool {
	capacity := o.load.GetCapacityMillicores()
	return isMostlyFree(capacity-o.load.GetFreeMillicores(), capacity)
}

// delegableByRoom returns how many more tasks of a unit of a service may be delegated to the cell by what its workers have
// free. For fillers that is less what the waiting fillers of the cell will take. A unit that has waited for long takes the
// last place, too.
func (o peerLoad) delegableByRoom(u *jobs.Unit, service string, waited time.Duration) int {
	startable, delegated := o.unclaimed(u, service)
	if waited < delegateUnheardAfter || startable > 1 {
		startable /= peerFreeDivisor
	}
	return int(startable - delegated)
}

// unclaimed returns how many tasks of a unit of a service could start in the cell beside its own waiting fillers, and how many
// would take the place of what was delegated there since its last load message.
func (o peerLoad) unclaimed(u *jobs.Unit, service string) (startable, delegated int64) {
	size, millicores := max(1, u.Size.Millicores), o.delegatedShort
	startable = o.startable(u, service)
	switch {
	case u.Lasting():
		millicores = o.delegatedLasting
	case u.Spec.GetFiller():
		startable -= o.load.GetWaitingFillerMillicores()[service] / size
		millicores += o.delegatedFillers
	}
	return startable, millicores / size
}
