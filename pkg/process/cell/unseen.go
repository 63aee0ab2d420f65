package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/blame"
	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Lives of workers that end while nobody leads the cell, or whose end its leader does not live to record.
// The roster names the lives that earlier leaders could use. A successor that finds one of them over can't
// say which tasks ran there; of those that it finds nowhere, any may have, and may have ended it. That is
// little against each, but it outlasts leaders, so that a task which crashes its workers while leaders
// change is told apart after as many crashes as another. A life is named in the roster until what its end
// says is recorded. Jobs are recorded apart, so of an end some records may stand and others be lost: each says
// of how many tasks there should be one.

// keepLife keeps a life in the roster until what its end says of tasks, which is noted by now, is recorded.
func (s *State) keepLife(w *workers.Worker, born int64) {
	if s.roster[w.ID] && s.earlier[w.ID] == nil {
		s.earlier[w.ID] = &wire.RosterEntry{Id: w.ID, Address: w.Address, Host: w.Host, Service: w.Service, Born: born}
		if s.knowsRuns(w) && len(w.Runs) <= mayRunMost/4 {
			s.earlier[w.ID].RunsKnown, s.earlier[w.ID].MayRun = true, tasksAt(w)
		}
	}
	s.weighedSeq = s.seq
}

// endedUnseen remembers that a life of the roster is over of which this leader never heard a list.
func (s *State) endedUnseen(w *workers.Worker) {
	if s.earlier[w.ID] != nil && !s.settled && !w.Heard && !w.Leaving && !s.earlier[w.ID].GetLeaving() {
		s.unseen = append(s.unseen, w.ID)
	}
}

// unseenEnds are the lives of the roster that have ended and that not all tasks' records tell of, by worker:
// those that are over, and those in whose place another one answers under the same id.
func (s *State) unseenEnds() []string {
	ended := s.unseen
	for _, id := range slices.Sorted(maps.Keys(s.earlier)) {
		w, born := s.workers[id], s.earlier[id].GetBorn()
		if !s.earlier[id].GetLeaving() && w != nil && w.Heard && born != 0 && w.Born != 0 && w.Born != born {
			ended = append(ended, id)
		}
	}
	return slices.DeleteFunc(ended, s.allRecorded)
}

// allRecorded says whether the records hold the end of a worker's incarnation against each task that it was held
// against: a predecessor may have lived to write some of them only. Ended jobs have their records, too.
func (s *State) allRecorded(worker string) bool {
	born, all, held := s.earlier[worker].GetBorn(), 0, 0
	for _, j := range s.jobs {
		for _, u := range j.Units {
			for _, t := range u.Tasks {
				if i := crashOf(t, worker, born); i >= 0 {
					held++
					all = max(all, t.Crashes[i].Accused)
				}
			}
		}
	}
	return held > 0 && held >= all
}

// crashOf is where the end of a worker's incarnation stands among what is held against a task, or -1.
func crashOf(t *jobs.Task, worker string, born int64) int {
	return slices.IndexFunc(t.Crashes, func(c blame.Crash) bool { return c.Worker == worker && c.Born == born })
}

