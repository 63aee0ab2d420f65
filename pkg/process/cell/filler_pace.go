package cell

import (
	"fmt"
	"math"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/interference"
	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Pacing of fillers. Fillers slow down the serving tasks on their worker, by amounts that depend on the
// pair of images. The only sign of that is the tail latency that a serving task lists, which is rough and
// half a second old. Package interference learns from it which pairs interfere, and how much of a serving
// task's latency is due to its own load; fillers are then placed where they cost less than they earn
// (filler_cost.go). This file handles what that misses: if a tail latency stays over its target, all fillers of
// the worker are paused for a while. Levels are those of package interference: 0 at the target, negative
// below it.
//
// Two alternatives were given up. One slowed fillers by predicted levels, those that interfere most first:
// serving tasks were over their targets for less time, but more was lost by jobs that waited for a single
// slowed task. The other moved paused fillers to workers that would take them, and gained nothing (see
// docs/design/decisions.md).

const (
	// pauseAfter is how long a tail latency may be over its target before all fillers of its worker are
	// paused. Users count four seconds without a break as harm; one reading below the target is a break.
	pauseAfter = 2000 * time.Millisecond
	// overTargetLevel is the level from which a reading counts as over the target. Readings are rough: one that
	// is a little below the target may be no break by the platform's own reading.
	overTargetLevel = -0.1
	// usualAnswerGap is the time between two answers to polls of a worker with runs. After a longer gap, fillers are paused by as
	// much earlier: the next answer may come as late.
	usualAnswerGap = pollWait + 100*time.Millisecond
	// noJoinAfter is how long a tail latency may be over its target before no more fillers are placed there.
	noJoinAfter = 900 * time.Millisecond
	// pauseFor is how long fillers are paused. pauseAgainAfter is the least time between a filler's last change
	// of pace and its next pause: if a serving task stays over its target while fillers are paused, they
	// are not the cause.
	pauseFor        = 1300 * time.Millisecond
	pauseAgainAfter = 700 * time.Millisecond
	// sameReadingFor is how long an unchanged reading counts as the same one. Workers take a new reading every
	// half second, and answer polls more often.
	sameReadingFor = 600 * time.Millisecond
	// interferenceNoteInterval is the interval at which the log lists the coefficients of the interference model.
	interferenceNoteInterval = 10 * time.Second
)

// isRunningServing reports whether a run is a running serving task: one with a target for its tail latency.
func isRunningServing(r *jobs.Run) bool {
	return r.Task.Unit.Spec.GetTailTargetMs() > 0 && r.State == jobs.Running
}

// isRunningFiller reports whether a run is a running filler.
func isRunningFiller(r *jobs.Run) bool {
	return r.Task.Unit.Spec.GetFiller() && r.State == jobs.Running
}

// lastReading returns the last tail latency of a serving run as a level, which is relative to the run's target (package
// interference).
func lastReading(r *jobs.Run) interference.Reading {
	return interference.NewReading(r.TailLatency, time.Duration(r.Task.Unit.Spec.GetTailTargetMs())*time.Millisecond)
}

// pressure returns the share of a worker's CPU that a filler asks for.
func pressure(w *workers.Worker, u *jobs.Unit) float64 {
	return float64(u.Size.Millicores) / float64(max(1, w.Capacity.Millicores))
}

// learnInterference trains the interference model with a worker's new readings. A reading shows the effect of
// the CPU that fillers used in the last half second.
func (s *State) learnInterference(now time.Time, w *workers.Worker) {
	if !w.HasLatencyTarget() {
		return
	}
	pressures := map[string]float64{}
	for _, r := range w.Runs {
		if isRunningFiller(r) {
			pressures[r.Task.Unit.Image()] += float64(r.UsedMillicores) / float64(max(1, w.Capacity.Millicores))
		}
	}
	for _, r := range w.Runs {
		if isRunningServing(r) && r.TailLatency > 0 && (r.TailLatency != r.LearnedTail || now.Sub(r.LearnedAt) > sameReadingFor) {
			r.LearnedTail, r.LearnedAt = r.TailLatency, now
			s.interference.Learn(now, r.Task.Unit.Image(), lastReading(r), pressures, &r.OwnLoad)
		}
	}
}

// paceFillers decides the pace of each filler, and sends a pace order where it has changed.
func (s *State) paceFillers(now time.Time) {
	if now.Sub(s.interferenceLoggedAt) >= interferenceNoteInterval {
		s.interferenceLoggedAt = now
		for _, line := range s.interference.Summary() {
			s.note(Note{Kind: NotePress, Detail: line, AgeMs: -1})
		}
	}
	for _, w := range s.workersByID() {
		if w.Ended || !w.SilentSince.IsZero() || !w.HasFillers() {
			continue
		}
		s.decidePaces(now, w)
		for _, r := range w.Runs {
			if isRunningFiller(r) {
				s.sendPace(now, w, r)
			}
		}
	}
}

// decidePaces decides which fillers of a worker are paused, once for each answer of the worker.
func (s *State) decidePaces(now time.Time, w *workers.Worker) {
	if !w.LastAnswerAt.After(w.PacedAt) {
		return
	}
	w.PacedAt = w.LastAnswerAt
	s.checkTails(now, w)
	for _, r := range w.Runs {
		switch {
		case !isRunningFiller(r):
		case now.Sub(r.PausedAt) < pauseFor:
			s.setPace(now, w, r, 0)
		default:
			s.setPace(now, w, r, 100)
		}
	}
}

// checkTails checks the tail latencies on a worker. While one stays over its target, first no more fillers
// are placed there (noJoinAfter), then the fillers there are paused (pauseAfter).
func (s *State) checkTails(now time.Time, w *workers.Worker) {
	for _, r := range w.Runs {
		if !isRunningServing(r) {
			continue
		}
		if r.TailLatency <= 0 || lastReading(r).Level < overTargetLevel {
			r.OverTargetSince = time.Time{}
			continue
		}
		if r.OverTargetSince.IsZero() {
			r.OverTargetSince = now
		}
		over := now.Sub(r.OverTargetSince)
		if over > noJoinAfter {
			w.NoFillersUntil = now.Add(pauseFor)
		}
		if over > max(0, pauseAfter-max(0, w.AnswerGap-usualAnswerGap)) && s.enabled(CutFillers) {
			pauseFillers(now, w)
		}
	}
}

// pauseFillers pauses the fillers of a worker, except those whose pace has just changed (pauseAgainAfter).
func pauseFillers(now time.Time, w *workers.Worker) {
	for _, r := range w.Runs {
		if isRunningFiller(r) && r.PaceWanted > 0 && now.Sub(r.PacedAt) >= pauseAgainAfter {
			r.PausedAt = now
		}
	}
}

// worstLevel returns the highest level among a worker's serving tasks, for the log; -Inf without one.
func worstLevel(w *workers.Worker) float64 {
	worst := math.Inf(-1)
	for _, r := range w.Runs {
		if isRunningServing(r) && r.TailLatency > 0 {
			worst = max(worst, lastReading(r).Level)
		}
	}
	return worst
}

// fillerCPUFraction returns the fraction, 0 to 1, of the CPU that they ask for which a worker's fillers get if
// more millicores are asked for in addition. Fillers share the CPU that the other tasks leave unused.
func fillerCPUFraction(w *workers.Worker, more int64) float64 {
	asked := w.FillerMillicoresRequested() + more
	left := w.UnusedMillicores() + w.FillerMillicoresRequested()
	return min(1, max(0, float64(left))/float64(max(1, asked)))
}

// setPace sets the pace in percent that a filler should run at, and logs a change.
func (s *State) setPace(now time.Time, w *workers.Worker, r *jobs.Run, percent int) {
	if r.PaceWanted == percent {
		return
	}
	r.PaceWanted = percent
	s.note(Note{
		Kind: NotePace, Job: r.Task.Unit.Job.Spec.GetId(), Task: r.Task.Name(), Run: r.Number, Worker: w.ID,
		AgeMs: now.Sub(w.LastAnswerAt).Milliseconds(), Detail: fmt.Sprintf("%d%%, worst level on its worker %.2f", percent, worstLevel(w)),
	})
}

// sendPace sends a pace order if a filler does not run at the wanted pace and no order is in flight.
func (s *State) sendPace(now time.Time, w *workers.Worker, r *jobs.Run) {
	if r.PaceSending || r.PaceWanted == r.Pace {
		return
	}
	r.PaceSending, r.PacedAt = true, now
	s.emit(SendPace{To: target(w), Pace: workers.Pace{Fence: s.epoch, Task: r.Task.Name(), Run: r.Number, Percent: r.PaceWanted}, Timeout: s.startWindow.Timeout()})
}
