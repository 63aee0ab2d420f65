package jobs

import (
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
)

// A recorded isolated run that no worker lists, if the record names the incarnation for it. Until it is known whether
// that incarnation has ended, its unresolved end is evidence like that of a record without a name: an isolated run of
// which nothing is known, with one other possible cause.

// LostIsolatedAt returns the incarnation at which a predecessor may have started an isolated run that no worker lists.
// It returns false if there is no such run, if the record does not name the incarnation, or if the task may also have
// started without isolation.
func (t *Task) LostIsolatedAt() (IsolatedAt, bool) {
	lost := t.Isolation == IsolationRecorded && len(t.Runs) == 0 && !t.Done
	return t.IsolatedAt, lost && t.IsolatedAt.Known() && t.IsolatedByRecord
}

// DropIsolation drops the record of an isolated run, which has ended without a crash or never began.
func (t *Task) DropIsolation() { t.Isolation = NoIsolation }

// AddLostIsolatedRun adds the crash of an isolated run at an incarnation that has ended, or whose end is unresolved.
func (t *Task) AddLostIsolatedRun(a IsolatedAt, ended bool, at time.Time) {
	c := poisontask.Crash{Worker: a.Worker, Born: a.Born, Host: a.Host, Lives: 1, Company: 1, Trial: true, At: at}
	if ended {
		c.Company = 0
	}
	t.AddCrash(c)
}

// unresolvedAt returns the incarnation whose unresolved end a crash stands for.
func unresolvedAt(c poisontask.Crash) (IsolatedAt, bool) {
	at := IsolatedAt{c.Worker, c.Born, c.Host}
	return at, at.Known() && c.Trial && c.Run == 0 && c.Company > 0
}

// ResolveLostIsolatedRun updates the evidence for an unresolved end that matches: it is confirmed if the incarnation has
// ended, and withdrawn if not. It returns the evidence and whether there was any.
func (t *Task) ResolveLostIsolatedRun(ended bool, match func(IsolatedAt) bool) (poisontask.Crash, bool) {
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
	if t.Level() < poisontask.NeedsIsolation && len(t.Runs) == 0 {
		t.DropIsolation() // the next run need not be isolated
	}
	return c, true
}
