package cell

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Pace. Fillers disturb the tasks beside them that serve users, by amounts that
// differ by pair and change within seconds; all that is seen of it is the tail
// that a serving task lists, rough and half a second old. Each worker has one
// share of work for all its fillers. A tail is taken as a part that is there
// without fillers (learned while they stand still) and a part that grows with
// their share; the share is set so that the sum stays below the target. It is
// cut at once, and given back in steps.

const (
	// tailGoal is the tail over target that the share is set for. The rest is
	// for what the reading doesn't show yet.
	tailGoal = 0.8
	// tailCut is where a cut is due at once, tailBack below which some is
	// given back.
	tailCut  = 0.9
	tailBack = 0.7
	// aloneRate is how fast a reading without fillers changes what is taken for
	// the tail without them.
	aloneRate = 0.3
	// backStep is the most that is given back at once, in points, and
	// shareGrain the least change that is worth an order.
	backStep   = 25
	shareGrain = 10
	// paceCutEvery and paceBackEvery are the least times between two changes: a
	// change shows after the pace's own delay (0.1 s) in readings that look half
	// a second back.
	paceCutEvery  = 550 * time.Millisecond
	paceBackEvery = 600 * time.Millisecond
)

// pace decides the share of each worker's fillers and sends what has changed.
func (s *State) pace(now time.Time) {
	for _, w := range s.workers {
		if !w.SilentSince.IsZero() {
			continue
		}
		worst, serving := worstTail(w)
		if !serving && w.Share == 100 {
			continue
		}
		s.setShare(now, w, worst)
		for r := range w.Runs {
			if r.Task.Unit.Spec.GetFiller() && r.State == jobs.Running {
				s.sendPace(now, w, r)
			}
		}
	}
}

// worstTail is the highest tail over target of a worker's serving tasks.
func worstTail(w *workers.Worker) (worst float64, serving bool) {
	for r := range w.Runs {
		if goal := r.Task.Unit.Spec.GetTailTargetMs(); goal > 0 && r.State == jobs.Running {
			worst, serving = max(worst, float64(r.Tail.Milliseconds())/float64(goal)), true
		}
	}
	return worst, serving
}

func (s *State) setShare(now time.Time, w *workers.Worker, worst float64) {
	since := now.Sub(w.ShareAt)
	if !w.Filling() || w.Share == 0 {
		if since > paceBackEvery && w.LookSentAt.After(w.ShareAt) {
			w.Alone += aloneRate * (worst - w.Alone)
		}
	}
	share := w.Share
	switch {
	case worst >= tailCut && since >= paceCutEvery:
		share = min(share, shareFor(share, worst, w.Alone))
	case worst < tailBack && share < 100 && since >= paceBackEvery:
		share = min(100, share+backStep, max(share, shareFor(max(share, backStep), worst, w.Alone)))
	}
	if share == w.Share || (share > w.Share && share < 100 && share-w.Share < shareGrain) {
		return
	}
	w.Share, w.ShareAt = share, now
	s.note(Note{
		What: NotePace, Worker: w.ID, AgeMs: now.Sub(w.AnsweredAt).Milliseconds(),
		Detail: fmt.Sprintf("%d%%, worst tail %.2f of its target, %.2f without fillers", share, worst, w.Alone),
	})
}

// shareFor is the share at which the tail would be at its goal.
func shareFor(share int, worst, alone float64) int {
	room := tailGoal - alone
	pressed := worst - alone
	switch {
	case room <= 0:
		return 0
	case pressed <= 0:
		return 100
	}
	want := int(float64(share) * room / pressed)
	if want < shareGrain {
		return 0
	}
	return min(100, want)
}

func (s *State) sendPace(now time.Time, w *workers.Worker, r *jobs.Run) {
	r.PaceWanted = w.Share
	if r.PaceSending || r.PaceWanted == r.Pace {
		return
	}
	r.PaceSending, r.PacedAt = true, now
	s.emit(SendPace{To: target(w), Pace: workers.Pace{Fence: s.epoch, Task: r.Task.Name(), Run: r.Number, Percent: r.PaceWanted}})
}
