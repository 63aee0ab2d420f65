package cell

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

const (
	// startValidFor is how long a start order may be carried out, by the worker's clock. Some orders are
	// carried out seconds late.
	startValidFor = 2 * time.Second
	// orderOverheadBytes is the size in bytes of a start order without its body, checkpoint and ticket: the
	// headers, the task's name and the field names, as counted on the wire.
	orderOverheadBytes = 330
	// heldNoteInterval is the least time between two log lines about held back start orders.
	heldNoteInterval = time.Second
	// maxStartTries is how often a start order without an answer is sent in all. Each try names the same
	// run, so that a worker which has begun the run already says so.
	maxStartTries = 3
	// refusedStartDelay is how long a task waits after a refused start. The reason for the refusal may pass.
	refusedStartDelay = 100 * time.Millisecond
	// runsPerEpoch is the size of an epoch's range of run numbers. Ranges don't overlap because a
	// successor doesn't know which numbers its predecessor has used.
	runsPerEpoch = 1_000_000
)

// nextRunNumber returns a run number above all that were used in this cell.
func (s *State) nextRunNumber() int64 {
	s.runSerial++
	return s.epoch*runsPerEpoch + s.runSerial
}

// startRun orders a run of a task at a worker, and counts the run as running there from now on.
func (s *State) startRun(now time.Time, w *workers.Worker, t *jobs.Task, number int64, ticket string) {
	r := &jobs.Run{
		Task: t, Number: number, Worker: w.ID, At: incarnationOf(w), State: jobs.Sent, SentAt: now, ProgressAt: now,
		Pace: 100, PaceWanted: 100, Ticket: ticket, Resumed: t.Checkpoint != "", Isolated: s.needsIsolation(t),
	}
	if r.Isolated {
		s.closedWorkers[w] = true
		s.isolatedRuns++
	}
	t.Runs = append(t.Runs, r)
	s.countStart(now, t.Unit)
	t.Unit.HasStarted = true
	t.MayHaveRun, t.IsolationWaived, t.IsolationWaitSince = true, false, time.Time{}
	s.placesTaken.count(w, t)
	w.Add(r)
	s.urgentStarted(t.Unit)
	if soon := now.Add(s.pollPause(now, w)); (len(w.Runs) == 1 || s.yielding(now)) && w.NextPollAt.After(soon) {
		w.NextPollAt = soon // it was idle and may be polled seldom, or its polls yield and the run's may not
	}
	w.Health.ProbeStarted(now)
	s.placeCosts.startedAt(w)
	j := t.Unit.Job
	s.forecastBegan(j)
	s.note(Note{
		Kind: NoteStart, Job: j.Spec.GetId(), Task: t.Name(), Run: number, Worker: w.ID, AgeMs: now.Sub(w.LastAnswerAt).Milliseconds(),
		Detail: fmt.Sprintf("after %s, %d millicores left, checkpoint %q", now.Sub(j.AcceptedAt).Round(time.Millisecond), w.FreeCapacity().Millicores, t.Checkpoint),
	})
	s.sendStart(now, w, r)
}

// sendStart sends the start order of a run, for the first time or once more.
func (s *State) sendStart(now time.Time, w *workers.Worker, r *jobs.Run) {
	r.SendCount++
	until := w.GrantLease(now, startValidFor)
	r.ValidUntil = max(r.ValidUntil, until)
	order := workers.Start{
		Fence: s.epoch, Task: r.Task.Name(), Run: r.Number, Body: r.Task.Unit.Job.Spec.GetBody(),
		Until: until, Checkpoint: r.Task.Checkpoint, Ticket: r.Ticket,
	}
	bytes := orderOverheadBytes + len(order.Body) + len(order.Checkpoint) + len(order.Ticket)
	s.startWindow.Sent(bytes)
	s.delays.starts.ordered++
	s.delays.starts.bytes += int64(bytes)
	s.emit(SendStart{To: target(w), Start: order, Timeout: s.startWindow.Timeout(), Bytes: bytes})
}

// mayOrderStart reports whether the window of bytes in flight has space for one more start order. If it has
// none, the log says so at intervals: tasks then wait although workers have capacity.
func (s *State) mayOrderStart(now time.Time) bool {
	if !s.enabled(OrderWindow) || s.startWindow.MaySend() {
		return true
	}
	if now.Sub(s.startsHeldAt) >= heldRecently {
		s.startsHeldSince = now
	}
	s.startsHeldAt = now
	if now.Sub(s.startsHeldLoggedAt) >= heldNoteInterval {
		s.startsHeldLoggedAt = now
		s.note(Note{
			Kind: NoteOrdersHeld, AgeMs: -1,
			Detail: fmt.Sprintf("%d of %d bytes in flight, answers take %s", s.startWindow.InFlight(), s.startWindow.Size(), s.startWindow.MeanAnswerTime().Round(time.Millisecond)),
		})
	}
	return false
}

