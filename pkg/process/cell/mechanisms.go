package cell

// Mechanism is a part of a cell's decisions that can be disabled separately to find out its effect, in the lab and by
// operators who doubt that it helps.
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
	{LendLasting, "lend-lasting", "lasting tasks without room are lent to another cell"},
	{LendFillers, "lend-fillers", "fillers without a harmless place are lent to another cell"},
	{LendPlain, "lend-plain", "other short tasks without room are lent to another cell"},
	{ServingByImage, "serving-by-image", "serving tasks stand beside those that the same fillers press on"},
	{WeighedPlaces, "weighed-places", "a filler's place is weighed by what it costs its neighbours"},
	{SharedBeliefs, "shared-beliefs", "leaders hear from others what presses on what"},
	{CutFillers, "cut-fillers", "fillers stand still beside a tail that stays over its target"},
	{HeldRoom, "held-room", "room is kept free for a lasting task that waits"},
	{OrderByOutlook, "order-by-outlook", "jobs that can still meet their objective go before those that can't"},
	{WaitForCheapPlaces, "wait-for-cheap-places", "fillers wait for a place that costs no more than they earn"},
	{Quarantine, "quarantine", "workers that fail what they start are put aside"},
	{LearnedTimes, "learned-times", "run times that callers declare are corrected by those that were seen"},
	{OrderWindow, "order-window", "orders are held back while those that are on their way wait for the link"},
}

// WithoutMechanisms disables mechanisms.
func WithoutMechanisms(m Mechanism) Option { return func(s *State) { s.disabled = m } }

// enabled reports whether a mechanism is enabled.
func (s *State) enabled(m Mechanism) bool { return s.disabled&m == 0 }
