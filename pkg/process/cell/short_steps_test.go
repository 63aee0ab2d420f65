package cell_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// quoteStretch and quoteAim are the objective of a quote: so many times its chain of work, and so much more.
	quoteStretch, quoteAim = 1.5, 250 * time.Millisecond
	// quoteStep and offerTime are the run times of a task of a quote and of the tasks beside it.
	quoteStep, offerTime = 640 * time.Millisecond, 400 * time.Millisecond
)

// heldHall plays a cell whose orders to start queue in a link, while its workers run tasks that end all the time.
type heldHall struct {
	*testCell
	// endsAt is when the run of a task ends.
	endsAt map[string]time.Time
	open   []cell.SendPoll
	openAt map[string]time.Time
	// queue are the orders in the link, which takes one each orderTime.
	queue     []queuedOrder
	orderTime time.Duration
	linkIdle  time.Time
	// writes are the transactions that the table has not answered.
	writes []sentWrite
	// quotes holds when each quote was accepted, recorded when its end was recorded.
	quotes, recorded map[string]time.Time
}

type queuedOrder struct {
	order  cell.SendStart
	sentAt time.Time
	due    time.Time
}

type sentWrite struct {
	write cell.WriteProgress
	due   time.Time
}

func newHeldHall(orderTime time.Duration) *heldHall {
	h := &heldHall{
		testCell: newEmptyCell(), endsAt: map[string]time.Time{}, openAt: map[string]time.Time{}, orderTime: orderTime,
		quotes: map[string]time.Time{}, recorded: map[string]time.Time{},
	}
	h.mostEnds = 100
	h.state.Take(h.now, cell.ManifestChanged{Manifest: manifest.New(2, []manifest.Queue{
		{Name: "offers", Service: "quotes", Priority: 2, MaxAttempts: 3, Stretch: 2, Slack: time.Second},
		{Name: "quotes", Service: "quotes", MaxAttempts: 3, Stretch: quoteStretch, Slack: quoteAim},
	}, []manifest.Service{{Name: "quotes", GuardsCapacity: true}}, manifest.Limits{})})
	h.open, h.polls = h.polls, nil
	return h
}

// run plays the cell for a span in steps of 5 ms.
func (h *heldHall) run(span time.Duration) {
	for until := h.now.Add(span); h.now.Before(until); {
		h.now, h.clock = h.now.Add(5*time.Millisecond), h.clock+5*time.Millisecond
		h.state.Take(h.now, cell.Tick{})
		h.state.Take(h.now, cell.LeadershipConfirmed{SentAt: h.now})
		h.endRuns()
		h.answerOrders()
		h.answerWrites()
		h.answerPolls()
		for _, e := range h.state.Decide(h.now, h.now) {
			h.carryOut(e)
		}
	}
}

func (h *heldHall) carryOut(e cell.Effect) {
	switch e := e.(type) {
	case cell.SendPoll:
		h.open, h.openAt[e.To.ID] = append(h.open, e), h.now
	case cell.SendStart:
		if h.linkIdle.Before(h.now) {
			h.linkIdle = h.now
		}
		h.linkIdle = h.linkIdle.Add(h.orderTime)
		h.queue = append(h.queue, queuedOrder{e, h.now, h.linkIdle})
	case cell.WriteProgress:
		h.writes = append(h.writes, sentWrite{e, h.now.Add(20 * time.Millisecond)})
	case cell.Note:
		h.notes = append(h.notes, e)
	}
}

// endRuns ends the runs whose time is over.
func (h *heldHall) endRuns() {
	for _, task := range slices.Sorted(maps.Keys(h.endsAt)) {
		if !h.now.Before(h.endsAt[task]) {
			delete(h.endsAt, task)
			h.finish(task, workers.EndedDone)
		}
	}
}

