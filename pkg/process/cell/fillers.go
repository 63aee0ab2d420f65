package cell

import (
	"math"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Which places a filler may take: those with unused processors, where it costs its
// neighbours (harm.go) no more than it earns, or than its wait has come to be worth.

const (
	// disturbAfter is how long a filler waits for a harmless place in a cell, or
	// among cells, with room, and roomyBelow the share of their room in use below
	// which there is some: there, work that stands still for three seconds counts as
	// lost.
	disturbAfter = 1500 * time.Millisecond
	roomyBelow   = 0.6
	// patience is the wait after which a filler may cost as much more than it earns
	// as it earns: who waits on costs its job ever more.
	patience = 8 * time.Second
	// fillerShare is the least share of its processors that must be unused for
	// a filler to start: fewer that run at full speed end sooner, one after the
	// other, than many that share.
	fillerShare = 0.7
)

// mayCost is how much more a filler may cost its neighbours than it earns. That
// grows with its wait: it does not wait forever, whatever its job still earns.
func (s *State) mayCost(now time.Time, u *jobs.Unit) float64 {
	waits := now.Sub(u.ReadyAt)
	if !s.has(WaitForCheapPlaces) {
		return math.Inf(1)
	}
	if s.roomy && waits >= disturbAfter {
		return math.Inf(1)
	}
	return fullEarns(u) * waits.Seconds() / patience.Seconds()
}

// isRoomy says whether much of the room is free: in this cell, or in all of which
// this process has heard lately.
func (s *State) isRoomy(now time.Time) bool {
	taken, all := int64(0), int64(0)
	for _, w := range s.sorted() {
		if !w.Gone {
			all += w.Capacity.Millicores
			taken += w.Capacity.Millicores - w.Free().Millicores
		}
	}
	if float64(taken) < roomyBelow*float64(all) {
		return true
	}
	for name, o := range s.others {
		if name != s.name && now.Sub(o.at) <= othersFresh {
			all += o.load.GetCapacityMillicores()
			taken += o.load.GetCapacityMillicores() - o.load.GetFreeMillicores()
		}
	}
	return float64(taken) < roomyBelow*float64(all)
}

// fillerFits says whether a filler would get enough of a worker's unused
// processors.
func fillerFits(now time.Time, u *jobs.Unit, w *workers.Worker) bool {
	return !now.Before(w.NoFillersUntil) && float64(w.Unused()) >= fillerShare*float64(u.Size.Millicores)
}
