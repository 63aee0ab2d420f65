// Package ledger keeps what is committed on each worker. Package hall asks it before it sends a
// start.
//
// A host is never committed beyond its processors, memory or accelerators. That promise is kept
// here and nowhere else: a reservation is made before a start is sent and taken back only when
// the worker has said that the attempt ended, or when its lease is surely over. Measured use
// never enters: a host that looks idle is still full when its reservations say so.
package ledger

import (
	"github.com/wrenferry/wrenferry/pkg/capacity"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Size is an amount of a host's resources.
type Size = capacity.Size

// FromWire reads a size off a message; an absent one is zero.
func FromWire(s *wire.Size) Size { return capacity.FromWire(s) }

// Worker is the account of one worker. Its methods return what changed so that
// callers needn't look twice; a Worker belongs to the control thread alone.
type Worker struct {
	capacity Size
	services Size
	reserved map[string]Size
	sum      Size
}

// NewWorker opens an account with no room: nothing fits until the worker has
// said how large it is.
func NewWorker() *Worker {
	return &Worker{reserved: map[string]Size{}}
}

// SetCapacity takes in what the worker says of itself: its whole size and what
// its services hold of it.
func (w *Worker) SetCapacity(capacity, services Size) {
	w.capacity = capacity
	w.services = services
}

// Capacity is the worker's whole size less its services.
func (w *Worker) Capacity() Size { return w.capacity.Minus(w.services) }

// Free is what may still be reserved.
func (w *Worker) Free() Size { return w.Capacity().Minus(w.sum) }

// Reserved is the sum of what is reserved.
func (w *Worker) Reserved() Size { return w.sum }

// Reserve books a size under an attempt's name if it fits, and says whether it
// did. Booking the same attempt twice changes nothing.
func (w *Worker) Reserve(name string, size Size) bool {
	if _, ok := w.reserved[name]; ok {
		return true
	}
	if !size.Fits(w.Free()) {
		return false
	}
	w.book(name, size)
	return true
}

// Adopt books what a worker says is already running there, whether or not it
// fits: it is a fact, and hiding it would over-commit the host.
func (w *Worker) Adopt(name string, size Size) {
	if _, ok := w.reserved[name]; !ok {
		w.book(name, size)
	}
}

// Release takes a booking back.
func (w *Worker) Release(name string) {
	if size, ok := w.reserved[name]; ok {
		w.sum = w.sum.Minus(size)
		delete(w.reserved, name)
	}
}

// Holds says whether an attempt is booked.
func (w *Worker) Holds(name string) bool {
	_, ok := w.reserved[name]
	return ok
}

// Names lists the booked attempts, in no order.
func (w *Worker) Names() []string {
	names := make([]string, 0, len(w.reserved))
	for name := range w.reserved {
		names = append(names, name)
	}
	return names
}

func (w *Worker) book(name string, size Size) {
	w.reserved[name] = size
	w.sum = w.sum.Plus(size)
}
