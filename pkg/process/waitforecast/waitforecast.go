// Package waitforecast forecasts how long new jobs of a queue wait in a cell, and whether they would surely end too late.
//
// Package cell reports arrivals, first starts and ends of jobs, and sends the forecasts to the hosts that accept jobs
// (package admission). Load pattern: a wave of jobs at two to three times the capacity lasts for seconds. The order of
// starts depends on priorities, outlooks and work left, so the number of waiting jobs alone does not tell which ones are
// too late. A forecast is therefore compared with what became of earlier jobs that had one as bad. Callers lose a job
// that is refused wrongly, so fewer than 20 such jobs, or more than 1 of 20 in time, mean that none is refused.
//
// It makes no calls and reads no clock. Counters by queue and size keep its cost small; no message makes it scan jobs.
package waitforecast

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/request/admission"
)

const (
	// minObserved is the least number of recorded jobs by which jobs are refused.
	minObserved = 20
	// worthlessOf: of so many recorded jobs with a forecast as bad or worse, at most one was in time if jobs are refused.
	worthlessOf = 20
	// recentJobs is how many of a queue's last jobs determine its longest objective.
	recentJobs = 128
)

// Job is an accepted job.
type Job struct {
	ID, Queue string
	// Since is when the job was accepted. Work is its declared work, as admission.WorkOf returns it.
	Since            time.Time
	Work             int64
	Chain, Objective time.Duration
}

// worthlessAfter returns how long after its acceptance the job is worthless.
func (j Job) worthlessAfter() time.Duration { return admission.WorthlessFactor * j.Objective }

// ratio returns the time from acceptance to end with the given wait, relative to the time after which the job is
// worthless.
func (j Job) ratio(wait time.Duration) float64 {
	return float64(wait+j.Chain) / float64(max(time.Millisecond, j.worthlessAfter()))
}

// Forecast is the forecast for a new job of a queue.
type Forecast struct {
	Queue string
	// Largest means that it is about the largest tenth of the queue's jobs, otherwise about the rest.
	Largest bool
	Wait    time.Duration
	// Refuse means that any job of this class which arrives now would surely be too late.
	Refuse bool
	// CapacityIn is after what time a new job is expected to end in time.
	CapacityIn time.Duration
	// Observed is the number of recent jobs whose forecast was as bad or worse, Worthless how many of them were too late.
	Observed, Worthless int
}

// Forecaster holds the counters of one cell during one leadership. It is not safe for concurrent use.
type Forecaster struct {
	queues map[string]*queue
	jobs   map[string]*tracked
	due    dueList
	clock  schedulingClock
	// arrived and begun are the work of the jobs that arrived and that began, of all queues.
	arrived, begun window
	// origin is the time from which outcomes are counted.
	origin time.Time
}

// queue is what is kept of one queue: the sizes and objectives of its last jobs, and its two classes.
type queue struct {
	sizes       admission.Sizes
	recent      []Job
	next        int
	rest, large class
}

// class is a size class of a queue.
type class struct {
	// waiting is the number of jobs that wait for their first start and can still be worth something, onTime the number
	// of those that can still be on time. The cell starts these first.
	waiting, onTime int
	starts          window
	record          record
}

// tracked is a job that has not ended.
type tracked struct {
	Job
	class *class
	// waiting means that the job counts in class.waiting, onTime that it counts in class.onTime.
	waiting, onTime, begun bool
	// badness is the level of the forecast made at the job's arrival; -1 if there was none.
	badness int
	// dueAt is when a job that has not begun can't be on time any more, and after that, when it is worthless. A job that
	// has begun is worthless unless it has ended by then.
	dueAt time.Time
	// index is the job's place in the dueList; -1 if it is not there.
	index int
	// late means that the job was recorded as worthless, lateAt when.
	late   bool
	lateAt time.Time
}

// New returns a Forecaster that knows no jobs.
func New(now time.Time) *Forecaster {
	return &Forecaster{queues: map[string]*queue{}, jobs: map[string]*tracked{}, origin: now, clock: schedulingClock{last: now}}
}

