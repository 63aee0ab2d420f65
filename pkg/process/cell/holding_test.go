package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Guards against a cell that misstates how it holds a task: checks rely on it to find tasks that no cell would start.
func TestHoldingFollowsTaskThroughDelegation(t *testing.T) {
	t.Parallel()
	b := newBusyCell()
	task := delegatedJob + ".0.0.0"
	must.Eq(t, cell.Held{Holding: cell.HoldingUnknown}, b.state.HoldingOf(b.now, task))
	b.accept(delegatedJob, "watches", &wire.StepSpec{Count: 1, Millicores: 30000, Lasting: true, TailTargetMs: 100, Image: "s1"})
	must.Eq(t, cell.Held{Holding: cell.HoldingWaiting}, b.state.HoldingOf(b.now, task))
	must.Eq(t, cell.Held{Holding: cell.HoldingUnknown}, b.state.HoldingOf(b.now, delegatedJob+".0.0.1"))
	for range 60 {
		b.state.Take(b.now, loadWithCapacity("other"))
		b.step(50 * time.Millisecond)
	}
	must.Eq(t, cell.Held{Holding: cell.HoldingDelegated, Cell: "other"}, b.state.HoldingOf(b.now, task))
	b.state.Take(b.now, cell.TasksReturned{Tasks: &wire.ReturnedTasks{Id: delegatedJob, From: "other", Tasks: []*wire.TaskRef{{Lending: 1}}}})
	must.Eq(t, cell.Held{Holding: cell.HoldingWaiting}, b.state.HoldingOf(b.now, task))
	b.state.Take(b.now, cell.CancelRequested{ID: delegatedJob})
	must.Eq(t, cell.Held{Holding: cell.HoldingEnded}, b.state.HoldingOf(b.now, task))
}
