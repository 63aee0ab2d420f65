package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Guards against a gang that is returned at its arrival, while the record of its start is being written.
func TestDelegatedGangAwaitsItsStartRecordBeforeItIsReturned(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	crash := []*wire.CrashNote{{Worker: "a", Run: 1, Host: "a", Born: 1, Began: true, Company: 9, Lives: 1}}
	b.state.Take(b.now, cell.JobAccepted{Spec: &wire.JobSpec{
		Id: delegatedJob, Queue: "offers", Service: "quotes", Cell: "hall", Home: "home",
		Steps: []*wire.StepSpec{{Count: 2, Millicores: 6000, Gang: true, EstimateMs: 1000}}, Guest: []*wire.TaskRef{{Lending: 1, WaitedMs: 6000, Crashes: crash}, {Index: 1, Lending: 1, WaitedMs: 6000, Crashes: crash}},
	}})
	b.state.Take(b.now, loadWithCapacity("third"))
	var writes []cell.WriteProgress
	for _, e := range b.state.Decide(b.now, b.now) { // placement requests the record, whose answer comes after the next tick
		if w, ok := e.(cell.WriteProgress); ok {
			writes = append(writes, w)
		}
	}
	b.step(50 * time.Millisecond)
	for _, w := range writes {
		b.version++
		b.state.Take(b.now, cell.WriteAnswered{Part: w.Part, Serial: w.Serial, Committed: table.CommitResult{Version: b.version}})
	}
	began := b.now
	for b.now.Sub(began) < 3*time.Second && !b.started[delegatedJob+".0.0.0"] && !b.returnedTo(t, "home") {
		b.state.Take(b.now, loadWithCapacity("third"))
		b.step(50 * time.Millisecond)
	}
	must.True(t, b.started[delegatedJob+".0.0.0"])
}
