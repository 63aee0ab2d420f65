package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
)

// Records of waits. The progress row says since when a lasting task has had no run. It is written once more when the task runs, as a
// successor that does not find the run would count its time as a part of the wait; and when a start is refused that was on its way
// when the row was written.

// maxDeferral is the longest time for which a row that is outdated only in its waits is kept for a transaction with other changes.
const maxDeferral = time.Second

// updateRecordedWait has the table record that a lasting task runs again, or since when it has had no run, if the job's row
// does not say so.
func (s *State) updateRecordedWait(now time.Time, t *jobs.Task) {
	j := t.Unit.Job
	if j.Ended() || !t.WaitOutdated() {
		return
	}
	p := s.writer(rows.JobPart(j.Spec.GetId()))
	if len(p.deferred) == 0 {
		p.deferredUntil = now.Add(maxDeferral)
	}
	p.deferred[j.Spec.GetId()] = j
}

// deferredDue reports whether deferred jobs no longer wait for a transaction with other changes. It drops those whose row is
// not outdated any more.
func (p *partWriter) deferredDue(now time.Time) bool {
	if len(p.deferred) == 0 || now.Before(p.deferredUntil) {
		return false
	}
	maps.DeleteFunc(p.deferred, func(_ string, j *jobs.Job) bool { return !waitsOutdated(j) })
	return len(p.deferred) > 0
}

func waitsOutdated(j *jobs.Job) bool { return !j.Ended() && j.WaitsOutdated() }

// addDeferred returns a transaction of the part with the deferred jobs that fit.
func (s *State) addDeferred(p *partWriter, tx table.Transaction) table.Transaction {
	for _, id := range slices.Sorted(maps.Keys(p.deferred)) {
		j := p.deferred[id]
		if p.dirty[id] != nil {
			continue // it did not fit
		}
		if !waitsOutdated(j) {
			delete(p.deferred, id)
			continue
		}
		entries, sent := s.progressEntries(j)
		if !p.takes(tx.With(entries)) {
			break
		}
		tx, p.sent[id] = tx.With(entries), sent
		j.ProgressRows = max(j.ProgressRows, sent.rows)
		delete(p.deferred, id)
	}
	return tx
}
