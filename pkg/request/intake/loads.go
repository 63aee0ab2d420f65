package intake

import (
	"context"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/process/fleet"
	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// loadsEvery is how often the loads of all cells are asked for in any case, so
	// that the first jobs after a quiet time are spread too.
	loadsEvery = 2 * time.Second
	// loadsEveryWaiting is the same while tasks wait here that another cell may have
	// room for: room comes and goes within a second.
	loadsEveryWaiting = 250 * time.Millisecond
)

// String names the part for the supervisor.
func (i *Intake) String() string { return "loads follower" }

// Serve keeps the loads of all cells known until the context ends.
func (i *Intake) Serve(ctx context.Context) error {
	ticker := time.NewTicker(loadsEveryWaiting)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			i.askStale(now)
		}
	}
}

// askStale asks for the loads that are older than they may be.
func (i *Intake) askStale(now time.Time) {
	view := i.leaders.View()
	limit := loadsEvery
	if view.Waits {
		limit = loadsEveryWaiting
	}
	for name, c := range view.Cells {
		i.mu.Lock()
		l := i.loads[name]
		due := now.Sub(l.at) >= limit && !l.asking
		l.asking = l.asking || (due && (c.Fresh || c.Mine))
		i.loads[name] = l
		i.mu.Unlock()
		if due && (c.Fresh || c.Mine) {
			go i.askLoad(name, c)
		}
	}
}

const (
	// loadGoodFor is how old a cell's load may be for choosing; it is asked for
	// in the background when it is older than loadAsk.
	loadGoodFor = 3 * time.Second
	loadAsk     = 500 * time.Millisecond
	// awayCost is how much more work, in ms of the whole cell, must wait in the
	// own hall's cell before a job goes to another: a job's data and results
	// cross halls then, and its callers' host is a hop away from its leader.
	awayCost = 60.0
)

const (
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
			d.serving = jobs.ImageOf(spec, step)
		case step.GetFiller():
			d.filler += work
			d.fillers[jobs.ImageOf(spec, step)] += work
		default:
			d.plain += work
		}
	}
	return d
}

// choose picks the cell for a new job, and counts the job to it until the next
// word of its leader.
func (i *Intake) choose(now time.Time, spec *wire.JobSpec) choice {
	d := demandOf(spec)
	view := i.leaders.View()
	var words []string
	best, bestCost := "", 0.0
	for _, name := range slices.Sorted(maps.Keys(view.Cells)) {
		cost := i.cost(now, name, view.Cells[name], d) + placeCost(i.load(now, name, view.Cells[name]), spec)
		words = append(words, fmt.Sprintf("%s %.0f (%s)", name, cost, i.loadAge(now, name)))
		if best == "" || cost < bestCost {
			best, bestCost = name, cost
		}
	}
	i.addDemand(best, d)
	return choice{cell: best, why: "ms of wait (load's age): " + strings.Join(words, ", ")}
}

// choice is the cell for a job, and what decided it.
type choice struct{ cell, why string }

// loadAge tells how old a cell's load is, for the log.
func (i *Intake) loadAge(now time.Time, name string) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	l := i.loads[name]
	if l.CellLoad == nil {
		return "unknown"
	}
	return now.Sub(l.at).Round(time.Millisecond).String()
}

// cost is how many ms the job would wait in a cell, and what the way costs.
func (i *Intake) cost(now time.Time, name string, c fleet.CellView, d demand) float64 {
	cost := 0.0
	if c.Hall != i.hall {
		cost += awayCost
	}
	if !c.Fresh && !c.Mine {
		cost += noLeaderCost
	}
	l := i.load(now, name, c)
	if l == nil || l.GetCapacityMillicores() == 0 {
		return cost
	}
	all := float64(l.GetCapacityMillicores())
	lasting := float64(l.GetLastingMillicores())
	if d.lasting > 0 {
		cost += lastingCost*(lasting+float64(d.lasting))/all + i.imageCost(name, d.serving)
	}
	if d.plain > 0 {
		cost += float64(l.GetBacklogCoreMs()+d.plain) * 1000 / max(leastRoom*all, all-lasting)
	}
	if d.filler > 0 {
		cost += fillerCost(l, d, max(leastRoom*all, all-servingUse*lasting))
	}
	return cost
}

