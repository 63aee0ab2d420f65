package cell

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/reserve"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Capacity that is kept for urgent tasks, those of the queues with the highest priority. Package reserve decides how much
// that is, and which lasting tasks are stopped where it is missing. Waiting lasting tasks yield: they leave the gaps that
// are kept to urgent tasks, for a time within which they must run again anyway.

// urgentReserve is what one leadership knows of the capacity that it keeps, by service.
type urgentReserve struct {
	demands map[string]*reserve.Demand
	stops   reserve.Stops
	// wanted is how many gaps are to be free. waiting is the number of urgent tasks that wait. Both are as of the last
	// observation, wanted less the urgent tasks started since.
	wanted, waiting map[string]int
	// runs is used by observeUrgent only, which would allocate it anew each time.
	runs map[*jobs.Unit]int
	// triedAt is when stopForUrgent last looked for tasks to stop.
	triedAt time.Time
	// freedAt is when a lasting task was last ordered to stop at a worker.
	freedAt map[*workers.Worker]time.Time
	// logged are the last numbers in the log by service, loggedAt is when they were logged.
	logged   map[string]reserveNumbers
	loggedAt map[string]time.Time
}

// reserveNumbers are the gaps that a cell wants to be free for a service, those that are free, and their size.
type reserveNumbers struct {
	wanted, free int
	size         ledger.Size
}

func newUrgentReserve() *urgentReserve {
	return &urgentReserve{
		demands: map[string]*reserve.Demand{}, wanted: map[string]int{}, waiting: map[string]int{}, freedAt: map[*workers.Worker]time.Time{},
		runs: map[*jobs.Unit]int{}, logged: map[string]reserveNumbers{}, loggedAt: map[string]time.Time{},
	}
}

// reserveLogInterval is the least time between two log lines about the reserve of a service.
const reserveLogInterval = time.Second

// keepsReserve reports whether this cell keeps capacity for urgent tasks.
func (s *State) keepsReserve() bool {
	return s.bounds.UrgentWait > 0 && s.enabled(UrgentReserve) && s.manifest != nil
}

// urgent reports whether the tasks of a unit are urgent work: plain tasks of a queue with the highest priority.
func (s *State) urgent(u *jobs.Unit) bool {
	if u.Lasting() || u.Spec.GetFiller() || u.Spec.GetGang() {
		return false
	}
	q, known := s.manifest.Queue(u.Job.Spec.GetQueue())
	return known && q.Priority == s.manifest.HighestPriority()
}

// observeUrgent updates the demand by the urgent tasks that run and wait now.
func (s *State) observeUrgent(now time.Time) {
	if !s.keepsReserve() {
		return
	}
	k := s.urgentReserve
	present, running := map[string]map[ledger.Size]int{}, map[string]int{}
	// The runs are counted by unit first: a cell has a thousand of them, and decides some hundred times a second.
	count := func(u *jobs.Unit, n int) string {
		service := s.serviceOf(u.Job)
		if present[service] == nil {
			present[service] = map[ledger.Size]int{}
		}
		present[service][u.Size] += n
		return service
	}
	clear(k.runs)
	for _, w := range s.workersByID() {
		for _, r := range w.Runs {
			if !r.Task.Unit.Lasting() {
				k.runs[r.Task.Unit]++
			}
		}
	}
	for u, n := range k.runs {
		if s.urgent(u) {
			running[count(u, n)] += n
		}
	}
	clear(k.runs)
	clear(k.waiting)
	maps.DeleteFunc(k.freedAt, func(_ *workers.Worker, at time.Time) bool { return now.Sub(at) >= nextStopAfter })
	for u := range s.waitingUnits {
		if !s.urgent(u) || u.Outlook == jobs.Hopeless || !s.fitsEmptyWorker(u) {
			continue // nothing is kept for what earns nothing, or can't start
		}
		if n := waitingTasks(now, u); n > 0 {
			k.waiting[count(u, n)] += n
		}
	}
	for service := range present {
		if k.demands[service] == nil {
			k.demands[service] = &reserve.Demand{}
		}
	}
	for service, d := range k.demands {
		d.Observe(now, present[service])
		k.wanted[service] = d.Wanted(running[service])
	}
}

