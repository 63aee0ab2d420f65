package cell

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// The free capacity that load messages report: for each worker all that a task may ask for, so that another cell can tell
// how many tasks of a unit could start here.

// freeWorker is the free capacity of one worker.
type freeWorker struct {
	worker      *workers.Worker
	free        ledger.Size
	unused      int64
	lastingOnly bool
	// group identifies the group of a load message to which the worker belongs.
	group string
	// share is the part of the worker that is free, of the resource of which least is free.
	share float64
}

// encodeWorkers returns the free workers that a load message lists, and those that lasting tasks would find.
func (s *State) encodeWorkers() (free, lasting []*wire.FreeWorkers) {
	var freeNow, withoutShort []freeWorker
	for _, w := range s.workersByID() {
		if w.Ended || !w.Listed || w.Leaving || !w.SilentSince.IsZero() || !s.recordedMembers[w.ID] {
			continue
		}
		group := groupOf(w)
		withoutShort = append(withoutShort, freeWorker{worker: w, free: w.Capacity.Minus(w.LastingReserved()), group: group})
		if f, ok := s.freeWorkerOf(w, group); ok {
			freeNow = append(freeNow, f)
		}
	}
	return encodeFreeWorkers(workersToList(freeNow)), encodeFreeWorkers(largestWorkers(withoutShort))
}

// freeWorkerOf returns the free capacity of a worker with the given service and labels, false if it has none for new tasks.
func (s *State) freeWorkerOf(w *workers.Worker, group string) (freeWorker, bool) {
	f := freeWorker{worker: w, free: w.FreeCapacity(), unused: max(0, w.UnusedMillicores()), lastingOnly: s.lastingOnly(w), group: group}
	most := max(f.free.Millicores, f.unused)
	f.share = min(float64(most)/float64(max(1, w.Capacity.Millicores)), float64(f.free.MemoryMB)/float64(max(1, w.Capacity.MemoryMB)))
	if f.lastingOnly {
		f.group += "\x00\x00"
	}
	return f, s.mayTakeLasting(w) && most > 0
}

// lastingOnly reports whether only lasting tasks may start at a worker. A reservation for a waiting lasting task keeps short
// tasks off the worker; other lasting tasks that fit there start, whichever cell they come from.
func (s *State) lastingOnly(w *workers.Worker) bool {
	return s.closedWorkers[w] || s.reservedForLasting[w]
}

// mayTakeLasting reports whether lasting tasks may start at a worker, unless it is closed for an isolated run that they may not
// join yet.
func (s *State) mayTakeLasting(w *workers.Worker) bool {
	return !s.closedWorkers[w] || mayShareIsolated(w)
}

// groupOf returns a key of a worker's service and labels.
func groupOf(w *workers.Worker) string {
	labels := w.Labels
	if !slices.IsSorted(labels) {
		labels = slices.Sorted(slices.Values(labels))
	}
	return w.Service + "\x00" + strings.Join(labels, "\x00")
}

// minListedPerGroup is the most workers of a group that a load message lists besides the freest ones of its service: a lasting
// task has to run where it fits twice.
const minListedPerGroup = 2

// workersToList returns the workers that a load message lists: maxFreeListed with the largest free shares, the same number of
// each service that has so many, and up to maxFreeListed more, the freest of groups that lack an entry. Without these, a cell
// with many idle workers would hide the few that a task could use.
func workersToList(list []freeWorker) []freeWorker {
	slices.SortFunc(list, func(a, b freeWorker) int {
		return cmp.Or(cmp.Compare(b.share, a.share), cmp.Compare(a.worker.ID, b.worker.ID))
	})
	services := map[string][]freeWorker{}
	for _, f := range list {
		services[f.worker.Service] = append(services[f.worker.Service], f)
	}
	names := slices.Sorted(maps.Keys(services))
	freest := min(len(list), maxFreeListed)
	listed, groups := make([]freeWorker, 0, 2*freest), map[string]int{}
	add := func(name string) {
		f := services[name][0]
		services[name] = services[name][1:]
		listed = append(listed, f)
		groups[f.group]++
	}
	for len(listed) < freest {
		for _, name := range names {
			if len(services[name]) > 0 && len(listed) < freest {
				add(name)
			}
		}
	}
	for _, name := range names {
		for _, f := range services[name] {
			if groups[f.group] < minListedPerGroup && len(listed) < freest+maxFreeListed {
				listed = append(listed, f)
				groups[f.group]++
			}
		}
	}
	return listed
}

// largestWorkers returns the workers that have more of something than any other worker of their service, and then those of
// which that holds among workers with their labels, at most maxFreeListed in all.
func largestWorkers(list []freeWorker) []freeWorker {
	services, groups := map[string][]freeWorker{}, map[string][]freeWorker{}
	for _, f := range list {
		if f.free.Millicores > 0 {
			services[f.worker.Service] = withLarger(services[f.worker.Service], f)
			groups[f.group] = withLarger(groups[f.group], f)
		}
	}
	var largest []freeWorker
	listed := map[*workers.Worker]bool{}
	for _, fronts := range []map[string][]freeWorker{services, groups} {
		for _, key := range slices.Sorted(maps.Keys(fronts)) {
			for _, f := range fronts[key] {
				if !listed[f.worker] && len(largest) < maxFreeListed {
					listed[f.worker] = true
					largest = append(largest, f)
				}
			}
		}
	}
	return largest
}

