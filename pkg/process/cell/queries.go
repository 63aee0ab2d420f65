package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Queries of a State. None of them changes what it decides.

// Leading reports whether this process leads the cell and has loaded its jobs.
func (s *State) Leading() bool { return s.phase == leading || s.phase == releasing }

// HoldsLeadership reports whether this process holds the leadership of the cell: it may give orders, now or once it has
// loaded the jobs.
func (s *State) HoldsLeadership() bool { return s.phase != following }

// Releasing reports whether this process is handing the cell over.
func (s *State) Releasing() bool { return s.phase == releasing }

// WorkerCount returns how many workers this process knows in the cell.
func (s *State) WorkerCount() int { return len(s.workers) }

// HasWaitingTasks reports whether tasks wait here that other cells might run.
func (s *State) HasWaitingTasks() bool { return s.phase == leading && len(s.waitingUnits) > 0 }

// Settled reports whether each run that earlier leaders started is known or has certainly ended.
func (s *State) Settled() bool { return s.settled && s.phase != following }

// ReadyToHandOver reports whether a planned stop may release the leadership now: no write to the table and no order to
// start is in flight. It is true for a process that does not lead, and false before the hand-over has begun.
func (s *State) ReadyToHandOver(now time.Time) bool {
	if s.phase != releasing {
		return s.phase == following
	}
	if s.releasingAtOnce() {
		return s.lastWritesAnswered() || now.Sub(s.releasingSince) >= maxReleaseWait
	}
	for _, p := range s.writers {
		if p.sending || len(p.dirty) > 0 {
			return false
		}
	}
	for _, w := range s.workersByID() {
		for _, r := range w.Runs {
			if r.State == jobs.Sent {
				return false
			}
		}
	}
	return true
}

// Phase returns a job's phase as far as the table holds it; false if this process does not know it.
func (s *State) Phase(id string) (wire.JobPhase, bool) {
	j := s.jobs[id]
	if j == nil || !s.Leading() || j.Delegated() {
		return wire.JobPhase_JOB_PHASE_UNSPECIFIED, false
	}
	if jobs.IsFinal(j.DurablePhase) {
		return j.DurablePhase, true
	}
	if j.HasStarted {
		return wire.JobPhase_JOB_PHASE_RUNNING, true
	}
	return wire.JobPhase_JOB_PHASE_QUEUED, true
}

// reportedCapacityMaxAge is the greatest age of the free workers and of the sums for fillers in a load message. They are
// cached because each visits every worker and its neighbours, or every waiting unit, and many hosts ask.
const reportedCapacityMaxAge = 250 * time.Millisecond

// reportedCapacity is the part of a load message that is cached.
type reportedCapacity struct {
	at                          time.Time
	harmless, startable, queued map[string]int64
	freeWorkers, lastingWorkers []*wire.FreeWorkers
}

// capacityToReport returns the part of a load message that is cached.
func (s *State) capacityToReport(now time.Time) reportedCapacity {
	if now.Sub(s.reportedCapacity.at) > reportedCapacityMaxAge {
		s.reportedCapacity = reportedCapacity{
			at: now, harmless: s.sumHarmlessFillerCapacity(), startable: s.sumStartableFillerCapacity(), queued: s.sumWaitingFillers(now),
		}
		s.reportedCapacity.freeWorkers, s.reportedCapacity.lastingWorkers = s.encodeWorkers()
	}
	return s.reportedCapacity
}

// Load returns a summary of the cell for the processes that choose a cell for a job. withBeliefs adds the beliefs about
// interference that this cell has learned itself.
func (s *State) Load(now time.Time, withBeliefs bool) *wire.CellLoad {
	labels := map[string]bool{}
	l := s.newLoad(now)
	l.SettlesInMs, l.Worker, l.Holds = s.timeToSettle(now).Milliseconds(), &wire.WorkerSize{}, s.HoldsLeadership()
	for _, w := range s.workersByID() {
		if w.Ended || !w.Listed || w.Leaving {
			continue
		}
		for _, label := range w.Labels {
			labels[label] = true
		}
		l.Worker.Millicores = max(l.Worker.Millicores, w.Capacity.Millicores)
		l.Worker.MemoryMb = max(l.Worker.MemoryMb, w.Capacity.MemoryMB)
		l.Worker.Accelerators = max(l.Worker.Accelerators, w.Capacity.Accelerators)
		if s.evacuating() {
			continue // labels and sizes remain true, but nothing may start here
		}
		l.CapacityMillicores += w.Capacity.Millicores
		l.FreeMillicores += max(0, w.FreeCapacity().Millicores)
		if w.SilentSince.IsZero() && s.recordedMembers[w.ID] {
			l.LargestFreeMillicores = max(l.LargestFreeMillicores, w.FreeCapacity().Millicores)
			l.LargestLastingMillicores = max(l.LargestLastingMillicores, w.Capacity.Minus(w.LastingReserved()).Millicores)
			s.addFreeCapacity(l, w)
		}
	}
	l.FreeEach, l.LastingFreeEach = largest(l.GetFreeEach()), largest(l.GetLastingFreeEach())
	l.Labels = slices.Sorted(maps.Keys(labels))
	capacity := s.capacityToReport(now)
	l.FillerRoomMillicores, l.FillerFreeMillicores, l.WaitingFillerMillicores = capacity.harmless, capacity.startable, capacity.queued
	if !s.evacuating() {
		l.FreeWorkers, l.LastingWorkers = capacity.freeWorkers, capacity.lastingWorkers
	}
	l.Forecasts = s.reportedForecasts(now)
	if withBeliefs {
		l.Beliefs = encodeBeliefs(s.interference.OwnBeliefs())
	}
	for _, j := range s.jobs {
		if j.Ended() {
			continue
		}
		addPending(l, j)
		for _, u := range j.Units {
			addUnitLoad(l, u)
		}
	}
	return l
}

