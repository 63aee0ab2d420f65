package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Recording. The progress of jobs is written in groups, one transaction at a time for each part of the
// table. A transaction requires the version of the cell's fence in that part and of each row that it
// replaces. So neither a predecessor nor a delayed duplicate of this leader's own transaction can undo
// later changes. Changes are numbered (seq). The end of a run may be acknowledged to its worker when all
// changes up to the end's are durable in the part of its job.

const (
	// writeInterval is the least time between two transactions of a part, so that several ends share one.
	// An urgent change, such as a job's last phase, does not wait for it.
	writeInterval = 120 * time.Millisecond
	// writeRetryDelay is the delay before the next transaction after one that failed.
	writeRetryDelay = 150 * time.Millisecond
	// maxTransactionEntries is the most entries that the platform takes in a transaction (100). maxTransactionBytes bounds the
	// values of those that a transaction puts: the platform takes 1 MB in all, and values are a third larger in a call.
	maxTransactionEntries = 100
	maxTransactionBytes   = 600 << 10
)

// partWriter holds the unwritten changes of one part of the table, and the transaction in flight.
type partWriter struct {
	name string
	// fence is the version of the cell's fence row in this part; 0 until it is known.
	fence int64
	// dirty are the jobs with changed progress, by id.
	dirty map[string]*jobs.Job
	// deferred are the jobs whose row is outdated only in the waits of lasting tasks, by id. They join the next transaction with
	// other changes, and wait for one until deferredUntil.
	deferred      map[string]*jobs.Job
	deferredUntil time.Time
	// expired are ended jobs whose retention is over, by id: their rows are removed.
	expired map[string]*jobs.Job
	// unknownCancels are the ids of jobs that never became known here: the rows of their cancels are removed.
	// sentCancels are those in the transaction in flight.
	unknownCancels map[string]struct{}
	sentCancels    []string
	// urgent says that a change of the dirty jobs does not wait for writeInterval.
	urgent bool
	// sending says that transaction number serial is in flight. It contains the jobs in sent, and once
	// committed makes all changes up to sentSeq durable.
	sending     bool
	serial      int64
	sent        map[string]sentJob
	sentSeq     int64
	transaction table.Transaction
	// durable is the number up to which all changes are durable in this part.
	durable int64
	nextAt  time.Time
	// yieldsUntil is when the next transaction is due that yields to start orders. awaited says that it does not: a worker
	// that must be polled soon would list its ends again until they are acknowledged.
	yieldsUntil time.Time
	awaited     bool
	// lastSent says that the last transaction before a release has been sent.
	lastSent bool
	// failing says that the last transaction failed.
	failing bool
	// unrecordedEnds are ends of runs that are not acknowledged, since their changes are not durable yet.
	unrecordedEnds []unrecordedEnd
}

// sentJob is a job's share of the transaction in flight.
type sentJob struct {
	job *jobs.Job
	// rows is the number of progress rows.
	rows int
	// final says that the progress row holds the job's last phase.
	final bool
	// begun says that the progress row says that the job has begun.
	begun bool
	// expired says that the job's rows are removed.
	expired bool
	// delegations is the number of specifications of delegated tasks for other cells.
	delegations int
	// notifications go to the leaders of other cells once the transaction is durable.
	notifications []NotifyLeader
	// starts are the tasks of which a start is recorded before it is ordered, with the incarnation for it.
	starts map[*jobs.Task]jobs.Incarnation
}

// unrecordedEnd is the end of a run that may be acknowledged to its worker when change seq is durable.
type unrecordedEnd struct {
	worker string
	number int64
	seq    int64
	// learnedAt is when the leader learned of the end.
	learnedAt time.Time
}

// writer returns the writer of a part, and creates it if needed.
func (s *State) writer(name string) *partWriter {
	p := s.writers[name]
	if p == nil {
		p = &partWriter{name: name, dirty: map[string]*jobs.Job{}, deferred: map[string]*jobs.Job{}, expired: map[string]*jobs.Job{}, unknownCancels: map[string]struct{}{}}
		s.writers[name] = p
	}
	return p
}

// markDirty notes that a job's progress has changed and is to be written; an urgent change does not wait
// for writeInterval.
func (s *State) markDirty(j *jobs.Job, urgent bool) {
	s.changeSeq++
	p := s.writer(rows.JobPart(j.Spec.GetId()))
	p.dirty[j.Spec.GetId()] = j
	p.urgent = p.urgent || urgent
}

