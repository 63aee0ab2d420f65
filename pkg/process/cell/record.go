package cell

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
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
	// recordPause is the least time between two transactions of a part, so that several ends share one.
	// An urgent change, such as a job's last phase, does not wait for it.
	recordPause = 120 * time.Millisecond
	// recordAgain is the delay before the next transaction after one that failed.
	recordAgain = 150 * time.Millisecond
	// recordMost is the most entries that the platform takes in a transaction (100).
	recordMost = 100
)

// part holds what is to be written to one part of the table, and the transaction in flight.
type part struct {
	name string
	// fence is the version of the cell's fence row in this part; 0 until it is known.
	fence int64
	// dirty are the jobs with changed progress, by id.
	dirty map[string]*jobs.Job
	// expired are ended jobs whose retention is over, by id: their rows are removed.
	expired map[string]*jobs.Job
	// urgent says that a change of the dirty jobs does not wait for recordPause.
	urgent bool
	// sending says that transaction number serial is in flight. It contains the jobs in sent, and once
	// committed makes all changes up to sentSeq durable.
	sending bool
	serial  int64
	sent    map[string]sentJob
	sentSeq int64
	out     table.Transaction
	// durable is the number up to which all changes are durable in this part.
	durable int64
	nextAt  time.Time
	// failing says that the last transaction failed.
	failing bool
	// ends are ends of runs that are not acknowledged, since their changes are not durable yet.
	ends []pendingEnd
}

// sentJob is what the transaction in flight contains of one job.
type sentJob struct {
	job *jobs.Job
	// value is the progress row.
	value []byte
	// last says that the progress row holds the job's last phase.
	last bool
	// expired says that the job's rows are removed.
	expired bool
	// lent is the number of specifications of delegated tasks for other cells.
	lent int
	// words are notifications of the leaders of other cells. They are sent when the transaction is durable.
	words []Tell
	// trials are the tasks for which an isolated run is recorded before it starts.
	trials []*jobs.Task
}

// pendingEnd is the end of a run that may be acknowledged to its worker when change seq is durable.
type pendingEnd struct {
	worker string
	number int64
	seq    int64
}

// part returns the part with a name, and creates it if needed.
func (s *State) part(name string) *part {
	p := s.parts[name]
	if p == nil {
		p = &part{name: name, dirty: map[string]*jobs.Job{}, expired: map[string]*jobs.Job{}}
		s.parts[name] = p
	}
	return p
}

// markDirty notes that a job's progress has changed and is to be written; an urgent change does not wait
// for recordPause.
func (s *State) markDirty(j *jobs.Job, urgent bool) {
	s.seq++
	p := s.part(rows.JobPart(j.Spec.GetId()))
	p.dirty[j.Spec.GetId()] = j
	p.urgent = p.urgent || urgent
}

// pendEnd holds back the acknowledgement of a run's end until the job's latest change is durable.
func (s *State) pendEnd(w *workers.Worker, number int64, job string) {
	p := s.part(rows.JobPart(job))
	p.ends = append(p.ends, pendingEnd{worker: w.ID, number: number, seq: s.seq})
}

// recordedEnd returns the number up to which all ends that a worker listed are durable.
func (s *State) recordedEnd(w *workers.Worker) int64 {
	upTo := w.Seen
	for _, h := range w.HeldEnds {
		upTo = min(upTo, h.Number-1)
	}
	for _, p := range s.parts {
		for _, e := range p.ends {
			if e.worker == w.ID && e.number <= upTo {
				upTo = e.number - 1
			}
		}
	}
	return max(upTo, w.Recorded)
}

// recordedUpTo reports whether all changes up to seq are durable, in all parts.
func (s *State) recordedUpTo(seq int64) bool {
	for _, p := range s.parts {
		if (p.sending || len(p.dirty) > 0) && p.durable < seq {
			return false
		}
	}
	return true
}

// record sends a transaction for each part that has changes due and no transaction in flight.
func (s *State) record(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(s.parts)) {
		p := s.parts[name]
		if p.sending || len(p.dirty)+len(p.expired) == 0 || p.fence == 0 {
			continue
		}
		if now.Before(p.nextAt) && (p.failing || !p.urgent) {
			continue
		}
		s.send(now, p)
	}
}

// send builds and sends the next transaction of a part. Jobs that do not fit stay for the one after.
func (s *State) send(now time.Time, p *part) {
	p.sent = map[string]sentJob{}
	tx := table.Transaction{Conditions: []table.Condition{{Key: rows.FenceKey(s.name, p.name), Version: p.fence}}}
	for _, id := range slices.Sorted(maps.Keys(p.dirty)) {
		if tx.Entries()+s.entriesOf(p.dirty[id]) > recordMost {
			break
		}
		p.sent[id] = s.addRow(&tx, p.dirty[id])
		delete(p.dirty, id)
	}
	for _, id := range slices.Sorted(maps.Keys(p.expired)) {
		if tx.Entries()+entriesOfExpired > recordMost {
			break
		}
		p.sent[id] = s.removeRows(&tx, p.expired[id])
		delete(p.expired, id)
	}
	p.urgent = false
	for _, j := range p.dirty {
		p.urgent = p.urgent || j.Ended()
	}
	// A job that is left over may have changes older than those in this transaction, also some whose
	// transaction failed. So a transaction that leaves jobs over covers no new changes.
	p.sentSeq = p.durable
	if len(p.dirty) == 0 {
		p.sentSeq = s.seq
	}
	p.out = tx
	s.post(now, p)
}

