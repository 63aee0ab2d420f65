package blame_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/blame"
)

// prompt is a crash 10 ms after the start of a run without company, at a new host.
func prompt(run int64) blame.Crash {
	return blame.Crash{Run: run, Began: true, Age: 10 * time.Millisecond, Lives: 1}
}

func with(c blame.Crash, change func(*blame.Crash)) blame.Crash {
	change(&c)
	return c
}

func TestLevelOf(t *testing.T) {
	t.Parallel()
	withCompany := func(run int64) blame.Crash { return with(prompt(run), func(c *blame.Crash) { c.Company = 8 }) }
	late := func(run int64) blame.Crash {
		return with(prompt(run), func(c *blame.Crash) { c.Age = 3 * time.Second })
	}
	outside := func(run int64) blame.Crash { return with(prompt(run), func(c *blame.Crash) { c.Outside = true }) }
	silent := func(run int64) blame.Crash { return with(prompt(run), func(c *blame.Crash) { c.Silent = true }) }
	again := func(run int64) blame.Crash { return with(prompt(run), func(c *blame.Crash) { c.Again = true }) }
	lostIsolated := blame.Crash{Company: 1}
	unobserved := blame.UnobservedCrash("w", 1, 20, 1, time.Unix(1000, 0))
	for _, c := range []struct {
		name    string
		crashes []blame.Crash
		want    blame.Level
	}{
		{"no crashes", nil, blame.Trusted},
		{"one with company", []blame.Crash{withCompany(1)}, blame.Suspected},
		{"one late", []blame.Crash{late(1)}, blame.Trusted},
		{"one external", []blame.Crash{outside(1)}, blame.Trusted},
		{"two prompt ones with company", []blame.Crash{withCompany(1), withCompany(2)}, blame.NeedsIsolation},
		{"two external", []blame.Crash{outside(1), outside(2)}, blame.NeedsIsolation},
		{"two silent workers are no reason for isolated runs", []blame.Crash{silent(1), silent(2)}, blame.Suspected},
		{"two with company, the third without", []blame.Crash{withCompany(1), withCompany(2), prompt(3)}, blame.Poisonous},
		{"three with company", []blame.Crash{withCompany(1), withCompany(2), withCompany(3)}, blame.NeedsIsolation},
		{"two with company, the third without and only silent", []blame.Crash{withCompany(1), withCompany(2), silent(3)}, blame.NeedsIsolation},
		{"two with company, the third without and external", []blame.Crash{withCompany(1), withCompany(2), outside(3)}, blame.NeedsIsolation},
		{"four external at different hosts", []blame.Crash{outside(1), outside(2), outside(3), outside(4)}, blame.Poisonous},
		{"three without company at one host", []blame.Crash{prompt(1), again(2), again(3)}, blame.NeedsIsolation},
		{"three late, one prompt: different run ages", []blame.Crash{late(1), late(2), late(3), prompt(4)}, blame.NeedsIsolation},
		{"four late without company", []blame.Crash{late(1), late(2), late(3), late(4)}, blame.Poisonous},
		{"five, one of them known to have begun", []blame.Crash{withCompany(1), lostIsolated, lostIsolated, lostIsolated, lostIsolated}, blame.NeedsIsolation},
		{"five, two of them isolated runs found nowhere", []blame.Crash{withCompany(1), lostIsolated, withCompany(2), lostIsolated, withCompany(3)}, blame.Poisonous},
		{"three unobserved", []blame.Crash{unobserved, unobserved, unobserved}, blame.Trusted},
		{"two unobserved, one with company", []blame.Crash{unobserved, unobserved, withCompany(1)}, blame.NeedsIsolation},
		{"three unobserved, one with company, the last without", []blame.Crash{unobserved, unobserved, unobserved, withCompany(1), prompt(2)}, blame.Poisonous},
		{"two unobserved, one with company, the last without", []blame.Crash{unobserved, unobserved, withCompany(1), prompt(2)}, blame.Poisonous},
		{"two unobserved, one late, the last prompt without company", []blame.Crash{unobserved, unobserved, late(1), prompt(2)}, blame.NeedsIsolation},
		{"one unobserved, one with company, the last without", []blame.Crash{unobserved, withCompany(1), prompt(2)}, blame.NeedsIsolation},
		{"two unobserved, one with company, two external", []blame.Crash{unobserved, unobserved, withCompany(1), outside(2), outside(3)}, blame.Poisonous},
		{"three unobserved, two with company", []blame.Crash{unobserved, unobserved, unobserved, withCompany(1), withCompany(2)}, blame.NeedsIsolation},
		{"three unobserved, one with company, the last external", []blame.Crash{unobserved, unobserved, unobserved, withCompany(1), outside(2)}, blame.NeedsIsolation},
		{"one unobserved, one with company, two isolated runs found nowhere, the last external", []blame.Crash{unobserved, withCompany(1), lostIsolated, lostIsolated, outside(2)}, blame.Poisonous},
		{"two unobserved, one isolated run found nowhere, one with company, the last external with company", []blame.Crash{unobserved, unobserved, lostIsolated, withCompany(1), with(outside(2), func(c *blame.Crash) { c.Company = 3 })}, blame.NeedsIsolation},
		{"two runs not known to have begun", []blame.Crash{with(prompt(1), func(c *blame.Crash) { c.Began = false }), with(prompt(2), func(c *blame.Crash) { c.Began = false }), prompt(3)}, blame.NeedsIsolation},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			must.Eq(t, c.want.String(), blame.LevelOf(c.crashes).String())
		})
	}
}