// holdAcknowledgement holds back the acknowledgement of a run's end until the job's latest change is durable.
func (s *State) holdAcknowledgement(now time.Time, w *workers.Worker, number int64, job string) {
	p := s.writer(rows.JobPart(job))
	p.awaited = p.awaited || !s.pollsYield(now, w)
	p.unrecordedEnds = append(p.unrecordedEnds, unrecordedEnd{worker: w.ID, number: number, seq: s.changeSeq, learnedAt: now})
}

// lastRecordedEnd returns the number up to which all ends that a worker listed are durable.
func (s *State) lastRecordedEnd(w *workers.Worker) int64 {
	upTo := w.LastEnd
	for _, h := range w.OrphanedEnds {
		upTo = min(upTo, h.Number-1)
	}
	for _, p := range s.writers {
		for _, e := range p.unrecordedEnds {
			if e.worker == w.ID && e.number <= upTo {
				upTo = e.number - 1
			}
		}
	}
	return max(upTo, w.LastRecordedEnd)
}

// recordedUpTo reports whether all changes up to seq are durable, in all parts.
func (s *State) recordedUpTo(seq int64) bool {
	for _, p := range s.writers {
		if (p.sending || len(p.dirty) > 0) && p.durable < seq {
			return false
		}
	}
	return true
}

// expire queues the removal of a job's rows. No other change of the job is written any more: a transaction must not put and remove
// the same row.
func (p *partWriter) expire(id string, j *jobs.Job) {
	p.expired[id] = j
	delete(p.dirty, id)
	delete(p.deferred, id)
}

// dropExpiry drops the removal of an expired job's rows, as its id has come into use again: the new job's rows replace what is
// left of them.
func (s *State) dropExpiry(id string) {
	if p := s.writers[rows.JobPart(id)]; p != nil {
		delete(p.expired, id)
	}
}

// writeProgress sends a transaction for each part that has changes due and no transaction in flight.
func (s *State) writeProgress(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(s.writers)) {
		p := s.writers[name]
		nothingDue := len(p.dirty)+len(p.expired)+len(p.unknownCancels) == 0 && !p.deferredDue(now)
		if p.sending || nothingDue || p.fence == 0 {
			continue
		}
		if now.Before(p.nextAt) && (p.failing || !p.urgent) {
			continue
		}
		if now.Before(p.yieldsUntil) && !p.urgent && !p.awaited {
			continue
		}
		s.sendTransaction(now, p)
	}
}

// sendTransaction builds and sends the next transaction of a part. Jobs that do not fit stay for the one after.
func (s *State) sendTransaction(now time.Time, p *partWriter) {
	p.sent = map[string]sentJob{}
	tx := table.Transaction{Conditions: []table.Condition{{Key: rows.FenceKey(s.name, p.name), Version: p.fence}}}
	for _, id := range slices.Sorted(maps.Keys(p.dirty)) {
		entries, sent := s.progressEntries(p.dirty[id])
		if !p.takes(tx.With(entries)) {
			break
		}
		tx, p.sent[id] = tx.With(entries), sent
		sent.job.ProgressRows = max(sent.job.ProgressRows, sent.rows)
		delete(p.dirty, id)
		delete(p.deferred, id)
	}
	for _, id := range slices.Sorted(maps.Keys(p.expired)) {
		entries, sent := s.expiryEntries(p.expired[id])
		if !p.takes(tx.With(entries)) {
			break
		}
		tx, p.sent[id] = tx.With(entries), sent
		delete(p.expired, id)
	}
	tx = s.addUnknownCancels(p, tx)
	tx = s.addDeferred(p, tx)
	p.urgent, p.awaited = false, p.awaited && len(p.dirty) > 0
	for _, j := range p.dirty {
		p.urgent = p.urgent || j.Ended()
	}
	// A job that is left over may have changes older than those in this transaction, also some whose
	// transaction failed. So a transaction that leaves jobs over covers no new changes.
	p.sentSeq = p.durable
	if len(p.dirty) == 0 {
		p.sentSeq = s.changeSeq
	}
	p.transaction = tx
	s.emitTransaction(now, p)
}

// takes reports whether a transaction of the part may have the given size. One with a single job may have any size: no later one
// would be smaller.
func (p *partWriter) takes(tx table.Transaction) bool {
	return len(p.sent) == 0 || (tx.Entries() <= maxTransactionEntries && tx.Bytes() <= maxTransactionBytes)
}

