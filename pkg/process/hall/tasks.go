package hall

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/version/settings"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Tasks and their transitions. A task's row has three versions: the newest
// decision (row), the one in the pending commit (writing), and the one that the
// table certainly holds (committed). Decisions read row; a task is started only
// when row and committed are the same.

// stopCause is the reason for which a running attempt was asked to stop.
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
	writing   *wire.TaskRow // in the pending commit, or in an earlier one
	committed *wire.TaskRow

	waitingSince time.Time // start of the present wait
	lastFailedOn string    // worker of the last failure; placement prefers any other
	attempt
}

// attempt is the state of the current attempt; a new attempt starts from zero.
type attempt struct {
	startSent       bool // the worker may have received the start
	unackedStarts   int  // replies to a start that did not list the attempt
	running         bool // the worker has reported the attempt as running
	runningAt       time.Time
	inDoubtSince    time.Time // when the lease of its worker had certainly expired
	stop            stopCause
	throttlePercent int32 // share of its reservation that the task may use; 0 is all
	throttleAt      time.Time
}

// job is one job of this hall, with all its tasks.
type job struct {
	row      *wire.JobRow
	writing  *wire.JobRow // in the pending commit, or in an earlier one
	revision int64        // of the row in the table
	tasks    map[string]*task
}

// attemptName returns the name of one attempt, TASK#ATTEMPT, as the ledger and
// worker.runs key it.
func attemptName(id string, attempt int64) string { return fmt.Sprintf("%s#%d", id, attempt) }

func (t *task) attemptName() string { return attemptName(t.row.GetId(), t.row.GetAttempt()) }
func (t *task) size() ledger.Size   { return ledger.FromWire(t.row.GetSize()) }
func (t *task) object() string      { return "task/" + t.row.GetId() }
func (t *task) kindName() string    { return t.row.GetService() + "/" + t.row.GetKind() }
func (t *task) placed() bool        { return t.row.GetState() == wire.TaskState_TASK_STATE_PLACED }
func (t *task) waiting() bool       { return t.row.GetState() == wire.TaskState_TASK_STATE_WAITING }
func (t *task) isCommitted() bool   { return t.row == t.committed }

// terminal reports whether a task in this state never changes again.
func terminal(s wire.TaskState) bool {
	return s != wire.TaskState_TASK_STATE_WAITING && s != wire.TaskState_TASK_STATE_PLACED
}

// ended reports whether every task of the job is in a terminal state.
func (j *job) ended() bool {
	for _, t := range j.tasks {
		if !terminal(t.row.GetState()) {
			return false
		}
	}
	return true
}

// ------------------------------------------------------------ bookkeeping

// addLoadedTask adds a task from its row in the table. A task whose job was not
// loaded is skipped.
func (s *State) addLoadedTask(now time.Time, row *wire.TaskRow) {
	j := s.jobs[row.GetJobKey()]
	if j == nil {
		return
	}
	t := &task{job: j, row: row, committed: row, waitingSince: now}
	// A predecessor may have sent the start; the worker's next reply
	// shows whether one did.
	t.startSent = t.placed()
	s.addTask(t)
}

// addTask indexes a task by its id, its job and its worker.
func (s *State) addTask(t *task) {
	s.tasks[t.row.GetId()] = t
	t.job.tasks[t.row.GetId()] = t
	if t.placed() {
		s.worker(t.row.GetWorker()).tasks[t.row.GetId()] = t
	}
}

// updateRow applies f to a copy of the task's row, which the next commit writes.
func (s *State) updateRow(t *task, f func(*wire.TaskRow)) {
	row := proto.CloneOf(t.row)
	f(row)
	t.row = row
	s.unwritten.tasks[row.GetId()] = true
}

// taskCommitted handles a commit that wrote the task's row.
func (s *State) taskCommitted(t *task) {
	if t != nil {
		t.committed = t.writing
	}
}

// jobCommitted handles a commit that wrote the job's row. With the row of its end
// the job and its tasks leave the state.
func (s *State) jobCommitted(j *job, revision int64) {
	if j == nil {
		return
	}
	j.revision = revision
	if j.writing.GetState() <= wire.JobState_JOB_STATE_CLAIMED {
		return // the row written was not the end of the job
	}
	for id := range j.tasks {
		delete(s.tasks, id)
	}
	delete(s.jobs, j.row.GetKey())
}

// kindSettings returns the settings of a task's kind. A kind that was removed
// from the settings while tasks of it exist has the defaults.
func (s *State) kindSettings(t *task) settings.Kind {
	k, err := s.tree.Kind(t.row.GetService(), t.row.GetKind())
	if err != nil {
		k.FailureLimit = 1
	}
	return k
}

// ------------------------------------------------------------ transitions

// assign places a waiting task on a worker: it updates the row, which the next
// commit writes.
func (s *State) assign(now time.Time, t *task, w *worker, reason Reason, detail string) {
	s.updateRow(t, func(r *wire.TaskRow) {
		r.State = wire.TaskState_TASK_STATE_PLACED
		r.Worker = w.name
		r.Incarnation = w.registeredIncarnation
		r.Epoch = s.leadership.Epoch()
		r.Reason = string(reason)
	})
	w.tasks[t.row.GetId()] = t
	s.quarantine.NotePlaced(now, w.name)
	s.note(now, t.object(), reason, w.name+": "+detail)
}

