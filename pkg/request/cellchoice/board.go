// Package cellchoice decides which cell a new job goes to.
//
// Package intake calls it for each job. Jobs arrive at many hosts at once, in waves, and each
// host knows only the loads that the cells' leaders reported some time ago. So a host adds the
// jobs that it has sent since. A cell's cost is made of the job's wait there, the cell's share of
// lasting tasks, and the distance. board.go keeps the loads; cost.go computes the cost for a
// job; requirements.go adds the cost of steps that the cell can't run, or runs far from their data.
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

// MaxLoadAge is the largest age of a load that counts for the choice: the load of a busy cell
// changes completely within some seconds.
const MaxLoadAge = 3 * time.Second

// Cell describes a cell apart from its load.
type Cell struct {
	Hall string
	// HasLeader means that the cell's leader is known and within reach.
	HasLeader bool
	// Evacuated means that no task starts in the cell until operators say otherwise.
	Evacuated bool
	// Refuses means that the new job would surely be too late in the cell.
	Refuses bool
}

// reportedLoad is a cell's load as its leader reported it at reportedAt, plus the demand of the
// jobs that this host has sent there since.
type reportedLoad struct {
	*wire.CellLoad
	reportedAt time.Time
}

// Board holds the loads of the cells as one host knows them. It is not safe for concurrent
// use: its owner must guard it.
type Board struct {
	hall  string
	loads map[string]reportedLoad
}

// NewBoard returns the board of a host in a hall. It has no loads yet.
func NewBoard(hall string) *Board { return &Board{hall: hall, loads: map[string]reportedLoad{}} }

// SetLoad stores the load that a cell's leader reported at the time now.
func (b *Board) SetLoad(now time.Time, l *wire.CellLoad) {
	b.loads[l.GetCell()] = reportedLoad{CellLoad: l, reportedAt: now}
}

// Load returns a cell's load and its age, or nil if no load is known.
func (b *Board) Load(now time.Time, name string) (l *wire.CellLoad, age time.Duration) {
	k := b.loads[name]
	return k.CellLoad, now.Sub(k.reportedAt)
}

// Choice is the cell for a job. Reason lists the cost of each cell for the log.
type Choice struct{ Cell, Reason string }

// Choose returns the cell with the lowest cost for a new job. It adds the job's demand to the
// cell's load until its leader reports the next one.
func (b *Board) Choose(now time.Time, spec *wire.JobSpec, cells map[string]Cell) Choice {
	d := demandOf(spec)
	var costs []string
	best, bestCost := "", 0.0
	for _, name := range slices.Sorted(maps.Keys(cells)) {
		cost := b.cost(now, name, cells, d) + requirementsCost(b.freshLoad(now, name), spec)
		costs = append(costs, fmt.Sprintf("%s %.0f (%s)", name, cost, b.loadAgeText(now, name)))
		if best == "" || cost < bestCost {
			best, bestCost = name, cost
		}
	}
	b.addDemand(best, d)
	return Choice{Cell: best, Reason: "cost in ms (age of load): " + strings.Join(costs, ", ")}
}

// freshLoad returns a cell's load, or nil if none is known or it is older than MaxLoadAge.
func (b *Board) freshLoad(now time.Time, name string) *wire.CellLoad {
	k := b.loads[name]
	if k.CellLoad == nil || now.Sub(k.reportedAt) > MaxLoadAge {
		return nil
	}
	return k.CellLoad
}

// loadAgeText returns the age of a cell's load for the log.
func (b *Board) loadAgeText(now time.Time, name string) string {
	k := b.loads[name]
	if k.CellLoad == nil {
		return "unknown"
	}
	return now.Sub(k.reportedAt).Round(time.Millisecond).String()
}

// addDemand adds a job's demand to a cell's known load. It copies the load, which others may hold.
func (b *Board) addDemand(name string, d demand) {
	k := b.loads[name]
	if k.CellLoad == nil {
		return
	}
	next, ok := proto.Clone(k.CellLoad).(*wire.CellLoad)
	if !ok {
		return // unreachable: a clone has the type of its original
	}
	next.LastingMillicores += d.lastingMillicores
	next.BacklogCoreMs += d.plainCoreMs
	next.FillerCoreMs += d.fillerCoreMs
	k.CellLoad = next
	b.loads[name] = k
}
