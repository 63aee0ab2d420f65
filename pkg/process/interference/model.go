// Package interference learns which kinds of batch work slow which services down, and chooses the action
// when a service misses its target. Its only input is a service's tail latency on a worker, which
// arrives late.
//
// Package hall uses Model (one harm per pair, by normalised least mean squares) and Guard (at
// most one action for a missed target: first a throttle, later an eviction); package cell uses
// PressureModel and OwnLoad, Kalman filters over the levels of tail latencies.
//
// The package does no I/O, reads no clock and carries out no action itself.
package interference

// TaskCounts counts the running tasks of each kind on one worker.
type TaskCounts map[string]int

// pair identifies one learned harm: that of a kind of task on a service.
type pair struct {
	service string
	kind    string
}

const (
	// learningRate is the step size by which one sample changes the baseline and the harms of
	// the kinds that were present.
	learningRate = 0.3
	// unknownHarm is the assumed harm of a kind that has not run beside the service. It is above 0, so that
	// kinds known to be harmless are preferred.
	unknownHarm = 0.05
	// baselineRate is the step size for a service's latency ratio without batch work.
	baselineRate = 0.1
)

// Model holds the learned harms and baselines. It is not safe for concurrent use: only the control loop uses it.
type Model struct {
	harms     map[pair]float64
	baselines map[string]float64
}

// NewModel returns a model without samples.
func NewModel() *Model {
	return &Model{harms: map[pair]float64{}, baselines: map[string]float64{}}
}

// Harm returns the latency that one task of the kind adds to the service, as a share of the service's target
// (0.2: a fifth of the target).
func (m *Model) Harm(service, kind string) float64 {
	if h, ok := m.harms[pair{service, kind}]; ok {
		return h
	}
	return unknownHarm
}

// Predict returns the latency expected of a service beside the given batch work, as a share of its target.
func (m *Model) Predict(service string, present TaskCounts) float64 {
	level := m.baselines[service]
	for kind, n := range present {
		level += m.Harm(service, kind) * float64(n)
	}
	return level
}

// Learn updates the model by one sample. ratio is the service's latency as a share of its target, present the batch
// work on the worker when the sample was taken.
func (m *Model) Learn(service string, ratio float64, present TaskCounts) {
	residual := ratio - m.Predict(service, present)
	if len(present) == 0 {
		m.baselines[service] += baselineRate * residual
		return
	}
	norm := 1.0
	for _, n := range present {
		norm += float64(n * n)
	}
	for kind, n := range present {
		p := pair{service, kind}
		m.harms[p] = max(0, m.Harm(service, kind)+learningRate*residual*float64(n)/norm)
	}
	m.baselines[service] = max(0, m.baselines[service]+learningRate*residual/norm)
}