// progressEntries returns the entries that record a job's changes: its progress, specifications of newly delegated tasks,
// and the report on a delegated job to its home cell. For an ended job they include the removal of its
// specification and cancel, and a cancel for each cell that tasks were delegated to.
func (s *State) progressEntries(j *jobs.Job) (tx table.Transaction, sent sentJob) {
	id := j.Spec.GetId()
	tx.Conditions = append(tx.Conditions, table.Condition{Key: rows.ProgressKey(s.name, id), Version: j.ProgressVersion})
	progress := j.Progress(s.storeClock)
	tx.Puts = rows.ProgressRows(s.name, progress)
	sent = sentJob{job: j, rows: len(tx.Puts), final: j.Ended(), begun: progress.GetBegun(), delegations: len(s.pendingDelegations[j])}
	tx.Removes = rows.ProgressPieces(s.name, id, sent.rows, j.ProgressRows)
	sent.starts = j.StartRecordsWanted()
	for _, spec := range latestByCell(s.pendingDelegations[j]) {
		tx.Puts = append(tx.Puts, rows.Row(rows.SpecKey(spec.GetCell(), id), spec))
		sent.notifications = append(sent.notifications, NotifyLeader{Cell: spec.GetCell(), Delegated: spec})
	}
	if report := j.DelegationReport(); report != nil {
		tx.Puts = append(tx.Puts, rows.Row(rows.ReturnKey(report.GetHome(), id, s.name), report))
		sent.notifications = append(sent.notifications, NotifyLeader{Cell: report.GetHome(), Returned: report})
	}
	if j.Ended() {
		tx.Removes = append(tx.Removes, rows.SpecKey(s.name, id), rows.CancelKey(s.name, id))
		for _, other := range j.TargetCells() {
			tx.Removes = append(tx.Removes, rows.ReturnKey(s.name, id, other))
			tx.Puts = append(tx.Puts, rows.Row(rows.CancelKey(other, id), &wire.JobRef{Cell: other, Id: id}))
			sent.notifications = append(sent.notifications, NotifyLeader{Cell: other, Cancelled: id})
		}
		tx.Removes = append(tx.Removes, s.unusedCancels(j)...)
	}
	return tx, sent
}

// unusedCancels returns the rows of a job's cancel for cells that never had tasks of it. The host that
// takes the cancel does not know which cells have some, and writes a row for every cell. Only a cell that
// is certainly the job's home cell removes these rows: the home cell's own row must stand until its leader
// has read it.
func (s *State) unusedCancels(j *jobs.Job) []table.Key {
	if !j.CancelRequested || j.Delegated() || j.Spec.GetCell() != s.name {
		return nil
	}
	targetCells := j.TargetCells()
	var list []table.Key
	for _, name := range s.peers {
		if !slices.Contains(targetCells, name) {
			list = append(list, rows.CancelKey(name, j.Spec.GetId()))
		}
	}
	return list
}

// latestByCell returns the last specification for each cell. It names all tasks that are delegated to the
// cell, and a transaction can put each row only once.
func latestByCell(specs []*wire.JobSpec) []*wire.JobSpec {
	list := make([]*wire.JobSpec, 0, len(specs))
	for i, spec := range specs {
		later := slices.ContainsFunc(specs[i+1:], func(other *wire.JobSpec) bool { return other.GetCell() == spec.GetCell() })
		if !later {
			list = append(list, spec)
		}
	}
	return list
}

// expiryEntries returns the entries that remove an expired job's remaining rows. The job's id may be used again afterwards.
func (s *State) expiryEntries(j *jobs.Job) (tx table.Transaction, sent sentJob) {
	id := j.Spec.GetId()
	key := rows.ProgressKey(s.name, id)
	tx.Conditions = append(tx.Conditions, table.Condition{Key: key, Version: j.ProgressVersion})
	tx.Removes = append(tx.Removes, key)
	if !j.Delegated() {
		tx.Removes = append(tx.Removes, rows.AnchorKey(id))
	}
	// The home cell may have cancelled a delegated job after it had ended here.
	if j.Delegated() || j.CancelRequested {
		tx.Removes = append(tx.Removes, rows.CancelKey(s.name, id))
	}
	return tx, sentJob{job: j, expired: true}
}

// emitTransaction emits a part's transaction under a new serial number.
func (s *State) emitTransaction(now time.Time, p *partWriter) {
	p.sending = true
	p.serial++
	p.nextAt, p.yieldsUntil = now.Add(writeInterval), time.Time{}
	if s.yielding(now) {
		p.yieldsUntil = now.Add(yieldFactor * writeInterval)
	}
	s.emit(WriteProgress{Part: p.name, Serial: p.serial, Transaction: p.transaction})
}
