package emulator_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/emulator"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
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

// Guards against days on which nothing yields or is stopped, which would show nothing of the reserve.
func TestUrgentDaysReachStopsOfLastingTasks(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		w, _ := emulator.Play(emulator.UrgentPlan(seed))
		must.Positive(t, w.Noted[cell.NoteLastingStopped], must.Sprint(seed))
		must.Positive(t, w.Noted[cell.NoteReserveChanged], must.Sprint(seed))
	}
}
