package jobs

// Outlook classifies a job by what it can still earn.
type Outlook int

// Outlooks, best first.
const (
	// OnTime means that the job can still meet its objective.
	OnTime Outlook = iota
	// Late means that the job earns only the small value of a late job.
	Late
	// Hopeless means that the job earns nothing. It runs in capacity that no other job needs.
	Hopeless
)

// String returns the outlook as log lines name it.
func (o Outlook) String() string {
	switch o {
	case Late:
		return "late"
	case Hopeless:
		return "hopeless"
	default:
		return "on time"
	}
}
