package emulator_test

import (
	"strings"
	"testing"

	"github.com/wrenferry/wrenferry/pkg/emulator"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
)

// cancelDays is how many days CI plays of CancelsPlan.
const cancelDays = 12

// Guards against runs that outlive the cancel of their job: those that a worker started late, or for a host that is gone
// since, are known from the worker's list only.
func TestRunsOfCancelledJobsEnd(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.CancelsPlan, cancelDays)
}

// Guards against a plan whose days don't reach what the rule UNASKED says of runs: without the fence, days break it by
// runs of each kind.
func TestCancelsPlanReachesRunsOfEachKind(t *testing.T) {
	t.Parallel()
	kinds := []string{"without an answer", "started by a host that is removed", "started late"}
	const first, most = 38, 100
	all := ""
	for seed := range uint64(most) {
		plan := emulator.CancelsPlan(first + seed)
		plan.Unsafe = cell.Unsafe{NoLateStops: true}
		_, broken := emulator.Play(plan)
		all += strings.Join(broken, ";")
		missing := 0
		for _, kind := range kinds {
			if !strings.Contains(all, kind) {
				missing++
			}
		}
		if missing == 0 {
			return
		}
	}
	t.Errorf("not each of %q occurs: %s", kinds, all)
}
