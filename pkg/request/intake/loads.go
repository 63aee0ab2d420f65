package intake

import (
	"context"
	"time"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/request/cellchoice"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// loadInterval is the period at which the loads of all cells are requested even without
	// new jobs, so that the first jobs after an idle time are spread over the cells, too.
	loadInterval = 2 * time.Second
	// loadIntervalWaiting is that period while tasks wait here that another cell may have capacity
	// for: free capacity appears and vanishes within a second.
	loadIntervalWaiting = 250 * time.Millisecond
	// loadIntervalRelaying is that period at a host that passes the loads on: the hosts that follow it don't ask then.
	loadIntervalRelaying = time.Second
)

// String returns the service's name for the supervisor.
func (i *Intake) String() string { return "loads follower" }

// Serve requests the loads of all cells periodically until the context ends.
func (i *Intake) Serve(ctx context.Context) error {
	ticker := time.NewTicker(loadIntervalWaiting)
	defer ticker.Stop()
	wasAway := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			now := clock.Now()
			if i.confirms {
				wasAway = i.reportTable(now, wasAway)
			}
			i.requestStaleLoads(now)
		}
	}
}

// requestStaleLoads requests each load that is as old as the present interval, from cells with a leader.
func (i *Intake) requestStaleLoads(now time.Time) {
	view := i.leaders.View()
	limit := loadInterval
	switch {
	case view.Waits:
		limit = loadIntervalWaiting
	case i.exchange != nil && i.exchange.Relaying():
		limit = loadIntervalRelaying
	}
	for name, c := range view.Cells {
		if c.Fresh || c.Mine {
			i.requestLoadIfOlder(now, name, c, limit)
		}
	}
}

// requestLoadIfOlder requests a cell's load in the background if the known one has reached the
// age limit and no request is under way.
func (i *Intake) requestLoadIfOlder(now time.Time, name string, c CellView, limit time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, age := i.board.Load(now, name); age < limit || i.loadRequested[name] {
		return
	}
	i.loadRequested[name] = true
	go i.requestLoad(name, c)
}

// loadRefreshAge is the age from which a load is requested again when a job's cell is chosen.
const loadRefreshAge = 500 * time.Millisecond

// cells returns the cells of the deployment, and requests the loads that have reached loadRefreshAge.
func (i *Intake) cells(now time.Time) map[string]cellchoice.Cell {
	cells := map[string]cellchoice.Cell{}
	for name, c := range i.leaders.View().Cells {
		cells[name] = cellchoice.Cell{Hall: c.Hall, HasLeader: c.Fresh || c.Mine, Evacuated: c.Evacuated}
		i.requestLoadIfOlder(now, name, c, loadRefreshAge)
	}
	return cells
}

// chooseCell picks the cell for a new job.
func (i *Intake) chooseCell(now time.Time, spec *wire.JobSpec, cells map[string]cellchoice.Cell) cellchoice.Choice {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.board.Choose(now, spec, cells)
}

// requestLoad requests a cell's load and applies the answer.
func (i *Intake) requestLoad(name string, c CellView) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	reply := i.fetchLoad(ctx, name, c, i.beliefsDue(clock.Now(), name))
	i.applyLoad(clock.Now(), reply)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.loadRequested[name] = false
}

// beliefsInterval is the period at which a leader's interference beliefs are requested. They are
// the bulk of a load (1 KB for 5 serving and 9 filler images), and change slowly.
const beliefsInterval = 3 * time.Second

// beliefsDue returns whether the next load request is to ask for the leader's beliefs, and
// then records the time.
func (i *Intake) beliefsDue(now time.Time, name string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if now.Sub(i.beliefsRequestedAt[name]) < beliefsInterval {
		return false
	}
	i.beliefsRequestedAt[name] = now
	return true
}

// fetchLoad returns a cell's load from its leader, or nil if the leader can't be reached.
func (i *Intake) fetchLoad(ctx context.Context, name string, c CellView, withBeliefs bool) *wire.CellLoad {
	if c.Mine {
		return i.leaders.Load(ctx, name, withBeliefs)
	}
	if c.Address == "" {
		return nil
	}
	p, err := i.peers.PeerClient(c.Address)
	if err != nil {
		return nil
	}
	reply, err := p.Load(ctx, &wire.CellRef{Cell: name, WithBeliefs: withBeliefs})
	if err != nil {
		i.increment("load-unanswered")
		return nil
	}
	return reply
}

// applyLoad stores a load reported by a cell's leader, and passes it to the cells led here.
func (i *Intake) applyLoad(now time.Time, l *wire.CellLoad) {
	if !l.GetLeading() {
		return
	}
	if i.exchange != nil {
		i.exchange.LoadReported(now, l)
	}
	i.setLoad(now, l)
}

// TakeLoad takes the load of a cell that its leader told a relay at the given time, unless a newer one is known.
func (i *Intake) TakeLoad(at time.Time, l *wire.CellLoad) {
	i.mu.Lock()
	_, age := i.board.Load(at, l.GetCell())
	i.mu.Unlock()
	if l.GetLeading() && age > 0 {
		i.setLoad(at, l)
	}
}

func (i *Intake) setLoad(at time.Time, l *wire.CellLoad) {
	i.leaders.PeerLoad(l)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.board.SetLoad(at, l)
}