func (h *heldHall) answerOrders() {
	for len(h.queue) > 0 && !h.now.Before(h.queue[0].due) {
		o := h.queue[0]
		h.queue = h.queue[1:]
		start := o.order.Start
		h.workerOf[start.Task] = o.order.To.ID
		h.reports[o.order.To.ID].Active = append(h.reports[o.order.To.ID].Active, workers.Active{Task: start.Task, Run: start.Run, Percent: 1, Reading: 40})
		h.endsAt[start.Task] = h.now.Add(offerTime)
		if _, quote := h.quotes[start.Task[:16]]; quote {
			h.endsAt[start.Task] = h.now.Add(quoteStep)
		}
		h.state.Take(h.now, cell.StartAnswered{
			Worker: o.order.To.ID, Task: start.Task, Run: start.Run, Reply: workers.Reply{Clock: h.clock}, Bytes: o.order.Bytes, RoundTrip: h.now.Sub(o.sentAt),
		})
	}
}

func (h *heldHall) answerWrites() {
	for len(h.writes) > 0 && !h.now.Before(h.writes[0].due) {
		w := h.writes[0].write
		h.writes = h.writes[1:]
		h.version++
		h.state.Take(h.now, cell.WriteAnswered{Part: w.Part, Serial: w.Serial, Committed: table.CommitResult{Version: h.version}})
		for id := range h.quotes {
			ended := slices.ContainsFunc(w.Transaction.Removes, func(k table.Key) bool { return k == rows.SpecKey("hall", id) })
			if _, known := h.recorded[id]; ended && !known {
				h.recorded[id] = h.now
			}
		}
	}
}

// answerPolls answers the polls of workers that have ends to list, and those whose wait is over.
func (h *heldHall) answerPolls() {
	open := h.open
	h.open = nil
	for _, p := range open {
		news := slices.ContainsFunc(h.reports[p.To.ID].Ended, func(e workers.End) bool { return e.Number > p.Poll.Recorded })
		if !news && h.now.Sub(h.openAt[p.To.ID]) < p.Poll.Wait {
			h.open = append(h.open, p)
			continue
		}
		r := h.reports[p.To.ID]
		r.Ended = slices.DeleteFunc(slices.Clone(r.Ended), func(e workers.End) bool { return e.Number <= p.Poll.Recorded })
		h.state.Take(h.now, cell.PollAnswered{Worker: p.To.ID, SentAt: h.openAt[p.To.ID], Report: h.report(p.To.ID)})
	}
}

// Quotes of two short steps came late beside tasks that wait for a full link: polls and records yielded to the orders to
// start for all of the time, and the end of a step was learned up to 0.75 s after it.
func TestQuotesEndInTimeWhileOtherStartsAreHeld(t *testing.T) {
	t.Parallel()
	const quotes, steps = 12, 2
	h := newHeldHall(4 * time.Millisecond)
	for i := range 120 {
		h.accept(fmt.Sprintf("%016x", 0xf000+i), "offers", &wire.StepSpec{Count: 40, Millicores: 2500, MemoryMb: 3000, EstimateMs: offerTime.Milliseconds()})
	}
	h.run(2 * time.Second)
	for i := range quotes {
		id := fmt.Sprintf("%016x", i)
		h.quotes[id] = h.now
		h.accept(id, "quotes",
			&wire.StepSpec{Count: 4, Millicores: 3000, MemoryMb: 3000, EstimateMs: quoteStep.Milliseconds()},
			&wire.StepSpec{Count: 4, Millicores: 3000, MemoryMb: 3000, EstimateMs: quoteStep.Milliseconds(), After: []int32{0}})
		h.run(230 * time.Millisecond)
	}
	held := slices.ContainsFunc(h.notes, func(n cell.Note) bool { return n.Kind == cell.NoteOrdersHeld })
	must.True(t, held)
	h.run(3 * time.Second)
	const work = steps * quoteStep
	objective := time.Duration(quoteStretch*float64(work)) + quoteAim
	for id, at := range h.quotes {
		ended, ok := h.recorded[id]
		must.True(t, ok, must.Sprint("quote ", id, " is recorded"))
		must.LessEq(t, objective, ended.Sub(at), must.Sprint("quote ", id))
	}
}