// unplace removes a task from its worker's set in memory and resets its attempt.
func (s *State) unplace(t *task) {
	if w := s.workers[t.row.GetWorker()]; w != nil {
		delete(w.tasks, t.row.GetId())
	}
	t.attempt = attempt{}
}

// requeue returns a task to the queue with a new attempt. The previous attempt
// must certainly be over.
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

// finish moves a task to a terminal state, and ends its job with the last task.
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

// summarizeJob sets the final state of a job: done if all its tasks are done;
// otherwise the worst state of its tasks, with the reason of that task.
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

// jobStates maps the terminal state of a task to that of its job.
var jobStates = map[wire.TaskState]wire.JobState{
	wire.TaskState_TASK_STATE_DONE:      wire.JobState_JOB_STATE_DONE,
	wire.TaskState_TASK_STATE_CANCELLED: wire.JobState_JOB_STATE_CANCELLED,
	wire.TaskState_TASK_STATE_NEVER:     wire.JobState_JOB_STATE_NEVER,
	wire.TaskState_TASK_STATE_UNKNOWN:   wire.JobState_JOB_STATE_UNKNOWN,
	wire.TaskState_TASK_STATE_FAILED:    wire.JobState_JOB_STATE_FAILED,
}

// mayRepeat reports whether a task that may have run already may run again.
func (s *State) mayRepeat(t *task) bool {
	return t.row.GetRepeatable() || s.unsafe.RepeatAll
}

// loseAttempt handles an attempt that its worker certainly no longer runs. A task
// that never started or may be repeated is requeued. Any other waits until the
// worker comes back and reports the result, for the fleet's Patience at most. With
// outcomeLost, the worker can no longer report it, and the task ends at once.
func (s *State) loseAttempt(now time.Time, t *task, outcomeLost bool, detail string) {
	switch {
	case t.stop == cancelled:
		s.finish(now, t, wire.TaskState_TASK_STATE_CANCELLED, "", TaskCancelled)
	case !t.startSent || s.mayRepeat(t):
		s.requeue(now, t, "", TaskRequeued, detail)
	case outcomeLost || (!t.inDoubtSince.IsZero() && now.Sub(t.inDoubtSince) >= s.fleet().Patience):
		s.finish(now, t, wire.TaskState_TASK_STATE_UNKNOWN, detail, TaskOutcomeUnknown)
	case t.inDoubtSince.IsZero():
		t.inDoubtSince = now
		t.running = false
	}
}

// attemptEnded handles a worker's report that the current attempt has ended.
func (s *State) attemptEnded(now time.Time, w *worker, t *task, run *wire.Run) {
	kind := t.kindName()
	switch run.GetState() {
	case wire.RunState_RUN_STATE_FINISHED:
		if s.quarantine.Succeeded(w.name, kind) {
			s.note(now, w.object(), WorkerQuarantineLifted, kind)
		}
		s.finish(now, t, wire.TaskState_TASK_STATE_DONE, run.GetResult(), TaskFinished)
	case wire.RunState_RUN_STATE_FAILED:
		if s.quarantine.Failed(now, w.name, kind) {
			s.note(now, w.object(), WorkerQuarantined, kind)
		}
		s.attemptFailed(now, w, t, run)
	case wire.RunState_RUN_STATE_STOPPED:
		s.attemptStopped(now, w, t, run)
	}
}

// attemptFailed handles a failed attempt. The failure counts against the task
// unless its worker is quarantined for failing every task. The task ends at once
// when its kind fails on every worker.
func (s *State) attemptFailed(now time.Time, w *worker, t *task, run *wire.Run) {
	if !s.mayRepeat(t) {
		s.finish(now, t, wire.TaskState_TASK_STATE_FAILED, run.GetResult(), TaskFailed)
		return
	}
	if s.quarantine.KindIsBroken(t.kindName()) {
		s.finish(now, t, wire.TaskState_TASK_STATE_FAILED, run.GetResult(), TaskKindFailsEverywhere)
		return
	}
	if !s.quarantine.Quarantined(w.name) {
		s.updateRow(t, func(r *wire.TaskRow) { r.Failures++ })
	}
	if int(t.row.GetFailures()) >= s.kindSettings(t).FailureLimit {
		s.finish(now, t, wire.TaskState_TASK_STATE_FAILED, run.GetResult(), TaskAtFailureLimit)
		return
	}
	t.lastFailedOn = w.name
	s.requeue(now, t, "", TaskFailed, w.name+": "+run.GetResult())
}

// attemptStopped handles the confirmed stop of an attempt. The next attempt
// resumes from the checkpoint, if there is one. In the model: Leader.resume.
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
		s.finish(now, t, wire.TaskState_TASK_STATE_UNKNOWN, "stopped without a checkpoint", TaskOutcomeUnknown)
	}
}

// requestStop asks the worker of a task to stop it. A task that certainly never
// started is cancelled or requeued at once, without a reply of its worker.
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
