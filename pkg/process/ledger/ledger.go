// Package ledger keeps the reservations on each worker. Package hall asks it before it sends a start.
//
// A host is never committed beyond its processors, memory or accelerators. Only this package enforces that: a
// reservation is made before a start is sent, and released only after the worker has reported the end of the
// attempt, or when the attempt's lease is certainly over. Measured use does not count: a host that looks idle is
// full if its reservations add up to its capacity.
package ledger

import (
	"github.com/wrenferry/wrenferry/pkg/capacity"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Size is an amount of a host's resources.
type Size = capacity.Size

// FromWire converts a size from a message. An absent size is zero.
func FromWire(s *wire.Size) Size { return capacity.FromWire(s) }

// Account is the account of one worker's resources. Its methods return what they changed, so that callers need no
// second query. Only the control thread may use it.
type Account struct {
	capacity Size
	services Size
	reserved map[string]Size
	sum      Size
}

// NewAccount returns an account with zero capacity: nothing fits until the worker has reported its size.
func NewAccount() *Account {
	return &Account{reserved: map[string]Size{}}
}

// SetCapacity sets the size that the worker reports, and the part of it that the worker's services occupy.
func (w *Account) SetCapacity(capacity, services Size) {
	w.capacity = capacity
	w.services = services
}

// Capacity returns the worker's size less that of its services.
func (w *Account) Capacity() Size { return w.capacity.Minus(w.services) }

// Free returns the capacity that is not reserved.
func (w *Account) Free() Size { return w.Capacity().Minus(w.sum) }

// Reserved returns the sum of all reservations.
func (w *Account) Reserved() Size { return w.sum }

// Reserve makes a reservation for the named attempt if size fits into the free capacity. It returns whether the
// attempt has a reservation. A second call for the same attempt changes nothing.
func (w *Account) Reserve(name string, size Size) bool {
	if _, ok := w.reserved[name]; ok {
		return true
	}
	if !size.Fits(w.Free()) {
		return false
	}
	w.addReservation(name, size)
	return true
}

// Adopt adds a reservation for an attempt that the worker reports as running, even if it does not fit. The attempt
// uses the resources in any case, and omitting it would over-commit the host.
func (w *Account) Adopt(name string, size Size) {
	if _, ok := w.reserved[name]; !ok {
		w.addReservation(name, size)
	}
}

// Release removes the named attempt's reservation, if there is one.
func (w *Account) Release(name string) {
	if size, ok := w.reserved[name]; ok {
		w.sum = w.sum.Minus(size)
		delete(w.reserved, name)
	}
}

// HasReservation returns whether the named attempt has a reservation.
func (w *Account) HasReservation(name string) bool {
	_, ok := w.reserved[name]
	return ok
}

// ReservationNames returns the names of all attempts with a reservation, in no particular order.
func (w *Account) ReservationNames() []string {
	names := make([]string, 0, len(w.reserved))
	for name := range w.reserved {
		names = append(names, name)
	}
	return names
}

func (w *Account) addReservation(name string, size Size) {
	w.reserved[name] = size
	w.sum = w.sum.Plus(size)
}
