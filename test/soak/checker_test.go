package soak_test

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// checker says which promises are broken, from what workers and callers saw alone. It shares no
// code with the product.
//
//	TWICE    two runs of a task at once on workers that are up, or a start after a done end that
//	         was acknowledged then or later, unless the worker's lease ran out between the two
//	ORDER    a start before the tasks of the step before have ended well
//	ASKED    a start of what nobody sent, or was only refused, or with another text
//	MIXED    a job shown as completed with a task that has not ended well
//	BUDGET   a third start of a task after three workers have crashed under it
//	GIVENUP  a job shown as failed of which no task failed often enough, or crashed two workers
//	LOST     an accepted job that is not known, or has no last state long after all faults
type checker struct {
	mu               sync.Mutex
	startedAt        time.Time
	jobs             map[string]*sentJob
	running          map[string]map[string]bool // by task: those that run, as life and number
	done             map[string]bool
	acknowledgedDone map[string]bool
	lastStart        map[string]time.Time // the last start of each task
	// crashesUnder are the crashes under tasks that crash their workers, more the starts after too many;
	// failures are the runs of each task that ended as failed.
	crashesUnder, startsAfterCrashes, failures map[string]int

	violations []string
	log        []string
}

// sentJob is a job that a caller handed in.
type sentJob struct {
	text  string
	steps []int // how many tasks each step has; each comes after the one before
	// accepted, and answers that leave open whether it was.
	accepted, maybeAccepted bool
	cancelled               bool
	// crashingTask is a task of it that crashes each worker that starts it.
	crashingTask string
}

const (
	crashLimit, extraStartLimit, crashesBeforeFailure = 3, 3, 2
	// maxAttempts is how often a task may fail, by the manifest.
	maxAttempts = 3
)

// crashesWorkers says whether a task crashes its workers.
func (c *checker) crashesWorkers(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	return c.jobs[id] != nil && c.jobs[id].crashingTask == task
}

// crashed takes in that a worker crashed under such a task.
func (c *checker) crashed(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashesUnder[task]++
	c.logLocked("crash %d under %s", c.crashesUnder[task], task)
}

// mayFail says whether a job has cause to be shown as failed.
func (c *checker) mayFail(id string) bool {
	if j := c.jobs[id]; j.crashingTask != "" && c.crashesUnder[j.crashingTask] >= crashesBeforeFailure {
		return true
	}
	for task, n := range c.failures {
		if strings.HasPrefix(task, id+".") && n >= maxAttempts {
			return true
		}
	}
	return false
}

func newChecker() *checker {
	return &checker{
		startedAt: time.Now(), jobs: map[string]*sentJob{}, running: map[string]map[string]bool{}, done: map[string]bool{},
		acknowledgedDone: map[string]bool{}, lastStart: map[string]time.Time{},
		crashesUnder: map[string]int{}, startsAfterCrashes: map[string]int{}, failures: map[string]int{},
	}
}

// logf adds a line to the story.
func (c *checker) logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logLocked(format, args...)
}

