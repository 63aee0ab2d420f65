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

// New work. Entry hosts put rows into a hall's inbox; the hall's leader pulls
// them in. An inbox row is taken out in the same transaction that claims its
// job, so a job is claimed by one hall only, however many try.

const (
	// inboxInterval is how often the own inbox is read without being woken.
	inboxInterval = 500 * time.Millisecond
	// foreignInboxEvery is after how many readings of the own inbox one other
	// hall's is read.
	foreignInboxEvery = 10
	// stealAfter is how long a row must have waited in another hall's inbox,
	// by this leader's clock, before this hall takes it.
	stealAfter = 15 * time.Second
)

// WithOthers names the other halls, whose inboxes are looked into.
func WithOthers(halls []string) Option {
	return func(s *State) { s.otherHalls = halls }
}

// Wake makes the next step read the inbox at once.
func (s *State) Wake() { s.reads.nextInboxRead = time.Time{} }

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

// forgetRemoved drops what was remembered of rows that have left another hall's
// inbox.
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

// removingItems says whether rows are on their way out of an inbox. A reading taken
// meanwhile might still show them, and would lead to a conflict.
func (s *State) removingItems() bool {
	return len(s.unwritten.external) > 0 || s.pending != nil && len(s.pending.request.GetDeletes()) > 0
}

// maySteal says whether a row has waited long enough in another hall.
func (s *State) maySteal(now time.Time, item InboxItem) bool {
	first, ok := s.reads.foreignSince[item.Key]
	if !ok {
		s.reads.foreignSince[item.Key] = now
		return false
	}
	return item.Row.GetVerb() == rows.Submit && now.Sub(first) >= stealAfter
}

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

// removeItem takes a row out of the inbox.
func (s *State) removeItem(item InboxItem) {
	s.unwritten.external = append(s.unwritten.external, &wire.CommitRequest{
		Conditions: []*wire.Condition{{Key: item.Key, Revision: item.Revision}},
		Deletes:    []string{item.Key},
	})
}

// claimJob makes the job this hall's, and makes its tasks.
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

// takeCancel cancels or drains a job of this hall. A job that another hall has claimed is
// passed on to that hall's inbox.
func (s *State) takeCancel(now time.Time, item InboxItem) {
	key := item.Row.GetJobKey()
	j := s.jobs[key]
	switch {
	case j != nil:
		s.removeItem(item)
		s.note(now, "job/"+key, JobCancelled, item.Row.GetVerb())
		s.cancelTasks(now, j, item.Row.GetVerb() == rows.Drain)
	case item.Job.Row.GetState() == wire.JobState_JOB_STATE_ACCEPTED:
		// Its submit row is in this inbox too and will make it this hall's: it
		// is cancelled on a later reading, when it is.
	case item.Job.Row.GetState() == wire.JobState_JOB_STATE_CLAIMED && item.Job.Row.GetHall() != s.hall:
		s.forwardItem(item)
	default:
		s.removeItem(item) // it has ended
	}
}

func (s *State) forwardItem(item InboxItem) {
	s.removeItem(item)
	key := rows.Inbox(item.Job.Row.GetHall(), item.Row.GetVerb(), item.Row.GetJobKey())
	s.unwritten.external = append(s.unwritten.external, &wire.CommitRequest{Puts: []*wire.Row{rows.Put(key, item.Row)}})
}

// cancelTasks stops a job's tasks; a drain leaves alone what may have started.
func (s *State) cancelTasks(now time.Time, j *job, drain bool) {
	for _, t := range j.tasks {
		if !terminal(t.row.GetState()) && !(drain && t.startSent) {
			s.requestStop(now, t, cancelled)
		}
	}
}

// neverFits says whether a size is larger than every worker of the hall. It can
// be said only when each listed worker has been heard.
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
