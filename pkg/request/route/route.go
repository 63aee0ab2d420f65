// Package route chooses a backend server for one request.
//
// Entry hosts don't see each other's requests, so the load of a server is an
// estimate: the requests that this host has outstanding there, plus what the
// server last reported beyond them, which counts for less as it ages. Choose is
// pure but for the random numbers handed in.
//
// Policies stand in one look-up table; all but the first are baselines.
package route

import (
	"math"
	"math/rand/v2"
	"time"
)

// Candidate is one backend server as this entry host sees it.
type Candidate struct {
	Name  string
	Local bool // in this entry host's own hall
	// Slots is how many requests the server runs at once.
	Slots int
	// Own is what this host has outstanding there.
	Own int
	// Others is what the server reported beyond that, at ReportedAt.
	Others     int
	ReportedAt time.Time
	// Latency is the server's recent answer time, as of LatencyAt.
	Latency   time.Duration
	LatencyAt time.Time
	// Sent counts what this host ever sent there.
	Sent int64
}

// Picker is one policy. Pick returns the index of the candidate, or -1 when all
// are full. It may keep state and belongs to one service.
type Picker interface {
	Pick(now time.Time, list []Candidate, random *rand.Rand) int
}

// Policy is a row of the look-up table.
type Policy struct {
	Name string
	Help string
	New  func() Picker
}

// Policies is the look-up table. To add one: a type and a row.
var Policies = []Policy{
	{"two-choices", "Two servers at random, the better by estimated load and answer time; the own hall first.", func() Picker { return twoChoices{} }},
	{"round-robin", "One after another (baseline).", func() Picker { return &roundRobin{} }},
	{"random", "Any (baseline).", func() Picker { return randomPick{} }},
	{"least-own", "The one with the fewest requests of this entry host (baseline).", func() Picker { return leastOwn{} }},
}

// New returns a picker by its policy's name; an unknown name gives the first.
func New(name string) Picker {
	for _, p := range Policies {
		if p.Name == name {
			return p.New()
		}
	}
	return Policies[0].New()
}

// ------------------------------------------------------------ two choices

// reportHalfLife is how fast a report loses weight. Requests last a fraction of
// a second, so a report says little after one.
const reportHalfLife = 200 * time.Millisecond

// spillCost is what another hall costs in answer time: the extra way there and
// back.
const spillCost = 3 * time.Millisecond

// latencyHalfLife is how fast the answer time of an idle server loses weight. A
// server ten times as slow as the rest is tried again after about seven seconds,
// which costs each entry host one slow request in that time; without it, one that
// answered slowly once would be left alone for good.
const latencyHalfLife = 2 * time.Second

type twoChoices struct{}

// Load estimates how many requests a server has.
func (c Candidate) Load(now time.Time) float64 {
	if c.ReportedAt.IsZero() {
		return float64(c.Own)
	}
	halves := float64(now.Sub(c.ReportedAt)) / float64(reportHalfLife)
	return float64(c.Own) + float64(c.Others)*math.Exp2(-halves)
}

// Full says whether a server is taken to have no free slot.
func (c Candidate) Full(now time.Time) bool {
	return c.Load(now) > float64(c.Slots)-0.5
}

// latency is what the answer time counts for. Only an idle server's fades, so that
// one request at a time tests it.
func (c Candidate) latency(now time.Time) float64 {
	if c.Own > 0 {
		return float64(c.Latency)
	}
	halves := float64(now.Sub(c.LatencyAt)) / float64(latencyHalfLife)
	return float64(c.Latency) * math.Exp2(-max(0, halves))
}

// expected is the answer time to expect. The share of slots taken stretches it,
// since a fuller server is likelier to be found full on arrival.
func (c Candidate) expected(now time.Time) float64 {
	e := c.latency(now) * (1 + c.Load(now)/float64(c.Slots))
	if !c.Local {
		e += float64(spillCost)
	}
	return e
}

// Pick draws two of the own hall and two of the others, and takes the best. The
// own hall has the shorter way; when what is left open there is slow or full,
// the way to another hall pays.
func (twoChoices) Pick(now time.Time, list []Candidate, random *rand.Rand) int {
	here := better(now, list, true, random)
	there := better(now, list, false, random)
	switch {
	case here < 0:
		return there
	case there < 0 || list[here].expected(now) <= list[there].expected(now):
		return here
	}
	return there
}

// better draws two different servers with room and returns the better.
func better(now time.Time, list []Candidate, local bool, random *rand.Rand) int {
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
	if list[b].expected(now) < list[a].expected(now) {
		return b
	}
	return a
}

// -------------------------------------------------------------- baselines

type roundRobin struct{ next int }

func (p *roundRobin) Pick(_ time.Time, list []Candidate, _ *rand.Rand) int {
	if len(list) == 0 {
		return -1
	}
	p.next++
	return p.next % len(list)
}

type randomPick struct{}

func (randomPick) Pick(_ time.Time, list []Candidate, random *rand.Rand) int {
	if len(list) == 0 {
		return -1
	}
	return random.IntN(len(list))
}

type leastOwn struct{}

func (leastOwn) Pick(_ time.Time, list []Candidate, random *rand.Rand) int {
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
