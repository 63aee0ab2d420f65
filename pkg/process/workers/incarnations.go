package workers

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
)

// A worker may restart under its old ID. The new incarnation holds no runs and knows nothing
// of the old one, and its end numbers and its clock start again. So all state of a Worker
// belongs to one incarnation, which Born identifies.

// IsOtherIncarnation says whether a registry row belongs to another incarnation than w.
func (w *Worker) IsOtherIncarnation(r Record) bool {
	return r.Born != 0 && w.Born != 0 && r.Born != w.Born
}

// NoteOtherIncarnation stores a registry row of another incarnation. The row may be of a later
// incarnation, or an outdated row that arrived late; the worker's next answer decides which.
// Until then the worker gets no new work. The result says whether the row was unknown so far.
func (w *Worker) NoteOtherIncarnation(now time.Time, r Record) bool {
	if r.Born == w.outdatedBorn {
		return false
	}
	unknown := w.otherRow == nil || w.otherRow.Born != r.Born
	if unknown {
		w.otherRowAt = now
	}
	w.otherRow = &r
	w.MarkUnlisted(now)
	return unknown
}

// PollNow makes a poll due at once, even while one is outstanding: the incarnation to which
// that one was sent may have ended, so its answer is not awaited.
func (w *Worker) PollNow(now time.Time) { w.PollOutstanding, w.NextPollAt = false, now }

// MarkUnlisted records that the worker registry does not list this incarnation.
func (w *Worker) MarkUnlisted(now time.Time) {
	if w.Listed {
		w.Listed, w.UnlistedAt = false, now
	}
}

// RowRemoved records that the worker registry holds no row under this ID.
func (w *Worker) RowRemoved(now time.Time) {
	if w.Listed {
		w.RowRemovedAt = now
	}
	w.otherRow = nil
	w.MarkUnlisted(now)
}

// LeftOrderly says whether the worker is leaving, or answered after its registry row had been
// removed. Such an incarnation ends without a crash. A row that is removed after the worker
// fell silent doesn't count: the silence is then the reason for the removal.
func (w *Worker) LeftOrderly() bool {
	return w.Leaving || (!w.RowRemovedAt.IsZero() && w.RowRemovedAt.Before(w.LastAnswerAt))
}

// LatestEnd returns the latest time at which an incarnation that has ended by now can have ended.
func (w *Worker) LatestEnd(now time.Time) time.Time {
	switch {
	case !w.SilentSince.IsZero():
		return w.SilentSince
	case w.otherRow != nil:
		return w.otherRowAt
	}
	return now
}

// PollAnswered records that this incarnation answered a poll sent at the given time. A row of
// another incarnation that was stored before then is outdated.
func (w *Worker) PollAnswered(sentAt time.Time) {
	if w.otherRow != nil && w.otherRowAt.Before(sentAt) {
		w.outdatedBorn, w.otherRow, w.Listed = w.otherRow.Born, nil, true
	}
}

// MayHaveRestarted says whether another incarnation may answer the next poll.
func (w *Worker) MayHaveRestarted() bool { return w.otherRow != nil || !w.SilentSince.IsZero() }

// PollAddress returns the address for the next poll. While this incarnation is silent, it is
// the address in the row of the other incarnation, if there is one.
func (w *Worker) PollAddress() string {
	if w.otherRow != nil && !w.SilentSince.IsZero() {
		return w.otherRow.Address
	}
	return w.Address
}

// Restart turns w into the incarnation that has just answered, and returns the runs of the
// previous one. All other state of the previous incarnation is dropped.
func (w *Worker) Restart(now time.Time, born int64) []*jobs.Run {
	runs := w.Runs
	restarted := Worker{
		Record:  Record{ID: w.ID, Host: w.Host, Service: w.Service, Address: w.Address, Hall: w.Hall},
		KnownAt: now, UsableFrom: now, PollSentAt: w.PollSentAt, UnlistedAt: now, tasksByUnit: map[*jobs.Unit]int64{},
	}
	if w.otherRow != nil && w.otherRow.Born == born {
		restarted.Record, restarted.Listed = *w.otherRow, true
	}
	restarted.Born = born
	*w = restarted
	return runs
}
