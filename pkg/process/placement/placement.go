// Package placement chooses a worker for a task.
//
// Choose is a pure function of the task and the candidates; it returns one worker and the
// reason. Callers pass only workers with enough free capacity (package ledger), so a policy
// only ranks workers that are possible.
//
// There are three policies, in one look-up table. Two are simple baselines, kept for
// comparison in "make bench" and selectable in the settings.
package placement

import (
	"github.com/wrenferry/wrenferry/pkg/process/interference"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
)

// ------------------------------------------------------------- candidates

// Task is the part of a task's description that policies use.
type Task struct {
	ID   string
	Job  string
	Kind string
	Size ledger.Size
}

// Worker is a candidate: a worker with enough free capacity for the task.
type Worker struct {
	Name     string
	Rack     string
	Capacity ledger.Size
	Free     ledger.Size
	Services []string
	Present  interference.TaskCounts
	// JobTasksInRack is the number of tasks of the same job in the worker's rack.
	JobTasksInRack int
}

// Choice is the chosen worker and the reason; Worker is empty if there was no candidate.
type Choice struct {
	Worker string
	Reason Reason
	// Cost is the policy's cost of the worker; less is better. Costs of different policies
	// are not comparable.
	Cost float64
}

// Reason is why a worker was chosen.
type Reason string

// The values of Reason. NoRoom: there was no candidate.
const (
	NoRoom      Reason = "no-worker-has-room"
	FirstFit    Reason = "first-that-fits"
	LeastLoaded Reason = "least-loaded"
	LeastHarm   Reason = "least-expected-harm"
)

// --------------------------------------------------------------- policies

// Policy assigns each candidate a cost; less is better.
type Policy struct {
	Name   string
	Help   string
	Reason Reason
	cost   func(m *interference.Model, t Task, w Worker, index int) float64
}

// Policies is the look-up table of all policies. A new policy needs a cost function and a row.
var Policies = []Policy{
	{"least-harm", "Least expected harm to the services on the worker, plus small costs for a shared rack and for a less full worker.", LeastHarm, expectedHarmCost},
	{"first-fit", "The first worker by name that has room (baseline).", FirstFit, firstFitCost},
	{"least-loaded", "The worker with the smallest share reserved (baseline).", LeastLoaded, reservedShareCost},
}

// PolicyByName returns the policy with a name, and the first policy for an unknown name.
func PolicyByName(name string) Policy {
	for _, p := range Policies {
		if p.Name == name {
			return p
		}
	}
	return Policies[0]
}

// Choose returns the candidate with the least cost, and the first one of equals.
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
	// rackWeight is the cost of each further task of the job in the same rack. It equals harm
	// of a fiftieth of a service's latency target.
	rackWeight = 0.02
	// fitWeight prefers the fuller one of equally harmless workers, which keeps whole hosts
	// free for large tasks.
	fitWeight = 0.01
	// acceleratorWeight keeps tasks without accelerators off workers that have free ones.
	acceleratorWeight = 0.05
)

func firstFitCost(_ *interference.Model, _ Task, _ Worker, index int) float64 {
	return float64(index)
}

func reservedShareCost(_ *interference.Model, t Task, w Worker, _ int) float64 {
	used := w.Capacity.Minus(w.Free).Plus(t.Size)
	return used.DominantShare(w.Capacity)
}

// expectedHarmCost is the increase of the squared ratios of latency to target, summed over the
// worker's services. Squaring makes the same harm more costly for a service near its target than
// for one far below it.
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
