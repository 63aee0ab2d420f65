package cell

import (
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Silences: when workers went silent, as closely as polls show it, and which of them did so at the same time.

const (
	// simultaneousWindow is the longest time between worker ends that count as simultaneous: these may have one
	// external cause.
	simultaneousWindow = 300 * time.Millisecond
	// silenceMemory is how long the leader remembers that a worker went silent.
	silenceMemory = 10 * time.Second
)

// silence is the interval in which a worker went silent or began a new incarnation: after it was last known to be alive
// and before the leader noticed. isolated says that an isolated run was in progress there.
type silence struct {
	worker        string
	born          int64
	after, before time.Time
	isolated      bool
}

// addSilence records that a worker went silent, noticed at a given time. Of the workers that have never answered this
// leader only the members that it found recorded count, and as lost since it leads: a registry row may be outdated.
func (s *State) addSilence(now time.Time, w *workers.Worker, at time.Time) {
	after := w.AliveAt
	if w.LastAnswerAt.IsZero() {
		if s.retainedMembers[w.ID] == nil {
			return
		}
		after = s.gainedAt
	}
	s.silences = slices.DeleteFunc(s.silences, func(f silence) bool { return now.Sub(f.before) >= silenceMemory })
	s.silences = append(s.silences, silence{w.ID, w.Born, after, at, slices.ContainsFunc(w.Runs, func(r *jobs.Run) bool { return r.Isolated })})
}

// simultaneousSilences returns how many workers, the one of the given silence included, may have gone silent at the same
// time, and on how many of the others an isolated run was in progress.
func (s *State) simultaneousSilences(of silence) (all, isolated int) {
	for _, f := range s.silences {
		if !f.after.Before(of.before.Add(simultaneousWindow)) || !f.before.After(of.after.Add(-simultaneousWindow)) {
			continue
		}
		all++
		if f.isolated && f.worker != of.worker {
			isolated++
		}
	}
	return max(1, all), min(isolated, max(0, all-1))
}

// latestAlive returns the latest time at which a worker whose poll has just failed can have been reachable. It updates
// w.AliveAt if the worker broke the connection while the poll waited there. A poll that timed out was not answered at
// the end of its wait.
func (s *State) latestAlive(now time.Time, w *workers.Worker) time.Time {
	waited := now.Sub(w.PollSentAt)
	switch {
	case waited >= w.PollTimeout:
		return w.PollSentAt.Add(w.PollWait + brokenConnectionSlack)
	case waited > brokenConnectionSlack && !w.LastAnswerAt.IsZero():
		if at := s.happenedAfter(now).Add(-brokenConnectionSlack); at.After(w.AliveAt) {
			w.AliveAt = at
		}
	}
	return now
}

// noteGap remembers the last time in which this leader took no event: its process may have been paused.
func (s *State) noteGap(now time.Time) {
	if now.Sub(s.eventTakenAt) > brokenConnectionSlack {
		s.gapFrom, s.gapUntil = s.eventTakenAt, now
	}
	s.eventTakenAt = now
}

// happenedAfter returns the time after which an event that is taken now has happened. Events that happened in a gap are
// taken right after it.
func (s *State) happenedAfter(now time.Time) time.Time {
	if now.Sub(s.gapUntil) <= brokenConnectionSlack {
		return s.gapFrom
	}
	return now
}
