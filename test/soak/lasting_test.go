package soak_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Lasting tasks and the rule LOST for them.

const (
	// A lasting task is lost if it has had no run for maxIdle, there has been capacity for it capacityTwice over for
	// capacityTime, and nothing was impaired for calmTime.
	maxIdle       = 6 * time.Second
	capacityTime  = 3 * time.Second
	calmTime      = 7 * time.Second
	capacityTwice = 2
	// sampleInterval is the time between two checks. A check that is maxSampleDelay late counts as an impairment.
	sampleInterval = 50 * time.Millisecond
	maxSampleDelay = time.Second
	// maxLastingStart is the longest time from the start of a lasting task until it is at work.
	maxLastingStart = 400 * time.Millisecond
	// lastingFailureOneIn is the number of lasting runs of which one, on average, fails within maxLastingFailure.
	lastingFailureOneIn = 12
	maxLastingFailure   = 8 * time.Second
	// maxCancelTime is how long after the last cancel lasting tasks may run.
	maxCancelTime = 15 * time.Second
)

// lastingTasks is what the checker knows of lasting tasks.
type lastingTasks struct {
	tasks map[string]*lastingTask
	// underWay is the number of impairments under way, calmSince the end of the last one.
	underWay  int
	calmSince time.Time
	// fullAt is when there was last no capacity for one more task twice over.
	fullAt      time.Time
	longestIdle time.Duration
}

type lastingTask struct {
	job *sentJob
	// idleSince is when the last run ended or the job was accepted, zero while a run goes on.
	idleSince time.Time
	reported  bool
}

// idle returns for how long a task has had no run. A task of a cancelled job needs none.
func (t *lastingTask) idle(now time.Time) time.Duration {
	if t.idleSince.IsZero() || t.job.cancelled {
		return 0
	}
	return now.Sub(t.idleSince)
}

// accepted records a job whose acceptance its caller has learned. Some of its tasks may run already.
func (l *lastingTasks) accepted(id string, j *sentJob, running map[string]map[string]bool) {
	if !j.lasting {
		return
	}
	if l.tasks == nil {
		l.tasks = map[string]*lastingTask{}
	}
	for step, count := range j.steps {
		for i := range count {
			task := fmt.Sprintf("%s.0.%d.%d", id, step, i)
			l.tasks[task] = &lastingTask{job: j}
			if len(running[task]) == 0 {
				l.tasks[task].idleSince = time.Now()
			}
		}
	}
}

func (l *lastingTasks) started(task string) {
	if known := l.tasks[task]; known != nil {
		known.idleSince, known.reported = time.Time{}, false
	}
}

// ended records that no run of a task goes on any more. It returns whether the task is a lasting one.
func (l *lastingTasks) ended(task string) bool {
	known := l.tasks[task]
	if known != nil {
		known.idleSince = time.Now()
	}
	return known != nil
}

// impaired records the start of an impairment, and returns the function that records its end.
func (c *checker) impaired(format string, args ...any) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logLocked("FAULT "+format, args...)
	c.lasting.underWay++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.logLocked("END of "+format, args...)
		c.lasting.underWay--
		c.lasting.calmSince = time.Now()
	}
}

// isLasting returns whether a task is a lasting one.
func (c *checker) isLasting(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	return c.jobs[id] != nil && c.jobs[id].lasting
}

// checkLasting checks the rule LOST for lasting tasks, with the number of tasks that still fit.
func (c *checker) checkLasting(free int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, now := &c.lasting, time.Now()
	if free < capacityTwice {
		l.fullAt = now
	}
	for _, each := range l.tasks {
		l.longestIdle = max(l.longestIdle, each.idle(now))
	}
	if l.underWay > 0 || now.Sub(l.calmSince) < calmTime || now.Sub(l.fullAt) < capacityTime {
		return
	}
	for task, each := range l.tasks {
		idle := each.idle(now)
		if each.reported || idle < maxIdle {
			continue
		}
		each.reported = true
		c.violate("LOST", "the lasting task %s has had no run for %s, %d tasks fit", task, idle.Round(time.Millisecond), free)
	}
}

// runningLasting returns how many lasting tasks run, and how many there are.
func (c *checker) runningLasting() (running, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task := range c.lasting.tasks {
		if len(c.running[task]) > 0 {
			running++
		}
	}
	return running, len(c.lasting.tasks)
}

// longestIdle returns the longest time that a lasting task had no run.
func (c *checker) longestIdle() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lasting.longestIdle
}

// watchLasting checks the lasting tasks until the day is over.
func (d *day) watchLasting() {
	for last := time.Now(); ; {
		select {
		case <-d.over:
			return
		case <-time.After(sampleInterval):
		}
		if late := time.Since(last); late > maxSampleDelay {
			d.checker.impaired("a check that is late by %s", late)()
		}
		last = time.Now()
		free := 0
		for _, w := range d.presentWorkers() {
			free += w.freeSlots()
		}
		d.checker.checkLasting(free)
	}
}

// startLasting lets a lasting run go on until it is stopped. Some fail by themselves.
func (w *worker) startLasting(l *incarnation, task string, r *run) {
	r.lasting, r.takes = true, time.Duration(1+w.rand.Int64N(int64(maxLastingStart)))
	if w.rand.IntN(lastingFailureOneIn) == 0 {
		w.endAfter(l, task, r, time.Duration(w.rand.Int64N(int64(maxLastingFailure))), "failed")
	}
}

// percent returns the progress that a worker lists for a run.
func (r *run) percent() int {
	progress := int(100 * time.Since(r.since) / r.takes)
	if r.lasting {
		return min(100, progress)
	}
	return min(99, progress)
}

// submitLasting submits a job of lasting tasks.
func (c *caller) submitLasting(id string, count int, rnd *rand.Rand) {
	j := &sentJob{text: "text of " + id, steps: []int{count}, lasting: true}
	body, err := json.Marshal(map[string]any{
		"spec": j.text, "steps": []map[string]any{{"count": count, "cpu": taskCPU, "mem-mb": 100, "estimate-ms": 1000, "long-running": true}},
	})
	if err != nil {
		panic(err) // the job consists of values that JSON can encode
	}
	c.checker.sent(id, j)
	c.submit(id, string(body), rnd)
}

// pollLasting asks for the state of a lasting job.
func (c *caller) pollLasting(id string, rnd *rand.Rand) {
	status, text, err := c.callAny(rnd, http.MethodGet, id, "")
	shown := struct{ State string }{}
	if err == nil && status == http.StatusOK && json.Unmarshal([]byte(text), &shown) != nil {
		return
	}
	if err == nil {
		c.checker.stateShown(id, status, shown.State)
	}
}

// cancelLasting cancels the lasting jobs, and checks that all their tasks end.
func (d *day) cancelLasting(ids []string, rnd *rand.Rand) {
	for _, id := range ids {
		d.checker.cancelRequested(id)
		d.caller.cancel(id, rnd)
	}
	for end := time.Now().Add(maxCancelTime); time.Now().Before(end); time.Sleep(sampleInterval) {
		if running, _ := d.checker.runningLasting(); running == 0 {
			return
		}
	}
	running, _ := d.checker.runningLasting()
	d.checker.mu.Lock()
	defer d.checker.mu.Unlock()
	d.checker.violate("UNASKED", "%d lasting tasks run %s after their jobs were cancelled", running, maxCancelTime)
}
