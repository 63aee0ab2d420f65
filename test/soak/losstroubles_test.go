package soak_test

import (
	"syscall"
	"time"
)

// Impairments beside the losses of a day.

// longSilence stands for an inventory that does not answer.
const longSilence = time.Minute

var lossTroubles = []func(d *day, span time.Duration){
	func(d *day, span time.Duration) {
		defer d.checker.impaired("the inventory is slow")()
		d.inventory.Delay(span / 4)
		time.Sleep(span)
		d.inventory.Delay(d.inventoryDelay)
	},
	func(d *day, span time.Duration) {
		defer d.checker.impaired("the inventory is silent")()
		d.inventory.Delay(longSilence)
		time.Sleep(span)
		d.inventory.Delay(d.inventoryDelay)
		d.inventory.CloseClientConnections()
	},
	func(d *day, span time.Duration) {
		status := []int{429, 503}[d.intN(2)]
		defer d.checker.impaired("the inventory refuses with %d", status)()
		d.inventory.Refuse(status)
		time.Sleep(span)
		d.inventory.Refuse(0)
	},
	func(d *day, span time.Duration) {
		bodies := []string{"", "[]", "{}", `{"machines":[]}`, `{"machines":null}`, `{"machines":[{"machine":"m-1"`, `{"machines":[{"machine":7,"id":[]}]}`, "\xff\x00"}
		body := bodies[d.intN(len(bodies))]
		defer d.checker.impaired("the inventory answers %q", body)()
		d.inventory.Answer([]byte(body))
		time.Sleep(span)
		d.inventory.Answer(nil)
	},
	func(d *day, span time.Duration) { d.cutOff(d.anyWorker(), span) },
	func(d *day, span time.Duration) { d.cutOff(d.anyWorker(), 4*span) },
	func(d *day, span time.Duration) {
		w := d.anyWorker()
		defer d.checker.impaired("%s crashes and comes back", w.id)()
		d.restartWorker(w, span)
	},
	func(d *day, span time.Duration) {
		defer d.checker.impaired("several workers crash and come back")()
		for _, w := range d.presentWorkers() {
			if d.oneIn(4) {
				defer func() { _ = w.startIncarnation() }() // at the end of a day its address may be taken
				w.crash()
			}
		}
		time.Sleep(span)
	},
	func(d *day, span time.Duration) {
		w := d.anyWorker()
		defer d.checker.impaired("%s restarts and is cut off at once", w.id)()
		p := d.proxyOf(w)
		d.restartWorker(w, span/4)
		p.setCut(true)
		time.Sleep(span)
		p.setCut(false)
	},
	func(d *day, _ time.Duration) {
		w := d.anyWorker()
		defer d.checker.impaired("%s's connections are reset", w.id)()
		d.proxyOf(w).reset()
	},
	func(d *day, _ time.Duration) {
		w := d.anyWorker()
		defer d.checker.impaired("%s's answers are lost", w.id)()
		d.proxyOf(w).silence(1)
	},
	func(d *day, span time.Duration) {
		h := d.anyHost()
		defer d.checker.impaired("%s is killed and comes back", h.name)()
		d.restartHost(h, syscall.SIGKILL, span)
	},
	func(d *day, span time.Duration) {
		h := d.anyHost()
		defer d.checker.impaired("%s is paused", h.name)()
		h.signal(syscall.SIGSTOP)
		time.Sleep(span)
		h.mu.Lock()
		gone := h.gone
		h.mu.Unlock()
		if !gone {
			h.signal(syscall.SIGCONT)
		}
	},
	func(d *day, span time.Duration) {
		defer d.checker.impaired("the store rejects all calls")()
		d.store.Refuse(503)
		time.Sleep(span)
		d.store.Refuse(0)
	},
	func(d *day, span time.Duration) {
		h := d.anyHost()
		defer d.checker.impaired("%s is cut from the store", h.name)()
		h.storeProxy.setCut(true)
		time.Sleep(span)
		h.storeProxy.setCut(false)
	},
}

// cutOff cuts a worker off for a while. It stays listed.
func (d *day) cutOff(w *worker, span time.Duration) {
	defer d.checker.impaired("%s is cut off", w.id)()
	p := d.proxyOf(w)
	p.setCut(true)
	time.Sleep(span)
	p.setCut(false)
}

// anyWorker returns a worker that is not gone for good.
func (d *day) anyWorker() *worker {
	list := d.presentWorkers()
	return list[d.intN(len(list))]
}

// anyHost returns a host that is not gone for good.
func (d *day) anyHost() *host {
	list := d.presentHosts()
	return list[d.intN(len(list))]
}
