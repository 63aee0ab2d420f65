package hall

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/interference"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/placement"
	"github.com/wrenferry/wrenferry/pkg/process/quota"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// One round of placement goes through the queue in order and places each task on
// the best worker where it fits. When there is none, an urgent task evicts others,
// and any other task is committed ahead: placed on a full worker, to start there
// when capacity comes free.

// maxPlacedPerRound limits the tasks that one round places, so that a burst
// doesn't occupy the control thread for long and each group commit stays small.
const maxPlacedPerRound = 250

// round is the state of one round of placement.
type round struct {
	now                 time.Time
	policy              placement.Policy
	workers             []*worker
	candidates          map[*worker]*placement.Worker
	usage               quota.Usage
	sizesThatFitNowhere []ledger.Size // sizes that fitted no worker in this round
	placed              int
}

// place runs one round of placement, unless a commit is pending.
func (s *State) place(now time.Time) {
	if s.draining || s.pending != nil {
		return // the next round starts from the result of the pending commit
	}
	for _, w := range s.workers {
		w.reservedForUrgent = ledger.Size{}
	}
	queue, usage := s.queue()
	if len(queue) == 0 {
		return
	}
	r := s.newRound(now, usage)
	quota.SortQueue(queue, usage, s.totalCapacity())
	for _, q := range queue {
		if r.placed >= maxPlacedPerRound {
			return
		}
		s.placeTask(r, s.tasks[q.ID])
	}
}

// isCommittedAhead reports whether a task waits on its worker for capacity and
// certainly never started there.
func (s *State) isCommittedAhead(t *task) bool {
	w := s.workers[t.row.GetWorker()]
	return t.placed() && t.isCommitted() && !t.startSent && t.stop == notStopping && w != nil && w.reached && !w.account.HasReservation(t.attemptName())
}

// moveCommittedAhead moves a task that was committed ahead to a worker where
// it fits, if it does not fit on its own. The task never started, so its next attempt may be placed
// at once.
func (s *State) moveCommittedAhead(r *round, t *task) {
	if t.size().Fits(s.openCapacity(s.workers[t.row.GetWorker()])) || !s.anyWorkerFits(r, t) {
		return
	}
	s.requeue(r.now, t, "", TaskMoved, "room elsewhere")
	s.placeWhereFits(r, t)
}

// anyWorkerFits reports whether any worker of the round has enough capacity for a task.
func (s *State) anyWorkerFits(r *round, t *task) bool {
	return slices.ContainsFunc(r.workers, func(w *worker) bool { return t.size().Fits(s.openCapacity(w)) })
}

// openCapacity returns the capacity of a worker that is open to any task: the free
// capacity, less the capacity reserved for urgent tasks that still wait. Without the
// reservation smaller tasks take that capacity piece by piece and are evicted again,
// for ever.
func (s *State) openCapacity(w *worker) ledger.Size {
	free := w.account.Free()
	return free.Min(free.Plus(s.sizeBeingStopped(w)).Minus(w.reservedForUrgent))
}

// queue returns the tasks that wait, unplaced or committed ahead to a worker
// without free capacity, and the total size of the placed tasks of each team.
func (s *State) queue() ([]quota.QueuedTask, quota.Usage) {
	var queue []quota.QueuedTask
	usage := quota.Usage{}
	for id, t := range s.tasks {
		team := t.row.GetTeam()
		if t.waiting() || s.isCommittedAhead(t) {
			queue = append(queue, quota.QueuedTask{
				ID: id, Team: team, Priority: int(t.row.GetPriority()), Since: t.waitingSince, Size: t.size(),
			})
		}
		if t.placed() {
			usage[team] = usage[team].Plus(t.size())
		}
	}
	return queue, usage
}

// totalCapacity returns the sum of the workers' capacities for tasks, without the
// share of their services.
func (s *State) totalCapacity() ledger.Size {
	var total ledger.Size
	for _, w := range s.workers {
		total = total.Plus(w.account.Capacity())
	}
	return total
}

// newRound starts a round with the workers that may get tasks, sorted by name.
func (s *State) newRound(now time.Time, usage quota.Usage) *round {
	r := &round{
		now:        now,
		policy:     placement.PolicyByName(s.fleet().PlacePolicy),
		usage:      usage,
		candidates: map[*worker]*placement.Worker{},
	}
	for _, w := range s.workers {
		if s.canPlaceOn(now, w) {
			r.workers = append(r.workers, w)
		}
	}
	slices.SortFunc(r.workers, func(a, b *worker) int { return strings.Compare(a.name, b.name) })
	return r
}

// canPlaceOn reports whether tasks may be placed on a worker now: it is listed,
// not leaving, has answered lately, and its incarnation is registered,
// and the quarantine of failing workers allows it.
func (s *State) canPlaceOn(now time.Time, w *worker) bool {
	fresh := !w.markReceivedAt.IsZero() && now.Sub(w.markReceivedAt) < s.fleet().Lease/2
	known := w.reached && w.registeredIncarnation != "" && w.registeredIncarnation == w.reportedIncarnation
	return fresh && known && w.listed && !w.leaving && s.quarantine.MayPlace(now, w.name)
}

