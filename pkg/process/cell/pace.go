package cell

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Pace. Fillers disturb the tasks beside them that serve users, by amounts that
// differ by pair of images and change within seconds; all that is seen of it is
// the tail that a serving task lists, rough and half a second old. Which pairs
// press is learned (package interference), so that fillers are placed where
// they do no harm (place.go). What is here is for what that misses: a tail near
// its target cuts the fillers that press on it, one that stays over it cuts all
// fillers of its worker, and a filler that is held down for long is moved.

const (
	// tailGoal is the tail over target that a cut aims at, and that a new filler
	// must not bring about: the rest is for what readings don't show yet.
	tailGoal = 0.75
	// tailCut is where a cut is due.
	tailCut = 0.9
	// tailBack is below which some is given back.
	tailBack = 0.75
	// overLong is how long a tail may be over its target before all fillers of
	// its worker stand still, known to press or not; four seconds are harm.
	overLong = 1200 * time.Millisecond
	// pressesFrom is the least part of a tail, over target, that makes a filler
	// one of those that press on it.
	pressesFrom = 0.08
	// backStep is what is given back at once, in points of share, and
	// shareGrain the least share that is worth running at.
	backStep   = 30
	shareGrain = 10
	// paceCutEvery and paceBackEvery are the least times between two changes: a
	// change shows after the pace's own delay (0.1 s) in readings that look half
	// a second back.
	paceCutEvery  = 550 * time.Millisecond
	paceBackEvery = 700 * time.Millisecond
	// pressureSpan is over how long pressures are averaged: as readings are.
	pressureSpan = 350 * time.Millisecond
	// tellPressEvery is how often the log says what is believed of images.
	tellPressEvery = 10 * time.Second
	// heldDown is how long a filler may run below half its share before it is
	// moved.
	heldDown = 1200 * time.Millisecond
)

// imageOf names what a unit's tasks run: tasks of one image behave alike.
func imageOf(u *jobs.Unit) string {
	if u.Spec.GetImage() != "" {
		return u.Spec.GetImage()
	}
	return u.Job.Spec.GetQueue()
}

func serving(r *jobs.Run) bool {
	return r.Task.Unit.Spec.GetTailTargetMs() > 0 && r.State == jobs.Running
}

func filling(r *jobs.Run) bool {
	return r.Task.Unit.Spec.GetFiller() && r.State == jobs.Running
}

// tailOf is a serving run's tail over its target.
func tailOf(r *jobs.Run) float64 {
	return float64(r.Tail.Milliseconds()) / float64(r.Task.Unit.Spec.GetTailTargetMs())
}

// pressure is the share of a worker's processors that a filler may use.
func pressure(w *workers.Worker, u *jobs.Unit, share int) float64 {
	return float64(u.Size.Millicores) / float64(max(1, w.Capacity.Millicores)) * float64(share) / 100
}

// learnPress takes in a worker's fresh readings.
func (s *State) learnPress(now time.Time, w *workers.Worker) {
	at := map[string]float64{}
	for r := range w.Runs {
		if filling(r) {
			at[imageOf(r.Task.Unit)] += pressure(w, r.Task.Unit, r.Pace)
		}
	}
	w.AveragePressures(now, at, pressureSpan)
	for r := range w.Runs {
		if serving(r) && now.Sub(r.BeganAt) > time.Second {
			s.press.Learn(now, imageOf(r.Task.Unit), tailOf(r), w.Pressures)
		}
	}
}

// pace decides the share of each filler and sends what has changed.
func (s *State) pace(now time.Time) {
	if now.Sub(s.pressToldAt) >= tellPressEvery {
		s.pressToldAt = now
		for _, words := range s.press.Words() {
			s.note(Note{What: NotePress, Detail: words, AgeMs: -1})
		}
	}
	for _, w := range s.workers {
		if !w.SilentSince.IsZero() || !w.Filling() {
			continue
		}
		s.setPaces(now, w)
		for r := range w.Runs {
			if filling(r) {
				s.sendPace(now, w, r)
				s.moveHeldDown(now, w, r)
			}
		}
	}
}

