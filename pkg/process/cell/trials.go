package cell

import (
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/blame"
	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Where suspects run. One that is merely suspected is kept apart from other suspects, and where
// little would be lost, as far as that can be had without a wait. One that is on trial runs only at a
// worker where all that is there has been there for a while, and nothing joins it until it has
// outlived its crashes: so one more crash names it, and costs little else. That it may be tried is
// recorded first, and few are tried at a time.

const (
	// apartPenalty is for each other suspect at a worker, against room: more than any room makes up for.
	apartPenalty = 5.0
	// keptFor is how long a worker may be kept from others for a trial before another one is
	// considered. The runs there have to settle, which takes 1.3 s.
	keptFor = 4 * time.Second
)

// keptWorker is a worker that is kept from others until a task is tried there.
type keptWorker struct {
	worker *workers.Worker
	since  time.Time
}

// closeForTrials finds the workers that nothing else may join: a trial is on there, or about to be.
func (s *State) closeForTrials(now time.Time) {
	s.openIsolated(now)
	clear(s.closed)
	s.trialsOut = 0
	for _, t := range s.accused {
		for _, r := range t.Runs {
			if w := s.workers[r.Worker]; r.OnTrial && w != nil {
				s.closed[w] = true
				s.trialsOut++
			}
		}
	}
	for t, kept := range s.kept {
		if !s.triedAlone(t) || !t.Waiting(now) || t.Unit.Job.Ended() || s.workers[kept.worker.ID] != kept.worker || now.Sub(kept.since) > keptFor {
			delete(s.kept, t)
			continue
		}
		s.closed[kept.worker] = true
	}
}

// joinsAfter is how long an isolated run has to run for a lasting task to join it: most tasks that crash their
// workers do so within a fraction of that, and capacity is to be used within three seconds.
const joinsAfter = 2 * time.Second

// mayJoinIsolated says whether a lasting task that has waited for long may join a worker that is kept for an
// isolated run, or one that has gone on for a while: it takes longer to exonerate its own task.
func (s *State) mayJoinIsolated(now time.Time, u *jobs.Unit, w *workers.Worker) bool {
	after := holdAfter
	if slices.ContainsFunc(u.Tasks, (*jobs.Task).Suspected) {
		after = isolatedWaitMost
	}
	return u.Lasting() && waitOf(now, u) >= after && mayShareIsolated(w)
}

// waitOf is the longest that a task of a unit has waited for a start, in any cell, as far as that is known.
func waitOf(now time.Time, u *jobs.Unit) time.Duration {
	longest := now.Sub(u.ReadyAt)
	for _, t := range u.Waiting(now) {
		if !t.WaitsSince.IsZero() {
			longest = max(longest, now.Sub(t.WaitsSince))
		}
	}
	return longest
}

// mayShareIsolated says whether each isolated run at a worker has gone on for long enough for others to join.
func mayShareIsolated(w *workers.Worker) bool {
	return !slices.ContainsFunc(w.Runs, func(r *jobs.Run) bool {
		return r.OnTrial && ranFor(w, r) < joinsAfter
	})
}

// calmFor is how long no worker may have fallen silent for a trial to say something, calmWithin how
// long a trial waits for that.
const (
	calmFor    = time.Second
	calmWithin = 6 * time.Second
	// decisiveCalmFor and decisiveCalmWithin are the same for a run after whose crash the task is given up, whatever
	// else may have caused it.
	decisiveCalmFor    = 4 * time.Second
	decisiveCalmWithin = 12 * time.Second
)

// otherHostFor is how long a trial waits for a host that has not crashed under the task, and
// suspectHostFor how long one that is merely suspected does: most of these are innocent.
const (
	otherHostFor   = 10 * time.Second
	suspectHostFor = 5 * time.Second
	// trustedHostFor is the same for one that is not suspected: a host that has just crashed is empty,
	// and so is mostly the one that would be taken.
	trustedHostFor = 2 * time.Second
)

// recordHolds is how long a suspect waits for a table that is away: outages take longer, and most
// suspects are innocent.
const recordHolds = 3 * time.Second

// mayTry says whether a task that is on trial may be tried now, if a worker can be had.
func (s *State) mayTry(now time.Time, t *jobs.Task) bool {
	out := s.trialsOut + len(s.kept)
	if _, kept := s.kept[t]; kept {
		out--
	}
	return out < blame.Trials(len(s.workers)) && !s.awaitsWord(now, t) && s.isCalm(now, t)
}

// isCalm says whether a crash of an isolated run would say something of its task, or the task has waited for that for
// long enough. An innocent job that is given up is worse for its caller than one that ends later.
func (s *State) isCalm(now time.Time, t *jobs.Task) bool {
	quietFor, within := calmFor, calmWithin
	decides := blame.NextDecides(t.Crashes)
	if decides {
		quietFor, within = decisiveCalmFor, decisiveCalmWithin
	}
	quiet := len(s.falls) == 0 || now.Sub(s.falls[len(s.falls)-1].before) >= quietFor
	if decides {
		quiet = quiet && s.crashesWithout(now, t) < blame.Common(len(s.workers))
	}
	return quiet || waitedFor(now, t) >= within
}

// triedAlone says whether a task is started only where one more crash would name it.
func (s *State) triedAlone(t *jobs.Task) bool {
	return t.Level() == blame.OnTrial && !s.tooWideToTry(t.Unit) && !t.IsolationWaived
}

// isolatedWaitMost is how long a lasting task waits for a worker to run isolated: one that is at fault is
// told apart without that, too, and most are not.
const isolatedWaitMost = 3 * time.Second

// openIsolated lets lasting tasks that have waited for long for an isolated run start as suspects do.
func (s *State) openIsolated(now time.Time) {
	for _, t := range s.accused {
		switch {
		case !t.Unit.Lasting() || t.Level() != blame.OnTrial || !t.Waiting(now) || s.awaitsWord(now, t):
			t.IsolationWaived, t.IsolatedSince = false, time.Time{}
		case t.IsolatedSince.IsZero():
			t.IsolatedSince = now
		case now.Sub(t.IsolatedSince) >= isolatedWaitMost:
			t.IsolationWaived = true
		}
	}
}

// tooWideToTry says whether a unit is a gang of more members than may be tried at a time. They start together or
// not at all, so waiting for their trials would have no end: they run as suspects do.
func (s *State) tooWideToTry(u *jobs.Unit) bool {
	return u.Spec.GetGang() && len(u.Tasks) > blame.Trials(len(s.workers))
}

// mayTryGang says whether all members of a gang that have to be tried alone may be tried at a time. A gang that
// kept workers for some of them only would hold up another that does the same, and neither would start.
func (s *State) mayTryGang(u *jobs.Unit) bool {
	wanted, others := 0, s.trialsOut
	for t := range s.kept {
		if t.Unit != u {
			others++
		}
	}
	for _, t := range u.Tasks {
		if s.triedAlone(t) {
			wanted++
		}
	}
	return wanted == 0 || wanted+others <= blame.Trials(len(s.workers))
}

// chooseForTrial picks the worker where a task is tried: the one with the least to lose. It is kept
// for the task until all that runs there has settled and the trial is recorded.
func (s *State) chooseForTrial(now time.Time, t *jobs.Task, service string, usable []*workers.Worker) *workers.Worker {
	if !s.mayTry(now, t) {
		return nil
	}
	if _, is := s.kept[t]; !is {
		best := s.bestForTrial(now, t, service, usable)
		if best == nil {
			return nil
		}
		s.kept[t] = keptWorker{best, now}
	}
	w := s.kept[t].worker
	delete(s.closed, w) // to others, not to this task
	fit := s.usable(now, w) && settledAt(w) && suspectsAt(w) == 0 && s.fits(now, t.Unit, service, w)
	if fit && s.trialRecorded(t) {
		delete(s.kept, t)
		return w
	}
	s.closed[w] = true
	return nil
}

// trialRecorded says whether it is recorded that a task may be tried, and sees to that.
func (s *State) trialRecorded(t *jobs.Task) bool {
	if t.Trial == jobs.NoTrial {
		t.Trial = jobs.TrialWanted
		s.markDirty(t.Unit.Job, true)
	}
	return t.Trial == jobs.TrialRecorded || s.unsafe.NoTrialRecord
}

func (s *State) bestForTrial(now time.Time, t *jobs.Task, service string, usable []*workers.Worker) *workers.Worker {
	var best *workers.Worker
	for _, w := range usable {
		if awaitsHost(now, t, w, usable) || s.lastingTakes(now, t, w) {
			continue
		}
		if s.fits(now, t.Unit, service, w) && suspectsAt(w) == 0 && (best == nil || s.trialScore(now, t, w) > s.trialScore(now, t, best)) {
			best = w
		}
	}
	return best
}

// lastingTakes says whether a lasting task that has waited for long, and need not run isolated, could start at a worker:
// that is not closed to it for the isolated run of another.
func (s *State) lastingTakes(now time.Time, isolated *jobs.Task, w *workers.Worker) bool {
	for u := range s.waiting {
		if !u.Lasting() || waitOf(now, u) < holdAfter || !s.fits(now, u, s.service(u.Job), w) {
			continue
		}
		if slices.ContainsFunc(u.Waiting(now), func(t *jobs.Task) bool { return t != isolated && !s.triedAlone(t) }) {
			return true
		}
	}
	return false
}

// waitedFor is how long a task has waited for a start, as far as this leader knows.
func waitedFor(now time.Time, t *jobs.Task) time.Duration {
	since := t.Unit.ReadyAt
	if t.WaitsSince.After(since) {
		since = t.WaitsSince
	}
	return now.Sub(since)
}

// hostFor is how long a task waits for another host.
func hostFor(t *jobs.Task) time.Duration {
	switch t.Level() {
	case blame.OnTrial:
		return otherHostFor
	case blame.Suspect:
		return suspectHostFor
	default:
		return trustedHostFor
	}
}

// awaitsHost says whether a task waits for a host that has not crashed under it: one more crash at
// the same one would say little, and may be the host's own.
func awaitsHost(now time.Time, t *jobs.Task, w *workers.Worker, usable []*workers.Worker) bool {
	return t.CrashedAt(w.Host) && waitedFor(now, t) < hostFor(t) &&
		slices.ContainsFunc(usable, func(other *workers.Worker) bool { return !t.CrashedAt(other.Host) })
}

// awaitsRecord says whether a suspect waits until what is held against it is recorded: a successor
// has to know. That was asked for when its worker fell silent; a table that is away holds it up only so long.
func (s *State) awaitsRecord(now time.Time, t *jobs.Task) bool {
	return t.Level() == blame.Suspect && t.Trial == jobs.TrialWanted && waitedFor(now, t) < recordHolds
}

// trialScore ranks workers for a trial: hosts where no crash is held against the task, and that did not
// crash lately, say more; where less runs, less is lost.
func (s *State) trialScore(now time.Time, t *jobs.Task, w *workers.Worker) float64 {
	score := -float64(len(w.Runs))
	if t.CrashedAt(w.Host) || s.hostFails(now, w, t) {
		score -= apartPenalty * float64(1+len(s.workers))
	}
	return score
}

// settledAt says whether all that runs at a worker has been there for a while.
func settledAt(w *workers.Worker) bool {
	for _, r := range w.Runs {
		if !blame.Settled(ranFor(w, r)) {
			return false
		}
	}
	return true
}

// suspectsAt is how many suspects run at a worker.
func suspectsAt(w *workers.Worker) int {
	n := 0
	for _, r := range w.Runs {
		if r.Task.Suspected() {
			n++
		}
	}
	return n
}

// suspectScore ranks workers for a suspect: where nobody else is suspected, and much is free.
func suspectScore(w *workers.Worker) float64 {
	return float64(w.Free().Millicores)/float64(max(1, w.Capacity.Millicores)) - apartPenalty*float64(suspectsAt(w))
}
