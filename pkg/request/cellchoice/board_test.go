package cellchoice_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/request/cellchoice"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

var (
	begin = time.Unix(1000, 0)
	cells = map[string]cellchoice.Cell{"a": {Hall: "a", Led: true}, "b": {Hall: "b", Led: true}, "c": {Hall: "c", Led: true}}
)

// empty is the load of a cell where nothing runs.
func empty(name string) *wire.CellLoad {
	return &wire.CellLoad{
		Leading: true, Cell: name, CapacityMillicores: 1_000_000, FreeMillicores: 1_000_000,
		Worker: &wire.WorkerSize{Millicores: 64_000, MemoryMb: 256_000},
	}
}

func plain(cores int64) *wire.JobSpec {
	return &wire.JobSpec{Steps: []*wire.StepSpec{{Count: 1, Millicores: cores * 1000, MemoryMb: 1000, EstimateMs: 1000}}}
}

// Jobs that come between two words of a cell's leader would all go where there was room
// at the first.
func TestWhatWasSentSinceTheLastWordCounts(t *testing.T) {
	t.Parallel()
	b := cellchoice.NewBoard("a")
	for name := range cells {
		b.Take(begin, empty(name))
	}
	got := map[string]int{}
	for range 30 {
		got[b.Choose(begin.Add(time.Second), plain(50), cells).Cell]++
	}
	for name := range cells {
		must.Between(t, 8, got[name], 13, must.Sprintf("%s: %v", name, got))
	}
}

func TestACellWithoutALeaderOrAFreshWordIsLast(t *testing.T) {
	t.Parallel()
	b := cellchoice.NewBoard("a")
	must.Eq(t, "a", b.Choose(begin, plain(1), cells).Cell, must.Sprint("nothing is known: the own hall"))
	lost := map[string]cellchoice.Cell{"a": {Hall: "a"}, "b": {Hall: "b", Led: true}}
	must.Eq(t, "b", b.Choose(begin, plain(1), lost).Cell)
}
