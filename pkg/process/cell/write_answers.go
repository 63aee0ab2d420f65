package cell

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
)

// Answers to the transactions that write progress. Without an answer a transaction may have taken effect or not; the conditions of
// the next one show which.

// takeWriteAnswered handles the outcome of a transaction. The outcome of an earlier one is ignored.
func (s *State) takeWriteAnswered(now time.Time, e WriteAnswered) {
	p := s.writers[e.Part]
	if p == nil || !p.sending || e.Serial != p.serial {
		return
	}
	p.sending = false
	switch {
	case e.Err != nil:
		s.writeFailed(now, p, e.Err)
	case e.Committed.Conflict:
		s.writeConflicted(now, p, e.Committed)
	default:
		s.writeCommitted(now, p, func(table.Key) int64 { return e.Committed.Version })
	}
}

// writeFailed queues the jobs of a failed transaction for another try. The failed one may have taken
// effect or not; the conditions of the next one show which.
func (s *State) writeFailed(now time.Time, p *partWriter, err error) {
	if !p.failing {
		s.note(Note{Kind: NoteRecordFailed, Detail: p.name + ": " + err.Error(), Code: fault.CodeOf(err), AgeMs: -1})
	}
	p.failing = true
	p.requeueCancels()
	p.nextAt, p.yieldsUntil = now.Add(writeRetryDelay), time.Time{}
	for id, sent := range p.sent {
		s.requeue(p, id, sent)
	}
}

// requeue queues a job of a failed transaction for another try, unless its id has come into use again.
func (s *State) requeue(p *partWriter, id string, sent sentJob) {
	switch current := s.jobs[id]; {
	case current != nil && current != sent.job:
	case sent.expired || p.expired[id] == sent.job:
		p.expired[id] = sent.job
	default:
		p.dirty[id] = sent.job
		p.urgent = p.urgent || sent.final
	}
}

// writeConflicted handles a transaction that was refused because a row's version was not as required, so nothing of it took
// effect. It takes over the versions found and queues all jobs again, also one whose progress the table holds already: an earlier
// try that took effect without an answer may have lacked other rows of this one, such as the removal of a cancel.
func (s *State) writeConflicted(now time.Time, p *partWriter, c table.CommitResult) {
	found := map[string]table.Row{}
	for _, r := range c.Current {
		if r.Table == rows.FenceTable {
			if r.Version != p.fence {
				s.emit(StepDown{Why: "another leader has set the fence of " + p.name})
				return
			}
			continue
		}
		found[r.Key.Key] = r
	}
	for _, id := range slices.Sorted(maps.Keys(p.sent)) { // in a fixed order, see writeCommitted
		sent, r := p.sent[id], found[id]
		if sent.expired && r.Version == 0 {
			continue // the rows are removed already
		}
		if r.Version != sent.job.ProgressVersion {
			// An earlier try took effect and its answer was lost: under this leader's fence no other
			// process can have written the row.
			s.note(Note{
				Kind: NoteRecordFailed, Job: id, Code: fault.Conflict, AgeMs: -1,
				Detail: fmt.Sprintf("found row version %d, expected %d", r.Version, sent.job.ProgressVersion),
			})
			sent.job.ProgressVersion = r.Version
		}
		s.requeue(p, id, sent)
	}
	p.requeueCancels()
	p.sent = nil
	if len(p.dirty) == 0 {
		s.markPartDurable(now, p)
	}
	p.nextAt, p.yieldsUntil = now, time.Time{}
}

// writeCommitted handles a transaction that was committed; version returns the new version of a row.
func (s *State) writeCommitted(now time.Time, p *partWriter, version func(table.Key) int64) {
	for _, id := range slices.Sorted(maps.Keys(p.sent)) { // notifications are sent in this order
		sent := p.sent[id]
		if sent.expired {
			continue
		}
		s.markJobDurable(sent, version(rows.ProgressKey(s.name, id)))
	}
	p.sent, p.sentCancels = nil, nil
	s.markPartDurable(now, p)
}

// markJobDurable notes that a job's share of a transaction is durable: it sends the notifications, and allows
// the isolated runs that were recorded.
func (s *State) markJobDurable(sent sentJob, version int64) {
	j := sent.job
	j.ProgressVersion, j.ProgressRows = version, sent.rows
	if rest := s.pendingDelegations[j]; sent.delegations < len(rest) {
		s.pendingDelegations[j] = rest[sent.delegations:]
	} else {
		delete(s.pendingDelegations, j)
	}
	for _, notification := range sent.notifications {
		s.emit(notification)
	}
	for t, at := range sent.starts {
		if t.StartRecordDurable(at) {
			s.placementDue = true
		}
	}
	if j.HasStarted && !sent.begun {
		s.recordBegin(j)
	}
	if sent.final && j.DurablePhase != j.Phase {
		j.DurablePhase = j.Phase
		s.note(Note{Kind: NoteJobRecorded, Job: j.Spec.GetId(), Detail: j.Phase.String(), AgeMs: -1})
	}
}

// markPartDurable notes that all changes up to sentSeq are durable in a part. It drops the ends that this
// covers and polls their workers at once, which acknowledges the ends, unless polls yield to start orders.
func (s *State) markPartDurable(now time.Time, p *partWriter) {
	p.failing = false
	p.durable = max(p.durable, p.sentSeq)
	keep := p.unrecordedEnds[:0]
	for _, e := range p.unrecordedEnds {
		if e.seq > p.durable {
			keep = append(keep, e)
			continue
		}
		s.delays.records.add(now.Sub(e.learnedAt))
		if w := s.workers[e.worker]; w != nil && !w.PollOutstanding && w.SilentSince.IsZero() && s.phase == leading && !s.pollsYield(now, w) {
			w.NextPollAt = now
		}
	}
	p.unrecordedEnds = keep
}
