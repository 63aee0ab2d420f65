package soak_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Hosts and workers that are gone for good, and those that replace them.

const (
	// statusTimeout bounds the question to a host for the cells that it leads.
	statusTimeout = 300 * time.Millisecond
	// minLeaving and maxLeaving bound the time for which a worker says that it leaves.
	minLeaving, maxLeaving = 2500 * time.Millisecond, 4 * time.Second
	// firstNewNumber is above the numbers of the hosts and workers that a day begins with.
	firstNewNumber = 99
)

// presentHosts returns the hosts that are not gone for good.
func (d *day) presentHosts() []*host {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*host
	for _, h := range d.hosts {
		h.mu.Lock()
		if !h.gone {
			list = append(list, h)
		}
		h.mu.Unlock()
	}
	return list
}

// presentWorkers returns the workers that are not gone for good.
func (d *day) presentWorkers() []*worker {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*worker
	for _, w := range d.workers {
		w.mu.Lock()
		if !w.gone {
			list = append(list, w)
		}
		w.mu.Unlock()
	}
	return list
}

// proxyOf returns the proxy of a worker.
func (d *day) proxyOf(w *worker) *proxy {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.workerProxies[slices.Index(d.workers, w)]
}

// ledBy returns the cells that a host says it leads.
func (d *day) ledBy(h *host) []string {
	client := http.Client{Timeout: statusTimeout}
	resp, err := client.Get("http://" + h.figures + "/status")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	status := struct{ Led map[string]json.RawMessage }{}
	if json.NewDecoder(resp.Body).Decode(&status) != nil {
		return nil
	}
	var cells []string
	for cell := range status.Led {
		cells = append(cells, cell)
	}
	slices.Sort(cells)
	return cells
}

// leaders returns the hosts that lead a cell.
func (d *day) leaders() []*host {
	var list []*host
	for _, h := range d.presentHosts() {
		if cells := d.ledBy(h); len(cells) > 0 {
			d.checker.logf("%s leads %v", h.name, cells)
			list = append(list, h)
		}
	}
	return list
}

// hostEnd is how a host is gone for good: killed, so that its addresses refuse connections, frozen, so that they are
// silent, or stopped in order.
type hostEnd struct {
	name   string
	signal syscall.Signal
}

var hostEnds = []hostEnd{
	{"killed", syscall.SIGKILL}, {"killed", syscall.SIGKILL}, {"killed", syscall.SIGKILL}, {"frozen", syscall.SIGSTOP}, {"stopped", syscall.SIGTERM},
}

// replaceHost ends a host for good and starts another one after a while, at the old addresses if it may.
func (d *day) replaceHost(h *host, how hostEnd, after time.Duration, oldAddress bool) {
	h.mu.Lock()
	if h.gone {
		h.mu.Unlock()
		return
	}
	h.gone = true
	h.mu.Unlock()
	d.checker.impaired("%s is gone for good, %s", h.name, how.name)()
	h.signal(how.signal)
	time.Sleep(after)
	at := []string{h.callers, h.ready, h.control, h.figures}
	if !oldAddress || how.signal != syscall.SIGKILL {
		var err error
		if at, err = freeAddresses(len(at)); err != nil {
			d.t.Error(err)
			return
		}
	}
	i := d.nextNumber()
	d.checker.impaired("host-%d replaces %s, in %s, at %s", i, h.name, h.hall, at[0])()
	d.startHost(i, h.hall, at)
}

// workerEnd is how a worker is gone for good.
type workerEnd struct {
	name  string
	leave func(p *proxy)
}

var workerEnds = []workerEnd{
	{"its connections are reset", func(*proxy) {}},
	{"its address refuses", (*proxy).close},
	{"its address is silent", (*proxy).setMute},
	{"its address can't be reached", func(p *proxy) { p.setMute(); p.dropConnects() }},
}

// endWorkers ends workers for good.
func (d *day) endWorkers(list []*worker, how workerEnd) {
	var names []string
	for _, w := range list {
		names = append(names, w.id)
	}
	d.checker.impaired("%v are gone for good, %s", names, how.name)()
	for _, w := range list {
		how.leave(d.proxyOf(w))
		w.die()
	}
}

// endOneByOne ends workers for good one after the other, while another one may be cut off.
func (d *day) endOneByOne(list []*worker, how workerEnd, all *sync.WaitGroup) {
	if w := d.anyWorker(); d.oneIn(2) && !slices.Contains(list, w) {
		span := d.between(3*time.Second, 9*time.Second)
		all.Go(func() { d.cutOff(w, span) })
	}
	for _, w := range list {
		d.endWorkers([]*worker{w}, how)
		time.Sleep(d.between(0, 400*time.Millisecond))
	}
}

// replaceInOrder lets one worker after the other leave as planned, with another one for each, until the last loss is over.
// That is no impairment.
func (d *day) replaceInOrder() {
	var all sync.WaitGroup
	defer all.Wait()
	for {
		select {
		case <-d.quiet:
			return
		case <-time.After(d.between(700*time.Millisecond, 2*time.Second)):
		}
		w, span := d.anyWorker(), d.between(minLeaving, maxLeaving)
		w.mu.Lock()
		leaving := !w.leavingUntil.IsZero()
		w.leavingUntil = time.Now().Add(maxLeaving + time.Second)
		w.mu.Unlock()
		if leaving {
			continue
		}
		d.checker.logf("%s leaves in %s", w.id, span)
		all.Go(func() {
			select {
			case <-d.quiet:
			case <-time.After(span):
				w.die()
				d.addWorkers()
			}
		})
	}
}

// addWorkers adds workers until there are as many as at first. Some come at an old address of one that is gone.
func (d *day) addWorkers() {
	d.adding.Lock()
	defer d.adding.Unlock()
	for len(d.presentWorkers()) < lossWorkers {
		i := d.nextNumber()
		free, err := freeAddresses(2)
		if err != nil {
			d.t.Error(err)
			return
		}
		if old := d.freeFront(); old != "" && d.oneIn(3) {
			free[1] = old
		}
		d.checker.logf("worker i-%d comes, at %s", i, free[1])
		d.startWorker(i, halls[i%len(halls)], free)
	}
}

// nextNumber returns a number for the name of a host or worker that comes during the day.
func (d *day) nextNumber() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.number++
	return firstNewNumber + d.number
}

// freeFront returns an address at which a worker was served that is gone, and no other since, or "".
func (d *day) freeFront() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	taken := map[string]bool{}
	for i, w := range d.workers {
		w.mu.Lock()
		if !w.gone || !d.workerProxies[i].closed() {
			taken[w.front] = true
		}
		w.mu.Unlock()
	}
	for _, w := range d.workers {
		if !taken[w.front] {
			return w.front
		}
	}
	return ""
}
