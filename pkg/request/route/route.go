// Package route chooses a backend server for one request; pools of package runner ask it.
//
// Entry hosts don't see each other's requests, so the load of a server is an estimate: what
// this host has outstanding there, plus what the server last reported beyond that, which
// counts for less as it ages. Policies stand in one look-up table; all but the first are
// baselines.
//
// It makes no calls and reads no clock; random numbers are handed in.
package route

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/wrenferry/wrenferry/pkg/connection/runner"
)

// Policy is a row of the look-up table.
type Policy struct {
	Name string
	Help string
	New  func() runner.Picker
}

// Policies is the look-up table. To add one: a type and a row.
var Policies = []Policy{
	{"two-choices", "Two servers at random, the better by estimated load and answer time; the own hall first.", func() runner.Picker { return twoChoices{} }},
	{"round-robin", "One after another (baseline).", func() runner.Picker { return &roundRobin{} }},
	{"random", "Any (baseline).", func() runner.Picker { return randomPick{} }},
	{"least-own", "The one with the fewest requests of this entry host (baseline).", func() runner.Picker { return leastOwn{} }},
}

// New returns a picker by its policy's name; an unknown name gives the first.
func New(name string) runner.Picker {
	for _, p := range Policies {
		if p.Name == name {
			return p.New()
		}
	}
	return Policies[0].New()
}

// ------------------------------------------------------------ two choices

// otherHallCost is what another hall costs in answer time: the extra way there and
// back.
const otherHallCost = 3 * time.Millisecond

// latencyHalfLife is how fast the answer time of an idle server loses weight. A
// server ten times as slow as the rest is tried again after about seven seconds,
// which costs each entry host one slow request in that time; without it, one that
// answered slowly once would be left alone for good.
const latencyHalfLife = 2 * time.Second

type twoChoices struct{}

// decayedLatency is what the answer time counts for. Only an idle server's fades, so that
// one request at a time tests it.
func decayedLatency(now time.Time, c runner.Candidate) float64 {
	if c.Own > 0 {
		return float64(c.Latency)
	}
	halves := float64(now.Sub(c.LatencyAt)) / float64(latencyHalfLife)
	return float64(c.Latency) * math.Exp2(-max(0, halves))
}

// expectedLatency is the answer time to expect. The share of slots taken stretches it,
// since a fuller server is likelier to be found full on arrival.
func expectedLatency(now time.Time, c runner.Candidate) float64 {
	e := decayedLatency(now, c) * (1 + c.Load(now)/float64(c.Slots))
	if !c.Local {
		e += float64(otherHallCost)
	}
	return e
}

// Pick draws two of the own hall and two of the others, and takes the best. The
// own hall has the shorter way; when what is left open there is slow or full,
// the way to another hall pays.
func (twoChoices) Pick(now time.Time, list []runner.Candidate, random *rand.Rand) int {
	here := betterOfTwo(now, list, true, random)
	there := betterOfTwo(now, list, false, random)
	switch {
	case here < 0:
		return there
	case there < 0 || expectedLatency(now, list[here]) <= expectedLatency(now, list[there]):
		return here
	}
	return there
}

// betterOfTwo draws two different servers with room and returns the better.
func betterOfTwo(now time.Time, list []runner.Candidate, local bool, random *rand.Rand) int {
	var open [256]int
	n := 0
	for i := range list {
		if list[i].Local == local && !list[i].Full(now) && n < len(open) {
			open[n] = i
			n++
		}
	}
	if n == 0 {
		return -1
	}
	i := random.IntN(n)
	a, b := open[i], open[i]
	if n > 1 {
		b = open[(i+1+random.IntN(n-1))%n] // never the same one twice
	}
	if expectedLatency(now, list[b]) < expectedLatency(now, list[a]) {
		return b
	}
	return a
}

// -------------------------------------------------------------- baselines

type roundRobin struct{ next int }

func (p *roundRobin) Pick(_ time.Time, list []runner.Candidate, _ *rand.Rand) int {
	if len(list) == 0 {
		return -1
	}
	p.next++
	return p.next % len(list)
}

type randomPick struct{}

func (randomPick) Pick(_ time.Time, list []runner.Candidate, random *rand.Rand) int {
	if len(list) == 0 {
		return -1
	}
	return random.IntN(len(list))
}

type leastOwn struct{}

func (leastOwn) Pick(_ time.Time, list []runner.Candidate, random *rand.Rand) int {
	best := -1
	ties := 0
	for i := range list {
		switch {
		case best < 0 || list[i].Own < list[best].Own:
			best, ties = i, 1
		case list[i].Own == list[best].Own:
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
