package cell

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
)

// Lending of gangs. Where lasting tasks have filled a cell, no wait brings a gang the room for
// all of its tasks at once. So it is left whole to a cell that tells of room for all of them, with how often it
// has failed, what is held against it and its checkpoint. One that has run here, or may have, waits longer
// before: a good end may still come to light here. A cell that has filled up meanwhile gives it back whole.

// lendTriedAfter is how long a gang that has run here waits before it is lent: as long as a lease, after which
// nothing of it can have gone on.
const lendTriedAfter = LongestLease

// mayLendGang says whether a unit is a gang that another cell may run.
func (s *State) mayLendGang(u *jobs.Unit) bool {
	_, advised := s.advised(u)
	return u.Spec.GetGang() && !u.Spec.GetFiller() && !u.Lasting() && !advised && s.has(LendPlain)
}

// lendGang leaves a gang that has waited for long to a cell with room for all of it, or gives
// it back.
func (s *State) lendGang(now time.Time, u *jobs.Unit) {
	if len(u.Waiting(now)) < len(u.Tasks) {
		return
	}
	first := u.Tasks[0]
	waited, after := now.Sub(u.ReadyAt), lendAfter
	if slices.ContainsFunc(u.Tasks, hasRun) {
		after = lendTriedAfter
	}
	if slices.ContainsFunc(u.Tasks, s.triedAlone) {
		after = otherHostFor // another cell would have to try it, too
	}
	if slices.ContainsFunc(u.Tasks, func(t *jobs.Task) bool { return s.awaitsWord(now, t) }) {
		return // it may be given up in a moment
	}
	if u.Job.Guest() {
		if now.Sub(waitsSince(first)) >= returnAfter {
			for _, t := range u.Tasks {
				s.giveBack(now, t)
			}
		}
		return
	}
	if waited < after {
		return
	}
	name, room := s.gangBorrower(now, u, first.RefusedAt)
	if name == "" {
		return
	}
	s.countGiven(name, u, len(u.Tasks))
	j := u.Job
	s.lent[j] = append(s.lent[j], j.Lend(name, u.Tasks...))
	s.markDirty(j, true)
	s.touch(now, j)
	s.note(Note{
		What: NoteLent, Job: j.Spec.GetId(), Task: first.Name(), AgeMs: now.Sub(s.others[name].at).Milliseconds(),
		Detail: fmt.Sprintf("a gang of %d to %s with room for %d, after %s", len(u.Tasks), name, room, waited.Round(time.Millisecond)),
	})
}

// hasRun says whether a task has run here, or may have.
func hasRun(t *jobs.Task) bool {
	return t.Tried || len(t.Crashes) > 0 || len(t.FailedRuns) > 0 || t.Checkpoint != ""
}

// gangBorrower is the cell with the most room for tasks of a gang, if all of it has room there,
// and for how many.
func (s *State) gangBorrower(now time.Time, u *jobs.Unit, refused map[string]time.Time) (best string, most int64) {
	size := max(1, u.Size.Millicores)
	for _, name := range slices.Sorted(maps.Keys(s.others)) {
		o := s.others[name]
		if name == s.name || now.Sub(refused[name]) < refusedFor || !o.fresh(now) || !o.carries(u) {
			continue
		}
		room := -o.givenShort / size
		for _, free := range o.load.GetFreeEach() {
			fit := free / size
			if spread := int64(u.Spec.GetSpread()); spread > 0 {
				fit = min(fit, spread)
			}
			room += fit
		}
		if room >= int64(len(u.Tasks)) && room > most {
			best, most = name, room
		}
	}
	return best, most
}
