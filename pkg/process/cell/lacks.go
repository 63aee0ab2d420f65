package cell

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// The conditions that block the placement of a task on a worker, and the log lines about them while the task waits.

// lack is a condition that blocks the placement of a task on a worker.
type lack string

const (
	lacksNothing lack = ""
	lacksLabel   lack = "label"
	lacksRoom    lack = "room"
	lacksMemory  lack = "memory"
	lacksHold    lack = "held for lasting tasks"
	lacksUnused  lack = "unused processors"
	lacksHarm    lack = "harm to neighbours"
	lacksSpread  lack = "spread"
	lacksHealth  lack = "in quarantine"
	lacksTrial   lack = "reserved for an isolated run"
)

// lacks returns the first condition that blocks the placement of one more task of a unit on a worker, or lacksNothing.
func (s *State) lacks(now time.Time, u *jobs.Unit, service string, w *workers.Worker) lack {
	switch {
	case w.Service != service || !w.HasLabel(u.Spec.GetLabel()):
		return lacksLabel
	case !workers.Reserved(u).Fits(w.Free()):
		return lacksWhich(u, w)
	case len(s.closed) > 0 && s.closed[w] && !s.mayJoinIsolated(now, u, w):
		return lacksTrial
	case len(w.Strays) > 0 && !s.guards(service) && !s.unsafe.NoStrayRoom:
		return lacksRoom // it is unknown how much capacity the orphaned runs there take
	case s.held[w] && !u.Lasting():
		return lacksHold
	case u.Spec.GetFiller() && !fillerFits(now, u, w):
		return lacksUnused
	case u.Spec.GetFiller() && s.fillerHarm(u, w) > s.mayCost(now, u):
		return lacksHarm
	case u.Spec.GetSpread() > 0 && w.CountOf(u) >= int(u.Spec.GetSpread()):
		return lacksSpread
	case s.aside(now, w): // after its time in quarantine, a worker gets a single run as a trial
		return lacksHealth
	}
	return lacksNothing
}

// lacksWhich returns lacksMemory for a worker on which a task would fit but for its memory, else lacksRoom.
func lacksWhich(u *jobs.Unit, w *workers.Worker) lack {
	but := workers.Reserved(u)
	but.MemoryMB = 0
	if but.Fits(w.Free()) {
		return lacksMemory
	}
	return lacksRoom
}

const (
	// waitTold is the wait after which the log gives the reason why a task waits. waitToldAgain is the interval at
	// which the log repeats it.
	waitTold      = 2 * time.Second
	waitToldAgain = 5 * time.Second
)

// tellWait logs, for a task that has waited for long, on how many usable workers each condition blocks its placement.
func (s *State) tellWait(now time.Time, t *jobs.Task, service string, usable []*workers.Worker) {
	u := t.Unit
	waited := now.Sub(u.ReadyAt)
	if waited < waitTold || now.Sub(u.WaitToldAt) < waitToldAgain {
		return
	}
	u.WaitToldAt = now
	counts := map[lack]int{}
	for _, w := range usable {
		counts[s.lacks(now, u, service, w)]++
	}
	s.note(Note{
		What: NoteWaits, Job: u.Job.Spec.GetId(), Task: t.Name(), AgeMs: waited.Milliseconds(),
		Detail: fmt.Sprintf("%d usable workers lack: %v", len(usable), counts),
	})
}
