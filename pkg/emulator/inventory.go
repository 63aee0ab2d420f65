package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/inventory"
)

// The platform's inventory of workers. It lists each worker's host, and the id of the incarnation that is up there; a
// worker that crashed has none, and one that is gone for good leaves the list soon after. Workers that are only cut off
// stay listed.

// Inventory configures the platform's inventory.
type Inventory struct {
	// Listed means that the platform has an inventory. Otherwise each reading fails at once.
	Listed bool
	// Failures is how often the inventory fails for a while, in any of the ways of InventoryFailure.
	Failures int
	// PageSize is the number of hosts on a page; 0: it is drawn.
	PageSize int
	// Spares is the number of hosts without a worker that are listed before all others. Again and again they leave, and as
	// many others join.
	Spares int
	// LateListing means that an incarnation may be missing from the inventory for maxLateListing after its start.
	LateListing bool
}

// InventoryFailure is a way in which the inventory fails.
type InventoryFailure int

// The ways in which the inventory fails.
const (
	// SlowInventory answers late, some pages after the timeout of a reading.
	SlowInventory InventoryFailure = iota
	// SilentInventory answers no call, RefusingInventory refuses each.
	SilentInventory
	RefusingInventory
	// EmptyInventory lists nothing.
	EmptyInventory
	// CutInventory fails to send one of the pages.
	CutInventory
)

const inventoryFailures = int(CutInventory) + 1

func (f InventoryFailure) String() string {
	return [...]string{"slow", "silent", "refusing", "empty", "cut"}[f]
}

const (
	// inventoryTimeout is the timeout of a reading, all pages included.
	inventoryTimeout = 2 * time.Second
	// maxPageDelay bounds the time that the inventory takes for a page, minSlowPage and maxSlowPage while it is slow.
	maxPageDelay             = 60 * time.Millisecond
	minSlowPage, maxSlowPage = 100 * time.Millisecond, 2500 * time.Millisecond
	// minPageSize and maxPageSize bound the number of hosts on a page.
	minPageSize, maxPageSize = 5, 16
	// spareInterval is how often the spare hosts leave.
	spareInterval = 150 * time.Millisecond
	// maxListingDelay bounds the time from the start of an incarnation until it is listed, maxLateListing with
	// Inventory.LateListing.
	maxListingDelay = time.Second
	maxLateListing  = 1900 * time.Millisecond
	// minUnlistingDelay and maxUnlistingDelay bound the time from the end of an incarnation until it is no longer listed.
	minUnlistingDelay, maxUnlistingDelay = 100 * time.Millisecond, 400 * time.Millisecond
	// minInventoryFailure and maxInventoryFailure bound the duration of a failure.
	minInventoryFailure, maxInventoryFailure = 500 * time.Millisecond, 5 * time.Second
	// inventorySeedStream is the stream of the random generator for the inventory. The other draws of a day don't depend on
	// it.
	inventorySeedStream = 13
)

// inventoryService answers readings of the inventory.
type inventoryService struct {
	world *World
	rand  *rand.Rand
	// pageSize is the number of hosts on a page, 0 before the first reading.
	pageSize int
	// failure is the present failure, which lasts until failsUntil.
	failure    InventoryFailure
	failsUntil time.Time
}

func newInventoryService(w *World) *inventoryService {
	return &inventoryService{world: w, pageSize: w.plan.Inventory.PageSize, rand: rand.New(rand.NewPCG(w.plan.Seed, inventorySeedStream))}
}

// between draws a duration from a to b.
func (s *inventoryService) between(purpose string, a, b time.Duration) time.Duration {
	span := uint64(b-a) + 1
	n := s.world.draws.next("inventory "+purpose, func(*rand.Rand) uint64 { return s.rand.Uint64N(span) })
	return a + time.Duration(n%span)
}

func (s *inventoryService) fail(how InventoryFailure, until time.Time) {
	s.failure, s.failsUntil = how, until
}

// fails returns whether the inventory fails now in a way.
func (s *inventoryService) fails(how InventoryFailure) bool {
	return s.world.now.Before(s.failsUntil) && s.failure == how
}

// scheduleFailures schedules the failures of Plan.Inventory.
func (s *inventoryService) scheduleFailures() {
	w := s.world
	for range w.plan.Inventory.Failures {
		at := earliestFault + time.Duration(s.rand.Int64N(int64(w.plan.Trouble-earliestFault)))
		span := minInventoryFailure + time.Duration(s.rand.Int64N(int64(maxInventoryFailure-minInventoryFailure)))
		how := s.rand.IntN(inventoryFailures)
		w.after(at, func() { w.injectFault(Fault{Kind: FailInventory, How: how, For: span}) })
	}
}

// listedHost is a host of the inventory with the id of the worker's incarnation there, "" for none.
type listedHost struct{ name, id string }

// hosts returns the hosts that are listed now.
func (s *inventoryService) hosts() []listedHost {
	if s.fails(EmptyInventory) {
		return nil
	}
	list := s.spares()
	for _, k := range s.world.workers {
		if !k.listing.hasLeft(s.world.now) {
			list = append(list, listedHost{k.name, k.listedID()})
		}
	}
	return list
}

// spares returns the hosts without a worker that are listed now.
func (s *inventoryService) spares() []listedHost {
	age, count := s.world.now.Sub(s.world.start), s.world.plan.Inventory.Spares
	if age%spareInterval < spareInterval/2 {
		count = min(count, 1)
	}
	var list []listedHost
	for i := range count {
		list = append(list, listedHost{name: fmt.Sprintf("spare-%d-%d", age/spareInterval, i)})
	}
	return list
}

