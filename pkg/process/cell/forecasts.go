package cell

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/waitforecast"
	"github.com/wrenferry/wrenferry/pkg/request/admission"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Forecasts of the wait of new jobs. Package waitforecast makes them; this file tells it of jobs, and puts the forecasts
// into load messages.

const (
	// forecastInterval is the period at which forecasts are computed. Hosts request loads about as often.
	forecastInterval = 100 * time.Millisecond
	// maxForecastDelay is the greatest age of forecasts in a load message: a leader that has taken no decision for longer
	// does not know what waits.
	maxForecastDelay = time.Second
)

// waitForecasts are the forecasts of one leadership.
type waitForecasts struct {
	*waitforecast.Forecaster
	// reported are the last forecasts, as of computedAt. Load messages share the slice, so it is never changed.
	reported   []*wire.QueueForecast
	computedAt time.Time
	// refusing holds, by class, since when and until when new jobs would be too late.
	refusing map[refusedClass]*refusal
}

// refusedClass names a size class of a queue.
type refusedClass struct {
	queue   string
	largest bool
}

type refusal struct{ since, last time.Time }

// startForecasts begins to make forecasts, or ends it, as the settings say. Jobs that arrived before count as waiting,
// without a forecast.
func (s *State) startForecasts(now time.Time) {
	wanted := s.phase == leading && (s.bounds.RefuseLate == RefuseLog || s.bounds.RefuseLate == RefuseOn)
	switch {
	case !wanted:
		s.forecasts = nil
	case s.forecasts == nil:
		s.forecasts = &waitForecasts{Forecaster: waitforecast.New(now), computedAt: now, refusing: map[refusedClass]*refusal{}}
		for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
			if j := s.jobs[id]; s.forecastable(j) && !j.HasStarted {
				s.forecasts.Restored(s.forecastJob(j))
			}
		}
	}
}

// forecastable reports whether a job gets a forecast.
func (s *State) forecastable(j *jobs.Job) bool {
	return s.forecasts != nil && s.manifest != nil && !j.Ended() && !j.Delegated() && admission.Forecastable(j.Spec)
}

// forecastJob describes a job for its forecast. It leaves the job's own estimates alone, so that the order of starts does
// not depend on whether there are forecasts.
func (s *State) forecastJob(j *jobs.Job) waitforecast.Job {
	q := s.queueOf(j)
	chain := admission.LongestChain(j.Spec, func(step *wire.StepSpec) time.Duration {
		if !s.enabled(LearnedTimes) {
			return declaredTime(step)
		}
		return s.runtimes.StepTime(j.Spec.GetQueue(), declaredTime(step), int(step.GetCount()))
	})
	return waitforecast.Job{
		ID: j.Spec.GetId(), Queue: j.Spec.GetQueue(), Since: j.AcceptedAt, Work: admission.WorkOf(j.Spec),
		Chain: chain, Objective: time.Duration(float64(chain)*q.Stretch) + q.Slack,
	}
}

// forecastArrival makes the forecast for a job that has just arrived.
func (s *State) forecastArrival(now time.Time, j *jobs.Job) {
	if s.forecastable(j) {
		s.forecasts.Arrived(now, s.forecastJob(j))
	}
}

// forecastBegan takes note of a job that starts a task, here or in another cell.
func (s *State) forecastBegan(j *jobs.Job) {
	if s.forecasts != nil {
		s.forecasts.Began(j.Spec.GetId())
	}
}

// forecastEnd takes note of a job that has ended.
func (s *State) forecastEnd(now time.Time, j *jobs.Job) {
	if s.forecasts != nil {
		s.forecasts.Ended(now, j.Spec.GetId(), j.Phase == wire.JobPhase_JOB_PHASE_COMPLETED)
	}
}

// mayForecast reports whether the cell starts jobs, so that their rate says how long others wait.
func (s *State) mayForecast() bool {
	return s.phase == leading && s.newTasksSettled() && !s.evacuating()
}

// updateForecasts computes the forecasts, if that is due.
func (s *State) updateForecasts(now time.Time) {
	f := s.forecasts
	if f == nil {
		return
	}
	f.Advance(now, s.mayForecast())
	if now.Sub(f.computedAt) < forecastInterval {
		return
	}
	f.reported, f.computedAt = nil, now
	for _, forecast := range f.Forecasts(now) {
		f.reported = append(f.reported, &wire.QueueForecast{
			Queue: forecast.Queue, Largest: forecast.Largest, WaitMs: forecast.Wait.Milliseconds(), Refuse: forecast.Refuse,
			CapacityInMs: forecast.CapacityIn.Milliseconds(), Observed: int32(forecast.Observed), Worthless: int32(forecast.Worthless),
		})
		s.noteRefusal(now, forecast)
	}
}

// noteRefusal logs when new jobs of a class begin to be too late, and when no host refuses them any more by a forecast
// that said so.
func (s *State) noteRefusal(now time.Time, f waitforecast.Forecast) {
	class := refusedClass{f.Queue, f.Largest}
	known := s.forecasts.refusing[class]
	n := Note{Kind: NoteRefusalBegan, AgeMs: -1, Detail: fmt.Sprintf(
		"queue %s, largest tenth %t, wait %d ms, %d of %d worthless", f.Queue, f.Largest, f.Wait.Milliseconds(), f.Worthless, f.Observed)}
	switch {
	case f.Refuse && known == nil:
		s.forecasts.refusing[class] = &refusal{since: now, last: now}
		s.note(n)
	case f.Refuse:
		known.last = now
	case known != nil && now.Sub(known.last) >= admission.MaxForecastAge:
		delete(s.forecasts.refusing, class)
		n.Kind, n.AgeMs = NoteRefusalEnded, known.last.Sub(known.since).Milliseconds()
		s.note(n)
	}
}

// reportedForecasts returns the forecasts for a load message, or nil if there are none that hold.
func (s *State) reportedForecasts(now time.Time) []*wire.QueueForecast {
	if s.forecasts == nil || !s.mayForecast() || now.Sub(s.forecasts.computedAt) > maxForecastDelay {
		return nil
	}
	return s.forecasts.reported
}
