package emulator

import (
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Exchange between the leaders of cells, through the table and by direct calls.

// takeCancelRows has the state take the rows of the cancel table, on days of CancelChanges only those that have changed.
func (h *seat) takeCancelRows(list []table.Row) {
	read := h.cancelsVersion
	for _, r := range list {
		if !h.world.plan.CancelChanges || r.Version > read {
			h.takeCancelRow(r)
		}
		h.cancelsVersion = max(h.cancelsVersion, r.Version)
	}
}

// takeCancelRow has the state take a row of the cancel table: a cancel, or delegated tasks that another cell
// returns.
func (h *seat) takeCancelRow(r table.Row) {
	if added, err := h.tombstones.Add(r); added || err != nil {
		return
	}
	if !rows.IsReturn(r.Key) {
		h.state.Take(h.clock(), cell.CancelRequested{ID: r.Key.Key})
		return
	}
	back := &wire.ReturnedTasks{}
	if rows.Read(r, back) == nil {
		h.state.Take(h.clock(), cell.TasksReturned{Tasks: back})
	}
}

// askLoads requests the loads of the other cells from their leaders.
func (h *seat) askLoads() {
	if !h.state.Leading() {
		return
	}
	for _, name := range h.world.cells {
		if name == h.cell {
			continue
		}
		h.toLeader(name, func(other *seat) {
			load := other.state.Load(other.clock(), true)
			h.world.after(h.world.draws.messageDelay("word "+other.name+" "+h.name), h.ifSameIncarnation(func() {
				h.state.Take(h.clock(), cell.PeerLoad{Load: load})
			}))
		})
	}
}

// toLeader calls do at the leader of a cell after a network delay. The message is lost if the leader cannot be
// reached or is not known here.
func (h *host) toLeader(name string, do func(other *seat)) {
	w := h.world
	for _, each := range w.hosts {
		other := each.leads(name)
		if other == nil || w.unreachable(h.name, each.name) || !h.believesLeader(name, each) {
			continue
		}
		w.after(w.draws.messageDelay("word "+h.name+" "+each.name), each.ifSameIncarnation(func() {
			if other.state.Leading() {
				do(other)
				other.act()
			}
		}))
	}
}

// notifyLeader delivers a notification of the cell's state to the leader of another cell.
func (h *seat) notifyLeader(e cell.NotifyLeader) {
	h.toLeader(e.Cell, func(other *seat) {
		switch {
		case e.Delegated != nil:
			other.state.Take(other.clock(), cell.JobAccepted{Spec: e.Delegated, StoreNow: other.storeTime()})
		case e.Returned != nil:
			other.state.Take(other.clock(), cell.TasksReturned{Tasks: e.Returned})
		default:
			other.state.Take(other.clock(), cell.CancelRequested{ID: e.Cancelled})
		}
	})
}

// believesLeader returns whether this host takes another for the leader of a cell: itself if it leads the cell,
// else the host named in the leadership row that it read last.
func (h *host) believesLeader(name string, leader *host) bool {
	if !h.world.plan.Touch {
		return true
	}
	if h.leads(name) != nil {
		return h == leader
	}
	for _, s := range h.seats {
		if s.cell == name {
			return s.seat.Row().GetHost() == leader.name
		}
	}
	return false
}
