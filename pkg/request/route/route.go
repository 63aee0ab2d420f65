// Package route chooses a backend server for one request. The pools of package runner call it.
//
// Entry hosts don't know each other's requests, so the load of a server is an estimate: the
// requests that this host has outstanding there, plus the further ones that the server last
// reported, whose weight falls with age. Policies lists the policies; all but the first are
// baselines.
//
// The package makes no calls and reads no clock; callers pass the random source.
package route

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/wrenferry/wrenferry/pkg/connection/runner"
)

// Policy is a routing policy by name. New returns a picker with its own state.
type Policy struct {
	Name string
	Help string
	New  func() runner.Picker
}

// Policies lists all routing policies, the default first. A new one takes a runner.Picker and a row here.
var Policies = []Policy{
	{"two-choices", "Two servers at random, the better by estimated load and answer time; the own hall first.", func() runner.Picker { return twoChoices{} }},
	{"round-robin", "One after another (baseline).", func() runner.Picker { return &roundRobin{} }},
	{"random", "Any (baseline).", func() runner.Picker { return randomPick{} }},
	{"least-own", "The one with the fewest requests of this entry host (baseline).", func() runner.Picker { return leastOwn{} }},
}

// New returns a picker of the named policy, or of the first policy if the name is unknown.
func New(name string) runner.Picker {
	for _, p := range Policies {
		if p.Name == name {
			return p.New()
		}
	}
	return Policies[0].New()
}

// ------------------------------------------------------------ two choices

// otherHallCost is the time added to the latency of a server in another hall: the longer round
// trip.
const otherHallCost = 3 * time.Millisecond

// latencyHalfLife is the time in which the last latency of an idle server loses half its weight. A
// server ten times as slow as the rest is tried again after about seven seconds, which costs each
// entry host one slow request in that time. Without the decay, a server that once answered slowly
// would never be chosen again.
const latencyHalfLife = 2 * time.Second

type twoChoices struct{}

// decayedLatency returns a server's last latency in ns, decayed by its age if this host has no request
// there. So only one request at a time tests a slow server.
func decayedLatency(now time.Time, c runner.Candidate) float64 {
	if c.Outstanding > 0 {
		return float64(c.Latency)
	}
	halves := float64(now.Sub(c.LatencyAt)) / float64(latencyHalfLife)
	return float64(c.Latency) * math.Exp2(-max(0, halves))
}

// expectedLatency returns the latency in ns to expect of a server. It grows with the share of
// occupied slots, since a fuller server is more likely to be full when the request arrives.
func expectedLatency(now time.Time, c runner.Candidate) float64 {
	e := decayedLatency(now, c) * (1 + c.Load(now)/float64(c.Slots))
	if !c.Local {
		e += float64(otherHallCost)
	}
	return e
}

// Pick draws two servers of the own hall and two of other halls, and returns the one with the
// lowest expected latency. The own hall has the shorter round trip; another hall is worth it when
// the servers with free capacity in the own hall are slow or nearly full.
func (twoChoices) Pick(now time.Time, list []runner.Candidate, random *rand.Rand) int {
	local := betterOfTwo(now, list, true, random)
	remote := betterOfTwo(now, list, false, random)
	switch {
	case local < 0:
		return remote
	case remote < 0 || expectedLatency(now, list[local]) <= expectedLatency(now, list[remote]):
		return local
	}
	return remote
}

// betterOfTwo draws two different servers with free capacity and returns the index of the one with the lower
// expected latency. local selects the own hall or the others. It returns -1 if no server has free capacity.
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
		b = open[(i+1+random.IntN(n-1))%n] // never the same server twice
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
		case best < 0 || list[i].Outstanding < list[best].Outstanding:
			best, ties = i, 1
		case list[i].Outstanding == list[best].Outstanding:
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
