package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// The emulator asks with PendingLoad, so it must tell what the hosts of the product are told.
func TestPendingLoadCountsAsLoadDoes(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	for id, queue := range map[string]string{"00000000000000c1": "offers", "00000000000000c2": "offers", "00000000000000c3": "others"} {
		b.state.Take(b.now, cell.JobAccepted{Spec: &wire.JobSpec{
			Id: id, Queue: queue, Service: "quotes", Cell: "hall",
			Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000, MemoryMb: 100, EstimateMs: 1000, Label: "a label that no worker has"}},
		}})
	}
	b.step(20 * time.Millisecond)
	told, asked := b.state.Load(b.now, false), b.state.PendingLoad(b.now)
	must.Eq(t, map[string]int32{"offers": 2, "others": 1}, told.GetPending())
	must.Eq(t, told.GetPending(), asked.GetPending())
	must.Eq(t, told.GetLeading(), asked.GetLeading())
	must.Eq(t, told.GetCell(), asked.GetCell())
	must.Eq(t, told.GetEpoch(), asked.GetEpoch())
	must.Eq(t, told.GetTableReadMs(), asked.GetTableReadMs())
}
