package cell

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/election"
	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Takeover. The new leader writes its fence to each part of the table, so that its
// predecessor can record no more progress, and reads the cell's jobs. It then polls
// every worker that earlier leaders could have used. A poll raises the fence at the
// worker, too, and the answer lists the worker's runs and their ends. Tasks that no
// worker lists may start. A worker that does not answer delays them until the last
// lease that an earlier leader could have granted has ended.

// maxLeaseDuration is the longest time that a granted lease can last. The tenth on top of LongestLease allows for
// clocks that run at different speeds.
const maxLeaseDuration = LongestLease + LongestLease/10

// NewLeadershipGained returns the event that this process has just won the leadership. change names the earlier leaders
// that may still act.
func NewLeadershipGained(now time.Time, epoch int64, change election.Change) LeadershipGained {
	led := LeadershipGained{Epoch: epoch, LeasesEndAt: now, Predecessors: map[string]time.Time{}, MembersKnownAt: change.ReplacedReadAt}
	if change.ReplacedRow.GetReleased() {
		led.LeasesEndAt = now.Add(maxLeaseDuration)
	}
	for _, p := range change.Predecessors {
		if until := now.Add(p.MayGrantFor + maxLeaseDuration); until.After(led.Predecessors[p.Holder]) {
			led.Predecessors[p.Holder] = until
		}
	}
	return led
}

// takeLeadershipGained begins a takeover: it keeps the registered workers, drops everything else that belongs to an
// earlier leadership, and asks for the cell's rows.
func (s *State) takeLeadershipGained(now time.Time, e LeadershipGained) {
	known := s.workers
	s.rememberLeases(now)
	s.reportedLeases = map[string]time.Time{}
	s.resetLeadership()
	s.phase, s.epoch, s.runSerial, s.gainedAt = loading, e.Epoch, 0, now
	s.predecessors, s.otherLeasesUntil, s.membersKnownAt = maps.Clone(e.Predecessors), e.LeasesEndAt, e.MembersKnownAt
	s.settleDeadline, s.leadershipConfirmedAt, s.tenureUntil = s.lastLeaseEnd(), time.Time{}, time.Time{}
	for id, w := range known {
		if w.Listed {
			s.workers[id] = workers.New(w.Record)
			s.workers[id].LeavingAt = w.LeavingAt
			s.orderStale = true
		}
	}
	s.note(Note{Kind: NoteLed, Detail: fmt.Sprintf("epoch %d", e.Epoch), AgeMs: -1})
	s.emit(Load{Epoch: e.Epoch})
}

// addEarlierMembers adds the members that earlier leaders could have used, and awaits their answers. The recorded
// membership names them, so they may get work.
func (s *State) addEarlierMembers(now time.Time, members []*wire.RosterEntry) {
	for _, r := range members {
		if s.workers[r.GetId()] == nil {
			w := workers.New(workers.Record{ID: r.GetId(), Address: r.GetAddress(), Host: r.GetHost(), Service: r.GetService()})
			w.Listed, w.UnlistedAt = false, now
			s.workers[r.GetId()] = w
			s.orderStale = true
		}
		if w := s.workers[r.GetId()]; !w.HasAnswered {
			w.RunsKnown, w.MayRun = r.GetRunsKnown(), r.GetMayRun()
		}
		s.awaitedMembers[r.GetId()] = true
		s.recordedMembers[r.GetId()] = true
		s.retainedMembers[r.GetId()] = r
		s.addEarlierMemberEnd(now, s.workers[r.GetId()])
	}
}

// addEarlierMemberEnd adds what this leader learned of a member before it read the membership: that its incarnation has
// ended, or that it does not answer.
func (s *State) addEarlierMemberEnd(now time.Time, w *workers.Worker) {
	switch {
	case w.Ended && !w.HasAnswered:
		s.rememberEnd(w) // the membership says when the incarnation began
		s.addUnobservedEnd(w)
	case w.LastAnswerAt.IsZero() && !w.SilentSince.IsZero():
		s.addSilence(now, w, w.SilentSince)
	}
}

// maxOrderDelay is how long a predecessor's last orders may stay in flight after its end.
const maxOrderDelay = 500 * time.Millisecond

// lastCommonLeaseEnd returns when the last lease ends that an earlier leader may have granted to any worker. It leaves
// out the leases that are known by worker (reportedLeases).
func (s *State) lastCommonLeaseEnd() time.Time {
	last := s.otherLeasesUntil
	for _, until := range s.predecessors {
		if until.After(last) {
			last = until
		}
	}
	return last
}

