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
	loadsInterval        = 2 * time.Second
	loadsIntervalWaiting = 250 * time.Millisecond
	loadAgeForChoice           = 500 * time.Millisecond
	beliefsInterval      = 3 * time.Second
)

// askLoads asks the leaders for the loads that are older than they may be.
func (h *host) askLoads() {
	limit := loadsInterval
	for _, s := range h.seats {
		if s.state.HasWaitingTasks() {
			limit = loadsIntervalWaiting
		}
	}
	h.askLoadsOlderThan(limit)
}

func (h *host) askLoadsOlderThan(limit time.Duration) {
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
		withBeliefs := h.clock().Sub(h.beliefsAskedAt[name]) >= beliefsInterval
		if withBeliefs {
			h.beliefsAskedAt[name] = h.clock()
		}
		w.after(w.draws.hop("word "+h.name+" "+each.name), each.ifSameIncarnation(func() { h.sendLoad(other, withBeliefs) }))
	}
}

// sendLoad brings the load of a cell from its leader's host to this one.
func (h *host) sendLoad(from *seat, withBeliefs bool) {
	w := h.world
	if !from.state.Leading() {
		return
	}
	load := from.state.Load(from.clock(), withBeliefs)
	w.after(w.draws.hop("word "+from.name+" "+h.name), h.ifSameIncarnation(func() {
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
		cells[name] = cellchoice.Cell{Hall: name, Led: h.world.hasLeader(name)}
	}
	h.askLoadsOlderThan(loadAgeForChoice)
	spec.Cell = h.board.Choose(h.clock(), spec, cells).Cell
}

func (w *World) hasLeader(name string) bool {
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
				if other := each.leads(spec.GetCell()); ok && other != nil && !w.cut(h.name, each.name) && h.believesLeader(spec.GetCell(), each) {
					other.on(func() {
						other.state.Take(other.clock(), cell.JobAccepted{Spec: spec, StoreNow: other.storeTime()})
						other.act()
						h.sendLoad(other, false)
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
					h.notifyCancel(id)
				}
			})
	})
}

// notifyCancel tells the leaders of all cells of a cancel that stands in the table.
func (h *host) notifyCancel(id string) {
	for _, name := range h.world.cells {
		h.toLeader(name, func(other *seat) { other.state.Take(other.clock(), cell.CancelRequested{ID: id}) })
	}
}
