package cell

import (
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Placement of suspects. A task of level suspect starts apart from other suspects and where a crash would
// cost little, as far as that needs no wait. A task that needs isolation starts only in an isolated run: all
// other runs at its worker are old, and no other task joins until the run has outlived the earlier ones.
// One more crash then identifies the task, and costs little else. An isolated run is recorded before
// it is ordered, and few are in progress at a time.

const (
	// otherSuspectPenalty lowers a worker's score for each other suspect there. No amount of free capacity
	// makes up for it.
	otherSuspectPenalty = 5.0
	// maxReservation is how long a worker may stay reserved for an isolated run before another worker is
	// considered. Each run at the worker has to be 1.3 s old first (see poisontask.LongRunning).
	maxReservation = 4 * time.Second
)

// isolationReservation is a worker that is reserved for the isolated run of a task.
type isolationReservation struct {
	worker *workers.Worker
	since  time.Time
}

// closeIsolatedWorkers finds the workers that accept no other tasks: an isolated run is in progress there, or the
// worker is reserved for one. Reservations that are obsolete or older than maxReservation end.
func (s *State) closeIsolatedWorkers(now time.Time) {
	s.waiveIsolation(now)
	clear(s.closedWorkers)
	s.isolatedRuns = 0
	for _, t := range s.implicated {
		for _, r := range t.Runs {
			if w := s.workers[r.Worker]; r.Isolated && w != nil {
				s.closedWorkers[w] = true
				s.isolatedRuns++
			}
		}
	}
	for t, reservation := range s.isolationReservations {
		if !s.needsIsolation(t) || !t.Waiting(now) || t.Unit.Job.Ended() || s.workers[reservation.worker.ID] != reservation.worker || now.Sub(reservation.since) > maxReservation {
			delete(s.isolationReservations, t)
			continue
		}
		s.closedWorkers[reservation.worker] = true
	}
}

// mayJoinIsolated reports whether a unit of lasting tasks may start at a worker that is closed for an isolated run. The
// unit must have waited for reserveAfter, or for maxIsolatedWait if it has a suspect, and any isolated run there must
// be too old to count as company of a run that starts now. To wait until that run exonerates its task would take longer
// than lasting tasks may leave free capacity unused.
func (s *State) mayJoinIsolated(now time.Time, u *jobs.Unit, w *workers.Worker) bool {
	minWait := reserveAfter
	if slices.ContainsFunc(u.Tasks, (*jobs.Task).Suspected) {
		minWait = maxIsolatedWait
	}
	return u.Lasting() && longestWait(now, u) >= minWait && mayShareIsolated(w)
}

// longestWait returns the longest time that a task of a unit has waited for a start, in all cells, as far as that
// is known.
func longestWait(now time.Time, u *jobs.Unit) time.Duration {
	longest := now.Sub(u.ReadyAt)
	for _, t := range u.Waiting(now) {
		longest = max(longest, now.Sub(withoutRunSince(t)))
	}
	return longest
}

// mayShareIsolated reports whether every isolated run at a worker is old enough for other tasks to join.
func mayShareIsolated(w *workers.Worker) bool {
	return !slices.ContainsFunc(w.Runs, func(r *jobs.Run) bool {
		return r.Isolated && !poisontask.LongRunning(minRunAge(r))
	})
}

// quietBeforeIsolated is how long no worker may have gone silent before an isolated run starts: a crash among
// others would be weak evidence. maxQuietWait is how long the run waits for such a quiet period.
const (
	quietBeforeIsolated = time.Second
	maxQuietWait        = 6 * time.Second
	// quietBeforeDecisive and maxQuietWaitDecisive are the same for a run after whose crash the job fails although little
	// else speaks against the task.
	quietBeforeDecisive  = 4 * time.Second
	maxQuietWaitDecisive = 12 * time.Second
)

// isolatedOtherHostWait is how long a task that needs isolation waits for a host that has not crashed under it.
// suspectOtherHostWait is the same for other suspects. It is shorter because most of them are not poisonous.
const (
	isolatedOtherHostWait = 10 * time.Second
	suspectOtherHostWait  = 5 * time.Second
	// trustedOtherHostWait is the same for a trusted task: a host that has just crashed is empty, and would
	// often be chosen for that reason.
	trustedOtherHostWait = 2 * time.Second
)

// mayRunIsolated reports whether an isolated run of a task may start now, provided that a worker is found.
func (s *State) mayRunIsolated(now time.Time, t *jobs.Task) bool {
	inUse := s.isolatedRuns + len(s.isolationReservations)
	if _, reserved := s.isolationReservations[t]; reserved {
		inUse--
	}
	return inUse < poisontask.MaxIsolatedRuns(len(s.workers)) && !s.awaitsCrashOutcome(now, t) && s.isQuiet(now, t)
}

// isQuiet reports whether no other workers crash at present, so that a crash of an isolated run would be evidence
// against its task, or the task has waited for that for long enough. The wait delays a job, but a job without a
// poisonous task that fails is worse for its caller than one that ends later. A lasting task waits for less, as it is
// soon late.
func (s *State) isQuiet(now time.Time, t *jobs.Task) bool {
	quietFor, maxWait := quietBeforeIsolated, maxQuietWait
	lasting := t.Unit.Lasting()
	decides := poisontask.PoisonousAfterNextCrash(t.Crashes) || (!lasting && poisontask.PoisonousAfterPromptCrash(t.Crashes))
	if decides {
		quietFor, maxWait = quietBeforeDecisive, maxQuietWaitDecisive
	}
	quiet := len(s.silences) == 0 || now.Sub(s.silences[len(s.silences)-1].before) >= quietFor
	if decides {
		// What went silent before this process led is not known.
		knowsSilences := lasting || now.Sub(s.gainedAt) >= quietFor
		quiet = quiet && knowsSilences && s.crashesWithout(now, t) < poisontask.CommonCrashThreshold(len(s.workers))
	}
	return quiet || currentWait(now, t) >= maxWait
}

// needsIsolation reports whether a task may start only in an isolated run, where one more crash would identify it.
func (s *State) needsIsolation(t *jobs.Task) bool {
	return t.Level() == poisontask.NeedsIsolation && !s.tooWideToIsolate(t.Unit) && !t.IsolationWaived
}

const (
	// maxIsolatedWait is how long a lasting task waits for an isolated run. It is short because a poisonous task is
	// identified without one, too, and most suspects are not poisonous.
	maxIsolatedWait = 3 * time.Second
	// overdueIsolatedWait is the same for an overdue task: the time in which the runs at a worker become old enough for an
	// isolated run, and the run is recorded.
	overdueIsolatedWait = 1500 * time.Millisecond
)

// waiveIsolation lets lasting tasks that have waited long enough for an isolated run start without isolation.
func (s *State) waiveIsolation(now time.Time) {
	for _, t := range s.implicated {
		maxWait := maxIsolatedWait
		if overdue(now, t) {
			maxWait = overdueIsolatedWait
		}
		switch {
		case !t.Unit.Lasting() || t.Level() != poisontask.NeedsIsolation || !t.Waiting(now) || s.awaitsCrashOutcome(now, t):
			t.IsolationWaived, t.IsolationWaitSince = false, time.Time{}
		case t.IsolationWaitSince.IsZero():
			t.IsolationWaitSince = now
		case now.Sub(t.IsolationWaitSince) >= maxWait:
			t.IsolationWaived = true
		}
	}
}

// tooWideToIsolate reports whether a unit is a gang with more members than there may be isolated runs at a time. The
// members start together or not at all, so they would wait for isolated runs without end: they start as
// suspects do.
func (s *State) tooWideToIsolate(u *jobs.Unit) bool {
	return u.Spec.GetGang() && len(u.Tasks) > poisontask.MaxIsolatedRuns(len(s.workers))
}

// mayIsolateGang reports whether all members of a gang that need isolated runs can have them at the same time. Two
// gangs that each reserve workers for only some of their members would block each other, and neither would start.
func (s *State) mayIsolateGang(u *jobs.Unit) bool {
	wanted, others := 0, s.isolatedRuns
	for t := range s.isolationReservations {
		if t.Unit != u {
			others++
		}
	}
	for _, t := range u.Tasks {
		if s.needsIsolation(t) {
			wanted++
		}
	}
	return wanted == 0 || wanted+others <= poisontask.MaxIsolatedRuns(len(s.workers))
}

// chooseForIsolatedRun returns the worker for an isolated run of a task, or nil if none can start yet. It reserves the
// worker where least would be lost until all runs there are old enough and the isolated run is recorded.
func (s *State) chooseForIsolatedRun(now time.Time, t *jobs.Task, service string, usable []*workers.Worker) *workers.Worker {
	if !s.mayRunIsolated(now, t) {
		return nil
	}
	if _, reserved := s.isolationReservations[t]; !reserved {
		best := s.bestForIsolated(now, t, service, usable)
		if best == nil {
			return nil
		}
		s.isolationReservations[t] = isolationReservation{best, now}
	}
	w := s.isolationReservations[t].worker
	delete(s.closedWorkers, w) // the reservation excludes other tasks only
	fit := s.usable(now, w) && allLongRunning(w) && suspectRuns(w) == 0 && s.fits(now, t.Unit, service, w)
	if fit && s.startRecorded(t, w) {
		delete(s.isolationReservations, t)
		return w
	}
	s.closedWorkers[w] = true
	return nil
}

// bestForIsolated returns the usable worker with the highest score for an isolated run of a task, or nil if none fits.
func (s *State) bestForIsolated(now time.Time, t *jobs.Task, service string, usable []*workers.Worker) *workers.Worker {
	var best *workers.Worker
	for _, w := range usable {
		if awaitsOtherHost(now, t, w, usable) || s.neededByLasting(now, t, w) {
			continue
		}
		if s.fits(now, t.Unit, service, w) && suspectRuns(w) == 0 && (best == nil || s.isolatedScore(now, t, w) > s.isolatedScore(now, t, best)) {
			best = w
		}
	}
	return best
}

// neededByLasting reports whether a lasting task that has waited for reserveAfter and needs no isolation could start
// at a worker. Such a worker is not reserved for the isolated run of another task.
func (s *State) neededByLasting(now time.Time, isolated *jobs.Task, w *workers.Worker) bool {
	for u := range s.waitingUnits {
		if !u.Lasting() || longestWait(now, u) < reserveAfter || !s.fits(now, u, s.serviceOf(u.Job), w) {
			continue
		}
		if slices.ContainsFunc(u.Waiting(now), func(t *jobs.Task) bool { return t != isolated && !s.needsIsolation(t) }) {
			return true
		}
	}
	return false
}

// currentWait returns how long a task has waited for a start, as far as this leader knows: since its unit was
// ready or since the task lost its last run, whichever came later.
func currentWait(now time.Time, t *jobs.Task) time.Duration {
	since := t.Unit.ReadyAt
	if t.WaitingSince.After(since) {
		since = t.WaitingSince
	}
	return now.Sub(since)
}

// otherHostWait returns how long a task waits for a host that has not crashed under it.
func otherHostWait(t *jobs.Task) time.Duration {
	switch t.Level() {
	case poisontask.NeedsIsolation:
		return isolatedOtherHostWait
	case poisontask.Suspected:
		return suspectOtherHostWait
	default:
		return trustedOtherHostWait
	}
}

// awaitsOtherHost reports whether a task should wait for a host that has not crashed under it, and not start at a given
// worker: one more crash of the same host would be weak evidence, as the host itself may be at fault.
func awaitsOtherHost(now time.Time, t *jobs.Task, w *workers.Worker, usable []*workers.Worker) bool {
	return t.CrashedAt(w.Host) && !overdue(now, t) && currentWait(now, t) < otherHostWait(t) &&
		slices.ContainsFunc(usable, func(other *workers.Worker) bool { return !t.CrashedAt(other.Host) })
}

// isolatedScore ranks workers for an isolated run of a task. It prefers hosts that have not crashed under the task,
// nor recently without it, as a crash there is stronger evidence. Among these it prefers workers with fewer runs,
// as less is lost.
func (s *State) isolatedScore(now time.Time, t *jobs.Task, w *workers.Worker) float64 {
	score := -float64(len(w.Runs))
	if t.CrashedAt(w.Host) || s.hostCrashedWithout(now, w, t) {
		score -= otherSuspectPenalty * float64(1+len(s.workers))
	}
	return score
}

// allLongRunning reports whether every run at a worker is too old to count as company of a run that starts now.
func allLongRunning(w *workers.Worker) bool {
	for _, r := range w.Runs {
		if !poisontask.LongRunning(minRunAge(r)) {
			return false
		}
	}
	return true
}

// suspectRuns returns how many runs of suspects a worker has.
func suspectRuns(w *workers.Worker) int {
	n := 0
	for _, r := range w.Runs {
		if r.Task.Suspected() {
			n++
		}
	}
	return n
}

// suspectScore ranks workers for a suspect: the fewest other suspects first, then the most free capacity.
func suspectScore(w *workers.Worker) float64 {
	return float64(w.FreeCapacity().Millicores)/float64(max(1, w.Capacity.Millicores)) - otherSuspectPenalty*float64(suspectRuns(w))
}

// startsBesideSuspect reports whether a start of a lasting suspect at a worker would be at about the same age as a run of
// another one there, and one of the two needs isolation. If they start together each time, no number of crashes tells them
// apart. Members of a gang have to start together. Short suspects don't count: a stream of them would keep a lasting task
// from its run, and those that need isolation start isolated.
func startsBesideSuspect(t *jobs.Task, w *workers.Worker) bool {
	return t.Suspected() && t.Unit.Lasting() && slices.ContainsFunc(w.Runs, func(r *jobs.Run) bool {
		sameGang := r.Task.Unit == t.Unit && t.Unit.Spec.GetGang()
		strong := t.Level() == poisontask.NeedsIsolation || r.Task.Level() == poisontask.NeedsIsolation
		return !sameGang && strong && r.Task.Suspected() && r.Task.Unit.Lasting() && !poisontask.LongRunning(minRunAge(r))
	})
}
