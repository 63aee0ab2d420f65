package cell

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

const (
	// leaseDuration is how long a worker keeps its runs without a renewal. It outlasts a simultaneous crash of all
	// entry hosts (1.4 s on the platform's sites, and about a second until the first poll after it). It is also the
	// most time that the crash of a worker costs its tasks.
	leaseDuration = 3500 * time.Millisecond
	// pollWait is how long a worker with runs may wait for one of them to end before it answers a poll. It sets how
	// often the leader renews the lease and gets readings. Workers take new readings every half second.
	pollWait = 500 * time.Millisecond
	// idlePollWait is pollWait for a worker without runs.
	idlePollWait = time.Second
	// pollSlack is by how much the timeout of a poll exceeds the wait that the poll asks for, at least.
	pollSlack = 600 * time.Millisecond
	// pollRetryPause is the pause after a failed poll.
	pollRetryPause = 200 * time.Millisecond
	// loadingPollPause is the pause between polls of a worker while the leader loads the cell's jobs. These polls only
	// renew leases, at least twice in the time of one. More of them would delay the load on a slow host.
	loadingPollPause = time.Second
	// ackPause is the pause after a poll that brought ends, while these are not recorded: the worker would list them
	// again at once.
	ackPause = 150 * time.Millisecond
	// maxAnswerAge is the greatest age of a worker's last answer at which it gets new work.
	maxAnswerAge = idlePollWait + time.Second
	// LongestLease bounds the lease that any leader grants.
	LongestLease = leaseDuration + leaseSlack
	// leaseSlack is added to the lease that a leader assumes at a worker's first answer. A predecessor may have
	// computed its grant from a fresher reading of the worker's clock than this leader's first one, so that its lease
	// ends later.
	leaseSlack = 500 * time.Millisecond
)

// leaseSpan returns the length of the leases that this leader grants, within the deployment's bound.
func (s *State) leaseSpan() time.Duration {
	if s.bounds.MaxLease > 0 {
		return min(leaseDuration, s.bounds.MaxLease)
	}
	return leaseDuration
}

// takeRegistry handles the rows of the cell's workers in the worker registry. A worker that has no row any more is
// kept: its runs may still go on.
func (s *State) takeRegistry(now time.Time, e WorkersListed) {
	named := map[string]bool{}
	for _, r := range e.Records {
		if born, over := s.endedIncarnations[r.ID]; over && born == r.Born {
			continue // the row of an ended incarnation stays for a while, or is written again late
		}
		named[r.ID] = true
		w := s.workers[r.ID]
		if w == nil {
			w = workers.New(r)
			w.KnownAt = now
			s.workers[r.ID] = w
			s.orderStale = true
			s.noteIfLeading(Note{Kind: NoteWorkerNew, Worker: r.ID, Detail: fmt.Sprintf("%s at %s, %+v, labels %v, born %d", r.Service, r.Address, r.Capacity, r.Labels, r.Born), AgeMs: -1})
		}
		s.applyRecord(now, w, r)
	}
	for _, w := range s.workersByID() {
		if !named[w.ID] {
			s.placementDue = s.placementDue || w.Listed
			w.RowRemoved(now)
		}
	}
}

// applyRecord updates a worker from its row. A process that holds the leadership keeps a row of another incarnation
// apart until the worker's next answer shows which incarnation runs.
func (s *State) applyRecord(now time.Time, w *workers.Worker, r workers.Record) {
	if w.IsOtherIncarnation(r) {
		if s.HoldsLeadership() {
			if w.NoteOtherIncarnation(now, r) {
				w.PollNow(now)
			}
			return
		}
		w.Leaving, w.LeavingAt = false, time.Time{} // the incarnation before was leaving
	}
	if r.Leaving && w.LeavingAt.IsZero() {
		w.LeavingAt = now
	}
	if r.Leaving && !w.Leaving {
		s.noteIfLeading(Note{Kind: NoteWorkerLeaves, Worker: r.ID, Detail: r.Remaining.String(), AgeMs: -1})
	}
	if r.Born == 0 {
		r.Born = w.Born
	}
	if r.Ready != w.Ready || r.Leaving != w.Leaving || !w.Listed {
		s.placementDue = true
	}
	leaving, capacityBefore := w.Leaving, w.Capacity
	if r.Version != 0 && r.Version == w.Version && w.Listed {
		r.Capacity = w.Capacity // the same row as before: an answer may have reported a newer capacity since
	}
	w.Record = r
	s.capacityChanged(w, capacityBefore)
	w.RowRemovedAt = time.Time{}
	w.Leaving = leaving || r.Leaving // an incarnation that leaves never takes work again
	w.Listed = true
}