func (s *State) setPaces(now time.Time, w *workers.Worker) {
	worst, all := 0.0, false
	for r := range w.Runs {
		if !serving(r) {
			continue
		}
		tail := tailOf(r)
		worst = max(worst, tail)
		if tail < 1 {
			r.OverSince = time.Time{}
		} else if r.OverSince.IsZero() {
			r.OverSince = now
		}
		if !r.OverSince.IsZero() && now.Sub(r.OverSince) > overLong {
			all = true
		}
		if tail >= tailCut {
			s.cutPressing(now, w, r, tail)
		}
	}
	for r := range w.Runs {
		switch {
		case !filling(r):
		case all:
			s.setPace(now, w, r, 0, worst)
		case worst < tailBack && r.PaceWanted < 100 && now.Sub(r.PacedAt) >= paceBackEvery:
			s.setPace(now, w, r, min(100, r.PaceWanted+backStep), worst)
		}
	}
}

// cutPressing cuts the fillers that press on one serving run.
func (s *State) cutPressing(now time.Time, w *workers.Worker, over *jobs.Run, tail float64) {
	image := imageOf(over.Task.Unit)
	for r := range w.Runs {
		if !filling(r) || now.Sub(r.PacedAt) < paceCutEvery {
			continue
		}
		part := s.press.Coefficient(image, imageOf(r.Task.Unit)) * pressure(w, r.Task.Unit, r.Pace)
		if part < pressesFrom {
			continue
		}
		s.setPace(now, w, r, min(r.PaceWanted, shareFor(r.PaceWanted, tail, s.press.Alone(image))), tail)
	}
}

// shareFor is the share at which a tail would be at its goal.
func shareFor(share int, tail, alone float64) int {
	room, pressed := tailGoal-alone, tail-alone
	if room <= 0 || pressed <= 0 {
		return 0
	}
	want := int(float64(share) * room / pressed)
	if want < shareGrain {
		return 0
	}
	return min(share, want)
}

func (s *State) setPace(now time.Time, w *workers.Worker, r *jobs.Run, share int, tail float64) {
	if r.PaceWanted == share {
		return
	}
	if share < 50 && r.HeldSince.IsZero() {
		r.HeldSince = now
	}
	if share >= 50 {
		r.HeldSince = time.Time{}
	}
	r.PaceWanted = share
	s.note(Note{
		What: NotePace, Job: r.Task.Unit.Job.Spec.GetId(), Task: r.Task.Name(), Run: r.Number, Worker: w.ID,
		AgeMs: now.Sub(w.AnsweredAt).Milliseconds(), Detail: fmt.Sprintf("%d%%, tail %.2f of its target", share, tail),
	})
}

func (s *State) sendPace(now time.Time, w *workers.Worker, r *jobs.Run) {
	if r.PaceSending || r.PaceWanted == r.Pace {
		return
	}
	r.PaceSending, r.PacedAt = true, now
	s.emit(SendPace{To: target(w), Pace: workers.Pace{Fence: s.epoch, Task: r.Task.Name(), Run: r.Number, Percent: r.PaceWanted}})
}

// moveHeldDown takes a filler that is held down to where it can work, if there
// is such a place and it does not lose much.
func (s *State) moveHeldDown(now time.Time, w *workers.Worker, r *jobs.Run) {
	if r.HeldSince.IsZero() || now.Sub(r.HeldSince) < heldDown || !r.Task.Unit.Spec.GetCheckpointing() {
		return
	}
	u := r.Task.Unit
	for _, other := range s.workers {
		if other != w && s.usable(now, other) && s.fits(now, u, s.service(u.Job), other) {
			s.stop(now, w, r, "held down beside what it disturbs")
			return
		}
	}
}

// fillerHarm is the worst tail over target that a filler would bring about at a
// worker, beside what is there; 0: nobody serves users there.
func (s *State) fillerHarm(u *jobs.Unit, w *workers.Worker) float64 {
	worst := 0.0
	there := map[string]float64{}
	for r := range w.Runs {
		if r.Task.Unit.Spec.GetFiller() {
			there[imageOf(r.Task.Unit)] += pressure(w, r.Task.Unit, 100)
		}
	}
	there[imageOf(u)] += pressure(w, u, 100)
	for r := range w.Runs {
		if r.Task.Unit.Spec.GetTailTargetMs() > 0 {
			worst = max(worst, s.press.Predict(imageOf(r.Task.Unit), there))
		}
	}
	return worst
}
