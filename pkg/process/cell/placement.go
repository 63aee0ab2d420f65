package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/version/queueterms"
)

// Placement. Units with waiting tasks are sorted by package joborder. A task goes to the
// usable worker with the least free CPU, which keeps large gaps for large tasks. A filler, a batch
// task that runs on CPU which other tasks leave unused, goes where the most CPU is unused and its
// neighbours suffer least.

const (
	// defaultStretch and defaultSlack set the objective of jobs whose queue the manifest no longer
	// names.
	defaultStretch = 2.0
	defaultSlack   = time.Second
)

// runPlacement runs one placement pass: it starts the waiting tasks for which a usable worker has capacity.
func (s *State) runPlacement(now time.Time) {
	if !s.placementDue || s.manifest == nil || len(s.workers) == 0 || now.Before(s.nextPlacement()) {
		return
	}
	s.placementDue, s.placedLast = false, true
	s.updateMostlyFree(now)
	s.interference.Merge(now)
	s.dropOutdatedCosts(now)
	clear(s.reservedForLasting)
	clear(s.reservedForIdle)
	clear(s.placeElsewhere)
	s.closeIsolatedWorkers(now)
	defer s.releaseAwaitedStarts()
	s.observeUrgent(now)
	usable, notFreed := s.usableWorkers(now), map[string][]*workers.Worker{}
	s.renewOverdueReservations(now, usable)
	for _, c := range s.rankedUnits(now) {
		if len(usable) == 0 || !s.mayOrderStart(now) {
			return
		}
		pool := s.poolFor(now, c.unit, usable, notFreed)
		if _, needs := s.ticketValidity(c.unit); needs {
			pool = s.workersWithTicket(now, c.unit, pool)
		}
		if c.unit.Spec.GetGang() {
			s.placeGang(now, c.unit, pool)
			continue
		}
		s.placeTasks(now, c, pool)
	}
	s.stopForUrgent(now, usable)
}

// queueOf returns a job's queue from the manifest. If the manifest no longer names it, the queue has the settings that were in
// force when the job was accepted, or default values for a job of an earlier release.
func (s *State) queueOf(j *jobs.Job) manifest.Queue {
	if s.manifest != nil {
		if q, ok := s.manifest.Queue(j.Spec.GetQueue()); ok {
			return q
		}
	}
	if q, ok := queueterms.Queue(j.Spec); ok {
		return q
	}
	return manifest.Queue{Service: j.Spec.GetService(), Stretch: defaultStretch, Slack: defaultSlack}
}

// usable reports whether a worker may be given new work now. A worker that restarts knows no epoch and
// obeys a deposed leader, too, until that leader's successor polls it. So a worker that restarted under
// this leader is usable only after a renewal of the leadership took effect that was sent after UsableFrom.
func (s *State) usable(now time.Time, w *workers.Worker) bool {
	return !s.evacuating() && !s.leadershipLastConfirmed(now).Before(w.UsableFrom) && w.Usable(now, maxAnswerAge+s.idlePollPause) && s.recordedMembers[w.ID] && !w.DroppedFromMembership && !w.RunsKnown && !s.quarantined(now, w)
}

// quarantined reports whether a worker is quarantined after runs there failed, stalled or were refused.
func (s *State) quarantined(now time.Time, w *workers.Worker) bool {
	return s.enabled(Quarantine) && w.Health.Quarantined(now)
}

// usableWorkers returns the usable workers, sorted by id.
func (s *State) usableWorkers(now time.Time) []*workers.Worker {
	list := make([]*workers.Worker, 0, len(s.workers))
	for _, w := range s.workersByID() {
		if s.usable(now, w) {
			list = append(list, w)
		}
	}
	return list
}

