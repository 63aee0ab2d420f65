package cell

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

const (
	// leaseDuration is how long a worker keeps its runs without a renewal. It outlasts a simultaneous crash of all entry
	// hosts (1.4 s on the platform's sites, and about a second until the first poll after it). It is also the most
	// time that the crash of a worker costs its tasks.
	leaseDuration = 3500 * time.Millisecond
	// lookWait is how long a worker with runs may wait for one of them to end before it answers a poll. It sets how
	// often the leader gets readings, which workers renew every half second, and renews the lease.
	lookWait = 500 * time.Millisecond
	// idleWait is lookWait for a worker without runs.
	idleWait = time.Second
	// lookSlack is the least time that a poll may take beyond the wait that it asks for.
	lookSlack = 600 * time.Millisecond
	// pollRetryPause is the pause after a failed poll.
	pollRetryPause = 200 * time.Millisecond
	// loadingPollPause is the pause between polls of a worker while the leader loads the cell's jobs.
	loadingPollPause = pollRetryPause / 4
	// ackPause is the pause after a poll that brought ends, while these are not recorded: the worker would list them
	// again at once.
	ackPause = 150 * time.Millisecond
	// heardWithin is the greatest age of a worker's last answer at which it gets new work.
	heardWithin = idleWait + time.Second
	// LongestLease bounds the lease that any leader grants.
	LongestLease = leaseDuration + leaseSlack
	// leaseSlack covers a predecessor's grant that was computed from a fresher reading of the worker's clock than this
	// leader's first one.
	leaseSlack = 500 * time.Millisecond
)

// leaseSpan returns the length of the leases that this leader grants, within the deployment's bound.
func (s *State) leaseSpan() time.Duration {
	if s.bounds.MaxLease > 0 {
		return min(leaseDuration, s.bounds.MaxLease)
	}
	return leaseDuration
}