// updateWindow updates the window of bytes in flight by the time that the answer to a start order took, or that
// passed without an answer.
func (s *State) updateWindow(now time.Time, e StartAnswered) {
	s.delays.starts.answered(e)
	if e.Err != nil {
		s.startWindow.Unanswered(now, e.RoundTrip-e.Lag, e.Bytes)
	} else {
		s.startWindow.Answered(now, e.RoundTrip, e.Lag, e.Bytes)
	}
	s.placementDue = s.placementDue || s.startWindow.Refilled()
}

// takeStartAnswered handles the outcome of a start order.
func (s *State) takeStartAnswered(now time.Time, e StartAnswered) {
	s.updateWindow(now, e)
	w := s.workers[e.Worker]
	t := s.taskNamed(e.Task)
	if w == nil || t == nil {
		return
	}
	if e.Err == nil {
		s.handleReply(now, w, e.Reply)
	}
	r := t.Run(e.Run, e.Worker)
	if r == nil || (r.State != jobs.Sent && r.State != jobs.Unanswered) {
		return
	}
	switch {
	case e.Err != nil && fault.CodeOf(e.Err) == fault.NotRun && r.SendCount == 1:
		s.undoRefusedStart(now, w, r, e.Err.Error())
	case e.Err != nil:
		s.retryStart(now, w, r, e.Err, e.Lag)
	case e.Reply.Refusal == workers.NotRefused:
		r.AckedAt = now
		s.runBegan(now, r, e.Reply.Clock)
	case e.Reply.Refusal == workers.RefusedSuperseded:
		// The worker has had a run with this number or a higher one. The worker's lists show the outcome of this run.
		r.State = jobs.Unanswered
		r.ValidUntil = w.MinClock(now)
	case r.SendCount > 1:
		// An earlier try may still be carried out.
		r.State = jobs.Unanswered
	default:
		s.undoRefusedStart(now, w, r, string(e.Reply.Refusal))
	}
}

// undoRefusedStart takes back a run whose start order certainly had no effect: its task waits for another start.
func (s *State) undoRefusedStart(now time.Time, w *workers.Worker, r *jobs.Run, why string) {
	t := r.Task
	w.Remove(r)
	t.RemoveRun(r)
	t.RetryAt = now.Add(refusedStartDelay)
	s.note(Note{
		Kind: NoteStartRefused, Job: t.Unit.Job.Spec.GetId(), Task: t.Name(), Run: r.Number, Worker: w.ID, Detail: why,
		AgeMs: now.Sub(r.SentAt).Milliseconds(),
	})
	if why == string(workers.RefusedTicket) {
		s.dropTicket(t.Unit, w)
	}
	if why == string(workers.RefusedNoCapacity) || why == string(workers.RefusedBusy) {
		w.Health.StartRefused(why, now)
		s.noteQuarantined(w)
	}
	since := t.Unit.ReadyAt
	s.updateWaiting(now, t.Unit.Job)
	t.Unit.ReadyAt = since // nothing ran, so the wait goes on
	s.updateRecordedWait(now, t)
}

// retryStart handles a start order without an answer: the run may have begun. The order is sent
// again, unless the worker takes no new work any more; a worker that has begun the run says so.
func (s *State) retryStart(now time.Time, w *workers.Worker, r *jobs.Run, err error, lag time.Duration) {
	if r.State == jobs.Sent {
		r.State = jobs.Unanswered
		s.note(Note{
			Kind: NoteStartUnsure, Job: r.Task.Unit.Job.Spec.GetId(), Task: r.Task.Name(), Run: r.Number, Worker: w.ID,
			Detail: fmt.Sprintf("valid until the worker's clock shows %s, now at least %s: %s; %s without a processor", r.ValidUntil.Round(time.Millisecond), w.MinClock(now).Round(time.Millisecond), err, lag.Round(time.Millisecond)),
			AgeMs:  now.Sub(r.SentAt).Milliseconds(),
		})
	}
	if r.SendCount < maxStartTries && w.SilentSince.IsZero() && w.Listed && !w.Leaving && !r.Task.Unit.Job.Ended() && s.phase == leading && !s.evacuating() {
		s.sendStart(now, w, r)
	}
}

// takePaceAnswered handles the outcome of a pace order.
func (s *State) takePaceAnswered(now time.Time, e PaceAnswered) {
	w := s.workers[e.Worker]
	t := s.taskNamed(e.Task)
	if w == nil || t == nil {
		return
	}
	if e.Err == nil {
		s.handleReply(now, w, e.Reply)
	}
	r := t.Run(e.Run, e.Worker)
	if r == nil {
		return
	}
	r.PaceSending = false
	if e.Err == nil && e.Reply.Refusal == workers.NotRefused {
		r.Pace, r.PacedAt = e.Percent, now
	}
}
