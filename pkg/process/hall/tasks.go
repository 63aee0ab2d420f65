package hall

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/version/settings"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Tasks and their transitions. A task's row has three copies: what is wanted
// (row), what is on its way to the table (writing), and what the table surely
// holds (committed). Decisions read the first; nothing is started unless the
// first and the last are one and the same.

// stopCause is why a running attempt was asked to stop.
type stopCause string

const (
	notStopping stopCause = ""
	cancelled   stopCause = "cancelled"
	evicted     stopCause = "evicted"
)

// task is one task of this hall.
type task struct {
	job       *job
	row       *wire.TaskRow
	writing   *wire.TaskRow
	committed *wire.TaskRow

	waitingSince time.Time // when it began to wait
	lastFailedOn string    // the worker that failed it last, which others go before
	attempt
}

// attempt is what is known of the present attempt; each new one starts blank.
type attempt struct {
	startSent       bool // a worker may have taken the start in
	unackedStarts   int  // how many answered messages carried the start in vain
	running         bool // the worker has said that it runs
	runningAt       time.Time
	inDoubtSince    time.Time // when its worker's lease was surely over
	stop            stopCause
	throttlePercent int32
	throttleAt      time.Time
}

// job is one job of this hall, with all its tasks.
type job struct {
	row      *wire.JobRow
	writing  *wire.JobRow
	revision int64
	tasks    map[string]*task
}

// attemptName names one attempt, in the ledger and in workers' replies.
func attemptName(id string, attempt int64) string { return fmt.Sprintf("%s#%d", id, attempt) }

func (t *task) attemptName() string { return attemptName(t.row.GetId(), t.row.GetAttempt()) }
func (t *task) size() ledger.Size   { return ledger.FromWire(t.row.GetSize()) }
func (t *task) object() string      { return "task/" + t.row.GetId() }
func (t *task) kindName() string    { return t.row.GetService() + "/" + t.row.GetKind() }
func (t *task) placed() bool        { return t.row.GetState() == wire.TaskState_TASK_STATE_PLACED }
func (t *task) waiting() bool       { return t.row.GetState() == wire.TaskState_TASK_STATE_WAITING }
func (t *task) isCommitted() bool   { return t.row == t.committed }

// terminal says whether a state is final.
func terminal(s wire.TaskState) bool {
	return s != wire.TaskState_TASK_STATE_WAITING && s != wire.TaskState_TASK_STATE_PLACED
}

// ended says whether every task of the job is in a final state.
func (j *job) ended() bool {
	for _, t := range j.tasks {
		if !terminal(t.row.GetState()) {
			return false
		}
	}
	return true
}

// ------------------------------------------------------------ bookkeeping

// addLoadedTask takes in a task row as the table holds it.
func (s *State) addLoadedTask(now time.Time, row *wire.TaskRow) {
	j := s.jobs[row.GetJobKey()]
	if j == nil {
		return
	}
	t := &task{job: j, row: row, committed: row, waitingSince: now}
	// Whether an earlier leader has sent the start can't be known until the
	// worker says.
	t.startSent = t.placed()
	s.addTask(t)
}

func (s *State) addTask(t *task) {
	s.tasks[t.row.GetId()] = t
	t.job.tasks[t.row.GetId()] = t
	if t.placed() {
		s.worker(t.row.GetWorker()).tasks[t.row.GetId()] = t
	}
}

// updateRow makes a new version of the task's row, to be written.
func (s *State) updateRow(t *task, f func(*wire.TaskRow)) {
	row := proto.CloneOf(t.row)
	f(row)
	t.row = row
	s.unwritten.tasks[row.GetId()] = true
}

func (s *State) taskCommitted(t *task) {
	if t != nil {
		t.committed = t.writing
	}
}

func (s *State) jobCommitted(j *job, revision int64) {
	if j == nil {
		return
	}
	j.revision = revision
	if j.writing.GetState() <= wire.JobState_JOB_STATE_CLAIMED {
		return // what was written then was not yet the job's end
	}
	for id := range j.tasks {
		delete(s.tasks, id)
	}
	delete(s.jobs, j.row.GetKey())
}

