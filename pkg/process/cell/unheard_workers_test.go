package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// listRow lists the fleet's workers, and a row without a process on the given host. Without an address the row's
// worker is not polled.
func (f *crashFleet) listRow(id, host, address string) {
	if f.workers[id] == nil {
		f.workers[id] = &fleetWorker{id: id, down: true, upAt: f.now.Add(time.Hour)}
	}
	var records []workers.Record
	for _, w := range f.sorted() {
		r := workers.Record{
			ID: w.id, Born: w.born, Service: "quotes", Address: w.id, Hall: "hall", Ready: true, Host: w.id,
			Capacity: ledger.Size{Millicores: 8000, MemoryMB: 32000},
		}
		if w.id == id {
			r.Host, r.Address = host, address
		}
		records = append(records, r)
	}
	f.state.Take(f.now, cell.WorkersListed{Records: records})
}

// Guards against a row without a process that makes the crash of an isolated run look like a part of an outage: such a
// row's worker has gone silent at no time, whether its polls fail or another worker answers on its host.
func TestRowWithoutProcessIsNoSimultaneousSilence(t *testing.T) {
	t.Parallel()
	for name, row := range map[string]struct{ host, address string }{
		"its polls fail":                     {"x", "x"},
		"another worker answers on its host": {"w5", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newCrashFleet()
			id := f.accept(1, oneTask())
			task := id + ".0.0.0"
			f.crashAfter[task] = 10 * time.Millisecond
			for range 1000 {
				f.run(crashStep)
				if len(f.starts[task]) == 3 {
					break
				}
			}
			must.Len(t, 3, f.starts[task])
			must.NotEq(t, "w5", f.starts[task][2])
			f.listRow("x", row.host, row.address)
			f.run(20 * time.Second)
			must.Len(t, 3, f.starts[task])
			must.StrContains(t, f.failedJobs[id], "crashed 3 workers that ran it")
		})
	}
}

// Guards against rows without a process that delay the run which decides, as no quiet period begins: no worker has gone
// silent.
func TestRowsWithoutProcessEndNoQuietPeriod(t *testing.T) {
	t.Parallel()
	f := newCrashFleet()
	id := f.accept(1, oneTask())
	outside := func(worker string) *wire.CrashNote {
		return &wire.CrashNote{Worker: worker, Run: 1, Host: worker, Began: true, Lives: 3, Outside: true}
	}
	f.rows[id] = &wire.JobProgress{Id: id, Units: []*wire.UnitProgress{{Notes: []*wire.TaskNote{{Crashes: []*wire.CrashNote{outside("a"), outside("b"), outside("c")}}}}}}
	f.newLeader()
	for _, row := range []string{"x1", "x2", "x3", "x4"} {
		f.listRow(row, row, row)
		f.run(2 * time.Second)
	}
	must.Len(t, 1, f.starts[id+".0.0.0"])
}
