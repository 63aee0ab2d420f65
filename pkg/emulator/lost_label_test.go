package emulator_test

import (
	"testing"

	"github.com/wrenferry/wrenferry/pkg/emulator"
)

// lostLabelDays is the number of days that CI plays of LostLabelPlan.
const lostLabelDays = 6

// Guards against short tasks that wait to the end of the day in a cell whose only worker with their label has left, while
// other cells have idle workers with the label.
func TestNoTaskStaysInHallThatLostItsLabel(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.LostLabelPlan, lostLabelDays)
}

// Guards against jobs of several steps of which each waits anew for the label that its hall has lost.
func TestNoStepWaitsAnewForALostLabel(t *testing.T) {
	t.Parallel()
	playSomeDays(t, func(seed uint64) emulator.Plan {
		plan := emulator.LostLabelPlan(seed)
		plan.LabelJobs = 40
		return plan
	}, lostLabelDays)
}

// Guards against steps that wait anew for the leases of earlier leaders in a hall that has lost its label, and against tasks that
// leave it while a run of them goes on.
func TestNoTaskStaysInHallThatLostItsLabelAndItsLeader(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.LostLabelTroublePlan, lostLabelDays)
}