// placeTask decides on one task of the queue: it moves, ends as one that never
// fits, waits for its team's quota, is placed, evicts others, or is committed
// ahead.
func (s *State) placeTask(r *round, t *task) {
	if t.placed() {
		s.moveCommittedAhead(r, t)
		return
	}
	size := t.size()
	if s.neverFits(size) {
		s.finish(r.now, t, wire.TaskState_TASK_STATE_NEVER, "", TaskNeverFits)
		return
	}
	if s.overQuota(r, t) {
		s.note(r.now, t.object(), TaskOverQuota, t.row.GetTeam())
		return
	}
	if s.placeWhereFits(r, t) {
		return
	}
	if int(t.row.GetPriority()) >= s.fleet().UrgentPriority {
		s.evictToFit(r, t)
		return
	}
	s.commitAhead(r, t)
}

// overQuota reports whether placing the task would exceed the quota of its team.
func (s *State) overQuota(r *round, t *task) bool {
	q := s.tree.Quota(t.row.GetTeam())
	limit := quota.Limit{Millicores: q.Millicores, MemoryMB: q.MemoryMB, Accelerators: q.Accelerators}
	return quota.Exceeds(r.usage[t.row.GetTeam()], t.size(), limit)
}

// placeWhereFits places a task on the best of the workers where it fits, and reports
// whether there was one. A size that fitted no worker earlier in the round fits
// none now, since a round only fills workers up.
func (s *State) placeWhereFits(r *round, t *task) bool {
	size := t.size()
	for _, f := range r.sizesThatFitNowhere {
		if f.Fits(size) {
			return false
		}
	}
	fitting := make([]placement.Worker, 0, len(r.workers))
	for _, w := range r.workers {
		if s.unsafe.NoLedger || size.Fits(s.openCapacity(w)) {
			fitting = append(fitting, s.candidate(r, w, t))
		}
	}
	if len(fitting) > 1 {
		// A worker where every task fails always has free capacity: prefer another one.
		fitting = slices.DeleteFunc(fitting, func(c placement.Worker) bool { return c.Name == t.lastFailedOn })
	}
	choice := r.policy.Choose(s.model, placement.Task{
		ID: t.row.GetId(), Job: t.row.GetJobKey(), Kind: t.kindName(), Size: size,
	}, fitting)
	if choice.Worker == "" {
		r.sizesThatFitNowhere = append(r.sizesThatFitNowhere, size)
		return false
	}
	w := s.workers[choice.Worker]
	s.reserve(w, t)
	s.placeOn(r, t, w, TaskPlaced, fmt.Sprintf("%s, cost %.3f among %d", choice.Reason, choice.Cost, len(fitting)))
	return true
}

// placeOn assigns a task to a worker and counts it in the round.
func (s *State) placeOn(r *round, t *task, w *worker, reason Reason, detail string) {
	s.assign(r.now, t, w, reason, detail)
	team := t.row.GetTeam()
	r.usage[team] = r.usage[team].Plus(t.size())
	delete(r.candidates, w)
	r.placed++
}

// candidate returns the worker's description for the placement policy. It is
// computed once a round, and again after each placement on that worker.
func (s *State) candidate(r *round, w *worker, t *task) placement.Worker {
	c := r.candidates[w]
	if c == nil {
		c = &placement.Worker{
			Name:     w.name,
			Rack:     w.rack,
			Capacity: w.account.Capacity(),
			Services: w.services,
			Present:  s.presentKinds(w),
		}
		r.candidates[w] = c
	}
	c.Free = s.openCapacity(w)
	out := *c
	if len(t.job.tasks) > 1 {
		out.JobTasksInRack = s.tasksInRack(t.job, w.rack)
	}
	return out
}

// tasksInRack returns the number of the job's tasks that are placed in a rack.
func (s *State) tasksInRack(j *job, rack string) int {
	n := 0
	for _, t := range j.tasks {
		if w := s.workers[t.row.GetWorker()]; w != nil && w.rack == rack && t.placed() {
			n++
		}
	}
	return n
}

// presentKinds counts the tasks with reserved capacity on a worker, running or about to, by
// kind.
func (s *State) presentKinds(w *worker) interference.TaskCounts {
	p := interference.TaskCounts{}
	for _, t := range w.tasks {
		if w.account.HasReservation(t.attemptName()) {
			p[t.kindName()]++
		}
	}
	return p
}

// commitAhead places a task on the worker where the fewest tasks wait for capacity.
// The commit happens now, so the worker can start the task later without the
// table.
func (s *State) commitAhead(r *round, t *task) {
	var best *worker
	shortest := s.fleet().Ahead
	for _, w := range r.workers {
		n := s.tasksAwaitingCapacity(w)
		if n < shortest && t.size().Fits(w.account.Capacity()) && !s.quarantine.Quarantined(w.name) {
			best, shortest = w, n
		}
	}
	if best == nil {
		s.note(r.now, t.object(), TaskNoRoom, fmt.Sprintf("%d workers looked at", len(r.workers)))
		return
	}
	s.placeOn(r, t, best, TaskCommittedAhead, fmt.Sprintf("%d before it", shortest))
}

// tasksAwaitingCapacity returns the number of tasks that wait on a worker for capacity.
func (s *State) tasksAwaitingCapacity(w *worker) int {
	n := 0
	for _, t := range w.tasks {
		if !w.account.HasReservation(t.attemptName()) {
			n++
		}
	}
	return n
}