// kindSettings returns the settings of a task's kind. A kind that was taken out of the
// settings while tasks of it are about keeps the defaults.
func (s *State) kindSettings(t *task) settings.Kind {
	k, err := s.tree.Kind(t.row.GetService(), t.row.GetKind())
	if err != nil {
		k.FailureLimit = 1
	}
	return k
}

// ------------------------------------------------------------ transitions

// assign places a waiting task on a worker.
func (s *State) assign(now time.Time, t *task, w *worker, reason Reason, detail string) {
	s.updateRow(t, func(r *wire.TaskRow) {
		r.State = wire.TaskState_TASK_STATE_PLACED
		r.Worker = w.name
		r.Incarnation = w.registeredIncarnation
		r.Epoch = s.leadership.Epoch()
		r.Reason = string(reason)
	})
	w.tasks[t.row.GetId()] = t
	s.quarantine.Placed(now, w.name)
	s.note(now, t.object(), reason, w.name+": "+detail)
}

// unplace takes a task off its worker in memory.
func (s *State) unplace(t *task) {
	if w := s.workers[t.row.GetWorker()]; w != nil {
		delete(w.tasks, t.row.GetId())
	}
	t.attempt = attempt{}
}

// requeue makes the next attempt wait. The attempt before must surely be over.
func (s *State) requeue(now time.Time, t *task, checkpoint string, reason Reason, detail string) {
	s.unplace(t)
	s.updateRow(t, func(r *wire.TaskRow) {
		r.State = wire.TaskState_TASK_STATE_WAITING
		r.Attempt++
		r.Worker = ""
		r.Incarnation = ""
		r.Reason = string(reason)
		r.WaitingSinceUnixMs = now.UnixMilli()
		if checkpoint != "" {
			r.Checkpoint = checkpoint
		}
	})
	t.waitingSince = now
	s.note(now, t.object(), reason, detail)
}

// finish ends a task for good, and its job with the last of its tasks.
func (s *State) finish(now time.Time, t *task, state wire.TaskState, result string, reason Reason) {
	s.unplace(t)
	s.updateRow(t, func(r *wire.TaskRow) {
		r.State = state
		r.Result = result
		r.Reason = string(reason)
	})
	s.note(now, t.object(), reason, result)
	j := t.job
	row := proto.CloneOf(j.row)
	if state == wire.TaskState_TASK_STATE_DONE {
		row.DoneTasks++
	}
	if j.ended() {
		summarizeJob(row, j)
		s.note(now, "job/"+row.GetKey(), JobEnded, row.GetState().String())
	}
	j.row = row
	s.unwritten.jobs[row.GetKey()] = true
}

// summarizeJob sums a job up: done if all its tasks are; otherwise the worst of them,
// with that task's reason.
func summarizeJob(row *wire.JobRow, j *job) {
	row.State = wire.JobState_JOB_STATE_DONE
	for _, t := range j.tasks {
		state := jobStates[t.row.GetState()]
		if state == wire.JobState_JOB_STATE_DONE {
			row.Result = t.row.GetResult()
			continue
		}
		if row.GetState() == wire.JobState_JOB_STATE_DONE || state > row.GetState() {
			row.State = state
			row.Reason = t.row.GetReason()
		}
	}
}

// jobStates maps a task's final state to its job's.
var jobStates = map[wire.TaskState]wire.JobState{
	wire.TaskState_TASK_STATE_DONE:      wire.JobState_JOB_STATE_DONE,
	wire.TaskState_TASK_STATE_CANCELLED: wire.JobState_JOB_STATE_CANCELLED,
	wire.TaskState_TASK_STATE_NEVER:     wire.JobState_JOB_STATE_NEVER,
	wire.TaskState_TASK_STATE_UNKNOWN:   wire.JobState_JOB_STATE_UNKNOWN,
	wire.TaskState_TASK_STATE_FAILED:    wire.JobState_JOB_STATE_FAILED,
}

// mayRepeat says whether a task may be started afresh after it may have run.
func (s *State) mayRepeat(t *task) bool {
	return t.row.GetRepeatable() || s.unsafe.RepeatAll
}

