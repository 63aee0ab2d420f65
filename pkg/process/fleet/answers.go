package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// What traffic and peers ask of the control thread.

// Accepted takes a job that stands in the table.
func (c *Control) Accepted(spec *wire.JobSpec) {
	c.tell(cellEvent{cell: spec.GetCell(), event: cell.JobAccepted{Spec: spec, StoreNow: c.store.Now(clock.Now())}})
}

// Cancelled takes a cancel that stands in the table.
func (c *Control) Cancelled(cellName, id string) {
	c.tell(cellEvent{cell: cellName, event: cell.CancelRequested{ID: id}})
}

// Returned takes what became of tasks that a cell has lent; it stands in the table.
func (c *Control) Returned(r *wire.ReturnedTasks) {
	c.tell(cellEvent{cell: r.GetHome(), event: cell.TasksReturned{Tasks: r}})
}

// Phase tells a job's phase, if this process leads its cell and knows it.
func (c *Control) Phase(ctx context.Context, cellName, id string) (wire.JobPhase, bool) {
	type answer struct {
		phase wire.JobPhase
		known bool
	}
	out := make(chan answer, 1)
	ok := c.ask(ctx, func(c *Control, _ time.Time) {
		a := answer{}
		if s := c.seats[cellName]; s != nil {
			a.phase, a.known = s.state.Phase(id)
		}
		out <- a
	})
	if !ok {
		return wire.JobPhase_JOB_PHASE_UNSPECIFIED, false
	}
	a := <-out
	return a.phase, a.known
}

// Load tells a cell's load, and what its leader believes if that is asked for.
func (c *Control) Load(ctx context.Context, cellName string, withBeliefs bool) *wire.CellLoad {
	return c.LoadFor(ctx, &wire.CellRef{Cell: cellName, WithBeliefs: withBeliefs})
}

// LoadFor tells a cell's load, and what else is asked for: what its leader believes, what this process granted there.
func (c *Control) LoadFor(ctx context.Context, ref *wire.CellRef) *wire.CellLoad {
	out := make(chan *wire.CellLoad, 1)
	ok := c.ask(ctx, func(c *Control, now time.Time) {
		if s := c.seats[ref.GetCell()]; s != nil {
			l := s.state.Load(now, ref.GetWithBeliefs())
			l.Holds = l.GetHolds() || s.seat.Claiming()
			switch {
			case ref.GetGrantsOf() == "" || l.GetHolds():
			case ref.GetGrantsOf() == c.self.Life:
				grants, known := s.state.Grants(now)
				l.GrantsTold, l.GrantsMs = known, grantsMs(grants)
			default:
				l.UpMs = now.Sub(c.self.Since).Milliseconds()
			}
			out <- l
			return
		}
		out <- &wire.CellLoad{}
	})
	if !ok {
		return &wire.CellLoad{} // without the cell's name: it is not known
	}
	return <-out
}

// grantsMs rounds leases up to whole milliseconds.
func grantsMs(grants map[string]time.Duration) map[string]int64 {
	list := make(map[string]int64, len(grants))
	for id, left := range grants {
		list[id] = left.Milliseconds() + 1
	}
	return list
}

// OtherLoad takes in what the leader of a cell tells of it. Beliefs are for every cell
// that this process may come to lead.
func (c *Control) OtherLoad(l *wire.CellLoad) {
	held := c.Held()
	for name := range c.View().Cells {
		if len(l.GetBeliefs()) > 0 || slices.Contains(held, name) {
			c.tell(cellEvent{cell: name, event: cell.PeerLoad{Load: l}})
		}
	}
}

// TakeOver asks for a seat that is being released.
func (c *Control) TakeOver(cellName string) { c.tell(takeOver{cell: cellName}) }

// Yield asks for a seat of another hall to be released.
func (c *Control) Yield(cellName string) { c.tell(yield{cell: cellName}) }

// Leave begins the planned stop: every cell is handed over.
func (c *Control) Leave() { c.tell(leave{}) }

// Held lists the cells that this process leads.
func (c *Control) Held() []string {
	var list []string
	for name, v := range c.View().Cells {
		if v.Mine {
			list = append(list, name)
		}
	}
	return list
}

// Summary sums up the cells that this process leads.
func (c *Control) Summary(ctx context.Context) map[string]cell.Counts {
	out := make(chan map[string]cell.Counts, 1)
	ok := c.ask(ctx, func(c *Control, now time.Time) {
		all := map[string]cell.Counts{}
		for name, s := range c.seats {
			if s.state.Leading() {
				all[name] = s.state.Counts(now)
			}
		}
		out <- all
	})
	if !ok {
		return nil
	}
	return <-out
}

// Suspects lists, by the cells that this process leads, the tasks under which workers crashed.
func (c *Control) Suspects(ctx context.Context) map[string][]cell.Suspect {
	out := make(chan map[string][]cell.Suspect, 1)
	ok := c.ask(ctx, func(c *Control, _ time.Time) {
		all := map[string][]cell.Suspect{}
		for name, s := range c.seats {
			if s.state.Leading() {
				all[name] = s.state.Suspects()
			}
		}
		out <- all
	})
	if !ok {
		return nil
	}
	return <-out
}

// ClearSuspicion takes back what is held against a task. It says whether this process leads a cell
// that holds anything against it.
func (c *Control) ClearSuspicion(ctx context.Context, task string) bool {
	for name, list := range c.Suspects(ctx) {
		for _, s := range list {
			if s.Task == task {
				c.tell(cellEvent{cell: name, event: cell.ClearSuspicion{Task: task}})
				return true
			}
		}
	}
	return false
}
