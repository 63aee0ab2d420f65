package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/inventory"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// BenchmarkInventoryOfALargeFleet takes lists of 1,100 workers in a cell of 300 of them, of which 30 are silent and still listed.
func BenchmarkInventoryOfALargeFleet(b *testing.B) {
	const fleet, inCell, silent = 1100, 300, 30
	c := newEmptyCell()
	records := make([]workers.Record, inCell)
	for i := range records {
		id := fmt.Sprintf("x%04d", i)
		records[i] = workers.Record{ID: id, Service: "quotes", Address: "x", Hall: "hall", Ready: true, Host: id, Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000}}
		c.reports[id] = &workers.Report{Born: 1}
		c.silent[id] = i < silent
	}
	c.state.Take(c.now, cell.WorkersListed{Records: records})
	c.runWithoutInventory(5 * time.Second)
	l := inventory.List{Pages: 3, Hosts: map[string]bool{}, Workers: map[string]bool{}}
	for i := range fleet {
		id := fmt.Sprintf("x%04d", i)
		l.Hosts[id], l.Workers[id] = true, true
	}
	b.ReportAllocs()
	for b.Loop() {
		c.now = c.now.Add(time.Millisecond)
		l.AskedAt, l.ReadAt = c.now, c.now
		c.state.Take(c.now, cell.InventoryRead{List: l})
	}
}

// BenchmarkDecideBesideManyWorkers decides again and again in a cell of 1,100 workers, while none is silent and no poll is due.
func BenchmarkDecideBesideManyWorkers(b *testing.B) {
	c := newEmptyCell()
	records := make([]workers.Record, 1100)
	for i := range records {
		id := fmt.Sprintf("x%04d", i)
		records[i] = workers.Record{ID: id, Service: "quotes", Address: "x", Hall: "hall", Ready: true, Host: id, Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000}}
		c.reports[id] = &workers.Report{Born: 1}
	}
	c.state.Take(c.now, cell.WorkersListed{Records: records})
	c.runWithoutInventory(5 * time.Second)
	for b.Loop() {
		c.state.Decide(c.now, c.now)
	}
}
