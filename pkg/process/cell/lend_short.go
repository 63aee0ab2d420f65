package cell

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
)

// Lending of short tasks. A wide step asks for more room than its cell has at once, and
// the steps of a job may be fillers of different images, for some of which its cell has
// no harmless place: both are spread over the cells that have room.

const (
	// lendFillerAfter is how long a filler waits before it is lent: some looks, in which
	// its neighbours' load may fall, against about 50 ms that a lending takes.
	lendFillerAfter = 400 * time.Millisecond
	// lendPlainAfter is the same for tasks that wait for room: their objectives are the
	// tightest.
	lendPlainAfter = 100 * time.Millisecond
)

// mayLendShort says whether a unit's tasks are of a kind that may run in any cell, each
// by itself.
func (s *State) mayLendShort(u *jobs.Unit) bool {
	if (u.Spec.GetFiller() && !s.has(LendFillers)) || (!u.Spec.GetFiller() && !s.has(LendPlain)) {
		return false
	}
	_, advised := s.advised(u)
	bound := u.Spec.GetGang() || u.Spec.GetLabel() != "" || u.Spec.GetRack() != ""
	return !u.Lasting() && !bound && !advised && !u.Job.Guest()
}

// lendShort leaves those of a unit's waiting tasks that have never been tried to the
// cell where most of them could start at once. (What has failed once stays, so that one
// cell knows how often; what has a checkpoint goes on where that is known; and of what
// ran at a worker that fell silent, a good end may still come to light here.)
func (s *State) lendShort(now time.Time, u *jobs.Unit) {
	after := lendPlainAfter
	if u.Spec.GetFiller() {
		after = lendFillerAfter
	}
	waited := now.Sub(u.ReadyAt)
	if waited < after {
		return
	}
	var fresh []*jobs.Task
	for _, t := range u.Waiting(now) {
		if !hasRun(t) {
			fresh = append(fresh, t)
		}
	}
	name, room := s.shortBorrower(now, u)
	n := min(len(fresh), room)
	if n <= 0 {
		return
	}
	s.countGiven(name, u, n)
	j := u.Job
	s.lent[j] = append(s.lent[j], j.Lend(name, fresh[:n]...))
	s.markDirty(j, true)
	s.touch(now, j)
	s.note(Note{
		What: NoteLent, Job: j.Spec.GetId(), Task: fresh[0].Name(), AgeMs: now.Sub(s.others[name].at).Milliseconds(),
		Detail: fmt.Sprintf("%d of %d waiting tasks to %s with room for %d, after %s", n, len(fresh), name, room, waited.Round(time.Millisecond)),
	})
}

func (s *State) countGiven(name string, u *jobs.Unit, n int) {
	o := s.others[name]
	if u.Spec.GetFiller() {
		o.givenFillers += int64(n) * u.Size.Millicores
	} else {
		o.givenShort += int64(n) * u.Size.Millicores
	}
	s.others[name] = o
}

// shortBorrower is the cell where most tasks of a unit could start at once, and how many
// that may be lent on its word.
func (s *State) shortBorrower(now time.Time, u *jobs.Unit) (best string, most int) {
	for _, name := range slices.Sorted(maps.Keys(s.others)) {
		o := s.others[name]
		if name == s.name || !o.fresh(now) {
			continue
		}
		if room := o.roomFor(u); room > most {
			best, most = name, room
		}
	}
	return best, most
}

// roomFor is how many tasks of a unit may be lent to a cell, by its last word.
func (o otherLoad) roomFor(u *jobs.Unit) int {
	size := max(1, u.Size.Millicores)
	if u.Spec.GetFiller() {
		return int((o.load.GetFillerFreeMillicores()[u.Image()] - o.givenFillers) / size)
	}
	fit := int64(0)
	for _, free := range o.load.GetFreeEach() {
		fit += free / size
	}
	return int(fit/giveShare - o.givenShort/size)
}