// withLarger adds a worker to a list of workers of which none has as much of everything as another one, unless one of them has
// as much of everything as it has. It removes those that have no more of anything.
func withLarger(list []freeWorker, f freeWorker) []freeWorker {
	if slices.ContainsFunc(list, func(other freeWorker) bool { return f.free.Fits(other.free) }) {
		return list
	}
	return append(slices.DeleteFunc(list, func(other freeWorker) bool { return other.free.Fits(f.free) }), f)
}

// encodeFreeWorkers returns the entries of a load message for workers, grouped by service and labels.
func encodeFreeWorkers(list []freeWorker) []*wire.FreeWorkers {
	groups := map[string]*wire.FreeWorkers{}
	for _, f := range list {
		g := groups[f.group]
		if g == nil {
			g = &wire.FreeWorkers{Service: f.worker.Service, Labels: slices.Sorted(slices.Values(f.worker.Labels)), LastingOnly: f.lastingOnly}
			groups[f.group] = g
		}
		g.Millicores = append(g.Millicores, max(0, f.free.Millicores))
		g.MemoryMb = append(g.MemoryMb, max(0, f.free.MemoryMB))
		g.Accelerators = append(g.Accelerators, max(0, f.free.Accelerators))
		g.UnusedMillicores = append(g.UnusedMillicores, f.unused)
	}
	encoded := make([]*wire.FreeWorkers, 0, len(groups))
	for _, key := range slices.Sorted(maps.Keys(groups)) {
		g := groups[key]
		if !slices.ContainsFunc(g.GetAccelerators(), func(n int64) bool { return n > 0 }) {
			g.Accelerators = nil
		}
		encoded = append(encoded, g)
	}
	return encoded
}

// sumWaitingFillers returns the millicores that the waiting fillers ask for that a worker of this cell could run, by service.
func (s *State) sumWaitingFillers(now time.Time) map[string]int64 {
	sums := map[string]int64{}
	for u := range s.waitingUnits {
		if u.Spec.GetFiller() && s.couldEverRun(u) {
			sums[s.serviceOf(u.Job)] += u.Size.Millicores * int64(len(u.Waiting(now)))
		}
	}
	return sums
}

// startable returns how many tasks of a unit of a service could start in the cell by its last load message, by all that the
// unit asks for. Senders of earlier versions report processors only.
func (o peerLoad) startable(u *jobs.Unit, service string) int64 {
	sum := int64(0)
	if len(o.load.GetFreeWorkers()) == 0 {
		for _, free := range o.freeEachFor(u) {
			sum += startableAt(&wire.FreeWorkers{Millicores: []int64{free}, UnusedMillicores: []int64{free}, MemoryMb: []int64{math.MaxInt64}, Accelerators: []int64{math.MaxInt64}}, 0, u)
		}
		return sum
	}
	for _, g := range o.load.GetFreeWorkers() {
		if !takes(g, u, service) {
			continue
		}
		for i := range g.GetMillicores() {
			sum += startableAt(g, i, u)
		}
	}
	return sum
}

// mostForLasting returns the most millicores that a lasting task of a unit of a service would find at a worker on which it fits
// once the short tasks there have ended; 0 if it would fit on none. Senders of earlier versions report processors only.
func (o peerLoad) mostForLasting(u *jobs.Unit, service string) int64 {
	if len(o.load.GetLastingWorkers()) == 0 {
		return o.load.GetLargestLastingMillicores()
	}
	most := int64(0)
	for _, g := range o.load.GetLastingWorkers() {
		if !takes(g, u, service) {
			continue
		}
		for i, millicores := range g.GetMillicores() {
			if startableAt(g, i, u) > 0 {
				most = max(most, millicores)
			}
		}
	}
	return most
}

// takes reports whether tasks of a unit of a service may start at the workers of a group.
func takes(g *wire.FreeWorkers, u *jobs.Unit, service string) bool {
	return g.GetService() == service && (u.Lasting() || !g.GetLastingOnly()) && (u.Spec.GetLabel() == "" || slices.Contains(g.GetLabels(), u.Spec.GetLabel()))
}

// startableElsewhere returns how many tasks of a unit could start in each other cell.
func (s *State) startableElsewhere(now time.Time, u *jobs.Unit) map[string]int64 {
	counts := map[string]int64{}
	for name, o := range s.peerLoads {
		if name != s.name && o.mayReceive(now) && o.hasLabelFor(u) {
			counts[name] = o.startable(u, s.serviceOf(u.Job))
		}
	}
	return counts
}

// startableAt returns how many tasks of a unit could start at the i-th worker of a group.
func startableAt(g *wire.FreeWorkers, i int, u *jobs.Unit) int64 {
	n := entry(g.GetMillicores(), i) / max(1, u.Size.Millicores)
	if u.Spec.GetFiller() {
		n = fillersInUnused(entry(g.GetUnusedMillicores(), i), u.Size.Millicores)
	}
	if u.Size.MemoryMB > 0 {
		n = min(n, entry(g.GetMemoryMb(), i)/u.Size.MemoryMB)
	}
	if u.Size.Accelerators > 0 {
		n = min(n, entry(g.GetAccelerators(), i)/u.Size.Accelerators)
	}
	if spread := int64(u.Spec.GetSpread()); spread > 0 {
		n = min(n, spread)
	}
	return n
}

// entry returns the i-th number of a list, 0 if the list is shorter.
func entry(list []int64, i int) int64 {
	if i >= len(list) {
		return 0
	}
	return list[i]
}

// fillersInUnused returns how many fillers of a size may start one after the other where so many millicores are unused.
func fillersInUnused(unused, size int64) int64 {
	needed := int64(minUnusedShare * float64(size))
	if size <= 0 || unused < needed {
		return 0
	}
	return (unused-needed)/size + 1
}
