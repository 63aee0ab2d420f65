package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// fillMemory fills the memory of all workers with lasting tasks, which leave most processors free.
func (b *testCell) fillMemory() {
	b.accept("00000000000000ac", "watches", &wire.StepSpec{Count: 16, Millicores: 2000, MemoryMb: 126_000, Lasting: true, TailTargetMs: 100, Image: "s1"})
	for range 20 {
		b.step(50 * time.Millisecond)
	}
}

// exchange lets two cells run for a while, each with the load messages of the other and the rows of one job.
func exchange(t *testing.T, home, other *testCell, span time.Duration) {
	t.Helper()
	seenOfHome, seenOfOther := len(home.records), 0
	for began := home.now; home.now.Sub(began) < span; {
		home.state.Take(home.now, cell.PeerLoad{Load: other.state.Load(other.now, false)})
		other.state.Take(other.now, cell.PeerLoad{Load: home.state.Load(home.now, false)})
		home.step(100 * time.Millisecond)
		other.step(100 * time.Millisecond)
		seenOfHome = other.takeRows(t, home, seenOfHome, rows.SpecKey("other", delegatedJob), table.Key{})
		seenOfOther = home.takeRows(t, other, seenOfOther, table.Key{}, rows.ReturnKey("hall", delegatedJob, "other"))
	}
}

// Guards against short tasks that are delegated to a cell with free processors and no free memory.
func TestShortTasksAreNotDelegatedToACellWithoutFreeMemory(t *testing.T) {
	t.Parallel()
	for name, step := range map[string]*wire.StepSpec{
		"plain":  {Count: 4, Millicores: 2300, MemoryMb: 4600, EstimateMs: 600},
		"filler": {Count: 4, Millicores: 2300, MemoryMb: 4600, EstimateMs: 600, Filler: true, Image: "f1"},
		"gang":   {Count: 4, Millicores: 2300, MemoryMb: 4600, EstimateMs: 600, Gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			home, other := newEmptyCell(), newEmptyCellOf("other", "quotes")
			home.fillWorkers()
			other.fillMemory()
			home.accept(delegatedJob, "offers", step)
			exchange(t, home, other, 10*time.Second)
			must.SliceEmpty(t, home.lastDelegated(t, "other", delegatedJob))
		})
	}
}

// Guards against fillers that wait for ever in a cell without free memory: another cell could start them, but reports no harmless
// place for their image, and most of its own processors are reserved, though not most of all cells'.
func TestFillersLeaveACellWithoutFreeMemory(t *testing.T) {
	t.Parallel()
	for name, gang := range map[string]bool{"single": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			home, other := newEmptyCell(), newEmptyCellOf("other", "quotes")
			home.fillMemory()
			other.accept("00000000000000ad", "watches", &wire.StepSpec{Count: 16, Millicores: 20_000, MemoryMb: 8000, Lasting: true, TailTargetMs: 150, Image: "s2"})
			home.accept(delegatedJob, "offers", &wire.StepSpec{Count: 3, Millicores: 3000, MemoryMb: 16_000, EstimateMs: 1000, Filler: true, Gang: gang, Image: "unknown"})
			exchange(t, home, other, 6*time.Second)
			for i := range 3 {
				must.True(t, other.started[fmt.Sprintf("%s.0.0.%d", delegatedJob, i)])
			}
		})
	}
}

// Guards against a lasting task that is delegated to a cell with free processors and no free memory, and returned after a
// while, again and again.
func TestLastingTaskIsNotDelegatedToACellWithoutFreeMemory(t *testing.T) {
	t.Parallel()
	home, other := newEmptyCell(), newEmptyCellOf("other", "quotes")
	home.fillWorkers()
	other.fillMemory()
	home.accept(delegatedJob, "watches", &wire.StepSpec{Count: 1, Millicores: 2300, MemoryMb: 4600, Lasting: true, TailTargetMs: 100, Image: "s2"})
	exchange(t, home, other, 9*time.Second)
	must.SliceEmpty(t, home.lastDelegated(t, "other", delegatedJob))
}