// imageRankCost is what a step down in an image's order of cells costs a lasting
// job: as much as a cell that is a sixth fuller.
const imageRankCost = 500.0

// imageCost draws lasting jobs of one image to the same cell, whoever accepts them:
// the fewer images a cell serves, the more kinds of fillers find a place there
// where they do no harm. Each image has an order of cells of its own, by a hash.
func (i *Intake) imageCost(name, image string) float64 {
	own, before := imageHash(image, name), 0
	for other := range i.leaders.View().Cells {
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
	for image, work := range d.fillers {
		room := usual
		if known, ok := l.GetFillerRoomMillicores()[image]; ok {
			room = max(leastRoom*float64(l.GetCapacityMillicores()), float64(known))
		}
		cost += float64(l.GetFillerCoreMs()+d.filler) * 1000 / room * float64(work) / float64(d.filler)
	}
	return cost
}

func (i *Intake) addDemand(name string, d demand) {
	i.mu.Lock()
	defer i.mu.Unlock()
	l := i.loads[name]
	if l.CellLoad == nil {
		return
	}
	next, ok := proto.Clone(l.CellLoad).(*wire.CellLoad)
	if !ok {
		return // a clone has the type of what it is a clone of
	}
	next.LastingMillicores += d.lasting
	next.BacklogCoreMs += d.plain
	next.FillerCoreMs += d.filler
	l.CellLoad = next
	i.loads[name] = l
}

// load returns a cell's load if it is known well enough, and sees to it that
// it is asked for.
func (i *Intake) load(now time.Time, name string, c fleet.CellView) *wire.CellLoad {
	i.mu.Lock()
	defer i.mu.Unlock()
	l := i.loads[name]
	if now.Sub(l.at) > loadAsk && !l.asking {
		l.asking = true
		i.loads[name] = l
		go i.askLoad(name, c)
	}
	if l.CellLoad == nil || now.Sub(l.at) > loadGoodFor {
		return nil
	}
	return l.CellLoad
}

func (i *Intake) askLoad(name string, c fleet.CellView) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	reply := i.fetchLoad(ctx, name, c, i.wantsBeliefs(time.Now(), name))
	i.takeLoad(time.Now(), reply)
	i.mu.Lock()
	defer i.mu.Unlock()
	l := i.loads[name]
	l.asking = false
	i.loads[name] = l
}

// beliefsEvery is how often a leader's beliefs are asked for: they are the bulk of a
// load (1 KB for 5 serving and 9 filler images), and change slowly.
const beliefsEvery = 3 * time.Second

// wantsBeliefs says whether it is time to ask for a leader's beliefs.
func (i *Intake) wantsBeliefs(now time.Time, name string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	l := i.loads[name]
	if now.Sub(l.beliefsAt) < beliefsEvery {
		return false
	}
	l.beliefsAt = now
	i.loads[name] = l
	return true
}

func (i *Intake) fetchLoad(ctx context.Context, name string, c fleet.CellView, withBeliefs bool) *wire.CellLoad {
	if c.Mine {
		return i.leaders.Load(ctx, name, withBeliefs)
	}
	if c.Address == "" {
		return nil
	}
	p, err := i.peers.To(c.Address)
	if err != nil {
		return nil
	}
	reply, err := p.Load(ctx, &wire.CellRef{Cell: name, WithBeliefs: withBeliefs})
	if err != nil {
		i.count("load-unanswered")
		return nil
	}
	return reply
}

// takeLoad remembers a load that a leader told.
func (i *Intake) takeLoad(now time.Time, l *wire.CellLoad) {
	if !l.GetLeading() {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.leaders.OtherLoad(l)
	known := i.loads[l.GetCell()]
	known.CellLoad, known.at = l, now
	i.loads[l.GetCell()] = known
}
