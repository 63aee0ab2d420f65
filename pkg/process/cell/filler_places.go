package cell

import (
	"math"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Which workers a filler may start on: those with enough unused CPU, where it costs its neighbours no more
// than it earns (its net cost, filler_cost.go). The longer it waits, the higher its net cost may be.

const (
	// harmfulPlaceAfter is how long a filler waits for a harmless worker while the cell, or the cells together,
	// have spare capacity: work that then makes no progress for three seconds counts as lost. mostlyFreeBelow
	// is the share of CPU in use below which capacity counts as spare.
	harmfulPlaceAfter = 1500 * time.Millisecond
	mostlyFreeBelow   = 0.6
	// fullNetCostWait is the wait after which maxNetCost reaches fullValueRate. The limit grows because the wait costs
	// the filler's job more and more.
	fullNetCostWait = 8 * time.Second
	// minUnusedShare is the share of the CPU that a filler asks for that must be unused at its start: a few fillers
	// at full speed, one after the other, end sooner than many that share.
	minUnusedShare = 0.7
)

// maxNetCost returns the highest net cost (fillerNetCost) at which a filler may start. It grows with the wait, so
// that no filler waits forever, whatever its job still earns.
func (s *State) maxNetCost(now time.Time, u *jobs.Unit) float64 {
	waits := now.Sub(u.ReadyAt)
	if !s.enabled(WaitForCheapPlaces) {
		return math.Inf(1)
	}
	if (s.mostlyFree || s.cellsMostlyFree) && waits >= harmfulPlaceAfter {
		return math.Inf(1)
	}
	return fullValueRate(u) * waits.Seconds() / fullNetCostWait.Seconds()
}

// updateMostlyFree determines whether there is spare capacity: in this cell, and in all cells together of which this process has a
// recent load message.
func (s *State) updateMostlyFree(now time.Time) {
	taken, all := int64(0), int64(0)
	for _, w := range s.workersByID() {
		if !w.Ended {
			all += w.Capacity.Millicores
			taken += w.Capacity.Millicores - w.FreeCapacity().Millicores
		}
	}
	s.mostlyFree = isMostlyFree(taken, all)
	for name, o := range s.peerLoads {
		if name != s.name && now.Sub(o.receivedAt) <= peerLoadMaxAge && o.tellsCapacity() {
			all += o.load.GetCapacityMillicores()
			taken += o.load.GetCapacityMillicores() - o.load.GetFreeMillicores()
		}
	}
	s.cellsMostlyFree = isMostlyFree(taken, all)
}

// isMostlyFree reports whether capacity counts as spare of which so many millicores are taken.
func isMostlyFree(taken, all int64) bool { return float64(taken) < mostlyFreeBelow*float64(all) }

// enoughUnusedCPU reports whether a filler would get enough unused CPU at a worker, and whether fillers may
// join there at all. A job that has been idle for too long gets one filler started without that.
func (s *State) enoughUnusedCPU(now time.Time, u *jobs.Unit, w *workers.Worker) bool {
	return !now.Before(w.NoFillersUntil) && (fillerFits(u, w.UnusedMillicores()) || s.idleTooLong(now, u))
}

// fillerFits reports whether so many unused millicores are enough for a filler.
func fillerFits(u *jobs.Unit, unused int64) bool {
	return float64(unused) >= minUnusedShare*float64(u.Size.Millicores)
}
