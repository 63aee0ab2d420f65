package intake

import (
	"context"
	"time"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/request/cellchoice"
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
		if c.Fresh || c.Mine {
			i.askIfOlder(now, name, c, limit)
		}
	}
}

// askIfOlder asks for a cell's load in the background if it is older than a limit, and
// is not being asked for.
func (i *Intake) askIfOlder(now time.Time, name string, c CellView, limit time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, age := i.board.Load(now, name); age < limit || i.asking[name] {
		return
	}
	i.asking[name] = true
	go i.askLoad(name, c)
}

// loadAsk is the age from which on a load is asked for anew when it is used.
const loadAsk = 500 * time.Millisecond

// choose picks the cell for a new job.
func (i *Intake) choose(now time.Time, spec *wire.JobSpec) cellchoice.Choice {
	cells := map[string]cellchoice.Cell{}
	for name, c := range i.leaders.View().Cells {
		cells[name] = cellchoice.Cell{Hall: c.Hall, Led: c.Fresh || c.Mine}
		i.askIfOlder(now, name, c, loadAsk)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.board.Choose(now, spec, cells)
}

func (i *Intake) askLoad(name string, c CellView) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	reply := i.fetchLoad(ctx, name, c, i.wantsBeliefs(clock.Now(), name))
	i.takeLoad(clock.Now(), reply)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.asking[name] = false
}

// beliefsEvery is how often a leader's beliefs are asked for: they are the bulk of a
// load (1 KB for 5 serving and 9 filler images), and change slowly.
const beliefsEvery = 3 * time.Second

// wantsBeliefs says whether it is time to ask for a leader's beliefs.
func (i *Intake) wantsBeliefs(now time.Time, name string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if now.Sub(i.beliefsAt[name]) < beliefsEvery {
		return false
	}
	i.beliefsAt[name] = now
	return true
}

func (i *Intake) fetchLoad(ctx context.Context, name string, c CellView, withBeliefs bool) *wire.CellLoad {
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
	i.leaders.OtherLoad(l)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.board.Take(now, l)
}