// fitsEmptyWorker reports whether a worker of this cell could take a task of a unit if nothing else ran there.
func (s *State) fitsEmptyWorker(u *jobs.Unit) bool {
	service := s.serviceOf(u.Job)
	return slices.ContainsFunc(s.workersByID(), func(w *workers.Worker) bool {
		return w.Service == service && w.HasLabel(u.Spec.GetLabel()) && u.Size.Fits(w.Capacity)
	})
}

// waitingTasks returns how many tasks of a unit wait, without the list of them.
func waitingTasks(now time.Time, u *jobs.Unit) int {
	n := 0
	for _, t := range u.Tasks {
		if t.Waiting(now) {
			n++
		}
	}
	return n
}

// urgentWaits reports whether this cell keeps capacity for urgent tasks of a service and some of them wait.
func (s *State) urgentWaits(service string) bool {
	return s.keepsReserve() && s.urgentReserve.waiting[service] > 0
}

// gapsFree returns how many gaps of a size the usable workers of a service have, as free returns their free capacity. No
// urgent task may join the isolated run of another task.
func (s *State) gapsFree(usable []*workers.Worker, service string, size ledger.Size, free func(*workers.Worker) ledger.Size) int {
	gaps := 0
	for _, w := range usable {
		if w.Service == service && !s.closedWorkers[w] {
			gaps += reserve.Gaps(free(w), size)
		}
	}
	return gaps
}

// freeSoon returns the capacity of a worker that is free once the runs have ended that are being stopped.
func freeSoon(w *workers.Worker) ledger.Size {
	free := w.FreeCapacity()
	for _, r := range w.Runs {
		if r.State == jobs.Stopping {
			free = free.Plus(workers.ReservedSize(r.Task.Unit))
		}
	}
	return free
}

// chooseForWaiting returns the worker for a waiting task as chooseWorker does, but a lasting task that yields gets none whose
// gaps are kept for urgent tasks. yields reports whether that keeps it from every worker.
func (s *State) chooseForWaiting(now time.Time, t *jobs.Task, service string, usable []*workers.Worker) (w *workers.Worker, yields bool) {
	if !s.mayYield(now, t, service) {
		return s.chooseWorker(now, t, service, usable), false
	}
	rest := s.outsideReserve(t.Unit, service, usable)
	if w := s.chooseWorker(now, t, service, rest); w != nil || len(rest) == len(usable) {
		return w, false
	}
	if s.mustYield(now, t, service) {
		return nil, true
	}
	return s.chooseWorker(now, t, service, usable), false
}

// freedFor is how long capacity is kept from all lasting tasks after a stop was ordered for urgent ones: the stop takes up
// to 0.9 s, and placement a few attempts. A lasting task must run within three seconds where there is capacity for it.
const freedFor = 2 * time.Second

// nextStopAfter is the least time between two stops at a worker: after freedFor, lasting tasks have as long to take what
// urgent ones leave free.
const nextStopAfter = 2 * freedFor

// poolFor returns the usable workers for a unit: without those at which capacity is being freed for urgent tasks that still
// wait, if it is lasting. Lasting tasks that have waited for long, which don't yield, would take parts of it. notFreed holds
// the result by service for one placement.
func (s *State) poolFor(now time.Time, u *jobs.Unit, usable []*workers.Worker, notFreed map[string][]*workers.Worker) []*workers.Worker {
	if !u.Lasting() || u.Spec.GetGang() || len(s.urgentReserve.freedAt) == 0 {
		return usable
	}
	service := s.serviceOf(u.Job)
	if !s.urgentWaits(service) {
		return usable
	}
	if _, known := notFreed[service]; !known {
		notFreed[service] = slices.DeleteFunc(slices.Clone(usable), func(w *workers.Worker) bool {
			at, stopped := s.urgentReserve.freedAt[w]
			return stopped && now.Sub(at) < freedFor
		})
	}
	return notFreed[service]
}

