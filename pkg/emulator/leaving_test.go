package emulator_test

import (
	"testing"

	"github.com/wrenferry/wrenferry/pkg/emulator"
)

// Workers leave one after the other, and others come in their place.
func TestALastingTaskThatALeavingWorkerStoppedStartsAgainInTime(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.LeavingPlan, troubledDays)
}

// Leaders and hosts have failed shortly before, and tasks are suspected of crashes.
func TestALastingTaskThatALeavingWorkerStoppedStartsAgainAfterTroubles(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.LeavingTroublePlan, troubledDays)
}

// Nearly all workers are replaced.
func TestALastingTaskStartsAgainThroughARelease(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.ReleasePlan, troubledDays)
}
