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

// register brings the registry rows of the cell's first n workers, some of them leaving.
func (b *testCell) register(n int, leaving ...string) {
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

// members are the ids of the workers that the cell's membership row names.
func (b *testCell) members() []string {
	var list []string
	for _, e := range b.state.Members() {
		list = append(list, e.GetId())
	}
	return list
}

// endStoppedRuns ends the runs that workers were ordered to stop.
func (b *testCell) endStoppedRuns() {
	for _, s := range b.stops {
		b.finish(s.Stop.Task, workers.EndedStopped)
	}
	b.stops = nil
}

// A worker that leaves stays a member until the runs that it was ordered to stop have ended and the ends are recorded.
func TestLeavingWorkerStaysAMemberUntilItHoldsNothing(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.accept("00000000000000ff", "watches", &wire.StepSpec{Count: 1, Millicores: 6000, Lasting: true})
	b.step(100 * time.Millisecond)
	at := b.workerOf["00000000000000ff.0.0.0"]
	b.register(16, at)
	for range 5 {
		b.step(100 * time.Millisecond)
	}
	must.Len(t, 1, b.stops)
	must.SliceContains(t, b.members(), at, must.Sprint("its run has not ended"))
	b.endStoppedRuns()
	for range 5 {
		b.step(100 * time.Millisecond)
	}
	must.SliceNotContains(t, b.members(), at)
	must.Len(t, 15, b.members())
}

// A worker stays a member while an end that it listed is not recorded in the table.
func TestWorkerWithUnrecordedEndsStaysAMember(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.accept("00000000000000ff", "watches", &wire.StepSpec{Count: 1, Millicores: 6000, Lasting: true})
	b.step(100 * time.Millisecond)
	at := b.workerOf["00000000000000ff.0.0.0"]
	b.register(16, at)
	b.step(100 * time.Millisecond)
	b.tableDown = true
	b.endStoppedRuns()
	for range 5 {
		b.step(100 * time.Millisecond)
	}
	must.SliceContains(t, b.members(), at)
}

// A successor must not wait for workers that had left before the takeover, since they never answer it.
func TestSuccessorDoesNotWaitForWorkersThatHaveLeft(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.accept("00000000000000ff", "watches", &wire.StepSpec{Count: 1, Millicores: 6000, Lasting: true})
	b.step(100 * time.Millisecond)
	b.register(16, "w00", "w01", "w02")
	for range 4 {
		b.step(100 * time.Millisecond)
		b.endStoppedRuns()
	}
	for _, left := range []string{"w00", "w01", "w02"} {
		b.silent[left] = true
		delete(b.reports, left)
	}
	b.register(13)
	for range 4 {
		b.step(100 * time.Millisecond)
	}
	successor := newEmptyCell()
	successor.takeOverFrom(b, 15*time.Second)
	for range 10 {
		successor.step(100 * time.Millisecond)
	}
	must.MapContainsKey(t, successor.started, "00000000000000ff.0.0.0")
}

// takeOverFrom makes this cell the successor of another one, with the same workers. All that are not silent answer it.
// The cell has one job, which no worker lists. wait is the time until the predecessor's last lease ends.
func (b *testCell) takeOverFrom(before *testCell, wait time.Duration) {
	b.takeOverWith(before, wait, before.state.Members(), lastingJob("00000000000000ff"))
}

// lastingJob is a job of one lasting task.
func lastingJob(id string) *wire.JobSpec {
	return &wire.JobSpec{Id: id, Queue: "watches", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{{Count: 1, Millicores: 6000, Lasting: true}}}
}

// takeOverWithMembers is takeOverFrom with a given membership.
func (b *testCell) takeOverWithMembers(before *testCell, members []*wire.RosterEntry) {
	b.takeOverWith(before, 15*time.Second, members, lastingJob("00000000000000ff"))
}

// takeOverWith is takeOverFrom with a given membership and given jobs.
func (b *testCell) takeOverWith(before *testCell, wait time.Duration, members []*wire.RosterEntry, specs ...*wire.JobSpec) {
	b.now, b.reports, b.silent = before.now, map[string]*workers.Report{}, before.silent
	for id := range before.reports {
		b.reports[id] = &workers.Report{}
	}
	b.started = map[string]bool{}
	b.state = cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})
	b.state.Take(b.now, cell.ManifestChanged{Manifest: testManifest})
	b.register(len(b.reports))
	b.state.Take(b.now, cell.LeadershipGained{Epoch: 2, LeasesEndAt: b.now.Add(wait)})
	var jobs []cell.LoadedJob
	for _, spec := range specs {
		jobs = append(jobs, cell.LoadedJob{Spec: spec})
	}
	b.state.Take(b.now, cell.Loaded{
		Epoch: 2, Wall: b.now, Fences: testFences(), Members: members, Jobs: jobs,
	})
}

// A worker that was dropped from the membership and registers again gets no work until a renewal that was sent after
// that, and the membership with it, has taken effect.
func TestDroppedWorkerThatRegistersAgainWaitsForARenewal(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.register(0)
	for range 15 {
		b.step(100 * time.Millisecond)
	}
	must.SliceEmpty(t, b.members())
	b.tableDown = true
	b.register(16)
	b.accept("00000000000000ff", "watches", &wire.StepSpec{Count: 1, Millicores: 6000, Lasting: true})
	b.step(100 * time.Millisecond)
	must.Len(t, 16, b.members())
	must.MapEmpty(t, b.started)
	b.tableDown = false
	b.step(100 * time.Millisecond)
	must.MapLen(t, 1, b.started)
}

// A worker was dropped from the membership as it left, but its registry row still stands when a successor leads. The
// successor must not name it again: the next leader would wait for it.
func TestSuccessorDoesNotNameAWorkerThatLeftAgain(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.register(16, "w00")
	for range 3 {
		b.step(100 * time.Millisecond)
	}
	must.SliceNotContains(t, b.members(), "w00")
	b.silent["w00"] = true
	successor := newEmptyCell()
	successor.takeOverFrom(b, 15*time.Second)
	successor.register(16, "w00")
	for range 3 {
		successor.step(100 * time.Millisecond)
	}
	must.SliceNotContains(t, successor.members(), "w00")
	must.Len(t, 15, successor.members())
}

// The registry row of a worker that crashed stands for a while, but the worker answers no successor. A successor that
// could not use the worker must not name it in the membership.
func TestWorkerThatNeverAnsweredIsNoMember(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	successor := newEmptyCell()
	b.silent["w03"] = true
	successor.takeOverWithMembers(b, slices.DeleteFunc(b.state.Members(), func(e *wire.RosterEntry) bool { return e.GetId() == "w03" }))
	for range 3 {
		successor.step(100 * time.Millisecond)
	}
	must.SliceNotContains(t, successor.members(), "w03")
	must.Len(t, 15, successor.members())
}
