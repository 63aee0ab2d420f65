package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Unobserved ends: incarnations of workers that ended while the cell had no leader, or whose leader ended before it
// recorded what ran there.
//
// The membership row names the incarnations that earlier leaders could use. When a successor finds that one of them has
// ended, it can't tell which tasks ran there. Any task without a known run may have run there and crashed the worker.
// That is weak crash evidence against each of these tasks, but it is recorded and outlasts leaders. So a poisonous task
// is identified after as many crashes while leaders change as under one leader.
//
// The membership row names an ended incarnation, as a retained member, until the crash evidence from its end is
// recorded. Each job's evidence is recorded separately, so some records of an end may be written and others lost.
// Therefore each record holds the number of tasks that the end implicates (Accused).

// maxNamedAtEnd bounds how many tasks the membership row names for one ended incarnation.
const maxNamedAtEnd = maxNamedTasks / 4

// retainMember retains an ended incarnation of a worker, which began at born, in the membership row until the evidence
// from its end is recorded. The caller has added that evidence to the tasks. The entry names the tasks that ran there
// if all of them are known and they are few.
func (s *State) retainMember(w *workers.Worker, born int64) {
	if s.recordedMembers[w.ID] && s.retainedMembers[w.ID] == nil {
		s.retainedMembers[w.ID] = &wire.RosterEntry{Id: w.ID, Address: w.Address, Host: w.Host, Service: w.Service, Born: born}
		if s.holdsOnlyKnownRuns(w) && len(w.Runs) <= maxNamedAtEnd {
			s.retainedMembers[w.ID].RunsKnown, s.retainedMembers[w.ID].MayRun = true, taskNamesAt(w)
		}
	}
	s.evidenceSeq = s.changeSeq
}

// addUnobservedEnd remembers that an incarnation of the membership row has ended without ever answering this leader. It
// leaves out leaving workers, whose end is no evidence of a crash. Ends after the cell has settled are handled by
// unreachedMemberEnded.
func (s *State) addUnobservedEnd(w *workers.Worker) {
	if s.retainedMembers[w.ID] != nil && !s.settled && !w.HasAnswered && !w.Leaving && !s.retainedMembers[w.ID].GetLeaving() {
		s.unobservedEnds = append(s.unobservedEnds, w.ID)
	}
}

// unobservedEndsToRecord returns the ids of the workers whose incarnation in the membership row has ended and whose end
// is not completely recorded: those that addUnobservedEnd remembers, and those at which another incarnation answers
// under the id.
func (s *State) unobservedEndsToRecord() []string {
	ended := slices.Clone(s.unobservedEnds)
	for _, id := range slices.Sorted(maps.Keys(s.retainedMembers)) {
		w, born := s.workers[id], s.retainedMembers[id].GetBorn()
		if !s.retainedMembers[id].GetLeaving() && w != nil && w.HasAnswered && born != 0 && w.Born != 0 && w.Born != born {
			ended = append(ended, id)
		}
	}
	return slices.DeleteFunc(ended, s.isEndRecorded)
}

// isEndRecorded reports whether the job records hold the end of a worker's incarnation as evidence against every task
// that it implicates. A predecessor may have written only some of these records. Records of ended jobs count, too. The
// evidence of a lost isolated run does not: it was added without regard to other tasks there.
func (s *State) isEndRecorded(worker string) bool {
	born, all, recorded := s.retainedMembers[worker].GetBorn(), 0, 0
	for _, j := range s.jobs {
		for _, u := range j.Units {
			for _, t := range u.Tasks {
				if i := crashIndex(t, worker, born); i >= 0 && (t.Crashes[i].Run != 0 || t.Crashes[i].Unseen) {
					recorded++
					all = max(all, t.Crashes[i].Accused)
				}
			}
		}
	}
	return recorded > 0 && recorded >= all
}

// crashIndex returns the index of the end of a worker's incarnation in the evidence against a task, or -1.
func crashIndex(t *jobs.Task, worker string, born int64) int {
	return slices.IndexFunc(t.Crashes, func(c poisontask.Crash) bool { return c.Worker == worker && c.Born == born })
}

