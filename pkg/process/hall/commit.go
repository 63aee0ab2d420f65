package hall

import (
	"slices"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/leadership"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Group commit. All that has changed goes into one transaction, which also
// renews the leadership and is conditional on it. So the number of writes grows
// with halls and not with tasks, and a deposed leader can write nothing: its
// condition on the leader row fails (the model's fence "epoch").
//
// One transaction is under way at a time. When its answer is lost, nobody knows
// whether it took effect, so the same transaction is sent again, unchanged,
// until the table says yes or names a conflict. After a conflict the leader row
// is read: it carries the number of the last commit that took effect.

const (
	// minCommitInterval is the least time between two group commits.
	minCommitInterval = 100 * time.Millisecond
	// maxCommitRows is the most rows that one transaction touches.
	maxCommitRows = 600
	// resendDelay is how long to wait before a commit is sent again.
	resendDelay = 300 * time.Millisecond
)

type commitKind int

const (
	claimCommit commitKind = iota
	workCommit
	releaseCommit
)

// pendingCommit is the one transaction under way.
type pendingCommit struct {
	id        int64
	kind      commitKind
	row       *wire.LeaderRow
	request   *wire.CommitRequest
	batch     changes
	sentAt    time.Time
	resendAt  time.Time
	inFlight  bool
	uncertain bool
}

// changes is what is waiting to be written.
type changes struct {
	tasks   map[string]bool
	jobs    map[string]bool
	workers map[string]bool
	// external are rows of others' making with their conditions: inbox rows that
	// are taken out, and put into another hall's inbox.
	external []*wire.CommitRequest
}

func newChanges() changes {
	return changes{tasks: map[string]bool{}, jobs: map[string]bool{}, workers: map[string]bool{}}
}

func (c changes) empty() bool {
	return len(c.tasks) == 0 && len(c.jobs) == 0 && len(c.workers) == 0 && len(c.external) == 0
}

// leaderWrite is a transaction that writes the leader row and nothing else.
func (s *State) leaderWrite(row *wire.LeaderRow) *wire.CommitRequest {
	key := rows.Leader(s.hall)
	return &wire.CommitRequest{
		Conditions: []*wire.Condition{{Key: key, Revision: s.leadership.Revision()}},
		Puts:       []*wire.Row{rows.Put(key, row)},
	}
}

// ---------------------------------------------------------------- sending

func (s *State) send(now time.Time, p *pendingCommit) {
	s.nextCommit++
	p.id = s.nextCommit
	s.pending = p
	s.transmit(now)
}

func (s *State) transmit(now time.Time) {
	p := s.pending
	p.sentAt = now
	p.inFlight = true
	s.emit(Commit{ID: p.id, Request: p.request})
}

// resend sends an unanswered transaction again, unchanged.
func (s *State) resend(now time.Time) {
	p := s.pending
	if p == nil || p.inFlight || now.Before(p.resendAt) || s.reads.leaderPending {
		return
	}
	s.transmit(now)
}

// commit sends the next group when there is something to write, when the
// leadership wants renewing, or when it is to be given up.
func (s *State) commit(now time.Time) {
	if s.pending != nil || s.leadership.Role() != leadership.Leader || now.Sub(s.lastCommitAt) < minCommitInterval {
		return
	}
	renew := now.Sub(s.lastCommitAt) >= s.renewInterval()
	if s.unwritten.empty() && !renew && !s.draining {
		return
	}
	s.lastCommitAt = now
	if s.draining && s.unwritten.empty() {
		row := s.leadership.Release()
		s.send(now, &pendingCommit{kind: releaseCommit, row: row, request: s.leaderWrite(row)})
		return
	}
	row := s.leadership.Renewal(s.fleet().Tenure, s.longestLease)
	s.leadership = s.leadership.WithRenewing(row)
	p := &pendingCommit{kind: workCommit, row: row, request: s.leaderWrite(row), batch: newChanges()}
	s.gather(p)
	s.send(now, p)
}

// gather moves what has changed into the transaction, up to its limit.
func (s *State) gather(p *pendingCommit) {
	for len(s.unwritten.external) > 0 && len(p.request.Puts)+len(p.request.Deletes) < maxCommitRows {
		r := s.unwritten.external[0]
		s.unwritten.external = s.unwritten.external[1:]
		p.request.Conditions = append(p.request.Conditions, r.GetConditions()...)
		p.request.Puts = append(p.request.Puts, r.GetPuts()...)
		p.request.Deletes = append(p.request.Deletes, r.GetDeletes()...)
	}
	for name := range s.unwritten.workers {
		s.gatherWorker(p, name)
	}
	for id := range s.unwritten.tasks {
		if len(p.request.Puts)+len(p.request.Deletes) >= maxCommitRows {
			return
		}
		s.gatherTask(p, id)
	}
	for key := range s.unwritten.jobs {
		if len(p.request.Puts)+len(p.request.Deletes) >= maxCommitRows {
			return
		}
		s.gatherJob(p, key)
	}
}

func (s *State) gatherWorker(p *pendingCommit, name string) {
	delete(s.unwritten.workers, name)
	w := s.workers[name]
	row := &wire.WorkerRow{Name: name, Incarnation: w.reportedIncarnation, Epoch: s.leadership.Epoch()}
	w.registeringIncarnation = w.reportedIncarnation
	p.request.Puts = append(p.request.Puts, rows.Put(rows.Worker(s.hall, name), row))
	p.batch.workers[name] = true
}

// gatherTask writes a task's row. The rows of a job that has ended aren't
// written one by one: they go when the job's own row is written.
func (s *State) gatherTask(p *pendingCommit, id string) {
	delete(s.unwritten.tasks, id)
	t := s.tasks[id]
	if t.job.ended() {
		s.unwritten.jobs[t.job.row.GetKey()] = true
		return
	}
	t.writing = t.row
	p.batch.tasks[id] = true
	p.request.Puts = append(p.request.Puts, rows.Put(rows.Task(s.hall, id), t.row))
}

// gatherJob writes a job's row. When the job has ended, its tasks' rows are
// deleted in the same transaction, so that no crash can part the two.
func (s *State) gatherJob(p *pendingCommit, key string) {
	delete(s.unwritten.jobs, key)
	j := s.jobs[key]
	if j.ended() {
		for id := range j.tasks {
			delete(s.unwritten.tasks, id)
			p.request.Deletes = append(p.request.Deletes, rows.Task(s.hall, id))
		}
	}
	p.batch.jobs[key] = true
	j.writing = j.row
	k := rows.Job(key)
	p.request.Conditions = append(p.request.Conditions, &wire.Condition{Key: k, Revision: j.revision})
	p.request.Puts = append(p.request.Puts, rows.Put(k, j.row))
}

// ---------------------------------------------------------------- answers

func (s *State) takeCommitted(now time.Time, e Committed) {
	p := s.pending
	if p == nil || p.id != e.ID {
		return
	}
	p.inFlight = false
	switch {
	case e.Err != nil:
		p.uncertain = true
		p.resendAt = now.Add(resendDelay)
		s.note(now, s.hall, CommitUncertain, e.Err.Error())
	case len(e.Conflicts) == 0:
		p.sentAt = e.SentAt
		s.commitApplied(now, p, e.Revision)
	case p.uncertain:
		s.readLeader(now)
		p.resendAt = now.Add(resendDelay)
	default:
		s.commitConflicted(now, p, e.Conflicts)
	}
}

// resolveUncertain learns from the leader row what became of a commit whose answer was
// lost. The number of renewals tells one commit from the next.
func (s *State) resolveUncertain(now time.Time, e LeaderRead) {
	p := s.pending
	if p.inFlight {
		return
	}
	mine := e.Row.GetHolder() == p.row.GetHolder() && e.Row.GetEpoch() == p.row.GetEpoch()
	switch {
	case mine && e.Row.GetRenewals() == p.row.GetRenewals():
		p.sentAt = e.SentAt
		s.commitApplied(now, p, e.Revision)
	case mine || (p.kind == claimCommit && e.Revision == s.leadership.Revision()):
		// The row has not moved, so the commit did not take effect and another
		// of its conditions no longer holds.
		s.commitConflicted(now, p, nil)
	default:
		s.commitConflicted(now, p, []string{rows.Leader(s.hall)})
		s.leadership = s.leadership.WithObserved(now, e.Row, e.Revision)
	}
}

func (s *State) commitConflicted(now time.Time, p *pendingCommit, keys []string) {
	s.pending = nil
	if p.kind == claimCommit || slices.Contains(keys, rows.Leader(s.hall)) {
		s.leadershipLost(now, "the leader row was written by another process")
		return
	}
	s.reload(now, strings.Join(keys, " "))
}

// commitApplied takes in a commit that surely took effect.
func (s *State) commitApplied(now time.Time, p *pendingCommit, revision int64) {
	s.pending = nil
	switch p.kind {
	case claimCommit:
		s.leadershipWon(now, p, revision)
	case releaseCommit:
		s.note(now, s.hall, ReleasedLeadership, "planned stop")
		s.leadership = s.leadership.WithRenewed(p.sentAt, p.row, revision).WithLost()
		s.phase = following
		s.clearLoaded()
	case workCommit:
		s.leadership = s.leadership.WithRenewed(p.sentAt, p.row, revision)
		s.batchApplied(now, p, revision)
	}
}

func (s *State) batchApplied(now time.Time, p *pendingCommit, revision int64) {
	if s.phase != leading {
		return // a reload is under way and will bring it
	}
	for name := range p.batch.workers {
		s.workerRegistered(now, name)
	}
	for id := range p.batch.tasks {
		s.taskCommitted(s.tasks[id])
	}
	for key := range p.batch.jobs {
		s.jobCommitted(s.jobs[key], revision)
	}
}