// placeTasks starts the waiting tasks of a unit that is not a gang, as far as they fit.
func (s *State) placeTasks(now time.Time, c rankedUnit, usable []*workers.Worker) {
	u, service := c.unit, s.serviceOf(c.unit.Job)
	unitYields := false
	waiting := u.Waiting(now)
	if c.Overdue {
		slices.SortStableFunc(waiting, func(a, b *jobs.Task) int { return withoutRunSince(a).Compare(withoutRunSince(b)) })
	}
	for _, t := range waiting {
		if !s.mayOrderStart(now) {
			return
		}
		if c.Overdue && !overdue(now, t) {
			continue
		}
		if unitYields && s.mayYield(now, t, service) && !t.NeedsSpecificWorker() {
			continue // it has no other place than the task that yielded before it
		}
		if c.Overdue {
			if !s.placeOverdue(now, t, service, usable) && !t.NeedsSpecificWorker() {
				return // the unit's other overdue tasks are of the same size
			}
			continue
		}
		w, yields := s.chooseForWaiting(now, t, service, usable)
		if yields {
			unitYields = unitYields || !s.urgentReserve.stops.Resting(now, t.Name())
			continue // the unit's other tasks may have waited for longer, or were not stopped
		}
		if w == nil && t.NeedsSpecificWorker() {
			s.logWait(now, t, service, usable)
			continue // the unit's other tasks may not need a specific worker
		}
		if w == nil {
			s.reserveFor(now, t, service, usable)
			if c.Idle {
				s.reserveForIdle(now, u, service, usable)
			}
			s.logWait(now, t, service, usable)
			return
		}
		if s.awaitsStartRecord(t, w) {
			s.reserveForRecord(now, t, w)
			continue
		}
		s.startRun(now, w, t, s.nextRunNumber(), s.ticket(u, w))
		if c.Idle {
			s.placementDue = true // the job's other tasks take their usual place in the order
			break
		}
	}
	if !hasTaskToStart(u) {
		delete(s.waitingUnits, u)
	}
}

// reserveAfter is how long a lasting task waits before a worker is reserved for it. Short tasks can't use
// a reserved worker until the lasting task fits there, and they would earn more meanwhile. So capacity
// gets the time of a few short tasks to become free by itself first.
const reserveAfter = 2500 * time.Millisecond

// reserveFor reserves a worker for a lasting task, one that runs until its job is cancelled: of the workers
// where the task fits beside the other lasting tasks, the one with the most free CPU. Without that, short
// tasks would keep taking the capacity that a large task waits for. No worker is reserved while urgent tasks wait, unless the
// task is overdue (placeOverdue).
func (s *State) reserveFor(now time.Time, t *jobs.Task, service string, usable []*workers.Worker) {
	if !t.Unit.Lasting() || now.Sub(waitingSince(t)) < reserveAfter || s.urgentWaits(service) {
		return
	}
	s.reserveWorker(t.Unit, service, usable)
}

// reserveWorker reserves a worker for a lasting task of a unit, and returns it: of those on which it fits beside the other lasting
// tasks, the one with the most free CPU.
func (s *State) reserveWorker(u *jobs.Unit, service string, usable []*workers.Worker) *workers.Worker {
	if !s.enabled(HeldRoom) {
		return nil
	}
	var best *workers.Worker
	for _, w := range usable {
		if s.reservedForLasting[w] || !s.mayReserve(u, service, w) {
			continue
		}
		if best == nil || w.FreeCapacity().Millicores > best.FreeCapacity().Millicores {
			best = w
		}
	}
	if best != nil {
		s.reservedForLasting[best] = true
	}
	return best
}

// mayReserve reports whether a lasting task of a unit fits on a worker beside the other lasting tasks there.
func (s *State) mayReserve(u *jobs.Unit, service string, w *workers.Worker) bool {
	return w.Service == service && w.HasLabel(u.Spec.GetLabel()) && u.Size.Fits(w.Capacity.Minus(w.LastingReserved())) && !spreadReached(u, w)
}

