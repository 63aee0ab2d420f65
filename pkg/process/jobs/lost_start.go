package jobs

import (
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
)

// A recorded start whose run no worker lists. If the record names the incarnation and that has ended, its end is evidence
// against the task. Until it is known whether it has ended, its unresolved end is evidence like that of a record without
// a name: a run of which nothing is known, with one other possible cause.

// LostStart returns whether a predecessor may have started a run that no worker lists, and the incarnation for it, which
// is unknown in records of older hosts.
func (t *Task) LostStart() (Incarnation, bool) {
	return t.StartAt, t.StartRecord == StartRecorded && len(t.Runs) == 0 && !t.Done
}

// DropStartRecord drops the record of a start whose run has ended without a crash or never began.
func (t *Task) DropStartRecord() { t.StartRecord = NoStartRecord }

// AddUnnamedLostStart adds the evidence of a lost start whose incarnation is unknown.
func (t *Task) AddUnnamedLostStart(at time.Time) {
	t.AddCrash(poisontask.Crash{Company: 1, Lives: 1, At: at})
}

// AddLostStart adds the evidence of a lost start at an incarnation that has ended, or whose end is unresolved.
func (t *Task) AddLostStart(a Incarnation, ended bool, at time.Time) {
	c := poisontask.Crash{Worker: a.Worker, Born: a.Born, Host: a.Host, Lives: 1, Company: 1, Trial: t.startsIsolated(), At: at}
	if ended {
		c.Company = 0
	}
	t.AddCrash(c)
}

// startsIsolated returns whether each start of the task is isolated.
func (t *Task) startsIsolated() bool {
	return t.Level() == poisontask.NeedsIsolation && !t.Unit.Spec.GetGang() && !t.Unit.Lasting()
}

// unresolvedAt returns the incarnation whose unresolved end a crash stands for.
func unresolvedAt(c poisontask.Crash) (Incarnation, bool) {
	at := Incarnation{c.Worker, c.Born, c.Host}
	return at, at.Known() && !c.Unseen && c.Run == 0 && c.Company > 0
}

// ResolveLostStart updates the evidence for an unresolved end that matches: it is confirmed if the incarnation has
// ended, and withdrawn if not. It returns the evidence and whether there was any.
func (t *Task) ResolveLostStart(ended bool, match func(Incarnation) bool) (poisontask.Crash, bool) {
	i := slices.IndexFunc(t.Crashes, func(c poisontask.Crash) bool {
		at, unresolved := unresolvedAt(c)
		return unresolved && match(at)
	})
	if i < 0 {
		return poisontask.Crash{}, false
	}
	crashes := slices.Clone(t.Crashes)
	crashes[i].Company = 0
	c := crashes[i]
	if !ended {
		crashes = slices.Delete(crashes, i, i+1)
	}
	t.setEvidence(crashes)
	if !t.NeedsStartRecord() && len(t.Runs) == 0 {
		t.DropStartRecord()
	}
	return c, true
}
