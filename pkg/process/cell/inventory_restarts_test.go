package cell_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// saidToHaveEnded reports whether the leader has ended a worker's incarnation by the inventory.
func (b *testCell) saidToHaveEnded(id string) bool {
	return slices.ContainsFunc(b.notes, func(n cell.Note) bool {
		return n.Kind == cell.NoteWorkerGone && n.Worker == id && strings.Contains(n.Detail, "inventory")
	})
}

// runWithoutInventory lets the cell go on while the platform does not answer.
func (b *testCell) runWithoutInventory(span time.Duration) {
	const step = 50 * time.Millisecond
	for ; span > 0; span -= step {
		asked := b.inventoryAsked
		b.step(step)
		if b.inventoryAsked > asked {
			b.state.Take(b.now, cell.InventoryRead{Err: fault.New(fault.Unavailable, "inventory", "status 503", "")})
		}
	}
}

// A worker that has just started again under its id may not be listed yet. It has answered and may have got runs, which go on
// when it is cut off.
func TestRestartedWorkerIsNotEndedBeforeTheInventoryCanListIt(t *testing.T) {
	t.Parallel()
	for name, born := range map[string]int64{"it says when it began": 2, "it does not say when it began": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const restarted = "w99"
			before := newEmptyCell()
			before.reports[restarted], before.silent[restarted] = &workers.Report{}, true
			members := append(before.state.Members(), &wire.RosterEntry{Id: restarted, Address: "x", Host: restarted, Service: "quotes", Born: min(born, 1)})
			b := newEmptyCell()
			b.takeOverWith(before, 15*time.Second, members)
			b.register(len(b.reports) - 1) // its row in the registry is gone
			b.runWithoutInventory(5 * time.Second)
			b.silent[restarted], b.reports[restarted].Born = false, born
			b.runWithoutInventory(400 * time.Millisecond)
			b.silent[restarted] = true
			b.runWithInventory(1500*time.Millisecond, restarted)
			must.False(t, b.saidToHaveEnded(restarted))
			b.runWithInventory(3*time.Second, restarted)
			must.True(t, b.saidToHaveEnded(restarted))
		})
	}
}

// A process that was suspended takes lists long after they were asked for. Its worker has started again under its id meanwhile,
// got runs and been cut off.
func TestListsThatAreTakenLateDoNotEndTheNextIncarnation(t *testing.T) {
	t.Parallel()
	for name, born := range map[string]int64{"it says when it began": 2, "it does not say when it began": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newEmptyCell()
			b.reports["w03"].Born = min(born, 1)
			b.runWithoutInventory(5 * time.Second)
			b.silent["w03"] = true
			b.runWithoutInventory(time.Second)
			askedAt := b.now
			b.runWithoutInventory(time.Second)
			b.silent["w03"], b.reports["w03"].Born = false, born
			b.runWithoutInventory(time.Second)
			b.silent["w03"] = true
			b.runWithoutInventory(5 * time.Second)
			b.listInventory(askedAt, "w03")
			b.listInventory(askedAt.Add(500*time.Millisecond), "w03")
			b.step(50 * time.Millisecond)
			must.False(t, b.saidToHaveEnded("w03"))
		})
	}
}
