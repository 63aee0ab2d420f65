package cell

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

const (
	// startValid is how long, by the worker's clock, an order to start may be
	// carried out: some are carried out seconds late.
	startValid = 2 * time.Second
	// orderOverhead is what an order takes beside its texts: its head, the task's name
	// and the fields' names (counted on the wire).
	orderOverhead = 330
	// heldNoteEvery bounds how often it is told that orders are held back.
	heldNoteEvery = time.Second
	// startTries is how often an order without an answer is sent, each time as
	// the same run: a worker that has it says so.
	startTries = 3
	// refusedPause is how long a task waits after a refusal that may pass.
	refusedPause = 100 * time.Millisecond
	// runsPerEpoch leaves room for the run numbers of one epoch below those of
	// the next: a successor doesn't know which its forerunner has used.
	runsPerEpoch = 1_000_000
)

// nextRun is a run number above all that this cell has used.
func (s *State) nextRun() int64 {
	s.runs++
	return s.epoch*runsPerEpoch + s.runs
}

// start orders a run of a task at a worker.
func (s *State) start(now time.Time, w *workers.Worker, t *jobs.Task, number int64, ticket string) {
	r := &jobs.Run{
		Task: t, Number: number, Worker: w.ID, State: jobs.Sent, SentAt: now, ProgressAt: now,
		Pace: 100, PaceWanted: 100, Ticket: ticket, Resumed: t.Checkpoint != "", OnTrial: s.triedAlone(t),
	}
	if r.OnTrial {
		s.closed[w] = true
		s.trialsOut++
	}
	t.Runs = append(t.Runs, r)
	t.Tried, t.IsolationWaived, t.IsolatedSince = true, false, time.Time{}
	w.Add(r)
	w.Health.TrialGiven(now)
	delete(s.neighbours, w)
	for at := range s.harms {
		if at.worker == w {
			delete(s.harms, at)
		}
	}
	j := t.Unit.Job
	s.note(Note{
		What: NoteStart, Job: j.Spec.GetId(), Task: t.Name(), Run: number, Worker: w.ID, AgeMs: now.Sub(w.AnsweredAt).Milliseconds(),
		Detail: fmt.Sprintf("after %s, %d millicores left, checkpoint %q", now.Sub(j.AcceptedAt).Round(time.Millisecond), w.Free().Millicores, t.Checkpoint),
	})
	s.sendStart(now, w, r)
}

func (s *State) sendStart(now time.Time, w *workers.Worker, r *jobs.Run) {
	r.Tries++
	until := w.Grant(now, startValid)
	r.ValidUntil = max(r.ValidUntil, until)
	order := workers.Start{
		Fence: s.epoch, Task: r.Task.Name(), Run: r.Number, Body: r.Task.Unit.Job.Spec.GetBody(),
		Until: until, Checkpoint: r.Task.Checkpoint, Ticket: r.Ticket,
	}
	bytes := orderOverhead + len(order.Body) + len(order.Checkpoint) + len(order.Ticket)
	s.orders.Sent(bytes)
	s.emit(SendStart{To: target(w), Start: order, Timeout: s.orders.Timeout(), Bytes: bytes})
}

// mayOrder says whether one more order to start may be sent now. That orders are held
// back is told, once in a while: it is why tasks wait though workers have room.
func (s *State) mayOrder(now time.Time) bool {
	if !s.has(OrderWindow) || s.orders.Room() {
		return true
	}
	if now.Sub(s.heldNotedAt) >= heldNoteEvery {
		s.heldNotedAt = now
		s.note(Note{
			What: NoteOrdersHeld, AgeMs: -1,
			Detail: fmt.Sprintf("%d of %d bytes on their way, answers take %s", s.orders.InFlight(), s.orders.Size(), s.orders.AnswerTime().Round(time.Millisecond)),
		})
	}
	return false
}

