package jobs

import (
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Progress returns the state that a successor needs: done tasks, failed runs, checkpoints, delegations, crash
// evidence, since when lasting tasks have had no run, the phase, and whether any task has begun. Runs are not included,
// because workers list them. It sets WaitRecorded of each task.
func (j *Job) Progress(clock StoreClock) *wire.JobProgress {
	p := &wire.JobProgress{Id: j.Spec.GetId(), Phase: j.Phase, Reason: j.Reason, Home: j.Spec.GetHome(), Begun: j.HasStarted}
	if j.Ended() {
		return p
	}
	for _, u := range j.Units {
		if up := u.progress(clock); up != nil {
			p.Units = append(p.Units, up)
		}
	}
	return p
}

func (u *Unit) progress(clock StoreClock) *wire.UnitProgress {
	up := &wire.UnitProgress{Time: int32(u.Time), Step: int32(u.Step)}
	if u.done > 0 {
		up.Done = make([]byte, (len(u.Tasks)+7)/8)
	}
	for i, t := range u.Tasks {
		if t.Done {
			up.Done[i/8] |= 1 << (i % 8)
			continue
		}
		targetCell := t.DelegatedTo
		if targetCell == notDelegatedHere {
			targetCell = "" // the specification implies it
		}
		since := clock.millis(t.recordedWait())
		t.WaitRecorded = since > 0
		if since > 0 || len(t.FailedRuns) > 0 || t.FailedElsewhere > 0 || t.Checkpoint != "" || targetCell != "" || t.Delegations > 0 || t.NeedsStartRecord() {
			at, starts := t.recordedStart()
			up.Notes = append(up.Notes, &wire.TaskNote{
				Index: int32(i), FailedRuns: t.FailedRuns, FailedElsewhere: int32(t.FailedElsewhere), Checkpoint: t.Checkpoint, LentTo: targetCell, Lending: t.Delegations,
				Crashes: encodeCrashes(t.Crashes), Trial: starts, TrialWorker: at.Worker, TrialBorn: at.Born, TrialHost: at.Host,
				UnreachedWorker: t.UnreachedAt.Worker, UnreachedBorn: t.UnreachedAt.Born, UnreachedHost: t.UnreachedAt.Host,
				WithoutRunSinceStoreMs: since,
			})
		}
	}
	if up.Done == nil && up.Notes == nil {
		return nil
	}
	return up
}

// recordedWait returns since when a lasting task is without a run, for the record, or the zero time. A start that the
// record allows may end that wait, so none is recorded beside it. A wait that is recorded stays until a run is known to have
// begun.
func (t *Task) recordedWait() time.Time {
	if !t.Unit.Lasting() || t.DelegatedTo != "" || t.StartRecord != NoStartRecord || t.runBegan() {
		return time.Time{}
	}
	if len(t.Runs) > 0 && !t.WaitRecorded {
		return time.Time{}
	}
	if t.WaitingSince.IsZero() {
		return t.TakenOverAt
	}
	return t.WaitingSince
}

// runBegan reports whether a run of the task goes on that is known to have begun.
func (t *Task) runBegan() bool {
	return slices.ContainsFunc(t.Runs, func(r *Run) bool { return !r.BeganAt.IsZero() })
}

// RestoreWaits restores since when lasting tasks have had no run, from the progress that a predecessor recorded. takenOverAt
// is the time from which this process leads the cell. A recorded time may be that of a wait that has ended just before the
// predecessor did: the row is written once more only after the start.
func (j *Job) RestoreWaits(now, takenOverAt time.Time, p *wire.JobProgress, clock StoreClock) {
	for _, u := range j.Units {
		for _, t := range u.Tasks {
			if u.Lasting() && u.Ready() {
				t.TakenOverAt = takenOverAt
			}
		}
	}
	for _, up := range p.GetUnits() {
		for _, n := range up.GetNotes() {
			t := j.Task(int(up.GetTime()), int(up.GetStep()), int(n.GetIndex()))
			since := clock.local(now, n.GetWithoutRunSinceStoreMs())
			if t != nil {
				t.WaitRecorded = n.GetWithoutRunSinceStoreMs() > 0
			}
			if t != nil && t.DelegatedTo == "" && t.Delegations == n.GetLending() && !since.IsZero() {
				t.WaitingSince = since
			}
		}
	}
}

// WaitOutdated reports whether the job's progress row says since when the task has had no run although it runs, or does not say
// it although that is known.
func (t *Task) WaitOutdated() bool {
	return (t.WaitRecorded && t.runBegan()) || (!t.WaitRecorded && !t.recordedWait().IsZero())
}

// WaitsOutdated reports whether the wait of a task is outdated in the job's progress row.
func (j *Job) WaitsOutdated() bool {
	return slices.ContainsFunc(j.Units, func(u *Unit) bool { return slices.ContainsFunc(u.Tasks, (*Task).WaitOutdated) })
}

// SpecOfEnded returns what is known of the specification of an ended job, whose row is gone, from its progress row.
func SpecOfEnded(id string, p *wire.JobProgress) *wire.JobSpec {
	return &wire.JobSpec{Id: id, Home: p.GetHome()}
}

// Restore returns a job with the progress that a predecessor recorded. Every task that is not done is unsettled:
// it may be running at some worker. wall is the wall-clock time.
func Restore(spec *wire.JobSpec, p *wire.JobProgress, recorded int64, acceptedAt, wall time.Time) *Job {
	j := New(spec, acceptedAt)
	j.ProgressVersion, j.ProgressRows = recorded, int(p.GetRows())
	j.OpenDue(wall)
	if p != nil {
		j.Phase, j.DurablePhase, j.Reason = p.GetPhase(), p.GetPhase(), p.GetReason()
		j.HasStarted = p.HasBegun()
		for _, up := range p.GetUnits() {
			j.restoreUnit(up)
		}
	}
	for _, u := range j.Units {
		for _, t := range u.Tasks {
			t.Settled = t.Done
		}
	}
	return j
}

func (j *Job) restoreUnit(up *wire.UnitProgress) {
	for int(up.GetTime()) >= j.openedOccurrences && j.openedOccurrences < j.Repeats() {
		j.openOccurrence(j.openedOccurrences) // the occurrence has progress, so it was due
	}
	u := j.unit(int(up.GetTime()), int(up.GetStep()))
	if u == nil {
		return
	}
	for i, t := range u.Tasks {
		if i/8 < len(up.GetDone()) && up.GetDone()[i/8]&(1<<(i%8)) != 0 {
			t.MarkDone()
		}
	}
	for _, n := range up.GetNotes() {
		if int(n.GetIndex()) >= len(u.Tasks) {
			continue
		}
		t := u.Tasks[n.GetIndex()]
		if n.GetCheckpoint() != "" {
			t.Checkpoint = n.GetCheckpoint()
		}
		delegatedAgain := j.Delegated() && t.Delegations > n.GetLending() // after the note was written
		if !delegatedAgain {
			t.setEvidence(decodeCrashes(n.GetCrashes()))
			t.UnreachedAt = Incarnation{n.GetUnreachedWorker(), n.GetUnreachedBorn(), n.GetUnreachedHost()}
			t.StartsByRecord = t.NeedsStartRecord()
			t.StartRecord = NoStartRecord
			if n.GetTrial() {
				t.StartRecord, t.StartAt = StartRecorded, Incarnation{n.GetTrialWorker(), n.GetTrialBorn(), n.GetTrialHost()}
			}
		}
		if n.GetLentTo() != "" && !delegatedAgain {
			t.DelegatedTo = n.GetLentTo()
			j.addTargetCell(t.DelegatedTo)
		}
		t.Delegations = max(t.Delegations, n.GetLending())
		failed := t.FailedElsewhere // of the specification: all failures at the handover, those in this cell included
		for _, r := range n.GetFailedRuns() {
			t.MarkFailed(r)
		}
		t.FailedElsewhere = max(int(n.GetFailedElsewhere()), failed-(t.Failures()-t.FailedElsewhere))
	}
}
