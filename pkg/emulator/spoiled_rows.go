package emulator

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Invalid rows in the worker registry, as other writers leave them. On a day with Plan.OddRows the rows of
// workers are altered for a while, and rows of unknown workers stand beside them. The product's own
// workers.ValidateRow decides which rows are valid.

const (
	// spoiledRowsPerDay is the number of rows altered in a day, maxSpoiledSpan how long one stays altered at
	// most.
	spoiledRowsPerDay = 12
	maxSpoiledSpan    = 5 * time.Second
	// unknownRows is the number of registry rows that belong to no worker.
	unknownRows = 3
)

// spoilings are the ways in which a row is altered.
var spoilings = []func(a *workers.RegistryRow){
	func(a *workers.RegistryRow) { a.Service = nil },
	func(a *workers.RegistryRow) { a.Address = nil },
	func(a *workers.RegistryRow) { a.Address = stringPointer("nowhere at all") },
	func(a *workers.RegistryRow) { a.Hall = stringPointer("attic") },
	func(a *workers.RegistryRow) { a.State = stringPointer("dancing") },
	func(a *workers.RegistryRow) { a.Sequence = intPointer(-1) },
	func(a *workers.RegistryRow) { a.Capacity = nil },
	func(a *workers.RegistryRow) { a.Capacity.Millicores = intPointer(-9) },
	func(a *workers.RegistryRow) { a.Labels = nil },
	func(a *workers.RegistryRow) { a.Service = stringPointer("somebody else's") },
}

func stringPointer(s string) *string { return &s }

func intPointer(n int64) *int64 { return &n }

// planOddRows plans the alterations of rows.
func (w *World) planOddRows() {
	for range spoiledRowsPerDay {
		w.after(w.between(2*time.Second, w.plan.Trouble), func() {
			k := w.workers[w.rand.IntN(len(w.workers))]
			if w.now.Before(k.spoiledUntil) {
				return
			}
			span := w.between(500*time.Millisecond, maxSpoiledSpan)
			w.injectFault(Fault{Kind: SpoilRow, Target: k.name, For: span, How: w.rand.IntN(len(spoilings))})
		})
	}
}

// accountFromRecord returns the row that a worker would write for a record.
func accountFromRecord(r workers.Record) workers.RegistryRow {
	state := workers.StateReady
	if r.Leaving {
		state = workers.StateLeaving
	}
	a := workers.RegistryRow{
		ID: r.ID, Host: &r.Host, Service: &r.Service, Address: stringPointer(r.Address + ":80"), Hall: &r.Hall, State: &state,
		Software: stringPointer("v1"), Slots: intPointer(8), Sequence: intPointer(1), Labels: []string{"a"}, Version: r.Version,
		Capacity: &workers.Capacity{Millicores: &r.Capacity.Millicores, MemoryMB: &r.Capacity.MemoryMB},
	}
	if r.Born != 0 {
		a.Born = &r.Born
	}
	return a
}

// acceptedRecords returns the records whose rows are valid, after rows were altered and unknown ones added.
func (w *World) acceptedRecords(list []workers.Record, hall string) []workers.Record {
	if !w.plan.OddRows {
		return list
	}
	known := workers.KnownNames{
		Service: func(name string) bool { return name == serviceName },
		Hall:    func(name string) bool { return name == hall },
	}
	var good []workers.Record
	for _, r := range list {
		a := accountFromRecord(r)
		if k := w.workerAt(r.Address); k != nil && w.now.Before(k.spoiledUntil) {
			k.spoil(&a)
		}
		if _, err := workers.ValidateRow(a, known); err == nil {
			good = append(good, r)
		}
	}
	for i := range unknownRows {
		a := accountFromRecord(workers.Record{ID: fmt.Sprintf("stranger-%d", i), Host: "s", Service: serviceName, Address: "nobody", Hall: hall})
		spoilings[i](&a)
		if r, err := workers.ValidateRow(a, known); err == nil {
			good = append(good, r)
		}
	}
	return good
}

// workerAt returns the worker at an address, nil if there is none.
func (w *World) workerAt(address string) *worker {
	for _, k := range w.workers {
		if k.name == address {
			return k
		}
	}
	return nil
}

// rowWasValid returns whether the row of the worker at an address is valid now, or was when the leader read the
// registry at the given time.
func (w *World) rowWasValid(address string, readAt time.Time) bool {
	k := w.workerAt(address)
	return k != nil && (!w.now.Before(k.spoiledUntil) || readAt.Before(k.spoiledSince))
}