// takePredecessorEnded shortens the wait for members that do not answer. A predecessor that has ended grants no more
// leases: the last of them ends as its process reported, or one lease span after its end. This process knows its own,
// and until when others may last of which it never learned.
func (s *State) takePredecessorEnded(now time.Time, e PredecessorEnded) {
	until, known := s.predecessors[e.Holder]
	if e.Epoch != s.epoch || s.settled || !known {
		return
	}
	delete(s.predecessors, e.Holder)
	since := now
	if !e.EndedAt.IsZero() && e.EndedAt.Before(now) {
		since = e.EndedAt
	}
	switch lease := since.Add(maxLeaseDuration + maxOrderDelay); {
	case e.SameProcess:
		maps.Copy(s.reportedLeases, s.ownLeases)
		if s.unknownLeasesUntil.After(s.otherLeasesUntil) {
			s.otherLeasesUntil = s.unknownLeasesUntil
		}
	case e.GrantsKnown:
		s.takeReportedLeases(now, e.Grants)
	default:
		if lease.Before(until) {
			until = lease
		}
		if until.After(s.otherLeasesUntil) {
			s.otherLeasesUntil = until
		}
	}
	s.settleDeadline = s.lastLeaseEnd()
	s.note(Note{Kind: NotePredecessorOver, Detail: e.Holder, AgeMs: max(0, s.settleDeadline.Sub(now).Milliseconds())})
}

// takeLoaded restores the cell's jobs and members from the table, and begins to lead.
func (s *State) takeLoaded(now time.Time, e Loaded) {
	if e.Epoch != s.epoch || s.phase != loading {
		return
	}
	for name, version := range e.Fences {
		s.writer(name).fence = version
	}
	s.setStoreClock(now, e.StoreNow)
	s.addEarlierMembers(now, e.Members)
	announced := s.jobs // by other hosts, while the table was read
	s.jobs = map[string]*jobs.Job{}
	for _, l := range e.Jobs {
		s.jobs[l.Spec.GetId()] = s.restoreJob(now, e, l)
	}
	for id, j := range announced {
		if s.jobs[id] == nil {
			s.jobs[id] = j
		}
	}
	s.phase = leading
	for _, l := range e.Jobs {
		s.mergeHomeEvidence(now, s.jobs[l.Spec.GetId()], l.Spec)
	}
	for _, id := range e.Cancels {
		s.takeCancel(now, CancelRequested{ID: id})
	}
	for _, r := range e.Returned {
		s.takeTasksReturned(now, r)
	}
	for _, j := range s.jobs {
		s.updateWaiting(now, j)
		if j.DelegatedDone() && len(j.DelegationReport().GetDone()) > 0 && !j.Ended() {
			s.markDirty(j, false) // the last report may be on an earlier delegation
		}
	}
	s.startForecasts(now)
	s.pollAllNow(now)
	s.note(Note{Kind: NoteLoaded, Detail: fmt.Sprintf("%d jobs, %d cancels, %d members awaited", len(s.jobs), len(e.Cancels), len(e.Members)), AgeMs: -1})
}

