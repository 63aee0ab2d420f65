package soak_test

import (
	"sync"
	"syscall"
	"time"
)

// fault is a kind of fault. inject returns when the fault has ended.
type fault struct {
	name   string
	inject func(d *day, span time.Duration)
}

// faults are the kinds of faults, each equally likely. An entry that stands twice is twice as likely.
var faults = []fault{
	{"a host is killed", func(d *day, span time.Duration) { d.restartHost(d.randomHost(), syscall.SIGKILL, span) }},
	{"a host is stopped", func(d *day, span time.Duration) { d.restartHost(d.randomHost(), syscall.SIGTERM, span) }},
	{"a host is paused", func(d *day, span time.Duration) {
		h := d.randomHost()
		h.signal(syscall.SIGSTOP)
		time.Sleep(span)
		h.signal(syscall.SIGCONT)
	}},
	{"a host reloads its settings", func(d *day, _ time.Duration) { d.randomHost().signal(syscall.SIGHUP) }},
	{"all hosts are killed", func(d *day, span time.Duration) {
		var all sync.WaitGroup
		for _, h := range d.hosts {
			all.Go(func() { d.restartHost(h, syscall.SIGKILL, min(span, time.Second)) })
		}
		all.Wait()
	}},
	{"the store rejects all calls", func(d *day, span time.Duration) { d.store.Refuse(503); time.Sleep(span); d.store.Refuse(0) }},
	{"the store loses answers", func(d *day, span time.Duration) {
		d.store.LoseWrites(true)
		time.Sleep(span)
		d.store.LoseWrites(false)
	}},
	{"the store is slow", func(d *day, span time.Duration) { d.store.LimitRate(40_000); time.Sleep(span); d.store.LimitRate(0) }},
	{"the store forgets its history", func(d *day, _ time.Duration) { d.store.DropHistory() }},
	{"a host is cut from the store", func(d *day, span time.Duration) {
		p := d.randomHost().storeProxy
		p.setCut(true)
		time.Sleep(span)
		p.setCut(false)
	}},
	{"a host's connections to the store stop carrying data", func(d *day, _ time.Duration) { d.randomHost().storeProxy.silence(0, 1) }},
	{"a host's connections to the store are reset", func(d *day, _ time.Duration) { d.randomHost().storeProxy.reset() }},
	{"a worker is cut off", func(d *day, span time.Duration) {
		p := d.randomWorkerProxy()
		p.setCut(true)
		time.Sleep(span)
		p.setCut(false)
	}},
	{"a worker's answers are lost", func(d *day, _ time.Duration) { d.randomWorkerProxy().silence(1) }},
	{"a worker has a high latency", func(d *day, span time.Duration) {
		p := d.randomWorkerProxy()
		p.setDelay(120 * time.Millisecond)
		time.Sleep(span)
		p.setDelay(0)
	}},
	{evacuationFault, func(d *day, span time.Duration) { d.evacuate(d.workers[d.intN(len(d.workers))].hall, 3*span) }},
	{"a worker restarts", func(d *day, span time.Duration) { d.restartWorker(d.randomWorker(), span/3) }},
	{"a worker restarts", func(d *day, span time.Duration) { d.restartWorker(d.randomWorker(), span/8) }},
	{"half of the workers restart", func(d *day, span time.Duration) {
		var all sync.WaitGroup
		for i, w := range d.workers {
			if i%2 == 0 {
				all.Go(func() { d.restartWorker(w, span/3) })
			}
		}
		all.Wait()
	}},
	{"a worker executes orders late", func(d *day, span time.Duration) {
		d.setFaultUntil(d.randomWorker(), span, func(w *worker) *time.Time { return &w.delayingUntil })
	}},
	{"a worker's capacity shrinks", func(d *day, span time.Duration) {
		d.setFaultUntil(d.randomWorker(), span, func(w *worker) *time.Time { return &w.smallUntil })
	}},
	{"a worker has no capacity", func(d *day, span time.Duration) {
		d.setFaultUntil(d.randomWorker(), span, func(w *worker) *time.Time { return &w.noCapacityUntil })
	}},
	{"a worker's row is invalid", func(d *day, span time.Duration) {
		d.setFaultUntil(d.randomWorker(), span, func(w *worker) *time.Time { return &w.invalidRowUntil })
	}},
	{"a worker drains and restarts", func(d *day, span time.Duration) {
		w := d.randomWorker()
		d.setFaultUntil(w, span, func(w *worker) *time.Time { return &w.leavingUntil })
		d.restartWorker(w, span/4)
	}},
}

const (
	// meanFaultInterval is the mean time between the starts of two faults, which may overlap.
	meanFaultInterval = 600 * time.Millisecond
	// maxFaultSpan is the range of a fault's duration above its minimum of 200 ms.
	maxFaultSpan = 3500 * time.Millisecond
)

// injectFaults injects random faults while jobs arrive, and waits until all have ended.
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
		all.Go(func() {
			f.inject(d, span)
			if f.name != evacuationFault {
				d.checker.faultEnded()
			}
		})
	}
	all.Wait()
}

func (d *day) intN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rand.IntN(n)
}

func (d *day) uint64() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rand.Uint64()
}

func (d *day) randomHost() *host {
	h := d.hosts[d.intN(len(d.hosts))]
	d.checker.logf("FAULT at %s", h.name)
	return h
}

func (d *day) randomWorker() *worker { return d.workers[d.intN(len(d.workers))] }

func (d *day) randomWorkerProxy() *proxy {
	i := d.intN(len(d.workerProxies))
	d.checker.logf("FAULT at the proxy of %s", d.workers[i].id)
	return d.workerProxies[i]
}

// restartHost ends a host's process by a signal, and starts a new one after half of span.
func (d *day) restartHost(h *host, s syscall.Signal, span time.Duration) {
	ended := h.signal(s)
	select {
	case <-ended:
	case <-time.After(faultPeriod): // a paused process handles the signal only when it is resumed
		h.kill()
	}
	time.Sleep(span / 2)
	if err := h.start(); err != nil {
		d.t.Error(err)
	}
}

// restartWorker crashes a worker's incarnation and starts the next one after span.
func (d *day) restartWorker(w *worker, span time.Duration) {
	w.crash()
	time.Sleep(span)
	if err := w.startIncarnation(); err != nil {
		d.t.Error(err)
	}
}

// setFaultUntil sets the end of a worker's fault to span from now, and waits until then.
func (d *day) setFaultUntil(w *worker, span time.Duration, field func(w *worker) *time.Time) {
	w.mu.Lock()
	*field(w) = time.Now().Add(span)
	w.mu.Unlock()
	time.Sleep(span)
}
