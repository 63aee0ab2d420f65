package hall

import (
	"slices"

	"github.com/wrenferry/wrenferry/pkg/process/ledger"
)

// Eviction of tasks of lower priority to free capacity for an urgent task.

// evictToFit evicts tasks for an urgent task, on the worker that needs the fewest
// evictions. It evicts none if the stops already requested on a worker free
// enough capacity: the task waits for them.
func (s *State) evictToFit(r *round, t *task) {
	size := t.size()
	var best []*task
	var on *worker
	for _, w := range r.workers {
		free := w.account.Free().Plus(s.sizeBeingStopped(w)).Minus(w.reservedForUrgent)
		if size.Fits(free) {
			w.reservedForUrgent = w.reservedForUrgent.Plus(size)
			return
		}
		victims := s.victims(t, w, free)
		if victims != nil && (best == nil || len(victims) < len(best)) {
			best, on = victims, w
		}
	}
	if best == nil {
		s.note(r.now, t.object(), TaskNoRoom, "nothing of lower priority to evict")
		return
	}
	on.reservedForUrgent = on.reservedForUrgent.Plus(size)
	for _, v := range best {
		s.note(r.now, v.object(), TaskEvictedForUrgent, "for "+t.row.GetId())
		s.requestStop(r.now, v, evicted)
	}
}

// sizeBeingStopped returns the total size of the tasks on a worker that were
// asked to stop and still hold capacity.
func (s *State) sizeBeingStopped(w *worker) ledger.Size {
	var sum ledger.Size
	for _, t := range w.tasks {
		if t.stop != notStopping && w.account.HasReservation(t.attemptName()) {
			sum = sum.Plus(t.size())
		}
	}
	return sum
}

// victims returns the tasks to evict from a worker so that t fits: the lowest
// priority first, and within a priority the shortest run first, which is the
// cheapest to resume. It returns nil if all tasks of lower priority together do
// not free enough capacity.
func (s *State) victims(t *task, w *worker, free ledger.Size) []*task {
	var lower []*task
	for _, v := range w.tasks {
		if v.row.GetPriority() < t.row.GetPriority() && v.stop == notStopping && w.account.HasReservation(v.attemptName()) {
			lower = append(lower, v)
		}
	}
	slices.SortFunc(lower, func(a, b *task) int {
		if a.row.GetPriority() != b.row.GetPriority() {
			return int(a.row.GetPriority() - b.row.GetPriority())
		}
		return b.runningAt.Compare(a.runningAt)
	})
	for i, v := range lower {
		free = free.Plus(v.size())
		if t.size().Fits(free) {
			return lower[:i+1]
		}
	}
	return nil
}
