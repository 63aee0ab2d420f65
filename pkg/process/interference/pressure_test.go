package interference_test

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/interference"
)

// queueTail returns the tail latency of a queue whose unloaded tail is a sixth of its target.
func queueTail(target time.Duration, busy float64) time.Duration {
	return time.Duration(float64(target) / 6 / (1 - min(busy, 0.99)))
}

// simulateReadings simulates a serving task for a minute. Its own load swings by half with a period of 20 s. utilizationBy holds
// the utilization that each filler adds when it uses all processors. A seeded generator decides when each filler
// runs. roughness is the relative standard deviation of the tail.
func simulateReadings(press *interference.PressureModel, image string, utilizationBy map[string]float64, roughness float64) {
	const target = 150 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	begin := time.Unix(0, 0)
	own := interference.OwnLoad{}
	used := map[string]float64{}
	for i := range 120 {
		now := begin.Add(time.Duration(i) * 500 * time.Millisecond)
		if i%4 == 0 {
			clear(used)
			for _, filler := range slices.Sorted(maps.Keys(utilizationBy)) {
				if random.IntN(2) == 0 {
					used[filler] = 0.1
				}
			}
		}
		busy := 0.48 * (1 + 0.5*math.Sin(2*math.Pi*float64(i)/40))
		for filler, share := range used {
			busy += utilizationBy[filler] * share
		}
		tail := time.Duration(float64(queueTail(target, busy)) * (1 + roughness*random.NormFloat64()))
		press.Learn(now, image, interference.NewReading(tail, target), used, &own)
		press.Merge(now)
	}
}

// The coefficient of a pair doesn't depend on the load of the serving task, so the estimates separate harmful
// from harmless fillers while the load swings.
func TestCoefficientsSeparateHarmfulFromHarmlessFillers(t *testing.T) {
	t.Parallel()
	press := interference.NewPressureModel()
	simulateReadings(press, "quotes", map[string]float64{"hard": 2, "harder": 3, "mild": 0.15, "none": 0}, 0.04)
	must.Between(t, 8.0, press.Coefficient("quotes", "hard"), 16.0, must.Sprint("6 x 2"))
	must.Between(t, 12.0, press.Coefficient("quotes", "harder"), 24.0, must.Sprint("6 x 3"))
	must.Between(t, 0.0, press.Coefficient("quotes", "mild"), 4.0, must.Sprint("6 x 0.15"))
	must.Between(t, 0.0, press.Coefficient("quotes", "none"), 4.0)
	must.Between(t, -2.6, press.LevelAlone("quotes"), -1.6, must.Sprint("1 - 6 x 0.52"))
}

func TestImagesSlowedByTheSameFillersAreSimilar(t *testing.T) {
	t.Parallel()
	press := interference.NewPressureModel()
	simulateReadings(press, "quotes", map[string]float64{"a": 2, "b": 0.1, "c": 0.1, "d": 2}, 0.04)
	simulateReadings(press, "sheets", map[string]float64{"a": 2, "b": 0.1, "c": 0.1, "d": 2}, 0.04)
	simulateReadings(press, "rates", map[string]float64{"a": 0.1, "b": 2, "c": 2, "d": 0.1}, 0.04)
	must.Greater(t, 0.6, press.Similarity("quotes", "sheets"))
	must.Less(t, 0.25, press.Similarity("quotes", "rates"))
	must.Eq(t, 1, press.Similarity("rates", "rates"))
	must.Between(t, 0.1, press.Similarity("rates", "unseen"), 0.5)
}

// The forecast of the own load for the next second follows a load wave with a period of 20 s.
func TestForecastFollowsOwnLoad(t *testing.T) {
	t.Parallel()
	press := interference.NewPressureModel()
	const target = 150 * time.Millisecond
	own := interference.OwnLoad{}
	begin := time.Unix(0, 0)
	level := func(at time.Duration) float64 {
		busy := 0.48 * (1 + 0.5*math.Sin(2*math.Pi*at.Seconds()/20))
		return 1 - 6*(1-busy)
	}
	worst := 0.0
	for at := time.Duration(0); at < time.Minute; at += 500 * time.Millisecond {
		tail := queueTail(target, 1-(1-level(at))/6)
		press.Learn(begin.Add(at), "quotes", interference.NewReading(tail, target), nil, &own)
		press.Merge(begin.Add(at))
		if at > 10*time.Second {
			expected := press.LevelAlone("quotes") + own.Forecast(time.Second)
			worst = max(worst, math.Abs(expected-level(at+time.Second)))
		}
	}
	must.Less(t, 0.5, worst, must.Sprint("a second ahead; the wave is 1.4 high"))
}

func TestSaturatedReadingIsALowerBound(t *testing.T) {
	t.Parallel()
	press := interference.NewPressureModel()
	const target = 150 * time.Millisecond
	own := interference.OwnLoad{}
	begin := time.Unix(0, 0)
	for i := range 40 {
		now := begin.Add(time.Duration(i) * 500 * time.Millisecond)
		press.Learn(now, "quotes", interference.NewReading(100*target, target), map[string]float64{"hard": 0.5}, &own)
		press.Merge(now)
	}
	before := press.Predict("quotes", map[string]float64{"hard": 0.5})
	must.Greater(t, 0.8, before+own.Forecast(0))
}

// A leader with few readings of its own uses the beliefs received from other leaders, and doesn't pass them on as its
// own. Beliefs that know less don't replace them.
func TestReceivedBeliefsAreUsedButNotPassedOn(t *testing.T) {
	t.Parallel()
	learned := interference.NewPressureModel()
	simulateReadings(learned, "quotes", map[string]float64{"hard": 2, "mild": 0.1}, 0.04)
	fresh := interference.NewPressureModel()
	fresh.SetPeerBeliefs("a", learned.OwnBeliefs())
	fresh.Merge(time.Unix(100, 0))
	must.Eq(t, learned.Coefficient("quotes", "hard"), fresh.Coefficient("quotes", "hard"))
	must.Eq(t, 0, len(fresh.OwnBeliefs()), must.Sprint("received beliefs are not its own"))
	fresh.SetPeerBeliefs("a", interference.Beliefs{}) // from the cell's next leader, which has no readings yet
	fresh.Merge(time.Unix(200, 0))
	must.Eq(t, learned.Coefficient("quotes", "hard"), fresh.Coefficient("quotes", "hard"))
}
