package cell

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// What is taken for over without its worker's own word: lives that ended, leases
// that ran out, runs that stand still. All but the last is confirmed first: this
// process must have led the cell after it was over (see model/cell.pml).

// lifeOver says that a worker's life is over by what shows that a later one has begun:
// whatever names it from now on is old.
func (s *State) lifeOver(now time.Time, w *workers.Worker, why string) {
	if !w.Gone {
		s.endedUnseen(w)
		s.unheardEnded(now, w.ID)
		s.crashed(now, w)
	}
	s.over[w.ID] = w.Born
	s.workerGone(now, w, why)
}

// workerGone says that a worker's life is over. What ran there is taken for
// lost when that is confirmed (buryGone).
func (s *State) workerGone(now time.Time, w *workers.Worker, why string) {
	if w.Gone {
		return
	}
	w.Gone, w.GoneAt, w.GoneWhy = true, now, why
	s.noteIfHeld(Note{What: NoteWorkerGone, Worker: w.ID, Detail: why, AgeMs: -1})
	s.scanNow = true
}

// buryGone drops the workers whose lives are over, and takes for lost what ran
// there, once this process is known to have led the cell after that: a later
// leader may have heard of a good end before.
func (s *State) buryGone(now time.Time) {
	for _, w := range s.sorted() {
		if !w.Gone || s.confirmed(now).Before(w.GoneAt) {
			continue
		}
		for _, r := range w.Runs {
			s.loseRun(now, w, r, w.GoneWhy)
		}
		delete(s.workers, w.ID)
		s.reorder = true
		s.placeNow = true
	}
}

// confirmed is when this process surely led the cell last.
func (s *State) confirmed(now time.Time) time.Time {
	if s.unsafe.NoConfirmation {
		return now
	}
	return s.confirmedAt
}

// loseRun takes a run for over whose end will not be seen. w is nil where its worker is no
// longer known.
func (s *State) loseRun(now time.Time, w *workers.Worker, r *jobs.Run, why string) {
	t := r.Task
	if w != nil {
		w.Remove(r)
	}
	t.Drop(r)
	t.WaitsSince, t.HereSince = lastSeen(now, w), now
	s.note(Note{
		What: NoteLost, Job: t.Unit.Job.Spec.GetId(), Task: t.Name(), Run: r.Number, Worker: r.Worker, Detail: why,
		AgeMs: now.Sub(r.SentAt).Milliseconds(),
	})
	s.touch(now, t.Unit.Job)
}

// lastSeen is when a worker whose runs are lost last said that they go on.
func lastSeen(now time.Time, w *workers.Worker) time.Time {
	if w == nil || w.AnsweredAt.IsZero() {
		return now
	}
	return w.AnsweredAt
}

// checkRuns sees to workers that are silent, to orders without an answer, and
// to runs that stand still.
func (s *State) checkRuns(now time.Time) {
	for _, w := range s.sorted() {
		if w.Gone {
			continue
		}
		if !w.SilentSince.IsZero() {
			s.checkSilent(now, w)
			continue
		}
		for _, r := range w.Runs {
			s.checkRun(now, w, r)
		}
	}
}

func (s *State) checkSilent(now time.Time, w *workers.Worker) {
	over := w.LeaseOver(s.confirmed(now)) || s.unsafe.NoLeaseWait
	if over {
		for _, r := range w.Runs {
			s.loseRun(now, w, r, "its worker's lease is over")
		}
	}
	if !w.Listed && now.Sub(w.UnlistedAt) > unlistedFor && len(w.Runs) == 0 && (over || s.surelyOver(now, w)) {
		s.workerGone(now, w, "not listed and silent")
	}
}

const (
	// unlistedFor is how long a worker that no list names, that does not answer
	// and whose lease is over is kept in mind. A successor has to wait for each
	// worker that the leadership row names.
	unlistedFor = time.Second
	// stillFor is how long a run may show no progress: 1% of the longest known
	// tasks, at a sixth of their speed, is below half a second.
	stillFor = 1500 * time.Millisecond
	// stillForFiller is the same for fillers, which wait for what others leave.
	stillForFiller = 4 * time.Second
)

func (s *State) checkRun(now time.Time, w *workers.Worker, r *jobs.Run) {
	if r.State != jobs.Running || r.Percent >= 100 {
		return
	}
	limit := stillFor
	if r.Task.Unit.Spec.GetFiller() {
		limit = stillForFiller
	}
	if r.Pace < 100 || r.PaceWanted < 100 || now.Sub(r.PacedAt) < limit {
		return
	}
	if now.Sub(r.ProgressAt) < limit || now.Sub(r.BeganAt) < limit {
		return
	}
	w.Health.StoodStill(now)
	s.noteAside(w)
	s.stop(now, w, r, "stands still")
}

func (s *State) noteAside(w *workers.Worker) {
	why, _ := w.Health.IsAside()
	s.note(Note{What: NoteWorkerAside, Worker: w.ID, Detail: why, AgeMs: -1})
}
