package jobs

// Outlook is what a job can still earn.
type Outlook int

// The outlooks, best first.
const (
	// OnTime: it can still meet its objective.
	OnTime Outlook = iota
	// Late: it earns the little that late jobs earn.
	Late
	// Hopeless: it earns nothing, and runs in what room is left.
	Hopeless
)
