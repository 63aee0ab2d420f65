package emulator_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/emulator"
)

// A successor waits for a worker that left before it led, and other leaving workers stop tasks meanwhile.
func TestLastingTaskRestartsInTimeAfterSuccessiveReleases(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.ReleasePlan, usualLeavingDays)
}

// Leaders and hosts have failed shortly before, and tasks are suspected of crashes.
func TestLastingTaskRestartsWhenWorkersLeaveAfterFaults(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.LeavingTroublePlan, usualLeavingDays)
}

// usualLeavingDays are as many of these days, which are the longest, as CI has the time for.
const usualLeavingDays = 40

// Workers leave in all ways, and nothing else happens.
func TestLastingTaskRestartsWhenWorkersLeave(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.LeavingPlan, usualLeavingDays)
}

func TestSameSeedGivesSameDayWithLeavingWorkers(t *testing.T) {
	t.Parallel()
	a, _ := emulator.Play(emulator.LeavingTroublePlan(3))
	b, _ := emulator.Play(emulator.LeavingTroublePlan(3))
	must.Eq(t, a.Log, b.Log)
}
