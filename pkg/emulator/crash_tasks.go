package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Crash tasks: tasks that crash each worker that starts them.

const (
	// minCrashDelay and maxCrashDelay bound the time from the start of a crash task to the crash, minDowntime and
	// maxDowntime the time from the crash to the worker's restart.
	minCrashDelay, maxCrashDelay = 5 * time.Millisecond, 300 * time.Millisecond
	minDowntime, maxDowntime     = time.Second, 5 * time.Second
	// crashTaskSeedStream is the stream of the random generator for crash tasks. The other draws of a day don't depend
	// on it.
	crashTaskSeedStream = 11
)

// drawCrashTask picks a step and index of a job. The task there is the job's crash task, in each occurrence of a
// repeated job.
func (w *World) drawCrashTask(spec *wire.JobSpec) *Crash {
	r := rand.New(rand.NewPCG(w.plan.Seed^uint64(len(w.crashTaskDelays)), crashTaskSeedStream))
	step := r.IntN(len(spec.GetSteps()))
	index := r.IntN(int(spec.GetSteps()[step].GetCount()))
	after := minCrashDelay + time.Duration(r.Int64N(int64(maxCrashDelay-minCrashDelay)))
	return &Crash{Step: step, Index: index, After: after}
}

// crashTaskKey returns the key of a task in World.crashTaskDelays: the task's name without the occurrence of its job.
func crashTaskKey(task string) string {
	job, _, step := parseTaskName(task)
	return fmt.Sprintf("%s.%d%s", job, step, task[len(taskOf(task)):])
}

// scheduleTaskCrash schedules a crash of the worker if the run is of a crash task.
func (k *worker) scheduleTaskCrash(r *workerRun) {
	w := k.world
	after, crashes := w.crashTaskDelays[crashTaskKey(r.task)]
	if !crashes {
		return
	}
	span := minDowntime + w.extraDowntime(r)
	w.after(after, func() {
		if k.up && k.runs[r.task] == r {
			k.crashWithReset(span)
		}
	})
}

// extraDowntime returns the time that a worker stays down beyond minDowntime after a crash by a run. On a generated day
// it has a generator of its own, so that the other draws of the day don't depend on it.
func (w *World) extraDowntime(r *workerRun) time.Duration {
	span := w.draws.next("away "+r.task, func(*rand.Rand) uint64 {
		return uint64(rand.New(rand.NewPCG(w.plan.Seed, uint64(r.number))).Int64N(int64(maxDowntime - minDowntime)))
	})
	return time.Duration(span % uint64(maxDowntime-minDowntime))
}

// The rules for crash tasks. A third start of a task after three workers have crashed under it breaks BUDGET. A job may
// fail for crashes only if at least two workers have crashed under one of its crash tasks; else it breaks MIXED.
const (
	crashesUntilPoisonous = 3
	excessStarts          = 3
	minCrashesOfFailedJob = 2
)

// countTaskCrashes counts a crash of worker k for each crash task that runs there.
func (c *checker) countTaskCrashes(k *worker) {
	for task := range k.runs {
		if _, isCrashTask := c.world.crashTaskDelays[crashTaskKey(task)]; isCrashTask {
			c.crashes[task]++
		}
	}
}

// checkCrashBudget checks the rule BUDGET at a start of a task that has crashed workers.
func (c *checker) checkCrashBudget(task string) {
	if c.crashes[task] < crashesUntilPoisonous {
		return
	}
	c.startsAfterLimit[task]++
	if c.startsAfterLimit[task] >= excessStarts {
		c.breakRule("BUDGET", "%s is started %d times more after %d workers crashed under it", task, c.startsAfterLimit[task], crashesUntilPoisonous)
	}
}

// failureHasCause returns whether a job has had enough crashes or failed runs to be recorded as failed.
func (c *checker) failureHasCause(id string) bool {
	for task, n := range c.crashes {
		if jobOf(task) == id && n >= minCrashesOfFailedJob {
			return true
		}
	}
	return c.maxFailures[id] >= c.world.attempts(id)
}
