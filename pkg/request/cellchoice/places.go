package cellchoice

import (
	"slices"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// cannotRunCost is for each step that no worker of a cell could ever run: it puts the
	// cell behind any that can, however full, but not behind one without a leader.
	cannotRunCost = 1e7
	// remoteDataStretch is by how much of its run time a step is taken to run longer away from its
	// data.
	remoteDataStretch = 1.0
)

// requirementsCost is what it costs, in ms, that a cell's workers are not what a job's steps
// ask for: labels, sizes, the racks of their data. Of a cell that has not told, nothing
// is held against it.
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

func canRun(l *wire.CellLoad, step *wire.StepSpec) bool {
	if step.GetLabel() != "" && !slices.Contains(l.GetLabels(), step.GetLabel()) {
		return false
	}
	w := l.GetWorker()
	return step.GetMillicores() <= w.GetMillicores() && step.GetMemoryMb() <= w.GetMemoryMb() && step.GetAccelerators() <= w.GetAccelerators()
}
