package emulator

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/table"
)

// Evacuations of halls, and the rule EVAC for them: an operator writes a row into the table, and from evacuationBound
// after its acknowledgement on no host in contact starts a task in the hall, until the row is gone.

const (
	// evacuationBound is how long after the acknowledgement of an evacuation tasks may still be started in its hall.
	evacuationBound = 5 * time.Second
	// operatorRetry is the pause before an operator without an answer writes again.
	operatorRetry = 200 * time.Millisecond
	operatorTable = "op"
)

// evacuation is an evacuation that the table has acknowledged.
type evacuation struct {
	orderedAt, until time.Time
}

// evacuatesHalls returns whether halls are evacuated on the day, so that hosts read the operators' rows.
func (p Plan) evacuatesHalls() bool { return p.Evacuations > 0 || p.UrgentLoad.Evacuations > 0 }

func evacuationKey(hall string) table.Key {
	return table.Key{Table: operatorTable, Key: "evacuate/" + hall}
}

// orderEvacuation writes the row of an evacuation, which is withdrawn after a span. An evacuation that is in force is
// prolonged.
func (w *World) orderEvacuation(hall string, span time.Duration) {
	if w.now.Before(w.table.downUntil) {
		w.after(operatorRetry, func() { w.orderEvacuation(hall, span) })
		return
	}
	w.table.apply(table.Transaction{Puts: []table.Row{{Key: evacuationKey(hall), Value: []byte("{}")}}})
	until := w.now.Add(span)
	if e := w.evacuations[hall]; e != nil {
		e.until = maxTime(e.until, until)
	} else {
		w.evacuations[hall] = &evacuation{orderedAt: w.now, until: until}
	}
	w.logf("the evacuation of %s is in force for %s", hall, span)
	w.after(span, func() { w.withdrawEvacuation(hall) })
}

// withdrawEvacuation removes the row of an evacuation whose time is over.
func (w *World) withdrawEvacuation(hall string) {
	e := w.evacuations[hall]
	switch {
	case e == nil || w.now.Before(e.until):
	case w.now.Before(w.table.downUntil):
		w.after(operatorRetry, func() { w.withdrawEvacuation(hall) })
	default:
		w.table.apply(table.Transaction{Removes: []table.Key{evacuationKey(hall)}})
		delete(w.evacuations, hall)
		w.logf("the evacuation of %s is withdrawn", hall)
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// evacuateSomeHall orders the evacuation of a hall, or one time in six of all halls. One time in three the hall's
// leader is killed just before or just after that.
func (w *World) evacuateSomeHall() {
	span := w.between(2*time.Second, 15*time.Second)
	hall := w.cells[w.rand.IntN(len(w.cells))]
	if w.rand.IntN(3) == 0 {
		w.after(w.between(0, time.Second), func() {
			if h := w.leaderOf(hall); h != nil {
				w.injectFault(Fault{Kind: KillHost, Target: h.name, For: w.between(500*time.Millisecond, 3*time.Second)})
			}
		})
	}
	halls := []string{hall}
	if w.rand.IntN(6) == 0 {
		halls = w.cells
	}
	delay := w.between(0, time.Second)
	for _, each := range halls {
		w.after(delay, func() { w.injectFault(Fault{Kind: EvacuateHall, Target: each, For: span}) })
	}
}

// readEvacuations reads the evacuations in force and passes them to the states of all cells.
func (h *host) readEvacuations() {
	here := h.bindIncarnation()
	h.world.table.scan(h.name, operatorTable, func(list []table.Row, _ time.Duration, ok bool) {
		if !ok {
			return
		}
		here(func() { h.takeEvacuations(list) })
	})
}

// checkEvacuation breaks the rule EVAC for a start in a hall whose evacuation was ordered longer than evacuationBound
// ago, if the order to start comes from a host in contact.
func (c *checker) checkEvacuation(k *worker, task string) {
	e := c.world.evacuations[k.Hall]
	if e == nil || c.world.now.Sub(e.orderedAt) <= evacuationBound || !c.hasFreshOrder(k) {
		return
	}
	c.breakRule("EVAC", "%s starts %s %s after the evacuation of %s was ordered", k.id(), task, c.world.now.Sub(e.orderedAt), k.Hall)
}

// takeEvacuations passes the evacuations in force to the states of all cells.
func (h *host) takeEvacuations(list []table.Row) {
	cells := map[string]bool{}
	for _, r := range list {
		for _, name := range h.world.cells {
			if r.Key == evacuationKey(name) {
				cells[name] = true
			}
		}
	}
	for _, s := range h.seats {
		s.state.Take(h.clock(), cell.EvacuationsChanged{Cells: cells})
		s.act()
	}
}
