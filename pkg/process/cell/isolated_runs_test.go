package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// startSuspects loads a job with the given steps into a cell of idle workers and runs the cell for a second. By the
// record each task has crashed two workers. It returns the started runs by worker.
func startSuspects(workersIdle int, steps ...*wire.StepSpec) map[string][]workers.Active {
	return startSuspectsFor(time.Second, 0, workersIdle, steps...)
}

// startSuspectsFor is the same for a given time. If age is not zero, each task has crashed three workers, one of
// them with a run of that age. Tasks of steps with 2000 millicores have crashed no worker; of steps
// with 2001 millicores, only the first task has.
func startSuspectsFor(span, age time.Duration, workersIdle int, steps ...*wire.StepSpec) map[string][]workers.Active {
	now := time.Unix(1000, 0)
	s := cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})
	s.Take(now, cell.ManifestChanged{Manifest: testManifest})
	var list []workers.Record
	var ids []string
	for i := range workersIdle {
		ids = append(ids, fmt.Sprintf("w%d", i))
		list = append(list, workers.Record{
			ID: ids[i], Service: "quotes", Address: "x", Hall: "hall", Ready: true, Host: fmt.Sprintf("h%d", i), Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000},
		})
	}
	s.Take(now, cell.WorkersListed{Records: list})
	spec := &wire.JobSpec{Id: "00000000000000aa", Cell: "hall", Queue: "offers", Service: "quotes", Steps: steps}
	var units []*wire.UnitProgress
	for n, step := range steps {
		up := &wire.UnitProgress{Step: int32(n)}
		for i := range step.GetCount() {
			if step.GetMillicores() == 2000 || (step.GetMillicores() == 2001 && i > 0) {
				continue
			}
			if age > 0 {
				up.Notes = append(up.Notes, &wire.TaskNote{Index: i, Crashes: []*wire.CrashNote{
					{Worker: "a", Run: 1, Host: "ha", Began: true, AgeMs: age.Milliseconds(), Company: 9, Lives: 1},
					{Worker: "b", Run: 2, Host: "hb", Began: true, Company: 9, Lives: 1},
					{Worker: "c", Run: 3, Host: "hc", Began: true, Company: 9, Lives: 1},
				}})
				continue
			}
			up.Notes = append(up.Notes, &wire.TaskNote{Index: i, Crashes: []*wire.CrashNote{
				{Worker: "a", Run: 1, Host: "ha", Began: true, Company: 9, Lives: 1}, {Worker: "b", Run: 2, Host: "hb", Began: true, Company: 9, Lives: 1},
			}})
		}
		units = append(units, up)
	}
	s.Take(now, cell.LeadershipGained{Epoch: 2, LeasesEndAt: now})
	s.Take(now, cell.Loaded{Epoch: 2, Wall: now, Fences: testFences(), Jobs: []cell.LoadedJob{{Spec: spec, Progress: &wire.JobProgress{Id: spec.GetId(), Units: units}, Recorded: 1}}})
	s.Take(now, cell.MembershipRecorded{IDs: ids})
	active := map[string][]workers.Active{}
	for range span / (20 * time.Millisecond) {
		now = now.Add(20 * time.Millisecond)
		s.Take(now, cell.Tick{})
		s.Take(now, cell.LeadershipConfirmed{SentAt: now})
		for _, e := range s.Decide(now, now) {
			switch e := e.(type) {
			case cell.SendPoll:
				s.Take(now, cell.PollAnswered{Worker: e.To.ID, SentAt: now, Report: workers.Report{Clock: now.Sub(time.Unix(900, 0)), Active: active[e.To.ID]}})
			case cell.SendStart:
				active[e.To.ID] = append(active[e.To.ID], workers.Active{Task: e.Start.Task, Run: e.Start.Run, Percent: 100})
				s.Take(now, cell.StartAnswered{Worker: e.To.ID, Task: e.Start.Task, Run: e.Start.Run, Reply: workers.Reply{Clock: now.Sub(time.Unix(900, 0))}})
			case cell.WriteProgress:
				s.Take(now, cell.WriteAnswered{Part: e.Part, Serial: e.Serial, Committed: table.CommitResult{Version: 9}})
			}
		}
	}
	return active
}