// takeOrderTime takes in what an order's answer, or its lack, tells of the way there.
func (s *State) takeOrderTime(now time.Time, e Started) {
	if e.Err != nil {
		s.orders.Unanswered(now, e.Took, e.Bytes)
	} else {
		s.orders.Answered(now, e.Took, e.Bytes)
	}
	s.placeNow = s.placeNow || s.orders.Refilled()
}

func (s *State) takeStarted(now time.Time, e Started) {
	s.takeOrderTime(now, e)
	w := s.workers[e.Worker]
	t := s.task(e.Task)
	if w == nil || t == nil {
		return
	}
	if e.Err == nil {
		s.answered(now, w, e.Reply)
	}
	r := t.Run(e.Run, e.Worker)
	if r == nil || (r.State != jobs.Sent && r.State != jobs.Unsure) {
		return
	}
	switch {
	case e.Err != nil && fault.CodeOf(e.Err) == fault.NotRun && r.Tries == 1:
		s.startRefused(now, w, r, e.Err.Error())
	case e.Err != nil:
		s.startUnanswered(now, w, r, e.Err)
	case e.Reply.Refusal == workers.RefusedNot:
		r.AckedAt = now
		s.began(now, r)
	case e.Reply.Refusal == workers.RefusedOld:
		// A run at least as new was there: the lists tell what became of it.
		r.State = jobs.Unsure
		r.ValidUntil = w.ClockAtLeast(now)
	case r.Tries > 1:
		// An earlier try may still be carried out.
		r.State = jobs.Unsure
	default:
		s.startRefused(now, w, r, string(e.Reply.Refusal))
	}
}

// startRefused frees what a start had taken that surely did nothing.
func (s *State) startRefused(now time.Time, w *workers.Worker, r *jobs.Run, why string) {
	t := r.Task
	w.Remove(r)
	t.Drop(r)
	t.RetryAt = now.Add(refusedPause)
	s.note(Note{
		What: NoteStartRefused, Job: t.Unit.Job.Spec.GetId(), Task: t.Name(), Run: r.Number, Worker: w.ID, Detail: why,
		AgeMs: now.Sub(r.SentAt).Milliseconds(),
	})
	if why == string(workers.RefusedTicket) {
		s.dropTicket(t.Unit, w)
	}
	if why == string(workers.RefusedRoom) || why == string(workers.RefusedBusy) {
		w.Health.Refused(why, now)
		s.noteAside(w)
	}
	s.touch(now, t.Unit.Job)
}

// startUnanswered sends the same run again: a worker that has begun it says so. One that takes
// no new work any more is not asked again.
func (s *State) startUnanswered(now time.Time, w *workers.Worker, r *jobs.Run, err error) {
	if r.State == jobs.Sent {
		r.State = jobs.Unsure
		s.note(Note{
			What: NoteStartUnsure, Job: r.Task.Unit.Job.Spec.GetId(), Task: r.Task.Name(), Run: r.Number, Worker: w.ID,
			Detail: fmt.Sprintf("until the worker's clock shows %s, now at least %s: %s", r.ValidUntil.Round(time.Millisecond), w.ClockAtLeast(now).Round(time.Millisecond), err),
			AgeMs:  now.Sub(r.SentAt).Milliseconds(),
		})
	}
	if r.Tries < startTries && w.SilentSince.IsZero() && w.Listed && !w.Leaving && !r.Task.Unit.Job.Ended() && s.phase == leading {
		s.sendStart(now, w, r)
	}
}

func (s *State) takePaceAnswered(now time.Time, e PaceAnswered) {
	w := s.workers[e.Worker]
	t := s.task(e.Task)
	if w == nil || t == nil {
		return
	}
	if e.Err == nil {
		s.answered(now, w, e.Reply)
	}
	r := t.Run(e.Run, e.Worker)
	if r == nil {
		return
	}
	r.PaceSending = false
	if e.Err == nil && e.Reply.Refusal == workers.RefusedNot {
		r.Pace, r.PacedAt = e.Percent, now
	}
}
