package emulator_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/emulator"
)

// handoverDays is the number of days that CI plays of this plan: they are long, and CI has no time for more.
const handoverDays = 20

// Hosts stop as planned one after the other and hand their cells over, while the table is slow at times.
func TestNoRuleBreaksWhenHostsHandOver(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.HandoverPlan, handoverDays)
}

// Guards against a plan whose days reach neither confirmed handovers nor deferred claims.
func TestDaysOfHandoversReachThem(t *testing.T) {
	t.Parallel()
	log := ""
	for seed := range uint64(4) {
		w, _ := emulator.Play(emulator.HandoverPlan(seed))
		log += strings.Join(w.Log, "\n")
	}
	for _, event := range []string{"is stopping", `released to "host-`, "defers a claim"} {
		must.StrContains(t, log, event)
	}
}