// capacityChanged handles a change of a worker's capacity. Runs that no longer fit go on, because a stop would cost
// their work and the capacity comes back. No more runs start there until they fit.
func (s *State) capacityChanged(w *workers.Worker, before ledger.Size) {
	if w.Capacity == before {
		return
	}
	s.placementDue = true
	s.noteIfLeading(Note{Kind: NoteWorkerRoom, Worker: w.ID, Detail: fmt.Sprintf("now %+v, was %+v; free %+v", w.Capacity, before, w.FreeCapacity()), AgeMs: -1})
}

// ------------------------------------------------------------------ polls

// pollWorkers sends the polls that are due.
func (s *State) pollWorkers(now time.Time) {
	for _, w := range s.workersByID() {
		if w.Ended || w.PollOutstanding || now.Before(w.NextPollAt) || w.Address == "" {
			continue
		}
		s.sendPoll(now, w)
	}
}

// maxIdlePolls is how many polls of workers without runs a leader makes a second.
const maxIdlePolls = 250

// updateIdlePause sets the pause between polls of workers without runs. Each of them is polled once per idlePollWait in
// a cell of up to maxIdlePolls such workers, and less often in a larger one.
func (s *State) updateIdlePause() {
	idle := 0
	for _, w := range s.workers {
		if len(w.Runs) == 0 {
			idle++
		}
	}
	s.idlePollPause = max(0, time.Duration(idle)*time.Second/maxIdlePolls-idlePollWait)
}

// pollAllNow makes a poll of each worker due, unless one is outstanding.
func (s *State) pollAllNow(now time.Time) {
	for _, w := range s.workersByID() {
		if w.SilentSince.IsZero() {
			w.NextPollAt = now
		}
	}
}

// sendPoll polls a worker. The poll acknowledges recorded ends, and renews the lease if the worker is not silent.
func (s *State) sendPoll(now time.Time, w *workers.Worker) {
	s.advanceRecorded(w)
	l := workers.Poll{Fence: s.epoch, Recorded: w.LastRecordedEnd}
	if w.MayHaveRestarted() {
		l.Recorded = 0 // another incarnation would forget its own ends with these numbers
	}
	if w.HasClock() && w.SilentSince.IsZero() {
		// A silent worker gets no renewal, so its lease is certain to expire.
		l.Until = w.GrantLease(now, s.leaseSpan())
		l.Wait = idlePollWait
		if len(w.Runs) > 0 {
			l.Wait = pollWait
		}
		if s.phase != leading || !w.HasAnswered {
			l.Wait = 0
		}
	}
	s.countPoll(now, w)
	w.PollOutstanding, w.PollSentAt = true, now
	to := target(w)
	to.Address = w.PollAddress()
	w.PollWait, w.PollTimeout = l.Wait, l.Wait+max(pollSlack, s.startWindow.Timeout())
	s.emit(SendPoll{To: to, Poll: l, Timeout: w.PollTimeout})
}

// takePollAnswered handles the outcome of the last poll of a worker.
func (s *State) takePollAnswered(now time.Time, e PollAnswered) {
	w := s.workers[e.Worker]
	if w != nil && e.Late {
		s.takeLateAnswer(now, w, e)
		return
	}
	if w == nil || !e.SentAt.Equal(w.PollSentAt) || !w.PollOutstanding {
		return
	}
	w.PollOutstanding = false
	switch {
	case e.Err != nil:
		s.pollFailed(now, w, fmt.Sprintf("%s; %s without a processor", e.Err, e.Lag.Round(time.Millisecond)))
		return
	case e.Refusal == workers.RefusedFence:
		s.emit(StepDown{Why: "worker " + w.ID + " knows a higher epoch"})
		w.NextPollAt = now.Add(pollRetryPause)
		return
	case e.Refusal == workers.RefusedOtherWorker:
		s.endIncarnation(now, w, "another worker answers at its address")
		return
	case e.Refusal != workers.NotRefused:
		s.pollFailed(now, w, string(e.Refusal))
		return
	}
	s.takeIncarnation(now, w, e)
	s.unreachedMemberAnswered(now, w)
	s.lostStartAnswered(now, w)
	s.workerAnswered(now, w, e)
	if capacity := e.Report.Capacity; capacity != nil {
		before := w.Capacity
		w.Capacity = *capacity
		s.capacityChanged(w, before)
	}
	s.resolveSilentRuns(now, false, func(r silentRun) bool { return r.worker == w.ID && r.born == w.Born })
	s.endOtherIncarnations(now, w, e.SentAt)
	if s.phase == loading || s.phase == following {
		// The lists are of no use before the jobs are loaded.
		w.HasAnswered = false
		w.NextPollAt = now.Add(loadingPollPause)
		return
	}
	before := w.LastEnd
	for _, end := range e.Report.Ended {
		s.takeEnd(now, w, end)
	}
	if e.Report.Clock >= w.LateClock { // else runs that it lists may have ended by the late answer
		s.reconcileActive(now, w, e)
		s.learnInterference(now, w)
	}
	switch {
	case s.phase == releasing:
		w.NextPollAt = now.Add(pollRetryPause)
	case w.LastEnd > before || len(e.Report.Ended) > 0:
		w.NextPollAt = now.Add(s.pollPause(now, w)) // partDurable makes the next poll due earlier
	case len(w.Runs) == 0:
		w.NextPollAt = now.Add(s.idlePollPause)
	default:
		w.NextPollAt = now
	}
}

