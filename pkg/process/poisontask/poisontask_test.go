package poisontask_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
)

// prompt is a crash 10 ms after the start of a run without company, at a new host.
func prompt(run int64) poisontask.Crash {
	return poisontask.Crash{Run: run, Began: true, Age: 10 * time.Millisecond, Lives: 1}
}

func with(c poisontask.Crash, change func(*poisontask.Crash)) poisontask.Crash {
	change(&c)
	return c
}

func TestLevelOf(t *testing.T) {
	t.Parallel()
	withCompany := func(run int64) poisontask.Crash {
		return with(prompt(run), func(c *poisontask.Crash) { c.Company = 8 })
	}
	late := func(run int64) poisontask.Crash {
		return with(prompt(run), func(c *poisontask.Crash) { c.Age = 3 * time.Second })
	}
	outside := func(run int64) poisontask.Crash {
		return with(prompt(run), func(c *poisontask.Crash) { c.Outside = true })
	}
	silent := func(run int64) poisontask.Crash {
		return with(prompt(run), func(c *poisontask.Crash) { c.Silent = true })
	}
	again := func(run int64) poisontask.Crash {
		return with(prompt(run), func(c *poisontask.Crash) { c.Again = true })
	}
	lostIsolated := poisontask.Crash{Company: 1}
	unobserved := poisontask.UnobservedCrash("w", 1, 20, 1, time.Unix(1000, 0))
	for _, c := range []struct {
		name    string
		crashes []poisontask.Crash
		want    poisontask.Level
	}{
		{"no crashes", nil, poisontask.Trusted},
		{"one with company", []poisontask.Crash{withCompany(1)}, poisontask.Suspected},
		{"one late", []poisontask.Crash{late(1)}, poisontask.Trusted},
		{"one external", []poisontask.Crash{outside(1)}, poisontask.Trusted},
		{"two prompt ones with company", []poisontask.Crash{withCompany(1), withCompany(2)}, poisontask.NeedsIsolation},
		{"two external", []poisontask.Crash{outside(1), outside(2)}, poisontask.NeedsIsolation},
		{"two silent workers are no reason for isolated runs", []poisontask.Crash{silent(1), silent(2)}, poisontask.Suspected},
		{"two with company, the third without", []poisontask.Crash{withCompany(1), withCompany(2), prompt(3)}, poisontask.Poisonous},
		{"three with company", []poisontask.Crash{withCompany(1), withCompany(2), withCompany(3)}, poisontask.NeedsIsolation},
		{"two with company, the third without and only silent", []poisontask.Crash{withCompany(1), withCompany(2), silent(3)}, poisontask.NeedsIsolation},
		{"two with company, the third without and external", []poisontask.Crash{withCompany(1), withCompany(2), outside(3)}, poisontask.NeedsIsolation},
		{"four external at different hosts", []poisontask.Crash{outside(1), outside(2), outside(3), outside(4)}, poisontask.Poisonous},
		{"three without company at one host", []poisontask.Crash{prompt(1), again(2), again(3)}, poisontask.NeedsIsolation},
		{"three late, one prompt: different run ages", []poisontask.Crash{late(1), late(2), late(3), prompt(4)}, poisontask.NeedsIsolation},
		{"four late without company", []poisontask.Crash{late(1), late(2), late(3), late(4)}, poisontask.Poisonous},
		{"five, one of them known to have begun", []poisontask.Crash{withCompany(1), lostIsolated, lostIsolated, lostIsolated, lostIsolated}, poisontask.NeedsIsolation},
		{"five, two of them isolated runs found nowhere", []poisontask.Crash{withCompany(1), lostIsolated, withCompany(2), lostIsolated, withCompany(3)}, poisontask.Poisonous},
		{"three unobserved", []poisontask.Crash{unobserved, unobserved, unobserved}, poisontask.Trusted},
		{"two unobserved, one with company", []poisontask.Crash{unobserved, unobserved, withCompany(1)}, poisontask.NeedsIsolation},
		{"three unobserved, one with company, the last without", []poisontask.Crash{unobserved, unobserved, unobserved, withCompany(1), prompt(2)}, poisontask.Poisonous},
		{"two unobserved, one with company, the last without", []poisontask.Crash{unobserved, unobserved, withCompany(1), prompt(2)}, poisontask.Poisonous},
		{"two unobserved, one late, the last prompt without company", []poisontask.Crash{unobserved, unobserved, late(1), prompt(2)}, poisontask.NeedsIsolation},
		{"one unobserved, one with company, the last without", []poisontask.Crash{unobserved, withCompany(1), prompt(2)}, poisontask.NeedsIsolation},
		{"two unobserved, one with company, two external", []poisontask.Crash{unobserved, unobserved, withCompany(1), outside(2), outside(3)}, poisontask.Poisonous},
		{"three unobserved, two with company", []poisontask.Crash{unobserved, unobserved, unobserved, withCompany(1), withCompany(2)}, poisontask.NeedsIsolation},
		{"three unobserved, one with company, the last external", []poisontask.Crash{unobserved, unobserved, unobserved, withCompany(1), outside(2)}, poisontask.NeedsIsolation},
		{"one unobserved, one with company, two isolated runs found nowhere, the last external", []poisontask.Crash{unobserved, withCompany(1), lostIsolated, lostIsolated, outside(2)}, poisontask.Poisonous},
		{"two unobserved, one isolated run found nowhere, one with company, the last external with company", []poisontask.Crash{unobserved, unobserved, lostIsolated, withCompany(1), with(outside(2), func(c *poisontask.Crash) { c.Company = 3 })}, poisontask.NeedsIsolation},
		{"two runs not known to have begun", []poisontask.Crash{with(prompt(1), func(c *poisontask.Crash) { c.Began = false }), with(prompt(2), func(c *poisontask.Crash) { c.Began = false }), prompt(3)}, poisontask.NeedsIsolation},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			must.Eq(t, c.want.String(), poisontask.LevelOf(c.crashes).String())
		})
	}
}