// restoreJob returns a job as the table holds it. Tasks that are not done are not settled: an earlier
// leader may have started them.
func (s *State) restoreJob(now time.Time, e Loaded, l LoadedJob) *jobs.Job {
	age := e.StoreNow - time.Duration(l.Spec.GetAcceptedStoreMs())*time.Millisecond
	j := jobs.Restore(l.Spec, l.Progress, l.Recorded, now.Add(-max(0, age)), e.Wall)
	j.MarkArrived(now)
	j.RestoreWaits(now, s.gainedAt, l.Progress, s.storeClock)
	s.restoreEvidence(now, j)
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

// takeMembershipRecorded keeps which workers the recorded membership names: only these get work.
func (s *State) takeMembershipRecorded(e MembershipRecorded) {
	s.recordedMembers = map[string]bool{}
	for _, id := range e.IDs {
		s.recordedMembers[id] = true
	}
	s.placementDue = true
}

// takeRelease begins to hand the cell over. A process that still loads the jobs steps down at once.
func (s *State) takeRelease(now time.Time) {
	switch s.phase {
	case leading:
		s.phase, s.releasingSince = releasing, now
		s.note(Note{Kind: NoteReleased, AgeMs: -1})
	case loading:
		s.rememberLeases(now)
		s.stepDown("released while loading")
	case following, releasing:
	}
}

// stepDown ends the leadership. It keeps the workers, without their runs.
func (s *State) stepDown(why string) {
	if s.phase == following {
		return
	}
	s.note(Note{Kind: NoteDeposed, Detail: why, AgeMs: -1})
	workersKnown := s.workers
	s.resetLeadership()
	s.workers, s.orderStale = workersKnown, true
	for _, w := range s.workersByID() {
		w.RemoveAll()
	}
}

// markUnsettled marks tasks that a predecessor may have started.
func markUnsettled(units []*jobs.Unit) {
	for _, u := range units {
		for _, t := range u.Tasks {
			t.Settled = t.Done
		}
	}
}

// ------------------------------------------------------------ new work

// takeAccepted adds a job that the table holds. If the job is known, it adds the tasks that were delegated to this cell
// since, and crash evidence that the job's home cell has learned.
func (s *State) takeAccepted(now time.Time, e JobAccepted) {
	id := e.Spec.GetId()
	if s.phase == following || s.phase == releasing {
		return
	}
	s.setStoreClock(now, e.StoreNow)
	if known := s.jobs[id]; known != nil {
		s.mergeHomeEvidence(now, known, e.Spec)
		if added := known.AddDelegated(e.Spec, now, s.newTasksSettled()); len(added) > 0 {
			s.restoreEvidence(now, known)
			s.holdBackTasks(known)
			s.recordArrival(known)
			s.adoptOrphans(now, known) // a predecessor may have received them first, and have started them
			s.updateWaiting(now, known)
			if slices.ContainsFunc(added, func(t *jobs.Task) bool { return t.Done }) {
				s.markDirty(known, true) // the home cell has no report on this delegation
			}
		}
		return
	}
	age := e.StoreNow - time.Duration(e.Spec.GetAcceptedStoreMs())*time.Millisecond
	j := jobs.New(e.Spec, now.Add(-max(0, age)))
	j.MarkArrived(now)
	s.jobs[id] = j
	s.dropExpiry(id)
	s.restoreEvidence(now, j)
	if !s.newTasksSettled() {
		// A predecessor that does not know of its end yet may have received the job, too, and
		// have started it at a worker that this leader's fence has not reached.
		markUnsettled(j.Units)
	}
	s.holdBackTasks(j)
	s.recordArrival(j)
	s.adoptOrphans(now, j)
	tasks := 0
	for _, step := range e.Spec.GetSteps() {
		tasks += int(step.GetCount())
	}
	s.note(Note{
		Kind: NoteJobQueued, Job: id, AgeMs: age.Milliseconds(),
		Detail: fmt.Sprintf("queue %s, %d tasks: %s", e.Spec.GetQueue(), tasks, describeSteps(e.Spec.GetSteps())),
	})
	s.forecastArrival(now, j)
	if _, asked := s.pendingCancels[id]; asked {
		s.takeCancel(now, CancelRequested{ID: id})
	}
	s.updateWaiting(now, j)
}

// describeSteps renders a job's steps for the log: number of tasks x millicores x estimated time, and the step's
// special properties.
func describeSteps(steps []*wire.StepSpec) string {
	var b strings.Builder
	for _, step := range steps {
		fmt.Fprintf(&b, "[%d x %d mc x %d ms", step.GetCount(), step.GetMillicores(), step.GetEstimateMs())
		for _, property := range []struct {
			set  bool
			name string
		}{
			{step.GetFiller(), "filler"},
			{step.GetLasting(), "lasting"},
			{step.GetGang(), "gang"},
			{step.GetCopies(), "copies"},
			{step.GetSpread() > 0, "spread"},
			{step.GetRack() != "", "near " + step.GetRack()},
			{step.GetLabel() != "", "label " + step.GetLabel()},
		} {
			if property.set {
				b.WriteString(" " + property.name)
			}
		}
		if step.GetImage() != "" {
			b.WriteString(" of " + step.GetImage())
		}
		b.WriteString("]")
	}
	return b.String()
}

// takeCancel cancels a job. A cancel of a job that is not known yet is kept until the job is.
func (s *State) takeCancel(now time.Time, e CancelRequested) {
	j := s.jobs[e.ID]
	if j == nil || s.phase == loading {
		s.pendingCancels[e.ID] = now
		return
	}
	delete(s.pendingCancels, e.ID)
	j.CancelRequested = true
	if j.Ended() {
		s.markDirty(j, false) // recording an ended job removes the row of its cancel
		return
	}
	s.endJob(now, j, wire.JobPhase_JOB_PHASE_CANCELLED, "cancelled by its caller")
}

// endJob sets a job's last phase. stopObsoleteRuns stops the runs that it still has.
func (s *State) endJob(now time.Time, j *jobs.Job, p wire.JobPhase, reason string) {
	if j.Ended() {
		return
	}
	j.End(p, reason, now)
	s.forecastEnd(now, j)
	s.scanDue = true
	s.markDirty(j, true)
	s.updateWaiting(now, j)
	s.note(Note{
		Kind: NoteJobEnded, Job: j.Spec.GetId(), AgeMs: now.Sub(j.AcceptedAt).Milliseconds(),
		Detail: fmt.Sprintf("%s: %s", p, reason),
	})
}
