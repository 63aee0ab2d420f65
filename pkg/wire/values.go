// Package wire defines all messages that wrenferry sends and all rows that it stores. They are
// generated from the two schemas here; this file adds methods that derive from their values alone.
package wire

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