// Ten tasks wait for isolated runs in a cell of six idle workers. When only one such run was allowed at a time, so that
// simultaneous crashes would not count as an outage, each task waited for the runs of all before it.
// A third of the workers may have isolated runs.
func TestAThirdOfTheWorkersMayHaveIsolatedRuns(t *testing.T) {
	t.Parallel()
	active := startSuspects(6, &wire.StepSpec{Count: 10, Millicores: 1000})
	must.MapLen(t, 2, active)
	for _, runs := range active {
		must.Len(t, 1, runs) // isolated
	}
}

// A gang of four suspects in a cell of three workers: its members start together or not at all, and each would need
// an isolated run. The gang waited without end (from 19.283 s to 74.999 s, after 3 crashes of each
// member) while three workers were idle.
func TestAGangTooWideToIsolateStarts(t *testing.T) {
	t.Parallel()
	n := 0
	for _, runs := range startSuspects(3, &wire.StepSpec{Count: 4, Millicores: 1000, Gang: true}) {
		n += len(runs)
	}
	must.Eq(t, 4, n)
}

// Two gangs of two in a cell that allows two isolated runs at a time: each gang reserved a worker for one of its
// members, and neither started (SEED=763 of CrashTasksPlan).
func TestGangsDoNotBlockEachOthersIsolatedRuns(t *testing.T) {
	t.Parallel()
	gang := &wire.StepSpec{Count: 2, Millicores: 1000, Gang: true}
	n := 0
	for _, runs := range startSuspects(6, gang, gang) {
		n += len(runs)
	}
	must.Eq(t, 2, n)
}

// More lasting tasks need isolated runs than are allowed at a time: the others start without isolation after a wait.
func TestLastingTasksStartWithoutIsolationAfterAWait(t *testing.T) {
	t.Parallel()
	n := 0
	for _, runs := range startSuspectsFor(4*time.Second, 0, 6, &wire.StepSpec{Count: 6, Millicores: 1000, Lasting: true}) {
		n += len(runs)
	}
	must.Eq(t, 6, n)
}

// A lasting task that has waited for long starts at a worker whose isolated run is old enough.
func TestALastingTaskJoinsAnOldIsolatedRun(t *testing.T) {
	t.Parallel()
	suspect := &wire.StepSpec{Count: 1, Millicores: 1000, Lasting: true}
	innocent := &wire.StepSpec{Count: 1, Millicores: 2000, Lasting: true}
	started := func(span time.Duration) int {
		n := 0
		for _, runs := range startSuspectsFor(span, 3*time.Second, 1, suspect, innocent) {
			n += len(runs)
		}
		return n
	}
	must.Eq(t, 1, started(1500*time.Millisecond))
	must.Eq(t, 2, started(4*time.Second))
}

// A lasting task without crash evidence could not join a worker with an isolated run before that run exonerated its
// task, if another task of the lasting task's step was a suspect.
func TestALastingTaskJoinsAnIsolatedRunDespiteASuspectInItsStep(t *testing.T) {
	t.Parallel()
	suspect := &wire.StepSpec{Count: 1, Millicores: 1000, Lasting: true}
	mixed := &wire.StepSpec{Count: 2, Millicores: 2001, Lasting: true}
	started := func(span time.Duration) bool {
		for _, runs := range startSuspectsFor(span, 5*time.Second, 1, suspect, mixed) {
			for _, r := range runs {
				if r.Task == "00000000000000aa.0.1.1" {
					return true
				}
			}
		}
		return false
	}
	must.False(t, started(2*time.Second))
	must.True(t, started(4500*time.Millisecond))
}

// A lasting task is delegated to a cell whose only free capacity is beside isolated runs that it may join.
func TestALastingTaskIsDelegatedToCapacityBesideIsolatedRuns(t *testing.T) {
	t.Parallel()
	b := newBusyCell()
	b.accept(delegatedJob, "watches", &wire.StepSpec{Count: 1, Millicores: 30000, Lasting: true, TailTargetMs: 100, Image: "s1"})
	otherLoad := &wire.CellLoad{Leading: true, Cell: "other", LargestFreeMillicores: 32000, FreeMillicores: 64000, LastingFreeEach: []int64{32000, 32000}}
	delegated := false
	for range 60 {
		b.state.Take(b.now, cell.PeerLoad{Load: otherLoad})
		b.step(50 * time.Millisecond)
	}
	b.eachPut(t, rows.SpecKey("other", delegatedJob), func(table.Row) { delegated = true })
	must.True(t, delegated)
}
