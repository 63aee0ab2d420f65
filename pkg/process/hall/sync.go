package hall

import (
	"cmp"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/leadership"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Messages to workers. One message carries the lease, starts, stops, throttles,
// and the ended attempts that the table has recorded. At most one message a
// worker awaits its reply; each has the next sequence number, and a worker
// refuses an older one.

const (
	// syncsPerLease is the number of regular messages to a worker in a lease time.
	syncsPerLease = 5
	// minSyncInterval is the minimum time between a worker's reply and an early
	// message to it.
	minSyncInterval = 25 * time.Millisecond
)

// syncWorkers sends a message to each worker for which one is due.
func (s *State) syncWorkers(now time.Time) {
	for _, w := range s.workers {
		if w.inFlight || w.address == "" {
			continue
		}
		due := !now.Before(w.nextSync)
		if !due && !(w.syncSoon && now.Sub(w.markReceivedAt) >= minSyncInterval) {
			continue
		}
		s.syncWorker(now, w)
	}
}

// syncWorker sends a message to a worker. A message without a lease
// carries no starts, stops, throttles or recorded ends.
func (s *State) syncWorker(now time.Time, w *worker) {
	s.sequence++
	req := &wire.SyncRequest{
		Hall:        s.hall,
		Epoch:       s.leadership.Epoch(),
		Sequence:    s.sequence,
		Incarnation: w.reportedIncarnation,
	}
	granted := s.grant(now, w, req)
	if granted && s.phase == leading {
		s.addStarts(now, w, req)
		s.addStops(w, req)
		s.addThrottles(w, req)
		s.addRecorded(w, req)
	}
	w.inFlight = true
	w.syncSoon = false
	w.nextSync = now.Add(s.fleet().Lease / syncsPerLease)
	s.emit(Sync{Worker: w.name, Address: w.address, Request: req})
}

// grant writes a lease into the message, and reports whether the worker may get
// one. No lease outlasts the leader's tenure. In the model: Leader.grant.
func (s *State) grant(now time.Time, w *worker, req *wire.SyncRequest) bool {
	if !s.leadership.MayGrant(now) || w.markReceivedAt.IsZero() || w.registeredIncarnation == "" || w.registeredIncarnation != w.reportedIncarnation {
		return false
	}
	span := min(s.fleet().Lease, s.leadership.TenureEnd().Sub(w.markReceivedAt))
	if !now.Before(w.markReceivedAt.Add(span)) {
		return false // a lease from this mark would be over: the reply brings a new mark
	}
	s.longestLease = max(s.longestLease, span)
	req.LeaseUntilMark = w.mark + span.Milliseconds()
	w.leaseExpiresAt = laterOf(w.leaseExpiresAt, w.markReceivedAt.Add(leadership.WithMargin(span)))
	return true
}

// addStarts adds the starts of tasks that are placed on this worker, certainly
// committed, and fit in its free capacity. Tasks that were committed ahead start
// here as capacity comes free, without a write to the table.
func (s *State) addStarts(now time.Time, w *worker, req *wire.SyncRequest) {
	if !w.reached {
		return
	}
	for _, t := range s.startable(w) {
		if !w.account.HasReservation(t.attemptName()) && !t.size().Fits(s.openCapacity(w)) && !s.unsafe.NoLedger {
			continue // the free capacity is reserved for an urgent task
		}
		if !s.reserve(w, t) {
			continue
		}
		if !t.startSent {
			s.note(now, t.object(), TaskStarted, w.name)
		}
		t.startSent = true
		req.Starts = append(req.Starts, &wire.Start{
			TaskId:     t.row.GetId(),
			Attempt:    t.row.GetAttempt(),
			Size:       t.row.GetSize(),
			Kind:       t.row.GetKind(),
			Service:    t.row.GetService(),
			Checkpoint: t.row.GetCheckpoint(),
			Body:       t.job.row.GetBody(),
		})
	}
}

// reserve books capacity for a task in the worker's ledger, and reports whether
// there was enough. No task starts without a reservation.
func (s *State) reserve(w *worker, t *task) bool {
	if s.unsafe.NoLedger {
		w.account.Adopt(t.attemptName(), t.size())
		return true
	}
	return w.account.Reserve(t.attemptName(), t.size())
}

// startable returns the committed tasks of a worker that do not run yet, by
// priority.
func (s *State) startable(w *worker) []*task {
	list := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		if t.isCommitted() && !t.running && t.stop == notStopping && t.row.GetIncarnation() == w.registeredIncarnation {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *task) int {
		return cmp.Or(cmp.Compare(b.row.GetPriority(), a.row.GetPriority()), cmp.Compare(a.row.GetId(), b.row.GetId()))
	})
	return list
}

// addStops adds the requested stops, and stops of attempts that run on
// this worker without being assigned to it, or no longer.
func (s *State) addStops(w *worker, req *wire.SyncRequest) {
	for _, t := range w.tasks {
		if t.stop != notStopping && t.startSent {
			req.Stops = append(req.Stops, &wire.Stop{
				TaskId: t.row.GetId(), Attempt: t.row.GetAttempt(), Checkpoint: t.stop != cancelled,
			})
		}
	}
	for name, r := range w.runs {
		if r.GetState() == wire.RunState_RUN_STATE_RUNNING && !s.isAssigned(w, name) {
			req.Stops = append(req.Stops, &wire.Stop{TaskId: r.GetTaskId(), Attempt: r.GetAttempt()})
		}
	}
}

// addThrottles adds the throttles that differ from what the worker reports.
func (s *State) addThrottles(w *worker, req *wire.SyncRequest) {
	for _, t := range w.tasks {
		r := w.runs[t.attemptName()]
		if r != nil && t.running && t.throttlePercent != r.GetThrottlePercent() {
			req.Throttles = append(req.Throttles, &wire.Throttle{
				TaskId: t.row.GetId(), Attempt: t.row.GetAttempt(), Percent: t.throttlePercent,
			})
		}
	}
}

// addRecorded lists the ended attempts that the worker may forget: the table
// holds their end or a later attempt. In the model: Leader.recorded.
func (s *State) addRecorded(w *worker, req *wire.SyncRequest) {
	for _, r := range w.runs {
		if r.GetState() != wire.RunState_RUN_STATE_RUNNING && s.isRecorded(r) {
			req.Recorded = append(req.Recorded, &wire.Stop{TaskId: r.GetTaskId(), Attempt: r.GetAttempt()})
		}
	}
}

// isRecorded reports whether the worker may forget an ended attempt: its task is
// gone, or the table holds a terminal state or a later attempt.
func (s *State) isRecorded(r *wire.Run) bool {
	t := s.tasks[r.GetTaskId()]
	if t == nil || s.unsafe.NoRecorded {
		return true
	}
	return t.committed.GetAttempt() > r.GetAttempt() || terminal(t.committed.GetState()) && t.committed != nil
}
