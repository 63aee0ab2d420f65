package cellchoice

import (
	"slices"

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
