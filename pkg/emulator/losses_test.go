package emulator_test

import (
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/emulator"
)

// lostWorkersDays is the number of days that CI plays of each plan of lost or cut-off workers.
const lostWorkersDays = 24

// Guards against tasks that wait for leases of workers that have ended, as the host of the leader that granted them is gone.
func TestLastingTaskRestartsWhenWorkersAndTheHostOfTheirLeaderAreLost(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.LostWorkersPlan, lostWorkersDays)
}

func TestNoRuleBreaksWhenWorkersWithCrashTasksAndTheHostOfTheirLeaderAreLost(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.LostWorkersCrashTasksPlan, lostWorkersDays)
}

// Guards against days on which a successor that reads no inventory does not wait too long.
func TestDaysOfLostWorkersBreakLostWithoutTheInventory(t *testing.T) {
	t.Parallel()
	const days = 4
	for seed := range uint64(days) {
		plan := emulator.LostWorkersPlan(seed)
		plan.Inventory.Listed = false
		w, broken := emulator.Play(plan)
		must.True(t, slices.ContainsFunc(broken, isLost), must.Sprintf("seed %d", seed))
		must.False(t, slices.ContainsFunc(broken, isUnsafe), must.Sprintf("seed %d", seed))
		must.True(t, notHeard.MatchString(strings.Join(w.Log, "\n")), must.Sprintf("seed %d", seed))
	}
}

func isLost(broken string) bool { return strings.HasPrefix(broken, "LOST") }

// isUnsafe returns whether a rule is broken that does not limit how long tasks wait.
func isUnsafe(broken string) bool { return !isLost(broken) && !strings.HasPrefix(broken, "HELD") }

// While the inventory fails, the leases decide, so that tasks may wait. No failure may let a task run twice.
func TestAFailingInventoryOnlyLetsTasksWait(t *testing.T) {
	t.Parallel()
	for seed := range uint64(lostWorkersDays) {
		_, broken := emulator.Play(emulator.FailingInventoryPlan(seed))
		must.False(t, slices.ContainsFunc(broken, isUnsafe), must.Sprintf("seed %d: %v", seed, broken))
	}
}

// Guards against workers that are taken for ended as the inventory is empty, does not list them yet, or skips them.
func TestWorkersThatAreCutOffAreNotTakenForEnded(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.CutOffWorkersPlan, lostWorkersDays)
}

// unlisted matches the end of a worker's incarnation by the inventory.
var unlisted = regexp.MustCompile(`worker-gone .* the inventory does not list it`)

// Guards against days on which the inventory shows no end, or the end of a worker that is only cut off.
func TestTheInventoryEndsLostWorkersOnly(t *testing.T) {
	t.Parallel()
	lost, _ := emulator.Play(emulator.LostWorkersPlan(1))
	must.True(t, slices.ContainsFunc(lost.Log, unlisted.MatchString))
	cutOff, _ := emulator.Play(emulator.CutOffWorkersPlan(0))
	must.False(t, slices.ContainsFunc(cutOff.Log, unlisted.MatchString))
}
