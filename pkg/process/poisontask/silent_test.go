package poisontask_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
)

// Guards against a task that stays a suspect, and starts in company, however many workers went silent right after its
// start, as none of them is known to have crashed.
func TestThreePromptSilencesNeedIsolation(t *testing.T) {
	t.Parallel()
	silent := func(run int64) poisontask.Crash {
		return with(prompt(run), func(c *poisontask.Crash) { c.Company, c.Silent = 3, true })
	}
	unobserved := poisontask.UnobservedCrash("w", 1, 20, 1, time.Unix(1000, 0))
	for name, crashes := range map[string][]poisontask.Crash{
		"three silent":                   {silent(1), silent(2), silent(3)},
		"five silent":                    {silent(1), silent(2), silent(3), silent(4), silent(5)},
		"one unobserved, four silent":    {unobserved, silent(1), silent(2), silent(3), silent(4)},
		"two unobserved, between silent": {silent(1), unobserved, silent(2), unobserved, silent(3)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			must.GreaterEq(t, poisontask.NeedsIsolation, poisontask.LevelOf(crashes))
		})
	}
}
