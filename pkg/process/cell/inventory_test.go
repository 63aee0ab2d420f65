package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/inventory"
)

// listInventory answers a reading of the inventory, which lists all workers of the cell but some.
func (b *testCell) listInventory(askedAt time.Time, missing ...string) {
	l := inventory.List{AskedAt: askedAt, Pages: 1, Hosts: map[string]bool{}, Workers: map[string]bool{}}
	for id := range b.reports {
		l.Hosts[id], l.Workers[id] = true, true
	}
	for _, id := range missing {
		delete(l.Hosts, id)
		delete(l.Workers, id)
	}
	b.state.Take(b.now, cell.InventoryRead{List: l})
}

// runWithInventory lets the cell go on, and answers each reading that it asks for with all workers but some.
func (b *testCell) runWithInventory(span time.Duration, missing ...string) {
	const step = 50 * time.Millisecond
	for ; span > 0; span -= step {
		asked := b.inventoryAsked
		b.step(step)
		if b.inventoryAsked > asked {
			b.listInventory(b.now, missing...)
		}
	}
}

// takeOverBesideEndedWorkers returns the successor of a leader whose host is gone, after two of its workers have ended.
func takeOverBesideEndedWorkers() *testCell {
	before := newEmptyCell()
	members := before.state.Members()
	before.silent["w03"], before.silent["w07"] = true, true
	successor := newEmptyCell()
	successor.takeOverWith(before, 15*time.Second, members, lastingJob("00000000000000ee"))
	return successor
}

// Workers end, and so does their leader before it knows that. The successor would hold back all tasks until the leases
// there are over, for 15 s.
func TestTasksAreNotHeldBackForLeasesOfEndedWorkers(t *testing.T) {
	t.Parallel()
	b := takeOverBesideEndedWorkers()
	b.runWithInventory(3*time.Second, "w03", "w07")
	must.MapContainsKey(t, b.started, otherTask)
}

// The inventory does not list a worker yet that has just started, and a successor must not take it for ended. What its
// predecessor wrote of it some time ago shows that it had started by then.
func TestWorkersThatMayNotBeListedYetAreNotTakenForEnded(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name         string
		sinceWritten time.Duration
		early        bool
	}{
		{"written by a predecessor before", 1500 * time.Millisecond, true},
		{"written at the handover", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			before := newEmptyCell()
			members := before.state.Members()
			before.silent["w03"] = true
			b := newEmptyCell()
			b.takeOverWith(before, 15*time.Second, members, lastingJob("00000000000000ee"))
			b.state = cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})
			b.state.Take(b.now, cell.ManifestChanged{Manifest: testManifest})
			b.register(len(b.reports))
			b.state.Take(b.now, cell.LeadershipGained{Epoch: 2, LeasesEndAt: b.now.Add(15 * time.Second), MembersKnownAt: b.now.Add(-c.sinceWritten)})
			b.state.Take(b.now, cell.Loaded{Epoch: 2, Wall: b.now, Fences: testFences(), Members: members, Jobs: []cell.LoadedJob{{Spec: lastingJob("00000000000000ee")}}})
			b.runWithInventory(1200*time.Millisecond, "w03")
			must.Eq(t, c.early, b.started[otherTask])
			b.runWithInventory(1500*time.Millisecond, "w03")
			must.True(t, b.started[otherTask])
		})
	}
}

// The inventory still lists a worker that is only cut off, and its runs may go on.
func TestTasksAreHeldBackForWorkersThatTheInventoryLists(t *testing.T) {
	t.Parallel()
	b := takeOverBesideEndedWorkers()
	b.runWithInventory(10*time.Second, "w03")
	must.MapNotContainsKey(t, b.started, otherTask)
	b.runWithInventory(8 * time.Second)
	must.MapContainsKey(t, b.started, otherTask, must.Sprint("the leases are over"))
}

// Without an answer of the platform leases decide, as before.
func TestLeasesDecideWhileTheInventoryIsNotAnswered(t *testing.T) {
	t.Parallel()
	for name, answer := range map[string]func(b *testCell){
		"an error": func(b *testCell) {
			b.state.Take(b.now, cell.InventoryRead{Err: fault.New(fault.Unavailable, "inventory", "status 503", "")})
		},
		"an empty list": func(b *testCell) {
			b.state.Take(b.now, cell.InventoryRead{List: inventory.List{AskedAt: b.now, Pages: 1}})
		},
		"a list asked for earlier": func(b *testCell) { b.listInventory(b.now.Add(-time.Minute), "w03", "w07") },
		"no answer":                func(*testCell) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := takeOverBesideEndedWorkers()
			for range 140 {
				asked := b.inventoryAsked
				b.step(100 * time.Millisecond)
				if b.inventoryAsked > asked {
					answer(b)
				}
			}
			must.MapNotContainsKey(t, b.started, otherTask)
			for range 30 {
				b.step(100 * time.Millisecond)
			}
			must.MapContainsKey(t, b.started, otherTask)
		})
	}
}

// A worker ends under a leader that lives. Its tasks would wait until its lease is over.
func TestRunsOfAnEndedWorkerAreNotAwaitedUntilItsLeaseIsOver(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.runWithInventory(5 * time.Second)
	b.accept("00000000000000ff", "watches", lastingJob("").GetSteps()...)
	b.runWithInventory(time.Second)
	ended := b.workerOf[unreachedTask]
	must.NotEq(t, "", ended)
	b.silent[ended] = true
	b.workerOf[unreachedTask] = ""
	b.runWithInventory(1500*time.Millisecond, ended)
	must.NotEq(t, "", b.workerOf[unreachedTask])
	must.NotEq(t, ended, b.workerOf[unreachedTask])
}

// Readings cost, and the platform bounds their number for all hosts together.
func TestInventoryIsReadOnlyWhileWorkersAreSilentAndEverLessOften(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.runWithInventory(10 * time.Second)
	must.Zero(t, b.inventoryAsked, must.Sprint("all workers answer"))
	b.silent["w03"] = true
	b.runWithInventory(10 * time.Second)
	must.Between(t, 4, b.inventoryAsked, 8)
	b.runWithInventory(time.Minute)
	must.Between(t, 10, b.inventoryAsked, 16)
	before := b.inventoryAsked
	b.silent["w04"] = true
	b.runWithInventory(2*time.Second, "w04")
	must.Between(t, before+3, b.inventoryAsked, before+4, must.Sprint("another worker is silent"))
}
