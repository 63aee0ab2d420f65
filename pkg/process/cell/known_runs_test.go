package cell_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Tasks of the tests: unreachedTask runs at a worker that then stops answering, otherTask runs nowhere.
const (
	unreachedTask = "00000000000000ff.0.0.0"
	otherTask     = "00000000000000ee.0.0.0"
)

// takeOverFromLeavingWorker returns the successor of a leader, and a worker that was leaving while unreachedTask ran
// there and that does not answer the successor.
func takeOverFromLeavingWorker(t *testing.T, specs ...*wire.JobSpec) (successor *testCell, left string) {
	t.Helper()
	b := newEmptyCell()
	b.accept("00000000000000ff", "watches", &wire.StepSpec{Count: 1, Millicores: 6000, Lasting: true})
	b.step(100 * time.Millisecond)
	left = b.workerOf[unreachedTask]
	b.register(16, left)
	b.step(100 * time.Millisecond)
	b.silent[left] = true
	successor = newEmptyCell()
	successor.takeOverWith(b, 15*time.Second, b.state.Members(), specs...)
	return successor, left
}

// A worker leaves while its leader dies. The successor holds back the tasks that may run there, and no others.
func TestSuccessorHoldsBackOnlyTasksNamedAtUnreachedWorker(t *testing.T) {
	t.Parallel()
	successor, _ := takeOverFromLeavingWorker(t, lastingJob("00000000000000ff"), lastingJob("00000000000000ee"))
	for range 3 {
		successor.step(100 * time.Millisecond)
	}
	must.MapContainsKey(t, successor.started, otherTask)
	must.MapNotContainsKey(t, successor.started, unreachedTask)
	for range 160 {
		successor.step(100 * time.Millisecond)
	}
	must.MapContainsKey(t, successor.started, unreachedTask)
}

// No earlier leader can have started a job at a leaving worker that becomes known only after the takeover.
func TestNewJobStartsAtOnceDespiteUnreachedLeavingWorker(t *testing.T) {
	t.Parallel()
	successor, _ := takeOverFromLeavingWorker(t, lastingJob("00000000000000ff"))
	for range 3 {
		successor.step(100 * time.Millisecond)
	}
	successor.accept("00000000000000ee", "watches", &wire.StepSpec{Count: 1, Millicores: 6000, Lasting: true})
	for range 2 {
		successor.step(100 * time.Millisecond)
	}
	must.MapContainsKey(t, successor.started, otherTask)
}

// A membership row that an older version wrote names no tasks, so any task may run at a worker that does not answer.
func TestSuccessorHoldsBackAllTasksIfRunsAreNotKnown(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	members := b.state.Members()
	b.silent["w03"] = true
	successor := newEmptyCell()
	successor.takeOverWith(b, 15*time.Second, members, lastingJob("00000000000000ee"))
	for range 20 {
		successor.step(100 * time.Millisecond)
	}
	must.MapEmpty(t, successor.started)
}

// memberEntry returns a worker's entry in the membership row, or nil.
func (b *testCell) memberEntry(id string) *wire.RosterEntry {
	list := b.state.Members()
	if i := slices.IndexFunc(list, func(e *wire.RosterEntry) bool { return e.GetId() == id }); i >= 0 {
		return list[i]
	}
	return nil
}

// The membership row names the runs of a silent worker. When the worker answers again, it gets work only after a row
// without these runs is recorded.
func TestWorkerWithNamedRunsGetsNoWorkUntilRowWithoutThemIsRecorded(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.accept("00000000000000ff", "watches", &wire.StepSpec{Count: 1, Millicores: 6000, Lasting: true})
	b.step(100 * time.Millisecond)
	silent := b.workerOf[unreachedTask]
	b.silent[silent] = true
	for range 8 {
		b.step(100 * time.Millisecond)
	}
	must.True(t, b.memberEntry(silent).GetRunsKnown())
	must.Eq(t, []string{unreachedTask}, b.memberEntry(silent).GetMayRun())
	b.tableDown = true
	b.silent[silent] = false
	b.accept("00000000000000dd", "watches", &wire.StepSpec{Count: 16, Millicores: 20000, Lasting: true})
	for range 3 {
		b.step(100 * time.Millisecond)
	}
	must.False(t, b.memberEntry(silent).GetRunsKnown())
	must.MapLen(t, 16, b.started, must.Sprint("one at each other worker, and the first job's"))
	b.tableDown = false
	for range 2 {
		b.step(100 * time.Millisecond)
	}
	must.MapLen(t, 17, b.started)
}

// A leader dies before it records a crash. The successor adds the crash to the evidence against the tasks that the
// membership row names at the worker, and no others.
func TestUnrecordedCrashIsEvidenceAgainstNamedTasksOnly(t *testing.T) {
	t.Parallel()
	h := newSoleSuccessorOf(&wire.RosterEntry{
		Id: "w", Address: "x", Host: "h", Service: "quotes", Born: 1, RunsKnown: true, MayRun: []string{"00000000000000aa.0.0.1"},
	}, 2)
	h.run(time.Second, 2)
	must.Len(t, 1, h.state.Suspects())
	must.Eq(t, "00000000000000aa.0.0.1", h.state.Suspects()[0].Task)
}

// An occurrence of a repeating job falls due earlier by the clock of the predecessor, which starts it at a worker that
// does not answer the successor.
func TestOccurrenceDueLaterIsHeldBackIfNamedAtUnreachedWorker(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	members := b.state.Members()
	b.silent["w03"] = true
	entry := members[slices.IndexFunc(members, func(e *wire.RosterEntry) bool { return e.GetId() == "w03" })]
	entry.RunsKnown, entry.MayRun = true, []string{"00000000000000aa.0.0.0"}
	successor := newEmptyCell()
	due := b.now.Add(2 * time.Second)
	successor.takeOverWith(b, 15*time.Second, members, &wire.JobSpec{
		Id: "00000000000000aa", Queue: "watches", Service: "quotes", Cell: "hall", Repeats: 2, FirstUnixMs: due.UnixMilli(), IntervalMs: 1000,
		Steps: []*wire.StepSpec{{Count: 1, Millicores: 6000}},
	})
	for range 40 {
		successor.step(100 * time.Millisecond)
	}
	must.MapNotContainsKey(t, successor.started, "00000000000000aa.0.0.0")
	must.MapContainsKey(t, successor.started, "00000000000000aa.1.0.0")
}

// A worker answers neither a leader nor its successor. The successor keeps the tasks that the worker's entry names.
func TestSuccessorKeepsNamedTasksOfUnreachedWorker(t *testing.T) {
	t.Parallel()
	for _, born := range []int64{0, 7} {
		b := newEmptyCell()
		members := b.state.Members()
		b.silent["w03"] = true
		entry := members[slices.IndexFunc(members, func(e *wire.RosterEntry) bool { return e.GetId() == "w03" })]
		entry.Born, entry.RunsKnown, entry.MayRun = born, true, []string{unreachedTask}
		successor := newEmptyCell()
		successor.takeOverWith(b, 15*time.Second, members, lastingJob("00000000000000ff"))
		for range 5 {
			successor.step(100 * time.Millisecond)
		}
		must.Eq(t, born, successor.memberEntry("w03").GetBorn())
		must.True(t, successor.memberEntry("w03").GetRunsKnown())
		must.Eq(t, []string{unreachedTask}, successor.memberEntry("w03").GetMayRun())
	}
}