// chooseWorker returns the worker for a task, or nil if the task can't start anywhere now.
func (s *State) chooseWorker(now time.Time, t *jobs.Task, service string, usable []*workers.Worker) *workers.Worker {
	if s.tooWideToIsolate(t.Unit) && s.awaitsCrashOutcome(now, t) {
		return nil
	}
	if s.needsIsolation(t) {
		return s.chooseForIsolatedRun(now, t, service, usable)
	}
	if w := s.chosenBefore(now, t, service, usable); w != nil {
		return w
	}
	var best *workers.Worker
	bestScore := 0.0
	needsSpecific := t.NeedsSpecificWorker()
	for _, w := range usable {
		if !s.fits(now, t.Unit, service, w) || (needsSpecific && (awaitsOtherHost(now, t, w, usable) || startsBesideSuspect(t, w))) {
			continue
		}
		score := s.score(t, w)
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// maxHold is how long a handover is put off because a task can start in this cell. In a full cell, tasks that are placed
// before it may take each place that becomes free.
const maxHold = 300 * time.Millisecond

// holdHere reports whether the handover of a waiting lasting task is put off because the task can start in this cell.
func (s *State) holdHere(now time.Time, t *jobs.Task) bool {
	if !s.canStartHere(now, t) {
		return false
	}
	// The hold begins when the task no longer yields, as placement starts it only then.
	if !t.HeldSince.After(waitingHereSince(t)) || s.yieldsToUrgent(now, t) {
		t.HeldSince = now
	}
	longest := maxHold
	if t.Level() == poisontask.NeedsIsolation {
		longest += maxIsolatedWait
	}
	return now.Sub(t.HeldSince) < longest
}

// canStartHere reports whether a waiting lasting task can start in this cell at the next placement pass, or once its wait for
// an isolated run is over: to hand it over would only prolong its wait, and the next cell would begin the wait for isolation
// anew. A delegated task that yields its capacity to urgent tasks can start here, too: the bound on that goes with the task,
// and its home cell had no capacity when it delegated the task. It is false for a task that has conditions beyond a worker with capacity, and after a
// start of it was refused here.
func (s *State) canStartHere(now time.Time, t *jobs.Task) bool {
	if s.manifest == nil || !t.Unit.Lasting() || t.RetryAt.After(waitingHereSince(t)) {
		return false
	}
	_, needsTicket := s.ticketValidity(t.Unit)
	ordersHeld := s.enabled(OrderWindow) && !s.startWindow.MaySend()
	if needsTicket || ordersHeld || (!t.Unit.Job.Delegated() && s.yieldsToUrgent(now, t)) {
		return false
	}
	if s.needsIsolation(t) && s.awaitsCrashOutcome(now, t) {
		return false
	}
	if _, reserved := s.isolationReservations[t]; reserved {
		return true
	}
	service := s.serviceOf(t.Unit.Job)
	pool := s.poolFor(now, t.Unit, s.usableWorkers(now), map[string][]*workers.Worker{})
	return slices.ContainsFunc(pool, func(w *workers.Worker) bool {
		return s.fits(now, t.Unit, service, w) && !(t.NeedsSpecificWorker() && awaitsOtherHost(now, t, w, pool))
	})
}

// fits reports whether one more task of a unit may go to a worker.
func (s *State) fits(now time.Time, u *jobs.Unit, service string, w *workers.Worker) bool {
	return s.placementBlocker(now, u, service, w) == notBlocked
}

// anyFits reports whether a task of a unit may go to a worker of the pool, or all tasks of a gang together.
func (s *State) anyFits(now time.Time, u *jobs.Unit, pool []*workers.Worker) bool {
	service, needed := s.serviceOf(u.Job), 1
	if u.Spec.GetGang() {
		needed = len(u.Tasks)
	}
	for _, w := range pool {
		var reserved []*jobs.Run
		for needed > 0 && s.fits(now, u, service, w) {
			needed--
			r := &jobs.Run{Task: u.Tasks[needed], Worker: w.ID}
			w.Add(r)
			reserved = append(reserved, r)
		}
		for _, r := range reserved {
			w.Remove(r)
		}
	}
	return needed == 0
}

const (
	// remotePenalty is subtracted from the score of a worker outside the rack of the task's data. It
	// outweighs any difference in free CPU.
	remotePenalty = 10.0
	// failedTherePenalty is subtracted for the worker where the task failed last, and for hosts that crashed
	// while they ran the task.
	failedTherePenalty = 20.0
	// netCostWeight weighs the net cost of a filler (fillerNetCost) against the share of unused CPU.
	netCostWeight = 1.0
	// imageAffinityWeight is the weight of the similarity between the task's image and the serving images of a worker
	// (imageAffinity). It outweighs free CPU, whose share is at most 1. The cost is that free capacity may remain in
	// gaps that are too small for the next serving task.
	imageAffinityWeight = 3.0
)

// score rates a worker that a task fits on; the task goes to the worker with the highest score.
func (s *State) score(t *jobs.Task, w *workers.Worker) float64 {
	score := 0.0
	u := t.Unit
	total := float64(max(1, w.Capacity.Millicores))
	switch {
	case t.Suspected():
		score = suspectScore(w)
	case u.Spec.GetFiller():
		score = float64(w.UnusedMillicores())/total - netCostWeight*s.fillerNetCost(u, w)
	case u.Spec.GetTailTargetMs() > 0:
		score = -float64(w.FreeCapacity().Millicores)/total + s.imageAffinity(u, w)
	default:
		score = -float64(w.FreeCapacity().Millicores) / total
	}
	if rack := u.Spec.GetRack(); rack != "" && w.Rack != rack && !w.HasLabel(rack) {
		score -= remotePenalty
	}
	if t.AvoidWorker == w.ID || (t.NeedsSpecificWorker() && t.CrashedAt(w.Host)) {
		score -= failedTherePenalty
	}
	return score
}

// imageAffinity rates a worker for a serving task by how alike its serving images are to the task's in
// which fillers slow them down: from -imageAffinityWeight for nothing in common to imageAffinityWeight for
// the same image, and 0 for a worker without serving tasks. A filler that is harmless to one image may harm
// another, so with like images grouped together every filler finds a harmless worker.
func (s *State) imageAffinity(u *jobs.Unit, w *workers.Worker) float64 {
	if !w.HasLatencyTarget() || !s.enabled(ServingByImage) {
		return 0
	}
	sum, all := 0.0, 0
	for _, r := range w.Runs {
		if r.Task.Unit.Spec.GetTailTargetMs() > 0 {
			all++
			sum += s.interference.Similarity(r.Task.Unit.Image(), u.Image())
		}
	}
	return imageAffinityWeight * (2*sum/float64(all) - 1)
}

// placeGang starts all tasks of a gang as one run, or none of them. A gang that wants a single rack is
// tried in the best rack first, then on all usable workers.
func (s *State) placeGang(now time.Time, u *jobs.Unit, usable []*workers.Worker) {
	waiting := u.Waiting(now)
	if len(waiting) < len(u.Tasks) {
		return // some tasks still run; the gang starts again once they have ended
	}
	pool := usable
	if u.Spec.GetSameRack() {
		pool = s.bestRack(now, u, usable)
	}
	if !s.startGang(now, u, pool) && u.Spec.GetSameRack() {
		s.startGang(now, u, usable)
	}
}

// startGang starts a gang on workers of the pool if all of its tasks fit there together, and reports whether they do. While
// it chooses workers it reserves their capacity task by task. A gang whose starts await their records keeps this capacity
// until the end of the placement pass.
func (s *State) startGang(now time.Time, u *jobs.Unit, pool []*workers.Worker) bool {
	if !s.mayIsolateGang(u) {
		return false
	}
	service := s.serviceOf(u.Job)
	chosen := make([]*workers.Worker, 0, len(u.Tasks))
	reserved := make([]*jobs.Run, 0, len(u.Tasks))
	release := func() {
		for i, r := range reserved {
			chosen[i].Remove(r)
		}
	}
	for _, t := range u.Tasks {
		w := s.chooseWorker(now, t, service, pool)
		if w == nil {
			release()
			return false
		}
		r := &jobs.Run{Task: t, Worker: w.ID}
		w.Add(r)
		chosen, reserved = append(chosen, w), append(reserved, r)
	}
	release()
	if s.gangAwaitsRecords(now, u, chosen) {
		return true
	}
	number := s.nextRunNumber()
	checkpoint := gangCheckpoint(u)
	for i, t := range u.Tasks {
		t.Checkpoint = checkpoint
		s.startRun(now, chosen[i], t, number, s.ticket(u, chosen[i]))
	}
	delete(s.waitingUnits, u)
	return true
}

// gangAwaitsRecords reports whether a gang waits for the record of a start on one of the chosen workers, which are in the
// order of its tasks. It then reserves their capacity.
func (s *State) gangAwaitsRecords(now time.Time, u *jobs.Unit, chosen []*workers.Worker) bool {
	awaits := false
	for i, t := range u.Tasks {
		awaits = s.awaitsStartRecord(t, chosen[i]) || awaits
	}
	if awaits {
		for i, t := range u.Tasks {
			s.reserveForRecord(now, t, chosen[i])
		}
	}
	return awaits
}

// gangCheckpoint returns the checkpoint that all members of a gang start from: the first that any of
// them has. Every member's checkpoint is valid for all, and checkpoints can't be ordered by age.
func gangCheckpoint(u *jobs.Unit) string {
	for _, t := range u.Tasks {
		if t.Checkpoint != "" {
			return t.Checkpoint
		}
	}
	return ""
}

// dataRackFactor multiplies the free CPU of the rack that holds the data: the rack is preferred if it has
// a fair amount of free capacity.
const dataRackFactor = 4

// bestRack returns the workers that fit a unit in the rack where they have the most free CPU in all.
func (s *State) bestRack(now time.Time, u *jobs.Unit, usable []*workers.Worker) []*workers.Worker {
	racks := map[string][]*workers.Worker{}
	for _, w := range usable {
		if s.fits(now, u, s.serviceOf(u.Job), w) {
			racks[w.Rack] = append(racks[w.Rack], w)
		}
	}
	var best []*workers.Worker
	bestFree := int64(-1)
	for _, rack := range slices.Sorted(maps.Keys(racks)) {
		list := racks[rack]
		free := int64(0)
		for _, w := range list {
			free += w.FreeCapacity().Millicores
		}
		if rack == u.Spec.GetRack() && rack != "" {
			free *= dataRackFactor
		}
		if free > bestFree {
			best, bestFree = list, free
		}
	}
	return best
}
