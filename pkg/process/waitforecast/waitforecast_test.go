package waitforecast_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/waitforecast"
)

var start = time.Unix(1000, 0)

// model is a cell whose jobs have an objective of a second and a chain of half a second: they are worthless after 3 s.
type model struct {
	*waitforecast.Forecaster
	now time.Time
	n   int
}

func newModel() *model { return &model{Forecaster: waitforecast.New(start), now: start} }

func (m *model) job() waitforecast.Job {
	m.n++
	return waitforecast.Job{
		ID: strconv.Itoa(m.n), Queue: "checks", Since: m.now, Work: 1000, Chain: 500 * time.Millisecond, Objective: time.Second,
	}
}

// run lets time pass, with one arrival each 50 ms.
func (m *model) run(span time.Duration, scheduling bool) {
	for until := m.now.Add(span); m.now.Before(until); {
		m.now = m.now.Add(50 * time.Millisecond)
		m.Advance(m.now, scheduling)
		m.Arrived(m.now, m.job())
	}
}

// pass lets time pass without arrivals.
func (m *model) pass(span time.Duration) {
	for until := m.now.Add(span); m.now.Before(until); {
		m.now = m.now.Add(100 * time.Millisecond)
		m.Advance(m.now, true)
	}
}

// forecast returns the forecast for jobs of usual size.
func (m *model) forecast(t *testing.T) waitforecast.Forecast {
	list := m.Forecasts(m.now)
	must.SliceNotEmpty(t, list)
	return list[0]
}

func TestRefusesOnceTwentyJobsWereWorthless(t *testing.T) {
	t.Parallel()
	m := newModel()
	m.run(3*time.Second, true)
	f := m.forecast(t)
	must.False(t, f.Refuse, must.Sprint("no outcome is known yet"))
	must.Greater(t, 3*time.Second, f.Wait)
	m.run(4*time.Second, true)
	f = m.forecast(t)
	must.True(t, f.Refuse)
	must.GreaterEq(t, 20, f.Observed)
	must.Eq(t, f.Observed, f.Worthless)
	must.Positive(t, f.CapacityIn)
}

// Guards against a refusal by estimates that are too long: jobs that were counted as worthless end in time.
func TestJobsThatEndInTimeCorrectTheRecord(t *testing.T) {
	t.Parallel()
	m := newModel()
	m.pass(1200 * time.Millisecond)
	for range 30 {
		m.Arrived(m.now, m.job())
	}
	m.pass(2700 * time.Millisecond)
	f := m.forecast(t)
	must.Eq(t, 30, f.Observed)
	must.Eq(t, 30, f.Worthless)
	for id := range m.n {
		m.Ended(m.now, strconv.Itoa(id+1), true)
	}
	f = m.forecast(t)
	must.Eq(t, 30, f.Observed)
	must.Eq(t, 0, f.Worthless)
}

// A leader that was suspended, or that may not start anything, must not take the time for a rate of zero.
func TestTimeWithoutSchedulingGivesNoForecast(t *testing.T) {
	t.Parallel()
	m := newModel()
	m.run(10*time.Second, false)
	must.SliceEmpty(t, m.Forecasts(m.now))
	m.now = m.now.Add(time.Minute)
	m.Advance(m.now, true)
	must.SliceEmpty(t, m.Forecasts(m.now))
}

// Jobs of an earlier leader count as waiting, but their outcome belongs to no forecast.
func TestRestoredJobsAreNotRecorded(t *testing.T) {
	t.Parallel()
	m := newModel()
	m.pass(1200 * time.Millisecond)
	for range 30 {
		m.Restored(m.job())
	}
	must.Eq(t, 30*1200*time.Millisecond, m.forecast(t).Wait)
	m.pass(5 * time.Second)
	f := m.forecast(t)
	must.Eq(t, 0, f.Observed)
	must.Eq(t, 0, f.Wait)
}

// A shrinking backlog means that starts catch up, so the record of the wave no longer applies.
func TestDoesNotRefuseWhileTheBacklogShrinks(t *testing.T) {
	t.Parallel()
	m := newModel()
	m.run(7*time.Second, true)
	must.True(t, m.forecast(t).Refuse)
	for id := range 30 {
		m.Began(strconv.Itoa(id + 1))
	}
	must.False(t, m.forecast(t).Refuse)
}

// The record spans 20 s: after that, jobs are accepted until there is a new one.
func TestOldOutcomesAreForgotten(t *testing.T) {
	t.Parallel()
	m := newModel()
	m.run(7*time.Second, true)
	m.pass(30 * time.Second)
	must.Eq(t, 0, m.forecast(t).Observed)
}

// Jobs that their callers cancelled say nothing of the wait.
func TestCancelledJobsAreNotRecorded(t *testing.T) {
	t.Parallel()
	m := newModel()
	m.run(2*time.Second, true)
	for id := range m.n {
		m.Ended(m.now, strconv.Itoa(id+1), false)
	}
	m.pass(5 * time.Second)
	must.Eq(t, 0, m.forecast(t).Observed)
}

func BenchmarkArrivalStartEnd(b *testing.B) {
	m := newModel()
	m.run(10*time.Second, true)
	for b.Loop() {
		m.now = m.now.Add(5 * time.Millisecond)
		j := m.job()
		m.Arrived(m.now, j)
		m.Advance(m.now, true)
		m.Began(j.ID)
		m.Ended(m.now, j.ID, true)
	}
}

func BenchmarkForecasts(b *testing.B) {
	m := newModel()
	m.run(10*time.Second, true)
	for b.Loop() {
		m.Forecasts(m.now)
	}
}
