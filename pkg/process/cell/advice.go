package cell

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Placement advice. For some queues only an external service knows which workers may run a step. A start has to carry
// the ticket that the service issued for its worker. The service accepts one call at a time from each host and needs
// time for each worker that the call names. So one call is in flight at a time. The call is for the first step in
// placement order that has no ticket left. It names workers that were approved before, then those that were never named,
// then those that were turned down the longest time ago. A ticket is valid for all tasks of the step, on that incarnation of
// the worker, for a limited time.

const (
	// namedWorkersPerTask is how many workers the first call for a step names for each waiting task, so that some of the
	// approved workers still have capacity. maxNamedWorkers is the most workers that a call names; calls after a refusal
	// name that many.
	namedWorkersPerTask = 3
	maxNamedWorkers     = 30
	// adviceRetryPause is the pause of a unit after a call that failed or approved too few workers. It doubles with each further
	// call that approves too few, maxAdviceDoublings times at most, so that such units leave calls to others.
	adviceRetryPause   = 300 * time.Millisecond
	maxAdviceDoublings = 4
	// ticketMargin is taken off a ticket's validity, for the time that a start order takes to reach its worker.
	ticketMargin = 300 * time.Millisecond
)

// SendAdviceRequest asks the advice service which of the named workers may run a unit. The answer is AdviceAnswered.
type SendAdviceRequest struct {
	Unit    string
	Workers []string
}

// AdviceAnswered is the answer to a call of the advice service.
type AdviceAnswered struct {
	Unit string
	// Tickets are the tickets of the approved workers, by worker.
	Tickets map[string]string
	Err     error
}

func (SendAdviceRequest) effect() {}
func (AdviceAnswered) event()     {}

// unitTickets holds the tickets of one unit.
type unitTickets struct {
	// tickets are by worker.
	tickets map[string]string
	// validUntil is when the tickets expire.
	validUntil time.Time
	// retryAt is the earliest time for the unit's next call of the advice service.
	retryAt time.Time
	// answers are the last answers about workers, by incarnation.
	answers map[jobs.Incarnation]adviceAnswer
	// refusals is how many calls in a row approved too few workers: none, or for a gang not enough for all of its tasks.
	refusals int
}

// adviceAnswer is an answer of the advice service about one worker.
type adviceAnswer struct {
	approved bool
	at       time.Time
}

// adviceStatus is what the advice service last answered about a worker, in the order in which workers are named.
type adviceStatus int

const (
	approved adviceStatus = iota
	notAsked
	turnedDown
)

// statusOf returns what was last answered about a worker.
func (a *unitTickets) statusOf(w *workers.Worker) adviceStatus {
	if a == nil {
		return notAsked
	}
	answer, known := a.answers[incarnationOf(w)]
	switch {
	case !known:
		return notAsked
	case answer.approved:
		return approved
	}
	return turnedDown
}

// compareForAdvice orders workers as calls name them.
func (a *unitTickets) compareForAdvice(v, w *workers.Worker) int {
	if c := cmp.Compare(a.statusOf(v), a.statusOf(w)); c != 0 || a == nil {
		return c
	}
	return a.answers[incarnationOf(v)].at.Compare(a.answers[incarnationOf(w)].at)
}

// approvedOf returns the workers for which there is a valid ticket.
func (a *unitTickets) approvedOf(now time.Time, list []*workers.Worker) []*workers.Worker {
	if a == nil || now.After(a.validUntil) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(list), func(w *workers.Worker) bool { return a.tickets[w.ID] == "" })
}

// ticketValidity reports whether starts of a unit need a ticket, and for how long a ticket is valid.
func (s *State) ticketValidity(u *jobs.Unit) (valid time.Duration, needs bool) {
	q := s.queueOf(u.Job)
	if q.Advice == nil {
		return 0, false
	}
	return q.Advice.Valid, true
}

// workersWithTicket returns the usable workers for which a unit has a valid ticket. If they have no capacity for one more of
// its tasks, or for the whole gang, it asks the advice service for more tickets.
func (s *State) workersWithTicket(now time.Time, u *jobs.Unit, usable []*workers.Worker) []*workers.Worker {
	a := s.ticketsByUnit[u.Name()]
	approved := a.approvedOf(now, usable)
	if !s.anyFits(now, u, approved) && (a == nil || !now.Before(a.retryAt)) {
		s.requestAdvice(now, u, usable)
	}
	return approved
}

