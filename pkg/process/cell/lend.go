package cell

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/blame"
	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Lending. A lasting task that finds no room in its cell is left to another one, and so
// are short ones (lend_short.go) and gangs (lend_gang.go). All rows of a job share one part of the table, so one
// transaction records here that the task is lent and gives the other cell a
// specification with just that task. The job stays here: its state is told, and its
// cancel is carried out, by this cell, which passes the cancel on in the transaction that
// records it. The other cell reports what is done, or has failed for good, in a row among
// the cancels here. While the table does not answer nothing is lent: it would start
// neither there nor here.
//
// A cell that has filled up meanwhile gives a lent task back, once another cell tells
// of room, in a row that the keeping cell's leader follows: from then on that one
// alone may start it, or lend it again, elsewhere first. Lendings are numbered, so that
// what is said of an earlier one counts no more.

const (
	// lendAfter is how long a lasting task waits before it is lent. After six
	// seconds without a run it is late by the platform's rules; in the first two, room
	// often comes up in its own cell.
	lendAfter = 2 * time.Second
	// ownCellFirst is how long a task that comes to wait is left to its own cell, whatever its wait
	// before.
	ownCellFirst = 300 * time.Millisecond
	// fitsToLend is how often a lasting task must fit into the free room of the other
	// cells together, for it to be lent: the platform's rules want it to run where there
	// is room for it twice over. The last place is left to short tasks, which earn more there.
	fitsToLend = 2
	// returnAfter is how long a lent task waits before it is given back.
	returnAfter = 1500 * time.Millisecond
	// refusedFor is how long a cell that gave a task back is not lent it again: its
	// room was in pieces too small, and it takes a task or two to end to change that. It
	// is less than the three seconds in which capacity has to be used.
	refusedFor = 2200 * time.Millisecond
	// giveShare is the part of another cell's free room that may be filled on one
	// word of it: others lend to it too, and its room is in pieces.
	giveShare = 2
	// lendToHoldAfter is how long a lasting task waits before it is lent to a cell where
	// room is yet to be made for it: there, short tasks are kept off a worker until it
	// has room, which a cell full of lasting tasks can't do.
	// That takes from short ones, so it is for a wait that would have no end otherwise.
	lendToHoldAfter = 10 * time.Second
	// othersFresh is how old another cell's load may be.
	othersFresh = 3 * time.Second
	// lendConfirmed is how old the last renewal of the leadership may be, for the table to
	// count as answering: renewals come every 0.4 s.
	lendConfirmed = time.Second
)

// otherLoad is what the leader of another cell told, and when.
type otherLoad struct {
	load *wire.CellLoad
	at   time.Time
	// given is what was lent to it since, in millicores; givenFillers and givenShort
	// the same of fillers and of other short tasks.
	given, givenFillers, givenShort int64
}

// tableAnswers says whether what is lent now is likely to be recorded soon.
func (s *State) tableAnswers(now time.Time) bool {
	for _, p := range s.parts {
		if p.failing {
			return false
		}
	}
	return now.Sub(s.confirmedAt) <= lendConfirmed
}

