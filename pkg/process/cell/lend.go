package cell

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Lending. A lasting task that finds no room in its cell is left to another one
// for good. All rows of a job share one part of the table, so one transaction
// records here that the task is lent and gives the other cell a specification
// with just that task. The job stays here: its state is told, and its cancel is
// carried out, by this cell, which passes the cancel on in the transaction that
// records it. Short tasks are not lent: room comes before the word would.

const (
	// lendAfter is how long a lasting task waits before it is lent. After six
	// seconds without a run it is late by the platform's rules.
	lendAfter = 1500 * time.Millisecond
	// othersFresh is how old another cell's load may be.
	othersFresh = 3 * time.Second
)

// otherLoad is what the leader of another cell told, and when.
type otherLoad struct {
	load *wire.CellLoad
	at   time.Time
}

// lend leaves lasting tasks that have waited for long to cells with room.
func (s *State) lend(now time.Time) {
	var units []*jobs.Unit
	for u := range s.waiting {
		if u.Lasting() && !u.Job.Guest() {
			units = append(units, u)
		}
	}
	slices.SortFunc(units, func(a, b *jobs.Unit) int {
		if a.Name() < b.Name() {
			return -1
		}
		return 1
	})
	for _, u := range units {
		for _, t := range u.Waiting(now) {
			if now.Sub(waitsSince(t)) >= lendAfter {
				s.lendTask(now, t)
			}
		}
	}
}

// waitsSince is since when a task wants to run.
func waitsSince(t *jobs.Task) time.Time {
	if t.WaitsSince.IsZero() {
		return t.Unit.Job.AcceptedAt
	}
	return t.WaitsSince
}

func (s *State) lendTask(now time.Time, t *jobs.Task) {
	size := t.Unit.Size.Millicores
	for _, name := range slices.Sorted(maps.Keys(s.others)) {
		o := s.others[name]
		if name == s.name || now.Sub(o.at) > othersFresh || o.load.GetLargestFreeMillicores() < size {
			continue
		}
		j := t.Unit.Job
		s.lent[j] = append(s.lent[j], j.Lend(t, name))
		// One word of room is for one task.
		delete(s.others, name)
		s.markDirty(j, true)
		s.touch(j)
		s.note(Note{
			What: NoteLent, Job: j.Spec.GetId(), Task: t.Name(), AgeMs: now.Sub(o.at).Milliseconds(),
			Detail: fmt.Sprintf("to %s with %d millicores free, after %s", name, o.load.GetLargestFreeMillicores(), now.Sub(waitsSince(t)).Round(time.Millisecond)),
		})
		return
	}
}
