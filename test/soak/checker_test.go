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
	mu    sync.Mutex
	began time.Time
	jobs  map[string]*sentJob
	runs  map[string]map[string]bool // by task: those that run, as life and number
	done  map[string]bool
	noted map[string]bool
	last  map[string]time.Time // the last start of each task
	// underCrash are the crashes under tasks that crash their workers, more the starts after too many;
	// failures are the runs of each task that ended as failed.
	underCrash, more, failures map[string]int

	broken []string
	story  []string
}

// sentJob is a job that a caller handed in.
type sentJob struct {
	text  string
	steps []int // how many tasks each step has; each comes after the one before
	// accepted, and answers that leave open whether it was.
	accepted, unsure bool
	cancelled        bool
	// crashes is a task of it that crashes each worker that starts it.
	crashes string
}

const (
	crashesEnough, startsTooMany, crashesToFail = 3, 3, 2
	// attempts is how often a task may fail, by the manifest.
	attempts = 3
)

// crashes says whether a task crashes its workers.
func (c *checker) crashes(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	return c.jobs[id] != nil && c.jobs[id].crashes == task
}

// crashed takes in that a worker crashed under such a task.
func (c *checker) crashed(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.underCrash[task]++
	c.line("crash %d under %s", c.underCrash[task], task)
}

// mayFail says whether a job has cause to be shown as failed.
func (c *checker) mayFail(id string) bool {
	if j := c.jobs[id]; j.crashes != "" && c.underCrash[j.crashes] >= crashesToFail {
		return true
	}
	for task, n := range c.failures {
		if strings.HasPrefix(task, id+".") && n >= attempts {
			return true
		}
	}
	return false
}

func newChecker() *checker {
	return &checker{
		began: time.Now(), jobs: map[string]*sentJob{}, runs: map[string]map[string]bool{}, done: map[string]bool{},
		noted: map[string]bool{}, last: map[string]time.Time{},
		underCrash: map[string]int{}, more: map[string]int{}, failures: map[string]int{},
	}
}

// tell adds a line to the story.
func (c *checker) tell(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.line(format, args...)
}

func (c *checker) line(format string, args ...any) {
	c.story = append(c.story, fmt.Sprintf("%8.3f ", time.Since(c.began).Seconds())+fmt.Sprintf(format, args...))
}

func (c *checker) breaks(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	c.broken = append(c.broken, text)
	c.line("BROKEN %s", text)
}

func (c *checker) sent(id string, j *sentJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id] = j
}

// answered takes in what a caller was told of a hand-in.
func (c *checker) answered(id string, status int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	switch {
	case err != nil || (status != 429 && status != 503 && status/100 != 2):
		j.unsure = true
	case status/100 == 2:
		if !j.accepted {
			c.line("%s accepted", id)
		}
		j.accepted = true
	}
}

func (c *checker) cancelAsked(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelled = true
	c.line("%s to be cancelled", id)
}

func (c *checker) started(life, task string, run int64, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.line("%s starts %s run %d", life, task, run)
	parts := strings.Split(task, ".")
	j := c.jobs[parts[0]]
	if j == nil || len(parts) != 4 {
		c.breaks("ASKED", "%s starts %s, which nobody sent", life, task)
		return
	}
	if j.text != text {
		c.breaks("ASKED", "%s starts %s with another text", life, task)
	}
	if len(c.runs[task]) > 0 {
		c.breaks("TWICE", "%s starts %s, which runs: %v", life, task, c.runs[task])
	}
	if c.underCrash[task] >= crashesEnough {
		if c.more[task]++; c.more[task] >= startsTooMany {
			c.breaks("BUDGET", "%s starts %s, %d times more after %d workers crashed under it", life, task, c.more[task], crashesEnough)
		}
	}
	if c.noted[task] {
		c.breaks("TWICE", "%s starts %s, whose good end was acknowledged", life, task)
	}
	if step, _ := strconv.Atoi(parts[2]); step > 0 {
		for i := range j.steps[step-1] {
			if before := fmt.Sprintf("%s.0.%d.%d", parts[0], step-1, i); !c.done[before] {
				c.breaks("ORDER", "%s starts %s before %s", life, task, before)
			}
		}
	}
	if c.runs[task] == nil {
		c.runs[task] = map[string]bool{}
	}
	c.runs[task][fmt.Sprintf("%s run %d", life, run)] = true
	c.last[task] = time.Now()
}

func (c *checker) ended(life, task string, run int64, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.line("%s ends %s run %d: %s", life, task, run, how)
	delete(c.runs[task], fmt.Sprintf("%s run %d", life, run))
	switch how {
	case howDone:
		c.done[task] = true
	case "failed":
		c.failures[task]++
	}
}

// acknowledged takes in that a worker was told to forget an end.
func (c *checker) acknowledged(life string, e listedEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.how != howDone || e.lapsed {
		return
	}
	c.line("%s may forget the end of %s run %d", life, e.task, e.run)
	c.noted[e.task] = true
	if c.last[e.task].After(e.at) {
		c.breaks("TWICE", "%s was started after its good end at %s, which is acknowledged", e.task, life)
	}
}

// shown takes in a state that a caller was told of.
func (c *checker) shown(id string, status int, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if status == 410 && j.accepted {
		c.breaks("LOST", "%s is not known", id)
	}
	if state == "failed" && !c.mayFail(id) {
		c.breaks("GIVENUP", "%s is shown as failed without cause", id)
	}
	if state != "completed" {
		return
	}
	for step, count := range j.steps {
		for i := range count {
			if task := fmt.Sprintf("%s.0.%d.%d", id, step, i); !c.done[task] {
				c.breaks("MIXED", "%s is completed, %s is not done", id, task)
			}
		}
	}
}

func (c *checker) lost(id, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaks("LOST", "%s was accepted and is %q at the end", id, state)
}

// refused checks, at the end, that nothing ran of what was only refused.
func (c *checker) refused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task := range c.last {
		id, _, _ := strings.Cut(task, ".")
		if j := c.jobs[id]; j != nil && !j.accepted && !j.unsure {
			c.breaks("ASKED", "%s was started, and its job was only refused", task)
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
	for _, line := range c.story {
		if strings.Contains(line, "FAULT") && strings.Contains(line, " for ") {
			faults++
		}
	}
	return fmt.Sprintf("%d jobs sent, %d accepted, %d tasks started, %d ended well, %d faults", len(c.jobs), accepted, len(c.last), len(c.done), faults)
}

// result is what was broken, and the story of the first case.
func (c *checker) result() (broken, story []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.broken...), append([]string(nil), c.story...)
}