// addUnobservedEvidence adds unobserved crashes to the evidence against the tasks in withoutRun, which have no known
// run. Each task gets at most one: that of the first ended incarnation where it may have run and which is not part of
// its evidence yet. Tasks that started only with a record are left out: addLostStart handles them.
func (s *State) addUnobservedEvidence(now time.Time, withoutRun []*jobs.Task) {
	ended := s.unobservedEndsToRecord()
	if len(ended) == 0 || s.unsafe.NoBlame || s.unsafe.NoUnseen {
		return
	}
	withoutRun = slices.DeleteFunc(withoutRun, func(t *jobs.Task) bool { return t.StartsByRecord })
	mayHaveRun := map[string][]*jobs.Task{}
	for _, t := range withoutRun {
		first := slices.IndexFunc(ended, func(id string) bool {
			return crashIndex(t, id, s.retainedMembers[id].GetBorn()) < 0 && mayHaveRunAt(s.retainedMembers[id], t)
		})
		if first >= 0 {
			mayHaveRun[ended[first]] = append(mayHaveRun[ended[first]], t)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(mayHaveRun)) {
		for _, t := range mayHaveRun[id] {
			c := poisontask.UnobservedCrash(id, s.retainedMembers[id].GetBorn(), len(mayHaveRun[id])-1, len(ended), s.wall)
			s.addUnobservedCrash(now, t, c)
		}
	}
	s.evidenceSeq = s.changeSeq
}

// unreachedMember is an unreached member: one that had not answered this leader when the cell settled.
type unreachedMember struct {
	entry *wire.RosterEntry // names the incarnation that earlier leaders could use
	tasks []*jobs.Task      // tasks without a known run that may have run there
}

// keepUnreachedMembers keeps the unreached members, except leaving ones, until the leader learns whether they have
// crashed. withoutRun are the tasks without a known run.
func (s *State) keepUnreachedMembers(withoutRun []*jobs.Task) {
	for id := range s.awaitedMembers {
		e := s.retainedMembers[id]
		if w := s.workers[id]; e.GetLeaving() || (w != nil && w.Leaving) {
			continue
		}
		tasks := slices.DeleteFunc(slices.Clone(withoutRun), func(t *jobs.Task) bool { return t.StartsByRecord || !mayHaveRunAt(e, t) })
		s.unreachedMembers[id] = unreachedMember{e, append(s.unreachedMembers[id].tasks, tasks...)}
	}
}

// markUnreachedAt names one unreached member to each task that may have run there, so that the next start of the task is
// recorded along with it. If that start crashes its worker and this leader ends, its successor knows of both incarnations.
func (s *State) markUnreachedAt() {
	for _, id := range slices.Sorted(maps.Keys(s.unreachedMembers)) {
		u := s.unreachedMembers[id]
		for _, t := range u.tasks {
			if !t.UnreachedAt.Known() && !s.unobservedEvidence[t] && !t.Unit.Job.Ended() {
				t.UnreachedAt = jobs.Incarnation{Worker: id, Born: u.entry.GetBorn(), Host: u.entry.GetHost()}
			}
		}
	}
}

// resolveUnreachedAt handles the unreached member that the record of a task names: it has answered, has ended, or is still
// unreached.
func (s *State) resolveUnreachedAt(now time.Time, t *jobs.Task) {
	at := t.UnreachedAt
	switch {
	case !at.Known():
	case s.hasAnsweredHere(at):
		t.UnreachedAt = jobs.Incarnation{}
	case s.hasEnded(at):
		t.UnreachedAt = jobs.Incarnation{}
		s.addUnobservedCrash(now, t, poisontask.UnobservedCrash(at.Worker, at.Born, 0, 1, s.wall))
	default:
		u := s.unreachedMembers[at.Worker]
		if u.entry == nil {
			u.entry = &wire.RosterEntry{Id: at.Worker, Born: at.Born, Host: at.Host}
		}
		u.tasks = append(u.tasks, t)
		s.unreachedMembers[at.Worker] = u
	}
}

// unreachedMemberEnded handles the end of an unreached member: it adds an unobserved crash to the evidence against the
// tasks that may have run there.
func (s *State) unreachedMemberEnded(now time.Time, id string) {
	u := s.unreachedMembers[id]
	delete(s.unreachedMembers, id)
	s.dropUnreachedAt(u)
	for _, t := range u.tasks {
		if t.Done || t.Unit.Job.Ended() || s.unobservedEvidence[t] || crashIndex(t, id, u.entry.GetBorn()) >= 0 || s.unsafe.NoBlame || s.unsafe.NoUnseen {
			continue
		}
		s.addUnobservedCrash(now, t, poisontask.UnobservedCrash(id, u.entry.GetBorn(), len(u.tasks)-1, 1, s.wall))
	}
}

// addUnobservedCrash adds an unobserved crash to the evidence against a task. unreachedMemberEnded adds no second one
// under the same leader, because the task can have run at only one of the unreached members.
func (s *State) addUnobservedCrash(now time.Time, t *jobs.Task, c poisontask.Crash) {
	if t.AddCrash(c) {
		s.unobservedEvidence[t] = true
		s.trackImplicated(t)
		s.evidenceChanged(now, t, c)
	}
}

// endUnreachedOnHost handles an answer of a worker: unreached members on its host have ended, because a host runs one
// worker at a time.
func (s *State) endUnreachedOnHost(now time.Time, w *workers.Worker) {
	for _, id := range slices.Sorted(maps.Keys(s.unreachedMembers)) {
		if id != w.ID && s.unreachedMembers[id].entry.GetHost() == w.Host {
			s.unreachedMemberEnded(now, id)
		}
	}
}

// unreachedMemberAnswered handles the first answer under the id of an unreached member. If another incarnation answers,
// the member has ended; otherwise it was only cut off.
func (s *State) unreachedMemberAnswered(now time.Time, w *workers.Worker) {
	u, was := s.unreachedMembers[w.ID]
	if !was {
		return
	}
	if born := u.entry.GetBorn(); born != 0 && w.Born != 0 && w.Born != born {
		s.unreachedMemberEnded(now, w.ID)
		return
	}
	delete(s.unreachedMembers, w.ID)
	s.dropUnreachedAt(u)
}

// dropUnreachedAt drops the name of an unreached member that has answered or ended from the tasks that may have run
// there.
func (s *State) dropUnreachedAt(u unreachedMember) {
	for _, t := range u.tasks {
		if t.UnreachedAt.Worker == u.entry.GetId() && t.UnreachedAt.Born == u.entry.GetBorn() {
			t.UnreachedAt = jobs.Incarnation{}
		}
	}
}

// memberEntry returns a worker's entry for the membership row. Until the evidence from the end of an earlier
// incarnation is recorded, the entry names that incarnation.
func (s *State) memberEntry(w *workers.Worker) *wire.RosterEntry {
	e := &wire.RosterEntry{Id: w.ID, Address: w.Address, Host: w.Host, Service: w.Service, Born: w.Born, Leaving: w.Leaving, RunsKnown: w.RunsKnown, MayRun: w.MayRun}
	before := s.retainedMembers[w.ID]
	switch {
	case before.GetBorn() != 0 && w.Born == 0:
		e.Born, e.Leaving = before.GetBorn(), w.Leaving || before.GetLeaving() // the worker has not answered yet
	case before.GetBorn() != 0 && before.GetBorn() != w.Born:
		e.Born, e.Leaving, e.RunsKnown, e.MayRun = before.GetBorn(), before.GetLeaving(), false, nil
	case before.GetLeaving():
		e.Leaving = true
	}
	return e
}

// dropRetainedMembers drops the entries that earlier leaders wrote to the membership row, once the cell has settled and
// the evidence from the ends of these incarnations is recorded.
func (s *State) dropRetainedMembers() {
	if len(s.retainedMembers) > 0 && s.settled && s.recordedUpTo(s.evidenceSeq) {
		clear(s.retainedMembers)
	}
}
