// Package admission decides at an entry host whether a new job is refused because it would surely be too late.
//
// Package intake asks it before it accepts a job. Load pattern: for seconds, a queue gets two to three times the jobs
// that its cells can run. A job that would wait until it is worthless takes the places of others, and its caller would
// have a use for an early answer. The decision rests on the forecasts of the cells' leaders (package waitforecast), which
// many hosts read up to seconds late: a forecast that is missing or old, or a class of jobs that is not known, means that
// the job is accepted. The limits on Retry-After follow from how long callers keep retrying.
//
// It makes no calls and reads no clock.
package admission

import (
	"fmt"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// MaxForecastAge is the largest age of a forecast that counts. A wave of jobs ends within a few seconds, and a
	// refusal that outlasts it is wrong.
	MaxForecastAge = 2 * time.Second
	// WorthlessFactor is the multiple of its objective after which a job is worthless.
	WorthlessFactor = 3
	// acceptedShare: one of so many jobs that would be refused is accepted. Without any, the leaders' records would end.
	acceptedShare = 16
	// minRetryAfter and maxRetryAfter bound Retry-After. Callers wait whole seconds, and retry 4 times: a longer wait
	// would leave capacity idle after a wave.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
	// minSlot and maxSlot bound the interval between the slots of successive refusals, where the rate is a poor estimate.
	minSlot = 10 * time.Millisecond
	maxSlot = time.Second
	// maxQueues bounds the number of queues with state here. A manifest has a few of them.
	maxQueues = 64
)

// The treatments of jobs that would surely be too late.
const (
	Off = "off"
	// Log accepts these jobs, and logs that they would have been refused.
	Log = "log"
	On  = "on"
)

// Job is what the decision depends on.
type Job struct {
	Queue string
	// Work is the work of all tasks in millicore milliseconds, Chain the longest chain of steps, both as the caller
	// declared them.
	Work             int64
	Chain, Objective time.Duration
}

// NewJob describes a job of a queue. It returns false for a job that no forecast applies to: lasting work has no end, and
// repeated work is not due at once.
func NewJob(q manifest.Queue, spec *wire.JobSpec) (Job, bool) {
	if !Forecastable(spec) {
		return Job{}, false
	}
	chain := LongestChain(spec, func(step *wire.StepSpec) time.Duration { return time.Duration(step.GetEstimateMs()) * time.Millisecond })
	return Job{Queue: q.Name, Work: WorkOf(spec), Chain: chain, Objective: time.Duration(float64(chain)*q.Stretch) + q.Slack}, true
}

// LongestChain returns the longest chain of a job's steps, by an estimate of the duration of each.
func LongestChain(spec *wire.JobSpec, estimate func(*wire.StepSpec) time.Duration) time.Duration {
	steps := spec.GetSteps()
	chains := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i := len(steps) - 1; i >= 0; i-- { // a step depends only on earlier ones
		chains[i] += estimate(steps[i])
		for _, before := range steps[i].GetAfter() {
			if before >= 0 && int(before) < i {
				chains[before] = max(chains[before], chains[i])
			}
		}
		longest = max(longest, chains[i])
	}
	return longest
}

// Forecastable reports whether forecasts apply to a job.
func Forecastable(spec *wire.JobSpec) bool {
	for _, step := range spec.GetSteps() {
		if step.GetLasting() {
			return false
		}
	}
	return spec.GetRepeats() == 0 && spec.GetHome() == "" && len(spec.GetSteps()) > 0
}

// WorkOf returns the declared work of a job in millicore milliseconds.
func WorkOf(spec *wire.JobSpec) int64 {
	sum := int64(0)
	for _, step := range spec.GetSteps() {
		sum += step.GetMillicores() * int64(step.GetCount()) * step.GetEstimateMs()
	}
	return sum
}

// Cell is a cell that could take a job. Load is nil if none is known.
type Cell struct {
	Name string
	Load *wire.CellLoad
	Age  time.Duration
}

