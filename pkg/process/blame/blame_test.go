package blame_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/blame"
)

// soon is a crash 10 ms after the start of a run that was alone, at a host of its own.
func soon(run int64) blame.Crash {
	return blame.Crash{Run: run, Began: true, Age: 10 * time.Millisecond, Lives: 1}
}

func with(c blame.Crash, change func(*blame.Crash)) blame.Crash {
	change(&c)
	return c
}

func TestHowMuchATaskIsSuspected(t *testing.T) {
	t.Parallel()
	beside := func(run int64) blame.Crash { return with(soon(run), func(c *blame.Crash) { c.Company = 8 }) }
	late := func(run int64) blame.Crash {
		return with(soon(run), func(c *blame.Crash) { c.Age = 3 * time.Second })
	}
	outside := func(run int64) blame.Crash { return with(soon(run), func(c *blame.Crash) { c.Outside = true }) }
	silent := func(run int64) blame.Crash { return with(soon(run), func(c *blame.Crash) { c.Silent = true }) }
	again := func(run int64) blame.Crash { return with(soon(run), func(c *blame.Crash) { c.Again = true }) }
	unseen := blame.Crash{Company: 1}
	nowhere := blame.Unseen("w", 1, 20, 1, time.Unix(1000, 0))
	for _, c := range []struct {
		name    string
		crashes []blame.Crash
		want    blame.Level
	}{
		{"nothing", nil, blame.Trusted},
		{"one crash among neighbours", []blame.Crash{beside(1)}, blame.Suspect},
		{"one that came late", []blame.Crash{late(1)}, blame.Trusted},
		{"one among many workers", []blame.Crash{outside(1)}, blame.Trusted},
		{"two soon after the start", []blame.Crash{beside(1), beside(2)}, blame.OnTrial},
		{"two among many workers", []blame.Crash{outside(1), outside(2)}, blame.OnTrial},
		{"two silent workers accuse, and don't try", []blame.Crash{silent(1), silent(2)}, blame.Suspect},
		{"a third, alone", []blame.Crash{beside(1), beside(2), soon(3)}, blame.Guilty},
		{"a third, with company", []blame.Crash{beside(1), beside(2), beside(3)}, blame.OnTrial},
		{"a third, alone, and only silent", []blame.Crash{beside(1), beside(2), silent(3)}, blame.OnTrial},
		{"a third, alone, as many workers fall silent", []blame.Crash{beside(1), beside(2), outside(3)}, blame.OnTrial},
		{"a fourth, whatever else may have done it", []blame.Crash{outside(1), outside(2), outside(3), outside(4)}, blame.Guilty},
		{"three at one host", []blame.Crash{soon(1), again(2), again(3)}, blame.OnTrial},
		{"ages that differ name nobody", []blame.Crash{late(1), late(2), late(3), soon(4)}, blame.OnTrial},
		{"four late ones, the last alone", []blame.Crash{late(1), late(2), late(3), late(4)}, blame.Guilty},
		{"five, of which one run is known to have begun", []blame.Crash{beside(1), unseen, unseen, unseen, unseen}, blame.OnTrial},
		{"five, with those that nobody saw", []blame.Crash{beside(1), unseen, beside(2), unseen, beside(3)}, blame.Guilty},
		{"many lives that ended unseen", []blame.Crash{nowhere, nowhere, nowhere}, blame.Trusted},
		{"two of them and one that was seen", []blame.Crash{nowhere, nowhere, beside(1)}, blame.OnTrial},
		{"three of them and two that were seen, the last alone", []blame.Crash{nowhere, nowhere, nowhere, beside(1), soon(2)}, blame.Guilty},
		{"two of them and two that were seen, the last alone", []blame.Crash{nowhere, nowhere, beside(1), soon(2)}, blame.Guilty},
		{"the same with one that came late", []blame.Crash{nowhere, nowhere, late(1), soon(2)}, blame.OnTrial},
		{"one of them and two that were seen, the last alone", []blame.Crash{nowhere, beside(1), soon(2)}, blame.OnTrial},
		{"two of them and three that were seen, the last alone, as many workers fall silent", []blame.Crash{nowhere, nowhere, beside(1), outside(2), outside(3)}, blame.Guilty},
		{"the same, the last with company", []blame.Crash{nowhere, nowhere, nowhere, beside(1), beside(2)}, blame.OnTrial},
		{"the same, the last as many workers fall silent", []blame.Crash{nowhere, nowhere, nowhere, beside(1), outside(2)}, blame.OnTrial},
		{"one of them, two isolated runs found nowhere, and two that were seen, the last alone, as many workers fall silent", []blame.Crash{nowhere, beside(1), unseen, unseen, outside(2)}, blame.Guilty},
		{"two of them, one isolated run found nowhere, one that was seen, and one as many workers fall silent, with company", []blame.Crash{nowhere, nowhere, unseen, beside(1), with(outside(2), func(c *blame.Crash) { c.Company = 3 })}, blame.OnTrial},
		{"orders that may never have come", []blame.Crash{with(soon(1), func(c *blame.Crash) { c.Began = false }), with(soon(2), func(c *blame.Crash) { c.Began = false }), soon(3)}, blame.OnTrial},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			must.Eq(t, c.want.String(), blame.LevelOf(c.crashes).String())
		})
	}
}

