package hall

import (
	"slices"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/leadership"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Group commit. All changed rows go into one transaction, which also renews the
// leadership and has the leader row as a condition. So the number of writes
// grows with halls, not with tasks, and a deposed leader can write nothing: its
// condition on the leader row fails (the model's fence "epoch").
//
// One transaction is pending at a time. When its answer is lost, its outcome is
// unknown, so the same transaction is sent again, unchanged, until the table
// accepts it or names a conflict. After such a conflict the leader row is read:
// it holds the number of the last commit that took effect.

const (
	// minCommitInterval is the minimum time between two group commits.
	minCommitInterval = 100 * time.Millisecond
	// maxCommitRows is the number of rows in a transaction at which gather adds
	// no further ones.
	maxCommitRows = 600
	// resendDelay is the time from a failed answer until the commit is sent again.
	resendDelay = 300 * time.Millisecond
)

type commitKind int

const (
	claimCommit commitKind = iota
	workCommit
	releaseCommit
)

// pendingCommit is the one transaction that awaits its result.
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

// changes is a set of rows to write, by name, id or key.
type changes struct {
	tasks   map[string]bool
	jobs    map[string]bool
	workers map[string]bool
	// external holds writes to inbox rows, with their conditions: deletions of
	// handled rows, and rows forwarded to the inbox of another hall.
	external []*wire.CommitRequest
}

func newChanges() changes {
	return changes{tasks: map[string]bool{}, jobs: map[string]bool{}, workers: map[string]bool{}}
}

func (c changes) empty() bool {
	return len(c.tasks) == 0 && len(c.jobs) == 0 && len(c.workers) == 0 && len(c.external) == 0
}

// leaderWrite returns a transaction that writes only the leader row, on the
// condition that its revision is the one read last.
func (s *State) leaderWrite(row *wire.LeaderRow) *wire.CommitRequest {
	key := rows.Leader(s.hall)
	return &wire.CommitRequest{
		Conditions: []*wire.Condition{{Key: key, Revision: s.leadership.Revision()}},
		Puts:       []*wire.Row{rows.Put(key, row)},
	}
}

// ---------------------------------------------------------------- sending

// send makes p the pending commit and sends it.
func (s *State) send(now time.Time, p *pendingCommit) {
	s.nextCommit++
	p.id = s.nextCommit
	s.pending = p
	s.transmit(now)
}

// transmit sends the pending commit, for the first time or again.
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

// commit sends the next group commit when rows are unwritten, when the
// leadership is due for renewal, or when a planned stop releases it.
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

// gather moves unwritten rows into the transaction, up to maxCommitRows.
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

// gatherWorker adds a worker's row to the transaction, which registers the
// worker's incarnation.
func (s *State) gatherWorker(p *pendingCommit, name string) {
	delete(s.unwritten.workers, name)
	w := s.workers[name]
	row := &wire.WorkerRow{Name: name, Incarnation: w.reportedIncarnation, Epoch: s.leadership.Epoch()}
	w.registeringIncarnation = w.reportedIncarnation
	p.request.Puts = append(p.request.Puts, rows.Put(rows.Worker(s.hall, name), row))
	p.batch.workers[name] = true
}

// gatherTask adds a task's row to the transaction. The task rows of a job that
// has ended aren't written: gatherJob deletes them with the write of the job's
// row.
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

// gatherJob adds a job's row to the transaction. When the job has ended, the
// same transaction deletes the rows of its tasks, so that no crash can separate
// the two writes.
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

// takeCommitted handles the answer to the pending commit, or its loss.
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

// resolveUncertain finds out from the leader row whether a commit took effect
// whose answer was lost. Each commit of a leader has its own number of renewals.
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
		// The leader row is unchanged, so the commit did not take effect, and
		// another of its conditions no longer holds.
		s.commitConflicted(now, p, nil)
	default:
		s.commitConflicted(now, p, []string{rows.Leader(s.hall)})
		s.leadership = s.leadership.WithObserved(now, e.Row, e.Revision)
	}
}

// commitConflicted handles a commit that certainly did not take effect, since the
// rows with these keys have changed. When the leader row is one of them, the
// leadership is lost; otherwise the state is read again.
func (s *State) commitConflicted(now time.Time, p *pendingCommit, keys []string) {
	s.pending = nil
	if p.kind == claimCommit || slices.Contains(keys, rows.Leader(s.hall)) {
		s.leadershipLost(now, "the leader row was written by another process")
		return
	}
	s.reload(now, strings.Join(keys, " "))
}

// commitApplied handles a commit that certainly took effect.
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

// batchApplied marks the rows of a commit as held by the table.
func (s *State) batchApplied(now time.Time, p *pendingCommit, revision int64) {
	if s.phase != leading {
		return // the reload in progress reads the result from the table
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
