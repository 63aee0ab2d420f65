package cell

import (
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Recorded isolated runs that no worker lists after a takeover. The record names the incarnation at which the run may
// have started. If that incarnation answers, the run ended without a crash or never began. If it has ended, its
// end is evidence against the task alone. If it was not heard when its task was settled, the evidence is weaker until
// one of the two is known. The job's record holds that evidence, so a later leader goes on from there.

// incarnation identifies a worker incarnation.
type incarnation struct {
	worker string
	born   int64
}

// addLostIsolatedRun adds evidence against a task of which a predecessor recorded an isolated run that no worker
// lists: the run may have crashed its worker. It reports whether it added any.
func (s *State) addLostIsolatedRun(now time.Time, t *jobs.Task) bool {
	if t.DelegatedTo != "" {
		return false
	}
	at, named := t.LostIsolatedAt()
	switch {
	case !named || s.leavingAt(at):
		if !t.IsolatedRunLost(s.wall) {
			return false
		}
	case s.hasAnsweredHere(at):
		s.noteLostIsolated(t, at, "its worker answers without it")
		return s.dropIsolation(t)
	case crashIndex(t, at.Worker, at.Born) >= 0:
		return s.dropIsolation(t)
	case s.hasEnded(at):
		t.AddLostIsolatedRun(at, true, s.wall)
		s.noteLostIsolated(t, at, "its worker's incarnation has ended")
	default:
		t.AddLostIsolatedRun(at, false, s.wall)
		s.noteLostIsolated(t, at, "its worker is not heard")
	}
	s.trackImplicated(t)
	s.evidenceChanged(now, t, t.Crashes[len(t.Crashes)-1])
	return true
}

// dropIsolation drops the record of a task's isolated run, which is no evidence. It returns false.
func (s *State) dropIsolation(t *jobs.Task) bool {
	t.DropIsolation()
	s.markDirty(t.Unit.Job, false)
	return false
}

// leavingAt reports whether an incarnation was leaving when it was last heard of. It stops its runs before it ends.
func (s *State) leavingAt(at jobs.IsolatedAt) bool {
	w, e := s.workers[at.Worker], s.retainedMembers[at.Worker]
	return (e.GetLeaving() && e.GetBorn() == at.Born) || (w != nil && w.Leaving && !w.HasAnswered && (w.Born == 0 || w.Born == at.Born))
}

// hasAnsweredHere reports whether an incarnation has answered this leader since it read the jobs. Its lists name every
// run of earlier leaders there, because it refuses their orders from then on.
func (s *State) hasAnsweredHere(at jobs.IsolatedAt) bool {
	w := s.workers[at.Worker]
	return s.endsBeforeSettling[incarnation{at.Worker, at.Born}] || (w != nil && w.HasAnswered && w.Born == at.Born)
}

// hasEnded reports whether an incarnation that has not answered this leader is known to have ended: another one answers
// under its id or on its host, or its end is known otherwise.
func (s *State) hasEnded(at jobs.IsolatedAt) bool {
	if _, ended := s.endsBeforeSettling[incarnation{at.Worker, at.Born}]; ended {
		return true
	}
	for _, w := range s.workers {
		if w.HasAnswered && endsIsolatedAt(w, at) {
			return true
		}
	}
	return false
}

// endsIsolatedAt reports whether an answer of a worker shows that another incarnation has ended: it answers under the
// same id, or on the same host, which runs one worker at a time.
func endsIsolatedAt(w *workers.Worker, at jobs.IsolatedAt) bool {
	if w.ID == at.Worker {
		return w.Born != 0 && w.Born != at.Born
	}
	return w.Host != "" && w.Host == at.Host
}

// rememberEnd remembers the end of a worker's incarnation before the cell settles, and whether it had answered.
func (s *State) rememberEnd(w *workers.Worker) {
	born := w.Born
	if !w.HasAnswered {
		born = s.retainedMembers[w.ID].GetBorn()
	}
	if !s.settled && born != 0 {
		s.endsBeforeSettling[incarnation{w.ID, born}] = w.HasAnswered
	}
}

// lostIsolatedAnswered resolves the unresolved ends of isolated runs by an answer of a worker.
func (s *State) lostIsolatedAnswered(now time.Time, w *workers.Worker) {
	s.resolveLostIsolated(now, false, func(at jobs.IsolatedAt) bool { return at.Worker == w.ID && at.Born == w.Born })
	s.resolveLostIsolated(now, true, func(at jobs.IsolatedAt) bool { return endsIsolatedAt(w, at) })
}

// lostIsolatedEnded resolves the unresolved ends of isolated runs by the end of a worker's incarnation.
func (s *State) lostIsolatedEnded(now time.Time, w *workers.Worker) {
	if !w.LeftOrderly() {
		s.resolveLostIsolated(now, true, func(at jobs.IsolatedAt) bool {
			return at.Worker == w.ID && (w.Born == 0 || at.Born == w.Born)
		})
	}
}

// resolveLostIsolated confirms or withdraws the evidence of the unresolved ends that match.
func (s *State) resolveLostIsolated(now time.Time, ended bool, match func(jobs.IsolatedAt) bool) {
	if s.phase == loading || s.phase == following {
		return
	}
	for _, t := range slices.Clone(s.implicated) {
		if t.Done || t.Unit.Job.Ended() || t.DelegatedTo != "" {
			continue
		}
		c, was := t.ResolveLostIsolatedRun(ended, match)
		if !was {
			continue
		}
		at := jobs.IsolatedAt{Worker: c.Worker, Born: c.Born, Host: c.Host}
		if ended {
			s.noteLostIsolated(t, at, "its worker's incarnation has ended: confirmed")
			s.evidenceChanged(now, t, c)
			continue
		}
		s.noteLostIsolated(t, at, "its worker answers: withdrawn")
		s.markDirty(t.Unit.Job, false)
		s.placementDue = true
	}
}

// noteLostIsolated logs what is known of a recorded isolated run that no worker lists.
func (s *State) noteLostIsolated(t *jobs.Task, at jobs.IsolatedAt, known string) {
	s.note(Note{Kind: NoteLostIsolated, Job: t.Unit.Job.Spec.GetId(), Task: t.Name(), Worker: at.Worker, AgeMs: -1, Detail: known})
}
