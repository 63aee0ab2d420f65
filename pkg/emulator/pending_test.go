package emulator_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/emulator"
)

// pendingDays is the number of days that CI plays of PendingPlan.
const pendingDays = 12

// Guards against counts of pending jobs without jobs that wait, just after a hall that was cut off is back.
func TestNoHostCountsUnderHalfOfThePendingJobs(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.PendingPlan, pendingDays)
}

// Questions for pending jobs must leave the hosts and all draws as they are, so that seeds mean the same days.
func TestQuestionsForPendingJobsDoNotChangeTheDay(t *testing.T) {
	t.Parallel()
	for name, plan := range map[string]func(seed uint64) emulator.Plan{
		"pending": emulator.PendingPlan, "evacuation": emulator.EvacuationPlan, "deposed": emulator.DeposedPlan, "relays": emulator.RelayPlan,
		"all troubles": emulator.AllTroublesPlan, "release": emulator.ReleasePlan,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			asked, silent := plan(4), plan(4)
			asked.Pending, silent.Pending = true, false
			a, _ := emulator.Play(asked)
			b, _ := emulator.Play(silent)
			must.Eq(t, story(b), storyWithoutQuestions(a))
		})
	}
}

// storyWithoutQuestions returns a day's log without the lines about pending jobs.
func storyWithoutQuestions(w *emulator.World) string {
	var lines []string
	for _, line := range w.Log {
		if !strings.Contains(line, " pending: ") && !strings.Contains(line, " BROKEN PENDING: ") {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "\n")
}
