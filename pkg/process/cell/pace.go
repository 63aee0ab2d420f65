package cell

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Pace. Fillers disturb the tasks beside them that serve users, by amounts that
// differ by pair and change within seconds; all that is seen of it is the tail
// that a serving task lists, rough and half a second old. Each worker has a
// controller from the worst tail, relative to its target, to one share of work
// for all fillers there: cut at once and hard, give back slowly.

const (
	// paceCutAt and paceBackAt bound the band of tail over target in which the
	// share stays as it is.
	paceCutAt  = 0.85
	paceBackAt = 0.6
	// paceHalf and paceStop are the shares after a first and a second cut.
	paceBackStep = 15
	// paceEvery is the least time between two changes: a change shows in the
	// readings after the pace's own delay and the half second they look back.
	paceCutEvery  = 600 * time.Millisecond
	paceBackEvery = 700 * time.Millisecond
)

// pace decides the share of each worker's fillers and sends what has changed.
func (s *State) pace(now time.Time) {
	for _, w := range s.workers {
		if !w.SilentSince.IsZero() {
			continue
		}
		fillers := runsOf(w, func(r *jobs.Run) bool { return r.Task.Unit.Spec.GetFiller() && r.State == jobs.Running })
		if len(fillers) == 0 {
			continue
		}
		s.paceWorker(now, w, fillers)
		for _, r := range fillers {
			s.sendPace(now, w, r)
		}
	}
}

// worstTail is the highest tail over target of the serving tasks of a worker;
// 0: there is none.
func worstTail(w *workers.Worker) float64 {
	worst := 0.0
	for r := range w.Runs {
		if goal := r.Task.Unit.Spec.GetTailTargetMs(); goal > 0 && r.State == jobs.Running {
			worst = max(worst, float64(r.Tail.Milliseconds())/float64(goal))
		}
	}
	return worst
}

func (s *State) paceWorker(now time.Time, w *workers.Worker, fillers []*jobs.Run) {
	worst := worstTail(w)
	share := 100
	last := time.Time{}
	for _, r := range fillers {
		if !r.PacedAt.IsZero() || r.PaceWanted < 100 {
			share = min(share, r.PaceWanted)
		}
		if r.PacedAt.After(last) {
			last = r.PacedAt
		}
	}
	want := share
	switch {
	case worst >= paceCutAt && now.Sub(last) >= paceCutEvery:
		want = cutShare(share, worst)
	case worst < paceBackAt && share < 100 && now.Sub(last) >= paceBackEvery:
		want = min(100, share+paceBackStep)
	}
	for _, r := range fillers {
		if r.PaceWanted == want {
			continue
		}
		r.PaceWanted = want
		s.note(Note{
			What: NotePace, Job: r.Task.Unit.Job.Spec.GetId(), Task: r.Task.Name(), Run: r.Number, Worker: w.ID, AgeMs: now.Sub(w.AnsweredAt).Milliseconds(),
			Detail: fmt.Sprintf("%d%%, worst tail %.2f of its target", want, worst),
		})
	}
}

// cutShare is the next lower share for a tail over target.
func cutShare(share int, worst float64) int {
	if worst >= 1.5 || share <= 20 {
		return 0
	}
	return share / 2
}

func (s *State) sendPace(now time.Time, w *workers.Worker, r *jobs.Run) {
	if r.PaceSending || r.PaceWanted == r.Pace {
		return
	}
	r.PaceSending, r.PacedAt = true, now
	s.emit(SendPace{To: target(w), Pace: workers.Pace{Fence: s.epoch, Task: r.Task.Name(), Run: r.Number, Percent: r.PaceWanted}})
}
