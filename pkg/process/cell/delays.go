package cell

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// What a leader does late: polls, ends that it learns, the steps and records that follow from them. The log sums this up
// at intervals, so that a full processor, a full link and calls that yield can be told apart.

// delayNoteInterval is the time between two log lines about delays.
const delayNoteInterval = 3 * time.Second

// delaySum sums up the delays of one kind.
type delaySum struct {
	count        int64
	sum, longest time.Duration
}

func (d *delaySum) add(delay time.Duration) {
	d.count++
	d.sum += delay
	d.longest = max(d.longest, delay)
}

// String returns the number of delays, their mean and the longest.
func (d *delaySum) String() string {
	mean := d.sum / time.Duration(max(1, d.count))
	return fmt.Sprintf("%d after %s, %s at most", d.count, mean.Round(time.Millisecond), d.longest.Round(time.Millisecond))
}

// delays sums up the delays since a time.
type delays struct {
	since, countedAt time.Time
	// polls are sent after they are due. unwatched ends are learned from polls that were sent so long after the
	// worker's last answer, steps begin after the end that they waited for is learned, and ends are recorded after it.
	polls, unwatched, steps, records delaySum
	// held and yielded are for how long start orders were held back, and polls and records yielded to them.
	held, yielded time.Duration
	decisions     int64
	starts        startDelays
}

// countDecision adds the time since the last decision to those in which calls were held back, and logs the delays when
// that is due.
func (s *State) countDecision(now time.Time) {
	d := &s.delays
	if s.phase != leading {
		*d = delays{}
		return
	}
	if d.since.IsZero() {
		*d = delays{since: now, countedAt: now}
	}
	d.decisions++
	passed := now.Sub(d.countedAt)
	d.countedAt = now
	if now.Sub(s.startsHeldAt) < heldRecently {
		d.held += passed
	}
	if s.yielding(now) {
		d.yielded += passed
	}
	if s.PlacementPausedFor(now) > 0 {
		d.starts.paused += passed
	}
	if now.Sub(d.since) < delayNoteInterval {
		return
	}
	if d.unwatched.count > 0 || d.steps.count > 0 {
		s.note(Note{Kind: NoteDelays, AgeMs: now.Sub(d.since).Milliseconds(), Detail: fmt.Sprintf(
			"polls %s; ends unwatched %s; records %s; next steps %s; orders held %s, polls yielded %s; %d decisions",
			&d.polls, &d.unwatched, &d.records, &d.steps, d.held.Round(time.Millisecond), d.yielded.Round(time.Millisecond), d.decisions,
		)})
	}
	s.noteStarts(now, now.Sub(d.since), d.held)
	*d = delays{since: now, countedAt: now}
}

// countPoll notes that a poll is sent, before the worker's state says so.
func (s *State) countPoll(now time.Time, w *workers.Worker) {
	if len(w.Runs) == 0 || w.NextPollAt.IsZero() {
		return
	}
	s.delays.polls.add(now.Sub(w.NextPollAt))
	w.Unwatched = now.Sub(w.LastAnswerAt)
}

// countStart notes that a task of a step is ordered to start. It counts the first of each step after a job's first.
func (s *State) countStart(now time.Time, u *jobs.Unit) {
	if u.Step == 0 || u.Lasting() || u.HasStarted {
		return
	}
	s.delays.steps.add(now.Sub(u.ReadyAt))
}
