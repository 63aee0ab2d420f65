package runner

import (
	"math"
	"math/rand/v2"
	"time"
)

// Candidate is the state of one backend server, as known to this entry host, for a Picker.
type Candidate struct {
	Name  string
	Local bool // in this entry host's own hall
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Outstanding is the number of this host's outstanding requests to the server.
	Outstanding int
	// OtherLoad is the number of other requests that the server reported at ReportedAt.
	OtherLoad  int
	ReportedAt time.Time
	// Latency is the moving average of the server's answer times, as of LatencyAt.
	Latency   time.Duration
	LatencyAt time.Time
	// Sent is the number of requests that this host has sent to the server so far.
	Sent int64
}

// Picker is a load-balancing policy for one service; it may keep state. Pick returns
// the index of the chosen candidate, or -1 when all are full.
type Picker interface {
	Pick(now time.Time, list []Candidate, random *rand.Rand) int
}

// reportHalfLife is the time in which the weight of a server's report halves. Requests
// last a fraction of a second, so a report that is a second old says little.
const reportHalfLife = 200 * time.Millisecond

// Load returns the estimated number of requests at the server.
func (c Candidate) Load(now time.Time) float64 {
	if c.ReportedAt.IsZero() {
		return float64(c.Outstanding)
	}
	halves := float64(now.Sub(c.ReportedAt)) / float64(reportHalfLife)
	return float64(c.Outstanding) + float64(c.OtherLoad)*math.Exp2(-halves)
}

// Full returns whether the estimated load leaves no free slot at the server.
func (c Candidate) Full(now time.Time) bool {
	return c.Load(now) > float64(c.Slots)-0.5
}
