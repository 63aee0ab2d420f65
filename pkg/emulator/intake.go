package emulator

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/request/cancellation"
	"github.com/wrenferry/wrenferry/pkg/request/cellchoice"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Hosts accept jobs and cancels from callers and choose the cells of a given load's jobs, as package intake
// does: with the product's cellchoice.Board and the same maximum ages of peer loads.

const (
	// loadsInterval and loadsIntervalWaiting are the ages at which a peer load is requested again, the second
	// one while tasks wait; loadAgeForChoice is that age when a job's cell is chosen.
	loadsInterval        = 2 * time.Second
	loadsIntervalWaiting = 250 * time.Millisecond
	loadAgeForChoice     = 500 * time.Millisecond
	// beliefsInterval is how often beliefs about interference are requested with a load.
	beliefsInterval = 3 * time.Second
)

// askLoads requests the peer loads that are older than allowed; the limit is shorter while tasks wait.
func (h *host) askLoads() {
	limit := loadsInterval
	for _, s := range h.seats {
		if s.state.HasWaitingTasks() {
			limit = loadsIntervalWaiting
		}
	}
	h.askLoadsOlderThan(limit)
}

// askLoadsOlderThan requests the load of each cell whose last answer has at least the given age.
func (h *host) askLoadsOlderThan(limit time.Duration) {
	for _, name := range h.world.cells {
		if _, age := h.board.Load(h.clock(), name); age >= limit {
			h.askLoad(name)
		}
	}
}

// askLoad requests a cell's load from its leader, with its beliefs about interference if the last ones are old.
func (h *host) askLoad(name string) {
	w := h.world
	for _, each := range w.hosts {
		other := each.leads(name)
		if other == nil || w.unreachable(h.name, each.name) {
			continue
		}
		withBeliefs := h.clock().Sub(h.beliefsAskedAt[name]) >= beliefsInterval
		if withBeliefs {
			h.beliefsAskedAt[name] = h.clock()
		}
		w.after(w.draws.messageDelay("word "+h.name+" "+each.name), each.ifSameIncarnation(func() { h.sendLoad(other, withBeliefs) }))
	}
}

// sendLoad sends the load of a cell from its leader's host to this host.
func (h *host) sendLoad(from *seat, withBeliefs bool) {
	w := h.world
	if !from.state.Leading() {
		return
	}
	load := from.state.Load(from.clock(), withBeliefs)
	w.after(w.draws.messageDelay("word "+from.name+" "+h.name), h.ifSameIncarnation(func() {
		h.board.SetLoad(h.clock(), load)
		for _, s := range h.seats {
			if len(load.GetBeliefs()) > 0 || s.state.Leading() {
				s.state.Take(h.clock(), cell.PeerLoad{Load: load})
			}
		}
	}))
}

// chooseCell sets the cell of a job submitted at this host.
func (h *host) chooseCell(spec *wire.JobSpec) {
	cells := map[string]cellchoice.Cell{}
	for _, name := range h.world.cells {
		cells[name] = cellchoice.Cell{Hall: name, HasLeader: h.world.hasLeader(name)}
	}
	h.askLoadsOlderThan(loadAgeForChoice)
	spec.Cell = h.board.Choose(h.clock(), spec, cells).Cell
}

// hasLeader returns whether some host leads a cell.
func (w *World) hasLeader(name string) bool {
	for _, h := range w.hosts {
		if h.leads(name) != nil {
			return true
		}
	}
	return false
}

// ---------------------------------------------------------------- callers

// submit records a job in the table and notifies the cell's leader; done gets whether the job is recorded.
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
	h.whenRunning(func() {
		h.commit(table.Transaction{
			Conditions: []table.Condition{{Key: anchor}},
			Puts: []table.Row{
				rows.Row(anchor, &wire.JobAnchor{Cell: spec.GetCell()}), rows.Row(rows.SpecKey(spec.GetCell(), spec.GetId()), spec),
			},
		}, func(c table.CommitResult, ok bool) {
			found, err := cancellation.ReadAnchor(spec.GetId(), c.Current)
			ok = ok && (err != nil || found.Status != cancellation.Tombstone)
			done(ok) // any other conflict means that an earlier try wrote the job
			for _, each := range w.hosts {
				if other := each.leads(spec.GetCell()); ok && other != nil && !w.unreachable(h.name, each.name) && h.believesLeader(spec.GetCell(), each) {
					other.whenRunning(func() {
						other.state.Take(other.clock(), cell.JobAccepted{Spec: spec, StoreNow: other.storeTime()})
						other.act()
						h.sendLoad(other, false)
					})
				}
			}
		})
	})
}

// cancel records a cancel for all cells; done gets whether it is recorded.
func (h *host) cancel(id string, done func(taken bool)) {
	if !h.up {
		done(false)
		return
	}
	h.whenRunning(func() {
		h.cancelJob(id, h.world.jobs[id].GetCell(), done)
	})
}

// cancelJob records a cancel of a job that the table holds.
func (h *host) cancelJob(id, home string, done func(taken bool)) {
	h.commit(cancellation.CancelRows(id, home, h.world.cells), func(_ table.CommitResult, ok bool) {
		done(ok)
		if ok && h.world.plan.Touch {
			h.notifyCancel(id)
		}
	})
}

// cancelAny cancels a job of which it is not known whether the table holds it. done gets whether it does, and whether the
// cancel is acknowledged.
func (h *host) cancelAny(id string, done func(found, ok bool)) {
	if !h.up {
		return
	}
	here := h.bindIncarnation()
	h.whenRunning(func() {
		h.world.table.get(h.name, rows.AnchorKey(id), func(found []table.Row, ok bool) {
			here(func() {
				if ok {
					h.cancelByAnchor(id, found, done)
				}
			})
		})
	})
}

// cancelByAnchor goes on with a cancel that has found the rows.
func (h *host) cancelByAnchor(id string, found []table.Row, done func(found, ok bool)) {
	anchor, err := cancellation.ReadAnchor(id, found)
	if err != nil {
		return
	}
	next := anchor.Next()
	if next == cancellation.InsertTombstone && h.world.plan.GivingUp.NoTombstones {
		next = cancellation.AnswerNoJob
	}
	switch next {
	case cancellation.CancelJob:
		h.cancelJob(id, anchor.Cell, func(taken bool) { done(true, taken) })
	case cancellation.AnswerNoJob:
		done(false, true)
	case cancellation.InsertTombstone:
		h.commit(cancellation.NewTombstone(id, h.hall, h.storeTime()+tombstoneLifetime), func(c table.CommitResult, ok bool) {
			switch {
			case !ok:
				done(false, false)
			case c.Conflict:
				h.cancelByAnchor(id, c.Current, done)
			default:
				done(false, true)
			}
		})
	}
}

// notifyCancel notifies the leaders of all cells of a cancel that is recorded in the table.
func (h *host) notifyCancel(id string) {
	for _, name := range h.world.cells {
		h.toLeader(name, func(other *seat) { other.state.Take(other.clock(), cell.CancelRequested{ID: id}) })
	}
}