// Guards against a delegated short task that stays in a cell that can't start it, while another cell could.
func TestDelegatedShortTaskIsReturnedFromACellThatCannotStartIt(t *testing.T) {
	t.Parallel()
	for name, each := range map[string]struct {
		home     *testCell
		returned bool
	}{
		"home has capacity": {home: newEmptyCell(), returned: true},
		"home is full":      {home: newEmptyCell()},
	} {
		t.Run(name, func(t *testing.T) {
			home, b := each.home, newEmptyCellOf("other", "quotes")
			if !each.returned {
				home.fillWorkers()
				home.fillMemory()
			}
			b.fillMemory()
			b.state.Take(b.now, cell.JobAccepted{Spec: &wire.JobSpec{
				Id: delegatedJob, Queue: "offers", Service: "quotes", Cell: "other", Home: "hall",
				Steps: []*wire.StepSpec{{Count: 1, Millicores: 2300, MemoryMb: 4600, EstimateMs: 600}}, Guest: []*wire.TaskRef{{Lending: 1}},
			}})
			for range 30 {
				b.state.Take(b.now, cell.PeerLoad{Load: home.state.Load(home.now, false)})
				home.step(100 * time.Millisecond)
				b.step(100 * time.Millisecond)
			}
			must.Eq(t, each.returned, b.returnedFrom(t, "other", "hall"))
		})
	}
}

// returnedFrom reports whether a cell has returned a task of the job to its home cell.
func (b *testCell) returnedFrom(t *testing.T, name, home string) bool {
	t.Helper()
	returned := false
	b.eachPut(t, rows.ReturnKey(home, delegatedJob, name), func(r table.Row) {
		report := &wire.ReturnedTasks{}
		must.NoError(t, rows.Read(r, report))
		returned = returned || len(report.GetTasks()) > 0
	})
	return returned
}

// labelledRecords returns the rows of a cell's workers, of which the first n carry a label.
func labelledRecords(b *testCell, label string, n int) []workers.Record {
	records := make([]workers.Record, 0, len(b.reports))
	for i := range len(b.reports) {
		id := fmt.Sprintf("w%02d", i)
		r := workers.Record{ID: id, Service: "quotes", Address: "x", Hall: "hall", Ready: true, Host: id, Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000}}
		if i < n {
			r.Labels = []string{label}
		}
		records = append(records, r)
	}
	return records
}

// Guards against short tasks that require a label and stay in a cell that has lost its only worker with it, while workers
// with the label are idle in another cell.
func TestShortTasksLeaveACellThatHasLostTheirLabel(t *testing.T) {
	t.Parallel()
	home, other := newEmptyCell(), newEmptyCellOf("other", "quotes")
	home.state.Take(home.now, cell.WorkersListed{Records: labelledRecords(home, "gpu", 0)})
	other.state.Take(other.now, cell.WorkersListed{Records: labelledRecords(other, "gpu", 2)})
	home.accept(delegatedJob, "offers", &wire.StepSpec{Count: 3, Millicores: 3500, MemoryMb: 6400, EstimateMs: 6800, Label: "gpu"})
	exchange(t, home, other, 3*time.Second)
	must.SliceEmpty(t, home.lastDelegated(t, "other", delegatedJob), must.Sprint("the row of the worker may return"))
	exchange(t, home, other, 4*time.Second)
	for i := range 3 {
		must.True(t, other.started[fmt.Sprintf("%s.0.0.%d", delegatedJob, i)])
	}
}

// Guards against a short task with a failed run or a checkpoint that stays in a full cell, while another cell could start it.
func TestShortTaskWithHistoryLeavesAFullCell(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]workers.Outcome{"failed run": workers.EndedFailed, "lapsed run": workers.EndedLapsed} {
		t.Run(name, func(t *testing.T) {
			home, other := newEmptyCell(), newEmptyCellOf("other", "quotes")
			home.accept(delegatedJob, "offers", &wire.StepSpec{Count: 1, Millicores: 3000, EstimateMs: 60_000, Checkpointing: true})
			home.step(50 * time.Millisecond)
			must.True(t, home.started[delegatedJob+".0.0.0"])
			home.reports[home.workerOf[delegatedJob+".0.0.0"]].Active[0].Checkpoint = "half"
			home.accept("00000000000000ad", "watches", &wire.StepSpec{Count: 16, Millicores: 30_000, Lasting: true, TailTargetMs: 100, Image: "s1"})
			home.step(50 * time.Millisecond)
			home.finish(delegatedJob+".0.0.0", end)
			for range 10 {
				home.step(50 * time.Millisecond)
			}
			must.MapLen(t, 17, home.started, must.Sprint("the last lasting task takes the place"))
			for _, report := range home.reports {
				for i := range report.Active {
					report.Active[i].Percent = 100
				}
			}
			exchange(t, home, other, 8*time.Second)
			must.True(t, other.started[delegatedJob+".0.0.0"])
		})
	}
}

