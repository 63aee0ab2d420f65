package cell

// Mechanism is a part of a cell's decisions that a run in the emulator can disable separately, to find out its effect:
// see "lab run --without". Daemons run with every mechanism enabled.
type Mechanism uint32

// The mechanisms. Each is one bit: the sum of several stands for all of them.
const (
	LendLasting Mechanism = 1 << iota
	LendFillers
	LendPlain
	ServingByImage
	WeighedPlaces
	SharedBeliefs
	CutFillers
	HeldRoom
	OrderByOutlook
	WaitForCheapPlaces
	Quarantine
	LearnedTimes
	OrderWindow
	YieldToStarts
	LeastWorkFirst
	UrgentReserve
)

// MechanismHelp describes one mechanism in the table of mechanisms.
type MechanismHelp struct {
	Mechanism Mechanism
	Name      string
	// Says is what the cell does unless the mechanism is disabled.
	Says string
}

// Mechanisms lists every mechanism.
var Mechanisms = []MechanismHelp{
	{LendLasting, "lend-lasting", "lasting tasks that fit on no worker are delegated to another cell"},
	{LendFillers, "lend-fillers", "fillers without a harmless place are delegated to another cell"},
	{LendPlain, "lend-plain", "other short tasks that fit on no worker are delegated to another cell"},
	{ServingByImage, "serving-by-image", "serving tasks are placed beside those that the same fillers slow down"},
	{WeighedPlaces, "weighed-places", "the placement of a filler weighs the harm to its neighbours"},
	{SharedBeliefs, "shared-beliefs", "leaders share their estimates of which images slow down which"},
	{CutFillers, "cut-fillers", "fillers are paused beside a serving task whose tail latency stays over its target"},
	{HeldRoom, "held-room", "capacity is reserved for a lasting task that waits"},
	{OrderByOutlook, "order-by-outlook", "jobs that can still meet their objective are placed before those that can't"},
	{LeastWorkFirst, "least-work-first", "under overload, fillers of the job with the least work left are placed first"},
	{WaitForCheapPlaces, "wait-for-cheap-places", "fillers wait for a place that costs no more than they earn"},
	{Quarantine, "quarantine", "workers on which runs keep failing get no work for a while"},
	{LearnedTimes, "learned-times", "declared run times are corrected by observed ones"},
	{YieldToStarts, "yield-to-starts", "while start orders are held back, polls and records come less often, as far as jobs have slack"},
	{OrderWindow, "order-window", "start orders are held back while too many bytes of them are in transit"},
	{UrgentReserve, "urgent-reserve", "with the setting urgentWait, capacity is kept for urgent tasks, and lasting tasks yield to them"},
}

// WithoutMechanisms disables mechanisms.
func WithoutMechanisms(m Mechanism) Option { return func(s *State) { s.disabled = m } }

// enabled reports whether a mechanism is enabled.
func (s *State) enabled(m Mechanism) bool { return s.disabled&m == 0 }
