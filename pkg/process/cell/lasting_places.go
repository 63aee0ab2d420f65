package cell

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// What becomes of the places on which an overdue lasting task would fit, for the log: those that it may not take, by the
// reason, and those that other tasks took.

// placesLoggedAfter is the time without a run from which the log reports the places for a lasting task.
const placesLoggedAfter = 2 * time.Second

// placesTaken counts the starts of other tasks at workers on which the watched task would have fitted.
type placesTaken struct {
	// watched is the lasting task that was longest without a run at the last log line.
	watched                                   *jobs.Task
	onTime, behindObjective, fillers, lasting int64
}

// count counts a start at a worker, before the worker's capacity is taken.
func (p *placesTaken) count(w *workers.Worker, t *jobs.Task) {
	if p.watched == nil || p.watched == t || !workers.ReservedSize(p.watched.Unit).Fits(w.FreeCapacity()) {
		return
	}
	switch {
	case t.Unit.Lasting():
		p.lasting++
	case t.Unit.Spec.GetFiller():
		p.fillers++
	case t.Unit.Outlook == jobs.OnTime:
		p.onTime++
	default:
		p.behindObjective++
	}
}

// lastingPlaces counts the places on which a lasting task fits, as the leader believes.
type lastingPlaces struct {
	// free are those that the task may take; the others are withheld from it: gaps that are kept for urgent tasks, gaps
	// that were freed for them by a stop, places at workers that are closed for isolated runs, and places at workers that
	// take no new work. ordered are further places that unanswered start orders of short tasks take.
	free, kept, freed, closed, unusable, ordered int64
}

// countPlaces returns the places on which a lasting task fits, by what keeps it from them.
func (s *State) countPlaces(now time.Time, t *jobs.Task) lastingPlaces {
	p, u, service := lastingPlaces{}, t.Unit, s.serviceOf(t.Unit.Job)
	outside := map[*workers.Worker]bool{}
	yields := s.mayYield(now, t, service)
	if yields {
		for _, w := range s.outsideReserve(u, service, s.usableWorkers(now)) {
			outside[w] = true
		}
	}
	for _, w := range s.workersByID() {
		if w.Ended || !w.Listed || w.Leaving || w.Service != service || !w.HasLabel(u.Spec.GetLabel()) || spreadReached(u, w) {
			continue
		}
		free, unanswered := w.FreeCapacity(), w.FreeCapacity()
		for _, r := range w.Runs {
			if r.State == jobs.Sent && !r.Task.Unit.Lasting() {
				unanswered = unanswered.Plus(workers.ReservedSize(r.Task.Unit))
			}
		}
		n := fitsInto(u, free)
		p.ordered += fitsInto(u, unanswered) - n
		freedAt, freed := s.urgentReserve.freedAt[w]
		switch {
		case s.closedWorkers[w]:
			p.closed += n
		case !s.usable(now, w):
			p.unusable += n
		case freed && now.Sub(freedAt) < freedFor:
			p.freed += n
		case yields && !outside[w]:
			p.kept += n
		default:
			p.free += n
		}
	}
	return p
}

// logLastingPlaces logs the places for the lasting task that has been longest without a run, and who took such places since
// the last line. It is called once per lastingWaitLogInterval.
func (s *State) logLastingPlaces(now time.Time, longest *jobs.Task) {
	taken := s.placesTaken
	s.placesTaken = placesTaken{}
	if longest == nil || now.Sub(withoutRunSince(longest)) < placesLoggedAfter || s.manifest == nil {
		return
	}
	s.placesTaken.watched = longest
	p, urgent := s.countPlaces(now, longest), s.urgentReserve.waiting[s.serviceOf(longest.Unit.Job)]
	s.note(Note{
		Kind: NoteLastingPlaces, Job: longest.Unit.Job.Spec.GetId(), Task: longest.Name(), AgeMs: now.Sub(withoutRunSince(longest)).Milliseconds(),
		Detail: fmt.Sprintf(
			"%d overdue; places: %d free, %d kept, %d freed for urgent tasks, %d closed, %d not usable, %d ordered, %d workers reserved; taken by starts: %d on time, %d late, %d fillers, %d lasting; %d urgent tasks wait",
			s.overdueTasks(now), p.free, p.kept, p.freed, p.closed, p.unusable, p.ordered, len(s.reservedForLasting), taken.onTime, taken.behindObjective, taken.fillers, taken.lasting, urgent,
		),
	})
}

// overdueTasks returns how many lasting tasks are overdue in this cell.
func (s *State) overdueTasks(now time.Time) int {
	n := 0
	for u := range s.waitingUnits {
		for _, t := range u.Tasks {
			if overdue(now, t) {
				n++
			}
		}
	}
	return n
}

// fitsInto returns how many tasks of a unit fit into a free capacity.
func fitsInto(u *jobs.Unit, free ledger.Size) int64 {
	size := workers.ReservedSize(u)
	if !size.Fits(free) {
		return 0
	}
	n := free.Millicores / max(1, size.Millicores)
	if size.MemoryMB > 0 {
		n = min(n, free.MemoryMB/size.MemoryMB)
	}
	return max(1, n)
}