// loadOfOneWorker returns the load message of a cell with one free worker of a label.
func loadOfOneWorker(name, label string, millicores int64) cell.PeerLoad {
	return cell.PeerLoad{Load: &wire.CellLoad{
		Leading: true, Cell: name, CapacityMillicores: 32_000, FreeMillicores: millicores, LargestFreeMillicores: millicores, Labels: []string{label}, FreeEach: []int64{millicores},
		FreeWorkers: []*wire.FreeWorkers{{Service: "quotes", Labels: []string{label}, Millicores: []int64{millicores}, MemoryMb: []int64{128_000}, UnusedMillicores: []int64{millicores}}},
	}}
}

// Guards against a task that no cell gets, because each other cell has one place for it.
func TestShortTaskTakesTheOnlyPlaceOfACell(t *testing.T) {
	t.Parallel()
	for name, step := range map[string]*wire.StepSpec{
		"large":  {Count: 1, Millicores: 20_000, EstimateMs: 1000, Label: "gpu"},
		"spread": {Count: 1, Millicores: 1000, Spread: 1, EstimateMs: 1000, Label: "gpu"},
	} {
		t.Run(name, func(t *testing.T) {
			home := newEmptyCell()
			home.accept(delegatedJob, "offers", step)
			for range 50 {
				home.state.Take(home.now, loadOfOneWorker("a", "gpu", 32_000))
				home.state.Take(home.now, loadOfOneWorker("b", "gpu", 32_000))
				home.step(100 * time.Millisecond)
			}
			must.Len(t, 1, append(home.lastDelegated(t, "a", delegatedJob), home.lastDelegated(t, "b", delegatedJob)...))
		})
	}
}

// returnTimes has a cell return the first task of a job as often as given, each time it is delegated there, and returns how
// long the next delegation took.
func (b *testCell) returnTimes(t *testing.T, name string, times int, load cell.PeerLoad) time.Duration {
	t.Helper()
	lending := int32(0)
	for i := 0; ; i++ {
		began := b.now
		for {
			must.Less(t, time.Minute, b.now.Sub(began), must.Sprintf("after %d returns", i))
			b.state.Take(b.now, load)
			b.step(100 * time.Millisecond)
			if refs := b.lastDelegated(t, name, delegatedJob); len(refs) > 0 && refs[0].GetLending() > lending {
				lending = refs[0].GetLending()
				break
			}
		}
		if i == times {
			return b.now.Sub(began)
		}
		b.state.Take(b.now, cell.TasksReturned{Tasks: &wire.ReturnedTasks{Id: delegatedJob, From: name, Home: "hall", Tasks: []*wire.TaskRef{{Lending: lending}}}})
	}
}

// Guards against a task that was returned several times for lack of capacity and then waits for minutes beside a cell that
// reports capacity for it.
func TestBackoffOfReturnedShortTaskIsShortBesideCapacity(t *testing.T) {
	t.Parallel()
	home := newEmptyCell()
	home.fillWorkers()
	home.accept(delegatedJob, "offers", &wire.StepSpec{Count: 1, Millicores: 3000, EstimateMs: 1000})
	must.LessEq(t, 10*time.Second, home.returnTimes(t, "other", 6, loadOfOneWorker("other", "", 32_000)))
}

