package runner

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

// reportHalfLife is how fast a report loses weight. Requests last a fraction of
// a second, so a report says little after one.
const reportHalfLife = 200 * time.Millisecond

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
