package cell

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/election"
	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// A takeover. The new leader puts its fence in each part, so that its
// forerunner writes no progress from then on, and reads the cell's jobs. Then
// it looks at every worker that its forerunners could have used: that raises
// the fence there too, and the answer lists what runs and what has ended. What
// is found at none of them may start. A worker that does not answer holds this
// up until the last lease that a forerunner could have granted is over.

// longestGrant is the longest lease that a leader grants, by any clock.
const longestGrant = LongestLease + LongestLease/10

// LedBy is the event of a leadership that this process has just won.
func LedBy(now time.Time, epoch int64, change election.Change) Led {
	led := Led{Epoch: epoch, RosterUntil: now, Predecessors: map[string]time.Time{}}
	if change.Before.GetReleased() {
		led.RosterUntil = now.Add(longestGrant)
	}
	for _, p := range change.Predecessors {
		if until := now.Add(p.Grants + longestGrant); until.After(led.Predecessors[p.Holder]) {
			led.Predecessors[p.Holder] = until
		}
	}
	return led
}

func (s *State) takeLed(now time.Time, e Led) {
	known := s.workers
	s.keepLeases(now)
	s.overAt = map[string]time.Time{}
	s.forget()
	s.phase, s.epoch, s.runs = loading, e.Epoch, 0
	s.predecessors, s.overUntil = maps.Clone(e.Predecessors), e.RosterUntil
	s.settleBy, s.confirmedAt, s.leadsUntil = s.lastOfAll(), time.Time{}, time.Time{}
	for id, w := range known {
		if w.Listed {
			s.workers[id] = workers.New(w.Record)
			s.workers[id].LeavingAt = w.LeavingAt
			s.reorder = true
		}
	}
	s.note(Note{What: NoteLed, Detail: fmt.Sprintf("epoch %d", e.Epoch), AgeMs: -1})
	s.emit(Load{Epoch: e.Epoch})
}

// takeEarlierRoster takes over the workers that earlier leaders could have used. The
// table names them, so they may get work.
func (s *State) takeEarlierRoster(now time.Time, roster []*wire.RosterEntry) {
	for _, r := range roster {
		if s.workers[r.GetId()] == nil {
			w := workers.New(workers.Record{ID: r.GetId(), Address: r.GetAddress(), Host: r.GetHost(), Service: r.GetService()})
			w.Listed, w.UnlistedAt = false, now
			s.workers[r.GetId()] = w
			s.reorder = true
		}
		if w := s.workers[r.GetId()]; !w.Heard {
			w.RunsKnown, w.MayRun = r.GetRunsKnown(), r.GetMayRun()
		}
		s.unsettled[r.GetId()] = true
		s.roster[r.GetId()] = true
		s.earlier[r.GetId()] = r
	}
}

// orderTail is how long after its end a predecessor's last orders may still be
// on their way.
const orderTail = 500 * time.Millisecond

// lastGrant is when the last lease that an earlier leader could have granted is over.
func (s *State) lastGrant() time.Time {
	last := s.overUntil
	for _, until := range s.predecessors {
		if until.After(last) {
			last = until
		}
	}
	return last
}

// takePredecessorOver shortens the wait for workers that are not heard: what that leader granted is over
// after one lease.
func (s *State) takePredecessorOver(now time.Time, e PredecessorOver) {
	until, known := s.predecessors[e.Holder]
	if e.Epoch != s.epoch || s.settled || !known {
		return
	}
	delete(s.predecessors, e.Holder)
	since := now
	if !e.Since.IsZero() && e.Since.Before(now) {
		since = e.Since
	}
	switch lease := since.Add(longestGrant + orderTail); {
	case e.Own && !s.grantedUnknown.After(now):
		maps.Copy(s.overAt, s.granted)
	case e.GrantsKnown:
		s.takeGrants(now, e.Grants)
	default:
		if lease.Before(until) {
			until = lease
		}
		if until.After(s.overUntil) {
			s.overUntil = until
		}
	}
	s.settleBy = s.lastOfAll()
	s.note(Note{What: NotePredecessorOver, Detail: e.Holder, AgeMs: max(0, s.settleBy.Sub(now).Milliseconds())})
}

func (s *State) takeLoaded(now time.Time, e Loaded) {
	if e.Epoch != s.epoch || s.phase != loading {
		return
	}
	for name, version := range e.Fences {
		s.part(name).fence = version
	}
	s.takeEarlierRoster(now, e.Roster)
	early := s.jobs // came by word of peers while the table was read
	s.jobs = map[string]*jobs.Job{}
	for _, l := range e.Jobs {
		s.jobs[l.Spec.GetId()] = s.restore(now, e, l)
	}
	for id, j := range early {
		if s.jobs[id] == nil {
			s.jobs[id] = j
		}
	}
	s.phase = leading
	for _, l := range e.Jobs {
		s.learnOfCrashes(now, s.jobs[l.Spec.GetId()], l.Spec)
	}
	for _, id := range e.Cancels {
		s.takeCancel(now, CancelAsked{ID: id})
	}
	for _, r := range e.Returned {
		s.takeReturned(now, r)
	}
	for _, j := range s.jobs {
		s.touch(now, j)
	}
	s.note(Note{What: NoteLoaded, Detail: fmt.Sprintf("%d jobs, %d cancels, %d workers to hear", len(s.jobs), len(e.Cancels), len(e.Roster)), AgeMs: -1})
}

