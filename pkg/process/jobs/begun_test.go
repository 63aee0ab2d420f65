package jobs_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// A successor told that jobs wait which had begun: the record said of none that it had.
func TestSuccessorKnowsWhetherAJobHasBegun(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	for _, hasStarted := range []bool{false, true} {
		for name, count := range map[string]int32{"plain": 2, "packed": 4000} {
			spec := &wire.JobSpec{Id: "00000000000000aa", Cell: "home", Steps: []*wire.StepSpec{{Count: count}}}
			j := jobs.New(spec, now)
			j.HasStarted = hasStarted
			j.Delegate("a cell with a name", j.Units[0].Tasks[1:]...)
			list := rows.ProgressRows("home", j.Progress(jobs.StoreClock{}))
			first := &wire.JobProgress{}
			must.NoError(t, rows.Read(list[0], first))
			must.Eq(t, name == "packed", len(first.GetPacked()) > 0)
			read := rows.ReadProgress(list)
			must.Len(t, 1, read)
			must.NoError(t, read[0].Err)
			must.Eq(t, hasStarted, jobs.Restore(spec, read[0].JobProgress, 1, now, now).HasStarted, must.Sprint(name))
		}
	}
}

// Rows of earlier versions do not say whether the job has begun.
func TestSuccessorTakesWhatRanForBegun(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	queued := wire.JobPhase_JOB_PHASE_QUEUED
	note := func(n *wire.TaskNote) *wire.JobProgress {
		return &wire.JobProgress{Phase: queued, Units: []*wire.UnitProgress{{Notes: []*wire.TaskNote{n}}}}
	}
	for name, each := range map[string]struct {
		progress *wire.JobProgress
		begun    bool
	}{
		"no row":                   {nil, false},
		"an empty row":             {&wire.JobProgress{Phase: queued}, false},
		"a later phase":            {&wire.JobProgress{Phase: wire.JobPhase_JOB_PHASE_RUNNING}, true},
		"a done task":              {&wire.JobProgress{Phase: queued, Units: []*wire.UnitProgress{{Done: []byte{2}}}}, true},
		"no done task":             {&wire.JobProgress{Phase: queued, Units: []*wire.UnitProgress{{Done: []byte{0}}}}, false},
		"a failed run":             {note(&wire.TaskNote{FailedRuns: []int64{7}}), true},
		"a failed run elsewhere":   {note(&wire.TaskNote{FailedElsewhere: 1}), true},
		"a checkpoint":             {note(&wire.TaskNote{Checkpoint: "half"}), true},
		"a crash of its run":       {note(&wire.TaskNote{Crashes: []*wire.CrashNote{{Worker: "w", Run: 7, Born: 1, Began: true}}}), true},
		"a crash nobody saw":       {note(&wire.TaskNote{Crashes: []*wire.CrashNote{{Worker: "w", Born: 1, Unseen: true}}}), false},
		"a wanted start":           {note(&wire.TaskNote{Trial: true, TrialWorker: "w"}), false},
		"a delegation":             {note(&wire.TaskNote{LentTo: "other", Lending: 1}), false},
		"a wait of a lasting task": {note(&wire.TaskNote{WithoutRunSinceStoreMs: 7}), false},
	} {
		spec := &wire.JobSpec{Id: "00000000000000aa", Cell: "home", Steps: []*wire.StepSpec{{Count: 2}}}
		must.Eq(t, each.begun, jobs.Restore(spec, each.progress, 1, now, now).HasStarted, must.Sprint(name))
	}
}

// The home cell's leader told that a job waits of which a run in another cell had failed, and its successor that it does not.
func TestJobHasBegunIfItsReturnedTasksHaveRun(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	for name, each := range map[string]struct {
		ran   func(t *jobs.Task)
		begun bool
	}{
		"nothing":      {func(*jobs.Task) {}, false},
		"a failed run": {func(t *jobs.Task) { t.MarkFailed(7) }, true},
		"a checkpoint": {func(t *jobs.Task) { t.Checkpoint = "half" }, true},
	} {
		spec := &wire.JobSpec{Id: "00000000000000aa", Cell: "home", Steps: []*wire.StepSpec{{Count: 1}}}
		home := jobs.New(spec, now)
		other := jobs.New(home.Delegate("other", home.Units[0].Tasks...), now)
		each.ran(other.Units[0].Tasks[0])
		other.ReturnTask(other.Units[0].Tasks[0])
		must.True(t, home.ApplyReturned(other.DelegationReport(), now, true))
		must.Eq(t, each.begun, home.HasStarted, must.Sprint(name))
		must.Eq(t, each.begun, jobs.Restore(spec, home.Progress(jobs.StoreClock{}), 1, now, now).HasStarted, must.Sprint(name))
	}
}
