package reserve_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/reserve"
)

var start = time.Unix(1000, 0)

func size(millicores, memory int64) ledger.Size {
	return ledger.Size{Millicores: millicores, MemoryMB: memory}
}

// Guards against a reserve that is given up between two waves, and against one that outlives the load.
func TestPeakIsRememberedForLongerThanAWave(t *testing.T) {
	t.Parallel()
	d := &reserve.Demand{}
	d.Observe(start, map[ledger.Size]int{size(2000, 500): 30})
	d.Observe(start.Add(100*time.Millisecond), map[ledger.Size]int{size(2000, 500): 5})
	d.Observe(start.Add(14*time.Second), nil)
	must.Eq(t, 30, d.Peak())
	must.Eq(t, 18, d.Wanted(12))
	must.Eq(t, 0, d.Wanted(40))
	d.Observe(start.Add(15*time.Second), nil)
	must.Eq(t, 0, d.Peak())
	must.Eq(t, ledger.Size{}, d.Size())
}

// Guards against gaps of the largest urgent task, of which few workers have any.
func TestGapHasTheSizeOfTheUsualTask(t *testing.T) {
	t.Parallel()
	d := &reserve.Demand{}
	d.Observe(start, map[ledger.Size]int{size(7000, 100): 79, size(8000, 300): 1, size(22000, 200): 20})
	must.Eq(t, size(8000, 200), d.Size())
}

// Guards against a sum of free processors that no urgent task can use.
func TestGapsAreCountedWorkerByWorker(t *testing.T) {
	t.Parallel()
	must.Eq(t, 0, reserve.Gaps(size(6900, 9000), size(7000, 100)))
	must.Eq(t, 3, reserve.Gaps(size(21500, 9000), size(7000, 100)))
	must.Eq(t, 2, reserve.Gaps(size(21500, 250), size(7000, 100)))
	must.Eq(t, 0, reserve.Gaps(size(-100, 100), size(7000, 100)))
	must.Eq(t, 0, reserve.Gaps(size(100, 100), ledger.Size{}))
}

func names(list []reserve.Candidate) []string {
	var out []string
	for _, c := range list {
		out = append(out, c.Task)
	}
	return out
}

// Guards against stops that free nothing, against several at one worker, and against a step that loses too many tasks.
func TestFewestStopsWithinTheLimits(t *testing.T) {
	t.Parallel()
	list := []reserve.Candidate{
		{Task: "none", Worker: "w0", Step: "s0", Gaps: 0, MoreAway: 1},
		{Task: "one", Worker: "w1", Step: "s1", Gaps: 1, MoreAway: 1},
		{Task: "three", Worker: "w1", Step: "s1", Gaps: 3, MoreAway: 1},
		{Task: "two", Worker: "w2", Step: "s1", Gaps: 2, MoreAway: 1},
		{Task: "two-smaller", Worker: "w3", Step: "s3", Gaps: 2, Size: size(1, 0), MoreAway: 2},
		{Task: "two-larger", Worker: "w4", Step: "s3", Gaps: 2, Size: size(2, 0), MoreAway: 2},
		{Task: "away", Worker: "w5", Step: "s5", Gaps: 4, MoreAway: 0},
	}
	must.Eq(t, []string{"three"}, names(reserve.Choose(list, 3, 9)))
	must.Eq(t, []string{"three", "two-smaller", "two-larger"}, names(reserve.Choose(list, 20, 9)))
	must.Eq(t, []string{"three", "two-smaller"}, names(reserve.Choose(list, 20, 2)))
	must.SliceEmpty(t, reserve.Choose(list, 0, 9))
	must.Eq(t, 1, reserve.MoreAway(0, 3, 0))
	must.Eq(t, 0, reserve.MoreAway(0, 3, 1))
	must.Eq(t, 2, reserve.MoreAway(0, 14, 1))
	must.Eq(t, 2, reserve.MoreAway(3, 4, 1))
	must.Eq(t, 0, reserve.MoreAway(3, 14, 5))
}

// Guards against a cell that stops most of its lasting tasks, or the same one again and again.
func TestStopsAreLimitedInTime(t *testing.T) {
	t.Parallel()
	s := &reserve.Stops{}
	must.Eq(t, 0, s.Allowed(start, 9))
	must.Eq(t, 2, s.Allowed(start, 29))
	s.Add(start, "a")
	s.Add(start.Add(time.Second), "b")
	must.Eq(t, 0, s.Allowed(start.Add(9*time.Second), 29))
	must.Eq(t, 1, s.Allowed(start.Add(10*time.Second), 29))
	must.True(t, s.Resting(start.Add(29*time.Second), "a"))
	must.False(t, s.Resting(start.Add(30*time.Second), "a"))
	must.False(t, s.Resting(start, "c"))
	must.Eq(t, 2, s.Total())
	must.False(t, reserve.Overdue(140*time.Millisecond, 300*time.Millisecond))
	must.True(t, reserve.Overdue(150*time.Millisecond, 300*time.Millisecond))
}
