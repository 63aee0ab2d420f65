package cell

import (
	"fmt"
	"math"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/interference"
	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Pace. Fillers disturb the tasks beside them that serve users, by amounts that
// differ by pair of images and change within seconds; all that is seen of it is
// the tail that a serving task lists, rough and half a second old. Which pairs
// press is learned (package interference), and fillers are placed where that
// costs less than it brings (harm.go). What is here is for what that misses: a
// tail near its target cuts the fillers that press on it, one that stays over it
// cuts all fillers of its worker. Levels are logarithms of tails over their targets.

const (
	// overShort is how long a tail may be over its target before what is known
	// to press on it stands still, and overLong before all fillers of its worker
	// do. Users count four seconds without a break as harm; a break of one
	// reading is enough.
	overShort = 2000 * time.Millisecond
	overLong  = 2500 * time.Millisecond
	// overLevel is the level that counts as over the target: readings are rough,
	// and one a little below it is no break in what the platform sees.
	overLevel = -0.1
	// overJoin is how long it may be before no more fillers come.
	overJoin = 900 * time.Millisecond
	// pressesFrom is the least part of a level that makes a filler one of those
	// that press on it.
	pressesFrom = 0.1
	// cutLeast is how long a filler stands still at least: so long until a
	// reading shows it. cutMost is the longest, and cutAgain the least time until
	// the next cut: who is over its target without fillers is not their matter.
	cutLeast = 600 * time.Millisecond
	cutMost  = 1300 * time.Millisecond
	cutAgain = 700 * time.Millisecond
	// tellPressEvery is how often the log says what is believed of images.
	tellPressEvery = 10 * time.Second
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

// levelOf is the level of a serving run's last reading.
func levelOf(r *jobs.Run) float64 {
	return interference.Level(float64(r.Tail.Milliseconds()), float64(r.Task.Unit.Spec.GetTailTargetMs()))
}

// pressure is the share of a worker's processors that a filler may use.
func pressure(w *workers.Worker, u *jobs.Unit, share int) float64 {
	return float64(u.Size.Millicores) / float64(max(1, w.Capacity.Millicores)) * float64(share) / 100
}

// learnPress takes in a worker's fresh readings. What a filler has used in the
// last half second is what its neighbours' tails show.
func (s *State) learnPress(now time.Time, w *workers.Worker) {
	if !w.Serving() {
		return
	}
	at := map[string]float64{}
	for _, r := range w.Runs {
		if filling(r) {
			at[imageOf(r.Task.Unit)] += float64(r.UsedMillicores) / float64(max(1, w.Capacity.Millicores))
		}
	}
	for _, r := range w.Runs {
		if serving(r) && now.Sub(r.BeganAt) > time.Second {
			s.press.Learn(now, imageOf(r.Task.Unit), levelOf(r), at, &r.OwnLoad)
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
	for _, w := range s.sorted() {
		if w.Gone || !w.SilentSince.IsZero() || !w.Filling() {
			continue
		}
		s.setPaces(now, w)
		for _, r := range w.Runs {
			if filling(r) {
				s.sendPace(now, w, r)
			}
		}
	}
}

func (s *State) setPaces(now time.Time, w *workers.Worker) {
	for _, r := range w.Runs {
		if !serving(r) {
			continue
		}
		level := levelOf(r)
		if level < overLevel {
			r.OverSince = time.Time{}
			continue
		}
		if r.OverSince.IsZero() {
			r.OverSince = now
		}
		over := now.Sub(r.OverSince)
		if over > overJoin {
			w.NoFillersUntil = now.Add(cutLeast)
		}
		if over > overShort {
			s.cutPressing(now, w, r, level, over > overLong)
		}
	}
	for _, r := range w.Runs {
		if filling(r) && r.PaceWanted < 100 && s.mayGoOn(now, r) {
			s.setPace(now, w, r, 100, 0)
		}
	}
}

// mayGoOn says whether a filler that was cut may work again: what it was cut
// for is below its target, or was held down for long enough to show that it is
// not the filler's doing.
func (s *State) mayGoOn(now time.Time, r *jobs.Run) bool {
	since := now.Sub(r.CutAt)
	if since < cutLeast {
		return false
	}
	return since > cutMost || r.CutFor == nil || r.CutFor.OverSince.IsZero()
}

// cutPressing stops the fillers that press on one serving run, or all.
func (s *State) cutPressing(now time.Time, w *workers.Worker, over *jobs.Run, level float64, all bool) {
	image := imageOf(over.Task.Unit)
	for _, r := range w.Runs {
		if !filling(r) || r.PaceWanted == 0 || now.Sub(r.PacedAt) < cutAgain {
			continue
		}
		part := s.press.Coefficient(image, imageOf(r.Task.Unit)) * pressure(w, r.Task.Unit, r.Pace)
		if part >= pressesFrom || all {
			r.CutFor, r.CutAt = over, now
			w.NoFillersUntil = now.Add(cutMost)
			s.setPace(now, w, r, 0, level)
		}
	}
}

func (s *State) setPace(now time.Time, w *workers.Worker, r *jobs.Run, share int, level float64) {
	if r.PaceWanted == share {
		return
	}
	r.PaceWanted = share
	s.note(Note{
		What: NotePace, Job: r.Task.Unit.Job.Spec.GetId(), Task: r.Task.Name(), Run: r.Number, Worker: w.ID,
		AgeMs: now.Sub(w.AnsweredAt).Milliseconds(), Detail: fmt.Sprintf("%d%%, tail %.2f of its target", share, math.Exp(level)),
	})
}

func (s *State) sendPace(now time.Time, w *workers.Worker, r *jobs.Run) {
	if r.PaceSending || r.PaceWanted == r.Pace {
		return
	}
	r.PaceSending, r.PacedAt = true, now
	s.emit(SendPace{To: target(w), Pace: workers.Pace{Fence: s.epoch, Task: r.Task.Name(), Run: r.Number, Percent: r.PaceWanted}})
}
