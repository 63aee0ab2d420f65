package cell

import (
	"fmt"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Restarts of a worker under the same id. Each order is for one incarnation of its worker and reaches no other. The
// first answer of the next incarnation says when that one began. The leader then drops its state of the incarnation
// before, whose runs have died.

// takeIncarnation handles the incarnation of a worker that has answered a poll.
func (s *State) takeIncarnation(now time.Time, w *workers.Worker, e PollAnswered) {
	born := e.Report.Born
	switch {
	case born == 0:
	case w.Born == 0:
		w.Born = born
		if !w.Listed {
			w.UsableFrom = now // known from the membership row alone: this may be a new incarnation, which has seen no epoch
		}
	case w.Born == born:
		w.PollAnswered(e.SentAt)
	default:
		s.beginIncarnation(now, w, e)
	}
}

// beginIncarnation handles the first answer of the next incarnation of a worker.
func (s *State) beginIncarnation(now time.Time, w *workers.Worker, e PollAnswered) {
	s.note(Note{
		Kind: NoteWorkerLife, Worker: w.ID, AgeMs: now.Sub(w.LastAnswerAt).Milliseconds(),
		Detail: fmt.Sprintf("born %d, was %d; clock %s, expected at least %s", e.Report.Born, w.Born, e.Report.Clock, w.MinClock(now).Round(time.Millisecond)),
	})
	if !w.Ended {
		s.rememberEnd(w)
		s.workerCrashed(now, w)
	}
	for _, p := range s.writers {
		p.unrecordedEnds = slices.DeleteFunc(p.unrecordedEnds, func(end unrecordedEnd) bool { return end.worker == w.ID })
	}
	for _, a := range s.ticketsByUnit {
		delete(a.tickets, w.ID)
	}
	for _, r := range w.Restart(now, e.Report.Born) {
		s.markDied(now, r)
	}
	s.placementDue = true
}

// markDied marks a run as died: it ended with its worker's incarnation, or earlier without its end being reported.
func (s *State) markDied(now time.Time, r *jobs.Run) {
	r.State = jobs.Died
	s.diedRuns = append(s.diedRuns, diedRun{run: r, at: now})
	s.scanDue = true
}

// diedRun is a run that died, and the time at which this leader learned that.
type diedRun struct {
	run *jobs.Run
	at  time.Time
}

// loseDiedRuns presumes died runs over once this process is confirmed to have led the cell after it learned that they
// died. Before that, a later leader may already have received the successful end of such a run.
func (s *State) loseDiedRuns(now time.Time) {
	confirmed := s.leadershipLastConfirmed(now)
	died := s.diedRuns
	s.diedRuns = nil
	for _, d := range died {
		w := s.workers[d.run.Worker]
		switch {
		case d.run.State != jobs.Died || !slices.Contains(d.run.Task.Runs, d.run):
			// Its end has been reported meanwhile.
		case confirmed.Before(d.at):
			s.diedRuns = append(s.diedRuns, d)
		default:
			s.loseRun(now, w, d.run, "its worker has restarted")
		}
	}
}
