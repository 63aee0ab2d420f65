package cell_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/request/admission"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// replayManifest has a queue of urgent work and one of work that can wait, with objectives as in large deployments.
var replayManifest = manifest.New(2, []manifest.Queue{
	{Name: "checks", Service: "quotes", MaxAttempts: 3, Stretch: 1.5, Slack: 250 * time.Millisecond},
	{Name: "offers", Service: "quotes", Priority: 2, MaxAttempts: 3, Stretch: 2, Slack: time.Second},
}, []manifest.Service{{Name: "quotes", GuardsCapacity: true}}, manifest.Limits{})

// replay submits jobs of 16 core seconds on average in 2 tasks to a cell that runs 32 of them a second. Its host asks for the load
// every half second.
type replay struct {
	*testCell
	treatment string
	random    *rand.Rand
	admission *admission.Admission
	load      *wire.CellLoad
	loadAt    time.Time
	endsAt    map[string]time.Time
	jobs      []*replayedJob
}

// replayedJob is a submitted job. left is the number of its tasks that have not ended.
type replayedJob struct {
	at, endedAt        time.Time
	left               int
	runtime, objective time.Duration
	// refusable means that the job would be refused, refused that it was.
	refusable, refused bool
}

// worthless reports whether the job ended after three times its objective, or has not ended.
func (j *replayedJob) worthless() bool {
	return j.endedAt.IsZero() || j.endedAt.Sub(j.at) > 3*j.objective
}

func newReplay(treatment string, seed uint64) *replay {
	r := &replay{
		testCell: newEmptyCell(), treatment: treatment, random: rand.New(rand.NewPCG(1, seed)), admission: admission.New(),
		endsAt: map[string]time.Time{},
	}
	r.state.Take(r.now, cell.ManifestChanged{Manifest: replayManifest})
	r.state.Take(r.now, cell.BoundsChanged{Bounds: cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute, RefuseLate: treatment}})
	return r
}

// submit submits a job. The host accepts it unless it refuses it.
func (r *replay) submit(queue string) {
	ms := 300 + r.random.Int64N(400)
	spec := &wire.JobSpec{
		Id: fmt.Sprintf("%016x", len(r.jobs)), Queue: queue, Service: "quotes", Cell: "hall",
		Steps: []*wire.StepSpec{{Count: 2, Millicores: 16000, MemoryMb: 100, EstimateMs: ms}},
	}
	q, _ := replayManifest.Queue(queue)
	described, _ := admission.NewJob(q, spec)
	d := r.admission.Decide(described, []admission.Cell{{Name: "hall", Load: r.load, Age: r.now.Sub(r.loadAt)}})
	refused := d.Refuse && r.treatment == cell.RefuseOn
	r.jobs = append(r.jobs, &replayedJob{
		at: r.now, left: 2, runtime: time.Duration(ms) * time.Millisecond, objective: described.Objective, refusable: d.Refuse, refused: refused,
	})
	if !refused {
		r.state.Take(r.now, cell.JobAccepted{Spec: spec})
	}
}

// play submits jobs at rates by queue for a while, and runs their tasks.
func (r *replay) play(rates map[string]float64, span time.Duration) {
	const step = 40 * time.Millisecond
	due := map[string]float64{}
	for until := r.now.Add(span); r.now.Before(until); {
		if r.now.Sub(r.loadAt) >= 500*time.Millisecond {
			r.load, r.loadAt = r.state.Load(r.now, false), r.now
		}
		for _, queue := range slices.Sorted(maps.Keys(rates)) {
			for due[queue] += rates[queue] * step.Seconds(); due[queue] >= 1; due[queue]-- {
				r.submit(queue)
			}
		}
		r.step(step)
		for _, id := range slices.Sorted(maps.Keys(r.reports)) {
			r.endRuns(r.reports[id])
		}
	}
}

// endRuns ends the runs at a worker whose time is over.
func (r *replay) endRuns(report *workers.Report) {
	for _, a := range slices.Clone(report.Active) {
		var n int
		if _, err := fmt.Sscanf(a.Task, "%016x", &n); err != nil {
			panic(err)
		}
		j := r.jobs[n]
		if r.endsAt[a.Task].IsZero() {
			r.endsAt[a.Task] = r.now.Add(j.runtime)
		}
		if r.now.Before(r.endsAt[a.Task]) {
			continue
		}
		r.finish(a.Task, workers.EndedDone)
		if j.left--; j.left == 0 {
			j.endedAt = r.now
		}
	}
	const listed = 100 // the leader has recorded those before
	report.Ended = report.Ended[max(0, len(report.Ended)-listed):]
}

