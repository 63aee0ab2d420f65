package soak_test

import (
	"sync"
	"syscall"
	"time"
)

// fault is one kind of trouble: it is brought about, and its return is its end.
type fault struct {
	name   string
	inject func(d *day, span time.Duration)
}

// faults is what may strike, each as likely as the others; what stands twice strikes more often.
var faults = []fault{
	{"a host is killed", func(d *day, span time.Duration) { d.restartHost(d.randomHost(), syscall.SIGKILL, span) }},
	{"a host is stopped", func(d *day, span time.Duration) { d.restartHost(d.randomHost(), syscall.SIGTERM, span) }},
	{"a host stands still", func(d *day, span time.Duration) {
		h := d.randomHost()
		h.signal(syscall.SIGSTOP)
		time.Sleep(span)
		h.signal(syscall.SIGCONT)
	}},
	{"a host reads its settings", func(d *day, _ time.Duration) { d.randomHost().signal(syscall.SIGHUP) }},
	{"all hosts are killed", func(d *day, span time.Duration) {
		var all sync.WaitGroup
		for _, h := range d.hosts {
			all.Go(func() { d.restartHost(h, syscall.SIGKILL, min(span, time.Second)) })
		}
		all.Wait()
	}},
	{"the store refuses all", func(d *day, span time.Duration) { d.store.Refuse(503); time.Sleep(span); d.store.Refuse(0) }},
	{"the store loses answers", func(d *day, span time.Duration) {
		d.store.LoseWrites(true)
		time.Sleep(span)
		d.store.LoseWrites(false)
	}},
	{"the store is slow", func(d *day, span time.Duration) { d.store.Slow(40_000); time.Sleep(span); d.store.Slow(0) }},
	{"the store forgets its history", func(d *day, _ time.Duration) { d.store.ForgetHistory() }},
	{"a host is cut from the store", func(d *day, span time.Duration) {
		p := d.randomHost().storeProxy
		p.setCut(true)
		time.Sleep(span)
		p.setCut(false)
	}},
	{"a host's connections to the store fall silent", func(d *day, _ time.Duration) { d.randomHost().storeProxy.silence(0, 1) }},
	{"a host's connections to the store are reset", func(d *day, _ time.Duration) { d.randomHost().storeProxy.reset() }},
	{"a worker is cut off", func(d *day, span time.Duration) {
		p := d.randomWorkerProxy()
		p.setCut(true)
		time.Sleep(span)
		p.setCut(false)
	}},
	{"a worker's answers get lost", func(d *day, _ time.Duration) { d.randomWorkerProxy().silence(1) }},
	{"a worker is far", func(d *day, span time.Duration) {
		p := d.randomWorkerProxy()
		p.setDelay(120 * time.Millisecond)
		time.Sleep(span)
		p.setDelay(0)
	}},
	{"a worker starts again", func(d *day, span time.Duration) { d.restartWorker(d.randomWorker(), span/3) }},
	{"a worker starts again", func(d *day, span time.Duration) { d.restartWorker(d.randomWorker(), span/8) }},
	{"half of the workers start again", func(d *day, span time.Duration) {
		var all sync.WaitGroup
		for i, w := range d.workers {
			if i%2 == 0 {
				all.Go(func() { d.restartWorker(w, span/3) })
			}
		}
		all.Wait()
	}},
	{"a worker carries orders out late", func(d *day, span time.Duration) {
		d.setFaultUntil(d.randomWorker(), span, func(w *worker) *time.Time { return &w.delayingUntil })
	}},
	{"a worker's room shrinks", func(d *day, span time.Duration) {
		d.setFaultUntil(d.randomWorker(), span, func(w *worker) *time.Time { return &w.smallUntil })
	}},
	{"a worker's room is gone", func(d *day, span time.Duration) {
		d.setFaultUntil(d.randomWorker(), span, func(w *worker) *time.Time { return &w.noRoomUntil })
	}},
	{"a worker's row is nonsense", func(d *day, span time.Duration) {
		d.setFaultUntil(d.randomWorker(), span, func(w *worker) *time.Time { return &w.invalidRowUntil })
	}},
	{"a worker says that it leaves, and starts again", func(d *day, span time.Duration) {
		w := d.randomWorker()
		d.setFaultUntil(w, span, func(w *worker) *time.Time { return &w.leavingUntil })
		d.restartWorker(w, span/4)
	}},
}

const (
	// meanFaultInterval is the time between two faults, on average; several last at a time.
	meanFaultInterval = 600 * time.Millisecond
	// maxFaultSpan is how long one lasts at most.
	maxFaultSpan = 3500 * time.Millisecond
)

// injectFaults brings faults about while jobs come, and waits for their ends.
func (d *day) injectFaults() {
	var all sync.WaitGroup
	for end := time.Now().Add(faultPeriod); time.Now().Before(end); {
		d.mu.Lock()
		pause := time.Duration(d.rand.Int64N(int64(2 * meanFaultInterval)))
		f := faults[d.rand.IntN(len(faults))]
		span := 200*time.Millisecond + time.Duration(d.rand.Int64N(int64(maxFaultSpan)))
		d.mu.Unlock()
		time.Sleep(pause)
		d.checker.logf("FAULT %s for %s", f.name, span.Round(time.Millisecond))
		all.Go(func() { f.inject(d, span) })
	}
	all.Wait()
}

func (d *day) intN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rand.IntN(n)
}

func (d *day) randomHost() *host {
	h := d.hosts[d.intN(len(d.hosts))]
	d.checker.logf("FAULT at %s", h.name)
	return h
}

func (d *day) randomWorker() *worker { return d.workers[d.intN(len(d.workers))] }

func (d *day) randomWorkerProxy() *proxy {
	i := d.intN(len(d.workerProxies))
	d.checker.logf("FAULT at the way to %s", d.workers[i].id)
	return d.workerProxies[i]
}

// restartHost ends a host's process by a signal, and starts the next one after a while.
func (d *day) restartHost(h *host, s syscall.Signal, span time.Duration) {
	ended := h.signal(s)
	select {
	case <-ended:
	case <-time.After(faultPeriod): // one that stands still ends when it goes on
		h.kill()
	}
	time.Sleep(span / 2)
	if err := h.start(); err != nil {
		d.t.Error(err)
	}
}

// restartWorker ends a worker's life and starts the next one after a while.
func (d *day) restartWorker(w *worker, span time.Duration) {
	w.crash()
	time.Sleep(span)
	if err := w.startIncarnation(); err != nil {
		d.t.Error(err)
	}
}

// setFaultUntil sets until when a worker has a fault.
func (d *day) setFaultUntil(w *worker, span time.Duration, field func(w *worker) *time.Time) {
	w.mu.Lock()
	*field(w) = time.Now().Add(span)
	w.mu.Unlock()
	time.Sleep(span)
}