// takeLateAnswer takes the ends in an answer that came after the poll's time-out. They are as final as those in any answer,
// while its list of active runs may be out of date.
func (s *State) takeLateAnswer(now time.Time, w *workers.Worker, e PollAnswered) {
	if e.Err != nil || e.Refusal != workers.NotRefused || s.phase == loading || s.phase == following || e.SentAt.Before(s.gainedAt) {
		return
	}
	if w.Ended || e.Report.Born != w.Born {
		return // the ends may be those of another incarnation, whose numbers are others
	}
	w.UpdateClock(now, e.Report.Clock)
	w.LateClock = max(w.LateClock, e.Report.Clock)
	if e.SentAt.After(w.AliveAt) {
		w.AliveAt = e.SentAt
	}
	for _, end := range e.Report.Ended {
		s.takeEnd(now, w, end)
	}
}

// workerAnswered handles an answer of a worker to a poll.
func (s *State) workerAnswered(now time.Time, w *workers.Worker, e PollAnswered) {
	w.UpdateClock(now, e.Report.Clock)
	if !w.LastAnswerAt.IsZero() {
		w.AnswerGap = now.Sub(w.LastAnswerAt)
	}
	w.LastAnswerAt, w.ListAskedAt, w.FailedPolls = now, e.SentAt, 0
	for _, alive := range []time.Time{e.SentAt, s.happenedAfter(now)} {
		if alive.After(w.AliveAt) {
			w.AliveAt = alive
		}
	}
	if !w.HasAnswered {
		w.HasAnswered, w.FirstAnswerAt = true, now
		if !w.SilentSince.IsZero() {
			w.UsableFrom = now // a write of a membership row without the worker may still be in flight
		}
		w.GrantLease(now, s.leaseSpan()+leaseSlack)
		s.placementDue = true
	}
	if !w.SilentSince.IsZero() {
		s.scanDue = true
		s.note(Note{Kind: NoteWorkerHeard, Worker: w.ID, AgeMs: now.Sub(w.SilentSince).Milliseconds()})
		w.SilentSince = time.Time{}
		s.placementDue = true
	}
}

// endOtherIncarnations ends the other incarnations on the host of w that were known before the leader sent the poll
// which w has answered. The worker registry does not suffice for this, because rows of ended incarnations are sometimes
// written again late.
func (s *State) endOtherIncarnations(now time.Time, w *workers.Worker, sentAt time.Time) {
	if w.Host == "" {
		return
	}
	s.resolveSilentRuns(now, true, func(r silentRun) bool {
		return r.host == w.Host && (r.worker != w.ID || r.born != w.Born) && r.at.Before(sentAt)
	})
	s.endUnreachedOnHost(now, w)
	for _, other := range s.workersByID() {
		if other != w && other.Host == w.Host && other.KnownAt.Before(sentAt) && !other.Ended {
			s.endIncarnation(now, other, "its host runs "+w.ID)
		}
	}
}

// pollFailed handles a poll without a usable answer. The worker counts as silent from the first one. After
// silentAfterFailures in a row, workerSilent records the silence as evidence against the tasks there.
func (s *State) pollFailed(now time.Time, w *workers.Worker, why string) {
	if w.SilentSince.IsZero() {
		w.SilentSince, s.inventory.readings = now, 0
		s.addSilence(now, w, s.latestAlive(now, w))
		s.note(Note{Kind: NoteWorkerSilent, Worker: w.ID, Detail: why, AgeMs: now.Sub(w.LastAnswerAt).Milliseconds()})
	}
	w.FailedPolls++
	if w.FailedPolls == silentAfterFailures {
		s.workerSilent(now, w)
	}
	w.NextPollAt = now.Add(pollRetryPause)
}

// advanceRecorded advances w.LastRecordedEnd, the newest end that the worker may forget.
func (s *State) advanceRecorded(w *workers.Worker) {
	if s.unsafe.NoRecorded {
		w.LastRecordedEnd = w.LastEnd
		return
	}
	w.LastRecordedEnd = s.lastRecordedEnd(w)
}
