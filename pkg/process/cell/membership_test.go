package cell_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// list tells the cell of its first n workers, some of them leaving.
func (b *busyCell) list(n int, leaving ...string) {
	records := make([]workers.Record, 0, n)
	for _, l := range slices.Sorted(maps.Keys(b.reports)) {
		if len(records) < n {
			records = append(records, workers.Record{
				ID: l, Service: "quotes", Address: "x", Hall: "hall", Ready: true, Host: l, Leaving: slices.Contains(leaving, l),
				Remaining: 2 * time.Second, Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000},
			})
		}
	}
	b.state.Take(b.now, cell.WorkersListed{Records: records})
}

// members are the workers that the cell's membership row is to name.
func (b *busyCell) members() []string {
	var list []string
	for _, e := range b.state.Roster() {
		list = append(list, e.GetId())
	}
	return list
}

// stopAll ends the runs that a worker was told to stop.
func (b *busyCell) stopAll() {
	for _, s := range b.stops {
		b.finish(s.Stop.Task, workers.EndedStopped)
	}
	b.stops = nil
}

// A worker that leaves is a member until what it was told to stop has ended, and is recorded.
func TestTheMembershipDropsAWorkerThatLeavesOnceItHoldsNothing(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.accept("00000000000000ff", "watches", &wire.StepSpec{Count: 1, Millicores: 6000, Lasting: true})
	b.step(100 * time.Millisecond)
	at := b.at["00000000000000ff.0.0.0"]
	b.list(16, at)
	for range 5 {
		b.step(100 * time.Millisecond)
	}
	must.Len(t, 1, b.stops)
	must.SliceContains(t, b.members(), at, must.Sprint("the stop has not ended its run"))
	b.stopAll()
	for range 5 {
		b.step(100 * time.Millisecond)
	}
	must.SliceNotContains(t, b.members(), at)
	must.Len(t, 15, b.members())
}

// The end of a run that is not in the table yet keeps its worker in the membership.
func TestTheMembershipKeepsAWorkerWhoseEndsAreNotRecorded(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.accept("00000000000000ff", "watches", &wire.StepSpec{Count: 1, Millicores: 6000, Lasting: true})
	b.step(100 * time.Millisecond)
	at := b.at["00000000000000ff.0.0.0"]
	b.list(16, at)
	b.step(100 * time.Millisecond)
	b.down = true
	b.stopAll()
	for range 5 {
		b.step(100 * time.Millisecond)
	}
	must.SliceContains(t, b.members(), at)
}

// Cell state of a successor that hears all workers but those that have left.
func TestALastingTaskStartsAtOnceAfterATakeoverBesideWorkersThatHaveLeft(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.accept("00000000000000ff", "watches", &wire.StepSpec{Count: 1, Millicores: 6000, Lasting: true})
	b.step(100 * time.Millisecond)
	b.list(16, "w00", "w01", "w02")
	for range 4 {
		b.step(100 * time.Millisecond)
		b.stopAll()
	}
	for _, left := range []string{"w00", "w01", "w02"} {
		b.silent[left] = true
		delete(b.reports, left)
	}
	b.list(13)
	for range 4 {
		b.step(100 * time.Millisecond)
	}
	successor := newEmptyCell()
	successor.lead(b, 15*time.Second)
	for range 10 {
		successor.step(100 * time.Millisecond)
	}
	must.MapContainsKey(t, successor.started, "00000000000000ff.0.0.0")
}

// lead makes this cell's process the successor of another one, whose workers it hears: all that are
// not silent. The only job is found nowhere.
func (b *busyCell) lead(before *busyCell, wait time.Duration) {
	b.takeOver(before, wait, before.state.Roster(), lastingJob("00000000000000ff"))
}

// lastingJob is a job of one task that lasts.
func lastingJob(id string) *wire.JobSpec {
	return &wire.JobSpec{Id: id, Queue: "watches", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{{Count: 1, Millicores: 6000, Lasting: true}}}
}

// follow is lead with a given membership.
func (b *busyCell) follow(before *busyCell, members []*wire.RosterEntry) {
	b.takeOver(before, 15*time.Second, members, lastingJob("00000000000000ff"))
}

func (b *busyCell) takeOver(before *busyCell, wait time.Duration, members []*wire.RosterEntry, specs ...*wire.JobSpec) {
	b.now, b.reports, b.silent = before.now, map[string]*workers.Report{}, before.silent
	for id := range before.reports {
		b.reports[id] = &workers.Report{}
	}
	b.started = map[string]bool{}
	b.state = cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})
	b.state.Take(b.now, cell.ManifestChanged{Manifest: theManifest})
	b.list(len(b.reports))
	b.state.Take(b.now, cell.Led{Epoch: 2, RosterUntil: b.now.Add(wait)})
	var jobs []cell.LoadedJob
	for _, spec := range specs {
		jobs = append(jobs, cell.LoadedJob{Spec: spec})
	}
	b.state.Take(b.now, cell.Loaded{
		Epoch: 2, Wall: b.now, Fences: someFences(), Roster: members, Jobs: jobs,
	})
}

// A worker whose row comes back after it was dropped gets work only once a renewal, and the membership
// with it, was sent after that.
func TestADroppedWorkerThatIsListedAgainWaitsForARenewal(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.list(0)
	for range 15 {
		b.step(100 * time.Millisecond)
	}
	must.SliceEmpty(t, b.members())
	b.down = true
	b.list(16)
	b.accept("00000000000000ff", "watches", &wire.StepSpec{Count: 1, Millicores: 6000, Lasting: true})
	b.step(100 * time.Millisecond)
	must.Len(t, 16, b.members())
	must.MapEmpty(t, b.started)
	b.down = false
	b.step(100 * time.Millisecond)
	must.MapLen(t, 1, b.started)
}

// A worker that was dropped as it left is still listed when a successor leads: who follows that one does not wait for it.
func TestAWorkerThatLeftIsNotNamedAgainByASuccessor(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.list(16, "w00")
	for range 3 {
		b.step(100 * time.Millisecond)
	}
	must.SliceNotContains(t, b.members(), "w00")
	b.silent["w00"] = true
	successor := newEmptyCell()
	successor.lead(b, 15*time.Second)
	successor.list(16, "w00")
	for range 3 {
		successor.step(100 * time.Millisecond)
	}
	must.SliceNotContains(t, successor.members(), "w00")
	must.Len(t, 15, successor.members())
}

// A worker that crashed is listed for a while, and answers no successor: none names it that could not use it.
func TestAWorkerThatNeverAnsweredIsNotNamed(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	successor := newEmptyCell()
	b.silent["w03"] = true
	successor.follow(b, slices.DeleteFunc(b.state.Roster(), func(e *wire.RosterEntry) bool { return e.GetId() == "w03" }))
	for range 3 {
		successor.step(100 * time.Millisecond)
	}
	must.SliceNotContains(t, successor.members(), "w03")
	must.Len(t, 15, successor.members())
}
