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

// checker records what workers did and what the table holds, and reports the rules that this breaks:
//
//	TWICE    two runs of a task at the same time, or a start after a done end that
//	         was acknowledged then or later, unless the worker's lease expired between
//	         the two
//	ORDER    a start before the tasks that it depends on have ended well, or before its time
//	SPREAD   more tasks of a step on one worker than its spread allows
//	LABEL    a start at a worker without the label that the task needs
//	BUDGET   a start after the last attempt's failure was acknowledged; a third start of a task
//	         after three workers have crashed under it
//	LIMIT    a start that exceeds the capacity of a worker that accepts every start; runs that
//	         are being stopped count, and a reduced capacity counts after a while
//	UNASKED  a start of a task that no caller submitted, with another body or checkpoint, or long
//	         after its cancel, by a host in contact; a run that goes on after its cancel
//	EVAC     a start in a hall long after its evacuation was ordered, by a host in contact
//	MIXED    a job recorded as completed with a task that has not ended well,
//	         or as failed or cancelled without cause; an open job recorded as begun
//	         before any of its tasks has started; a job that comes to be, or is accepted,
//	         after its cancel was answered that there is none
//	PENDING  a host in contact counts as pending under half of the jobs that have waited for long without
//	         a start of any of their tasks
//	ROW      a start order to a worker whose row is invalid, by a host that has read that
//	LOST     an accepted job that has not ended when the day ends; a lasting task without a run for
//	         long while there is capacity for it
//	HELD     a task of an accepted job that for long neither runs nor is held by the leader that
//	         has to start it, or that is held back for too long
//	AGE      a renewal that a host has learned of from a relay counts as younger than it is
//	IDLE     a job that for long has no run although a task of it could start and most of the
//	         capacity is free
type checker struct {
	world            *World
	broken           []string
	brokenAt         map[string]time.Duration // first break of each rule
	acceptedJobs     map[string]bool
	cancelAsked      map[string]bool
	cancelledAt      map[string]time.Time
	running          map[string]map[string]*startedRun // by task and "worker id#run number"
	done             map[string]bool
	doneAcknowledged map[string]bool      // tasks with an acknowledged done end
	startedAt        map[string]time.Time // last start of each task
	failed           map[string]map[string]bool
	// failedAt holds the times of the acknowledged failures by task and "worker id#run number".
	failedAt map[string]map[string]time.Time
	phases   map[string]wire.JobPhase
	// crashes counts the worker crashes under each task that causes them, startsAfterLimit the task's starts after
	// too many of these.
	crashes, startsAfterLimit map[string]int
	// failures holds the numbers of failed runs of each task or gang, maxFailures the highest count within a
	// job.
	failures    map[string]map[int64]bool
	maxFailures map[string]int
	// acceptedAt is when each job was first accepted, lastEndAt the last end of a run of each task,
	// lastingWaits the waits of lasting tasks without a run.
	acceptedAt, lastEndAt map[string]time.Time
	lastingWaits          map[string]*lastingWait
	// cancelWaits are the cancels without an acknowledgement, by job. cancelOverdueAt is when a cancel without an answer
	// has to have effect all the same. watchedCancels are the jobs whose runs watchCancel checks.
	cancelWaits     map[string]cancelWait
	cancelOverdueAt map[string]time.Time
	watchedCancels  map[string]bool
	// noJob are the jobs whose cancel was answered that there is no such job.
	noJob   map[string]bool
	held    heldRule
	pending pendingRule
}

func newChecker(w *World) *checker {
	return &checker{
		world: w, acceptedJobs: map[string]bool{}, cancelAsked: map[string]bool{}, cancelledAt: map[string]time.Time{}, running: map[string]map[string]*startedRun{},
		startedAt: map[string]time.Time{}, done: map[string]bool{}, doneAcknowledged: map[string]bool{}, failed: map[string]map[string]bool{}, failedAt: map[string]map[string]time.Time{}, phases: map[string]wire.JobPhase{},
		crashes: map[string]int{}, startsAfterLimit: map[string]int{}, failures: map[string]map[int64]bool{}, maxFailures: map[string]int{},
		acceptedAt: map[string]time.Time{}, lastEndAt: map[string]time.Time{}, lastingWaits: map[string]*lastingWait{},
		cancelWaits: map[string]cancelWait{}, cancelOverdueAt: map[string]time.Time{}, watchedCancels: map[string]bool{}, noJob: map[string]bool{},
		brokenAt: map[string]time.Duration{}, held: newHeldRule(), pending: newPendingRule(),
	}
}