func (s *State) restore(now time.Time, e Loaded, l LoadedJob) *jobs.Job {
	age := e.StoreNow - time.Duration(l.Spec.GetAcceptedStoreMs())*time.Millisecond
	j := jobs.Restore(l.Spec, l.Progress, l.Recorded, now.Add(-max(0, age)), e.Wall)
	j.Arrived(now)
	s.recall(now, j)
	if j.Ended() {
		j.EndedAt = now
	}
	if s.unsafe.NoSettling {
		for _, u := range j.Units {
			for _, t := range u.Tasks {
				t.Settled = true
			}
		}
	}
	return j
}

func (s *State) takeRoster(e RosterRecorded) {
	s.roster = map[string]bool{}
	for _, id := range e.IDs {
		s.roster[id] = true
	}
	s.placeNow = true
}

func (s *State) takeRelease(now time.Time) {
	switch s.phase {
	case leading:
		s.phase = releasing
		s.note(Note{What: NoteReleased, AgeMs: -1})
	case loading:
		s.keepLeases(now)
		s.stepDown("released while loading")
	case following, releasing:
	}
}

func (s *State) stepDown(why string) {
	if s.phase == following {
		return
	}
	s.note(Note{What: NoteDeposed, Detail: why, AgeMs: -1})
	workersKnown := s.workers
	s.forget()
	s.workers, s.reorder = workersKnown, true
	for _, w := range s.sorted() {
		w.RemoveAll()
	}
}

// unsettle says of tasks that a forerunner may have started them.
func unsettle(units []*jobs.Unit) {
	for _, u := range units {
		for _, t := range u.Tasks {
			t.Settled = t.Done
		}
	}
}

// ------------------------------------------------------------ new work

func (s *State) takeAccepted(now time.Time, e Accepted) {
	id := e.Spec.GetId()
	if s.phase == following || s.phase == releasing {
		return
	}
	if known := s.jobs[id]; known != nil {
		s.learnOfCrashes(now, known, e.Spec)
		if known.MoreGuests(e.Spec, now, s.newSettled()) {
			s.recall(now, known)
			s.holdBackNamed(known)
			s.claimStrays(now, known) // a forerunner may have been told of them, and have started them
			s.touch(now, known)
		}
		return
	}
	age := e.StoreNow - time.Duration(e.Spec.GetAcceptedStoreMs())*time.Millisecond
	j := jobs.New(e.Spec, now.Add(-max(0, age)))
	j.Arrived(now)
	s.jobs[id] = j
	s.recall(now, j)
	if !s.newSettled() {
		// A forerunner that does not know of its end yet may have been told of
		// the job too, and have started it where we haven't been heard.
		unsettle(j.Units)
	}
	s.holdBackNamed(j)
	s.claimStrays(now, j)
	tasks := 0
	for _, step := range e.Spec.GetSteps() {
		tasks += int(step.GetCount())
	}
	s.note(Note{
		What: NoteJobQueued, Job: id, AgeMs: age.Milliseconds(),
		Detail: fmt.Sprintf("queue %s, %d tasks: %s", e.Spec.GetQueue(), tasks, stepsInWords(e.Spec.GetSteps())),
	})
	if _, asked := s.cancels[id]; asked {
		s.takeCancel(now, CancelAsked{ID: id})
	}
	s.touch(now, j)
}

// stepsInWords is what the log tells of a job's steps: count x processors x
// estimated time, and what is special about them.
func stepsInWords(steps []*wire.StepSpec) string {
	var b strings.Builder
	for _, step := range steps {
		fmt.Fprintf(&b, "[%d x %d mc x %d ms", step.GetCount(), step.GetMillicores(), step.GetEstimateMs())
		for _, word := range []struct {
			say  bool
			what string
		}{
			{step.GetFiller(), "filler"},
			{step.GetLasting(), "lasting"},
			{step.GetGang(), "gang"},
			{step.GetCopies(), "copies"},
			{step.GetSpread() > 0, "spread"},
			{step.GetRack() != "", "near " + step.GetRack()},
			{step.GetLabel() != "", "label " + step.GetLabel()},
		} {
			if word.say {
				b.WriteString(" " + word.what)
			}
		}
		if step.GetImage() != "" {
			b.WriteString(" of " + step.GetImage())
		}
		b.WriteString("]")
	}
	return b.String()
}

func (s *State) takeCancel(now time.Time, e CancelAsked) {
	j := s.jobs[e.ID]
	if j == nil || s.phase == loading {
		s.cancels[e.ID] = now
		return
	}
	delete(s.cancels, e.ID)
	j.CancelAsked = true
	if j.Ended() {
		s.markDirty(j, false) // so that the cancel's row goes
		return
	}
	s.endJob(now, j, wire.JobPhase_JOB_PHASE_CANCELLED, "cancelled by its caller")
}

// endJob decides a job's last phase. What still runs of it is stopped by
// stopUnwanted.
func (s *State) endJob(now time.Time, j *jobs.Job, p wire.JobPhase, reason string) {
	if j.Ended() {
		return
	}
	j.End(p, reason, now)
	s.scanNow = true
	s.markDirty(j, true)
	s.touch(now, j)
	s.note(Note{
		What: NoteJobEnded, Job: j.Spec.GetId(), AgeMs: now.Sub(j.AcceptedAt).Milliseconds(),
		Detail: fmt.Sprintf("%s: %s", p, reason),
	})
}
