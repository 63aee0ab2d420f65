package poisontask_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
)

// Guards against a task that is started without end as each leader ends with the worker: crashes of recorded starts count
// as runs that began.
func TestCrashesOfRecordedStartsCountToTheLimit(t *testing.T) {
	t.Parallel()
	unobserved := poisontask.UnobservedCrash("w", 1, 20, 1, time.Unix(1000, 0))
	recorded := poisontask.Crash{Worker: "w", Born: 1, Host: "h", Lives: 1}
	isolated := with(recorded, func(c *poisontask.Crash) { c.Trial = true })
	unresolved := with(recorded, func(c *poisontask.Crash) { c.Company = 1 })
	unnamed := poisontask.Crash{Company: 1, Lives: 1}
	began := with(prompt(9), func(c *poisontask.Crash) { c.Trial = true })
	unanswered := with(began, func(c *poisontask.Crash) { c.Began = false })
	silent := with(unanswered, func(c *poisontask.Crash) { c.Silent = true })
	late := with(began, func(c *poisontask.Crash) { c.AgeMost = time.Second })
	for _, c := range []struct {
		name    string
		crashes []poisontask.Crash
		want    poisontask.Level
	}{
		{"one", []poisontask.Crash{recorded}, poisontask.Trusted},
		{"two", []poisontask.Crash{recorded, recorded}, poisontask.Suspected},
		{"one unobserved, one", []poisontask.Crash{unobserved, recorded}, poisontask.Trusted},
		{"one unobserved, two", []poisontask.Crash{unobserved, recorded, recorded}, poisontask.NeedsIsolation},
		{"one unobserved, three", []poisontask.Crash{unobserved, recorded, recorded, isolated}, poisontask.NeedsIsolation},
		{"one unobserved, four", []poisontask.Crash{unobserved, recorded, recorded, isolated, isolated}, poisontask.Poisonous},
		{"five", []poisontask.Crash{recorded, recorded, recorded, isolated, isolated}, poisontask.Poisonous},
		{"one unobserved, three, the last seen", []poisontask.Crash{unobserved, recorded, recorded, isolated, began}, poisontask.Poisonous},
		{"one unobserved, three, the last seen and not known to have begun", []poisontask.Crash{unobserved, recorded, recorded, isolated, unanswered}, poisontask.Poisonous},
		{"one unobserved, three, the last of an age known within a second", []poisontask.Crash{unobserved, recorded, recorded, isolated, late}, poisontask.Poisonous},
		{"one unobserved, three, the last only silent", []poisontask.Crash{unobserved, recorded, recorded, isolated, silent}, poisontask.NeedsIsolation},
		{"three unobserved, two", []poisontask.Crash{unobserved, unobserved, unobserved, recorded, isolated}, poisontask.NeedsIsolation},
		{"one unobserved, one, three without a name", []poisontask.Crash{unobserved, recorded, unnamed, unnamed, unnamed}, poisontask.NeedsIsolation},
		{"one unobserved, four of unresolved ends", []poisontask.Crash{unobserved, unresolved, unresolved, unresolved, unresolved}, poisontask.NeedsIsolation},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			must.Eq(t, c.want.String(), poisontask.LevelOf(c.crashes).String())
		})
	}
}
