package cell

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

const (
	// lease is how long a worker holds what runs without renewal. It outlasts
	// the death of all hosts at once (1.4 s on the platform's sites, and about
	// a second until the first look after it), and is what a worker that
	// crashed costs its tasks at most.
	lease = 3500 * time.Millisecond
	// lookWait is how long a look waits for an end. It is the pace of readings
	// (workers renew them every half second) and of renewals.
	lookWait = 500 * time.Millisecond
	// idleWait is the same where nothing runs.
	idleWait = time.Second
	// lookSlack is what a look may take beyond the wait that it asks for, at least.
	lookSlack = 600 * time.Millisecond
	// lookAgain is the pause after a look that failed.
	lookAgain = 200 * time.Millisecond
	// ackPause is how long a look that brought ends is followed by none, while
	// they are not recorded: their worker would list them again at once.
	ackPause = 150 * time.Millisecond
	// heardWithin is how fresh a worker's last answer must be for new work.
	heardWithin = idleWait + time.Second
	// LongestLease bounds what any leader grants.
	LongestLease = lease + leaseSlack
	// leaseSlack covers a forerunner's grant that was counted from a fresher
	// reading of the worker's clock than our first one.
	leaseSlack = 500 * time.Millisecond
)

// leaseSpan is the lease to ask for, within what the deployment allows.
func (s *State) leaseSpan() time.Duration {
	if s.bounds.MaxLease > 0 {
		return min(lease, s.bounds.MaxLease)
	}
	return lease
}

// takeListed takes in the list of workers. One that it no longer names may
// still run what it was given.
func (s *State) takeListed(now time.Time, e WorkersListed) {
	named := map[string]bool{}
	for _, r := range e.Records {
		if born, over := s.over[r.ID]; over && born == r.Born {
			continue // its row outlives it for a while, or comes back late
		}
		named[r.ID] = true
		w := s.workers[r.ID]
		if w == nil {
			w = workers.New(r)
			w.KnownAt = now
			s.workers[r.ID] = w
			s.reorder = true
			s.noteIfHeld(Note{What: NoteWorkerNew, Worker: r.ID, Detail: fmt.Sprintf("%s at %s, %+v, labels %v, born %d", r.Service, r.Address, r.Capacity, r.Labels, r.Born), AgeMs: -1})
		}
		s.takeRecord(now, w, r)
	}
	for _, w := range s.sorted() {
		if !named[w.ID] {
			s.placeNow = s.placeNow || w.Listed
			w.RowGone(now)
		}
	}
}

func (s *State) takeRecord(now time.Time, w *workers.Worker, r workers.Record) {
	if w.OtherLife(r) {
		if s.Holds() {
			if w.TakeOtherRow(now, r) {
				w.LookAnew(now)
			}
			return
		}
		w.Leaving, w.LeavingAt = false, time.Time{} // that was the life before
	}
	if r.Leaving && w.LeavingAt.IsZero() {
		w.LeavingAt = now
	}
	if r.Leaving && !w.Leaving {
		s.noteIfHeld(Note{What: NoteWorkerLeaves, Worker: r.ID, Detail: r.Remaining.String(), AgeMs: -1})
	}
	if r.Born == 0 {
		r.Born = w.Born
	}
	if r.Ready != w.Ready || r.Leaving != w.Leaving || !w.Listed {
		s.placeNow = true
	}
	leaving, room := w.Leaving, w.Capacity
	if r.Version != 0 && r.Version == w.Version && w.Listed {
		r.Capacity = w.Capacity // the same row as before: an answer may have said more since
	}
	w.Record = r
	s.roomChanged(w, room)
	w.RowGoneAt = time.Time{}
	w.Leaving = leaving || r.Leaving // a life that leaves never comes back
	w.Listed = true
}

// roomChanged takes in that a worker says otherwise of its room than before. What runs there goes on:
// a stop would cost its work, and the room comes back; nothing more is started until it fits.
func (s *State) roomChanged(w *workers.Worker, before ledger.Size) {
	if w.Capacity == before {
		return
	}
	s.placeNow = true
	s.noteIfHeld(Note{What: NoteWorkerRoom, Worker: w.ID, Detail: fmt.Sprintf("%+v, was %+v; left %+v", w.Capacity, before, w.Free()), AgeMs: -1})
}

// ------------------------------------------------------------------ looks

// look sends the looks that are due.
func (s *State) look(now time.Time) {
	for _, w := range s.sorted() {
		if w.Gone || w.Looking || now.Before(w.LookAt) || w.Address == "" {
			continue
		}
		s.sendLook(now, w)
	}
}