// newLoad returns a load message that says which leader tells, and when it read its table.
func (s *State) newLoad(now time.Time) *wire.CellLoad {
	l := &wire.CellLoad{Leading: s.Leading(), Cell: s.name, Pending: map[string]int32{}}
	if s.Leading() {
		l.Epoch, l.TableReadMs = s.epoch, now.Sub(s.tableReadAt()).Milliseconds()
	}
	return l
}

// PendingLoad returns the part of a load message from which pending jobs are counted. Unlike Load it changes nothing, not
// even what is cached.
func (s *State) PendingLoad(now time.Time) *wire.CellLoad {
	l := s.newLoad(now)
	for _, j := range s.jobs {
		if !j.Ended() {
			addPending(l, j)
		}
	}
	return l
}

// addPending counts a job that has not ended in a load message if it is pending. Jobs of delegated tasks are counted by
// their home cell.
func addPending(l *wire.CellLoad, j *jobs.Job) {
	if !j.HasStarted && !j.Delegated() {
		l.Pending[j.Spec.GetQueue()]++
	}
}

// tableReadAt returns a time up to which this leader knows all jobs that the cell's table held: that of its last reading of
// new jobs, or that from which it leads, as it has read the whole table after that.
func (s *State) tableReadAt() time.Time {
	if s.caughtUpAt.Before(s.gainedAt) {
		return s.gainedAt
	}
	return s.caughtUpAt
}

// maxFreeListed is the most workers whose free capacity a load message lists because they have the most. More than that can't
// be filled by delegation before the next message, and the list would grow with the cell.
const maxFreeListed = 64

// largest returns the maxFreeListed largest numbers of a list.
func largest(list []int64) []int64 {
	slices.SortFunc(list, func(a, b int64) int { return cmp.Compare(b, a) })
	return list[:min(len(list), maxFreeListed)]
}

// addFreeCapacity adds a worker's free processors to the lists of free capacity of those tasks that may start there.
func (s *State) addFreeCapacity(l *wire.CellLoad, w *workers.Worker) {
	free := w.FreeCapacity().Millicores
	if free <= 0 {
		return
	}
	if !s.lastingOnly(w) {
		l.FreeEach = append(l.FreeEach, free)
	}
	if s.mayTakeLasting(w) {
		l.LastingFreeEach = append(l.LastingFreeEach, free)
	}
}

// timeToSettle returns how long it may take until each run that earlier leaders started is known or has certainly
// ended; 0: that is so already, or this process does not lead.
func (s *State) timeToSettle(now time.Time) time.Duration {
	if !s.HoldsLeadership() || s.newTasksSettled() {
		return 0
	}
	return max(time.Millisecond, s.settleDeadline.Sub(now))
}

// addUnitLoad adds the remaining work of a unit to a load message.
func addUnitLoad(l *wire.CellLoad, u *jobs.Unit) {
	const millicoresPerCore = 1000
	work := u.Size.Millicores * u.Spec.GetEstimateMs() / millicoresPerCore // in core milliseconds
	for _, t := range u.Tasks {
		switch {
		case t.Done || t.DelegatedTo != "":
		case u.Lasting():
			l.LastingMillicores += u.Size.Millicores
		case u.Spec.GetFiller():
			l.FillerCoreMs += work
		case len(t.Runs) == 0:
			l.BacklogCoreMs += work
		}
	}
}

// Counts is a summary of a cell for the status page and the metrics.
type Counts struct {
	Jobs, Waiting, Running, Workers, Usable, Aside int
	// Evacuated means that no task may start in the cell, because its hall is evacuated.
	Evacuated bool
	// Suspects are the tasks that are suspected of crashing workers.
	Suspects int
	Settled  bool
	// Reserve is the capacity kept for urgent tasks; nil if none is.
	Reserve *ReserveCounts
	// Forecasts are those for new jobs, if the cell makes any.
	Forecasts []*wire.QueueForecast `json:",omitempty"`
}

// ReserveCounts are the gaps for urgent tasks that the cell wants to be free, those that are, and how many lasting tasks
// this leader has stopped for urgent ones.
type ReserveCounts struct{ Wanted, Free, Stopped int }

// Counts returns the summary of the cell as of now.
func (s *State) Counts(now time.Time) Counts {
	c := Counts{Settled: s.settled, Evacuated: s.evacuating(), Forecasts: s.reportedForecasts(now)}
	for _, j := range s.jobs {
		if !j.Ended() {
			c.Jobs++
		}
	}
	s.eachImplicated(func(t *jobs.Task) {
		if t.Suspected() {
			c.Suspects++
		}
	})
	for u := range s.waitingUnits {
		c.Waiting += len(u.Waiting(now))
	}
	for _, w := range s.workersByID() {
		c.Workers++
		c.Running += len(w.Runs)
		if s.usable(now, w) {
			c.Usable++
		}
		if _, quarantined := w.Health.QuarantineReason(); quarantined {
			c.Aside++
		}
	}
	if s.keepsReserve() && s.phase == leading {
		c.Reserve = &ReserveCounts{Stopped: s.urgentReserve.stops.Total()}
		usable := s.usableWorkers(now)
		for service := range s.urgentReserve.demands {
			is := s.reserveOf(service, usable)
			c.Reserve.Wanted, c.Reserve.Free = c.Reserve.Wanted+is.wanted, c.Reserve.Free+is.free
		}
	}
	return c
}