// inventoryReading is a reading of the inventory by a host.
type inventoryReading struct {
	*inventoryService
	host *seat
	list inventory.List
	// cutPage is the page that a CutInventory does not send.
	cutPage int
	over    bool
	here    func(do func())
}

var errNoInventory = fault.New(fault.Unavailable, "inventory", "the platform has none", "")

// readInventory reads the inventory, and passes a complete list to all cells that this host leads.
func (h *seat) readInventory() {
	w, s := h.world, h.world.inventory
	if !w.plan.Inventory.Listed {
		h.state.Take(h.clock(), cell.InventoryRead{Err: errNoInventory})
		return
	}
	if s.pageSize == 0 {
		s.pageSize = int(s.between("pages", minPageSize, maxPageSize))
	}
	r := &inventoryReading{inventoryService: s, host: h, here: h.bindIncarnation(), cutPage: int(s.between("cut", 0, 2))}
	r.list = inventory.List{AskedAt: h.clock(), Hosts: map[string]bool{}, Workers: map[string]bool{}}
	w.after(inventoryTimeout, func() { r.finish(fault.New(fault.Unknown, "inventory", "no answer", "")) })
	r.readPage(0)
}

// readPage reads the page that begins with the host at an offset of the list, and then the next ones.
func (r *inventoryReading) readPage(offset int) {
	w, delay := r.world, r.between("page "+r.host.name, time.Millisecond, maxPageDelay)
	if r.fails(SlowInventory) {
		delay = r.between("slow page "+r.host.name, minSlowPage, maxSlowPage)
	}
	w.after(delay, func() {
		answerAfter := r.between("answer "+r.host.name, time.Millisecond, maxPageDelay)
		switch {
		case r.fails(SilentInventory) || w.now.Before(w.hallCuts[r.host.hall]):
			return
		case r.fails(RefusingInventory) || (r.fails(CutInventory) && r.list.Pages >= r.cutPage):
			w.after(answerAfter, func() { r.finish(fault.New(fault.Unavailable, "inventory", "it refuses a page", "")) })
			return
		}
		hosts, end := r.hosts(), offset+r.pageSize
		page := hosts[min(offset, len(hosts)):min(end, len(hosts))]
		w.after(answerAfter, func() { r.here(func() { r.takePage(page, end, end < len(hosts)) }) })
	})
}

// takePage adds a page to the list, and reads the one that begins at an offset if there are more.
func (r *inventoryReading) takePage(page []listedHost, next int, more bool) {
	if r.over {
		return
	}
	r.list.Pages++
	for _, h := range page {
		r.list.Hosts[h.name] = true
		if h.id != "" {
			r.list.Workers[h.id] = true
		}
	}
	if more {
		r.readPage(next)
		return
	}
	r.finish(nil)
}

// finish informs the cell that asked, and all cells that the host leads of a complete list.
func (r *inventoryReading) finish(err error) {
	r.here(func() {
		if r.over {
			return
		}
		r.over = true
		r.list.ReadAt = r.host.clock()
		if err != nil {
			r.list = inventory.List{}
		}
		for _, h := range r.host.seats {
			if h == r.host || (err == nil && h.state.HoldsLeadership()) {
				h.state.Take(h.clock(), cell.InventoryRead{List: r.list, Err: err})
				h.act()
			}
		}
	})
}

// listing is what the inventory tells of a worker. It is kept only on days with Inventory.Listed.
type listing struct {
	// listedAt is when the present incarnation is listed.
	listedAt time.Time
	// endedID is the id of the incarnation before, which is listed until endedUntil.
	endedID    string
	endedUntil time.Time
	// leftAt is when the host of a worker that is gone for good leaves the list.
	leftAt time.Time
}

// hasLeft returns whether the host is no longer listed.
func (l listing) hasLeft(now time.Time) bool { return !l.leftAt.IsZero() && !now.Before(l.leftAt) }

// startListing has the inventory list the incarnation that starts some time later.
func (k *worker) startListing() {
	if w := k.world; w.plan.Inventory.Listed {
		latest := maxListingDelay
		if w.plan.Inventory.LateListing {
			latest = maxLateListing
		}
		k.listing.listedAt = w.now.Add(w.inventory.between("listing "+k.name, latest/2, latest))
	}
}

// endListing has the inventory list the incarnation that ends no longer, some time later.
func (k *worker) endListing() {
	if w := k.world; w.plan.Inventory.Listed {
		k.listing.endedID = ""
		if !w.now.Before(k.listing.listedAt) {
			k.listing.endedID = k.key()
		}
		k.listing.endedUntil = w.now.Add(w.inventory.between("unlisting "+k.name, minUnlistingDelay, maxUnlistingDelay))
	}
}

// leaveInventory has the inventory list the host of the worker no longer, some time later.
func (k *worker) leaveInventory() {
	if w := k.world; w.plan.Inventory.Listed {
		k.listing.leftAt = w.now.Add(w.inventory.between("unlisting "+k.name, minUnlistingDelay, maxUnlistingDelay))
	}
}

// listedID returns the id of the incarnation that the inventory lists at the worker's host, "" for none.
func (k *worker) listedID() string {
	now, l := k.world.now, k.listing
	switch {
	case k.up && !now.Before(l.listedAt):
		return k.key()
	case now.Before(l.endedUntil):
		return l.endedID
	}
	return ""
}
