package intake_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/request/intake"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// twoCells leads both cells. The workers of the cell far have other labels, and accelerators.
type twoCells struct{ stubLeaders }

func (twoCells) View() *intake.View {
	return &intake.View{Cells: map[string]intake.CellView{
		"hall": {Hall: "hall", Mine: true, Fresh: true}, "far": {Hall: "far", Mine: true, Fresh: true},
	}}
}

func (twoCells) Load(_ context.Context, cell string, _ bool) *wire.CellLoad {
	l := &wire.CellLoad{Leading: true, Cell: cell, CapacityMillicores: 320_000, Labels: []string{"a", "r1-1"}, Worker: &wire.WorkerSize{Millicores: 32_000, MemoryMb: 128_000}}
	if cell == "far" {
		l.Labels, l.Worker.Accelerators = []string{"a", "b", "r2-1"}, 4
	}
	return l
}

// When the cell was chosen by free capacity alone, a job with a label that no worker of the cell
// has waited there forever, and other jobs ran in another hall than their data.
func TestSubmitChoosesCellByLabelSizeAndDataLocality(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		step *wire.StepSpec
		cell string
	}{
		{"anywhere: the own hall", &wire.StepSpec{Count: 1, Millicores: 1000}, "hall"},
		{"a label of the other cell", &wire.StepSpec{Count: 1, Millicores: 1000, Label: "b"}, "far"},
		{"accelerators", &wire.StepSpec{Count: 1, Millicores: 1000, Accelerators: 1}, "far"},
		{"data in the other hall, long work", &wire.StepSpec{Count: 1, Millicores: 1000, EstimateMs: 900, Rack: "r2-1"}, "far"},
		{"data in the other hall, little work", &wire.StepSpec{Count: 1, Millicores: 1000, EstimateMs: 20, Rack: "r2-1"}, "hall"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			in := newIntakeWith(fixedTable{}, twoCells{})
			now := time.Now()
			_, err := in.Pending(context.Background(), now, "offers") // fetches the loads
			must.NoError(t, err)
			spec := &wire.JobSpec{Id: "00000000000000aa", Steps: []*wire.StepSpec{c.step}}
			must.NoError(t, in.Submit(context.Background(), now, manifest.Queue{Name: "offers", Service: "s"}, spec))
			must.Eq(t, c.cell, spec.GetCell())
		})
	}
}