// Guards against a task that changes cells every few seconds, because a place in the other cell comes and goes.
func TestShortTaskDoesNotChangeCellsRepeatedly(t *testing.T) {
	t.Parallel()
	home, other := newEmptyCell(), newEmptyCellOf("other", "quotes")
	home.fillWorkers()
	other.fillMemory()
	home.accept(delegatedJob, "offers", &wire.StepSpec{Count: 1, Millicores: 2300, MemoryMb: 4600, EstimateMs: 600})
	seenOfHome, seenOfOther, began := len(home.records), 0, home.now
	for i := 0; home.now.Sub(began) < time.Minute; i++ {
		load := other.state.Load(other.now, false)
		if i%10 == 0 {
			load = loadOfOneWorker("other", "", 32_000).Load
		}
		home.state.Take(home.now, cell.PeerLoad{Load: load})
		other.state.Take(other.now, loadOfOneWorker("hall", "", 32_000))
		home.step(100 * time.Millisecond)
		other.step(100 * time.Millisecond)
		seenOfHome = other.takeRows(t, home, seenOfHome, rows.SpecKey("other", delegatedJob), table.Key{})
		seenOfOther = home.takeRows(t, other, seenOfOther, table.Key{}, rows.ReturnKey("hall", delegatedJob, "other"))
	}
	delegations := 0
	for _, n := range home.notes {
		if n.Job == delegatedJob && n.Kind == cell.NoteLent {
			delegations++
		}
	}
	must.Between(t, 2, delegations, 8)
}

// Guards against tasks that stay in a full cell because another task of their step was returned from the cell with capacity.
func TestReturnedTaskKeepsNoOtherOfItsStep(t *testing.T) {
	t.Parallel()
	home := newEmptyCell()
	home.fillWorkers()
	home.accept(delegatedJob, "offers", &wire.StepSpec{Count: 2, Millicores: 3000, EstimateMs: 1000})
	one := loadOfOneWorker("other", "", 6000)
	home.returnTimes(t, "other", 0, one)
	returned := home.lastDelegated(t, "other", delegatedJob)
	must.Len(t, 1, returned)
	home.state.Take(home.now, cell.TasksReturned{Tasks: &wire.ReturnedTasks{Id: delegatedJob, From: "other", Home: "hall", Tasks: returned}})
	for range 10 {
		home.state.Take(home.now, one)
		home.step(100 * time.Millisecond)
	}
	delegated := home.lastDelegated(t, "other", delegatedJob)
	must.Len(t, 1, delegated)
	must.NotEq(t, returned[0].GetIndex(), delegated[0].GetIndex())
}

// Guards against the early return of a delegated task with crash evidence, whose wait for an isolated run would begin anew, and
// against one that stays for good.
func TestDelegatedTaskWithCrashEvidenceIsReturnedLate(t *testing.T) {
	t.Parallel()
	b := newEmptyCellOf("other", "quotes")
	b.fillMemory()
	b.state.Take(b.now, cell.JobAccepted{Spec: &wire.JobSpec{
		Id: delegatedJob, Queue: "offers", Service: "quotes", Cell: "other", Home: "hall",
		Steps: []*wire.StepSpec{{Count: 1, Millicores: 2300, MemoryMb: 4600, EstimateMs: 600}}, Guest: []*wire.TaskRef{{Lending: 1, Crashes: crashNotes("h1", "h2")}},
	}})
	for range 90 {
		b.state.Take(b.now, loadOfOneWorker("hall", "", 32_000))
		b.step(100 * time.Millisecond)
	}
	must.False(t, b.returnedFrom(t, "other", "hall"))
	for range 30 {
		b.state.Take(b.now, loadOfOneWorker("hall", "", 32_000))
		b.step(100 * time.Millisecond)
	}
	must.True(t, b.returnedFrom(t, "other", "hall"), must.Sprint("no isolated run began for ten seconds"))
}