// addRow adds to a transaction what is to be written of a job: its progress, specifications of newly
// delegated tasks, and the report on a delegated job to its home cell. For an ended job it adds the removal
// of its specification and cancel, and a cancel for each cell that tasks were delegated to.
func (s *State) addRow(tx *table.Transaction, j *jobs.Job) sentJob {
	id := j.Spec.GetId()
	key := rows.ProgressKey(s.name, id)
	row := rows.Row(key, j.Progress())
	tx.Conditions = append(tx.Conditions, table.Condition{Key: key, Version: j.Recorded})
	tx.Puts = append(tx.Puts, row)
	sent := sentJob{job: j, value: row.Value, last: j.Ended(), lent: len(s.lent[j])}
	sent.trials = j.TrialsWanted()
	for _, spec := range newestByCell(s.lent[j]) {
		tx.Puts = append(tx.Puts, rows.Row(rows.SpecKey(spec.GetCell(), id), spec))
		sent.words = append(sent.words, Tell{Cell: spec.GetCell(), Lent: spec})
	}
	if report := j.Report(); report != nil {
		tx.Puts = append(tx.Puts, rows.Row(rows.ReturnKey(report.GetHome(), id, s.name), report))
		sent.words = append(sent.words, Tell{Cell: report.GetHome(), Returned: report})
	}
	if j.Ended() {
		tx.Removes = append(tx.Removes, rows.SpecKey(s.name, id), rows.CancelKey(s.name, id))
		for _, other := range j.Borrowers() {
			tx.Removes = append(tx.Removes, rows.ReturnKey(s.name, id, other))
			tx.Puts = append(tx.Puts, rows.Row(rows.CancelKey(other, id), &wire.JobRef{Cell: other, Id: id}))
			sent.words = append(sent.words, Tell{Cell: other, Cancelled: id})
		}
		tx.Removes = append(tx.Removes, s.needlessCancels(j)...)
	}
	return sent
}

// needlessCancels returns the rows of a job's cancel for cells that never had tasks of it. The host that
// takes the cancel does not know which cells have some, and writes a row for every cell. Only a cell that
// is surely the job's home cell removes these rows: the home cell's own row must stand until its leader
// has read it.
func (s *State) needlessCancels(j *jobs.Job) []table.Key {
	if !j.CancelAsked || j.Guest() || j.Spec.GetCell() != s.name {
		return nil
	}
	borrowers := j.Borrowers()
	var list []table.Key
	for _, name := range s.peers {
		if !slices.Contains(borrowers, name) {
			list = append(list, rows.CancelKey(name, j.Spec.GetId()))
		}
	}
	return list
}

// entriesOf returns the most entries that a job takes in a transaction: the condition and the row of its
// progress, the removal of its specification and of its cancel, a report, two entries for each cell that
// tasks were delegated to, the cancel's rows for the other cells, and specifications of delegated tasks.
func (s *State) entriesOf(j *jobs.Job) int {
	return 5 + len(s.peers) + 2*len(j.Borrowers()) + len(newestByCell(s.lent[j]))
}

// entriesOfExpired is the most entries that an expired job takes in a transaction.
const entriesOfExpired = 4

// newestByCell returns the last specification for each cell. It names all tasks that are delegated to the
// cell, and a transaction can put each row only once.
func newestByCell(specs []*wire.JobSpec) []*wire.JobSpec {
	list := make([]*wire.JobSpec, 0, len(specs))
	for i, spec := range specs {
		later := slices.ContainsFunc(specs[i+1:], func(other *wire.JobSpec) bool { return other.GetCell() == spec.GetCell() })
		if !later {
			list = append(list, spec)
		}
	}
	return list
}

// removeRows adds the removal of an expired job's remaining rows to a transaction. The job's id may be
// used again afterwards.
func (s *State) removeRows(tx *table.Transaction, j *jobs.Job) sentJob {
	id := j.Spec.GetId()
	key := rows.ProgressKey(s.name, id)
	tx.Conditions = append(tx.Conditions, table.Condition{Key: key, Version: j.Recorded})
	tx.Removes = append(tx.Removes, key)
	if j.Guest() {
		// The home cell may have cancelled the job after it had ended here.
		tx.Removes = append(tx.Removes, rows.CancelKey(s.name, id))
	} else {
		tx.Removes = append(tx.Removes, rows.AnchorKey(id))
	}
	return sentJob{job: j, expired: true}
}

