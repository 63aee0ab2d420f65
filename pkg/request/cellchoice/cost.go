package cellchoice

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// otherHallCost is the cost in ms of a cell in another hall. The backlog of the own hall's
	// cell must be that much longer before a job goes elsewhere: its data and results cross
	// halls then, and its callers' host is a network hop away from its leader.
	otherHallCost = 60.0
	// allLastingCost is the cost in ms of a cell whose capacity is all taken by lasting tasks.
	// These stay, so spreading them has priority over spreading short work.
	allLastingCost = 3000.0
	// lastingUsedShare is the assumed share of their reserved processors that lasting tasks
	// use. Fillers get the rest.
	lastingUsedShare = 0.5
	// minFreeShare is the least free share of a cell's capacity that estimates assume, so that
	// the wait in a full cell stays finite.
	minFreeShare = 0.05
	// noLeaderCost ranks a cell without a leader behind each cell that has one.
	noLeaderCost = 1e9
	// evacuatedCost ranks a cell in an evacuated hall behind one without a leader, which gets one within seconds.
	evacuatedCost = 1e10
	// refusesCost ranks a cell where the job would be too late behind each cell where it may be in time, but before
	// those that can't run it.
	refusesCost = 1e6
	// imageRankCost is the cost in ms of each rank in an image's order of cells, for a lasting
	// job: as much as a sixth of the cell's capacity in lasting tasks.
	imageRankCost = 500.0
)

// demand is the sum of a job's requests: millicores for lasting tasks, core ms for plain tasks
// and for fillers.
type demand struct {
	lastingMillicores, plainCoreMs, fillerCoreMs int64
	// lastingImage is the image of the job's lasting tasks, fillerCoreMsByImage the work of its fillers.
	lastingImage        string
	fillerCoreMsByImage map[string]int64
}

// demandOf returns the demand of all steps of a job.
func demandOf(spec *wire.JobSpec) demand {
	d := demand{fillerCoreMsByImage: map[string]int64{}}
	for _, step := range spec.GetSteps() {
		millicores := step.GetMillicores() * int64(step.GetCount())
		work := millicores * step.GetEstimateMs() / 1000
		switch {
		case step.GetLasting():
			d.lastingMillicores += millicores
			d.lastingImage = spec.ImageOf(step)
		case step.GetFiller():
			d.fillerCoreMs += work
			d.fillerCoreMsByImage[spec.ImageOf(step)] += work
		default:
			d.plainCoreMs += work
		}
	}
	return d
}

// cost returns a job's estimated wait in a cell in ms, plus the costs of distance, of a missing
// leader and of lasting tasks. Without a fresh load, only distance and leader count.
func (b *Board) cost(now time.Time, name string, cells map[string]Cell, d demand) float64 {
	cost := 0.0
	if cells[name].Hall != b.hall {
		cost += otherHallCost
	}
	if !cells[name].HasLeader {
		cost += noLeaderCost
	}
	if cells[name].Evacuated {
		cost += evacuatedCost
	}
	if cells[name].Refuses {
		cost += refusesCost
	}
	l := b.freshLoad(now, name)
	if l == nil || l.GetCapacityMillicores() == 0 {
		return cost
	}
	cost += float64(l.GetSettlesInMs())
	capacity := float64(l.GetCapacityMillicores())
	lasting := float64(l.GetLastingMillicores())
	if d.lastingMillicores > 0 {
		cost += allLastingCost*(lasting+float64(d.lastingMillicores))/capacity + imageAffinityCost(name, d.lastingImage, cells)
	}
	if d.plainCoreMs > 0 {
		cost += float64(l.GetBacklogCoreMs()+d.plainCoreMs) * 1000 / max(minFreeShare*capacity, capacity-lasting)
	}
	if d.fillerCoreMs > 0 {
		cost += fillerCost(l, d, max(minFreeShare*capacity, capacity-lastingUsedShare*lasting))
	}
	return cost
}

// imageAffinityCost returns a cost that draws lasting jobs of one image to the same cell,
// whichever host accepts them. The fewer images a cell serves, the more kinds of fillers find a
// worker there without interference. A hash gives each image its own order of cells.
func imageAffinityCost(name, image string, cells map[string]Cell) float64 {
	ownHash, rank := imageHash(image, name), 0
	for other := range cells {
		if other != name && imageHash(image, other) < ownHash {
			rank++
		}
	}
	return imageRankCost * float64(rank)
}

// imageHash returns the hash that orders the cells for an image: the cell with the lowest one is preferred.
func imageHash(image, cell string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(image + "/" + cell)) // writing to a hash never fails
	return h.Sum64()
}

// fillerCost returns the estimated wait in ms of a job's fillers in a cell, by the cell's
// capacity for each image. For an image whose capacity the cell does not report it assumes
// defaultMillicores.
func fillerCost(l *wire.CellLoad, d demand, defaultMillicores float64) float64 {
	cost := 0.0
	for _, image := range slices.Sorted(maps.Keys(d.fillerCoreMsByImage)) { // sorted: a sum of floats depends on the order
		work := d.fillerCoreMsByImage[image]
		millicores := defaultMillicores
		if known, ok := l.GetFillerRoomMillicores()[image]; ok {
			millicores = max(minFreeShare*float64(l.GetCapacityMillicores()), float64(known))
		}
		cost += float64(l.GetFillerCoreMs()+d.fillerCoreMs) * 1000 / millicores * float64(work) / float64(d.fillerCoreMs)
	}
	return cost
}