// count returns the number of jobs that fulfil a condition.
func (r *replay) count(is func(j *replayedJob) bool) int {
	n := 0
	for _, j := range r.jobs {
		if is(j) {
			n++
		}
	}
	return n
}

// playWave plays a calm load, a wave at the given rates, and a calm load again.
func playWave(treatment string, checks, offers float64) *replay {
	r := newReplay(treatment, 1)
	calm, wave := map[string]float64{"checks": 8, "offers": 8}, map[string]float64{"checks": checks, "offers": offers}
	r.play(calm, 4*time.Second)
	r.play(wave, 11*time.Second)
	r.play(calm, 8*time.Second)
	return r
}

func isRefusable(j *replayedJob) bool { return j.refusable }
func isValuable(j *replayedJob) bool  { return !j.worthless() }

// A refused job must surely be worthless. So the jobs that a host would refuse in waves of two and a half times and of
// three times the capacity are accepted here, and nearly all of them have to end worthless. Logging changes no end of a
// job. Refusals make fewer jobs run in vain, at the cost of next to none with a value.
func TestRefusalsInWaves(t *testing.T) {
	t.Parallel()
	off, logged, on, larger := playWave(cell.RefuseOff, 40, 40), playWave(cell.RefuseLog, 40, 40), playWave(cell.RefuseOn, 40, 40), playWave(cell.RefuseLog, 88, 8)
	must.Eq(t, 0, off.count(isRefusable))
	for i, j := range off.jobs {
		must.Eq(t, j.endedAt, logged.jobs[i].endedAt, must.Sprintf("job %d", i))
	}

	refusable, valuable := 0, 0
	for _, r := range []*replay{logged, larger} {
		n, v := r.count(isRefusable), r.count(func(j *replayedJob) bool { return j.refusable && !j.worthless() })
		t.Logf("%d jobs, %d worthless, %d refusable, %d of them with a value", len(r.jobs), r.count((*replayedJob).worthless), n, v)
		refusable, valuable = refusable+n, valuable+v
		for _, kind := range []cell.NoteKind{cell.NoteRefusalBegan, cell.NoteRefusalEnded} {
			must.True(t, slices.ContainsFunc(r.notes, func(n cell.Note) bool { return n.Kind == kind }), must.Sprint(kind))
		}
	}
	must.GreaterEq(t, 100, refusable)
	must.LessEq(t, refusable, 20*valuable)

	inVain := func(j *replayedJob) bool { return !j.refused && j.worthless() }
	t.Logf("%d refused; with a value %d, without refusals %d; accepted in vain %d, without refusals %d", on.count(isRefusable),
		on.count(isValuable), off.count(isValuable), on.count(inVain), off.count(inVain))
	must.GreaterEq(t, off.count(isValuable)*99/100, on.count(isValuable))
	must.Less(t, off.count(inVain), on.count(inVain))
}

func TestCalmLoadIsNotRefused(t *testing.T) {
	t.Parallel()
	r := newReplay(cell.RefuseOn, 3)
	r.play(map[string]float64{"checks": 12, "offers": 12}, 12*time.Second)
	must.Eq(t, 0, r.count(func(j *replayedJob) bool { return j.refusable }))
	must.SliceNotEmpty(t, r.load.GetForecasts())
}

// A successor has no record, and a leader whose settings change makes no forecasts: hosts accept in both cases.
func TestForecastsEndWithLeadershipAndSetting(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(r *replay){
		"leadership": func(r *replay) { r.state.Take(r.now, cell.LeadershipLost{Why: "test"}) },
		"setting": func(r *replay) {
			r.state.Take(r.now, cell.BoundsChanged{Bounds: cell.Bounds{RefuseLate: cell.RefuseOff}})
		},
		"evacuation": func(r *replay) { r.state.Take(r.now, cell.EvacuationsChanged{Cells: map[string]bool{"hall": true}}) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newReplay(cell.RefuseOn, 4)
			r.play(map[string]float64{"checks": 10}, 3*time.Second)
			must.SliceNotEmpty(t, r.state.Load(r.now, false).GetForecasts())
			end(r)
			must.SliceEmpty(t, r.state.Load(r.now, false).GetForecasts())
		})
	}
}