func (c *checker) logLocked(format string, args ...any) {
	c.log = append(c.log, fmt.Sprintf("%8.3f ", time.Since(c.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

func (c *checker) violate(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	c.violations = append(c.violations, text)
	c.logLocked("BROKEN %s", text)
}

func (c *checker) sent(id string, j *sentJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id] = j
}

// submitAnswered takes in what a caller was told of a hand-in.
func (c *checker) submitAnswered(id string, status int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	switch {
	case err != nil || (status != 429 && status != 503 && status/100 != 2):
		j.maybeAccepted = true
	case status/100 == 2:
		if !j.accepted {
			c.logLocked("%s accepted", id)
		}
		j.accepted = true
	}
}

func (c *checker) cancelRequested(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelled = true
	c.logLocked("%s to be cancelled", id)
}

func (c *checker) started(life, task string, run int64, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logLocked("%s starts %s run %d", life, task, run)
	parts := strings.Split(task, ".")
	j := c.jobs[parts[0]]
	if j == nil || len(parts) != 4 {
		c.violate("ASKED", "%s starts %s, which nobody sent", life, task)
		return
	}
	if j.text != text {
		c.violate("ASKED", "%s starts %s with another text", life, task)
	}
	if len(c.running[task]) > 0 {
		c.violate("TWICE", "%s starts %s, which runs: %v", life, task, c.running[task])
	}
	if c.crashesUnder[task] >= crashLimit {
		if c.startsAfterCrashes[task]++; c.startsAfterCrashes[task] >= extraStartLimit {
			c.violate("BUDGET", "%s starts %s, %d times more after %d workers crashed under it", life, task, c.startsAfterCrashes[task], crashLimit)
		}
	}
	if c.acknowledgedDone[task] {
		c.violate("TWICE", "%s starts %s, whose good end was acknowledged", life, task)
	}
	if step, _ := strconv.Atoi(parts[2]); step > 0 {
		for i := range j.steps[step-1] {
			if before := fmt.Sprintf("%s.0.%d.%d", parts[0], step-1, i); !c.done[before] {
				c.violate("ORDER", "%s starts %s before %s", life, task, before)
			}
		}
	}
	if c.running[task] == nil {
		c.running[task] = map[string]bool{}
	}
	c.running[task][fmt.Sprintf("%s run %d", life, run)] = true
	c.lastStart[task] = time.Now()
}

func (c *checker) ended(life, task string, run int64, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logLocked("%s ends %s run %d: %s", life, task, run, how)
	delete(c.running[task], fmt.Sprintf("%s run %d", life, run))
	switch how {
	case howDone:
		c.done[task] = true
	case "failed":
		c.failures[task]++
	}
}

// acknowledged takes in that a worker was told to forget an end.
func (c *checker) acknowledged(life string, e runEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.how != howDone || e.lapsed {
		return
	}
	c.logLocked("%s may forget the end of %s run %d", life, e.task, e.run)
	c.acknowledgedDone[e.task] = true
	if c.lastStart[e.task].After(e.at) {
		c.violate("TWICE", "%s was started after its good end at %s, which is acknowledged", e.task, life)
	}
}

// stateShown takes in a state that a caller was told of.
func (c *checker) stateShown(id string, status int, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if status == 410 && j.accepted {
		c.violate("LOST", "%s is not known", id)
	}
	if state == "failed" && !c.mayFail(id) {
		c.violate("GIVENUP", "%s is shown as failed without cause", id)
	}
	if state != "completed" {
		return
	}
	for step, count := range j.steps {
		for i := range count {
			if task := fmt.Sprintf("%s.0.%d.%d", id, step, i); !c.done[task] {
				c.violate("MIXED", "%s is completed, %s is not done", id, task)
			}
		}
	}
}

func (c *checker) notCompleted(id, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violate("LOST", "%s was accepted and is %q at the end", id, state)
}

// checkRefused checks, at the end, that nothing ran of what was only refused.
func (c *checker) checkRefused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task := range c.lastStart {
		id, _, _ := strings.Cut(task, ".")
		if j := c.jobs[id]; j != nil && !j.accepted && !j.maybeAccepted {
			c.violate("ASKED", "%s was started, and its job was only refused", task)
		}
	}
}

// summary counts what the day was made of.
func (c *checker) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	accepted, faults := 0, 0
	for _, j := range c.jobs {
		if j.accepted {
			accepted++
		}
	}
	for _, line := range c.log {
		if strings.Contains(line, "FAULT") && strings.Contains(line, " for ") {
			faults++
		}
	}
	return fmt.Sprintf("%d jobs sent, %d accepted, %d tasks started, %d ended well, %d faults", len(c.jobs), accepted, len(c.lastStart), len(c.done), faults)
}

// result is what was broken, and the story of the first case.
func (c *checker) result() (broken, story []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...), append([]string(nil), c.log...)
}
