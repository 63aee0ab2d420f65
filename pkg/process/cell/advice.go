package cell

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Advice. For some queues only an outside service knows which workers may run a
// step; a start has to bring the ticket that it gave. The service takes one call
// at a time from each host and needs time for each worker that is named: so one
// call is out at a time, for the first step in the order of placing that has no
// ticket left, and names the workers where the step would go first. Tickets hold
// for all tasks of the step, at that life of the worker, for a while.

const (
	// adviceNames is how many workers are named for each task that waits, so
	// that some of those found good still have room; adviceMost bounds a call.
	adviceNames = 3
	adviceMost  = 30
	// adviceAgain is the pause after a call that failed or found no worker good.
	adviceAgain = 300 * time.Millisecond
	// adviceMargin is kept of a ticket's time for the way of the start.
	adviceMargin = 300 * time.Millisecond
)

// SendAdvice asks which workers may run a unit; Advised answers.
type SendAdvice struct {
	Unit    string
	Workers []string
}

// Advised is the outcome: a ticket for each worker that is good.
type Advised struct {
	Unit    string
	Tickets map[string]string
	Err     error
}

func (SendAdvice) effect() {}
func (Advised) event()     {}

// advice is what is known for one unit.
type advice struct {
	tickets map[string]string
	until   time.Time
	again   time.Time
}

// advised says whether a unit's starts need a ticket, and how long one holds.
func (s *State) advised(u *jobs.Unit) (valid time.Duration, needs bool) {
	q := s.queue(u.Job)
	if q.Advice == nil {
		return 0, false
	}
	return q.Advice.Valid, true
}

// ticketed keeps of the usable workers those that a unit has tickets for. If
// none of them has room, advice is asked for.
func (s *State) ticketed(now time.Time, u *jobs.Unit, usable []*workers.Worker) []*workers.Worker {
	a := s.advices[u.Name()]
	var good []*workers.Worker
	room := false
	for _, w := range usable {
		if a == nil || a.tickets[w.ID] == "" || now.After(a.until) {
			continue
		}
		good = append(good, w)
		room = room || s.fits(now, u, s.service(u.Job), w)
	}
	if !room && (a == nil || !now.Before(a.again)) {
		s.askAdvice(now, u, usable)
	}
	return good
}

func (s *State) askAdvice(now time.Time, u *jobs.Unit, usable []*workers.Worker) {
	if s.adviceOut != "" {
		return
	}
	most := min(adviceMost, adviceNames*len(u.Waiting(now)))
	var names []string
	for _, w := range usable {
		if len(names) < most && s.fits(now, u, s.service(u.Job), w) {
			names = append(names, w.ID)
		}
	}
	if len(names) == 0 {
		return
	}
	s.adviceOut = u.Name()
	s.emit(SendAdvice{Unit: u.Name(), Workers: names})
}

func (s *State) takeAdvised(now time.Time, e Advised) {
	if s.adviceOut != e.Unit {
		return
	}
	s.adviceOut = ""
	s.placeNow = true
	a := &advice{tickets: e.Tickets, again: now.Add(adviceAgain)}
	s.advices[e.Unit] = a
	if e.Err != nil {
		s.note(Note{What: NoteAdvice, Task: e.Unit, Detail: e.Err.Error(), Code: fault.CodeOf(e.Err), AgeMs: -1})
		return
	}
	id, ok := jobs.ParseTask(e.Unit + ".0")
	if j := s.jobs[id.Job]; ok && j != nil {
		if t := j.Task(id.Time, id.Step, 0); t != nil {
			valid, _ := s.advised(t.Unit)
			a.until = now.Add(max(0, valid-adviceMargin))
		}
	}
	s.note(Note{What: NoteAdvice, Job: id.Job, Task: e.Unit, Detail: fmt.Sprintf("%d workers are good", len(e.Tickets)), AgeMs: -1})
}

// ticket is the one that a start of a unit at a worker brings.
func (s *State) ticket(u *jobs.Unit, w *workers.Worker) string {
	if a := s.advices[u.Name()]; a != nil {
		return a.tickets[w.ID]
	}
	return ""
}

// dropTicket forgets a ticket that a worker turned away.
func (s *State) dropTicket(u *jobs.Unit, w *workers.Worker) {
	if a := s.advices[u.Name()]; a != nil {
		delete(a.tickets, w.ID)
	}
}