// breakRule records and logs that a rule is broken.
func (c *checker) breakRule(rule, format string, args ...any) {
	c.broken = append(c.broken, rule+": "+fmt.Sprintf(format, args...))
	if _, known := c.brokenAt[rule]; !known {
		c.brokenAt[rule] = c.world.now.Sub(c.world.start)
	}
	c.world.logf("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
}

// accepted takes note that a caller was told of a job's acceptance.
func (c *checker) accepted(spec *wire.JobSpec) {
	if !c.acceptedJobs[spec.GetId()] {
		c.acceptedJobs[spec.GetId()], c.acceptedAt[spec.GetId()] = true, c.world.now
	}
}

func (c *checker) isAccepted(id string) bool { return c.acceptedJobs[id] }

func (c *checker) isCancelled(id string) bool {
	_, known := c.cancelledAt[id]
	return known
}

// cancelled takes note that a caller was told that a cancel is recorded.
func (c *checker) cancelled(id string) {
	if _, known := c.cancelledAt[id]; !known {
		c.cancelledAt[id] = c.world.now
		delete(c.cancelWaits, id)
	}
}

// parseTaskName splits the name of a task. It is written apart from the product's own parser.
func parseTaskName(task string) (job string, occurrence, step int) {
	f := strings.Split(task, ".")
	occurrence, _ = strconv.Atoi(f[1])
	step, _ = strconv.Atoi(f[2])
	return f[0], occurrence, step
}

// taskName returns the name of a task: job, occurrence, step and index.
func taskName(job string, occurrence, step, index int) string {
	return fmt.Sprintf("%s.%d.%d.%d", job, occurrence, step, index)
}

// calmAfterTrouble is how long after the time of faults the rules with a time limit hold again.
const calmAfterTrouble = 15 * time.Second

// started checks each start that a worker carries out.
func (c *checker) started(k *worker, s workers.Start) {
	job, occurrence, step := parseTaskName(s.Task)
	spec := c.world.jobs[job].GetSteps()[step]
	if due := c.dueAt(job, occurrence); c.world.now.Before(due) {
		c.breakRule("ORDER", "%s starts %s ahead of its time", s.Task, due.Sub(c.world.now))
	}
	c.world.logf("%s starts %s run %d (fence %d)", k.id(), s.Task, s.Run, s.Fence)
	if len(c.running[s.Task]) > 0 && !spec.GetCopies() {
		c.breakRule("TWICE", "%s runs already when %s starts it", s.Task, k.id())
	}
	if c.doneAcknowledged[s.Task] {
		c.breakRule("TWICE", "%s was done when %s starts it", s.Task, k.id())
	}
	c.checkCrashBudget(s.Task)
	c.startedAt[s.Task], c.pending.begun[job] = c.world.now, true
	if c.running[s.Task] == nil {
		c.running[s.Task] = map[string]*startedRun{}
	}
	c.running[s.Task][fmt.Sprintf("%s#%d", k.id(), s.Run)] = newStartedRun(k)
	for _, before := range spec.GetAfter() {
		for i := range int(c.world.jobs[job].GetSteps()[before].GetCount()) {
			if !c.unitDone(job, occurrence, int(before), i) {
				c.breakRule("ORDER", "%s starts before step %d is done", s.Task, before)
				return
			}
		}
	}
	c.checkSpread(k, s.Task, spec)
	c.checkLabel(k, s.Task, spec)
	c.checkEvacuation(k, s.Task)
	if len(c.failed[s.Task]) >= c.world.attempts(job) && !spec.GetLasting() {
		c.breakRule("BUDGET", "%s starts after %d failures", s.Task, len(c.failed[s.Task]))
	}
	c.checkCancelAtStart(k, job, s.Task)
	if s.Checkpoint != "" && s.Checkpoint != "save of "+taskOf(s.Task) {
		c.breakRule("UNASKED", "%s starts from %q", s.Task, s.Checkpoint)
	}
	if s.Body != c.world.jobs[job].GetBody() {
		c.breakRule("UNASKED", "%s starts with another body", s.Task)
	}
}

// calm returns whether the time of faults ended more than calmAfterTrouble ago. Rules with a time limit hold
// for all hosts only then.
func (c *checker) calm() bool {
	return c.world.now.Sub(c.world.start) > c.world.plan.Trouble+calmAfterTrouble
}

// unitDone returns whether a task has ended well; for a member of a gang, whether any member has.
func (c *checker) unitDone(job string, occurrence, step, index int) bool {
	spec := c.world.jobs[job].GetSteps()[step]
	if !spec.GetGang() {
		return c.done[taskName(job, occurrence, step, index)]
	}
	for i := range int(spec.GetCount()) {
		if c.done[taskName(job, occurrence, step, i)] {
			return true
		}
	}
	return false
}

// checkSpread breaks the rule SPREAD if a worker runs more tasks of a step than its spread allows.
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

// ended takes note of each end of a run, also of one that no leader learns of.
func (c *checker) ended(k *worker, r *workerRun, how workers.Outcome) {
	c.world.logf("%s ends %s run %d: %s", k.id(), r.task, r.number, how)
	delete(c.running[r.task], fmt.Sprintf("%s#%d", k.id(), r.number))
	c.lastEndAt[r.task] = c.world.now
	if how == workers.EndedDone && !r.spec.GetLasting() {
		c.done[r.task] = true
	}
	if how != workers.EndedDone && how != workers.EndedFailed && how != workers.EndedStopped {
		c.held.lostRuns[r.task]++
	}
	if how == workers.EndedFailed {
		c.countFailure(r)
	}
}

// countFailure counts a failed run for its task, or for its gang.
func (c *checker) countFailure(r *workerRun) {
	of := r.task
	if r.spec.GetGang() {
		of = taskOf(r.task)
	}
	if c.failures[of] == nil {
		c.failures[of] = map[int64]bool{}
	}
	c.failures[of][r.number] = true
	c.maxFailures[jobOf(r.task)] = max(c.maxFailures[jobOf(r.task)], len(c.failures[of]))
}

// acknowledged takes note that a leader's poll acknowledged an end, and checks the starts of the task against
// it.
func (c *checker) acknowledged(k *worker, e workers.End) {
	if k.endedAfterLease[e.Number] {
		return
	}
	switch e.Outcome {
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

// listedUntilNoted is how long after a worker has listed an end it counts as acknowledged, where nothing is impaired.
const listedUntilNoted = 100 * time.Millisecond

// listed takes note that a worker's answer to a poll lists ends. On days with Plan.Processor, they count as acknowledged soon
// after that, also if the leader does not read the answer.
func (c *checker) listed(k *worker, ends []workers.End) {
	if c.world.plan.Processor == (Processor{}) || len(ends) == 0 {
		return
	}
	incarnation := k.incarnation
	c.world.after(listedUntilNoted, func() {
		if k.incarnation != incarnation || c.world.impaired() {
			return
		}
		for _, e := range ends {
			c.acknowledged(k, e)
		}
	})
}

// failureAcknowledged breaks the rule BUDGET if the task was started after its last attempt had failed, also
// where the failure is acknowledged after the start.
func (c *checker) failureAcknowledged(k *worker, e workers.End) {
	if c.failedAt[e.Task] == nil {
		c.failedAt[e.Task] = map[string]time.Time{}
	}
	c.failedAt[e.Task][fmt.Sprintf("%s#%d", k.id(), e.Run)] = k.endedAt[e.Number]
	job, _, step := parseTaskName(e.Task)
	spec := c.world.jobs[job].GetSteps()[step]
	ends := slices.SortedFunc(maps.Values(c.failedAt[e.Task]), time.Time.Compare)
	most := c.world.attempts(job)
	if spec.GetLasting() || spec.GetCopies() || len(ends) < most {
		return
	}
	if c.startedAt[e.Task].After(ends[most-1]) {
		c.breakRule("BUDGET", "%s was started after %d failures, the last acknowledged later at %s", e.Task, most, k.id())
	}
}

// startOfUnknownTask breaks the rule UNASKED for a start order of a task that no caller submitted.
func (c *checker) startOfUnknownTask(k *worker, s workers.Start) {
	c.breakRule("UNASKED", "%s is ordered to start %s, which no caller submitted", k.id(), s.Task)
}

const (
	// maxRowBytes is the size of a row's value that the platform's table takes.
	maxRowBytes = 64 << 10
	// maxCallBytes is what the table takes of the values of a transaction, which are a third larger in a call of 1 MB.
	maxCallBytes = 750_000
)

// checkSizes breaks the rule SIZE for a transaction that the platform's table refuses for its size.
func (c *checker) checkSizes(tx table.Transaction) {
	for _, r := range tx.Puts {
		if len(r.Value) > maxRowBytes {
			c.breakRule("SIZE", "the row %s of %s has %d bytes", r.Key.Key, r.Table, len(r.Value))
		}
	}
	if tx.Bytes() > maxCallBytes {
		c.breakRule("SIZE", "a transaction has values of %d bytes", tx.Bytes())
	}
}

// checkWrite checks each job progress row that is written, since callers are told its content.
func (c *checker) checkWrite(r table.Row) {
	id := r.Key.Key
	c.checkInsertion(r)
	if r.Table != rows.ProgressTable(c.world.jobs[id].GetCell()) {
		return // another table, or a cell's report on tasks delegated to it
	}
	p := &wire.JobProgress{}
	if rows.Read(r, p) != nil {
		c.breakRule("MIXED", "the progress of %s can't be read", r.Key.Key)
		return
	}
	if p.GetBegun() && !p.GetPhase().Terminal() && !c.pending.begun[id] {
		c.breakRule("MIXED", "%s is recorded as begun, and nothing of it has started", id)
	}
	before := c.phases[id]
	c.phases[id] = p.GetPhase()
	c.world.recordPhase(id, p.GetPhase())
	if before >= wire.JobPhase_JOB_PHASE_COMPLETED && before != p.GetPhase() {
		c.breakRule("MIXED", "%s was %s and is %s", id, before, p.GetPhase())
	}
	switch p.GetPhase() {
	case wire.JobPhase_JOB_PHASE_COMPLETED:
		for occurrence := range max(1, int(c.world.jobs[id].GetRepeats())) {
			c.checkAllDone(id, occurrence)
		}
	case wire.JobPhase_JOB_PHASE_FAILED:
		if !c.failureHasCause(id) {
			c.breakRule("MIXED", "%s is recorded as failed without cause: %s", id, p.GetReason())
		}
	case wire.JobPhase_JOB_PHASE_CANCELLED:
		if !c.cancelSent(id) {
			c.breakRule("MIXED", "%s is cancelled, but no caller sent a cancel", id)
		}
	default:
	}
}

// checkAllDone breaks the rule MIXED unless all tasks of one occurrence of a completed job have ended well.
func (c *checker) checkAllDone(id string, occurrence int) {
	for step, spec := range c.world.jobs[id].GetSteps() {
		for i := range int(spec.GetCount()) {
			if !c.unitDone(id, occurrence, step, i) {
				c.breakRule("MIXED", "%s is completed, %s is not done", id, taskName(id, occurrence, step, i))
			}
		}
	}
}

// dueAt returns when the n-th occurrence of a job falls due; the start of the day for a job that does not
// repeat.
func (c *checker) dueAt(job string, n int) time.Time {
	spec := c.world.jobs[job]
	if spec.GetRepeats() == 0 {
		return c.world.start
	}
	return time.UnixMilli(spec.GetFirstUnixMs() + int64(n)*spec.GetIntervalMs())
}

// cancelSent returns whether a caller has sent a cancel of a job, accepted or not.
func (c *checker) cancelSent(id string) bool {
	if c.cancelAsked[id] {
		return true
	}
	_, sent := c.cancelledAt[id]
	_, row := c.world.table.rows[rows.CancelKey(c.world.jobs[id].GetCell(), id)]
	return sent || row
}

// atEnd breaks the rule LOST for each accepted job that has not ended when the day ends.
func (c *checker) atEnd() {
	if c.world.plan.Load != nil {
		return // a day of a given load may end while jobs still run
	}
	c.checkKept()
	for id := range c.acceptedJobs {
		if c.phases[id] < wire.JobPhase_JOB_PHASE_COMPLETED {
			c.breakRule("LOST", "%s was accepted and is %s at the end", id, c.phases[id])
		}
	}
}
