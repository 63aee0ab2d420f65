package emulator

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Lives of workers: their names, their rows in the list, and which life a call comes to.

// id tells each life from the others.
func (k *worker) id() string { return fmt.Sprintf("%s/%d", k.name, k.incarnation) }

// key is the id under which the list of workers has it.
func (k *worker) key() string {
	if k.world.plan.SameIDs {
		return k.name
	}
	return k.id()
}

// born is what the worker says of its life's start.
func (k *worker) born() int64 {
	if k.world.plan.SameIDs {
		return k.bornAt.UnixMilli()
	}
	return 0
}

func (k *worker) clock() time.Duration {
	return k.offset + time.Duration(float64(k.world.now.Sub(k.bornAt))*k.rate)
}

func (k *worker) record() workers.Record {
	r := workers.Record{
		ID: k.key(), Born: k.born(), Host: k.name, Service: serviceName, Address: k.name, Hall: k.Hall, Ready: true, Rack: k.Rack,
		Capacity: k.room(),
	}
	k.sayLeave(&r)
	return r
}

// staleRecords is the row of the life before, which may come back into the list for a
// while after the next one has begun.
func (k *worker) staleRecords() []workers.Record {
	age := k.world.now.Sub(k.bornAt)
	if k.incarnation == 1 || age > staleRowSpan || age%(2*staleRowInterval) < staleRowInterval {
		return nil
	}
	r := k.record()
	r.ID = fmt.Sprintf("%s/%d", k.name, k.incarnation-1)
	return []workers.Record{r}
}

// records is what the list of workers holds: the newest row under each id, which may be one
// of an earlier life that was written late.
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

// call carries a call of a host; then runs at the worker, and its answer goes
// back. ok is false where there was no answer.
func call[T any](w *World, from string, k *worker, workerID string, limit, wait, queued time.Duration, then func() (T, workers.Refusal), done func(T, workers.Refusal, bool)) {
	var none T
	answered, stream := false, "call "+from+" "+k.name
	answer := func(v T, r workers.Refusal, ok bool) {
		if !answered {
			answered = true
			done(v, r, ok)
		}
	}
	w.after(limit, func() { answer(none, workers.NotRefused, false) })
	if w.cut(from, k.name) {
		return
	}
	if !k.up && k.refusesConnections {
		w.after(w.draws.hop(stream), func() { answer(none, workers.NotRefused, false) })
		return
	}
	if w.plan.CrashTasks > 0 || w.plan.Leaving.Series > 0 {
		k.broken = append(k.broken, func() { answer(none, workers.NotRefused, false) })
	}
	way := queued + w.draws.hop(stream)
	late := w.now.Before(k.lateUntil) && w.draws.oneIn("late "+k.name, 4)
	if late {
		way = w.draws.between("late "+k.name, 2*time.Second, 12*time.Second)
	}
	sentAt, reached := w.now, k.incarnation
	if !k.up {
		reached++ // the connection may yet come about, to the next life
	}
	k.deliver(way, sentAt, reached, func() {
		if k.key() != workerID {
			w.after(w.draws.hop(stream), func() { answer(none, workers.RefusedIncarnation, true) })
			return
		}
		k.expireLease()
		v, refusal := then()
		k.awaitEnd(k.incarnation, wait, func() {
			if wait > 0 {
				v, refusal = then()
			}
			if !late && !w.cut(from, k.name) {
				w.after(w.draws.hop(stream), func() { answer(v, refusal, true) })
			}
		})
	})
}

// isAddressed says whether a call is for the life that is up.
func (k *worker) isAddressed(to workers.Target) bool {
	return k.world.plan.Unbound || to.Born == 0 || to.Born == k.born()
}

// ifAddressed does what an order says if it is for the life that is up: connections know which
// life they reach.
func (k *worker) ifAddressed(to workers.Target, do func() (any, workers.Refusal)) (any, workers.Refusal) {
	if !k.isAddressed(to) {
		return nil, workers.RefusedRestarted
	}
	return do()
}

// pollFor is a look as it is sent: to another life than the one that it is for with no word
// but the question.
func (k *worker) pollFor(to workers.Target, l workers.Poll) workers.Poll {
	if !k.isAddressed(to) {
		return workers.Poll{Fence: l.Fence}
	}
	return l
}

// deliver carries a message to a worker. Under ids that stay, it comes to the life that its
// connection reached when it was sent, or to none: connections end with the life.
func (k *worker) deliver(way time.Duration, sentAt time.Time, reached int, do func()) {
	w := k.world
	w.after(way, func() {
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

// endCheckInterval is how closely a waiting look watches for an end.
const endCheckInterval = 20 * time.Millisecond

// awaitEnd does something when there is an end to list, or after a wait.
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
