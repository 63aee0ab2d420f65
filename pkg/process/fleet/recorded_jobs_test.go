package fleet_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/connection/store"
	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/request/intake"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// recordedJob is a job of the cell far that has a progress row.
type recordedJob struct {
	name  string
	steps []*wire.StepSpec
	// prepare brings the job into the state that is recorded.
	prepare func(j *jobs.Job)
}

// notBegun are jobs of which nothing has begun, for each reason to record one.
var notBegun = []recordedJob{
	{"delegated", []*wire.StepSpec{{Count: 2}}, func(j *jobs.Job) {
		j.Delegate("near", j.Units[0].Tasks...)
	}},
	{"a lasting task's wait", []*wire.StepSpec{{Count: 1, Lasting: true}}, func(j *jobs.Job) {
		j.Units[0].Tasks[0].TakenOverAt = time.Unix(1000, 0)
	}},
	{"returned", []*wire.StepSpec{{Count: 1}}, func(j *jobs.Job) {
		t := j.Units[0].Tasks[0]
		j.Delegate("near", t)
		t.DelegatedTo = ""
	}},
	{"crashes of workers at which it may have run", []*wire.StepSpec{{Count: 1, Lasting: true}}, func(j *jobs.Job) {
		*j = *jobs.Restore(j.Spec, &wire.JobProgress{Phase: wire.JobPhase_JOB_PHASE_QUEUED, Units: []*wire.UnitProgress{{
			Notes: []*wire.TaskNote{{Crashes: []*wire.CrashNote{{Worker: "w", Born: 1, Host: "h", Unseen: true, Lives: 1}}}},
		}}}, 1, time.Unix(1000, 0), time.Unix(1000, 0))
	}},
}

// begun are jobs of which a task has begun.
var begun = []recordedJob{
	{"one task runs here, one is delegated", []*wire.StepSpec{{Count: 2}}, func(j *jobs.Job) {
		j.HasStarted = true
		j.Delegate("near", j.Units[0].Tasks[1])
	}},
	{"a task is done", []*wire.StepSpec{{Count: 2}}, func(j *jobs.Job) {
		j.HasStarted = true
		j.Units[0].Tasks[0].MarkDone()
	}},
	{"a run was stopped", []*wire.StepSpec{{Count: 1, Lasting: true}}, func(j *jobs.Job) {
		j.HasStarted = true
	}},
}

// rowsOf returns the rows of a recorded job in the table, as its leader writes them.
func rowsOf(n int, r recordedJob) (id string, list []table.Row) {
	id = fmt.Sprintf("%016x", n)
	spec := &wire.JobSpec{Id: id, Queue: "offers", Cell: "far", Steps: r.steps}
	j := jobs.New(spec, time.Unix(1000, 0))
	r.prepare(j)
	anchor := rows.Row(rows.AnchorKey(id), &wire.JobAnchor{Cell: "far", Queue: "offers"})
	list = append(list, rows.Row(rows.SpecKey("far", id), spec), anchor)
	return id, append(list, rows.ProgressRows("far", j.Progress(jobs.StoreClock{At: time.Unix(1000, 0), Store: time.Minute}))...)
}

// rowsTable is a table that holds the given rows and takes no others.
type rowsTable []table.Row

func (r rowsTable) Read(_ context.Context, in table.Range) (table.Page, error) {
	page := table.Page{Version: 1}
	for _, row := range r {
		if row.Table == in.Table && row.Part == in.Part && (in.Limit != 1 || row.Key.Key == in.From) {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, nil
}

func (rowsTable) Commit(context.Context, table.Transaction) (table.CommitResult, error) {
	return table.CommitResult{}, nil
}

func (rowsTable) Changes(context.Context, string, int64, time.Duration) (table.Page, error) {
	return table.Page{}, nil
}

// noLeader knows the cell far, whose leader is unreachable.
type noLeader struct{ intake.Leaders }

func (noLeader) View() *intake.View {
	return &intake.View{Cells: map[string]intake.CellView{"far": {}}}
}

func newIntake(direct store.Direct) *intake.Intake {
	silent := logrus.New()
	silent.SetOutput(io.Discard)
	registry := metrics.NewRegistry()
	client := store.New(direct, func() []store.Peer { return nil }, registry, clock.Now())
	return intake.New("hall", client, noLeader{}, nil, silent.WithField("test", true), registry)
}

// Six of seven were said to wait: a job whose delegation was recorded counted as begun.
func TestPendingFromTableCountsRecordedJobsThatHaveNotBegun(t *testing.T) {
	t.Parallel()
	for _, r := range notBegun {
		_, list := rowsOf(1, r)
		n, err := newIntake(rowsTable(list)).Pending(t.Context(), clock.Now(), "offers")
		must.NoError(t, err)
		must.Eq(t, 1, n, must.Sprint(r.name))
	}
}

func TestPendingFromTableLeavesOutRecordedJobsThatHaveBegun(t *testing.T) {
	t.Parallel()
	for _, r := range begun {
		_, list := rowsOf(1, r)
		n, err := newIntake(rowsTable(list)).Pending(t.Context(), clock.Now(), "offers")
		must.NoError(t, err)
		must.Zero(t, n, must.Sprint(r.name))
	}
}

// A caller was told that a job runs of which nothing had begun, as its delegation was recorded.
func TestStateFromTableIsQueuedUntilTheJobBegins(t *testing.T) {
	t.Parallel()
	for phase, list := range map[wire.JobPhase][]recordedJob{wire.JobPhase_JOB_PHASE_QUEUED: notBegun, wire.JobPhase_JOB_PHASE_RUNNING: begun} {
		for _, r := range list {
			id, list := rowsOf(1, r)
			got, err := newIntake(rowsTable(list)).State(t.Context(), id)
			must.NoError(t, err)
			must.Eq(t, phase, got, must.Sprint(r.name))
		}
	}
}
