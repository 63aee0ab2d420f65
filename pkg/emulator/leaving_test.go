package emulator_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/emulator"
)

// Guards against lasting tasks that stay stopped: a new leader waits for a worker that left under its predecessor, while
// other leaving workers stop their tasks.
func TestLastingTaskRestartsInTimeAfterSuccessiveReleases(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.ReleasePlan, usualLeavingDays)
}

// Leaders and hosts fail shortly before workers leave, and tasks are suspected of crashes.
func TestLastingTaskRestartsWhenWorkersLeaveAfterFaults(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.LeavingTroublePlan, usualLeavingDays)
}

// usualLeavingDays is the number of days that CI plays of each of these plans. These days are the longest, and CI has no
// time for more.
const usualLeavingDays = 40

// Workers leave in all ways, without faults.
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
