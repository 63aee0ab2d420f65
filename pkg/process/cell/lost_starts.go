package cell

import (
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Recorded starts whose runs no worker lists after a takeover. The record names the incarnation at which the run may
// have started. If that incarnation answers, the run ended without a crash or never began. If it has ended, its
// end is evidence against the task. If it was not heard when its task was settled, the evidence is weaker until
// one of the two is known. The job's record holds that evidence, so a later leader goes on from there.

// incarnation identifies a worker incarnation.
type incarnation struct {
	worker string
	born   int64
}

// addLostStart adds evidence against a task of which a predecessor recorded a start, if no worker lists the run: it may
// have crashed its worker. It reports whether there is such a record, so that no other end implicates the task.
func (s *State) addLostStart(now time.Time, t *jobs.Task) bool {
	at, lost := t.LostStart()
	if !lost || t.DelegatedTo != "" {
		return false
	}
	switch {
	case at.Known() && s.hasAnsweredHere(at):
		s.noteLostStart(t, at, "its worker answers without it")
		s.dropStartRecord(t)
		return true
	case at.Known() && t.HasCrashAt(at):
		s.dropStartRecord(t)
		return true
	case at.Known() && s.leavingAt(at) && t.Level() < poisontask.NeedsIsolation:
		s.dropStartRecord(t) // a leaving worker stops its runs before it ends
		return true
	case !at.Known() || s.leavingAt(at):
		t.AddUnnamedLostStart(s.wall)
	case s.hasEnded(at):
		t.AddLostStart(at, true, s.wall)
		s.noteLostStart(t, at, "its worker's incarnation has ended")
	default:
		t.AddLostStart(at, false, s.wall)
		s.noteLostStart(t, at, "its worker is not heard")
	}
	s.trackImplicated(t)
	s.evidenceChanged(now, t, t.Crashes[len(t.Crashes)-1])
	return true
}

// dropStartRecord drops the record of a task's start, which is no evidence.
func (s *State) dropStartRecord(t *jobs.Task) {
	t.DropStartRecord()
	s.markDirty(t.Unit.Job, false)
}

// leavingAt reports whether an incarnation was leaving when it was last heard of. It stops its runs before it ends.
func (s *State) leavingAt(at jobs.Incarnation) bool {
	w, e := s.workers[at.Worker], s.retainedMembers[at.Worker]
	return (e.GetLeaving() && e.GetBorn() == at.Born) || (w != nil && w.Leaving && !w.HasAnswered && (w.Born == 0 || w.Born == at.Born))
}

// hasAnsweredHere reports whether an incarnation has answered this leader since it read the jobs. Its lists name every
// run of earlier leaders there, because it refuses their orders from then on.
func (s *State) hasAnsweredHere(at jobs.Incarnation) bool {
	w := s.workers[at.Worker]
	return s.endsBeforeSettling[incarnation{at.Worker, at.Born}] || (w != nil && w.HasListedAll() && w.Born == at.Born)
}

// hasEnded reports whether an incarnation that has not answered this leader is known to have ended: another one answers
// under its id or on its host, or its end is known otherwise.
func (s *State) hasEnded(at jobs.Incarnation) bool {
	if _, ended := s.endsBeforeSettling[incarnation{at.Worker, at.Born}]; ended {
		return true
	}
	for _, w := range s.workers {
		if w.HasAnswered && endsIncarnation(w, at) {
			return true
		}
	}
	return false
}

// endsIncarnation reports whether an answer of a worker shows that another incarnation has ended: it answers under the
// same id, or on the same host, which runs one worker at a time.
func endsIncarnation(w *workers.Worker, at jobs.Incarnation) bool {
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
	if !s.settled {
		s.endsBeforeSettling[incarnation{w.ID, born}] = w.HasAnswered
	}
}

// lostStartAnswered resolves the unresolved ends of recorded starts by an answer of a worker.
func (s *State) lostStartAnswered(now time.Time, w *workers.Worker) {
	s.resolveLostStarts(now, false, func(at jobs.Incarnation) bool { return at.Worker == w.ID && at.Born == w.Born })
	s.resolveLostStarts(now, true, func(at jobs.Incarnation) bool { return endsIncarnation(w, at) })
}

// lostStartEnded resolves the unresolved ends of recorded starts by the end of a worker's incarnation.
func (s *State) lostStartEnded(now time.Time, w *workers.Worker) {
	if !w.LeftOrderly() {
		s.resolveLostStarts(now, true, func(at jobs.Incarnation) bool {
			return at.Worker == w.ID && (w.Born == 0 || at.Born == w.Born)
		})
	}
}

// resolveLostStarts confirms or withdraws the evidence of the unresolved ends that match.
func (s *State) resolveLostStarts(now time.Time, ended bool, match func(jobs.Incarnation) bool) {
	if s.phase == loading || s.phase == following {
		return
	}
	for _, t := range slices.Clone(s.implicated) {
		if t.Done || t.Unit.Job.Ended() || t.DelegatedTo != "" {
			continue
		}
		c, was := t.ResolveLostStart(ended, match)
		if !was {
			continue
		}
		at := jobs.Incarnation{Worker: c.Worker, Born: c.Born, Host: c.Host}
		if ended {
			s.noteLostStart(t, at, "its worker's incarnation has ended: confirmed")
			s.evidenceChanged(now, t, c)
			continue
		}
		s.noteLostStart(t, at, "its worker answers: withdrawn")
		s.markDirty(t.Unit.Job, false)
		s.placementDue = true
	}
}

// noteLostStart logs what is known of a recorded start whose run no worker lists.
func (s *State) noteLostStart(t *jobs.Task, at jobs.Incarnation, known string) {
	s.note(Note{Kind: NoteLostStart, Job: t.Unit.Job.Spec.GetId(), Task: t.Name(), Worker: at.Worker, AgeMs: -1, Detail: known})
}
