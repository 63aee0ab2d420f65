package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// takeOverFullCell returns a cell whose new leader has just settled. All its workers are full of lasting tasks, and the
// task of a job with one step has no run. If cutOff is true, one more member of the membership row has not answered; it
// is too small for that task.
func takeOverFullCell(t *testing.T, cutOff bool, step *wire.StepSpec) *testCell {
	t.Helper()
	b := newEmptyCell()
	b.notes = nil
	full := &wire.JobSpec{
		Id: "00000000000000aa", Queue: "watches", Service: "quotes", Cell: "hall",
		Steps: []*wire.StepSpec{{Count: 16, Millicores: 32000, MemoryMb: 128000, Lasting: true, TailTargetMs: 100, Image: "s1"}},
	}
	var members []*wire.RosterEntry
	var records []workers.Record
	add := func(id string, millicores int64) {
		members = append(members, &wire.RosterEntry{Id: id, Address: "x", Host: id})
		records = append(records, workers.Record{
			ID: id, Service: "quotes", Address: "x", Hall: "hall", Ready: true, Host: id, Capacity: ledger.Size{Millicores: millicores, MemoryMB: 128000},
		})
	}
	for i := range 16 {
		id := fmt.Sprintf("w%02d", i)
		add(id, 32000)
		b.reports[id].Active = []workers.Active{{Task: fmt.Sprintf("%s.0.0.%d", full.GetId(), i), Run: int64(i + 1), Percent: 100, Reading: 40}}
	}
	if cutOff {
		add("w16", 1000)
		b.reports["w16"], b.silent["w16"] = &workers.Report{}, true
	}
	b.state.Take(b.now, cell.WorkersListed{Records: records})
	b.state.Take(b.now, cell.LeadershipGained{Epoch: 2, LeasesEndAt: b.now.Add(5 * time.Second)})
	b.state.Take(b.now, cell.Loaded{Epoch: 2, Wall: b.now, Fences: testFences(), Members: members, Jobs: []cell.LoadedJob{
		{Spec: full, Progress: &wire.JobProgress{Id: full.GetId(), Phase: wire.JobPhase_JOB_PHASE_RUNNING}, Recorded: 1},
		{Spec: &wire.JobSpec{Id: delegatedJob, Queue: "offers", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{step}}},
	}})
	for !slices.ContainsFunc(b.notes, func(n cell.Note) bool { return n.Kind == cell.NoteSettled }) {
		b.step(50 * time.Millisecond)
	}
	i := slices.IndexFunc(b.notes, func(n cell.Note) bool { return n.Kind == cell.NoteSettled })
	must.StrContains(t, b.notes[i].Detail, map[bool]string{true: " 1 workers not heard", false: " 0 workers not heard"}[cutOff])
	return b
}

// loadWithAllCapacity returns a load message of a cell that has free capacity for tasks of every kind.
func loadWithAllCapacity(name string) cell.PeerLoad {
	load := loadWithCapacity(name)
	load.Load.FillerFreeMillicores = map[string]int64{"f1": 64000}
	return load
}

// delegatedWithin reports whether a job is delegated within a time while another cell has free capacity, and after how
// long.
func (b *testCell) delegatedWithin(t *testing.T, most time.Duration) (time.Duration, bool) {
	t.Helper()
	began, delegated := b.now, false
	for !delegated && b.now.Sub(began) < most {
		b.state.Take(b.now, loadWithAllCapacity("other"))
		b.step(50 * time.Millisecond)
		b.eachPut(t, rows.SpecKey("other", delegatedJob), func(table.Row) { delegated = true })
	}
	return b.now.Sub(began), delegated
}

func lastingStep() *wire.StepSpec {
	return &wire.StepSpec{Count: 1, Millicores: 30000, MemoryMb: 1000, Lasting: true, TailTargetMs: 100, Image: "s1"}
}

func gangStep() *wire.StepSpec {
	return &wire.StepSpec{Count: 2, Millicores: 3000, MemoryMb: 1000, Gang: true, EstimateMs: 1000}
}

func plainStep() *wire.StepSpec {
	return &wire.StepSpec{Count: 1, Millicores: 3000, MemoryMb: 1000, EstimateMs: 1000}
}

func fillerStep() *wire.StepSpec {
	return &wire.StepSpec{Count: 1, Millicores: 3000, MemoryMb: 1000, Filler: true, EstimateMs: 1000, Image: "f1"}
}