func TestALongRunExoneratesItsTask(t *testing.T) {
	t.Parallel()
	crashes := []poisontask.Crash{{Age: 10 * time.Millisecond}, {Age: time.Second}}
	must.False(t, poisontask.Exonerates(crashes, 3500*time.Millisecond))
	must.True(t, poisontask.Exonerates(crashes, 4*time.Second))
	must.False(t, poisontask.EndExonerates(crashes, 2*time.Second))
	must.True(t, poisontask.EndExonerates(crashes, 2500*time.Millisecond))
}

// A crash is evidence against the tasks whose runs had begun recently, not against one whose run had lasted long.
func TestACrashIsEvidenceAgainstRecentRuns(t *testing.T) {
	t.Parallel()
	ended := poisontask.EndedIncarnation{Worker: "w", SimultaneousEnds: 1, Workers: 16, Runs: []poisontask.EndedRun{
		{Run: 1, Began: true, Age: 10 * time.Millisecond},
		{Run: 2, Began: true, Age: 600 * time.Millisecond},
		{Run: 3, Began: true, Age: 5 * time.Second},
		{Run: 4, Began: true, Age: time.Minute},
	}}
	crashes := ended.Evidence()
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
	ended := poisontask.EndedIncarnation{Worker: "w", SimultaneousEnds: poisontask.OutageThreshold(16), Workers: 16, Runs: []poisontask.EndedRun{
		{Run: 1, Began: true, Age: 10 * time.Millisecond},
		{Run: 2, Began: true, Age: 600 * time.Millisecond},
	}}
	crashes := ended.Evidence()
	must.True(t, crashes[0].Outside)
	must.Nil(t, crashes[1])
	must.Eq(t, poisontask.Trusted, poisontask.LevelOf([]poisontask.Crash{*crashes[0]}))
}

// The greatest allowed number of isolated runs crash their workers at the same time, as all their tasks are poisonous.
// That is no sign of an external cause. Further workers without an isolated run that go silent at
// that time are one, from the usual number on.
func TestSimultaneousCrashesOfIsolatedRunsAreNoOutage(t *testing.T) {
	t.Parallel()
	for workers := 1; workers < 400; workers++ {
		isolated := poisontask.MaxIsolatedRuns(workers)
		must.GreaterEq(t, 1, isolated)
		ended := poisontask.EndedIncarnation{Worker: "w", SimultaneousEnds: isolated, OthersIsolated: isolated - 1, Workers: workers, Runs: []poisontask.EndedRun{{Run: 1, Began: true, Isolated: true}}}
		must.False(t, ended.Evidence()[0].Outside, must.Sprintf("%d workers", workers))
		ended.SimultaneousEnds += poisontask.OutageThreshold(workers) - 1
		must.True(t, ended.Evidence()[0].Outside, must.Sprintf("%d workers", workers))
	}
}

// Two members of a gang end with one worker: neither counts as company of the other, while a run of another gang does.
func TestMembersOfAGangAreNoCompanyOfEachOther(t *testing.T) {
	t.Parallel()
	ended := poisontask.EndedIncarnation{Worker: "w", SimultaneousEnds: 1, Workers: 16, Runs: []poisontask.EndedRun{
		{Run: 1, Began: true, Gang: "g"}, {Run: 1, Began: true, Gang: "g"}, {Run: 2, Began: true, Age: 10 * time.Second},
	}}
	for _, c := range ended.Evidence()[:2] {
		must.Eq(t, 0, c.Company)
	}
	ended.Runs[1].Gang = "other"
	must.Eq(t, 1, ended.Evidence()[0].Company)
}

// A run whose crash would make its task poisonous, whatever else may have caused the crash, is known before its start.
func TestADecisiveRunIsKnownBeforeItsStart(t *testing.T) {
	t.Parallel()
	outside := func(run int64) poisontask.Crash {
		return with(prompt(run), func(c *poisontask.Crash) { c.Outside = true })
	}
	must.False(t, poisontask.PoisonousAfterNextCrash(nil))
	must.False(t, poisontask.PoisonousAfterNextCrash([]poisontask.Crash{outside(1), outside(2)}))
	must.True(t, poisontask.PoisonousAfterNextCrash([]poisontask.Crash{outside(1), outside(2), outside(3)}))
	must.False(t, poisontask.PoisonousAfterNextCrash([]poisontask.Crash{prompt(1), prompt(2)}), must.Sprint("a third crash without company decides, but not with a likely external cause"))
}
