package cell

import (
	"fmt"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Lives of workers that end by themselves, and what ran there.

const (
	// oneMoment is how far apart lives may end that have one cause outside: a rack or a hall
	// that loses power is noticed within the time between two looks.
	oneMoment = lookWait
	// fellKept bounds the memory of when workers fell silent.
	fellKept = 10 * time.Second
	// crashRunsTold bounds the runs that a line of the log names.
	crashRunsTold = 6
)

// fell remembers that a worker fell silent, or was found to have begun anew.
func (s *State) fell(now, at time.Time) {
	keep := s.fellAt[:0]
	for _, before := range s.fellAt {
		if now.Sub(before) < fellKept {
			keep = append(keep, before)
		}
	}
	s.fellAt = append(keep, at)
}

// fellWith is how many workers fell silent in the same moment, one included.
func (s *State) fellWith(at time.Time) int {
	n := 0
	for _, other := range s.fellAt {
		if other.Sub(at).Abs() <= oneMoment {
			n++
		}
	}
	return max(1, n)
}

// endedAt is when a life ended that is over by now: not later than it fell silent.
func endedAt(now time.Time, w *workers.Worker) time.Time {
	if w.SilentSince.IsZero() {
		return now
	}
	return w.SilentSince
}

// noteCrash tells of a life that is over what ran there, for how long, and how many others
// fell silent in that moment.
func (s *State) noteCrash(now time.Time, w *workers.Worker) {
	at := endedAt(now, w)
	if w.SilentSince.IsZero() {
		s.fell(now, at)
	}
	if len(w.Runs) == 0 || w.Leaving {
		return
	}
	var told []string
	for _, r := range w.Runs {
		if len(told) == crashRunsTold {
			told = append(told, fmt.Sprintf("and %d more", len(w.Runs)-crashRunsTold))
			break
		}
		told = append(told, fmt.Sprintf("%s run %d for %s", r.Task.Name(), r.Number, ranFor(w, r).Round(time.Millisecond)))
	}
	s.note(Note{
		What: NoteWorkerCrashed, Worker: w.ID, AgeMs: now.Sub(at).Milliseconds(),
		Detail: fmt.Sprintf("%d of %d workers fell silent in that moment; there ran %s", s.fellWith(at), len(s.workers), strings.Join(told, ", ")),
	})
}

// ranFor is how long a run had run, at least, when its worker's life ended: that may have been
// right after its last answer.
func ranFor(w *workers.Worker, r *jobs.Run) time.Duration {
	if r.BeganAt.IsZero() {
		return 0
	}
	return max(0, w.AnsweredAt.Sub(r.BeganAt))
}
