package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Tasks that crash each worker that starts them.

const (
	// minCrashDelay and crashLate bound how long after its start such a task crashes its worker,
	// backSoon and backLate how long the worker is away then.
	minCrashDelay, maxCrashDelay = 5 * time.Millisecond, 300 * time.Millisecond
	minDowntime, maxDowntime     = time.Second, 5 * time.Second
	// crashTaskSeedStream keeps what is drawn for these tasks apart from all else of a day.
	crashTaskSeedStream = 11
)

// drawCrasher picks one task of a job as such a task, at each of the job's times.
func (w *World) drawCrasher(spec *wire.JobSpec) *Crash {
	r := rand.New(rand.NewPCG(w.plan.Seed^uint64(len(w.crashers)), crashTaskSeedStream))
	step := r.IntN(len(spec.GetSteps()))
	index := r.IntN(int(spec.GetSteps()[step].GetCount()))
	after := minCrashDelay + time.Duration(r.Int64N(int64(maxCrashDelay-minCrashDelay)))
	return &Crash{Step: step, Index: index, After: after}
}

// crashTaskKey names a task at any of its job's times.
func crashTaskKey(task string) string {
	job, _, step := parts(task)
	return fmt.Sprintf("%s.%d%s", job, step, task[len(taskOf(task)):])
}

// crashAfter crashes the worker if a run is of such a task.
func (k *worker) crashAfter(r *workerRun) {
	w := k.world
	after, crashes := w.crashers[crashTaskKey(r.task)]
	if !crashes {
		return
	}
	span := minDowntime + w.extraDowntime(r)
	w.after(after, func() {
		if k.up && k.runs[r.task] == r {
			k.crashLoudly(span)
		}
	})
}

// extraDowntime is for how much longer than backSoon a crash by a run takes a worker away. What a seed gives
// is kept apart from all else of a day.
func (w *World) extraDowntime(r *workerRun) time.Duration {
	span := w.draws.take("away "+r.task, func(*rand.Rand) uint64 {
		return uint64(rand.New(rand.NewPCG(w.plan.Seed, uint64(r.number))).Int64N(int64(maxDowntime - minDowntime)))
	})
	return time.Duration(span % uint64(maxDowntime-minDowntime))
}

// The rules about such tasks: none is started three times more after three workers have crashed
// under it, and none but those is given up for crashes.
const (
	crashesUntilPoisonous = 3
	excessStarts          = 3
	minCrashesOfFailedJob = 2
)

// crashed counts the crashes under each such task that runs there.
func (c *checker) crashed(k *worker) {
	for task := range k.runs {
		if _, guilty := c.world.crashers[crashTaskKey(task)]; guilty {
			c.crashes[task]++
		}
	}
}

// checkCrasher looks at a start of such a task.
func (c *checker) checkCrasher(task string) {
	if c.crashes[task] < crashesUntilPoisonous {
		return
	}
	c.startsMore[task]++
	if c.startsMore[task] >= excessStarts {
		c.breakRule("BUDGET", "%s is started %d times more after %d workers crashed under it", task, c.startsMore[task], crashesUntilPoisonous)
	}
}

// mayFail says whether a job has cause to be shown as failed.
func (c *checker) mayFail(id string) bool {
	for task, n := range c.crashes {
		if jobOf(task) == id && n >= minCrashesOfFailedJob {
			return true
		}
	}
	return c.mostFailures[id] >= c.world.attempts(id)
}
