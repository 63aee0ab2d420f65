package hall

import (
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// New work. Entry hosts put rows into a hall's inbox, and the leader of the hall
// reads them. The transaction that claims a job also deletes its inbox row, so
// only one hall claims a job, however many try.

const (
	// inboxInterval is the time between two inbox reads without a Wake.
	inboxInterval = 500 * time.Millisecond
	// foreignInboxEvery is the number of inbox reads of which one goes to another
	// hall's inbox.
	foreignInboxEvery = 10
	// stealAfter is the time that a row must have been in another hall's inbox,
	// counted from this leader's first read of it, before this hall takes it.
	stealAfter = 15 * time.Second
)

// WithOtherHalls sets the other halls, whose inboxes this hall's leader reads, too.
func WithOtherHalls(halls []string) Option {
	return func(s *State) { s.otherHalls = halls }
}

// Wake makes the next inbox read due at once.
func (s *State) Wake() { s.reads.nextInboxRead = time.Time{} }

// readInboxes reads an inbox when a read is due: this hall's, or every
// foreignInboxEvery reads another hall's, in turn.
func (s *State) readInboxes(now time.Time) {
	if s.phase != leading || s.draining || s.reads.inboxPending || s.removingItems() || now.Before(s.reads.nextInboxRead) {
		return
	}
	s.reads.inboxPending = true
	s.reads.nextInboxRead = now.Add(inboxInterval)
	s.reads.inboxReads++
	if len(s.otherHalls) > 0 && s.reads.inboxReads%foreignInboxEvery == 0 {
		s.emit(ReadInbox{Hall: s.otherHalls[(s.reads.inboxReads/foreignInboxEvery)%len(s.otherHalls)]})
		return
	}
	s.emit(ReadInbox{Hall: s.hall})
}

// takeInbox handles the rows of an inbox.
func (s *State) takeInbox(now time.Time, e InboxRead) {
	s.reads.inboxPending = false
	if e.Err != nil || s.phase != leading || s.removingItems() {
		return
	}
	if e.Hall != s.hall {
		s.forgetRemoved(e)
	}
	for _, item := range e.Items {
		if e.Hall != s.hall && !s.maySteal(now, item) {
			continue
		}
		s.takeItem(now, e.Hall, item)
	}
}

// forgetRemoved drops the waiting times of rows that are no longer in another
// hall's inbox.
func (s *State) forgetRemoved(e InboxRead) {
	there := make(map[string]bool, len(e.Items))
	for _, item := range e.Items {
		there[item.Key] = true
	}
	for key := range s.reads.foreignSince {
		if strings.HasPrefix(key, rows.InboxPrefix(e.Hall)) && !there[key] {
			delete(s.reads.foreignSince, key)
		}
	}
}

// removingItems reports whether deletions of inbox rows are unwritten or pending.
// A read taken meanwhile might still return these rows, and handling them again
// would lead to a conflict.
func (s *State) removingItems() bool {
	return len(s.unwritten.external) > 0 || s.pending != nil && len(s.pending.request.GetDeletes()) > 0
}

// maySteal reports whether a row of another hall's inbox is a submitted job that
// has waited there for stealAfter. The first call for a row starts its wait.
func (s *State) maySteal(now time.Time, item InboxItem) bool {
	first, ok := s.reads.foreignSince[item.Key]
	if !ok {
		s.reads.foreignSince[item.Key] = now
		return false
	}
	return item.Row.GetVerb() == rows.Submit && now.Sub(first) >= stealAfter
}

// takeItem handles one inbox row. A submit of a job that is claimed already is
// deleted.
func (s *State) takeItem(now time.Time, from string, item InboxItem) {
	switch {
	case item.Row.GetVerb() == rows.Cancel || item.Row.GetVerb() == rows.Drain:
		s.takeCancel(now, item)
	case item.Job.Row.GetState() == wire.JobState_JOB_STATE_ACCEPTED && s.jobs[item.Row.GetJobKey()] == nil:
		s.claimJob(now, from, item)
	default:
		s.removeItem(item)
	}
}

// removeItem deletes a row from its inbox with the next commit.
func (s *State) removeItem(item InboxItem) {
	s.unwritten.external = append(s.unwritten.external, &wire.CommitRequest{
		Conditions: []*wire.Condition{{Key: item.Key, Revision: item.Revision}},
		Deletes:    []string{item.Key},
	})
}

// claimJob claims the job for this hall and creates its tasks.
func (s *State) claimJob(now time.Time, from string, item InboxItem) {
	s.removeItem(item)
	row := proto.CloneOf(item.Job.Row)
	row.State = wire.JobState_JOB_STATE_CLAIMED
	row.Hall = s.hall
	j := &job{row: row, revision: item.Job.Revision, tasks: map[string]*task{}}
	s.jobs[row.GetKey()] = j
	s.unwritten.jobs[row.GetKey()] = true
	for i := range max(1, row.GetTasks()) {
		t := &task{job: j, row: s.newTask(now, row, i), waitingSince: now}
		s.addTask(t)
		s.unwritten.tasks[t.row.GetId()] = true
	}
	reason := JobClaimed
	if from != s.hall {
		reason = JobStolen
	}
	s.note(now, "job/"+row.GetKey(), reason, fmt.Sprintf("hall %s, %d tasks", from, len(j.tasks)))
}

// newTask returns the row of a job's task, with the team, priority and
// repeatability that the settings give to its kind.
func (s *State) newTask(now time.Time, j *wire.JobRow, index int32) *wire.TaskRow {
	row := &wire.TaskRow{
		Id:                 fmt.Sprintf("%s.%d", j.GetKey(), index),
		JobKey:             j.GetKey(),
		Service:            j.GetService(),
		Kind:               j.GetKind(),
		State:              wire.TaskState_TASK_STATE_WAITING,
		Attempt:            1,
		Size:               j.GetSize(),
		WaitingSinceUnixMs: now.UnixMilli(),
	}
	if k, err := s.tree.Kind(j.GetService(), j.GetKind()); err == nil {
		row.Team = k.Team
		row.Repeatable = k.Repeatable
		row.Priority = int32(k.Priority)
	}
	return row
}

// takeCancel cancels or drains a job of this hall. The request for a job that
// another hall has claimed is forwarded to the inbox of that hall.
func (s *State) takeCancel(now time.Time, item InboxItem) {
	key := item.Row.GetJobKey()
	j := s.jobs[key]
	switch {
	case j != nil:
		s.removeItem(item)
		s.note(now, "job/"+key, JobCancelled, item.Row.GetVerb())
		s.cancelTasks(now, j, item.Row.GetVerb() == rows.Drain)
	case item.Job.Row.GetState() == wire.JobState_JOB_STATE_ACCEPTED:
		// The submit row of the job is in this inbox, too, and this hall claims
		// the job with it. The cancel row stays until a read after that.
	case item.Job.Row.GetState() == wire.JobState_JOB_STATE_CLAIMED && item.Job.Row.GetHall() != s.hall:
		s.forwardItem(item)
	default:
		s.removeItem(item) // the job has ended
	}
}

// forwardItem moves an inbox row to the inbox of the hall that has claimed its job.
func (s *State) forwardItem(item InboxItem) {
	s.removeItem(item)
	key := rows.Inbox(item.Job.Row.GetHall(), item.Row.GetVerb(), item.Row.GetJobKey())
	s.unwritten.external = append(s.unwritten.external, &wire.CommitRequest{Puts: []*wire.Row{rows.Put(key, item.Row)}})
}

// cancelTasks cancels the tasks of a job; a drain spares those that may have
// started.
func (s *State) cancelTasks(now time.Time, j *job, drain bool) {
	for _, t := range j.tasks {
		if !terminal(t.row.GetState()) && !(drain && t.startSent) {
			s.requestStop(now, t, cancelled)
		}
	}
}

// neverFits reports whether a size is larger than every worker of the hall. It
// is false while the capacity of any listed worker is unknown.
func (s *State) neverFits(size ledger.Size) bool {
	listed := 0
	for _, w := range s.workers {
		if !w.listed {
			continue
		}
		listed++
		if w.totalCapacity == (ledger.Size{}) || size.Fits(w.totalCapacity) {
			return false
		}
	}
	return listed > 0
}
