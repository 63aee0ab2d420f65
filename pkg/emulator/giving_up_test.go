package emulator_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/emulator"
)

// givingUpDays is how many days CI plays of GivingUpPlan.
const givingUpDays = 40

// Guards against jobs that run after their cancel was answered "no such job", as the table carries out an insertion late.
func TestNoRuleIsBrokenWhileCallersGiveUp(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.GivingUpPlan, givingUpDays)
}

// Guards against days on which no insertion meets a tombstone, and against tombstones that stay.
func TestTombstonesKeepInsertionsOutAndAreRemoved(t *testing.T) {
	t.Parallel()
	kept, late := 0, 0
	for seed := range uint64(12) {
		w, _ := emulator.Play(emulator.GivingUpPlan(seed))
		kept, late = kept+w.InsertionsKeptOut, late+w.LateInsertionsKeptOut
		must.Eq(t, 0, w.Tombstones(), must.Sprint(seed))
	}
	t.Logf("%d insertions kept out, %d of them late", kept, late)
	must.Greater(t, 12, kept)
	must.Greater(t, 6, late)
}

// Without tombstones the days break both rules: jobs come to be after their cancel, and start.
func TestDaysWithoutTombstonesBreakRules(t *testing.T) {
	t.Parallel()
	all := ""
	for seed := range uint64(40) {
		plan := emulator.GivingUpPlan(seed)
		plan.GivingUp.NoTombstones = true
		_, broken := emulator.Play(plan)
		all += strings.Join(broken, "\n")
	}
	for _, text := range []string{"MIXED: ", "is inserted after its cancel found no job", "is accepted after its cancel found no job", "UNASKED: "} {
		must.StrContains(t, all, text)
	}
}
