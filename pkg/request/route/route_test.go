package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/connection/runner"
	"github.com/wrenferry/wrenferry/pkg/request/route"
)

// The two servers drawn must differ: of two servers, the slow one is never chosen while the other has free
// capacity.
func TestTwoChoicesDrawsDifferentServers(t *testing.T) {
	now := time.Unix(1, 0)
	list := []runner.Candidate{
		{Name: "slow", Local: true, Slots: 8, Latency: 200 * time.Millisecond, LatencyAt: now},
		{Name: "fast", Local: true, Slots: 8, Latency: 40 * time.Millisecond, LatencyAt: now},
	}
	picker := route.New("two-choices")
	random := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		must.Eq(t, 1, picker.Pick(now, list, random))
	}
}

// A server that was slow, or has not answered yet, must be tried again at some time: a server that
// is never chosen gets no new latency.
func TestOldLatenciesLoseWeight(t *testing.T) {
	begin := time.Unix(1, 0)
	list := []runner.Candidate{
		{Name: "was slow", Local: true, Slots: 8, Latency: 20 * time.Millisecond, LatencyAt: begin},
		{Name: "fast", Local: true, Slots: 8, Latency: 500 * time.Microsecond},
		{Name: "fast too", Local: true, Slots: 8, Latency: 500 * time.Microsecond},
	}
	for _, c := range []struct {
		after time.Duration
		own   int
		tried bool
	}{
		{after: time.Second, tried: false},
		{after: 20 * time.Second, tried: true},
		{after: 20 * time.Second, own: 1, tried: false}, // one request at a time tests it
	} {
		now := begin.Add(c.after)
		list[0].Outstanding, list[1].LatencyAt, list[2].LatencyAt = c.own, now, now
		picker := route.New("two-choices")
		random := rand.New(rand.NewPCG(1, 2))
		tried := false
		for range 100 {
			tried = tried || picker.Pick(now, list, random) == 0
		}
		must.Eq(t, c.tried, tried, must.Sprintf("after %v with %d there", c.after, c.own))
	}
}

func BenchmarkPick(b *testing.B) {
	now := time.Unix(1, 0)
	random := rand.New(rand.NewPCG(1, 2))
	for _, n := range []int{12, 50, 200} {
		list := make([]runner.Candidate, n)
		for i := range list {
			list[i] = runner.Candidate{Local: i%3 == 0, Slots: 8, Outstanding: i % 3, Latency: time.Millisecond}
		}
		for _, p := range route.Policies {
			b.Run(fmt.Sprintf("%s/servers=%d", p.Name, n), func(b *testing.B) {
				picker := p.New()
				b.ReportAllocs()
				for b.Loop() {
					picker.Pick(now, list, random)
				}
			})
		}
	}
}