// lend leaves tasks that have waited for long to cells with room.
func (s *State) lend(now time.Time) {
	if !s.tableAnswers(now) {
		return
	}
	var units []*jobs.Unit
	for u := range s.waiting {
		if (u.Lasting() && s.has(LendLasting)) || s.mayLendShort(u) || s.mayLendGang(u) {
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
		if s.mayLendGang(u) {
			s.lendGang(now, u)
			continue
		}
		if !u.Lasting() {
			s.lendShort(now, u)
			continue
		}
		for _, t := range u.Waiting(now) {
			waited := now.Sub(waitsSince(t))
			switch {
			case u.Job.Guest() && now.Sub(hereSince(t)) >= returnAfter:
				s.giveBack(now, t)
			case s.awaitsWord(now, t) && t.Level() >= blame.OnTrial:
				// It may be given up in a moment.
			case !u.Job.Guest() && waited >= lendAfter && now.Sub(hereSince(t)) >= ownCellFirst:
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

// hereSince is since when a task waits in this cell, as far as this leader knows.
func hereSince(t *jobs.Task) time.Time {
	if t.HereSince.IsZero() {
		return t.Unit.ReadyAt
	}
	return t.HereSince
}

func (s *State) lendTask(now time.Time, t *jobs.Task) {
	size := t.Unit.Size.Millicores
	name := s.borrower(now, t.Unit, t.RefusedAt)
	if name == "" && now.Sub(waitsSince(t)) >= lendToHoldAfter {
		name = s.holder(now, t.Unit, t.RefusedAt)
	}
	if name == "" {
		return
	}
	o := s.others[name]
	o.given += size
	s.others[name] = o
	j := t.Unit.Job
	t.Waited = now.Sub(waitsSince(t))
	s.lent[j] = append(s.lent[j], j.Lend(name, t))
	s.markDirty(j, true)
	s.touch(now, j)
	s.note(Note{
		What: NoteLent, Job: j.Spec.GetId(), Task: t.Name(), AgeMs: now.Sub(o.at).Milliseconds(),
		Detail: fmt.Sprintf(
			"to %s with %d millicores free, %d given since it said so, after %s",
			name, o.load.GetFreeMillicores(), o.given, now.Sub(waitsSince(t)).Round(time.Millisecond),
		),
	})
}

// giveBack leaves a lent task to the cell that keeps its job, if any other cell tells
// of room for it.
func (s *State) giveBack(now time.Time, t *jobs.Task) {
	j := t.Unit.Job
	name := s.borrower(now, t.Unit, nil)
	if name == "" || j.Spec.GetHome() == "" || len(t.Runs) > 0 {
		return
	}
	t.Waited = now.Sub(waitsSince(t))
	j.GiveBack(t)
	s.markDirty(j, true)
	s.touch(now, j)
	s.note(Note{
		What: NoteGivenBack, Job: j.Spec.GetId(), Task: t.Name(), AgeMs: now.Sub(s.others[name].at).Milliseconds(),
		Detail: fmt.Sprintf("to %s, room at %s, after %s", j.Spec.GetHome(), name, now.Sub(waitsSince(t)).Round(time.Millisecond)),
	})
}

// takeReturned takes in tasks that another cell gives back.
func (s *State) takeReturned(now time.Time, r *wire.ReturnedTasks) {
	j := s.jobs[r.GetId()]
	if j == nil || s.phase != leading {
		return
	}
	if j.Ended() {
		j.TakeBack(r, now, s.newSettled())
		s.markDirty(j, false) // so that the report's row goes
		return
	}
	news := j.TakeBack(r, now, s.newSettled())
	if !news && r.GetFailed() == "" {
		return
	}
	s.note(Note{
		What: NoteTakenBack, Job: r.GetId(), AgeMs: -1,
		Detail: fmt.Sprintf("%d tasks given back, %d done, from %s %s", len(r.GetTasks()), len(r.GetDone()), r.GetFrom(), r.GetFailed()),
	})
	if r.GetFailed() != "" {
		s.endJob(now, j, wire.JobPhase_JOB_PHASE_FAILED, r.GetFailed())
		return
	}
	s.recall(now, j)
	s.holdBackNamed(j)
	s.markDirty(j, true)
	s.touch(now, j)
	s.completeIfDone(now, j)
}

// fresh says whether the load is new enough, and tells of a cell where a task that comes may start.
func (o otherLoad) fresh(now time.Time) bool {
	return now.Sub(o.at) <= othersFresh && o.load.GetSettlesInMs() == 0
}

// carries says whether the cell has workers with the label that a unit requires.
func (o otherLoad) carries(u *jobs.Unit) bool {
	return u.Spec.GetLabel() == "" || slices.Contains(o.load.GetLabels(), u.Spec.GetLabel())
}

// freeFor is what is free at each worker that a unit's tasks may take.
func (o otherLoad) freeFor(u *jobs.Unit) []int64 {
	if each := o.load.GetLastingFreeEach(); u.Lasting() && len(each) > 0 {
		return each
	}
	return o.load.GetFreeEach()
}

// fitsElsewhere is how many tasks of a unit would find room in the other cells, by their
// last words and what was lent to them since.
func (s *State) fitsElsewhere(now time.Time, u *jobs.Unit) int64 {
	size := max(1, u.Size.Millicores)
	fits := int64(0)
	for name, o := range s.others {
		if name == s.name || !o.fresh(now) || !o.carries(u) {
			continue
		}
		for _, free := range o.freeFor(u) {
			fits += free / size
		}
		fits -= o.given / size
	}
	return fits
}

// borrower is the cell with the most room left for a task of a unit, but for those that
// have just refused it; none, if the others have too little room together.
func (s *State) borrower(now time.Time, u *jobs.Unit, refused map[string]time.Time) string {
	if s.fitsElsewhere(now, u) < fitsToLend {
		return ""
	}
	size := u.Size.Millicores
	best, most := "", int64(-1)
	for _, name := range slices.Sorted(maps.Keys(s.others)) {
		o := s.others[name]
		if name == s.name || now.Sub(refused[name]) < refusedFor || !o.fresh(now) || !o.carries(u) {
			continue
		}
		if o.load.GetLargestFreeMillicores() < size {
			continue
		}
		left := o.load.GetFreeMillicores()/giveShare - o.given
		if o.given > 0 && left < size {
			continue
		}
		if left > most {
			best, most = name, left
		}
	}
	return best
}

// holder is the cell that could make the most room for a lasting task of a unit, but for
// those that have just refused it. One is lent on a word of that.
func (s *State) holder(now time.Time, u *jobs.Unit, refused map[string]time.Time) string {
	best, most := "", u.Size.Millicores-1
	for _, name := range slices.Sorted(maps.Keys(s.others)) {
		o := s.others[name]
		if name == s.name || o.given > 0 || !o.carries(u) || now.Sub(refused[name]) < refusedFor || !o.fresh(now) {
			continue
		}
		if room := o.load.GetLargestLastingMillicores(); room > most {
			best, most = name, room
		}
	}
	return best
}
