// Package cellchoice decides which cell a new job goes to.
//
// Package intake asks it for each job. The load pattern: jobs come to many hosts at once, in
// waves, and each host knows the cells only by what their leaders told some time ago. So a host
// counts to a cell what it has sent there since, and weighs how long the job would wait there,
// how full of lasting tasks the cell is, and what the way costs. board.go keeps what is known of
// the cells; cost.go weighs them for one job; places.go says where its steps can run at all.
//
// It makes no calls and reads no clock.
package cellchoice

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// GoodFor is how old a cell's load may be for choosing: the loads of a busy cell change
// whole within some seconds.
const GoodFor = 3 * time.Second

// Cell is what is known of a cell but for its load.
type Cell struct {
	Hall string
	// Led says that its leader is known and within reach.
	Led bool
}

// reportedLoad is a cell's load, as its leader told it at a time, and what was sent to the cell
// since.
type reportedLoad struct {
	*wire.CellLoad
	reportedAt time.Time
}

// Board is what one host knows of the cells' loads. It belongs to one thread, or is
// guarded by its owner.
type Board struct {
	hall  string
	loads map[string]reportedLoad
}

// NewBoard returns the board of a host in a hall, which knows nothing yet.
func NewBoard(hall string) *Board { return &Board{hall: hall, loads: map[string]reportedLoad{}} }

// Take takes in what a cell's leader tells of it at the time now.
func (b *Board) Take(now time.Time, l *wire.CellLoad) {
	b.loads[l.GetCell()] = reportedLoad{CellLoad: l, reportedAt: now}
}

// Load returns a cell's load and how old it is; nil: none is known.
func (b *Board) Load(now time.Time, name string) (l *wire.CellLoad, age time.Duration) {
	k := b.loads[name]
	return k.CellLoad, now.Sub(k.reportedAt)
}

// Choice is the cell for a job, and what decided it.
type Choice struct{ Cell, Why string }

// Choose picks the cell for a new job, and counts the job to it until the next word of
// its leader.
func (b *Board) Choose(now time.Time, spec *wire.JobSpec, cells map[string]Cell) Choice {
	d := demandOf(spec)
	var words []string
	best, bestCost := "", 0.0
	for _, name := range slices.Sorted(maps.Keys(cells)) {
		cost := b.cost(now, name, cells, d) + requirementsCost(b.freshLoad(now, name), spec)
		words = append(words, fmt.Sprintf("%s %.0f (%s)", name, cost, b.loadAgeText(now, name)))
		if best == "" || cost < bestCost {
			best, bestCost = name, cost
		}
	}
	b.addDemand(best, d)
	return Choice{Cell: best, Why: "ms of wait (load's age): " + strings.Join(words, ", ")}
}

// freshLoad returns a cell's load if it is known well enough.
func (b *Board) freshLoad(now time.Time, name string) *wire.CellLoad {
	k := b.loads[name]
	if k.CellLoad == nil || now.Sub(k.reportedAt) > GoodFor {
		return nil
	}
	return k.CellLoad
}

// loadAgeText tells how old a cell's load is, for the log.
func (b *Board) loadAgeText(now time.Time, name string) string {
	k := b.loads[name]
	if k.CellLoad == nil {
		return "unknown"
	}
	return now.Sub(k.reportedAt).Round(time.Millisecond).String()
}

// addDemand adds a job's demand to what is known of a cell.
func (b *Board) addDemand(name string, d demand) {
	k := b.loads[name]
	if k.CellLoad == nil {
		return
	}
	next, ok := proto.Clone(k.CellLoad).(*wire.CellLoad)
	if !ok {
		return // a clone has the type of what it is a clone of
	}
	next.LastingMillicores += d.lastingMillicores
	next.BacklogCoreMs += d.plainCoreMs
	next.FillerCoreMs += d.fillerCoreMs
	k.CellLoad = next
	b.loads[name] = k
}
