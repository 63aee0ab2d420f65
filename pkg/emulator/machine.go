package emulator

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Progress of runs at a worker and their interference, on a day of a given load. A filler gets its share of the
// processor time that others leave, and adds to the load of the serving tasks beside it by what it uses. The
// tail latency of a serving task is that of a queue, unloaded / (1 - busy). The readings that a worker lists of
// both lag by half a second and carry noise.

const (
	// sampleEvery is the interval at which speeds and tail latencies are computed; a period of a task's own
	// load spans many of them.
	sampleEvery = 250 * time.Millisecond
	// samplesPerReading is the number of samples that a listed reading averages.
	samplesPerReading = 2
	// readingDeviation is the standard deviation of a listed reading, as a fraction of it.
	readingDeviation = 0.04
	// maxBusy bounds the load of a serving task, which keeps its tail latency finite.
	maxBusy = 0.98
	// lastingStartTime is how long a lasting task takes from its start until it serves.
	lastingStartTime = 300 * time.Millisecond
	// restoreTime is how long a run takes to resume from a checkpoint; saveEvery is the work between two
	// checkpoints.
	restoreTime = 150 * time.Millisecond
	saveEvery   = time.Second
	// maxOverTarget is how long without a break a serving task may be over its tail target because of fillers
	// beside it. It states a rule of the platform.
	maxOverTarget = 4 * time.Second
	// harmGrace is how long after a fault the rule HARM is not checked.
	harmGrace = 3 * time.Second
)

// reading is the listed reading of a run and its sampling state: tail latency in ms for a serving task, used
// millicores for a filler.
type reading struct {
	sum     float64
	samples int
	listed  int64
	// overTargetSince is since when fillers keep a serving task over its target, zero if they do not.
	overTargetSince time.Time
}

// drawRun sets the total work of a run, whether it fails, and the work restored from its checkpoint.
func (k *worker) drawRun(r *workerRun) {
	w := k.world
	if w.plan.Load == nil {
		r.totalWork = w.draws.between("run "+r.task, 100*time.Millisecond, 2500*time.Millisecond)
		return
	}
	r.truth = w.truths[r.task]
	r.totalWork = r.truth.Work
	if r.spec.GetLasting() {
		r.totalWork = lastingStartTime
		return
	}
	r.fails = r.truth.runs < r.truth.FailingRuns
	r.truth.runs++
	if r.fails {
		r.totalWork /= 2
	}
	if r.checkpoint != "" {
		r.workDone = min(w.saved[r.task], r.totalWork) - restoreTime
	}
}

// work returns the work that a run has done by now, as time at full speed.
func (r *workerRun) work(now time.Time) time.Duration {
	return r.workDone + time.Duration(float64(now.Sub(r.workedUntil))*r.speed)
}

// updateSpeeds accounts for the work done by now and sets the speeds that follow from the present set of runs.
func (k *worker) updateSpeeds() {
	if k.world.plan.Load == nil {
		return
	}
	for _, r := range k.runs {
		r.workDone, r.workedUntil = r.work(k.world.now), k.world.now
	}
	share := k.fillerShare()
	for _, r := range k.sorted() {
		speed := 1.0
		switch {
		case r.stuck:
			speed = 0
		case r.spec.GetFiller():
			speed = share * float64(r.pace) / 100
		}
		if speed != r.speed {
			r.speed = speed
			k.endAfter(r)
		}
	}
}

// fillerShare returns the fraction of the requested processor time that fillers get.
func (k *worker) fillerShare() float64 {
	left, asked := float64(k.Millicores), 0.0
	for _, r := range k.sorted() {
		size := float64(r.spec.GetMillicores())
		switch {
		case r.spec.GetFiller():
			asked += size * float64(r.pace) / 100
		case r.spec.GetLasting():
			left -= size * r.ownLoad(k.world)
		default:
			left -= size
		}
	}
	if asked <= 0 {
		return 1
	}
	return min(1, max(0, left)/asked)
}

// ownLoad returns the load of a serving task by its own users, from 0 to 1.
func (r *workerRun) ownLoad(w *World) float64 {
	t := r.truth
	if t == nil || t.Period <= 0 {
		return 0
	}
	turns := w.now.Sub(w.start).Seconds()/t.Period.Seconds() + t.Phase
	return t.Base * (1 + t.Swing*math.Sin(2*math.Pi*turns))
}

