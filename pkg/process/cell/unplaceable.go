package cell

import (
	"maps"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Unplaceable units: short tasks and gangs that no worker of this cell could ever run, because the workers are too small, lack
// the label or are of another service. The workers that fit may have left, or the home cell of delegated ones may have delegated
// them on a load message of an earlier version, which does not tell services apart. Delegated ones are returned, others are
// delegated, whatever else would keep them here.

// workerLabel is a label of a worker of a service.
type workerLabel struct{ service, label string }

// trackLabels keeps when the cell last had workers with each label that may take work. A label without an entry has been missing
// for delegateUnheardAfter, or since this process leads the cell.
func (s *State) trackLabels(now time.Time) {
	for _, w := range s.workers {
		if !w.Listed || w.Leaving || w.Ended {
			continue
		}
		for _, label := range w.Labels {
			s.labelsSeenAt[workerLabel{w.Service, label}] = now
		}
	}
	maps.DeleteFunc(s.labelsSeenAt, func(_ workerLabel, at time.Time) bool { return now.Sub(at) >= delegateUnheardAfter })
}

// trackUnplaceable keeps since when each waiting unit of short tasks or gang has been unplaceable.
func (s *State) trackUnplaceable(now time.Time) {
	s.trackLabels(now)
	for u := range s.unplaceable {
		if _, waits := s.waitingUnits[u]; !waits {
			delete(s.unplaceable, u)
		}
	}
	if s.manifest == nil {
		return // the services of queues are not known
	}
	for u := range s.waitingUnits {
		if u.Lasting() {
			continue
		}
		if _, known := s.unplaceable[u]; s.couldEverRun(u) {
			delete(s.unplaceable, u)
		} else if !known {
			s.unplaceable[u] = s.withoutLabelSince(now, u)
		}
	}
}

// withoutLabelSince returns since when the cell has had no worker with the label that a unit requires; now if it has one, or if
// the unit requires none.
func (s *State) withoutLabelSince(now time.Time, u *jobs.Unit) time.Time {
	if u.Spec.GetLabel() == "" {
		return now
	}
	if at, known := s.labelsSeenAt[workerLabel{s.serviceOf(u.Job), u.Spec.GetLabel()}]; known {
		return at
	}
	return s.gainedAt
}

// couldEverRun reports whether a worker that is listed and stays could run a task of a unit if nothing else ran there.
func (s *State) couldEverRun(u *jobs.Unit) bool {
	service := s.serviceOf(u.Job)
	for _, w := range s.workers {
		if w.Listed && !w.Leaving && !w.Ended && w.Service == service && w.HasLabel(u.Spec.GetLabel()) && fitsCapacity(u, w.Capacity) {
			return true
		}
	}
	return false
}

// fitsCapacity reports whether a worker of the given capacity could run a task of a unit if nothing else ran there. A
// filler reserves no processors, but starts only where a share of what it asks for is unused.
func fitsCapacity(u *jobs.Unit, capacity ledger.Size) bool {
	enoughCPU := !u.Spec.GetFiller() || float64(capacity.Millicores) >= minUnusedShare*float64(u.Size.Millicores)
	return enoughCPU && workers.ReservedSize(u).Fits(capacity)
}

// isUnplaceable reports whether a unit has been unplaceable for delegateUnheardAfter. As in withoutWorkers, rows of workers that
// lapse with the store are back by then.
func (s *State) isUnplaceable(now time.Time, u *jobs.Unit) bool {
	since, known := s.unplaceable[u]
	return known && now.Sub(since) >= delegateUnheardAfter
}
