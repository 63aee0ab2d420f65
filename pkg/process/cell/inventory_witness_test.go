package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/inventory"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// An inventory that names only some of the workers, though others answer, is not complete. By such lists a worker that is cut
// off would count as ended, and its tasks would run twice.
func TestListsThatMissWorkersThatAnswerEndNoIncarnation(t *testing.T) {
	t.Parallel()
	for name, listed := range map[string][]string{"cut": {"w00", "w01", "w02"}, "of another deployment": {"v00", "v01"}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before := newEmptyCell()
			members := before.state.Members()
			before.silent["w03"] = true
			b := newEmptyCell()
			b.takeOverWith(before, 15*time.Second, members, lastingJob("00000000000000ee"))
			for range 100 {
				asked := b.inventoryAsked
				b.step(50 * time.Millisecond)
				if b.inventoryAsked == asked {
					continue
				}
				l := inventory.List{AskedAt: b.now, ReadAt: b.now, Pages: 1, Hosts: map[string]bool{}, Workers: map[string]bool{}}
				for _, id := range listed {
					l.Hosts[id], l.Workers[id] = true, true
				}
				b.state.Take(b.now, cell.InventoryRead{List: l})
			}
			must.False(t, b.saidToHaveEnded("w03"))
			must.MapNotContainsKey(t, b.started, otherTask)
		})
	}
}

// Crash evidence names a silent worker that its leader dropped, or that only an earlier leader knew. Its tasks would wait to
// learn whether it crashed, though the inventory tells that.
func TestInventoryTellsTheOutcomeOfSilentWorkersThatAreNoMembers(t *testing.T) {
	t.Parallel()
	const job, task = "00000000000000cc", "00000000000000cc.0.0.0"
	notes := append(crashNotes("a", "b"), &wire.CrashNote{Worker: "c", Run: 9, Host: "c", Born: 1, Began: true, Company: 9, Lives: 1, Silent: true})
	b := newEmptyCell()
	b.state = cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})
	b.state.Take(b.now, cell.ManifestChanged{Manifest: testManifest})
	b.register(len(b.reports))
	b.state.Take(b.now, cell.LeadershipGained{Epoch: 2, LeasesEndAt: b.now})
	spec := &wire.JobSpec{Id: job, Queue: "offers", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000, EstimateMs: 500}}}
	progress := &wire.JobProgress{Id: job, Units: []*wire.UnitProgress{{Notes: []*wire.TaskNote{{Crashes: notes}}}}}
	b.state.Take(b.now, cell.Loaded{Epoch: 2, Wall: b.now, Fences: testFences(), Jobs: []cell.LoadedJob{{Spec: spec, Progress: progress}}})
	b.state.Take(b.now, cell.MembershipRecorded{IDs: b.members()})
	b.runWithInventory(6 * time.Second)
	must.Positive(t, b.inventoryAsked)
	must.True(t, b.started[task])
}

// A member ends by the inventory before the leader has read the membership, which says when it began. The end would then not
// count against a task of which the record says that it started there.
func TestEndThatTheInventoryTellsWhileLoadingCountsAgainstRecordedStarts(t *testing.T) {
	t.Parallel()
	const job = "00000000000000ce"
	for name, loading := range map[string]time.Duration{"after the load": 0, "while loading": 4 * time.Second} { // the first is green
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newEmptyCell()
			b.state = cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})
			b.state.Take(b.now, cell.ManifestChanged{Manifest: testManifest})
			b.register(len(b.reports))
			b.silent["w03"] = true
			b.state.Take(b.now, cell.LeadershipGained{Epoch: 2, LeasesEndAt: b.now.Add(15 * time.Second)})
			b.runWithInventory(loading, "w03")
			var members []*wire.RosterEntry
			for id := range b.reports {
				members = append(members, &wire.RosterEntry{Id: id, Address: "x", Host: id, Service: "quotes", Born: 1})
			}
			spec := &wire.JobSpec{Id: job, Queue: "offers", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000, EstimateMs: 500}}}
			note := &wire.TaskNote{Crashes: crashNotes("a", "b"), Trial: true, TrialWorker: "w03", TrialBorn: 1, TrialHost: "w03"}
			progress := &wire.JobProgress{Id: job, Units: []*wire.UnitProgress{{Notes: []*wire.TaskNote{note}}}}
			b.state.Take(b.now, cell.Loaded{Epoch: 2, Wall: b.now, Fences: testFences(), Members: members, Jobs: []cell.LoadedJob{{Spec: spec, Progress: progress}}})
			b.runWithInventory(5*time.Second, "w03")
			must.True(t, b.saidToHaveEnded("w03"))
			must.Len(t, 1, b.state.Suspects())
			last := b.state.Suspects()[0].Crashes[2]
			must.Eq(t, "w03", last.Worker)
			must.Zero(t, last.Company, must.Sprint("the end counts as unresolved"))
		})
	}
}

// Members that ended unobserved are weak evidence against each task that was found nowhere. It would keep all of these in a
// full cell for ten seconds, while another cell could start them.
func TestUnobservedEndsDoNotKeepShortTasksInAFullCell(t *testing.T) {
	t.Parallel()
	const job = "00000000000000dd"
	before := newEmptyCell()
	before.fillWorkers()
	members := before.state.Members()
	before.silent["w03"], before.silent["w07"] = true, true
	b := newEmptyCell()
	spec := &wire.JobSpec{Id: job, Queue: "offers", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{{Count: 2, Millicores: 2000, EstimateMs: 500}}}
	b.takeOverWith(before, 15*time.Second, members, spec)
	b.state.Take(b.now, cell.MembershipRecorded{}) // no worker may get work: the cell counts as full
	for range 140 {
		b.state.Take(b.now, cell.PeerLoad{Load: &wire.CellLoad{
			Leading: true, Cell: "other", CapacityMillicores: 512_000, FreeMillicores: 64_000, LargestFreeMillicores: 32_000, FreeEach: []int64{32_000, 32_000},
		}})
		b.runWithInventory(50*time.Millisecond, "w03", "w07")
		if len(b.lastDelegated(t, "other", job)) > 0 || b.started[job+".0.0.0"] {
			must.LessEq(t, 4*time.Second, b.now.Sub(before.now), must.Sprintf("%v", b.state.Suspects()))
			return
		}
	}
	t.Fatalf("neither started nor delegated for seven seconds: %v", b.state.Suspects())
}
