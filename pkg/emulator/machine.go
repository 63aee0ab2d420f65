package emulator

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// How runs get on at a worker, and how they disturb each other, on a day of a given
// load. A task that fills gets its share of the processors that others leave, and adds
// to how busy the serving tasks beside it are, by what it uses. A serving task's tail is
// that of a queue, unloaded / (1 - busy). What the worker lists of both is half a second
// old and rough.

const (
	// sampleEvery is how often speeds and tails are worked out anew: a wave of own load
	// takes many of these.
	sampleEvery = 250 * time.Millisecond
	// samplesPerReading is of how many samples a listed reading is the mean.
	samplesPerReading = 2
	// readingDeviation is the deviation of a listed reading, as a share of it.
	readingDeviation = 0.04
	// maxBusy keeps a tail finite.
	maxBusy = 0.98
	// lastingStartTime is how long a lasting task takes to be at work.
	lastingStartTime = 300 * time.Millisecond
	// restoreTime is how long a run takes to go on from a checkpoint, and saveEvery how
	// much work lies between two.
	restoreTime = 150 * time.Millisecond
	saveEvery    = time.Second
	// maxOverTarget is how long a serving task may be over its target without a break, by the
	// doing of what fills beside it and works on: a rule of the platform's.
	maxOverTarget = 4 * time.Second
	// harmGrace is how long after a fault the rule does not hold yet.
	harmGrace = 3 * time.Second
)

// reading is what a worker lists of a run beside its progress.
type reading struct {
	sum     float64
	samples int
	listed    int64
	// overTargetSince is since when neighbours keep a serving task over its target.
	overTargetSince time.Time
}

// drawRun sets how much work a run is.
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
	r.fails = r.truth.runs < r.truth.Fails
	r.truth.runs++
	if r.fails {
		r.totalWork /= 2
	}
	if r.checkpoint != "" {
		r.workDone = min(w.saved[r.task], r.totalWork) - restoreTime
	}
}

// work is how much of its work a run has done by now.
func (r *workerRun) work(now time.Time) time.Duration {
	return r.workDone + time.Duration(float64(now.Sub(r.workedUntil))*r.speed)
}

// updateSpeeds brings all runs up to now, and gives them the speeds that follow from who is
// there.
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

// fillerShare is the part of what they ask for that fillers get.
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

// ownLoad is how busy a serving task is with its own users.
func (r *workerRun) ownLoad(w *World) float64 {
	t := r.truth
	if t == nil || t.Period <= 0 {
		return 0
	}
	turns := w.now.Sub(w.start).Seconds()/t.Period.Seconds() + t.Phase
	return t.Base * (1 + t.Swing*math.Sin(2*math.Pi*turns))
}

// sample works out what serving tasks feel and what fillers use, and lists it.
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
	for _, filler := range slices.Sorted(maps.Keys(uses)) { // in order: sums of floats depend on it
		busy += w.plan.Load.Press[Pair{k.image(r), filler}] * uses[filler]
	}
	r.reading.add(float64(w.tail(busy).Milliseconds()), k.readingNoise())
	switch {
	case w.tail(own) > target:
		window.Over += sampleEvery
		r.reading.overTargetSince = time.Time{}
	case w.tail(busy) > target:
		window.OverByOthers += sampleEvery
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

// tail is that of a queue.
func (w *World) tail(busy float64) time.Duration {
	return time.Duration(float64(w.plan.Load.Unloaded) / (1 - min(busy, maxBusy)))
}

func (k *worker) readingNoise() float64 { return 1 + readingDeviation*k.world.draws.normal("reading "+k.name) }

func (r *reading) add(value, rough float64) {
	r.sum += value
	r.samples++
	if r.samples >= samplesPerReading {
		r.listed = max(1, int64(r.sum/float64(r.samples)*rough))
		r.sum, r.samples = 0, 0
	}
}

// image names what a run runs.
func (k *worker) image(r *workerRun) string { return jobs.ImageOf(k.world.jobs[jobOf(r.task)], r.spec) }

func jobOf(task string) string {
	job, _, _ := parts(task)
	return job
}

// setPace lets a run work at a share.
func (k *worker) setPace(p workers.Pace) (time.Duration, workers.Refusal) {
	if p.Fence < k.fence {
		return k.clock(), workers.RefusedFence
	}
	k.fence = p.Fence
	r := k.runs[p.Task]
	if r == nil || r.number != p.Run {
		return k.clock(), workers.RefusedMissing
	}
	r.pace = p.Percent
	k.updateSpeeds()
	return k.clock(), workers.NotRefused
}

// saveWork keeps what a run that ends has done, if it saves that.
func (k *worker) saveWork(r *workerRun) {
	if k.world.plan.Load == nil || !r.spec.GetCheckpointing() {
		return
	}
	k.world.saved[r.task] = max(k.world.saved[r.task], r.work(k.world.now))
}

// checkpointOfLoad is the checkpoint of a run: work is saved by pieces, and at its end.
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