// A step that waits in a full cell is delegated soon after a takeover at which every member was heard.
func TestStepOfFullCellIsDelegatedAfterATakeover(t *testing.T) {
	t.Parallel()
	steps := map[string]*wire.StepSpec{"lasting": lastingStep(), "gang": gangStep(), "plain": plainStep(), "filler": fillerStep()}
	for name, step := range steps {
		waited, delegated := takeOverFullCell(t, false, step).delegatedWithin(t, 3*time.Second)
		must.True(t, delegated, must.Sprint(name))
		t.Logf("%s: delegated %s after the cell settled", name, waited)
	}
}

// A lasting task is to use free capacity within three seconds, also if a member was not heard when the cell settled.
func TestLastingTaskOfFullCellIsDelegatedThoughAMemberIsCutOff(t *testing.T) {
	t.Parallel()
	waited, delegated := takeOverFullCell(t, true, lastingStep()).delegatedWithin(t, 3*time.Second)
	must.True(t, delegated)
	t.Logf("delegated %s after the cell settled", waited)
}

// maxWaitAfterCutOff bounds how long a task that may have run at a member that was not heard waits in a full cell: for the
// longest lease, and two steps of the test.
const maxWaitAfterCutOff = cell.LongestLease + 100*time.Millisecond

// If a member was not heard when the cell settled, any task without a run may have run there. A gang waits in its full
// cell for at most the longest lease after that.
func TestGangOfFullCellIsDelegatedThoughAMemberIsCutOff(t *testing.T) {
	t.Parallel()
	waited, delegated := takeOverFullCell(t, true, gangStep()).delegatedWithin(t, maxWaitAfterCutOff)
	must.True(t, delegated)
	t.Logf("delegated %s after the cell settled", waited)
}

// The same bound for tasks that are neither lasting nor in a gang: after the longest lease no run of them can go on at
// the member. They waited for as long as their cell was full, also after the member had answered.
func TestShortTaskOfFullCellIsDelegatedThoughAMemberIsCutOff(t *testing.T) {
	t.Parallel()
	for name, step := range map[string]*wire.StepSpec{"plain": plainStep(), "filler": fillerStep()} {
		for _, answers := range []bool{false, true} {
			b := takeOverFullCell(t, true, step)
			b.silent["w16"] = !answers
			waited, delegated := b.delegatedWithin(t, maxWaitAfterCutOff)
			test.True(t, delegated, test.Sprintf("%s, the member answers later: %t", name, answers))
			test.False(t, b.started[delegatedJob+".0.0.0"])
			t.Logf("%s: after %s", name, waited)
		}
	}
}

// Guards against each later step that waits anew for the leases of an earlier leader's runs, in a cell that cannot start it.
func TestNextStepDoesNotAwaitLeasesOfAnEarlierLeaderAnew(t *testing.T) {
	t.Parallel()
	for name, step := range map[string]*wire.StepSpec{
		"plain":  {Count: 1, Millicores: 2300, MemoryMb: 4600, EstimateMs: 600, Label: "gpu"},
		"filler": {Count: 1, Millicores: 2300, MemoryMb: 4600, EstimateMs: 600, Label: "gpu", Filler: true, Image: "f1"},
		"gang":   {Count: 2, Millicores: 2300, MemoryMb: 4600, EstimateMs: 600, Label: "gpu", Gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before, home, other := newEmptyCell(), newEmptyCell(), newEmptyCellOf("other", "quotes")
			other.state.Take(other.now, cell.WorkersListed{Records: labelledRecords(other, "gpu", 2)})
			before.silent["w15"] = true
			next := proto.CloneOf(step)
			next.After = []int32{0}
			spec := &wire.JobSpec{Id: delegatedJob, Queue: "offers", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{step, next}}
			home.takeOverWith(before, 5*time.Second, []*wire.RosterEntry{{Id: "w15", Address: "x", Host: "w15"}}, spec)
			exchange(t, home, other, 15*time.Second)
			for i := range step.GetCount() {
				task := fmt.Sprintf("%s.0.0.%d", delegatedJob, i)
				must.True(t, other.started[task])
				other.finish(task, workers.EndedDone)
			}
			exchange(t, home, other, 3*time.Second)
			must.True(t, other.started[delegatedJob+".0.1.0"])
		})
	}
}
