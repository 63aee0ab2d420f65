package cell

import (
	"fmt"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// A worker that starts again under the id that it had. Every order is for one life of its
// worker and reaches no other, so with the first answer of the next life, which names when that
// began, all that was believed of the life before ends, and what ran there is dead.

// takeLife takes in which life of a worker has answered.
func (s *State) takeLife(now time.Time, w *workers.Worker, e Looked) {
	born := e.Report.Born
	switch {
	case born == 0:
	case w.Born == 0:
		w.Born = born
		if !w.Listed {
			w.SureFrom = now // known from the roster alone: it may be a life that has seen no epoch
		}
	case w.Born == born:
		w.Answered(e.SentAt)
	default:
		s.begin(now, w, e)
	}
}

// begin takes in that the next life of a worker has answered.
func (s *State) begin(now time.Time, w *workers.Worker, e Looked) {
	s.note(Note{
		What: NoteWorkerLife, Worker: w.ID, AgeMs: now.Sub(w.AnsweredAt).Milliseconds(),
		Detail: fmt.Sprintf("born %d, was %d; its clock shows %s, at least %s was due", e.Report.Born, w.Born, e.Report.Clock, w.ClockAtLeast(now).Round(time.Millisecond)),
	})
	s.crashed(now, w)
	for _, p := range s.parts {
		p.ends = slices.DeleteFunc(p.ends, func(end pendingEnd) bool { return end.worker == w.ID })
	}
	for _, a := range s.advices {
		delete(a.tickets, w.ID)
	}
	for _, r := range w.Begin(now, e.Report.Born) {
		s.die(now, r)
	}
	s.placeNow = true
}

// die says that a run ended with its worker's life, if not before that and unseen.
func (s *State) die(now time.Time, r *jobs.Run) {
	r.State = jobs.Died
	s.died = append(s.died, diedRun{run: r, at: now})
	s.scanNow = true
}

// diedRun is a run that is over, and since when that is known.
type diedRun struct {
	run *jobs.Run
	at  time.Time
}

// buryDied takes runs for lost that died, once this process is known to have led the cell
// after that: a later leader may have heard of a good end before.
func (s *State) buryDied(now time.Time) {
	confirmed := s.confirmed(now)
	died := s.died
	s.died = nil
	for _, d := range died {
		w := s.workers[d.run.Worker]
		switch {
		case d.run.State != jobs.Died || !slices.Contains(d.run.Task.Runs, d.run):
			// Its end was seen after all.
		case confirmed.Before(d.at):
			s.died = append(s.died, d)
		default:
			s.loseRun(now, w, d.run, "its worker has started again")
		}
	}
}