// mayYield reports whether a task is a lasting one that leaves capacity to urgent tasks where it has another choice. The
// bound on the wait is kept from what this leader knows: a task that was handed over more than once has waited longer than
// its cells know, and a leader that has just begun does not know when tasks last ran unless it stopped them. The next run
// of a task with crash evidence has conditions of its own.
func (s *State) mayYield(now time.Time, t *jobs.Task, service string) bool {
	if !t.Unit.Lasting() || !s.keepsReserve() || s.urgentReserve.wanted[service] <= 0 {
		return false
	}
	if now.Sub(waitingSince(t)) >= reserve.YieldFor || t.Delegations > 1 || len(t.ReturnedAt) > 0 || t.NeedsStartRecord() {
		return false
	}
	return now.Sub(s.gainedAt) >= reserve.YieldFor || s.urgentReserve.stops.Resting(now, t.Name())
}

// mustYield reports whether a task that may yield waits even if all capacity for it in this cell is kept: another cell can
// take it, urgent tasks wait here, or it was stopped for them.
func (s *State) mustYield(now time.Time, t *jobs.Task, service string) bool {
	return s.urgentReserve.waiting[service] > 0 || s.urgentReserve.stops.Resting(now, t.Name()) || s.peerForTask(now, t.Unit, t.ReturnedAt, s.minFitsElsewhere()) != ""
}

// yieldsToUrgent reports whether a lasting task with capacity here waits because that is kept for urgent tasks.
func (s *State) yieldsToUrgent(now time.Time, t *jobs.Task) bool {
	service := s.serviceOf(t.Unit.Job)
	if !s.mayYield(now, t, service) || !s.mustYield(now, t, service) {
		return false
	}
	rest := s.outsideReserve(t.Unit, service, s.usableWorkers(now))
	return !slices.ContainsFunc(rest, func(w *workers.Worker) bool { return s.fits(now, t.Unit, service, w) })
}

// outsideReserve returns the usable workers at which one more task of a unit leaves as many gaps free as are wanted.
func (s *State) outsideReserve(u *jobs.Unit, service string, usable []*workers.Worker) []*workers.Worker {
	size := s.urgentReserve.demands[service].Size()
	spare := max(0, s.gapsFree(usable, service, size, (*workers.Worker).FreeCapacity)-s.urgentReserve.wanted[service])
	rest := make([]*workers.Worker, 0, len(usable))
	for _, w := range usable {
		free := w.FreeCapacity()
		if reserve.Gaps(free, size)-reserve.Gaps(free.Minus(workers.ReservedSize(u)), size) <= spare {
			rest = append(rest, w)
		}
	}
	return rest
}

// urgentStarted updates the number of wanted gaps by the start of a task.
func (s *State) urgentStarted(u *jobs.Unit) {
	if s.keepsReserve() && s.urgent(u) {
		service := s.serviceOf(u.Job)
		s.urgentReserve.wanted[service] = max(0, s.urgentReserve.wanted[service]-1)
	}
}

// reserveOf returns the numbers of the reserve of a service.
func (s *State) reserveOf(service string, usable []*workers.Worker) reserveNumbers {
	size := s.urgentReserve.demands[service].Size()
	return reserveNumbers{
		wanted: s.urgentReserve.wanted[service], size: size,
		free: s.gapsFree(usable, service, size, (*workers.Worker).FreeCapacity),
	}
}

// logReserve logs the reserve of each service if it has changed.
func (s *State) logReserve(now time.Time) {
	if !s.keepsReserve() {
		return
	}
	k := s.urgentReserve
	for _, service := range slices.Sorted(maps.Keys(k.demands)) {
		if now.Sub(k.loggedAt[service]) < reserveLogInterval {
			continue
		}
		is := s.reserveOf(service, s.usableWorkers(now))
		if is == k.logged[service] {
			continue
		}
		k.logged[service], k.loggedAt[service] = is, now
		s.note(Note{
			Kind: NoteReserveChanged, AgeMs: -1,
			Detail: fmt.Sprintf("%s: %d gaps wanted, %d free, of %d millicores and %d MB", service, is.wanted, is.free, is.size.Millicores, is.size.MemoryMB),
		})
	}
}