// fitsUnlessTurnedDown reports whether a unit, if it is a gang all of it, fits on usable workers that the advice service has not
// turned down.
func (s *State) fitsUnlessTurnedDown(now time.Time, u *jobs.Unit, usable []*workers.Worker) bool {
	a := s.ticketsByUnit[u.Name()]
	return s.anyFits(now, u, slices.DeleteFunc(slices.Clone(usable), func(w *workers.Worker) bool { return a.statusOf(w) == turnedDown }))
}

// awaitsAdvice reports whether a unit may start here once the advice service has answered.
func (s *State) awaitsAdvice(now time.Time, u *jobs.Unit, usable []*workers.Worker) bool {
	_, advised := s.ticketValidity(u)
	return advised && s.fitsUnlessTurnedDown(now, u, usable)
}

// requestAdvice calls the advice service for a unit, unless a call is in flight.
func (s *State) requestAdvice(now time.Time, u *jobs.Unit, usable []*workers.Worker) {
	if s.adviceRequested != "" {
		return
	}
	a := s.ticketsByUnit[u.Name()]
	candidates := slices.DeleteFunc(slices.Clone(usable), func(w *workers.Worker) bool { return !s.fits(now, u, s.serviceOf(u.Job), w) })
	slices.SortStableFunc(candidates, a.compareForAdvice)
	most := min(maxNamedWorkers, namedWorkersPerTask*len(u.Waiting(now)))
	if slices.ContainsFunc(usable, func(w *workers.Worker) bool { return a.statusOf(w) == turnedDown }) {
		most = maxNamedWorkers
	}
	candidates = candidates[:min(len(candidates), most)]
	if len(candidates) == 0 {
		return
	}
	s.adviceRequested, s.adviceNamed = u.Name(), nil
	names := make([]string, 0, len(candidates))
	for _, w := range candidates {
		names = append(names, w.ID)
		s.adviceNamed = append(s.adviceNamed, incarnationOf(w))
	}
	s.emit(SendAdviceRequest{Unit: u.Name(), Workers: names})
}

// takeAdviceAnswered stores the tickets that the advice service returned for a unit.
func (s *State) takeAdviceAnswered(now time.Time, e AdviceAnswered) {
	if s.adviceRequested != e.Unit {
		return
	}
	s.adviceRequested = ""
	s.placementDue = true
	a := &unitTickets{tickets: e.Tickets, answers: map[jobs.Incarnation]adviceAnswer{}}
	if before := s.ticketsByUnit[e.Unit]; before != nil {
		a.answers, a.refusals = before.answers, before.refusals
	}
	a.retryAt = now.Add(adviceRetryPause << min(a.refusals, maxAdviceDoublings))
	s.ticketsByUnit[e.Unit] = a
	if e.Err != nil {
		s.note(Note{Kind: NoteAdvice, Task: e.Unit, Detail: e.Err.Error(), Code: fault.CodeOf(e.Err), AgeMs: -1})
		return
	}
	for _, w := range s.adviceNamed {
		a.answers[w] = adviceAnswer{approved: e.Tickets[w.Worker] != "", at: now}
	}
	enough := len(e.Tickets) > 0
	id, ok := jobs.ParseTaskName(e.Unit + ".0")
	if j := s.jobs[id.Job]; ok && j != nil {
		if t := j.Task(id.Time, id.Step, 0); t != nil {
			valid, _ := s.ticketValidity(t.Unit)
			a.validUntil = now.Add(max(0, valid-ticketMargin))
			enough = enough && (!t.Unit.Spec.GetGang() || s.anyFits(now, t.Unit, a.approvedOf(now, s.usableWorkers(now))))
		}
	}
	a.refusals++
	if enough {
		a.refusals = 0
	}
	s.note(Note{Kind: NoteAdvice, Job: id.Job, Task: e.Unit, Detail: fmt.Sprintf("%d workers approved", len(e.Tickets)), AgeMs: -1})
}

// ticket returns the ticket that a start of a unit on a worker carries; "" if there is none.
func (s *State) ticket(u *jobs.Unit, w *workers.Worker) string {
	if a := s.ticketsByUnit[u.Name()]; a != nil {
		return a.tickets[w.ID]
	}
	return ""
}

// dropTicket deletes the ticket of a unit that a worker refused.
func (s *State) dropTicket(u *jobs.Unit, w *workers.Worker) {
	if a := s.ticketsByUnit[u.Name()]; a != nil {
		delete(a.tickets, w.ID)
	}
}
