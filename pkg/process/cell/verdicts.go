package cell

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/orderwindow"
	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Verdicts. A job with a poisonous task fails only after the leader knows which other workers went silent together with
// the last one that the task crashed: a crash in a wave is noticed some milliseconds before the others of the wave, and
// those that only a timeout shows are noticed a second later. Meanwhile the task does not start.

// maxVerdictWait bounds the wait for answers of the other workers: until polls sent before the crash have timed out.
const maxVerdictWait = idlePollWait + orderwindow.MaxTimeout + simultaneousWindow

// awaitVerdict has the job of a poisonous task fail, unless the crashes turn out to be simultaneous with others, or a
// silent worker answers again.
func (s *State) awaitVerdict(now time.Time, t *jobs.Task) {
	s.verdicts[t] = s.latestSilence(t)
	t.RetryAt = now.Add(maxSilentWait + maxVerdictWait)
	s.scanDue = true
}

// latestSilence returns when the last worker that a task crashed went silent, or zero if this leader did not notice it.
func (s *State) latestSilence(t *jobs.Task) time.Time {
	var latest time.Time
	for _, c := range t.Crashes {
		if f, known := s.silenceOf(c); known && f.before.After(latest) {
			latest = f.before
		}
	}
	return latest
}

// silenceOf returns the silence of the worker that a crash is about, and whether this leader knows of one. It is the last
// one of that incarnation, which may have gone silent and answered again before.
func (s *State) silenceOf(c poisontask.Crash) (silence, bool) {
	for _, f := range slices.Backward(s.silences) {
		if f.worker == c.Worker && f.born == c.Born {
			return f, true
		}
	}
	return silence{}, false
}

// restoreVerdict takes up a verdict that an earlier leader did not live to reach. Which other workers went silent
// together with the last one is not known any more, so an external cause can't be excluded.
func (s *State) restoreVerdict(now time.Time, t *jobs.Task) {
	if _, awaited := s.verdicts[t]; awaited || t.Level() != poisontask.Poisonous || t.Unit.Job.Ended() {
		return
	}
	last := t.Crashes[len(t.Crashes)-1]
	t.UpdateEvidence(func(c poisontask.Crash) poisontask.Crash {
		c.Outside = c.Outside || c == last
		return c
	})
	if t.Level() == poisontask.Poisonous {
		s.awaitVerdict(now, t)
	}
}

// decideVerdicts fails the jobs of poisonous tasks about whose crashes nothing more can become known. A task whose
// evidence has become weaker may start again.
func (s *State) decideVerdicts(now time.Time) {
	byName := func(a, b *jobs.Task) int { return strings.Compare(a.Name(), b.Name()) }
	for _, t := range slices.SortedFunc(maps.Keys(s.verdicts), byName) {
		if !t.Unit.Job.Ended() && t.Level() == poisontask.Poisonous && !s.mayDecide(now, t, s.verdicts[t]) {
			continue
		}
		delete(s.verdicts, t)
		if t.Unit.Job.Ended() {
			continue
		}
		if t.UpdateEvidence(s.recountEnds) {
			s.markDirty(t.Unit.Job, true)
		}
		if t.Level() == poisontask.Poisonous {
			s.endJob(now, t.Unit.Job, wire.JobPhase_JOB_PHASE_FAILED, poisonousReason(t))
			continue
		}
		t.RetryAt = now
		s.updateWaiting(now, t.Unit.Job)
		s.placementDue = true
	}
}

// mayDecide reports whether nothing more can become known about the crashes of a task, the last of which showed at a
// given time.
func (s *State) mayDecide(now time.Time, t *jobs.Task, last time.Time) bool {
	if s.awaitsCrashOutcome(now, t) {
		return false
	}
	return now.Sub(last) >= maxVerdictWait || s.allHeardSince(last.Add(simultaneousWindow))
}

// allHeardSince reports whether each worker has answered at or after a given time, or is silent.
func (s *State) allHeardSince(at time.Time) bool {
	for _, w := range s.workers {
		if (w.HasAnswered || s.awaitedMembers[w.ID]) && !w.Ended && w.SilentSince.IsZero() && w.LastAnswerAt.Before(at) {
			return false
		}
	}
	return true
}

// recountEnds returns a crash with the number of simultaneous ends as it is known now.
func (s *State) recountEnds(c poisontask.Crash) poisontask.Crash {
	f, known := s.silenceOf(c)
	if !known {
		return c
	}
	all, isolated := s.simultaneousSilences(f)
	return c.WithSimultaneousEnds(all, isolated, len(s.workers))
}