func TestARunThatOutlivesItsCrashesClearsItsTask(t *testing.T) {
	t.Parallel()
	crashes := []blame.Crash{{Age: 10 * time.Millisecond}, {Age: time.Second}}
	must.False(t, blame.Outlived(crashes, 3500*time.Millisecond))
	must.True(t, blame.Outlived(crashes, 4*time.Second))
	must.False(t, blame.EndedWell(crashes, 2*time.Second))
	must.True(t, blame.EndedWell(crashes, 2500*time.Millisecond))
}

// Of what ran at a worker, that which had just begun is accused; not what had run for long.
func TestTheEndOfALifeAccusesWhatHadJustBegun(t *testing.T) {
	t.Parallel()
	life := blame.Life{Worker: "w", Lives: 1, Workers: 16, Runs: []blame.Seen{
		{Run: 1, Began: true, Age: 10 * time.Millisecond},
		{Run: 2, Began: true, Age: 600 * time.Millisecond},
		{Run: 3, Began: true, Age: 5 * time.Second},
		{Run: 4, Began: true, Age: time.Minute},
	}}
	crashes := life.Accuse()
	must.Eq(t, 1, crashes[0].Company)
	must.False(t, crashes[0].Excused)
	must.False(t, crashes[1].Excused)
	must.True(t, crashes[2].Excused)
	must.Nil(t, crashes[3])
	for _, c := range crashes[:3] {
		must.Eq(t, 3, c.Accused) // the fourth is not
	}
}

// Many lives that end in one moment have a cause outside: only what had just begun is accused, and
// for less; several tasks that crash their workers may be started together.
func TestManyLivesThatEndInOneMomentAccuseLittle(t *testing.T) {
	t.Parallel()
	life := blame.Life{Worker: "w", Lives: blame.Many(16), Workers: 16, Runs: []blame.Seen{
		{Run: 1, Began: true, Age: 10 * time.Millisecond},
		{Run: 2, Began: true, Age: 600 * time.Millisecond},
	}}
	crashes := life.Accuse()
	must.True(t, crashes[0].Outside)
	must.Nil(t, crashes[1])
	must.Eq(t, blame.Trusted, blame.LevelOf([]blame.Crash{*crashes[0]}))
}

// As many trials as may be on at a time end in one moment, since each is of a task that crashes its worker: none
// of them is excused by the others. One more worker that falls silent then, where none was on, speaks for
// a cause outside as it did before.
func TestTrialsThatEndTogetherAreNotExcusedByEachOther(t *testing.T) {
	t.Parallel()
	for workers := 1; workers < 400; workers++ {
		trials := blame.Trials(workers)
		must.GreaterEq(t, 1, trials)
		life := blame.Life{Worker: "w", Lives: trials, Tried: trials - 1, Workers: workers, Runs: []blame.Seen{{Run: 1, Began: true, Trial: true}}}
		must.False(t, life.Accuse()[0].Outside, must.Sprintf("%d workers", workers))
		life.Lives += blame.Many(workers) - 1
		must.True(t, life.Accuse()[0].Outside, must.Sprintf("%d workers", workers))
	}
}

// Members of a gang end with one worker: neither is excused by the other, as a neighbour would be.
func TestMembersOfAGangAreNoCompany(t *testing.T) {
	t.Parallel()
	life := blame.Life{Worker: "w", Lives: 1, Workers: 16, Runs: []blame.Seen{
		{Run: 1, Began: true, Gang: "g"}, {Run: 1, Began: true, Gang: "g"}, {Run: 2, Began: true, Age: 10 * time.Second},
	}}
	for _, c := range life.Accuse()[:2] {
		must.Eq(t, 0, c.Company)
	}
	life.Runs[1].Gang = "other"
	must.Eq(t, 1, life.Accuse()[0].Company)
}

// A run after whose crash a task is given up, whatever else may have caused it, is told from others before its start.
func TestTheRunThatDecidesIsKnownBeforeItsStart(t *testing.T) {
	t.Parallel()
	outside := func(run int64) blame.Crash { return with(soon(run), func(c *blame.Crash) { c.Outside = true }) }
	must.False(t, blame.NextDecides(nil))
	must.False(t, blame.NextDecides([]blame.Crash{outside(1), outside(2)}))
	must.True(t, blame.NextDecides([]blame.Crash{outside(1), outside(2), outside(3)}))
	must.False(t, blame.NextDecides([]blame.Crash{soon(1), soon(2)}), must.Sprint("a third one alone decides, with a cause outside it does not"))
}
