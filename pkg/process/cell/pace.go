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
// differ by pair of images; all that is seen of it is the tail that a serving task
// lists, rough and half a second old. Which pairs press, and how busy each task is
// by its own load, is learned (package interference), and fillers are placed where
// they cost less than they earn (harm.go). What is here is for what that misses: a
// tail that stays over its target makes all fillers of its worker stand still for
// a while. Levels are those of package interference: 0 at the target, below 0 while
// there is room.
//
// (Tried and reverted: shares of work worked out from the levels to expect, those
// held back first that press most. Serving tasks were over their targets for less
// time, and more was lost by jobs that waited for one task held back. Moving fillers
// that stood still to workers that would take them: worth nothing, see
// docs/design/decisions.md.)

const (
	// overLong is how long a tail may be over its target before all fillers of
	// its worker stand still. Users count four seconds without a break as harm; a
	// break of one reading is enough.
	overLong = 2000 * time.Millisecond
	// overLevel is the level that counts as over the target: readings are rough,
	// and one a little below it is no break in what the platform sees.
	overLevel = -0.1
	// overJoin is how long it may be before no more fillers come.
	overJoin = 900 * time.Millisecond
	// cutFor is how long fillers stand still, and cutAgain the least time until the
	// next cut: who is over its target without fillers is not their matter.
	cutFor   = 1300 * time.Millisecond
	cutAgain = 700 * time.Millisecond
	// sameFor is for how long an unchanged reading counts as the same one: workers
	// renew them every half second, and answer more often.
	sameFor = 600 * time.Millisecond
	// tellPressEvery is how often the log says what is believed of images.
	tellPressEvery = 10 * time.Second
)

func serving(r *jobs.Run) bool {
	return r.Task.Unit.Spec.GetTailTargetMs() > 0 && r.State == jobs.Running
}

func filling(r *jobs.Run) bool {
	return r.Task.Unit.Spec.GetFiller() && r.State == jobs.Running
}

// readingOf is a serving run's last reading.
func readingOf(r *jobs.Run) interference.Reading {
	return interference.NewReading(r.Tail, time.Duration(r.Task.Unit.Spec.GetTailTargetMs())*time.Millisecond)
}

// pressure is the share of a worker's processors that a filler asks for.
func pressure(w *workers.Worker, u *jobs.Unit) float64 {
	return float64(u.Size.Millicores) / float64(max(1, w.Capacity.Millicores))
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
			at[r.Task.Unit.Image()] += float64(r.UsedMillicores) / float64(max(1, w.Capacity.Millicores))
		}
	}
	for _, r := range w.Runs {
		if serving(r) && r.Tail > 0 && (r.Tail != r.LearnedTail || now.Sub(r.LearnedAt) > sameFor) {
			r.LearnedTail, r.LearnedAt = r.Tail, now
			s.press.Learn(now, r.Task.Unit.Image(), readingOf(r), at, &r.OwnLoad)
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

// setPaces decides which fillers of a worker stand still, once for each of its
// answers.
func (s *State) setPaces(now time.Time, w *workers.Worker) {
	if !w.AnsweredAt.After(w.PacedAt) {
		return
	}
	w.PacedAt = w.AnsweredAt
	s.watchTails(now, w)
	for _, r := range w.Runs {
		switch {
		case !filling(r):
		case now.Sub(r.CutAt) < cutFor:
			s.setPace(now, w, r, 0)
		default:
			s.setPace(now, w, r, 100)
		}
	}
}

// watchTails sees to tails that are over their targets.
func (s *State) watchTails(now time.Time, w *workers.Worker) {
	for _, r := range w.Runs {
		if !serving(r) {
			continue
		}
		if r.Tail <= 0 || readingOf(r).Level < overLevel {
			r.OverSince = time.Time{}
			continue
		}
		if r.OverSince.IsZero() {
			r.OverSince = now
		}
		over := now.Sub(r.OverSince)
		if over > overJoin {
			w.NoFillersUntil = now.Add(cutFor)
		}
		if over > overLong && s.has(CutFillers) {
			cutAll(now, w)
		}
	}
}

// cutAll makes all fillers of a worker stand still for a while.
func cutAll(now time.Time, w *workers.Worker) {
	for _, r := range w.Runs {
		if filling(r) && r.PaceWanted > 0 && now.Sub(r.PacedAt) >= cutAgain {
			r.CutAt = now
		}
	}
}

// worstLevel is the highest level among a worker's serving tasks, for the log.
func worstLevel(w *workers.Worker) float64 {
	worst := math.Inf(-1)
	for _, r := range w.Runs {
		if serving(r) && r.Tail > 0 {
			worst = max(worst, readingOf(r).Level)
		}
	}
	return worst
}

// fillerScale is the part of what they ask for that a worker's fillers get, with
// some more millicores asked for: they share what others leave.
func fillerScale(w *workers.Worker, more int64) float64 {
	asked := w.FillersAsk() + more
	left := w.Unused() + w.FillersAsk()
	return min(1, max(0, float64(left))/float64(max(1, asked)))
}

func (s *State) setPace(now time.Time, w *workers.Worker, r *jobs.Run, percent int) {
	if r.PaceWanted == percent {
		return
	}
	r.PaceWanted = percent
	s.note(Note{
		What: NotePace, Job: r.Task.Unit.Job.Spec.GetId(), Task: r.Task.Name(), Run: r.Number, Worker: w.ID,
		AgeMs: now.Sub(w.AnsweredAt).Milliseconds(), Detail: fmt.Sprintf("%d%%, the worst level beside it was %.2f", percent, worstLevel(w)),
	})
}

func (s *State) sendPace(now time.Time, w *workers.Worker, r *jobs.Run) {
	if r.PaceSending || r.PaceWanted == r.Pace {
		return
	}
	r.PaceSending, r.PacedAt = true, now
	s.emit(SendPace{To: target(w), Pace: workers.Pace{Fence: s.epoch, Task: r.Task.Name(), Run: r.Number, Percent: r.PaceWanted}, Timeout: s.orders.Timeout()})
}
