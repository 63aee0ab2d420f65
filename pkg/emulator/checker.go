package emulator

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// checker keeps what workers did and says which rules that breaks:
//
//	TWICE    two runs of a task at the same time, or a start after a done end that
//	         was taken note of then or later, unless its worker's lease ran out
//	         between the two
//	ORDER    a start before the tasks that it comes after have ended well
//	SPREAD   more tasks of a step on one worker than it may hold
//	BUDGET   a start after the last attempt's failure was taken note of; a third start of a task
//	         after three workers have crashed under it
//	LIMIT    a start that brings a worker that starts whatever it is told over its room; what is
//	         being stopped counts, a room that has shrunk does after a while
//	UNASKED  a start of what nobody sent, or long after its cancel, by a host in touch
//	MIXED    a job recorded as completed with a task that has not ended well,
//	         or as failed or cancelled without cause
//	ROW      an order to start at a worker that no good row names, by a host that has read so
//	LOST     an accepted job without a last state at the end of the day; a lasting task without a run for
//	         long, with capacity for it
type checker struct {
	world     *World
	broken    []string
	brokenAt  map[string]time.Duration // when each rule was broken first
	acceptedJobs     map[string]bool
	asked     map[string]bool
	cancels   map[string]time.Time
	running   map[string]map[string]*worker // by task: runs, as worker id and number
	done      map[string]bool
	doneAcknowledged  map[string]bool      // done ends that were taken note of
	startedAt map[string]time.Time // the last start of each task
	failed    map[string]map[string]bool
	// failedAt is when the noted failures of each task ended.
	failedAt map[string]map[string]time.Time
	phases   map[string]wire.JobPhase
	// crashes are those under tasks that crash their workers, startsMore the starts after too many.
	crashes, startsMore map[string]int
	// failures are the failed runs of each task, or of a gang, mostFailures the most of a job's.
	failures     map[string]map[int64]bool
	mostFailures map[string]int
	// acceptedAt is when jobs were accepted first, lastEnd the last end of each task's runs, waits the lasting
	// tasks that have none.
	acceptedAt, lastEndAt map[string]time.Time
	lastingWaits               map[string]*lastingWait
}

func newChecker(w *World) *checker {
	return &checker{
		world: w, acceptedJobs: map[string]bool{}, asked: map[string]bool{}, cancels: map[string]time.Time{}, running: map[string]map[string]*worker{},
		startedAt: map[string]time.Time{}, done: map[string]bool{}, doneAcknowledged: map[string]bool{}, failed: map[string]map[string]bool{}, failedAt: map[string]map[string]time.Time{}, phases: map[string]wire.JobPhase{},
		crashes: map[string]int{}, startsMore: map[string]int{}, failures: map[string]map[int64]bool{}, mostFailures: map[string]int{},
		acceptedAt: map[string]time.Time{}, lastEndAt: map[string]time.Time{}, lastingWaits: map[string]*lastingWait{},
		brokenAt: map[string]time.Duration{},
	}
}

