// Package wire holds everything that wrenferry sends or stores: messages and rows, generated
// from the two schemas here, and what their values say of themselves. It decides nothing.
package wire

// Terminal says whether a phase is one that a job never leaves.
func (p JobPhase) Terminal() bool {
	switch p {
	case JobPhase_JOB_PHASE_COMPLETED, JobPhase_JOB_PHASE_FAILED, JobPhase_JOB_PHASE_CANCELLED:
		return true
	default:
		return false
	}
}

// ImageOf names what a step's tasks run: tasks of one image behave alike. A step
// that names none is taken for one of its queue's.
func (j *JobSpec) ImageOf(step *StepSpec) string {
	if step.GetImage() != "" {
		return step.GetImage()
	}
	return j.GetQueue()
}
