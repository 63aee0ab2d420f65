// Package interference learns which kinds of batch work harm which services, and says what to
// do when a service misses its target. The only evidence is a service's tail latency on a
// worker, which arrives late.
//
// Package hall uses Model (one harm per pair, by normalised least mean squares) and Guard (at
// most one action for a missed target: first a throttle, later an eviction); package cell uses
// Press and OwnLoad, filters over the levels of queues.
//
// It makes no calls and reads no clock, and acts on nothing itself.
package interference

// Present counts the running tasks of each kind on one worker.
type Present map[string]int

// pair names one learned harm.
type pair struct {
	service string
	kind    string
}

const (
	// learningRate is how far one sample moves the harms it speaks of.
	learningRate = 0.3
	// unknownHarm is what a kind that was never seen beside a service is taken
	// to do: a little, so that known-harmless kinds go first.
	unknownHarm = 0.05
	// baselineRate is how fast a service's level without batch work is learnt.
	baselineRate = 0.1
)

// Model holds what has been learnt. It belongs to the control thread.
type Model struct {
	harms     map[pair]float64
	baselines map[string]float64
}

// NewModel returns a model that knows nothing.
func NewModel() *Model {
	return &Model{harms: map[pair]float64{}, baselines: map[string]float64{}}
}

// Harm is how much one task of the kind adds to the service's latency, as a
// share of the service's target (0.2: a fifth of the target).
func (m *Model) Harm(service, kind string) float64 {
	if h, ok := m.harms[pair{service, kind}]; ok {
		return h
	}
	return unknownHarm
}

// Predict is the latency expected of a service beside the given work, as a
// share of its target.
func (m *Model) Predict(service string, present Present) float64 {
	level := m.baselines[service]
	for kind, n := range present {
		level += m.Harm(service, kind) * float64(n)
	}
	return level
}

// Learn takes in one sample: the service's latency as a share of its target,
// with the work that was present when the sample was taken.
func (m *Model) Learn(service string, ratio float64, present Present) {
	miss := ratio - m.Predict(service, present)
	if len(present) == 0 {
		m.baselines[service] += baselineRate * miss
		return
	}
	norm := 1.0
	for _, n := range present {
		norm += float64(n * n)
	}
	for kind, n := range present {
		p := pair{service, kind}
		m.harms[p] = max(0, m.Harm(service, kind)+learningRate*miss*float64(n)/norm)
	}
	m.baselines[service] = max(0, m.baselines[service]+learningRate*miss/norm)
}