// post emits the transaction of a part.
func (s *State) post(now time.Time, p *part) {
	p.sending = true
	p.serial++
	p.nextAt = now.Add(recordPause)
	s.emit(Record{Part: p.name, Serial: p.serial, Transaction: p.out})
}

// takeRecorded handles the outcome of a transaction. The outcome of an earlier one is ignored.
func (s *State) takeRecorded(now time.Time, e RecordAnswered) {
	p := s.parts[e.Part]
	if p == nil || !p.sending || e.Serial != p.serial {
		return
	}
	p.sending = false
	switch {
	case e.Err != nil:
		s.recordFailed(now, p, e.Err)
	case e.Committed.Conflict:
		s.recordConflict(now, p, e.Committed)
	default:
		s.recordDone(now, p, func(table.Key) int64 { return e.Committed.Version })
	}
}

// recordFailed queues the jobs of a failed transaction for another try. The failed one may have taken
// effect or not; the conditions of the next one show which.
func (s *State) recordFailed(now time.Time, p *part, err error) {
	if !p.failing {
		s.note(Note{What: NoteRecordFailed, Detail: p.name + ": " + err.Error(), Code: fault.CodeOf(err), AgeMs: -1})
	}
	p.failing = true
	p.nextAt = now.Add(recordAgain)
	for id, sent := range p.sent {
		p.again(id, sent)
	}
}

// again queues a job of a failed transaction for another try.
func (p *part) again(id string, sent sentJob) {
	if sent.expired {
		p.expired[id] = sent.job
		return
	}
	p.dirty[id] = sent.job
	p.urgent = p.urgent || sent.last
}

// recordConflict handles a transaction that was refused because a row's version was not as required. It
// compares the rows in the table with the sent ones: where they are equal, an earlier try was committed
// and its answer lost, so the job counts as written.
func (s *State) recordConflict(now time.Time, p *part, c table.Committed) {
	found := map[string]table.Row{}
	for _, r := range c.Found {
		if r.Table == rows.FenceTable {
			if r.Version != p.fence {
				s.emit(StepDown{Why: "another leader has set the fence of " + p.name})
				return
			}
			continue
		}
		found[r.Key.Key] = r
	}
	for _, id := range slices.Sorted(maps.Keys(p.sent)) { // in a fixed order, see recordDone
		sent, r := p.sent[id], found[id]
		if sent.expired && r.Version == 0 {
			continue // the rows are removed already
		}
		if r.Version != 0 && bytes.Equal(r.Value, sent.value) {
			s.jobDurable(sent, r.Version)
			continue
		}
		if r.Version != sent.job.Recorded {
			// An earlier try took effect and its answer was lost: under this leader's fence no other
			// process can have written the row.
			s.note(Note{
				What: NoteRecordFailed, Job: id, Code: fault.Conflict, AgeMs: -1,
				Detail: fmt.Sprintf("found row version %d, expected %d", r.Version, sent.job.Recorded),
			})
			sent.job.Recorded = r.Version
		}
		p.again(id, sent)
	}
	p.sent = nil
	if len(p.dirty) == 0 {
		s.partDurable(now, p)
	}
	p.nextAt = now
}

// recordDone handles a transaction that was committed; version returns the new version of a row.
func (s *State) recordDone(now time.Time, p *part, version func(table.Key) int64) {
	for _, id := range slices.Sorted(maps.Keys(p.sent)) { // notifications are sent in this order
		sent := p.sent[id]
		if sent.expired {
			continue
		}
		s.jobDurable(sent, version(rows.ProgressKey(s.name, id)))
	}
	p.sent = nil
	s.partDurable(now, p)
}

// jobDurable notes that what a transaction contains of a job is durable, and does what waited for that.
func (s *State) jobDurable(sent sentJob, version int64) {
	j := sent.job
	j.Recorded = version
	if rest := s.lent[j]; sent.lent < len(rest) {
		s.lent[j] = rest[sent.lent:]
	} else {
		delete(s.lent, j)
	}
	for _, word := range sent.words {
		s.emit(word)
	}
	for _, t := range sent.trials {
		if t.Trial == jobs.TrialWanted {
			t.Trial = jobs.TrialRecorded
			s.placeNow = true
		}
	}
	if sent.last && j.Durable != j.Phase {
		j.Durable = j.Phase
		s.note(Note{What: NoteJobRecorded, Job: j.Spec.GetId(), Detail: j.Phase.String(), AgeMs: -1})
	}
}

// partDurable notes that all changes up to sentSeq are durable in a part. It drops the ends that this
// covers and polls their workers at once, which acknowledges the ends.
func (s *State) partDurable(now time.Time, p *part) {
	p.failing = false
	p.durable = max(p.durable, p.sentSeq)
	keep := p.ends[:0]
	for _, e := range p.ends {
		if e.seq > p.durable {
			keep = append(keep, e)
			continue
		}
		if w := s.workers[e.worker]; w != nil && !w.Looking && w.SilentSince.IsZero() && s.phase == leading {
			w.LookAt = now
		}
	}
	p.ends = keep
}