// blameUnseen holds against tasks that were found nowhere that they may have run where incarnations have ended:
// against each the first of those that are not held against it yet. A task of which only isolated runs were to start
// had none: else its record would tell (see trialNowhere).
func (s *State) blameUnseen(now time.Time, nowhere []*jobs.Task) {
	ended := s.unseenEnds()
	if len(ended) == 0 || s.unsafe.NoBlame || s.unsafe.NoUnseen {
		return
	}
	nowhere = slices.DeleteFunc(nowhere, func(t *jobs.Task) bool { return t.IsolatedBefore })
	mayHaveRun := map[string][]*jobs.Task{}
	for _, t := range nowhere {
		first := slices.IndexFunc(ended, func(id string) bool {
			return crashOf(t, id, s.earlier[id].GetBorn()) < 0 && mayHaveRunAt(s.earlier[id], t)
		})
		if first >= 0 {
			mayHaveRun[ended[first]] = append(mayHaveRun[ended[first]], t)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(mayHaveRun)) {
		for _, t := range mayHaveRun[id] {
			c := blame.Unseen(id, s.earlier[id].GetBorn(), len(mayHaveRun[id])-1, len(ended), s.wall)
			s.holdUnseen(now, t, c)
		}
	}
	s.weighedSeq = s.seq
}

// unheardMember is a member that was not heard when the cell settled: the incarnation that earlier leaders could use, and
// the tasks that may have run there.
type unheardMember struct {
	entry *wire.RosterEntry
	tasks []*jobs.Task
}

// rememberUnheard keeps the members that are not heard until it shows whether they have crashed.
func (s *State) rememberUnheard(nowhere []*jobs.Task) {
	for id := range s.unsettled {
		e := s.earlier[id]
		if w := s.workers[id]; e.GetLeaving() || (w != nil && w.Leaving) {
			continue
		}
		s.unheard[id] = unheardMember{e, slices.DeleteFunc(slices.Clone(nowhere), func(t *jobs.Task) bool { return t.IsolatedBefore || !mayHaveRunAt(e, t) })}
	}
}

// unheardEnded holds the end of a member that was not heard against what may have run there.
func (s *State) unheardEnded(now time.Time, id string) {
	u := s.unheard[id]
	delete(s.unheard, id)
	for _, t := range u.tasks {
		if t.Done || t.Unit.Job.Ended() || s.unseenHeld[t] || crashOf(t, id, u.entry.GetBorn()) >= 0 || s.unsafe.NoBlame || s.unsafe.NoUnseen {
			continue
		}
		s.holdUnseen(now, t, blame.Unseen(id, u.entry.GetBorn(), len(u.tasks)-1, 1, s.wall))
	}
}

// holdUnseen holds an end that nobody saw against a task: one for each leader, as it can have run at one of them only.
func (s *State) holdUnseen(now time.Time, t *jobs.Task, c blame.Crash) {
	if t.Accuse(c) {
		s.unseenHeld[t] = true
		s.remember(t)
		s.suspected(now, t, c)
	}
}

// hostAnswers takes in that a worker answers whose host another member ran on that was not heard.
func (s *State) hostAnswers(now time.Time, w *workers.Worker) {
	for _, id := range slices.Sorted(maps.Keys(s.unheard)) {
		if id != w.ID && s.unheard[id].entry.GetHost() == w.Host {
			s.unheardEnded(now, id)
		}
	}
}

// unheardAnswers takes in which incarnation of a member answers that was not heard.
func (s *State) unheardAnswers(now time.Time, w *workers.Worker) {
	u, was := s.unheard[w.ID]
	if !was {
		return
	}
	if born := u.entry.GetBorn(); born != 0 && w.Born != 0 && w.Born != born {
		s.unheardEnded(now, w.ID)
		return
	}
	delete(s.unheard, w.ID)
}

// rosterEntry is what the roster says of a worker: the life whose end has not been weighed yet.
func (s *State) rosterEntry(w *workers.Worker) *wire.RosterEntry {
	e := &wire.RosterEntry{Id: w.ID, Address: w.Address, Host: w.Host, Service: w.Service, Born: w.Born, Leaving: w.Leaving, RunsKnown: w.RunsKnown, MayRun: w.MayRun}
	before := s.earlier[w.ID]
	switch {
	case before.GetBorn() != 0 && w.Born == 0:
		e.Born, e.Leaving = before.GetBorn(), w.Leaving || before.GetLeaving() // it has not answered yet
	case before.GetBorn() != 0 && before.GetBorn() != w.Born:
		e.Born, e.Leaving, e.RunsKnown, e.MayRun = before.GetBorn(), before.GetLeaving(), false, nil
	case before.GetLeaving():
		e.Leaving = true
	}
	return e
}

// forgetEarlier lets go of earlier lives once what their ends say is recorded.
func (s *State) forgetEarlier() {
	if len(s.earlier) > 0 && s.settled && s.recordedUpTo(s.weighedSeq) {
		clear(s.earlier)
	}
}
