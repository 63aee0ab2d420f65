package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// A worker starts again under its id before the cell has settled. What ran there may have ended well, and a later leader may
// know that.
func TestRestartDoesNotSettleACellWhoseLeaderIsNotConfirmed(t *testing.T) {
	t.Parallel()
	before := newEmptyCell()
	before.silent["w03"] = true
	members := before.state.Members()
	for _, m := range members {
		m.Born, m.Leaving = 1, m.GetId() == "w03"
	}
	b := newEmptyCell()
	b.takeOverWith(before, 15*time.Second, members, lastingJob("00000000000000ee"))
	var records []workers.Record
	for id, r := range b.reports {
		r.Born = 1
		records = append(records, workers.Record{ID: id, Born: 1, Service: "quotes", Address: "x", Hall: "hall", Ready: true, Host: id, Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000}})
	}
	b.state.Take(b.now, cell.WorkersListed{Records: records})
	b.runWithoutInventory(2 * time.Second)
	must.MapNotContainsKey(t, b.started, otherTask)
	b.tableDown = true
	b.silent["w03"], b.reports["w03"].Born = false, 2
	b.runWithoutInventory(2 * time.Second)
	must.MapNotContainsKey(t, b.started, otherTask)
}
