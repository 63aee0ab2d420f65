package interference

import (
	"time"
)

// ---------------------------------------------------------------- actions

// Verb is the kind of an Action.
type Verb int

// The verbs, mildest first.
const (
	// NoAction means that no action is needed.
	NoAction Verb = iota
	// Throttle limits the task to a share of its reservation.
	Throttle
	// Evict removes the task from the worker, with a checkpoint.
	Evict
	// Restore lifts a throttle.
	Restore
)

// Action is an action on one task. Service and Ratio name the sample that led to it.
type Action struct {
	Verb    Verb
	Task    string
	Service string
	Ratio   float64
}

// Candidate is a batch task on the service's worker that the Guard may act on.
type Candidate struct {
	Task string
	// Kind is the kind of batch work, as in TaskCounts.
	Kind      string
	Priority  int
	Throttled bool
	// Cost is the cost of an eviction: the work that would be lost or redone. Larger is worse.
	Cost float64
}

// Sample is one reading of a service's latency, which arrives late. Ratio is the latency as a share of the target.
// TakenAt is the time of the reading, not of its arrival.
type Sample struct {
	Service string
	Ratio   float64
	TakenAt time.Time
}

const (
	// missRatio is the latency ratio above which a target counts as missed.
	missRatio = 1.0
	// restoreRatio is the latency ratio up to which a throttle is lifted. The gap to missRatio is the
	// hysteresis.
	restoreRatio = 0.7
	// settleTime is the time until an action takes effect on the latency.
	settleTime = 2 * time.Second
)

// Guard decides on actions for the services of one worker. A sample taken before the last action, or within
// settleTime after it, shows the latency without the effect of that action and leads to no second one.
type Guard struct {
	actedAt time.Time
	model   *Model
}

// NewGuard returns the guard of one worker. All guards share the model.
func NewGuard(model *Model) *Guard {
	return &Guard{model: model}
}

// Decide returns the action for one sample, given the batch tasks on the worker. The zero Action is none.
func (g *Guard) Decide(now time.Time, s Sample, tasks []Candidate) Action {
	if !g.actedAt.IsZero() && s.TakenAt.Before(g.actedAt.Add(settleTime)) {
		return Action{}
	}
	action := g.choose(s, tasks)
	if action.Verb != NoAction {
		g.actedAt = now
	}
	return action
}

// choose returns the action for a sample: it restores a task at a calm ratio, throttles the worst offender at a missed
// target, and evicts an offender that is throttled already.
func (g *Guard) choose(s Sample, tasks []Candidate) Action {
	if s.Ratio <= restoreRatio {
		return restoreFirstThrottled(s, tasks)
	}
	if s.Ratio <= missRatio {
		return Action{}
	}
	offender, found := g.offender(s.Service, tasks)
	if !found {
		return Action{}
	}
	verb := Throttle
	if offender.Throttled {
		verb = Evict
	}
	return Action{Verb: verb, Task: offender.Task, Service: s.Service, Ratio: s.Ratio}
}

// restoreFirstThrottled returns the action that lifts the throttle of the first throttled task, if there is one.
func restoreFirstThrottled(s Sample, tasks []Candidate) Action {
	for _, t := range tasks {
		if t.Throttled {
			return Action{Verb: Restore, Task: t.Task, Service: s.Service, Ratio: s.Ratio}
		}
	}
	return Action{}
}

// offender returns the task that harms the service most. Ties go to the lower priority, then to the lower
// cost of an eviction.
func (g *Guard) offender(service string, tasks []Candidate) (Candidate, bool) {
	var worst Candidate
	found := false
	for _, t := range tasks {
		if !found || g.actOnBefore(service, t, worst) {
			worst = t
			found = true
		}
	}
	return worst, found
}

// actOnBefore returns whether to act on task a rather than on b.
func (g *Guard) actOnBefore(service string, a, b Candidate) bool {
	harmA, harmB := g.model.Harm(service, a.Kind), g.model.Harm(service, b.Kind)
	if harmA != harmB {
		return harmA > harmB
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.Cost != b.Cost {
		return a.Cost < b.Cost
	}
	return a.Task < b.Task
}
