// Package wire defines all messages that wrenferry sends and all rows that it stores. They are
// generated from the two schemas here; this file adds methods that derive from their values alone.
package wire

import "slices"

// Terminal returns whether a job in this phase stays in it forever.
func (p JobPhase) Terminal() bool {
	switch p {
	case JobPhase_JOB_PHASE_COMPLETED, JobPhase_JOB_PHASE_FAILED, JobPhase_JOB_PHASE_CANCELLED:
		return true
	default:
		return false
	}
}

// ImageOf returns the image of a step's tasks. Tasks of one image are taken to behave alike.
// A step without an image gets its queue's name as its image.
func (j *JobSpec) ImageOf(step *StepSpec) string {
	if step.GetImage() != "" {
		return step.GetImage()
	}
	return j.GetQueue()
}

// HasBegun returns whether a task of the job is known to have begun when the progress was recorded. What is recorded of a
// task need not come from a run of it: delegations, waits and wanted starts are recorded, too. Earlier versions recorded
// only what came of a run.
func (p *JobProgress) HasBegun() bool {
	if p.GetBegun() || p.GetPhase() != JobPhase_JOB_PHASE_QUEUED {
		return true
	}
	return slices.ContainsFunc(p.GetUnits(), func(u *UnitProgress) bool {
		return slices.ContainsFunc(u.GetDone(), func(b byte) bool { return b != 0 }) || slices.ContainsFunc(u.GetNotes(), (*TaskNote).hasRun)
	})
}

// hasRun returns whether a run of the task is known.
func (n *TaskNote) hasRun() bool {
	return len(n.GetFailedRuns()) > 0 || n.GetFailedElsewhere() > 0 || n.GetCheckpoint() != "" || slices.ContainsFunc(n.GetCrashes(), (*CrashNote).GetBegan)
}
