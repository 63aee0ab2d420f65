package emulator_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/emulator"
)

// A successor waits for a worker that left before it led, and other leaving workers stop tasks meanwhile.
func TestALastingTaskThatALeavingWorkerStoppedStartsAgainInTime(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.ReleasePlan, leavingDays)
}

// Leaders and hosts have failed shortly before, and tasks are suspected of crashes.
func TestALastingTaskStartsAgainWhereWorkersLeaveAfterTroubles(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.LeavingTroublePlan, leavingDays)
}

// leavingDays are as many of these days, which are the longest, as CI has the time for.
const leavingDays = 40

// Workers leave in all ways, and nothing else happens.
func TestALastingTaskStartsAgainWhereWorkersLeave(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.LeavingPlan, leavingDays)
}

func TestTheSameSeedGivesTheSameDayOfLeaves(t *testing.T) {
	t.Parallel()
	a, _ := emulator.Play(emulator.LeavingTroublePlan(3))
	b, _ := emulator.Play(emulator.LeavingTroublePlan(3))
	must.Eq(t, a.Log, b.Log)
}
