package soak_test

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// checker detects broken promises from the observations of workers and callers only. It shares no
// code with the product. Its rules are broken by:
//
//	TWICE    two runs of a task at once on workers that are up, or a start after a done end that
//	         was acknowledged then or later, unless the worker's lease ran out between the two
//	ORDER    a start before all tasks of the previous step have ended as done
//	ASKED    a start of a task that nobody submitted, whose job was only rejected, or with another text
//	EVAC     a start in a hall long after its evacuation was ordered and after the last fault ended
//	MIXED    a job shown as completed with a task that has not ended as done
//	BUDGET   a third start of a task after three workers have crashed under it
//	GIVENUP  a job shown as failed, though no task of it failed often enough or crashed two workers
//	LOST     an accepted job that is unknown, or has no final state long after all faults; or a lasting task of an
//	         accepted job without a run, though there was capacity for it in a calm (lasting_test.go)
//	UNASKED  a lasting task that runs on after its job was cancelled
type checker struct {
	mu               sync.Mutex
	startedAt        time.Time
	jobs             map[string]*sentJob
	running          map[string]map[string]bool // by task: its current runs, as incarnation and run number
	done             map[string]bool
	acknowledgedDone map[string]bool
	lastStart        map[string]time.Time // the latest start of each task
	evacuatedSince   map[string]time.Time // by hall, for the evacuations in force
	lastFaultEnd     time.Time            // of faults other than evacuations
	// startsIn counts the starts in each hall. lastEvacuatedStart is how long after the order the last start in an
	// evacuated hall came.
	startsIn           map[string]int
	lastEvacuatedStart time.Duration
	// crashesUnder counts the worker crashes by each task that crashes its workers, startsAfterCrashes
	// its starts after crashLimit crashes. failures counts the runs of each task that failed.
	crashesUnder, startsAfterCrashes, failures map[string]int

	lasting lastingTasks

	violations []string
	log        []string
}

// sentJob is a job that a caller submitted.
type sentJob struct {
	text  string
	steps []int // tasks of each step; each step depends on the previous one
	// accepted means that a submission was accepted. maybeAccepted means that the answer to one left
	// this open.
	accepted, maybeAccepted bool
	cancelled               bool
	// lasting means that its tasks run until the job is cancelled.
	lasting bool
	// crashingTask is the job's task that crashes each worker that starts it, or empty.
	crashingTask string
}

const (
	crashLimit, extraStartLimit, crashesBeforeFailure = 3, 3, 2
	// maxAttempts is the number of failures after which a task is given up, by the manifest.
	maxAttempts = 3
)

// crashesWorkers returns whether a task crashes its workers.
func (c *checker) crashesWorkers(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	return c.jobs[id] != nil && c.jobs[id].crashingTask == task
}

// crashed records that a worker crashed because of a task.
func (c *checker) crashed(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashesUnder[task]++
	c.logLocked("crash %d under %s", c.crashesUnder[task], task)
}

// mayFail returns whether a job may be shown as failed.
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
		acknowledgedDone: map[string]bool{}, lastStart: map[string]time.Time{}, evacuatedSince: map[string]time.Time{}, startsIn: map[string]int{},
		crashesUnder: map[string]int{}, startsAfterCrashes: map[string]int{}, failures: map[string]int{},
	}
}

// logf adds a line with the time to the log of the day.
func (c *checker) logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logLocked(format, args...)
}

// logLocked is logf for callers that hold mu.
func (c *checker) logLocked(format string, args ...any) {
	c.log = append(c.log, fmt.Sprintf("%8.3f ", time.Since(c.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// violate records a violation of a rule.
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

// submitAnswered records the answer to a submission.
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
			c.lasting.accepted(id, j, c.running)
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

func (c *checker) started(incarnation, task string, run int64, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logLocked("%s starts %s run %d", incarnation, task, run)
	parts := strings.Split(task, ".")
	j := c.jobs[parts[0]]
	if j == nil || len(parts) != 4 {
		c.violate("ASKED", "%s starts %s, which nobody submitted", incarnation, task)
		return
	}
	if j.text != text {
		c.violate("ASKED", "%s starts %s with another text", incarnation, task)
	}
	if len(c.running[task]) > 0 {
		c.violate("TWICE", "%s starts %s, which already runs: %v", incarnation, task, c.running[task])
	}
	if c.crashesUnder[task] >= crashLimit {
		if c.startsAfterCrashes[task]++; c.startsAfterCrashes[task] >= extraStartLimit {
			c.violate("BUDGET", "%s starts %s, %d times more after %d workers crashed under it", incarnation, task, c.startsAfterCrashes[task], crashLimit)
		}
	}
	if c.acknowledgedDone[task] {
		c.violate("TWICE", "%s starts %s, whose done end was acknowledged", incarnation, task)
	}
	if step, _ := strconv.Atoi(parts[2]); step > 0 {
		for i := range j.steps[step-1] {
			if before := fmt.Sprintf("%s.0.%d.%d", parts[0], step-1, i); !c.done[before] {
				c.violate("ORDER", "%s starts %s before %s", incarnation, task, before)
			}
		}
	}
	if c.running[task] == nil {
		c.running[task] = map[string]bool{}
	}
	c.running[task][fmt.Sprintf("%s run %d", incarnation, run)] = true
	c.lastStart[task] = time.Now()
	c.lasting.started(task)
}

func (c *checker) ended(incarnation, task string, run int64, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logLocked("%s ends %s run %d: %s", incarnation, task, run, how)
	delete(c.running[task], fmt.Sprintf("%s run %d", incarnation, run))
	if len(c.running[task]) == 0 && c.lasting.ended(task) {
		return // a lasting task may fail as often as it likes
	}
	switch how {
	case howDone:
		c.done[task] = true
	case "failed":
		c.failures[task]++
	}
}

// acknowledged records that a worker may drop an end from its list.
func (c *checker) acknowledged(incarnation string, e runEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.how != howDone || e.lapsed {
		return
	}
	c.logLocked("%s may drop the end of %s run %d", incarnation, e.task, e.run)
	c.acknowledgedDone[e.task] = true
	if c.lastStart[e.task].After(e.at) {
		c.violate("TWICE", "%s was started after its done end at %s, which is acknowledged", e.task, incarnation)
	}
}

// stateShown records a job state that a caller was shown.
func (c *checker) stateShown(id string, status int, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if status == 410 && j.accepted {
		c.violate("LOST", "%s is unknown, but was accepted", id)
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

// notCompleted records that an accepted job has no final state at the end.
func (c *checker) notCompleted(id, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violate("LOST", "%s was accepted and is %q at the end", id, state)
}

// checkRefused checks, at the end, that no task ran of a job that was only rejected.
func (c *checker) checkRefused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task := range c.lastStart {
		id, _, _ := strings.Cut(task, ".")
		if j := c.jobs[id]; j != nil && !j.accepted && !j.maybeAccepted {
			c.violate("ASKED", "%s was started, but its job was only rejected", task)
		}
	}
}

// summary returns the counts of jobs, tasks and faults of the day.
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

// result returns the violations and the log of the day.
func (c *checker) result() (violations, log []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...), append([]string(nil), c.log...)
}