// takeListed handles the rows of the cell's workers in the worker registry. A worker that has no row any more is kept:
// its runs may still go on.
func (s *State) takeListed(now time.Time, e WorkersListed) {
	named := map[string]bool{}
	for _, r := range e.Records {
		if born, over := s.over[r.ID]; over && born == r.Born {
			continue // the row of an ended incarnation stays for a while, or is written again late
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
		s.applyRecord(now, w, r)
	}
	for _, w := range s.sorted() {
		if !named[w.ID] {
			s.placeNow = s.placeNow || w.Listed
			w.RowGone(now)
		}
	}
}

// applyRecord updates a worker from its row. A process that holds the leadership keeps a row of another incarnation aside
// until the worker's next answer shows which incarnation runs.
func (s *State) applyRecord(now time.Time, w *workers.Worker, r workers.Record) {
	if w.OtherLife(r) {
		if s.Holds() {
			if w.TakeOtherRow(now, r) {
				w.LookAnew(now)
			}
			return
		}
		w.Leaving, w.LeavingAt = false, time.Time{} // the incarnation before was leaving
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
		r.Capacity = w.Capacity // the same row as before: an answer may have reported a newer capacity since
	}
	w.Record = r
	s.capacityChanged(w, room)
	w.RowGoneAt = time.Time{}
	w.Leaving = leaving || r.Leaving // an incarnation that leaves never takes work again
	w.Listed = true
}

// capacityChanged handles a change of a worker's capacity. Runs that no longer fit go on, because a stop would cost their
// work and the capacity comes back. No more runs start there until they fit.
func (s *State) capacityChanged(w *workers.Worker, before ledger.Size) {
	if w.Capacity == before {
		return
	}
	s.placeNow = true
	s.noteIfHeld(Note{What: NoteWorkerRoom, Worker: w.ID, Detail: fmt.Sprintf("now %+v, was %+v; free %+v", w.Capacity, before, w.Free()), AgeMs: -1})
}

// ------------------------------------------------------------------ polls

// look sends the polls that are due.
func (s *State) look(now time.Time) {
	for _, w := range s.sorted() {
		if w.Gone || w.Looking || now.Before(w.LookAt) || w.Address == "" {
			continue
		}
		s.sendPoll(now, w)
	}
}

// sendPoll polls a worker. The poll acknowledges recorded ends, and renews the lease if the worker is not silent.
func (s *State) sendPoll(now time.Time, w *workers.Worker) {
	s.advanceRecorded(w)
	l := workers.Look{Fence: s.epoch, Recorded: w.Recorded}
	if w.InDoubt() {
		l.Recorded = 0 // another incarnation would forget its own ends with these numbers
	}
	if w.Clocked() && w.SilentSince.IsZero() {
		// A silent worker gets no renewal, so its lease surely expires.
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

// takeLooked handles the outcome of the last poll of a worker.
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
		w.LookAt = now.Add(pollRetryPause)
		return
	case e.Refusal == workers.RefusedLife:
		s.lifeOver(now, w, "another incarnation answers at its address")
		return
	case e.Refusal != workers.RefusedNot:
		s.lookFailed(now, w, string(e.Refusal))
		return
	}
	s.takeIncarnation(now, w, e)
	s.unheardAnswers(now, w)
	s.workerAnswered(now, w, e.Report.Clock)
	if room := e.Report.Room; room != nil {
		before := w.Capacity
		w.Capacity = *room
		s.capacityChanged(w, before)
	}
	s.resolveSilent(now, false, func(r silentRun) bool { return r.worker == w.ID && r.born == w.Born })
	s.endOtherIncarnations(now, w, e.SentAt)
	if s.phase == loading || s.phase == following {
		// The lists are of no use before the jobs are loaded.
		w.Heard = false
		w.LookAt = now.Add(loadingPollPause)
		return
	}
	before := w.Seen
	for _, end := range e.Report.Ended {
		s.takeEnd(now, w, end)
	}
	s.reconcileActive(now, w, e)
	s.learnPress(now, w)
	switch {
	case s.phase == releasing:
		w.LookAt = now.Add(pollRetryPause)
	case w.Seen > before || len(e.Report.Ended) > 0:
		w.LookAt = now.Add(ackPause) // partDurable makes the next poll due earlier
	default:
		w.LookAt = now
	}
}

// workerAnswered handles an answer of a worker to a poll; clock is the worker's clock.
func (s *State) workerAnswered(now time.Time, w *workers.Worker, clock time.Duration) {
	w.TakeClock(now, clock)
	w.AnsweredAt, w.Failures = now, 0
	if !w.Heard {
		w.Heard, w.HeardAt = true, now
		if !w.SilentSince.IsZero() {
			w.SureFrom = now // a write of a membership row without the worker may still be in flight
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

// endOtherIncarnations ends the other incarnations on the host of w that were known before the leader sent the poll which w
// has answered. The worker registry does not suffice for this, because rows of ended incarnations are sometimes written
// again late.
func (s *State) endOtherIncarnations(now time.Time, w *workers.Worker, sentAt time.Time) {
	if w.Host == "" {
		return
	}
	s.resolveSilent(now, true, func(r silentRun) bool {
		return r.host == w.Host && (r.worker != w.ID || r.born != w.Born) && r.at.Before(sentAt)
	})
	s.endUnreachedOnHost(now, w)
	for _, other := range s.sorted() {
		if other != w && other.Host == w.Host && other.KnownAt.Before(sentAt) && !other.Gone {
			s.lifeOver(now, other, "its host runs "+w.ID)
		}
	}
}

// lookFailed handles a poll without a usable answer. The worker counts as silent from the first one. After
// failuresSilent in a row, fellSilent records the silence as evidence against the tasks there.
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
	w.LookAt = now.Add(pollRetryPause)
}

// advanceRecorded advances w.Recorded, the newest end that the worker may forget.
func (s *State) advanceRecorded(w *workers.Worker) {
	if s.unsafe.NoRecorded {
		w.Recorded = w.Seen
		return
	}
	w.Recorded = s.recordedEnd(w)
}
