package cellchoice

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// otherHallCost is how much more work, in ms of the whole cell, must wait in the
	// own hall's cell before a job goes to another: a job's data and results
	// cross halls then, and its callers' host is a hop away from its leader.
	otherHallCost = 60.0
	// allLastingCost is what a cell that is full of lasting tasks costs, in the
	// same ms: they stay, so they are spread before short work is.
	allLastingCost = 3000.0
	// lastingUsedShare is the share of their reserved processors that lasting tasks
	// use: fillers get the rest.
	lastingUsedShare = 0.5
	// minRoomShare keeps the estimate of a full cell finite, as a share of it.
	minRoomShare = 0.05
	// noLeaderCost puts a cell without a leader behind any with one.
	noLeaderCost = 1e9
	// imageRankCost is what a step down in an image's order of cells costs a lasting
	// job: as much as a cell that is a sixth fuller.
	imageRankCost = 500.0
)

// demand is what a job asks for: millicores for lasting tasks, core ms for
// others.
type demand struct {
	lastingMillicores, plainCoreMs, fillerCoreMs int64
	// lastingImage is the image of the lasting tasks, fillers the work by image.
	lastingImage        string
	fillerCoreMsByImage map[string]int64
}

func demandOf(spec *wire.JobSpec) demand {
	d := demand{fillerCoreMsByImage: map[string]int64{}}
	for _, step := range spec.GetSteps() {
		each := step.GetMillicores() * int64(step.GetCount())
		work := each * step.GetEstimateMs() / 1000
		switch {
		case step.GetLasting():
			d.lastingMillicores += each
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

// cost is how many ms a job would wait in a cell, and what the way costs.
func (b *Board) cost(now time.Time, name string, cells map[string]Cell, d demand) float64 {
	cost := 0.0
	if cells[name].Hall != b.hall {
		cost += otherHallCost
	}
	if !cells[name].Led {
		cost += noLeaderCost
	}
	l := b.freshLoad(now, name)
	if l == nil || l.GetCapacityMillicores() == 0 {
		return cost
	}
	cost += float64(l.GetSettlesInMs())
	all := float64(l.GetCapacityMillicores())
	lasting := float64(l.GetLastingMillicores())
	if d.lastingMillicores > 0 {
		cost += allLastingCost*(lasting+float64(d.lastingMillicores))/all + imageAffinityCost(name, d.lastingImage, cells)
	}
	if d.plainCoreMs > 0 {
		cost += float64(l.GetBacklogCoreMs()+d.plainCoreMs) * 1000 / max(minRoomShare*all, all-lasting)
	}
	if d.fillerCoreMs > 0 {
		cost += fillerCost(l, d, max(minRoomShare*all, all-lastingUsedShare*lasting))
	}
	return cost
}

// imageAffinityCost draws lasting jobs of one image to the same cell, whoever accepts them:
// the fewer images a cell serves, the more kinds of fillers find a place there
// where they do no harm. Each image has an order of cells of its own, by a hash.
func imageAffinityCost(name, image string, cells map[string]Cell) float64 {
	own, before := imageHash(image, name), 0
	for other := range cells {
		if other != name && imageHash(image, other) < own {
			before++
		}
	}
	return imageRankCost * float64(before)
}

func imageHash(image, cell string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(image + "/" + cell)) // a hash takes anything
	return h.Sum64()
}

// fillerCost is how long a job's fillers would wait in a cell, by the room that it
// has for each of their images; unseen ones are taken to find the usual room.
func fillerCost(l *wire.CellLoad, d demand, usual float64) float64 {
	cost := 0.0
	for _, image := range slices.Sorted(maps.Keys(d.fillerCoreMsByImage)) { // in order: sums of floats depend on it
		work := d.fillerCoreMsByImage[image]
		room := usual
		if known, ok := l.GetFillerRoomMillicores()[image]; ok {
			room = max(minRoomShare*float64(l.GetCapacityMillicores()), float64(known))
		}
		cost += float64(l.GetFillerCoreMs()+d.fillerCoreMs) * 1000 / room * float64(work) / float64(d.fillerCoreMs)
	}
	return cost
}