func (s *State) sendLook(now time.Time, w *workers.Worker) {
	s.acknowledge(w)
	l := workers.Look{Fence: s.epoch, Recorded: w.Recorded}
	if w.InDoubt() {
		l.Recorded = 0 // another life would forget ends of its own that have these numbers
	}
	if w.Clocked() && w.SilentSince.IsZero() {
		// A silent worker gets no renewal, so that its lease runs out for sure.
		l.Until = w.Grant(now, s.leaseSpan())
		l.Wait = idleWait
		if len(w.Runs) > 0 {
			l.Wait = lookWait
		}
		if s.phase != leading || !w.Heard {
			l.Wait = 0
		}
	}
	w.Looking, w.LookSentAt = true, now
	to := target(w)
	to.Address = w.LookAddress()
	s.emit(SendLook{To: to, Look: l, Timeout: l.Wait + max(lookSlack, s.orders.Timeout())})
}

func (s *State) takeLooked(now time.Time, e Looked) {
	w := s.workers[e.Worker]
	if w == nil || !e.SentAt.Equal(w.LookSentAt) || !w.Looking {
		return
	}
	w.Looking = false
	switch {
	case e.Err != nil:
		s.lookFailed(now, w, e.Err.Error())
		return
	case e.Refusal == workers.RefusedFence:
		s.emit(StepDown{Why: "worker " + w.ID + " knows a higher epoch"})
		w.LookAt = now.Add(lookAgain)
		return
	case e.Refusal == workers.RefusedLife:
		s.lifeOver(now, w, "another life answers at its address")
		return
	case e.Refusal != workers.RefusedNot:
		s.lookFailed(now, w, string(e.Refusal))
		return
	}
	s.takeLife(now, w, e)
	s.unheardAnswers(now, w)
	s.heard(now, w, e.Report.Clock)
	if room := e.Report.Room; room != nil {
		before := w.Capacity
		w.Capacity = *room
		s.roomChanged(w, before)
	}
	s.resolveSilent(now, false, func(r silentRun) bool { return r.worker == w.ID && r.born == w.Born })
	s.otherLivesOver(now, w, e.SentAt)
	if s.phase == loading || s.phase == following {
		// Before the jobs are loaded, nothing can be said of the lists.
		w.Heard = false
		w.LookAt = now.Add(lookAgain / 4)
		return
	}
	before := w.Seen
	for _, end := range e.Report.Ended {
		s.takeEnd(now, w, end)
	}
	s.takeActive(now, w, e)
	s.learnPress(now, w)
	switch {
	case s.phase == releasing:
		w.LookAt = now.Add(lookAgain)
	case w.Seen > before || len(e.Report.Ended) > 0:
		w.LookAt = now.Add(ackPause) // takeRecorded brings it forward
	default:
		w.LookAt = now
	}
}

// heard takes in that a worker has answered.
func (s *State) heard(now time.Time, w *workers.Worker, clock time.Duration) {
	w.TakeClock(now, clock)
	w.AnsweredAt, w.Failures = now, 0
	if !w.Heard {
		w.Heard, w.HeardAt = true, now
		if !w.SilentSince.IsZero() {
			w.SureFrom = now // a write of the membership without it may still be on its way
		}
		w.Grant(now, s.leaseSpan()+leaseSlack)
		s.placeNow = true
	}
	if !w.SilentSince.IsZero() {
		s.scanNow = true
		s.note(Note{What: NoteWorkerHeard, Worker: w.ID, AgeMs: now.Sub(w.SilentSince).Milliseconds()})
		w.SilentSince = time.Time{}
		s.placeNow = true
	}
}

// otherLivesOver takes a host's other lives for over that were known before a look was
// sent which this life answered. (The list alone does not tell: rows of lives that are
// over come back late, written anew.)
func (s *State) otherLivesOver(now time.Time, w *workers.Worker, sentAt time.Time) {
	if w.Host == "" {
		return
	}
	s.resolveSilent(now, true, func(r silentRun) bool {
		return r.host == w.Host && (r.worker != w.ID || r.born != w.Born) && r.at.Before(sentAt)
	})
	s.hostAnswers(now, w)
	for _, other := range s.sorted() {
		if other != w && other.Host == w.Host && other.KnownAt.Before(sentAt) && !other.Gone {
			s.lifeOver(now, other, "its host runs "+w.ID)
		}
	}
}

func (s *State) lookFailed(now time.Time, w *workers.Worker, why string) {
	if w.SilentSince.IsZero() {
		w.SilentSince = now
		s.fell(now, w, now)
		s.note(Note{What: NoteWorkerSilent, Worker: w.ID, Detail: why, AgeMs: now.Sub(w.AnsweredAt).Milliseconds()})
	}
	w.Failures++
	if w.Failures == failuresSilent {
		s.fellSilent(now, w)
	}
	w.LookAt = now.Add(lookAgain)
}

// acknowledge moves up to which end the worker may forget.
func (s *State) acknowledge(w *workers.Worker) {
	if s.unsafe.NoRecorded {
		w.Recorded = w.Seen
		return
	}
	w.Recorded = s.recordedEnd(w)
}
