package emulator

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Other writers. On a day with odd rows, workers' rows are spoilt for a while, and rows of
// workers that nobody knows stand in the list beside them. What the rows say goes through the
// product's own workers.Judge.

const (
	// spoiledRowsPerDay is how many times a day rows are spoilt, oddFor for how long at most.
	spoiledRowsPerDay = 12
	maxSpoiledSpan    = 5 * time.Second
	// unknownRows is how many rows of nobody's stand in the list.
	unknownRows = 3
)

// spoilings are the ways in which a row is spoilt.
var spoilings = []func(a *workers.Account){
	func(a *workers.Account) { a.Service = nil },
	func(a *workers.Account) { a.Address = nil },
	func(a *workers.Account) { a.Address = stringPointer("nowhere at all") },
	func(a *workers.Account) { a.Hall = stringPointer("attic") },
	func(a *workers.Account) { a.State = stringPointer("dancing") },
	func(a *workers.Account) { a.Sequence = intPointer(-1) },
	func(a *workers.Account) { a.Capacity = nil },
	func(a *workers.Account) { a.Capacity.Millicores = intPointer(-9) },
	func(a *workers.Account) { a.Labels = nil },
	func(a *workers.Account) { a.Service = stringPointer("somebody else's") },
}

func stringPointer(s string) *string { return &s }

func intPointer(n int64) *int64 { return &n }

// planOddRows has rows spoilt.
func (w *World) planOddRows() {
	for range spoiledRowsPerDay {
		w.after(w.between(2*time.Second, w.plan.Trouble), func() {
			k := w.workers[w.rand.IntN(len(w.workers))]
			if w.now.Before(k.oddUntil) {
				return
			}
			span := w.between(500*time.Millisecond, maxSpoiledSpan)
			w.strikeWith(Fault{Kind: SpoilRow, Target: k.name, For: span, How: w.rand.IntN(len(spoilings))})
		})
	}
}

// accountFromRecord is a record as its row says it.
func accountFromRecord(r workers.Record) workers.Account {
	state := workers.StateReady
	if r.Leaving {
		state = workers.StateLeaving
	}
	a := workers.Account{
		ID: r.ID, Host: &r.Host, Service: &r.Service, Address: stringPointer(r.Address + ":80"), Hall: &r.Hall, State: &state,
		Software: stringPointer("v1"), Slots: intPointer(8), Sequence: intPointer(1), Labels: []string{"a"}, Version: r.Version,
		Capacity: &workers.Capacity{Millicores: &r.Capacity.Millicores, MemoryMB: &r.Capacity.MemoryMB},
	}
	if r.Born != 0 {
		a.Born = &r.Born
	}
	return a
}

// acceptedRecords are the records that their rows still name, with rows of nobody's among them.
func (w *World) acceptedRecords(list []workers.Record, hall string) []workers.Record {
	if !w.plan.OddRows {
		return list
	}
	known := workers.Known{
		Service: func(name string) bool { return name == serviceName },
		Hall:    func(name string) bool { return name == hall },
	}
	var good []workers.Record
	for _, r := range list {
		a := accountFromRecord(r)
		if k := w.workerAt(r.Address); k != nil && w.now.Before(k.oddUntil) {
			k.spoil(&a)
		}
		if _, err := workers.Judge(a, known); err == nil {
			good = append(good, r)
		}
	}
	for i := range unknownRows {
		a := accountFromRecord(workers.Record{ID: fmt.Sprintf("stranger-%d", i), Host: "s", Service: serviceName, Address: "nobody", Hall: hall})
		spoilings[i](&a)
		if r, err := workers.Judge(a, known); err == nil {
			good = append(good, r)
		}
	}
	return good
}

func (w *World) workerAt(address string) *worker {
	for _, k := range w.workers {
		if k.name == address {
			return k
		}
	}
	return nil
}

// rowWasValid says whether a row named the worker to a leader that read the list at a given time.
func (w *World) rowWasValid(address string, readAt time.Time) bool {
	k := w.workerAt(address)
	return k != nil && (!w.now.Before(k.oddUntil) || readAt.Before(k.oddSince))
}
