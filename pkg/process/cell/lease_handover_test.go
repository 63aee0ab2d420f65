package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// leaseLeft is the rest of the lease of w00 that an earlier leader has granted, in these tests.
const leaseLeft = 2 * time.Second

// newProcess returns a cell whose process does not lead, and whose worker w00 does not answer.
func newProcess() *testCell {
	b := newEmptyCell()
	b.state = cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})
	b.state.Take(b.now, cell.ManifestChanged{Manifest: testManifest})
	b.register(len(b.reports))
	b.polls, b.started, b.silent["w00"] = nil, map[string]bool{}, true
	return b
}

// lead makes the process the leader of an epoch after the given predecessor, which may lead for 15 s more.
func (b *testCell) lead(epoch int64, before string) {
	b.state.Take(b.now, cell.LeadershipGained{Epoch: epoch, LeasesEndAt: b.now, Predecessors: map[string]time.Time{before: b.now.Add(15 * time.Second)}})
}

// startsWithin loads a job of one task, which may run at w00, and reports whether the leader starts the task within span.
func (b *testCell) startsWithin(epoch int64, span time.Duration) bool {
	b.state.Take(b.now, cell.Loaded{
		Epoch: epoch, Wall: b.now, Fences: testFences(), Members: []*wire.RosterEntry{{Id: "w00", Address: "x"}, {Id: "w01", Address: "x"}},
		Jobs: []cell.LoadedJob{{Spec: lastingJob("00000000000000ff")}},
	})
	return b.startedWithin(span)
}

// startedWithin lets time pass, and reports whether any task has started by then.
func (b *testCell) startedWithin(span time.Duration) bool {
	for end := b.now.Add(span); b.now.Before(end); {
		b.step(100 * time.Millisecond)
	}
	return len(b.started) > 0
}

// deposedWhileLoading returns a process that led epoch 2 for half a second and never received the cell's rows. Its
// predecessor has ended as given.
func deposedWhileLoading(ended cell.PredecessorEnded) *testCell {
	b := newProcess()
	b.lead(2, "first/1")
	ended.Epoch, ended.Holder = 2, "first/1"
	b.state.Take(b.now, ended)
	b.step(500 * time.Millisecond)
	b.state.Take(b.now, cell.LeadershipLost{Why: "another leads"})
	return b
}

// A leader that is deposed while it loads passes on the leases that its predecessor reported to it: the leadership row
// does not name that predecessor any more.
func TestLeaderDeposedWhileLoadingPassesReportedLeasesOn(t *testing.T) {
	t.Parallel()
	second := deposedWhileLoading(cell.PredecessorEnded{GrantsKnown: true, Grants: map[string]time.Duration{"w00": leaseLeft}})
	grants, known := second.state.Grants(second.now)
	must.True(t, known)
	must.Between(t, leaseLeft-600*time.Millisecond, grants["w00"], leaseLeft)
	grants, _ = second.state.Grants(second.now.Add(leaseLeft))
	must.MapNotContainsKey(t, grants, "w00")
}

// The first leader's lease at a worker that answers nobody outlasts the second leader, which is deposed while it loads.
// The third leader learns of that lease from the second one alone, and waits for it, but not for longer.
func TestSuccessorOfLeaderDeposedWhileLoadingWaitsForEarlierLease(t *testing.T) {
	t.Parallel()
	second := deposedWhileLoading(cell.PredecessorEnded{GrantsKnown: true, Grants: map[string]time.Duration{"w00": leaseLeft}})
	third := newProcess()
	third.now = second.now
	third.lead(3, "second/1")
	grants, known := second.state.Grants(second.now)
	third.state.Take(third.now, cell.PredecessorEnded{Epoch: 3, Holder: "second/1", Grants: grants, GrantsKnown: known})
	must.False(t, third.startsWithin(3, leaseLeft-600*time.Millisecond))
	must.True(t, third.startedWithin(time.Second))
}

// The same process leads again: nobody else reports to it what it was told in its earlier leadership.
func TestLeaderElectedAgainWaitsForLeasesReportedWhileItLoaded(t *testing.T) {
	t.Parallel()
	b := deposedWhileLoading(cell.PredecessorEnded{GrantsKnown: true, Grants: map[string]time.Duration{"w00": leaseLeft}})
	b.lead(3, "second/1")
	b.state.Take(b.now, cell.PredecessorEnded{Epoch: 3, Holder: "second/1", SameProcess: true, EndedAt: b.now.Add(-time.Minute)})
	must.False(t, b.startsWithin(3, leaseLeft-600*time.Millisecond))
	must.True(t, b.startedWithin(time.Second))
}

// The second leader learned only when the last of its predecessor's leases ends, not at which workers they are. The same
// process leads again, and waits until then: for how long it has run says nothing about these leases.
func TestLeaderElectedAgainWaitsForLeasesAtUnknownWorkers(t *testing.T) {
	t.Parallel()
	b := deposedWhileLoading(cell.PredecessorEnded{})
	b.lead(3, "second/1")
	b.state.Take(b.now, cell.PredecessorEnded{Epoch: 3, Holder: "second/1", SameProcess: true, EndedAt: b.now.Add(-time.Minute)})
	must.False(t, b.startsWithin(3, 3*time.Second))
	must.True(t, b.startedWithin(1800*time.Millisecond))
}
