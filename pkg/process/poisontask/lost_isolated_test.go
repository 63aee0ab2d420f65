package poisontask_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
)

// Guards against one more start after a run that was to decide: a recorded isolated run that was found nowhere counts as
// the fifth crash among five, but decides only if it is not the last of them.
func TestLostIsolatedRunDecidesAlsoAsTheLastCrash(t *testing.T) {
	t.Parallel()
	lostIsolated := poisontask.Crash{Company: 1, Lives: 1}
	unobserved := poisontask.UnobservedCrash("w", 1, 20, 1, time.Unix(1000, 0))
	outside := func(run int64) poisontask.Crash {
		return with(prompt(run), func(c *poisontask.Crash) { c.Outside = true })
	}
	for name, crashes := range map[string][]poisontask.Crash{
		"one unobserved, three that began":                       {unobserved, prompt(1), outside(2), outside(3)},
		"one unobserved, two that began, one more found nowhere": {unobserved, prompt(1), lostIsolated, outside(2)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			must.Eq(t, poisontask.NeedsIsolation, poisontask.LevelOf(crashes))
			must.True(t, poisontask.PoisonousAfterNextCrash(crashes)) // the next isolated run was awaited as the one that decides
			last := crashes[len(crashes)-1]
			before := append(append([]poisontask.Crash{}, crashes[:len(crashes)-1]...), lostIsolated, last)
			must.Eq(t, poisontask.Poisonous, poisontask.LevelOf(before), must.Sprint("the same five, the lost one before the last"))
			must.Eq(t, poisontask.Poisonous, poisontask.LevelOf(append(crashes, lostIsolated)))
		})
	}
}
