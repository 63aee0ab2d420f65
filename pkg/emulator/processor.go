package emulator

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Hosts with little processor time: what their processes do takes virtual time, one thing after the other. Answers that
// have arrived wait meanwhile, and the time-outs of their calls go on.

// Processor is what a host's process needs for its work; the zero value means that nothing takes any time.
type Processor struct {
	// Decision is the time of a decision of a cell, Call that of a call, from the decision to the link, Answer that of an
	// answer, from the link to the cell.
	Decision, Call, Answer time.Duration
}

// work is something that a host's process has to do.
type work struct {
	cost time.Duration
	do   func()
	// arrivedAt is when the process could have begun.
	arrivedAt time.Time
}

// processor is the state of a host's processor.
type processor struct {
	queue []work
	busy  bool
}

// compute does something once the host's processor has had time for it. do gets the time for which it waited.
func (h *host) compute(cost time.Duration, do func(waited time.Duration)) {
	w := h.world
	arrivedAt := w.now
	h.processor.queue = append(h.processor.queue, work{cost: cost, arrivedAt: arrivedAt, do: func() { do(max(0, w.now.Sub(arrivedAt)-cost)) }})
	h.runNext()
}

// computeFirst does something before all that waits.
func (h *host) computeFirst(cost time.Duration, do func()) {
	h.processor.queue = append([]work{{cost: cost, arrivedAt: h.world.now, do: do}}, h.processor.queue...)
	h.runNext()
}

// runNext begins with the next work, if the processor is free.
func (h *host) runNext() {
	p := &h.processor
	if p.busy || len(p.queue) == 0 {
		return
	}
	next := p.queue[0]
	p.queue, p.busy = p.queue[1:], true
	incarnation := h.incarnation
	h.world.after(next.cost, func() {
		if !h.up || h.incarnation != incarnation {
			return
		}
		p.busy = false
		h.whenRunning(func() {
			next.do()
			h.runNext()
		})
	})
}

// act has the cell decide. On days with Plan.Processor that takes time, and follows each message at once: the goroutine that
// decides is woken by it, and comes before those that wait for answers. It pauses as a host's control goroutine does.
func (h *seat) act() {
	cost := h.world.plan.Processor.Decision
	switch {
	case h.deciding:
	case cost == 0 || !h.state.HoldsLeadership():
		h.decide()
	default:
		h.deciding = true
		if pause := h.dutyCycle.Pause(h.world.now); pause > 0 {
			h.world.after(pause, h.ifSameIncarnation(func() { h.decideFirst(cost) }))
			return
		}
		h.decideFirst(cost)
	}
}

// decideFirst has the cell decide before all else that the processor has to do.
func (h *seat) decideFirst(cost time.Duration) {
	h.computeFirst(cost, func() {
		h.deciding = false
		h.decide()
		h.state.Decided(h.clock(), cost)
		h.dutyCycle.Ran(h.world.now.Add(-cost), h.world.now)
	})
}

// beginCall makes a call of a worker once the host's processor has had time for it.
func (h *seat) beginCall(do func()) {
	if h.world.plan.Processor == (Processor{}) {
		do()
		return
	}
	h.compute(h.world.plan.Processor.Call, func(time.Duration) { do() })
}

// receiver returns a function that takes the outcome of a call of a worker, and has finish handle it once the host's processor
// has had time for it. An answer that has arrived within the call's limit is read, however long it waits for the processor.
func (h *seat) receiver(finish func(v any, refusal workers.Refusal, ok, late bool, lag time.Duration)) func(v any, refusal workers.Refusal, ok, late bool) {
	if h.world.plan.Processor == (Processor{}) {
		return func(v any, refusal workers.Refusal, ok, late bool) { finish(v, refusal, ok, late, 0) }
	}
	return func(v any, refusal workers.Refusal, ok, late bool) {
		h.compute(h.world.plan.Processor.Answer, func(waited time.Duration) { finish(v, refusal, ok, late, waited) })
	}
}
