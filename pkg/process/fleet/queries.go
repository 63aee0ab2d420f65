package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/registry"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Calls from request handlers and peers to the control goroutine.

// JobAccepted reports a job that is recorded in the table to its cell.
func (c *Control) JobAccepted(spec *wire.JobSpec) {
	c.send(cellEvent{cell: spec.GetCell(), event: cell.JobAccepted{Spec: spec, StoreNow: c.store.StoreTime(clock.Now())}})
}

// CancelRequested reports a cancel request that is recorded in the table to the job's cell.
func (c *Control) CancelRequested(cellName, id string) {
	c.send(cellEvent{cell: cellName, event: cell.CancelRequested{ID: id}})
}

// TasksReturned reports the outcome of delegated tasks to their home cell. The outcome is recorded in the table.
func (c *Control) TasksReturned(r *wire.ReturnedTasks) {
	c.send(cellEvent{cell: r.GetHome(), event: cell.TasksReturned{Tasks: r}})
}

// Phase returns a job's phase. The second result is false if this process does not lead the cell,
// does not know the job, or did not answer in time.
func (c *Control) Phase(ctx context.Context, cellName, id string) (wire.JobPhase, bool) {
	type answer struct {
		phase wire.JobPhase
		known bool
	}
	out := make(chan answer, 1)
	ok := c.query(ctx, func(c *Control, _ time.Time) {
		a := answer{}
		if s := c.cells[cellName]; s != nil {
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

// maxCachedLoadAge is the greatest age at which a load message is sent again. Every entry host asks for the load of
// every cell some times a second, and each message visits all workers and jobs of the cell.
const maxCachedLoadAge = 100 * time.Millisecond

// cachedLoad is a load message, which does not change any more, and the time that it describes.
type cachedLoad struct {
	load *wire.CellLoad
	at   time.Time
}

// cached returns the last load message of a cell, or nil if there is none or it is older than maxCachedLoadAge.
func (c *Control) cached(cellName string) *wire.CellLoad {
	s := c.cells[cellName]
	if s == nil {
		return nil
	}
	if last := s.lastLoad.Load(); last != nil && clock.Now().Sub(last.at) <= maxCachedLoadAge {
		return last.load
	}
	return nil
}

// Load returns a cell's load, with its leader's beliefs about workers if withBeliefs is set.
func (c *Control) Load(ctx context.Context, cellName string, withBeliefs bool) *wire.CellLoad {
	return c.LoadFor(ctx, &wire.CellRef{Cell: cellName, WithBeliefs: withBeliefs})
}

// LoadFor returns a cell's load and the parts that ref requests: the leader's beliefs about workers, and
// the leases that an incarnation (ref.GrantsOf) granted. If this process is another incarnation, it
// returns its uptime in place of the leases. The result has no cell name if the cell is not known or
// the answer took too long.
func (c *Control) LoadFor(ctx context.Context, ref *wire.CellRef) *wire.CellLoad {
	plain := ref.GetGrantsOf() == "" && !ref.GetWithBeliefs()
	if plain {
		if l := c.cached(ref.GetCell()); l != nil {
			return l
		}
	}
	out := make(chan *wire.CellLoad, 1)
	ok := c.query(ctx, func(c *Control, now time.Time) {
		if s := c.cells[ref.GetCell()]; s != nil {
			l := s.state.Load(now, ref.GetWithBeliefs())
			l.Holds = l.GetHolds() || s.seat.ClaimPending()
			switch {
			case ref.GetGrantsOf() == "" || l.GetHolds():
			case ref.GetGrantsOf() == c.self.Incarnation:
				grants, known := s.state.Grants(now)
				l.GrantsTold, l.GrantsMs = known, leaseMillis(grants)
			default:
				l.UpMs = now.Sub(c.self.Since).Milliseconds()
			}
			if plain {
				s.lastLoad.Store(&cachedLoad{load: l, at: now})
			}
			out <- l
			return
		}
		out <- &wire.CellLoad{}
	})
	if !ok {
		return &wire.CellLoad{} // no cell name: the load is not known
	}
	return <-out
}

// leaseMillis returns the time left of leases in milliseconds, rounded up.
func leaseMillis(grants map[string]time.Duration) map[string]int64 {
	list := make(map[string]int64, len(grants))
	for id, left := range grants {
		list[id] = left.Milliseconds() + 1
	}
	return list
}

// PeerLoad reports the load of a cell, as sent by its leader, to the cells that this process leads. A
// load with beliefs about workers goes to every cell, since this process may lead any of them later.
func (c *Control) PeerLoad(l *wire.CellLoad) {
	led := c.LedCells()
	for name := range c.View().Cells {
		if len(l.GetBeliefs()) > 0 || slices.Contains(led, name) {
			c.send(cellEvent{cell: name, event: cell.PeerLoad{Load: l}})
		}
	}
}

// TakeOver makes this process claim a cell whose leader is releasing it.
func (c *Control) TakeOver(cellName string) { c.send(takeOverRequest{cell: cellName}) }

// OfferLeadership returns whether this process would lead a cell that its leader wants to hand over. It would not while it
// is stopping, has just started, has no manifest, or has no answers of the table. No answer in time means no.
func (c *Control) OfferLeadership(ctx context.Context, cellName string) *wire.LeadershipOffer {
	out := make(chan *wire.LeadershipOffer, 1)
	ok := c.query(ctx, func(c *Control, now time.Time) {
		offer := &wire.LeadershipOffer{Incarnation: c.self.Incarnation, UpMs: now.Sub(c.self.Since).Milliseconds()}
		if s := c.cells[cellName]; s != nil {
			prepared := c.manifest != nil && c.store.SinceLastAnswer(now) <= maxStoreSilence
			offer.Accepts = s.seat.AcceptsOffer(now, c.leaving, prepared)
		}
		out <- offer
	})
	if !ok {
		return &wire.LeadershipOffer{}
	}
	return <-out
}

// ReleaseForHomeHall makes this process release a cell of another hall. A cell of its own hall is kept.
func (c *Control) ReleaseForHomeHall(cellName string) { c.send(yieldRequest{cell: cellName}) }

// BeginStop begins the planned stop: this process releases every cell and claims no more.
func (c *Control) BeginStop() { c.send(stopRequest{}) }

// LedCells returns the names of the cells that this process leads.
func (c *Control) LedCells() []string {
	var list []string
	for name, v := range c.View().Cells {
		if v.Mine {
			list = append(list, name)
		}
	}
	return list
}

// ledHalls returns the halls of the cells that this process leads, sorted.
func (c *Control) ledHalls() []string {
	var list []string
	for _, v := range c.View().Cells {
		if v.Mine {
			list = append(list, v.Hall)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// leaders returns the leaders of all cells.
func (c *Control) leaders() []registry.Leader {
	var list []registry.Leader
	for name, v := range c.View().Cells {
		list = append(list, registry.Leader{Cell: name, Address: v.Address, Recent: v.Fresh, Self: v.Mine})
	}
	return list
}

// leaderAddresses returns the addresses of the leaders of all cells.
func (c *Control) leaderAddresses() []string {
	var list []string
	for _, v := range c.View().Cells {
		if v.Address != "" {
			list = append(list, v.Address)
		}
	}
	return list
}

// Summary returns the counts of each cell that this process leads, or nil without an answer in time.
func (c *Control) Summary(ctx context.Context) map[string]cell.Counts {
	out := make(chan map[string]cell.Counts, 1)
	ok := c.query(ctx, func(c *Control, now time.Time) {
		all := map[string]cell.Counts{}
		for name, s := range c.cells {
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

// Suspects returns the tasks with crash evidence, by the name of each cell that this process leads, or
// nil without an answer in time.
func (c *Control) Suspects(ctx context.Context) map[string][]cell.Suspect {
	out := make(chan map[string][]cell.Suspect, 1)
	ok := c.query(ctx, func(c *Control, _ time.Time) {
		all := map[string][]cell.Suspect{}
		for name, s := range c.cells {
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

// ClearSuspicion removes the crash evidence of a task. It returns false if no cell that this process
// leads has crash evidence of the task.
func (c *Control) ClearSuspicion(ctx context.Context, task string) bool {
	for name, list := range c.Suspects(ctx) {
		for _, s := range list {
			if s.Task == task {
				c.send(cellEvent{cell: name, event: cell.ClearSuspicion{Task: task}})
				return true
			}
		}
	}
	return false
}
