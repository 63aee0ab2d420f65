package cellchoice_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/request/cellchoice"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

var (
	start = time.Unix(1000, 0)
	cells = map[string]cellchoice.Cell{"a": {Hall: "a", HasLeader: true}, "b": {Hall: "b", HasLeader: true}, "c": {Hall: "c", HasLeader: true}}
)

// emptyCellLoad returns the load of a cell without tasks.
func emptyCellLoad(name string) *wire.CellLoad {
	return &wire.CellLoad{
		Leading: true, Cell: name, CapacityMillicores: 1_000_000, FreeMillicores: 1_000_000,
		Worker: &wire.WorkerSize{Millicores: 64_000, MemoryMb: 256_000},
	}
}

// plainJob returns a job with one task of a second that is neither lasting nor a filler.
func plainJob(cores int64) *wire.JobSpec {
	return &wire.JobSpec{Steps: []*wire.StepSpec{{Count: 1, Millicores: cores * 1000, MemoryMb: 1000, EstimateMs: 1000}}}
}

// Between two loads from a cell's leader, all jobs would go to the cell that the first one
// showed with free capacity, if a host did not count the jobs that it sent since.
func TestChooseCountsJobsSentSinceLastLoad(t *testing.T) {
	t.Parallel()
	b := cellchoice.NewBoard("a")
	for name := range cells {
		b.SetLoad(start, emptyCellLoad(name))
	}
	got := map[string]int{}
	for range 30 {
		got[b.Choose(start.Add(time.Second), plainJob(50), cells).Cell]++
	}
	for name := range cells {
		must.Between(t, 8, got[name], 13, must.Sprintf("%s: %v", name, got))
	}
}

func TestChoosePrefersOwnHallAndCellsWithLeader(t *testing.T) {
	t.Parallel()
	b := cellchoice.NewBoard("a")
	must.Eq(t, "a", b.Choose(start, plainJob(1), cells).Cell, must.Sprint("without any load the own hall is chosen"))
	lost := map[string]cellchoice.Cell{"a": {Hall: "a"}, "b": {Hall: "b", HasLeader: true}}
	must.Eq(t, "b", b.Choose(start, plainJob(1), lost).Cell)
}