// loseAttempt handles an attempt whose worker can't be running it any more. What the
// worker did before is known only if it comes back.
func (s *State) loseAttempt(now time.Time, t *task, forGood bool, detail string) {
	switch {
	case t.stop == cancelled:
		s.finish(now, t, wire.TaskState_TASK_STATE_CANCELLED, "", TaskCancelled)
	case !t.startSent || s.mayRepeat(t):
		s.requeue(now, t, "", TaskRequeued, detail)
	case forGood || (!t.inDoubtSince.IsZero() && now.Sub(t.inDoubtSince) >= s.fleet().Patience):
		s.finish(now, t, wire.TaskState_TASK_STATE_UNKNOWN, detail, TaskDoubtful)
	case t.inDoubtSince.IsZero():
		t.inDoubtSince = now
		t.running = false
	}
}

// attemptEnded takes in a worker's word that an attempt has ended.
func (s *State) attemptEnded(now time.Time, w *worker, t *task, run *wire.Run) {
	kind := t.kindName()
	switch run.GetState() {
	case wire.RunState_RUN_STATE_FINISHED:
		if s.quarantine.Succeeded(w.name, kind) {
			s.note(now, w.object(), WorkerBack, kind)
		}
		s.finish(now, t, wire.TaskState_TASK_STATE_DONE, run.GetResult(), TaskFinished)
	case wire.RunState_RUN_STATE_FAILED:
		if s.quarantine.Failed(now, w.name, kind) {
			s.note(now, w.object(), WorkerAside, kind)
		}
		s.attemptFailed(now, w, t, run)
	case wire.RunState_RUN_STATE_STOPPED:
		s.attemptStopped(now, w, t, run)
	}
}

// attemptFailed counts a failure. A worker that fails everything is not held against
// the task, but a kind that fails everywhere is.
func (s *State) attemptFailed(now time.Time, w *worker, t *task, run *wire.Run) {
	if !s.mayRepeat(t) {
		s.finish(now, t, wire.TaskState_TASK_STATE_FAILED, run.GetResult(), TaskFailed)
		return
	}
	if s.quarantine.KindIsBroken(t.kindName()) {
		s.finish(now, t, wire.TaskState_TASK_STATE_FAILED, run.GetResult(), TaskKindBroken)
		return
	}
	if !s.quarantine.Aside(w.name) {
		s.updateRow(t, func(r *wire.TaskRow) { r.Failures++ })
	}
	if int(t.row.GetFailures()) >= s.kindSettings(t).FailureLimit {
		s.finish(now, t, wire.TaskState_TASK_STATE_FAILED, run.GetResult(), TaskGivenUp)
		return
	}
	t.lastFailedOn = w.name
	s.requeue(now, t, "", TaskFailed, w.name+": "+run.GetResult())
}

// attemptStopped handles a confirmed stop: the checkpoint, if any, is what the next
// attempt resumes from. In the model: Leader.resume.
func (s *State) attemptStopped(now time.Time, w *worker, t *task, run *wire.Run) {
	switch {
	case t.stop == cancelled:
		s.finish(now, t, wire.TaskState_TASK_STATE_CANCELLED, "", TaskCancelled)
	case run.GetCheckpoint() != "" || s.mayRepeat(t):
		if t.stop == evicted {
			s.updateRow(t, func(r *wire.TaskRow) { r.Evictions++ })
		}
		s.requeue(now, t, run.GetCheckpoint(), TaskEvicted, w.name+": checkpoint "+run.GetCheckpoint())
	default:
		s.finish(now, t, wire.TaskState_TASK_STATE_UNKNOWN, "stopped without a checkpoint", TaskDoubtful)
	}
}

// requestStop begins to stop a task for a cause; a task that surely never started
// needs no worker's word.
func (s *State) requestStop(now time.Time, t *task, cause stopCause) {
	if t.stop != notStopping && cause != cancelled {
		return
	}
	if t.placed() && t.startSent {
		t.stop = cause
		if w := s.workers[t.row.GetWorker()]; w != nil {
			w.syncSoon = true
		}
		return
	}
	if t.placed() {
		s.workers[t.row.GetWorker()].account.Release(t.attemptName())
	}
	if cause == cancelled {
		s.finish(now, t, wire.TaskState_TASK_STATE_CANCELLED, "", TaskCancelled)
		return
	}
	s.requeue(now, t, "", TaskEvicted, "before it started")
}