// Guards against a delegation to a cell whose free accelerators, or whose spread over free workers, are too few.
func TestDelegationCountsAcceleratorsAndSpread(t *testing.T) {
	t.Parallel()
	two := loadOfOneWorker("other", "", 32_000)
	two.Load.FreeWorkers[0] = &wire.FreeWorkers{
		Service: "quotes", Millicores: []int64{32_000, 32_000}, MemoryMb: []int64{64_000, 64_000}, UnusedMillicores: []int64{32_000, 32_000}, Accelerators: []int64{0, 2},
	}
	for name, each := range map[string]struct {
		step      *wire.StepSpec
		delegated int
	}{
		"processors":   {step: &wire.StepSpec{Count: 8, Millicores: 8000, EstimateMs: 1000}, delegated: 4},
		"accelerators": {step: &wire.StepSpec{Count: 8, Millicores: 1000, Accelerators: 1, EstimateMs: 1000}, delegated: 1},
		"spread":       {step: &wire.StepSpec{Count: 8, Millicores: 1000, Spread: 1, EstimateMs: 1000}, delegated: 1},
	} {
		t.Run(name, func(t *testing.T) {
			home := newEmptyCell()
			home.fillWorkers()
			home.accept(delegatedJob, "offers", each.step)
			home.state.Take(home.now, two)
			for range 10 {
				home.step(100 * time.Millisecond)
			}
			must.Len(t, each.delegated, home.lastDelegated(t, "other", delegatedJob))
		})
	}
}

// Guards against tasks and gangs that bear evidence of the crash of the only worker with their label and never leave its cell.
func TestTasksOfACrashedWorkerLeaveACellThatHasLostTheirLabel(t *testing.T) {
	t.Parallel()
	for name, gang := range map[string]bool{"short": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			home, other := newEmptyCell(), newEmptyCellOf("other", "quotes")
			home.state.Take(home.now, cell.WorkersListed{Records: labelledRecords(home, "gpu", 1)})
			other.state.Take(other.now, cell.WorkersListed{Records: labelledRecords(other, "gpu", 2)})
			home.accept(delegatedJob, "offers", &wire.StepSpec{Count: 3, Millicores: 3500, MemoryMb: 6400, EstimateMs: 6800, Label: "gpu", Gang: gang})
			home.step(50 * time.Millisecond)
			must.MapLen(t, 3, home.started)
			home.silent["w00"] = true
			exchange(t, home, other, 4*time.Second)
			home.state.Take(home.now, cell.WorkersListed{Records: labelledRecords(home, "gpu", 1)[1:]})
			exchange(t, home, other, 20*time.Second)
			for i := range 3 {
				must.True(t, other.started[fmt.Sprintf("%s.0.0.%d", delegatedJob, i)])
			}
		})
	}
}

// Guards against gangs of fillers that never leave a cell that can't start them, while another cell could start all of each.
func TestGangOfFillersLeavesACellThatCannotStartIt(t *testing.T) {
	t.Parallel()
	for name, strand := range map[string]func(home *testCell){
		"full memory": func(home *testCell) { home.fillMemory() },
		"lost label": func(home *testCell) {
			home.state.Take(home.now, cell.WorkersListed{Records: labelledRecords(home, "gpu", 0)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			home, other := newEmptyCell(), newEmptyCellOf("other", "quotes")
			other.state.Take(other.now, cell.WorkersListed{Records: labelledRecords(other, "gpu", 2)})
			strand(home)
			home.accept(delegatedJob, "offers", &wire.StepSpec{Count: 4, Millicores: 2300, MemoryMb: 4600, EstimateMs: 600, Filler: true, Image: "f1", Gang: true, Label: "gpu"})
			exchange(t, home, other, 6*time.Second)
			for i := range 4 {
				must.True(t, other.started[fmt.Sprintf("%s.0.0.%d", delegatedJob, i)])
			}
		})
	}
}

// Guards against a gang of fillers that is delegated to a cell whose waiting fillers take the processors that it needs.
func TestGangOfFillersIsNotDelegatedToABacklogOfFillers(t *testing.T) {
	t.Parallel()
	for name, queued := range map[string]int64{"backlog": 30_000, "none": 0} {
		t.Run(name, func(t *testing.T) {
			home := newEmptyCell()
			home.fillMemory()
			home.accept(delegatedJob, "offers", &wire.StepSpec{Count: 4, Millicores: 2300, MemoryMb: 4600, EstimateMs: 600, Filler: true, Image: "f1", Gang: true})
			load := loadOfOneWorker("other", "", 32_000)
			load.Load.WaitingFillerMillicores = map[string]int64{"quotes": queued}
			for range 60 {
				home.state.Take(home.now, load)
				home.step(100 * time.Millisecond)
			}
			delegated := len(home.lastDelegated(t, "other", delegatedJob))
			must.Eq(t, map[bool]int{true: 4, false: 0}[queued == 0], delegated)
		})
	}
}

// Guards against each step of a job waiting anew for a label that its cell has long lost.
func TestNextStepLeavesACellThatHasLostItsLabelAtOnce(t *testing.T) {
	t.Parallel()
	for name, step := range map[string]*wire.StepSpec{
		"plain": {Count: 1, Millicores: 2300, MemoryMb: 4600, EstimateMs: 600, Label: "gpu"},
		"gang":  {Count: 2, Millicores: 2300, MemoryMb: 4600, EstimateMs: 600, Label: "gpu", Gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			home, other := newEmptyCell(), newEmptyCellOf("other", "quotes")
			home.state.Take(home.now, cell.WorkersListed{Records: labelledRecords(home, "gpu", 0)})
			other.state.Take(other.now, cell.WorkersListed{Records: labelledRecords(other, "gpu", 2)})
			next := proto.CloneOf(step)
			next.After = []int32{0}
			home.accept(delegatedJob, "offers", step, next)
			exchange(t, home, other, 6*time.Second)
			for i := range step.GetCount() {
				task := fmt.Sprintf("%s.0.0.%d", delegatedJob, i)
				must.True(t, other.started[task])
				other.finish(task, workers.EndedDone)
			}
			exchange(t, home, other, time.Second)
			must.True(t, other.started[delegatedJob+".0.1.0"])
		})
	}
}

