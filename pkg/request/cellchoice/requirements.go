package cellchoice

import (
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// cannotRunCost is the cost in ms of each step that no worker of a cell can ever run. It ranks
	// the cell behind each cell that can run the job, however full, but before one without a leader.
	cannotRunCost = 1e7
	// remoteDataStretch is the assumed extra time of a step that runs away from its data, as a
	// share of its run time.
	remoteDataStretch = 1.0
)

// requirementsCost returns the cost in ms of a job's steps that need a label, a size or a rack
// which the cell's workers lack. It is 0 for a cell without a known load or capacity.
func requirementsCost(l *wire.CellLoad, spec *wire.JobSpec) float64 {
	if l == nil || l.GetCapacityMillicores() == 0 {
		return 0
	}
	cost := 0.0
	for _, step := range spec.GetSteps() {
		if !canRun(l, step) {
			cost += cannotRunCost
		}
		if rack := step.GetRack(); rack != "" && !slices.Contains(l.GetLabels(), rack) {
			cost += remoteDataStretch * float64(step.GetEstimateMs())
		}
	}
	return cost
}

// canRun returns whether a cell has the step's label, and workers of its size.
func canRun(l *wire.CellLoad, step *wire.StepSpec) bool {
	if step.GetLabel() != "" && !slices.Contains(l.GetLabels(), step.GetLabel()) {
		return false
	}
	w := l.GetWorker()
	return step.GetMillicores() <= w.GetMillicores() && step.GetMemoryMb() <= w.GetMemoryMb() && step.GetAccelerators() <= w.GetAccelerators()
}

// KeptByEvacuations reports whether a job could start only in cells that are evacuated. A cell whose load is not known
// may be able to run it.
func (b *Board) KeptByEvacuations(now time.Time, spec *wire.JobSpec, cells map[string]Cell) bool {
	evacuated := false
	for name, c := range cells {
		able := b.mayRunAll(now, name, spec)
		if able && !c.Evacuated {
			return false
		}
		evacuated = evacuated || (able && c.Evacuated)
	}
	return evacuated
}

// Takers returns the cells that could take a job, sorted: those with a leader that are not evacuated and that have
// workers for each step, as far as is known.
func (b *Board) Takers(now time.Time, spec *wire.JobSpec, cells map[string]Cell) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(cells)) {
		if c := cells[name]; c.HasLeader && !c.Evacuated && b.mayRunAll(now, name, spec) {
			names = append(names, name)
		}
	}
	return names
}

// mayRunAll reports whether a cell has workers for each step of a job, as far as its load is known.
func (b *Board) mayRunAll(now time.Time, name string, spec *wire.JobSpec) bool {
	l := b.freshLoad(now, name)
	if l == nil {
		return true
	}
	return !slices.ContainsFunc(spec.GetSteps(), func(step *wire.StepSpec) bool { return !canRun(l, step) })
}
