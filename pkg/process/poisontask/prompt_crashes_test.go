package poisontask_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
)

// Guards against one more start after crashes whose ages are known within narrow bounds: each row is a task that
// was started again although its last crash left hardly another cause.
func TestCrashesSurelySoonAfterAStartIdentifyTheTask(t *testing.T) {
	t.Parallel()
	sure := func(run int64) poisontask.Crash {
		return with(prompt(run), func(c *poisontask.Crash) { c.AgeMost = 100 * time.Millisecond })
	}
	wide := func(run int64) poisontask.Crash {
		return with(prompt(run), func(c *poisontask.Crash) { c.AgeMost = time.Second })
	}
	withCompany := func(run int64) poisontask.Crash {
		return with(sure(run), func(c *poisontask.Crash) { c.Company, c.Outside = 4, true })
	}
	outside := func(run int64) poisontask.Crash {
		return with(sure(run), func(c *poisontask.Crash) { c.Outside = true })
	}
	silent := func(run int64) poisontask.Crash {
		return with(sure(run), func(c *poisontask.Crash) { c.Silent = true })
	}
	again := func(run int64) poisontask.Crash {
		return with(sure(run), func(c *poisontask.Crash) { c.Again = true })
	}
	lostIsolated := poisontask.Crash{Company: 1}
	unobserved := poisontask.UnobservedCrash("w", 1, 20, 1, time.Unix(1000, 0))
	for _, c := range []struct {
		name    string
		crashes []poisontask.Crash
		want    poisontask.Level
	}{
		{"two without company", []poisontask.Crash{sure(1), sure(2)}, poisontask.NeedsIsolation},
		{"one unobserved, two without company", []poisontask.Crash{unobserved, sure(1), sure(2)}, poisontask.Poisonous},
		{"one unobserved, two without company, the age of one known within a second", []poisontask.Crash{unobserved, wide(1), sure(2)}, poisontask.NeedsIsolation},
		{"three of other kinds, the last without company", []poisontask.Crash{unobserved, again(1), outside(2), sure(3)}, poisontask.Poisonous},
		{"the same, the last only silent", []poisontask.Crash{unobserved, again(1), outside(2), silent(3)}, poisontask.NeedsIsolation},
		{"the same, the last of an age known within a second", []poisontask.Crash{unobserved, again(1), outside(2), wide(3)}, poisontask.NeedsIsolation},
		{"three of other kinds, none known to have begun, the last without company", []poisontask.Crash{unobserved, unobserved, lostIsolated, sure(1)}, poisontask.NeedsIsolation},
		{"never without company, two unobserved", []poisontask.Crash{unobserved, unobserved, withCompany(1), withCompany(2), withCompany(3)}, poisontask.Poisonous},
		{"never without company, four in all", []poisontask.Crash{unobserved, withCompany(1), withCompany(2), withCompany(3)}, poisontask.NeedsIsolation},
		{"never without company, two of five surely prompt", []poisontask.Crash{unobserved, unobserved, with(wide(1), func(c *poisontask.Crash) { c.Company = 4 }), withCompany(2), withCompany(3)}, poisontask.NeedsIsolation},
		{"five at hosts that had crashed under it", []poisontask.Crash{unobserved, sure(1), again(2), again(3), again(4)}, poisontask.NeedsIsolation},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			must.Eq(t, c.want.String(), poisontask.LevelOf(c.crashes).String())
		})
	}
}

// Guards against evidence that counts for less the more there is of it: one more crash of the same run age never lowers
// the level of suspicion.
func TestOneMoreCrashNeverLowersTheLevel(t *testing.T) {
	t.Parallel()
	kinds := []poisontask.Crash{
		prompt(1), poisontask.UnobservedCrash("w", 1, 20, 1, time.Unix(1000, 0)),
		{Company: 1},
		with(prompt(1), func(c *poisontask.Crash) { c.AgeMost = 100 * time.Millisecond }),
		with(prompt(1), func(c *poisontask.Crash) { c.AgeMost, c.Silent = 100*time.Millisecond, true }),
		with(prompt(1), func(c *poisontask.Crash) { c.Outside, c.Company = true, 3 }),
		with(prompt(1), func(c *poisontask.Crash) { c.Again = true }),
	}
	var extend func(crashes []poisontask.Crash)
	extend = func(crashes []poisontask.Crash) {
		level := poisontask.LevelOf(crashes)
		if level == poisontask.Poisonous || len(crashes) == 5 {
			return
		}
		for _, c := range kinds {
			more := append(append([]poisontask.Crash{}, crashes...), c)
			must.GreaterEq(t, level, poisontask.LevelOf(more), must.Sprintf("%+v", more))
			extend(more)
		}
	}
	extend(nil)
}

// Guards against an isolated run that decides and does not await a quiet cell: the crashes before it are few prompt ones
// without an external cause.
func TestAPromptCrashThatDecidesIsKnownBeforeItsStart(t *testing.T) {
	t.Parallel()
	outside := func(run int64) poisontask.Crash {
		return with(prompt(run), func(c *poisontask.Crash) { c.Outside = true })
	}
	unobserved := poisontask.UnobservedCrash("w", 1, 20, 1, time.Unix(1000, 0))
	must.False(t, poisontask.PoisonousAfterPromptCrash(nil))
	must.False(t, poisontask.PoisonousAfterPromptCrash([]poisontask.Crash{prompt(1), prompt(2)}), must.Sprint("three prompt ones identify the task"))
	must.False(t, poisontask.PoisonousAfterPromptCrash([]poisontask.Crash{unobserved, prompt(1)}), must.Sprint("it doesn't decide"))
	must.True(t, poisontask.PoisonousAfterPromptCrash([]poisontask.Crash{prompt(1), outside(2)}))
	must.True(t, poisontask.PoisonousAfterPromptCrash([]poisontask.Crash{unobserved, prompt(1), outside(2)}))
}
