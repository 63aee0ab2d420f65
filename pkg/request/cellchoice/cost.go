package cellchoice

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// awayCost is how much more work, in ms of the whole cell, must wait in the
	// own hall's cell before a job goes to another: a job's data and results
	// cross halls then, and its callers' host is a hop away from its leader.
	awayCost = 60.0
	// lastingCost is what a cell that is full of lasting tasks costs, in the
	// same ms: they stay, so they are spread before short work is.
	lastingCost = 3000.0
	// servingUse is the share of their reserved processors that lasting tasks
	// use: fillers get the rest.
	servingUse = 0.5
	// leastRoom keeps the estimate of a full cell finite, as a share of it.
	leastRoom = 0.05
	// noLeaderCost puts a cell without a leader behind any with one.
	noLeaderCost = 1e9
	// imageRankCost is what a step down in an image's order of cells costs a lasting
	// job: as much as a cell that is a sixth fuller.
	imageRankCost = 500.0
)

// demand is what a job asks for: millicores for lasting tasks, core ms for
// others.
type demand struct {
	lasting, plain, filler int64
	// serving is the image of the lasting tasks, fillers the work by image.
	serving string
	fillers map[string]int64
}

func demandOf(spec *wire.JobSpec) demand {
	d := demand{fillers: map[string]int64{}}
	for _, step := range spec.GetSteps() {
		each := step.GetMillicores() * int64(step.GetCount())
		work := each * step.GetEstimateMs() / 1000
		switch {
		case step.GetLasting():
			d.lasting += each
			d.serving = spec.ImageOf(step)
		case step.GetFiller():
			d.filler += work
			d.fillers[spec.ImageOf(step)] += work
		default:
			d.plain += work
		}
	}
	return d
}

// cost is how many ms a job would wait in a cell, and what the way costs.
func (b *Board) cost(now time.Time, name string, cells map[string]Cell, d demand) float64 {
	cost := 0.0
	if cells[name].Hall != b.hall {
		cost += awayCost
	}
	if !cells[name].Led {
		cost += noLeaderCost
	}
	l := b.fresh(now, name)
	if l == nil || l.GetCapacityMillicores() == 0 {
		return cost
	}
	cost += float64(l.GetSettlesInMs())
	all := float64(l.GetCapacityMillicores())
	lasting := float64(l.GetLastingMillicores())
	if d.lasting > 0 {
		cost += lastingCost*(lasting+float64(d.lasting))/all + imageCost(name, d.serving, cells)
	}
	if d.plain > 0 {
		cost += float64(l.GetBacklogCoreMs()+d.plain) * 1000 / max(leastRoom*all, all-lasting)
	}
	if d.filler > 0 {
		cost += fillerCost(l, d, max(leastRoom*all, all-servingUse*lasting))
	}
	return cost
}

// imageCost draws lasting jobs of one image to the same cell, whoever accepts them:
// the fewer images a cell serves, the more kinds of fillers find a place there
// where they do no harm. Each image has an order of cells of its own, by a hash.
func imageCost(name, image string, cells map[string]Cell) float64 {
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
	for _, image := range slices.Sorted(maps.Keys(d.fillers)) { // in order: sums of floats depend on it
		work := d.fillers[image]
		room := usual
		if known, ok := l.GetFillerRoomMillicores()[image]; ok {
			room = max(leastRoom*float64(l.GetCapacityMillicores()), float64(known))
		}
		cost += float64(l.GetFillerCoreMs()+d.filler) * 1000 / room * float64(work) / float64(d.filler)
	}
	return cost
}