// Advance takes note that time has passed, and of the jobs that are worthless by now. scheduling means that the cell has
// been able to start jobs since the last call.
func (f *Forecaster) Advance(now time.Time, scheduling bool) {
	f.clock.advance(now, scheduling)
	for len(f.due) > 0 && !now.Before(f.due[0].dueAt) {
		t := f.due[0]
		end := t.Since.Add(t.worthlessAfter())
		switch {
		case !t.waiting && now.Before(end):
			t.dueAt = end // it has begun, so that only its end counts
			heap.Fix(&f.due, 0)
			continue
		case t.onTime:
			t.onTime = false
			t.class.onTime--
			t.dueAt = end.Add(-t.Chain)
			heap.Fix(&f.due, 0)
			continue
		}
		heap.Pop(&f.due)
		t.leave()
		if t.badness >= 0 {
			t.late, t.lateAt = true, now
			t.class.record.add(now.Sub(f.origin), t.badness, true)
		}
	}
}

// leave removes a job from those that wait for their first start.
func (t *tracked) leave() {
	if !t.waiting {
		return
	}
	t.waiting = false
	t.class.waiting--
	if t.onTime {
		t.onTime = false
		t.class.onTime--
	}
}

// Arrived adds a job that has arrived. The forecast for it is kept until its outcome is known.
func (f *Forecaster) Arrived(now time.Time, j Job) {
	if f.jobs[j.ID] != nil {
		return
	}
	t := f.add(j)
	if wait, known := f.wait(t.class, j); known {
		t.badness = badness(j.ratio(now.Sub(j.Since) + wait))
	}
	f.arrived.add(f.clock.scheduled, j.Work)
	f.await(t)
}

// Restored adds a job that arrived before this leadership. No forecast was made for it, so its outcome is not recorded.
func (f *Forecaster) Restored(j Job) {
	if f.jobs[j.ID] == nil {
		f.await(f.add(j))
	}
}

// add adds a job to the sizes of its queue, and determines its class.
func (f *Forecaster) add(j Job) *tracked {
	q := f.queues[j.Queue]
	if q == nil {
		q = &queue{}
		f.queues[j.Queue] = q
	}
	t := &tracked{Job: j, class: &q.rest, badness: -1, dueAt: j.Since.Add(j.Objective - j.Chain)}
	if largest, _ := q.sizes.Largest(j.Work); largest {
		t.class = &q.large
	}
	q.sizes.Add(j.Work)
	if len(q.recent) < recentJobs {
		q.recent = append(q.recent, j)
	} else {
		q.recent[q.next] = j
		q.next = (q.next + 1) % recentJobs
	}
	return t
}

// await counts a job as waiting for its first start.
func (f *Forecaster) await(t *tracked) {
	t.waiting, t.onTime = true, true
	t.class.waiting++
	t.class.onTime++
	f.jobs[t.ID] = t
	heap.Push(&f.due, t)
}

// Began takes note of the first start of a job here, or that its tasks went to another cell.
func (f *Forecaster) Began(id string) {
	t := f.jobs[id]
	if t == nil || t.begun {
		return
	}
	// A job that is worthless by now counts, too: the cell starts it only where no other job needs the capacity.
	t.begun = true
	t.leave()
	t.class.starts.add(f.clock.scheduled, 1)
	f.begun.add(f.clock.scheduled, t.Work)
}

// Ended takes note of the end of a job. The outcome of a job that failed or was cancelled before it was too late is not
// recorded, as it says nothing of the wait.
func (f *Forecaster) Ended(now time.Time, id string, completed bool) {
	t := f.jobs[id]
	if t == nil {
		return
	}
	delete(f.jobs, id)
	t.leave()
	if t.index >= 0 {
		heap.Remove(&f.due, t.index)
	}
	if t.badness < 0 || !completed {
		return
	}
	late := now.Sub(t.Since) > t.worthlessAfter()
	switch {
	case !t.late:
		t.class.record.add(now.Sub(f.origin), t.badness, late)
	case !late:
		// It ended in time although its estimated chain was too long for that.
		t.class.record.correct(now.Sub(f.origin), t.lateAt.Sub(f.origin), t.badness)
	}
}

