package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/inventory"
)

// inventoryOf returns a list of three pages that names all workers of the cell but some.
func (b *testCell) inventoryOf(askedAt, readAt time.Time, missing ...string) inventory.List {
	l := inventory.List{AskedAt: askedAt, ReadAt: readAt, Pages: 3, Hosts: map[string]bool{}, Workers: map[string]bool{}}
	for id := range b.reports {
		l.Hosts[id], l.Workers[id] = true, true
	}
	for _, id := range missing {
		delete(l.Hosts, id)
		delete(l.Workers, id)
	}
	return l
}

// The cells of a process take each other's lists. Where a reading takes long, each list is asked for while the one that arrives
// before it is still read, and no two lists in a row would prove anything.
func TestOverlappingListsOfOtherCellsDoNotKeepAnIncarnationFromEnding(t *testing.T) {
	t.Parallel()
	b := takeOverBesideEndedWorkers()
	const reading, between = 800 * time.Millisecond, 200 * time.Millisecond
	for range 25 {
		b.step(between)
		b.state.Take(b.now, cell.InventoryRead{List: b.inventoryOf(b.now.Add(-reading), b.now, "w03", "w07")})
	}
	must.MapContainsKey(t, b.started, otherTask)
}

// Two cells read the inventory at once while a host leaves: both lists skip the same workers, which still run.
func TestOverlappingListsEndNoIncarnation(t *testing.T) {
	t.Parallel()
	b := takeOverBesideEndedWorkers()
	for range 20 {
		b.step(200 * time.Millisecond)
	}
	askedAt := b.now
	b.step(200 * time.Millisecond)
	skipped := b.inventoryOf(askedAt, b.now, "w03", "w07")
	b.state.Take(b.now, cell.InventoryRead{List: skipped})
	skipped.AskedAt, skipped.ReadAt = askedAt.Add(time.Millisecond), b.now.Add(time.Millisecond)
	b.state.Take(b.now, cell.InventoryRead{List: skipped})
	for range 10 {
		b.step(200 * time.Millisecond)
	}
	must.MapNotContainsKey(t, b.started, otherTask)
}

// A list that was cut, or that is of other hosts, misses workers that run. It proves nothing of those that are silent.
func TestListThatMissesARunningWorkerEndsNoIncarnation(t *testing.T) {
	t.Parallel()
	b := takeOverBesideEndedWorkers()
	b.runWithInventory(4*time.Second, "w03", "w05", "w07")
	must.Positive(t, len(b.notesOf(cell.NoteInventoryOmits)))
	must.Eq(t, "w05", b.notesOf(cell.NoteInventoryOmits)[0].Worker)
	must.MapNotContainsKey(t, b.started, otherTask)
	b.runWithInventory(6*time.Second, "w03", "w07")
	must.MapContainsKey(t, b.started, otherTask, must.Sprint("the later lists name all that run"))
}

// A worker has been silent for long, and is read about ever less often, when it ends. The next readings follow soon.
func TestWorkerThatEndsAfterALongSilenceIsNotAwaitedForMoreThanOnePause(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.silent["w03"] = true
	b.runWithInventory(40 * time.Second)
	must.False(t, b.saidToHaveEnded("w03"))
	asked := b.inventoryAsked
	for b.inventoryAsked == asked {
		b.runWithInventory(50*time.Millisecond, "w03")
	}
	b.runWithInventory(700*time.Millisecond, "w03")
	must.True(t, b.saidToHaveEnded("w03"))
}

// The platform does not answer for long while a worker has ended. Once it answers, the end must be known soon.
func TestEndIsKnownSoonAfterTheInventoryHasFailedForLong(t *testing.T) {
	t.Parallel()
	for seconds := 5; seconds <= 11; seconds++ {
		b := takeOverBesideEndedWorkers()
		b.runWithoutInventory(time.Duration(seconds) * time.Second)
		b.runWithInventory(2500*time.Millisecond, "w03", "w07")
		must.MapContainsKey(t, b.started, otherTask, must.Sprintf("after %d s", seconds))
	}
}
