package emulator_test

import (
	"testing"

	"github.com/wrenferry/wrenferry/pkg/emulator"
)

// urgentDays is how many days CI plays of each plan with urgent jobs, which are among the longest.
const urgentDays = 20

// Guards against lasting tasks that stay without a run because they yield or were stopped.
func TestNoRuleBreaksWhileCapacityIsKeptForUrgentTasks(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.UrgentPlan, urgentDays)
}

func TestNoRuleBreaksWhileCapacityIsKeptUnderFaults(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.UrgentTroublePlan, urgentDays)
}
