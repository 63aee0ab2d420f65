package emulator

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Incarnations of workers: their ids, their rows in the registry, and which incarnation a call reaches.

// id returns the id of the incarnation; no two incarnations share one.
func (k *worker) id() string { return fmt.Sprintf("%s/%d", k.name, k.incarnation) }

// key returns the id of the worker in the registry. Under Plan.SameIDs all incarnations share it.
func (k *worker) key() string {
	if k.world.plan.SameIDs {
		return k.name
	}
	return k.id()
}

// born returns when the incarnation says that it started, in Unix ms; 0 if its id alone names it.
func (k *worker) born() int64 {
	if k.world.plan.SameIDs {
		return k.bornAt.UnixMilli()
	}
	return 0
}

// clock returns the worker's own clock, which runs at its rate since the incarnation started.
func (k *worker) clock() time.Duration {
	return k.offset + time.Duration(float64(k.world.now.Sub(k.bornAt))*k.rate)
}

// record returns the registry row that the worker writes now.
func (k *worker) record() workers.Record {
	r := workers.Record{
		ID: k.key(), Born: k.born(), Host: k.name, Service: serviceName, Address: k.name, Hall: k.Hall, Ready: true, Rack: k.Rack,
		Capacity: k.capacity(),
	}
	if k.label != "" {
		r.Labels = []string{k.label}
	}
	k.setLeavingFields(&r)
	return r
}

// staleRecords returns the row of the previous incarnation while it reappears in the registry, at intervals,
// for a while after a restart.
func (k *worker) staleRecords() []workers.Record {
	age := k.world.now.Sub(k.bornAt)
	if k.incarnation == 1 || age > staleRowSpan || age%(2*staleRowInterval) < staleRowInterval {
		return nil
	}
	r := k.record()
	r.ID = fmt.Sprintf("%s/%d", k.name, k.incarnation-1)
	return []workers.Record{r}
}

// records returns the registry's rows of the worker, the newest under each id. This may be the row of an
// earlier incarnation that was written late.
func (k *worker) records() []workers.Record {
	stale := k.staleRecords()
	if !k.world.plan.SameIDs {
		return append([]workers.Record{k.record()}, stale...)
	}
	r := k.record()
	if len(stale) > 0 {
		r.Born = k.previousBornAt
	}
	return []workers.Record{r}
}

// lateCallTime is how long after its limit a call is still answered late.
const lateCallTime = 2 * time.Second

// call emulates a call from a host to a worker. After the delays of queueing and network the worker executes
// it, waits up to wait for an end to report, and sends back the answer. done gets ok false if no answer arrives
// within limit, and is then called again with late set if one arrives within lateCallTime.
func call[T any](w *World, from string, k *worker, workerID string, limit, wait, queued time.Duration, execute func() (T, workers.Refusal), done func(v T, r workers.Refusal, ok, late bool)) {
	var none T
	answered, stream := false, "call "+from+" "+k.name
	overdueAt := w.now.Add(limit)
	overdue := false
	answer := func(v T, r workers.Refusal, ok bool) {
		switch {
		case !answered:
			answered, overdue = true, !ok && !w.now.Before(overdueAt)
			done(v, r, ok, false)
		case ok && overdue && w.now.Before(overdueAt.Add(lateCallTime)):
			overdue = false
			done(v, r, ok, true)
		}
	}
	w.after(limit, func() { answer(none, workers.NotRefused, false) })
	if w.unreachable(from, k.name) {
		return
	}
	if !k.up && k.refusesConnections {
		w.after(w.draws.messageDelay(stream), func() { answer(none, workers.NotRefused, false) })
		return
	}
	if w.plan.CrashTasks > 0 || w.plan.Resets || w.plan.Leaving.Series > 0 || w.plan.Leaving.WholeHall {
		k.pendingCalls = append(k.pendingCalls, func() { answer(none, workers.NotRefused, false) })
	}
	delay := queued + w.draws.messageDelay(stream)
	late := w.now.Before(k.lateUntil) && w.draws.oneIn("late "+k.name, k.lateness.oneIn)
	if late {
		delay = w.draws.between("late "+k.name, k.lateness.least, k.lateness.most)
	}
	sentAt, reached := w.now, k.incarnation
	if !k.up {
		reached++ // the connection may yet open, to the next incarnation
	}
	k.deliver(delay, sentAt, reached, func() {
		if k.key() != workerID {
			w.after(w.draws.messageDelay(stream), func() { answer(none, workers.RefusedOtherWorker, true) })
			return
		}
		k.expireLease()
		v, refusal := execute()
		k.awaitEnd(k.incarnation, wait, func() {
			if wait > 0 {
				v, refusal = execute()
			}
			if !late && !w.unreachable(from, k.name) {
				w.after(w.draws.messageDelay(stream), func() { answer(v, refusal, true) })
			}
		})
	})
}

// isAddressed returns whether a call is for the incarnation that is up.
func (k *worker) isAddressed(to workers.Target) bool {
	return k.world.plan.Unbound || to.Born == 0 || to.Born == k.born()
}

// ifAddressed executes an order if it is for the incarnation that is up, and refuses it otherwise. A connection
// knows which incarnation it reaches.
func (k *worker) ifAddressed(to workers.Target, do func() (any, workers.Refusal)) (any, workers.Refusal) {
	if !k.isAddressed(to) {
		return nil, workers.RefusedRestarted
	}
	return do()
}

// pollFor returns a poll as it is sent. A poll that reaches another incarnation than intended carries only the
// fence: no lease and no acknowledgement of ends.
func (k *worker) pollFor(to workers.Target, l workers.Poll) workers.Poll {
	if !k.isAddressed(to) {
		return workers.Poll{Fence: l.Fence}
	}
	return l
}

// deliver carries a message to a worker. Under Plan.SameIDs it arrives only at the incarnation that its
// connection reached when it was sent, since connections end with the incarnation.
func (k *worker) deliver(delay time.Duration, sentAt time.Time, reached int, do func()) {
	w := k.world
	w.after(delay, func() {
		switch {
		case !w.plan.SameIDs:
			if k.up {
				do()
			}
		case k.up && k.incarnation == reached:
			do()
		case !k.up && k.incarnation < reached && w.now.Sub(sentAt) < connectWindow:
			k.deliver(endCheckInterval, sentAt, reached, do)
		}
	})
}

// endCheckInterval is how often a waiting poll checks for an end to report.
const endCheckInterval = 20 * time.Millisecond

// awaitEnd calls do as soon as there is an end to report, or after the wait. It drops the call if the
// incarnation ends.
func (k *worker) awaitEnd(incarnation int, wait time.Duration, do func()) {
	if wait <= 0 || len(k.ended) > 0 {
		do()
		return
	}
	k.world.after(endCheckInterval, func() {
		if k.up && k.incarnation == incarnation {
			k.awaitEnd(incarnation, wait-endCheckInterval, do)
		}
	})
}