// wait returns the forecast wait of a new job of a class until its first start: behind the jobs that can still be on time
// if it is on time itself then, and otherwise behind the late ones, too. It is not known before the cell has scheduled for
// some time.
func (f *Forecaster) wait(c *class, j Job) (time.Duration, bool) {
	span := f.clock.span()
	if span < minRateSpan {
		return 0, false
	}
	each := span / time.Duration(max(1, c.starts.last(f.clock.scheduled, rateSlots))) // without a start, at least the span
	if wait := time.Duration(c.onTime) * each; wait+j.Chain <= j.Objective {
		return wait, true
	}
	return time.Duration(c.waiting) * each, true
}

// grows reports whether more work arrives than begins. While that is not so, the backlog shrinks, and forecasts by past
// starts are too bad.
func (f *Forecaster) grows() bool {
	at := f.clock.scheduled
	for _, slots := range []int64{shortGrowthSlots, growthSlots} {
		if f.arrived.last(at, slots) <= f.begun.last(at, slots) {
			return false
		}
	}
	return true
}

// Forecasts returns the forecasts as of now, sorted by queue. Each is made for the job with the longest objective among
// the recent ones of its class: if that one is too late, the others are, too.
func (f *Forecaster) Forecasts(now time.Time) []Forecast {
	var list []Forecast
	for _, name := range slices.Sorted(maps.Keys(f.queues)) {
		q := f.queues[name]
		for _, largest := range []bool{false, true} {
			if j, ok := q.longest(largest); ok {
				list = f.appendForecast(list, now, j, largest)
			}
		}
	}
	return list
}

// appendForecast appends the forecast for a class to a list, if its wait is known.
func (f *Forecaster) appendForecast(list []Forecast, now time.Time, longest Job, largest bool) []Forecast {
	c := &f.queues[longest.Queue].rest
	if largest {
		c = &f.queues[longest.Queue].large
	}
	wait, known := f.wait(c, longest)
	if !known {
		return list
	}
	r := Forecast{Queue: longest.Queue, Largest: largest, Wait: wait, CapacityIn: max(0, wait-max(0, longest.Objective-longest.Chain))}
	ratio := longest.ratio(wait)
	// A record of too few jobs is widened to less bad forecasts, whose outcomes are at least as good.
	for level := badness(ratio); level >= 0 && r.Observed < minObserved; level-- {
		r.Observed, r.Worthless = c.record.count(now.Sub(f.origin), level)
	}
	r.Refuse = ratio > 1 && f.grows() && r.Observed >= minObserved && (r.Observed-r.Worthless)*worthlessOf <= r.Observed
	return append(list, r)
}

// longest returns the recent job of a class with the longest objective.
func (q *queue) longest(largest bool) (longest Job, ok bool) {
	for i := range q.recent {
		j := &q.recent[i]
		if large, _ := q.sizes.Largest(j.Work); large == largest && (!ok || j.Objective > longest.Objective) {
			longest, ok = *j, true
		}
	}
	return longest, ok
}

// dueList is a heap of jobs by the time at which they are worthless.
type dueList []*tracked

func (l dueList) Len() int           { return len(l) }
func (l dueList) Less(a, b int) bool { return l[a].dueAt.Before(l[b].dueAt) }
func (l dueList) Swap(a, b int) {
	l[a], l[b] = l[b], l[a]
	l[a].index, l[b].index = a, b
}

// Push appends an element, for container/heap.
func (l *dueList) Push(x any) {
	if t, ok := x.(*tracked); ok {
		t.index = len(*l)
		*l = append(*l, t)
	}
}

// Pop removes the last element, for container/heap.
func (l *dueList) Pop() any {
	old := *l
	last := old[len(old)-1]
	old[len(old)-1], last.index = nil, -1
	*l = old[:len(old)-1]
	return last
}
