package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
)

// A successor waits for a silent member as long as its predecessor's lease there may last. A predecessor that had no
// answer of the member either granted it nothing, so the wait must not be a whole lease.
func TestSuccessorWaitsForTheLeaseThatItsPredecessorGranted(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		over        cell.PredecessorEnded
		least, most time.Duration
	}{
		"none":             {cell.PredecessorEnded{GrantsKnown: true, Grants: map[string]time.Duration{"reached": 4 * time.Second}}, 0, time.Second},
		"two seconds":      {cell.PredecessorEnded{GrantsKnown: true, Grants: map[string]time.Duration{"cut-off": 2 * time.Second}}, 2 * time.Second, 2500 * time.Millisecond},
		"own, none":        {cell.PredecessorEnded{SameProcess: true}, 0, time.Second},
		"a later process":  {cell.PredecessorEnded{EndedAt: time.Unix(1000, 0).Add(-3 * time.Second)}, 1500 * time.Millisecond, 2500 * time.Millisecond},
		"nothing is known": {cell.PredecessorEnded{}, cell.LongestLease, 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			v := newTakeover(15 * time.Second)
			c.over.Epoch, c.over.Holder = 2, "before/1"
			v.state.Take(v.now, c.over)
			after, started := v.runUntilStart(8 * time.Second)
			must.True(t, started)
			must.Between(t, c.least, after, c.most)
		})
	}
}

// A deposed leader reports the leases that it granted until they have certainly ended.
func TestDeposedLeaderReportsTheLeasesThatItGranted(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.step(100 * time.Millisecond)
	b.silent["w00"] = true
	for range 45 {
		b.step(100 * time.Millisecond)
	}
	b.state.Take(b.now, cell.LeadershipLost{Why: "another leads"})
	grants, known := b.state.Grants(b.now)
	must.True(t, known)
	must.MapLen(t, 15, grants)
	must.MapNotContainsKey(t, grants, "w00")
	must.Between(t, 3*time.Second, grants["w01"], cell.LongestLease)
	grants, _ = b.state.Grants(b.now.Add(5 * time.Second))
	must.MapEmpty(t, grants)
}

// A process that leads again waits for the leases that it granted in its earlier leadership: no other process reports
// them.
func TestLeaderThatIsElectedAgainWaitsForItsOwnLeases(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.step(100 * time.Millisecond)
	members := b.state.Members()
	b.state.Take(b.now, cell.LeadershipLost{Why: "another leads"})
	b.silent["w00"] = true
	b.state.Take(b.now, cell.LeadershipGained{Epoch: 3, LeasesEndAt: b.now, Predecessors: map[string]time.Time{"self/1": b.now.Add(15 * time.Second)}})
	b.state.Take(b.now, cell.Loaded{Epoch: 3, Wall: b.now, Fences: testFences(), Members: members, Jobs: []cell.LoadedJob{{Spec: lastingJob("00000000000000ff")}}})
	b.state.Take(b.now, cell.PredecessorEnded{Epoch: 3, Holder: "self/1", SameProcess: true})
	for range 30 {
		b.step(100 * time.Millisecond)
	}
	must.MapEmpty(t, b.started)
	for range 20 {
		b.step(100 * time.Millisecond)
	}
	must.MapLen(t, 1, b.started)
}

// A cell must report from the moment of its takeover that it is not settled. Otherwise other cells delegate a lasting
// task to it, which it then holds back (once for 4.6 s).
func TestLoadReportsFromTheTakeoverOnThatACellIsNotSettled(t *testing.T) {
	t.Parallel()
	v := newTakeover(15 * time.Second)
	v.runUntilStart(100 * time.Millisecond)
	must.Positive(t, v.state.Load(v.now, false).GetSettlesInMs())
}

// A deposed leader reports the leases that it waited for, too: the leadership row no longer names the predecessors that
// had ended, so its successor learns of their leases from it alone.
func TestDeposedLeaderReportsTheLeasesThatItWaitedFor(t *testing.T) {
	t.Parallel()
	v := newTakeover(15 * time.Second)
	v.state.Take(v.now, cell.PredecessorEnded{Epoch: 2, Holder: "before/1"})
	v.runUntilStart(time.Second)
	v.state.Take(v.now, cell.LeadershipLost{Why: "another leads"})
	grants, known := v.state.Grants(v.now)
	must.True(t, known)
	must.Between(t, 3*time.Second, grants["cut-off"], 4*time.Second)
}

// A leader that was deposed before it had read the membership does not know at which workers leases may last. It must
// report that its list is not complete.
func TestLeaderDeposedBeforeLoadingReportsUnknownLeases(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.state.Take(b.now, cell.LeadershipLost{Why: "another leads"})
	b.state.Take(b.now, cell.LeadershipGained{Epoch: 3, LeasesEndAt: b.now.Add(3 * time.Second)})
	b.state.Take(b.now, cell.LeadershipLost{Why: "another leads"})
	_, known := b.state.Grants(b.now)
	must.False(t, known)
	_, known = b.state.Grants(b.now.Add(4 * time.Second))
	must.True(t, known)
}

// A deposed leader does not report the leases of a predecessor that may still act: the leadership row names that
// predecessor, and it may be the successor itself.
func TestDeposedLeaderOmitsLeasesOfPredecessorsInTheLeadershipRow(t *testing.T) {
	t.Parallel()
	v := newTakeover(15 * time.Second)
	v.runUntilStart(time.Second)
	v.state.Take(v.now, cell.LeadershipLost{Why: "another leads"})
	grants, _ := v.state.Grants(v.now)
	must.MapNotContainsKey(t, grants, "cut-off")
}
