package workers

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
)

// A worker may start again under the id that it has. The one that answers then holds and
// knows nothing of before, and its counts and its clock begin anew: whatever is believed of a
// worker is a belief about one life of it, which Born names.

// IsOtherIncarnation says whether a row is about another life than the one that is known.
func (w *Worker) IsOtherIncarnation(r Record) bool {
	return r.Born != 0 && w.Born != 0 && r.Born != w.Born
}

// NoteOtherIncarnation takes in a row of another life. It may be of a later one, or an old row that
// came late: which one it is, the next answer says. Until then no new work goes there. It
// says whether the row is news.
func (w *Worker) NoteOtherIncarnation(now time.Time, r Record) bool {
	if r.Born == w.outdatedBorn {
		return false
	}
	news := w.otherRow == nil || w.otherRow.Born != r.Born
	if news {
		w.otherRowAt = now
	}
	w.otherRow = &r
	w.Unlist(now)
	return news
}

// PollNow makes a look due, though one may be out: that one is not waited for, since the life
// that it was sent to may be over.
func (w *Worker) PollNow(now time.Time) { w.PollOutstanding, w.NextPollAt = false, now }

// Unlist takes in that the list of workers does not hold this life.
func (w *Worker) Unlist(now time.Time) {
	if w.Listed {
		w.Listed, w.UnlistedAt = false, now
	}
}

// RowGone takes in that the list holds no row under this ID.
func (w *Worker) RowGone(now time.Time) {
	if w.Listed {
		w.RowGoneAt = now
	}
	w.otherRow = nil
	w.Unlist(now)
}

// LeftOrderly says whether the worker leaves, or answered though its row had gone: such a life ends without
// a crash. (Where the row goes after it fell silent, that is why.)
func (w *Worker) LeftOrderly() bool {
	return w.Leaving || (!w.RowGoneAt.IsZero() && w.RowGoneAt.Before(w.LastAnswerAt))
}

// EndedAt is when a life that is over by now ended at the latest.
func (w *Worker) EndedAt(now time.Time) time.Time {
	switch {
	case !w.SilentSince.IsZero():
		return w.SilentSince
	case w.otherRow != nil:
		return w.otherRowAt
	}
	return now
}

// Answered takes in that this very life has answered a look that was sent at a given time: a
// row of another one that was there before is an old one.
func (w *Worker) Answered(sentAt time.Time) {
	if w.otherRow != nil && w.otherRowAt.Before(sentAt) {
		w.outdatedBorn, w.otherRow, w.Listed = w.otherRow.Born, nil, true
	}
}

// MayHaveRestarted says whether another life may answer the next look.
func (w *Worker) MayHaveRestarted() bool { return w.otherRow != nil || !w.SilentSince.IsZero() }

// PollAddress is where to look for the worker: if the life that is known is silent, where the
// next one's row says.
func (w *Worker) PollAddress() string {
	if w.otherRow != nil && !w.SilentSince.IsZero() {
		return w.otherRow.Address
	}
	return w.Address
}

// Restart makes this the worker's next life, which has just answered, and returns the runs of the
// life before: nothing else that was believed holds.
func (w *Worker) Restart(now time.Time, born int64) []*jobs.Run {
	runs := w.Runs
	begun := Worker{
		Record:  Record{ID: w.ID, Host: w.Host, Service: w.Service, Address: w.Address, Hall: w.Hall},
		KnownAt: now, UsableFrom: now, PollSentAt: w.PollSentAt, UnlistedAt: now, tasksByUnit: map[*jobs.Unit]int64{},
	}
	if w.otherRow != nil && w.otherRow.Born == born {
		begun.Record, begun.Listed = *w.otherRow, true
	}
	begun.Born = born
	*w = begun
	return runs
}
