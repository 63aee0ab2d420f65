// Package placement chooses a worker for a task.
//
// Choose is pure: the task and the candidates go in, one name and the reason
// come out. Workers without room were left out before (package ledger), so a
// policy is only ever about which of several possible hosts is best.
//
// Three policies stand in one look-up table. Two are plain baselines, kept for
// comparison in "make bench" and selectable in the settings.
package placement

import (
	"github.com/wrenferry/wrenferry/pkg/process/interference"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
)

// ------------------------------------------------------------- candidates

// Task is what a policy may know of a task.
type Task struct {
	ID   string
	Job  string
	Kind string
	Size ledger.Size
}

// Worker is a host with room for the task.
type Worker struct {
	Name     string
	Rack     string
	Capacity ledger.Size
	Free     ledger.Size
	Services []string
	Present  interference.Present
	// JobTasksInRack counts the tasks of the same job in the worker's rack.
	JobTasksInRack int
}

// Choice is the worker chosen and why.
type Choice struct {
	Worker string
	Reason Reason
	// Cost is the policy's own measure of the choice; less is better.
	Cost float64
}

// Reason is why a worker was chosen.
type Reason string

// The reasons.
const (
	NoRoom      Reason = "no-worker-has-room"
	FirstFit    Reason = "first-that-fits"
	LeastLoaded Reason = "least-loaded"
	LeastHarm   Reason = "least-expected-harm"
)

// --------------------------------------------------------------- policies

// Policy rates a worker for a task: less is better.
type Policy struct {
	Name   string
	Help   string
	Reason Reason
	cost   func(m *interference.Model, t Task, w Worker, index int) float64
}

// Policies is the look-up table. To add one: a function and a row.
var Policies = []Policy{
	{"least-harm", "Least expected harm to the services on the worker, then racks apart, then a tight fit.", LeastHarm, expectedHarmCost},
	{"first-fit", "The first worker by name that has room (baseline).", FirstFit, firstFitCost},
	{"least-loaded", "The worker with the smallest share reserved (baseline).", LeastLoaded, reservedShareCost},
}

// PolicyNamed finds a policy; an unknown name gives the first.
func PolicyNamed(name string) Policy {
	for _, p := range Policies {
		if p.Name == name {
			return p
		}
	}
	return Policies[0]
}

// Choose picks the worker with the least cost; the first of equals.
func (p Policy) Choose(m *interference.Model, t Task, workers []Worker) Choice {
	best := Choice{Reason: NoRoom}
	for i, w := range workers {
		c := p.cost(m, t, w, i)
		if best.Worker == "" || c < best.Cost {
			best = Choice{Worker: w.Name, Reason: p.Reason, Cost: c}
		}
	}
	return best
}

// ------------------------------------------------------------------ costs

const (
	// rackWeight makes a second task of a job in one rack cost as much as a
	// fiftieth of a service's target.
	rackWeight = 0.02
	// fitWeight prefers fuller hosts among harmless ones, which keeps whole
	// hosts free for large tasks.
	fitWeight = 0.01
	// acceleratorWeight keeps tasks that need none off hosts that have some.
	acceleratorWeight = 0.05
)

func firstFitCost(_ *interference.Model, _ Task, _ Worker, index int) float64 {
	return float64(index)
}

func reservedShareCost(_ *interference.Model, t Task, w Worker, _ int) float64 {
	used := w.Capacity.Minus(w.Free).Plus(t.Size)
	return used.DominantShare(w.Capacity)
}

// expectedHarmCost is the growth of the squared latency ratios of the worker's
// services. The square makes harm near the target dearer than the same harm to
// a service with room to spare.
func expectedHarmCost(m *interference.Model, t Task, w Worker, index int) float64 {
	cost := rackWeight * float64(w.JobTasksInRack)
	for _, s := range w.Services {
		before := m.Predict(s, w.Present)
		after := before + m.Harm(s, t.Kind)
		cost += after*after - before*before
	}
	if t.Size.Accelerators == 0 && w.Free.Accelerators > 0 {
		cost += acceleratorWeight
	}
	return cost - fitWeight*reservedShareCost(m, t, w, index)
}
