package emulator

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/request/cellchoice"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// How hosts take jobs and cancels from callers, and choose cells for the jobs of a given load:
// as package intake does, by the product's own board, with the same ages.

const (
	loadsEvery        = 2 * time.Second
	loadsEveryWaiting = 250 * time.Millisecond
	loadAsk           = 500 * time.Millisecond
	beliefsEvery      = 3 * time.Second
)

// askLoads asks the leaders for the loads that are older than they may be.
func (h *host) askLoads() {
	limit := loadsEvery
	for _, s := range h.seats {
		if s.state.HasWaitingTasks() {
			limit = loadsEveryWaiting
		}
	}
	h.askOlder(limit)
}

func (h *host) askOlder(limit time.Duration) {
	for _, name := range h.world.cells {
		if _, age := h.board.Load(h.clock(), name); age >= limit {
			h.askLoad(name)
		}
	}
}

func (h *host) askLoad(name string) {
	w := h.world
	for _, each := range w.hosts {
		other := each.leads(name)
		if other == nil || w.cut(h.name, each.name) {
			continue
		}
		withBeliefs := h.clock().Sub(h.beliefsAt[name]) >= beliefsEvery
		if withBeliefs {
			h.beliefsAt[name] = h.clock()
		}
		w.after(w.draws.hop("word "+h.name+" "+each.name), each.back(func() { h.tellLoad(other, withBeliefs) }))
	}
}

// tellLoad brings the load of a cell from its leader's host to this one.
func (h *host) tellLoad(from *seat, withBeliefs bool) {
	w := h.world
	if !from.state.Leading() {
		return
	}
	load := from.state.Load(from.clock(), withBeliefs)
	w.after(w.draws.hop("word "+from.name+" "+h.name), h.back(func() {
		h.board.Take(h.clock(), load)
		for _, s := range h.seats {
			if len(load.GetBeliefs()) > 0 || s.state.Leading() {
				s.state.Take(h.clock(), cell.PeerLoad{Load: load})
			}
		}
	}))
}

// chooseCell picks the cell for a job that is handed in here.
func (h *host) chooseCell(spec *wire.JobSpec) {
	cells := map[string]cellchoice.Cell{}
	for _, name := range h.world.cells {
		cells[name] = cellchoice.Cell{Hall: name, Led: h.world.led(name)}
	}
	h.askOlder(loadAsk)
	spec.Cell = h.board.Choose(h.clock(), spec, cells).Cell
}

func (w *World) led(name string) bool {
	for _, h := range w.hosts {
		if h.leads(name) != nil {
			return true
		}
	}
	return false
}

// ---------------------------------------------------------------- callers

func (h *host) submit(spec *wire.JobSpec, done func(taken bool)) {
	if !h.up {
		done(false)
		return
	}
	w := h.world
	if w.plan.Load != nil && w.jobs[spec.GetId()] == nil {
		h.chooseCell(spec)
	}
	if w.jobs[spec.GetId()] == nil {
		spec.AcceptedStoreMs = h.world.table.storeTime().Milliseconds()
	}
	w.jobs[spec.GetId()] = spec
	anchor := rows.AnchorKey(spec.GetId())
	h.on(func() {
		h.commit(table.Transaction{
			Conditions: []table.Condition{{Key: anchor}},
			Puts: []table.Row{
				rows.Row(anchor, &wire.JobAnchor{Cell: spec.GetCell()}), rows.Row(rows.SpecKey(spec.GetCell(), spec.GetId()), spec),
			},
		}, func(_ table.Committed, ok bool) {
			done(ok) // a conflict means that it is there
			for _, each := range w.hosts {
				if other := each.leads(spec.GetCell()); ok && other != nil && !w.cut(h.name, each.name) && h.knows(spec.GetCell(), each) {
					other.on(func() {
						other.state.Take(other.clock(), cell.JobAccepted{Spec: spec, StoreNow: other.storeNow()})
						other.act()
						h.tellLoad(other, false)
					})
				}
			}
		})
	})
}

func (h *host) cancel(id string, done func(taken bool)) {
	if !h.up {
		done(false)
		return
	}
	h.on(func() {
		var tx table.Transaction
		for _, name := range h.world.cells {
			tx.Puts = append(tx.Puts, rows.Row(rows.CancelKey(name, id), &wire.JobRef{Id: id}))
		}
		h.commit(tx,
			func(_ table.Committed, ok bool) {
				done(ok)
				if ok && h.world.plan.Touch {
					h.tellCancel(id)
				}
			})
	})
}

// tellCancel tells the leaders of all cells of a cancel that stands in the table.
func (h *host) tellCancel(id string) {
	for _, name := range h.world.cells {
		h.toLeader(name, func(other *seat) { other.state.Take(other.clock(), cell.CancelRequested{ID: id}) })
	}
}
