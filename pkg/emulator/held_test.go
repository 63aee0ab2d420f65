package emulator_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/emulator"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
)

// Guards against a rule HELD that does not see a task in nobody's hands: with a safeguard switched off, some day breaks
// the rule long before it ends, for the reason that the switch leads to.
func TestHeldRuleSeesTasksThatNobodyHolds(t *testing.T) {
	t.Parallel()
	const most = 60
	for _, c := range []struct {
		name   string
		unsafe cell.Unsafe
		plan   func(seed uint64) emulator.Plan
		says   []string
	}{
		{name: "returned task, home takes it for delegated", unsafe: cell.Unsafe{NoReports: true}, plan: emulator.EvacuationPlan, says: []string{"says delegated", "says returned"}},
		{name: "done task, home takes it for delegated", unsafe: cell.Unsafe{NoReports: true}, plan: emulator.TwoCellPlan, says: []string{"says delegated", "says done"}},
		{name: "task taken for running", unsafe: cell.Unsafe{NoLostRuns: true}, plan: emulator.TwoCellPlan, says: []string{"says running"}},
		{name: "task not queued again", unsafe: cell.Unsafe{NoRequeue: true}, plan: emulator.TwoCellPlan, says: []string{"says not-queued"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(most) {
				plan := c.plan(seed)
				plan.Unsafe = c.unsafe
				_, broken := emulator.Play(plan)
				for _, each := range broken {
					if strings.HasPrefix(each, "HELD: ") && containsAll(each, c.says) {
						t.Logf("seed %d: %s", seed, each)
						return
					}
				}
			}
			t.Errorf("none of %d days breaks HELD with %q", most, c.says)
		})
	}
}

// Guards against a rule IDLE that does not see a job whose task could start and that no leader starts.
func TestIdleRuleSeesJobsThatNobodyStarts(t *testing.T) {
	t.Parallel()
	const most = 60
	for seed := range uint64(most) {
		plan := emulator.TwoCellPlan(seed)
		plan.Idle, plan.Unsafe = true, cell.Unsafe{NoRequeue: true}
		_, broken := emulator.Play(plan)
		if strings.Contains(strings.Join(broken, ";"), "IDLE: ") {
			t.Logf("seed %d: %s", seed, broken[0])
			return
		}
	}
	t.Errorf("none of %d days breaks IDLE", most)
}

func containsAll(text string, parts []string) bool {
	for _, part := range parts {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return true
}

// Guards against rules that break on days that keep them.
func TestHeldAndIdleRulesAreKept(t *testing.T) {
	t.Parallel()
	for _, plan := range []emulator.Plan{emulator.DefaultPlan(1), emulator.SuspendsPlan(1), emulator.CancelsPlan(1), emulator.HandoverPlan(1)} {
		plan.Idle = true
		_, broken := emulator.Play(plan)
		must.SliceEmpty(t, broken)
	}
}

// Guards against short tasks that wait to the end of the day in a hall without workers while the other halls are mostly
// free: tasks delegated there are not returned, and tasks with a checkpoint or a failed run are not delegated.
func TestNoTaskStaysInHallThatLostItsWorkers(t *testing.T) {
	t.Parallel()
	const days = 4
	playSomeDays(t, emulator.LostHallPlan, days)
}

// Guards against fillers that wait in a hall whose last worker is full of lasting tasks while the other halls are mostly
// free: these report no harmless place for an image that ran beside no serving image.
func TestNoTaskStaysInHallThatLostMostWorkers(t *testing.T) {
	t.Parallel()
	const days = 4
	for i := range uint64(days) {
		_, broken := emulator.Play(emulator.PartLostHallPlan(810006 + i))
		must.SliceEmpty(t, broken)
	}
}