func (c *checker) breakRule(rule, format string, args ...any) {
	c.broken = append(c.broken, rule+": "+fmt.Sprintf(format, args...))
	if _, known := c.brokenAt[rule]; !known {
		c.brokenAt[rule] = c.world.now.Sub(c.world.start)
	}
	c.world.logf("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
}

func (c *checker) accepted(spec *wire.JobSpec) {
	if !c.acceptedJobs[spec.GetId()] {
		c.acceptedJobs[spec.GetId()], c.acceptedAt[spec.GetId()] = true, c.world.now
	}
}

func (c *checker) isAccepted(id string) bool { return c.acceptedJobs[id] }

func (c *checker) isCancelled(id string) bool {
	_, known := c.cancels[id]
	return known
}

func (c *checker) cancelled(id string) {
	if _, known := c.cancels[id]; !known {
		c.cancels[id] = c.world.now
	}
}

// parts takes a task's name apart, in its own way.
func parts(task string) (job string, time, step int) {
	f := strings.Split(task, ".")
	time, _ = strconv.Atoi(f[1])
	step, _ = strconv.Atoi(f[2])
	return f[0], time, step
}

func name(job string, time, step, index int) string {
	return fmt.Sprintf("%s.%d.%d.%d", job, time, step, index)
}

const (
	// cancelGrace is how long after a cancel a task may still be started.
	cancelGrace = 3 * time.Second
)

func (c *checker) started(k *worker, s workers.Start) {
	job, time, step := parts(s.Task)
	spec := c.world.jobs[job].GetSteps()[step]
	if due := c.dueAt(job, time); c.world.now.Before(due) {
		c.breakRule("ORDER", "%s starts %s ahead of its time", s.Task, due.Sub(c.world.now))
	}
	c.world.logf("%s starts %s run %d (fence %d)", k.id(), s.Task, s.Run, s.Fence)
	if len(c.running[s.Task]) > 0 && !spec.GetCopies() {
		c.breakRule("TWICE", "%s runs already when %s starts it", s.Task, k.id())
	}
	if c.doneAcknowledged[s.Task] {
		c.breakRule("TWICE", "%s was done when %s starts it", s.Task, k.id())
	}
	c.checkCrasher(s.Task)
	c.startedAt[s.Task] = c.world.now
	if c.running[s.Task] == nil {
		c.running[s.Task] = map[string]*worker{}
	}
	c.running[s.Task][fmt.Sprintf("%s#%d", k.id(), s.Run)] = k
	for _, before := range spec.GetAfter() {
		for i := range int(c.world.jobs[job].GetSteps()[before].GetCount()) {
			if !c.unitDone(job, time, int(before), i) {
				c.breakRule("ORDER", "%s starts before step %d is done", s.Task, before)
				return
			}
		}
	}
	c.checkSpread(k, s.Task, spec)
	if len(c.failed[s.Task]) >= c.world.attempts(job) && !spec.GetLasting() {
		c.breakRule("BUDGET", "%s starts after %d failures", s.Task, len(c.failed[s.Task]))
	}
	if at, ok := c.cancels[job]; ok && c.world.now.Sub(at) > cancelGrace && (c.calm() || c.inTouch(k)) {
		c.breakRule("UNASKED", "%s starts %s after its cancel was acknowledged", s.Task, c.world.now.Sub(at))
	}
	if s.Checkpoint != "" && s.Checkpoint != "save of "+taskOf(s.Task) {
		c.breakRule("UNASKED", "%s starts from %q", s.Task, s.Checkpoint)
	}
	if s.Body != c.world.jobs[job].GetBody() {
		c.breakRule("UNASKED", "%s starts with another body", s.Task)
	}
}

// calm says whether faults have been over for a while: rules with a bound in
// time hold only then.
func (c *checker) calm() bool {
	return c.world.now.Sub(c.world.start) > c.world.plan.Trouble+15*time.Second
}

// unitDone says whether a task has ended well; for a gang one end is enough.
func (c *checker) unitDone(job string, time, step, index int) bool {
	spec := c.world.jobs[job].GetSteps()[step]
	if !spec.GetGang() {
		return c.done[name(job, time, step, index)]
	}
	for i := range int(spec.GetCount()) {
		if c.done[name(job, time, step, i)] {
			return true
		}
	}
	return false
}

func (c *checker) checkSpread(k *worker, task string, spec *wire.StepSpec) {
	if spec.GetSpread() == 0 {
		return
	}
	n := 0
	for other := range k.runs {
		if taskOf(other) == taskOf(task) {
			n++
		}
	}
	if n > int(spec.GetSpread()) {
		c.breakRule("SPREAD", "%d tasks of %s on %s", n, taskOf(task), k.id())
	}
}

func (c *checker) ended(k *worker, r *workerRun, how workers.How) {
	c.world.logf("%s ends %s run %d: %s", k.id(), r.task, r.number, how)
	delete(c.running[r.task], fmt.Sprintf("%s#%d", k.id(), r.number))
	c.lastEndAt[r.task] = c.world.now
	if how == workers.EndedDone && !r.spec.GetLasting() {
		c.done[r.task] = true
	}
	if how == workers.EndedFailed {
		c.countFailure(r)
	}
}

// countFailure counts a failed run of a task, or of its gang.
func (c *checker) countFailure(r *workerRun) {
	of := r.task
	if r.spec.GetGang() {
		of = taskOf(r.task)
	}
	if c.failures[of] == nil {
		c.failures[of] = map[int64]bool{}
	}
	c.failures[of][r.number] = true
	c.mostFailures[jobOf(r.task)] = max(c.mostFailures[jobOf(r.task)], len(c.failures[of]))
}

// acknowledged takes in that an end was acknowledged.
func (c *checker) acknowledged(k *worker, e workers.End) {
	if k.endedAfterLease[e.Number] {
		return
	}
	switch e.How {
	case workers.EndedDone:
		c.doneAcknowledged[e.Task] = true
		if at := c.startedAt[e.Task]; at.After(k.endedAt[e.Number]) {
			c.breakRule("TWICE", "%s was started after its done end at %s", e.Task, k.id())
		}
	case workers.EndedFailed:
		if c.failed[e.Task] == nil {
			c.failed[e.Task] = map[string]bool{}
		}
		c.failed[e.Task][fmt.Sprintf("%s#%d", k.id(), e.Run)] = true
		c.failureAcknowledged(k, e)
	default:
	}
}

// failureAcknowledged checks that no start came after the last attempt had ended, also where that is noted later.
func (c *checker) failureAcknowledged(k *worker, e workers.End) {
	if c.failedAt[e.Task] == nil {
		c.failedAt[e.Task] = map[string]time.Time{}
	}
	c.failedAt[e.Task][fmt.Sprintf("%s#%d", k.id(), e.Run)] = k.endedAt[e.Number]
	job, _, step := parts(e.Task)
	spec := c.world.jobs[job].GetSteps()[step]
	ends := slices.SortedFunc(maps.Values(c.failedAt[e.Task]), time.Time.Compare)
	most := c.world.attempts(job)
	if spec.GetLasting() || spec.GetCopies() || len(ends) < most {
		return
	}
	if c.startedAt[e.Task].After(ends[most-1]) {
		c.breakRule("BUDGET", "%s was started after %d failures, the last noted later at %s", e.Task, most, k.id())
	}
}

func (c *checker) startOfUnknownTask(k *worker, s workers.Start) {
	c.breakRule("UNASKED", "%s is told to start %s, which nobody sent", k.id(), s.Task)
}

// checkWrite looks at each row that is put: callers are told what it says.
func (c *checker) checkWrite(r table.Row) {
	id := r.Key.Key
	if r.Table != rows.ProgressTable(c.world.jobs[id].GetCell()) {
		return // another table, or what a cell says of tasks that it was lent
	}
	p := &wire.JobProgress{}
	if rows.Read(r, p) != nil {
		c.breakRule("MIXED", "the progress of %s can't be read", r.Key.Key)
		return
	}
	before := c.phases[id]
	c.phases[id] = p.GetPhase()
	c.world.recordPhase(id, p.GetPhase())
	if before >= wire.JobPhase_JOB_PHASE_COMPLETED && before != p.GetPhase() {
		c.breakRule("MIXED", "%s was %s and is %s", id, before, p.GetPhase())
	}
	switch p.GetPhase() {
	case wire.JobPhase_JOB_PHASE_COMPLETED:
		for time := range max(1, int(c.world.jobs[id].GetRepeats())) {
			c.checkAllDone(id, time)
		}
	case wire.JobPhase_JOB_PHASE_FAILED:
		if !c.mayFail(id) {
			c.breakRule("MIXED", "%s is shown as failed without cause: %s", id, p.GetReason())
		}
	case wire.JobPhase_JOB_PHASE_CANCELLED:
		if !c.cancelSent(id) {
			c.breakRule("MIXED", "%s is cancelled, nobody asked", id)
		}
	default:
	}
}

// checkAllDone looks whether all tasks of a completed job's time have ended well.
func (c *checker) checkAllDone(id string, time int) {
	for step, spec := range c.world.jobs[id].GetSteps() {
		for i := range int(spec.GetCount()) {
			if !c.unitDone(id, time, step, i) {
				c.breakRule("MIXED", "%s is completed, %s is not done", id, name(id, time, step, i))
			}
		}
	}
}

// dueAt is when a time of a job falls due.
func (c *checker) dueAt(job string, n int) time.Time {
	spec := c.world.jobs[job]
	if spec.GetRepeats() == 0 {
		return c.world.start
	}
	return time.UnixMilli(spec.GetFirstUnixMs() + int64(n)*spec.GetIntervalMs())
}

func (c *checker) cancelSent(id string) bool {
	if c.asked[id] {
		return true
	}
	_, sent := c.cancels[id]
	_, row := c.world.table.rows[rows.CancelKey(c.world.jobs[id].GetCell(), id)]
	return sent || row
}

func (c *checker) atEnd() {
	if c.world.plan.Load != nil {
		return // a day of given jobs may end while some still run
	}
	for id := range c.acceptedJobs {
		if c.phases[id] < wire.JobPhase_JOB_PHASE_COMPLETED {
			c.breakRule("LOST", "%s was accepted and is %s at the end", id, c.phases[id])
		}
	}
}
