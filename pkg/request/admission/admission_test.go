package admission_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/request/admission"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

var (
	now = time.Unix(1000, 0)
	job = admission.Job{Queue: "checks", Work: 10, Chain: time.Second, Objective: 2 * time.Second}
)

// refusing returns a cell that refuses jobs of usual size and forecasts the given wait.
func refusing(name string, waitMs int64) admission.Cell {
	return admission.Cell{Name: name, Load: &wire.CellLoad{
		Cell: name, Pending: map[string]int32{"checks": 80},
		Forecasts: []*wire.QueueForecast{{Queue: "checks", WaitMs: waitMs, Refuse: true, CapacityInMs: waitMs / 2, Observed: 40, Worthless: 40}},
	}}
}

// knowing returns an Admission that knows the sizes of the queue's jobs.
func knowing() *admission.Admission {
	a := admission.New()
	for range 20 {
		a.Decide(job, nil)
	}
	return a
}

func TestRefusesOnlyIfEachCellSurelyWouldBeTooLate(t *testing.T) {
	t.Parallel()
	old, accepting, other := refusing("b", 8000), refusing("b", 8000), refusing("b", 8000)
	old.Age = admission.MaxForecastAge + 1
	accepting.Load.Forecasts[0].Refuse = false
	other.Load.Forecasts[0].Largest = true
	large := job
	large.Work = 1000
	for name, c := range map[string]struct {
		job    admission.Job
		cells  []admission.Cell
		refuse bool
	}{
		"all cells refuse":          {job, []admission.Cell{refusing("a", 8000), refusing("b", 8000)}, true},
		"no cell":                   {job, nil, false},
		"one cell does not":         {job, []admission.Cell{refusing("a", 8000), accepting}, false},
		"an old forecast":           {job, []admission.Cell{refusing("a", 8000), old}, false},
		"no load":                   {job, []admission.Cell{refusing("a", 8000), {Name: "b"}}, false},
		"a forecast of other sizes": {job, []admission.Cell{other}, false},
		"a job of another size":     {large, []admission.Cell{refusing("a", 8000)}, false},
		"this job may be in time":   {job, []admission.Cell{refusing("a", 5000)}, false},
		"another queue":             {admission.Job{Queue: "offers", Objective: time.Second}, []admission.Cell{refusing("a", 8000)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			must.Eq(t, c.refuse, knowing().Decide(c.job, c.cells).Refuse)
		})
	}
	must.False(t, admission.New().Decide(job, []admission.Cell{refusing("a", 8000)}).Refuse, must.Sprint("sizes are not known"))
	must.Eq(t, map[string]bool{"a": true}, knowing().Decide(job, []admission.Cell{refusing("a", 8000), accepting}).Refusing)
}

// Without accepted jobs, the leaders' records would end.
func TestAcceptsOneOfSixteen(t *testing.T) {
	t.Parallel()
	a, sampled := knowing(), 0
	for range 160 {
		if d := a.Decide(job, []admission.Cell{refusing("a", 8000)}); d.Sampled {
			must.False(t, d.Refuse)
			sampled++
		}
	}
	must.Eq(t, 10, sampled)
}

// Callers that are refused together must not come back together, and the first ones come back first.
func TestSlotsFollowTheOrderOfRefusals(t *testing.T) {
	t.Parallel()
	a := knowing()
	d := a.Decide(job, []admission.Cell{refusing("a", 8000)})
	first, second := a.TakeSlot(now, d), a.TakeSlot(now, d)
	must.Eq(t, 4*time.Second, first)
	must.Eq(t, 4100*time.Millisecond, second, must.Sprint("ten such jobs begin in a second"))
	for range 100 {
		must.LessEq(t, 10*time.Second, a.TakeSlot(now, d))
	}
	must.Eq(t, 4*time.Second, a.TakeSlot(now.Add(time.Minute), d))
	d = a.Decide(job, []admission.Cell{refusing("a", 8000), refusing("b", 6000)})
	must.Eq(t, 3*time.Second, a.TakeSlot(now.Add(2*time.Minute), d), must.Sprint("the cell that has capacity first"))
	soon := refusing("a", 8000)
	soon.Load.Forecasts[0].CapacityInMs = 0
	must.Eq(t, time.Second, a.TakeSlot(now.Add(3*time.Minute), a.Decide(job, []admission.Cell{soon})))
}

func TestLastingAndRepeatedJobsAreNotDescribed(t *testing.T) {
	t.Parallel()
	q := manifest.Queue{Name: "checks", Stretch: 2, Slack: time.Second}
	steps := []*wire.StepSpec{{Count: 2, Millicores: 100, EstimateMs: 300}, {Count: 1, Millicores: 100, EstimateMs: 200, After: []int32{0}}, {Count: 1, EstimateMs: 400}}
	j, ok := admission.NewJob(q, &wire.JobSpec{Steps: steps})
	must.True(t, ok)
	must.Eq(t, admission.Job{Queue: "checks", Work: 80_000, Chain: 500 * time.Millisecond, Objective: 2 * time.Second}, j)
	_, ok = admission.NewJob(q, &wire.JobSpec{Steps: steps, Repeats: 2})
	must.False(t, ok)
	_, ok = admission.NewJob(q, &wire.JobSpec{Steps: []*wire.StepSpec{{Count: 1, Lasting: true}}})
	must.False(t, ok)
}

func TestLargestTenth(t *testing.T) {
	t.Parallel()
	var s admission.Sizes
	for work := range int64(100) {
		s.Add(work + 1)
	}
	largest := 0
	for work := range int64(100) {
		if large, known := s.Largest(work + 1); large && known {
			largest++
		}
	}
	must.Between(t, 8, largest, 16)
	var same admission.Sizes
	for range 100 {
		same.Add(5)
	}
	large, known := same.Largest(5)
	must.True(t, known && !large)
}
