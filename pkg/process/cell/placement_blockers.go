package cell

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// The conditions that block the placement of a task on a worker, and the log lines about them while the task waits.

// blocker is a condition that blocks the placement of a task on a worker.
type blocker string

const (
	notBlocked              blocker = ""
	blockedByLabel          blocker = "label"
	blockedByCapacity       blocker = "room"
	blockedByMemory         blocker = "memory"
	blockedByReservation    blocker = "held for lasting tasks"
	blockedByIdleJob        blocker = "held for an idle job"
	blockedByBusyProcessors blocker = "unused processors"
	blockedByFillerCost     blocker = "harm to neighbours"
	blockedBySpread         blocker = "spread"
	blockedByQuarantine     blocker = "in quarantine"
	blockedByIsolatedRun    blocker = "reserved for an isolated run"
)

// placementBlocker returns the first condition that blocks the placement of one more task of a unit on a worker, or
// notBlocked.
func (s *State) placementBlocker(now time.Time, u *jobs.Unit, service string, w *workers.Worker) blocker {
	switch {
	case w.Service != service || !w.HasLabel(u.Spec.GetLabel()):
		return blockedByLabel
	case !workers.ReservedSize(u).Fits(w.FreeCapacity()):
		return capacityBlocker(u, w)
	case len(s.closedWorkers) > 0 && s.closedWorkers[w] && !s.mayJoinIsolated(now, u, w):
		return blockedByIsolatedRun
	case len(w.OrphanedRuns) > 0 && !s.enforcesCapacity(service) && !s.unsafe.NoStrayRoom:
		return blockedByCapacity // it is unknown how much capacity the orphaned runs there take
	case s.reservedForLasting[w] && !u.Lasting():
		return blockedByReservation
	case u.Spec.GetFiller() && s.reservedForIdle[w]:
		return blockedByIdleJob
	case u.Spec.GetFiller() && !s.enoughUnusedCPU(now, u, w):
		return blockedByBusyProcessors
	case u.Spec.GetFiller() && s.fillerNetCost(u, w) > s.maxNetCost(now, u):
		return blockedByFillerCost
	case spreadReached(u, w):
		return blockedBySpread
	case s.quarantined(now, w): // after its time in quarantine, a worker gets a single run as a probe
		return blockedByQuarantine
	}
	return notBlocked
}

// spreadReached reports whether a worker has as many tasks of a unit as its step's spread allows.
func spreadReached(u *jobs.Unit, w *workers.Worker) bool {
	most := int(u.Spec.GetSpread())
	return most > 0 && w.TaskCount(u) >= most
}

// capacityBlocker returns blockedByMemory for a worker on which a task would fit but for its memory, else
// blockedByCapacity.
func capacityBlocker(u *jobs.Unit, w *workers.Worker) blocker {
	withoutMemory := workers.ReservedSize(u)
	withoutMemory.MemoryMB = 0
	if withoutMemory.Fits(w.FreeCapacity()) {
		return blockedByMemory
	}
	return blockedByCapacity
}

const (
	// waitLogAfter is the wait after which the log gives the reason why a task waits. waitLogInterval is the interval
	// at which the log repeats it.
	waitLogAfter    = 2 * time.Second
	waitLogInterval = 5 * time.Second
)

// logWait logs, for a task that has waited for long, on how many usable workers each condition blocks its placement.
func (s *State) logWait(now time.Time, t *jobs.Task, service string, usable []*workers.Worker) {
	u := t.Unit
	waited := now.Sub(u.ReadyAt)
	if waited < waitLogAfter || now.Sub(u.WaitLoggedAt) < waitLogInterval {
		return
	}
	u.WaitLoggedAt = now
	counts := map[blocker]int{}
	for _, w := range usable {
		counts[s.placementBlocker(now, u, service, w)]++
	}
	s.note(Note{
		Kind: NoteWaits, Job: u.Job.Spec.GetId(), Task: t.Name(), AgeMs: waited.Milliseconds(),
		Detail: fmt.Sprintf("%d usable workers lack: %v; %s, %d tasks of its job run here, startable elsewhere: %v",
			len(usable), counts, u.Outlook, runningTasks(u.Job), s.startableElsewhere(now, u)),
	})
}

// runningTasks returns how many tasks of a job have a run in this cell.
func runningTasks(j *jobs.Job) int {
	n := 0
	for _, u := range j.Units {
		for _, t := range u.Tasks {
			if len(t.Runs) > 0 {
				n++
			}
		}
	}
	return n
}
