package hall

import (
	"cmp"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/leadership"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Messages to workers. One message carries all that a worker is to know: its
// lease, starts, stops, throttles, and which ended attempts are recorded. One
// message a worker is under way at a time; each carries the next sequence
// number, and a worker refuses an older one.

const (
	// syncsPerLease is how many messages fit into a lease.
	syncsPerLease = 5
	// minSyncInterval is the least time between two messages to one worker.
	minSyncInterval = 25 * time.Millisecond
)

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

// grant writes the lease into the message, if there is one to give. No lease
// reaches past the end of the tenure. In the model: Leader.grant.
func (s *State) grant(now time.Time, w *worker, req *wire.SyncRequest) bool {
	if !s.leadership.MayGrant(now) || w.markReceivedAt.IsZero() || w.registeredIncarnation == "" || w.registeredIncarnation != w.reportedIncarnation {
		return false
	}
	span := min(s.fleet().Lease, s.leadership.TenureEnd().Sub(w.markReceivedAt))
	if !now.Before(w.markReceivedAt.Add(span)) {
		return false // the mark is too old to grant from: ask for a new one
	}
	s.longestLease = max(s.longestLease, span)
	req.LeaseUntilMark = w.mark + span.Milliseconds()
	w.leaseExpiresAt = laterOf(w.leaseExpiresAt, w.markReceivedAt.Add(leadership.WithMargin(span)))
	return true
}

// addStarts adds the starts of what is placed here, surely committed, and has
// room. Tasks that were committed ahead start here as room comes free, without
// any write.
func (s *State) addStarts(now time.Time, w *worker, req *wire.SyncRequest) {
	if !w.reached {
		return
	}
	for _, t := range s.startable(w) {
		if !w.account.Holds(t.attemptName()) && !t.size().Fits(s.openCapacity(w)) && !s.unsafe.NoLedger {
			continue // the room was made for urgent work
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

// reserve books room; without it nothing is started.
func (s *State) reserve(w *worker, t *task) bool {
	if s.unsafe.NoLedger {
		w.account.Adopt(t.attemptName(), t.size())
		return true
	}
	return w.account.Reserve(t.attemptName(), t.size())
}

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

// addStops adds the stops that were asked for, and those of strays: attempts
// that run here but are not, or no longer, this worker's to run.
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

// addRecorded lists ended attempts that the worker may forget: those whose end
// the table holds, and those that the table has moved past. In the model:
// Leader.recorded.
func (s *State) addRecorded(w *worker, req *wire.SyncRequest) {
	for _, r := range w.runs {
		if r.GetState() != wire.RunState_RUN_STATE_RUNNING && s.isRecorded(r) {
			req.Recorded = append(req.Recorded, &wire.Stop{TaskId: r.GetTaskId(), Attempt: r.GetAttempt()})
		}
	}
}

func (s *State) isRecorded(r *wire.Run) bool {
	t := s.tasks[r.GetTaskId()]
	if t == nil || s.unsafe.NoRecorded {
		return true
	}
	return t.committed.GetAttempt() > r.GetAttempt() || terminal(t.committed.GetState()) && t.committed != nil
}