// sample computes the tail latencies of serving tasks and the use of fillers, and updates the listed readings.
func (k *worker) sample() {
	w := k.world
	w.after(sampleEvery, k.sample)
	if !k.up || len(k.runs) == 0 {
		return
	}
	k.expireLease()
	k.updateSpeeds()
	share := k.fillerShare()
	uses := map[string]float64{}
	list := k.sorted()
	for _, r := range list {
		if r.spec.GetFiller() && !r.stuck {
			used := float64(r.spec.GetMillicores()) * share * float64(r.pace) / 100
			uses[k.image(r)] += used / float64(k.Millicores)
			r.reading.add(used, k.readingNoise())
		}
	}
	for _, r := range list {
		if r.spec.GetLasting() {
			k.sampleServing(r, uses)
		}
	}
}

// sampleServing computes the tail latency of a serving task beside the given use of fillers by image, and
// breaks the rule HARM if fillers keep it over its target for maxOverTarget.
func (k *worker) sampleServing(r *workerRun, uses map[string]float64) {
	w := k.world
	window := w.results[jobOf(r.task)].window(w.now.Sub(w.start))
	if k.percent(r) < 100 {
		return
	}
	window.AtWork += sampleEvery
	target := time.Duration(r.spec.GetTailTargetMs()) * time.Millisecond
	if target <= 0 {
		return
	}
	own := r.ownLoad(w)
	busy := own
	for _, filler := range slices.Sorted(maps.Keys(uses)) { // sorted, since a sum of floats depends on its order
		busy += w.plan.Load.Pressure[Pair{k.image(r), filler}] * uses[filler]
	}
	r.reading.add(float64(w.tail(busy).Milliseconds()), k.readingNoise())
	switch {
	case w.tail(own) > target:
		window.OverTarget += sampleEvery
		r.reading.overTargetSince = time.Time{}
	case w.tail(busy) > target:
		window.OverTargetByFillers += sampleEvery
		if r.reading.overTargetSince.IsZero() {
			r.reading.overTargetSince = w.now
		}
		if w.now.Sub(r.reading.overTargetSince) >= maxOverTarget && r.reading.overTargetSince.After(w.troubleUntil.Add(harmGrace)) {
			w.checker.breakRule("HARM", "%s at %s", r.task, k.id())
			r.reading.overTargetSince = w.now
		}
	default:
		r.reading.overTargetSince = time.Time{}
	}
}

// tail returns the tail latency of a serving task at a load, as of a queue.
func (w *World) tail(busy float64) time.Duration {
	return time.Duration(float64(w.plan.Load.UnloadedTail) / (1 - min(busy, maxBusy)))
}

// readingNoise draws the factor by which a reading deviates.
func (k *worker) readingNoise() float64 {
	return 1 + readingDeviation*k.world.draws.normal("reading "+k.name)
}

// add adds a sample, and lists the mean once there are samplesPerReading of them.
func (r *reading) add(value, rough float64) {
	r.sum += value
	r.samples++
	if r.samples >= samplesPerReading {
		r.listed = max(1, int64(r.sum/float64(r.samples)*rough))
		r.sum, r.samples = 0, 0
	}
}

// image returns the image of a run, the key of the interference between tasks.
func (k *worker) image(r *workerRun) string { return jobs.ImageOf(k.world.jobs[jobOf(r.task)], r.spec) }

// jobOf returns the job id in a task's name.
func jobOf(task string) string {
	job, _, _ := parseTaskName(task)
	return job
}

// setPace executes an order to throttle a run to a percentage of its speed.
func (k *worker) setPace(p workers.Pace) (time.Duration, workers.Refusal) {
	if p.Fence < k.fence {
		return k.clock(), workers.RefusedFence
	}
	k.fence = p.Fence
	r := k.runs[p.Task]
	if r == nil || r.number != p.Run {
		return k.clock(), workers.RefusedNoSuchRun
	}
	r.pace = p.Percent
	k.updateSpeeds()
	return k.clock(), workers.NotRefused
}

// saveWork saves the work of a run that ends, if its step writes checkpoints.
func (k *worker) saveWork(r *workerRun) {
	if k.world.plan.Load == nil || !r.spec.GetCheckpointing() {
		return
	}
	k.world.saved[r.task] = max(k.world.saved[r.task], r.work(k.world.now))
}

// checkpointOfLoad returns the checkpoint of a run on a day of a given load. Work is saved every saveEvery and
// at the run's end.
func (k *worker) checkpointOfLoad(r *workerRun) string {
	if !r.spec.GetCheckpointing() {
		return ""
	}
	if done := r.work(k.world.now).Truncate(saveEvery); done > k.world.saved[r.task] {
		k.world.saved[r.task] = done
	}
	if k.world.saved[r.task] <= 0 {
		return r.checkpoint
	}
	return "save of " + taskOf(r.task)
}