// Decision is the decision on one job.
type Decision struct {
	// Refuse means that each cell that could take the job says that it would be too late. Sampled means that the job is
	// accepted nevertheless, to keep the record.
	Refuse, Sampled bool
	// Refusing holds the cells that say so, also if others don't.
	Refusing map[string]bool
	// Why names the queue, the forecasts and the records.
	Why string

	queue      string
	capacityIn time.Duration
	slot       time.Duration
}

// Admission keeps the sizes of recent jobs and the slots of refused ones, by queue. It is not safe for concurrent use.
type Admission struct{ queues map[string]*queue }

// queue is what is kept of one queue.
type queue struct {
	sizes Sizes
	// refusable counts the jobs that were refused or sampled.
	refusable int
	// nextSlot is the time of the next free slot.
	nextSlot time.Time
}

// New returns an Admission without jobs.
func New() *Admission { return &Admission{queues: map[string]*queue{}} }

// queue returns what is kept of a queue. Beyond maxQueues, all queues start anew: that affects only the order of retries,
// and jobs are accepted until their sizes are known again.
func (a *Admission) queue(name string) *queue {
	if a.queues[name] == nil {
		if len(a.queues) >= maxQueues {
			clear(a.queues)
		}
		a.queues[name] = &queue{}
	}
	return a.queues[name]
}

// Decide decides on a new job. cells are all cells that could take it.
func (a *Admission) Decide(job Job, cells []Cell) Decision {
	q := a.queue(job.Queue)
	largest, known := q.sizes.Largest(job.Work)
	q.sizes.Add(job.Work)
	d := Decision{queue: job.Queue, Refusing: map[string]bool{}}
	if !known {
		return d
	}
	rate := 0.0
	var why []string
	for _, c := range cells {
		f := forecastFor(c, job, largest)
		if f == nil {
			continue
		}
		d.Refusing[c.Name] = true
		why = append(why, fmt.Sprintf("%s: wait %d ms, %d of %d worthless", c.Name, f.GetWaitMs(), f.GetWorthless(), f.GetObserved()))
		if in := time.Duration(f.GetCapacityInMs()) * time.Millisecond; len(why) == 1 || in < d.capacityIn {
			d.capacityIn = in
		}
		rate += float64(c.Load.GetPending()[job.Queue]) / (time.Duration(f.GetWaitMs()) * time.Millisecond).Seconds()
	}
	if len(cells) == 0 || len(d.Refusing) < len(cells) {
		return d
	}
	d.slot = min(maxSlot, max(minSlot, time.Duration(float64(time.Second)/max(rate, 1))))
	d.Why = fmt.Sprintf("queue %s, largest tenth %t, objective %d ms, would surely be too late (%s)",
		job.Queue, largest, job.Objective.Milliseconds(), strings.Join(why, "; "))
	q.refusable++
	d.Sampled = q.refusable%acceptedShare == 0
	d.Refuse = !d.Sampled
	return d
}

// forecastFor returns the forecast by which a cell refuses a job, or nil if the cell may take it.
func forecastFor(c Cell, job Job, largest bool) *wire.QueueForecast {
	if c.Load == nil || c.Age > MaxForecastAge {
		return nil
	}
	for _, f := range c.Load.GetForecasts() {
		if f.GetQueue() != job.Queue || f.GetLargest() != largest {
			continue
		}
		if wait := time.Duration(f.GetWaitMs()) * time.Millisecond; f.GetRefuse() && wait+job.Chain > WorthlessFactor*job.Objective {
			return f
		}
	}
	return nil
}

// TakeSlot takes the next slot of the queue of a refused job, and returns after what time its caller should retry.
// Those who were refused first get the first slots.
func (a *Admission) TakeSlot(now time.Time, d Decision) time.Duration {
	q := a.queue(d.queue)
	at := now.Add(d.capacityIn)
	if q.nextSlot.After(at) {
		at = q.nextSlot
	}
	if last := now.Add(maxRetryAfter); at.After(last) {
		at = last
	}
	q.nextSlot = at.Add(d.slot)
	return max(minRetryAfter, at.Sub(now))
}
