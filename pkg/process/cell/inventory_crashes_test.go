package cell_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
)

// newCellWithInventory returns an empty cell whose workers say when they began, with some lasting jobs, each at a worker of its
// own, and the workers of these.
func newCellWithInventory(t *testing.T, jobs int) (b *testCell, at []string) {
	t.Helper()
	b = newEmptyCell()
	for _, report := range b.reports {
		report.Born = 1
	}
	b.runWithInventory(4 * time.Second)
	for i := range jobs {
		id := fmt.Sprintf("%016x", 0xa0+i)
		steps := lastingJob("").GetSteps()
		steps[0].Millicores = 20000
		b.accept(id, "watches", steps...)
		b.runWithInventory(500 * time.Millisecond)
		must.MapContainsKey(t, b.workerOf, id+".0.0.0")
		at = append(at, b.workerOf[id+".0.0.0"])
	}
	b.runWithInventory(2 * time.Second)
	return b, at
}

// details returns the details of the log lines of a kind about a worker.
func (b *testCell) details(kind cell.NoteKind, worker string) (list []string) {
	for _, n := range b.notes {
		if n.Kind == kind && n.Worker == worker {
			list = append(list, n.Detail)
		}
	}
	return list
}

// Workers that are missing from the same list may have one cause. Counted one by one, each would be evidence against its tasks.
func TestWorkersThatTheInventoryEndsTogetherCrashedAtTheSameTime(t *testing.T) {
	t.Parallel()
	b, at := newCellWithInventory(t, 3)
	for _, id := range at {
		b.silent[id] = true
	}
	b.runWithInventory(1500*time.Millisecond, at...)
	for _, id := range at {
		must.True(t, b.saidToHaveEnded(id))
		found := b.details(cell.NoteWorkerCrashed, id)
		must.SliceNotEmpty(t, found)
		for _, detail := range found[1:] {
			must.StrContains(t, detail, "3 of 16 workers went silent at the same time")
		}
		must.StrHasPrefix(t, "only silent: false; 3 of 16", found[len(found)-1])
	}
}

// A worker that leaves is gone when its time is over. That is no crash.
func TestLeavingWorkerThatTheInventoryEndsIsNoEvidence(t *testing.T) {
	t.Parallel()
	b, at := newCellWithInventory(t, 1)
	b.heldWrites = true // its run is not stopped and recorded first
	b.register(len(b.reports), at[0])
	b.silent[at[0]] = true
	b.runWithInventory(1500*time.Millisecond, at[0])
	must.True(t, b.saidToHaveEnded(at[0]))
	must.SliceEmpty(t, b.details(cell.NoteWorkerCrashed, at[0]))
}

// The last answer of a worker arrives after the list that ended it. Its runs are over all the same, each once.
func TestAnswerThatArrivesAfterTheInventoryHasEndedItsWorkerChangesNothing(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		born        int64
		unconfirmed bool
	}{
		"of the incarnation that ended":                          {1, false},
		"of the incarnation that ended, which is not confirmed":  {1, true},
		"of the next one under its id":                           {2, false},
		"of the next one under its id, the end is not confirmed": {2, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, at := newCellWithInventory(t, 1)
			id, task := at[0], fmt.Sprintf("%016x.0.0.0", 0xa0)
			b.silent[id] = true
			b.runWithInventory(250*time.Millisecond, id)
			b.heldPolls, b.tableDown = map[string]bool{id: true}, c.unconfirmed
			for range 30 {
				if b.saidToHaveEnded(id) {
					break
				}
				b.runWithInventory(50*time.Millisecond, id)
			}
			must.True(t, b.saidToHaveEnded(id))
			report := b.report(id)
			if report.Born = c.born; c.born == 2 {
				report.Active = nil
			}
			b.state.Take(b.now, cell.PollAnswered{Worker: id, SentAt: b.heldAt, Report: report})
			b.runWithInventory(200*time.Millisecond, id)
			must.Eq(t, c.unconfirmed, b.workerOf[task] == id)
			b.tableDown = false
			b.runWithInventory(2*time.Second, id)
			must.NotEq(t, id, b.workerOf[task])
			lost := 0
			for _, n := range b.notes {
				if n.Kind == cell.NoteLost && n.Task == task {
					lost++
				}
			}
			must.Eq(t, 1, lost)
			ends := 0
			for _, detail := range b.details(cell.NoteWorkerCrashed, id) {
				if strings.HasPrefix(detail, "only silent: false") {
					ends++
				}
			}
			must.Eq(t, 1, ends)
		})
	}
}