// Guards against a task that leaves its cell at once because the row of the worker with its label is missing for a moment.
func TestNextStepAwaitsTheRowOfAWorkerWithItsLabel(t *testing.T) {
	t.Parallel()
	home, other := newEmptyCell(), newEmptyCellOf("other", "quotes")
	home.state.Take(home.now, cell.WorkersListed{Records: labelledRecords(home, "gpu", 1)})
	other.state.Take(other.now, cell.WorkersListed{Records: labelledRecords(other, "gpu", 2)})
	exchange(t, home, other, 6*time.Second)
	home.state.Take(home.now, cell.WorkersListed{Records: labelledRecords(home, "gpu", 1)[1:]})
	home.accept(delegatedJob, "offers", &wire.StepSpec{Count: 1, Millicores: 2300, MemoryMb: 4600, EstimateMs: 600, Label: "gpu"})
	exchange(t, home, other, 3*time.Second)
	must.SliceEmpty(t, home.lastDelegated(t, "other", delegatedJob))
}

// Guards against tasks and gangs with crash evidence that wait for an isolated run in a cell that has no worker with their label.
func TestCrashEvidenceDoesNotKeepTasksInACellThatHasLostTheirLabel(t *testing.T) {
	t.Parallel()
	for name, gang := range map[string]bool{"short": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			home := newEmptyCell()
			home.accept(delegatedJob, "offers", &wire.StepSpec{Count: 2, Millicores: 3000, EstimateMs: 1000, Gang: gang, Label: "gpu"})
			delegated := func() []*wire.TaskRef {
				home.state.Take(home.now, loadOfOneWorker("other", "gpu", 32_000))
				home.step(100 * time.Millisecond)
				return home.lastDelegated(t, "other", delegatedJob)
			}
			for range 50 {
				delegated()
			}
			returned := delegated()
			must.Len(t, 2, returned)
			for _, r := range returned {
				r.Crashes = crashNotes("h1", "h2")
			}
			home.state.Take(home.now, cell.TasksReturned{Tasks: &wire.ReturnedTasks{Id: delegatedJob, From: "other", Home: "hall", Tasks: returned}})
			began := home.now
			for delegated()[0].GetLending() == 1 {
				must.Less(t, 15*time.Second, home.now.Sub(began))
			}
			must.Between(t, cell.LongestLease, home.now.Sub(began), 6*time.Second)
		})
	}
}