func TestALongRunExoneratesItsTask(t *testing.T) {
	t.Parallel()
	crashes := []blame.Crash{{Age: 10 * time.Millisecond}, {Age: time.Second}}
	must.False(t, blame.Exonerates(crashes, 3500*time.Millisecond))
	must.True(t, blame.Exonerates(crashes, 4*time.Second))
	must.False(t, blame.EndExonerates(crashes, 2*time.Second))
	must.True(t, blame.EndExonerates(crashes, 2500*time.Millisecond))
}

// A crash is evidence against the tasks whose runs had begun recently, not against one whose run had lasted long.
func TestACrashIsEvidenceAgainstRecentRuns(t *testing.T) {
	t.Parallel()
	life := blame.EndedIncarnation{Worker: "w", Lives: 1, Workers: 16, Runs: []blame.EndedRun{
		{Run: 1, Began: true, Age: 10 * time.Millisecond},
		{Run: 2, Began: true, Age: 600 * time.Millisecond},
		{Run: 3, Began: true, Age: 5 * time.Second},
		{Run: 4, Began: true, Age: time.Minute},
	}}
	crashes := life.Evidence()
	must.Eq(t, 1, crashes[0].Company)
	must.False(t, crashes[0].Excused)
	must.False(t, crashes[1].Excused)
	must.True(t, crashes[2].Excused)
	must.Nil(t, crashes[3])
	for _, c := range crashes[:3] {
		must.Eq(t, 3, c.Accused) // the fourth is not
	}
}

// If many workers end at the same time, an external cause is likely. The ends are weak evidence, and only against
// runs that had just begun: several poisonous tasks may have started together.
func TestSimultaneousEndsAreWeakEvidence(t *testing.T) {
	t.Parallel()
	life := blame.EndedIncarnation{Worker: "w", Lives: blame.OutageThreshold(16), Workers: 16, Runs: []blame.EndedRun{
		{Run: 1, Began: true, Age: 10 * time.Millisecond},
		{Run: 2, Began: true, Age: 600 * time.Millisecond},
	}}
	crashes := life.Evidence()
	must.True(t, crashes[0].Outside)
	must.Nil(t, crashes[1])
	must.Eq(t, blame.Trusted, blame.LevelOf([]blame.Crash{*crashes[0]}))
}

// The greatest allowed number of isolated runs crash their workers at the same time, as all their tasks are poisonous.
// That is no sign of an external cause. Further workers without an isolated run that go silent at
// that time are one, from the usual number on.
func TestSimultaneousCrashesOfIsolatedRunsAreNoOutage(t *testing.T) {
	t.Parallel()
	for workers := 1; workers < 400; workers++ {
		trials := blame.MaxIsolatedRuns(workers)
		must.GreaterEq(t, 1, trials)
		life := blame.EndedIncarnation{Worker: "w", Lives: trials, OthersIsolated: trials - 1, Workers: workers, Runs: []blame.EndedRun{{Run: 1, Began: true, Isolated: true}}}
		must.False(t, life.Evidence()[0].Outside, must.Sprintf("%d workers", workers))
		life.Lives += blame.OutageThreshold(workers) - 1
		must.True(t, life.Evidence()[0].Outside, must.Sprintf("%d workers", workers))
	}
}

// Two members of a gang end with one worker: neither counts as company of the other, while a run of another gang does.
func TestMembersOfAGangAreNoCompanyOfEachOther(t *testing.T) {
	t.Parallel()
	life := blame.EndedIncarnation{Worker: "w", Lives: 1, Workers: 16, Runs: []blame.EndedRun{
		{Run: 1, Began: true, Gang: "g"}, {Run: 1, Began: true, Gang: "g"}, {Run: 2, Began: true, Age: 10 * time.Second},
	}}
	for _, c := range life.Evidence()[:2] {
		must.Eq(t, 0, c.Company)
	}
	life.Runs[1].Gang = "other"
	must.Eq(t, 1, life.Evidence()[0].Company)
}

// A run whose crash would make its task poisonous, whatever else may have caused the crash, is known before its start.
func TestADecisiveRunIsKnownBeforeItsStart(t *testing.T) {
	t.Parallel()
	outside := func(run int64) blame.Crash { return with(prompt(run), func(c *blame.Crash) { c.Outside = true }) }
	must.False(t, blame.PoisonousAfterNextCrash(nil))
	must.False(t, blame.PoisonousAfterNextCrash([]blame.Crash{outside(1), outside(2)}))
	must.True(t, blame.PoisonousAfterNextCrash([]blame.Crash{outside(1), outside(2), outside(3)}))
	must.False(t, blame.PoisonousAfterNextCrash([]blame.Crash{prompt(1), prompt(2)}), must.Sprint("a third crash without company decides, but not with a likely external cause"))
}
