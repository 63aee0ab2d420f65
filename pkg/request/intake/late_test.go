package intake_test

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
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/request/admission"
	"github.com/wrenferry/wrenferry/pkg/request/intake"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

var lateQueue = manifest.Queue{Name: "offers", Service: "s", Stretch: 2, Slack: time.Second}

// lateCells leads the cells of twoCells, of which some refuse new jobs.
type lateCells struct {
	twoCells
	refusing map[string]bool
}

func (l lateCells) Load(ctx context.Context, cell string, withBeliefs bool) *wire.CellLoad {
	load := l.twoCells.Load(ctx, cell, withBeliefs)
	load.Forecasts = []*wire.QueueForecast{{Queue: "offers", WaitMs: 60_000, Refuse: l.refusing[cell], CapacityInMs: 5000, Observed: 30, Worthless: 30}}
	return load
}

// newLateIntake returns an intake that knows the sizes of the queue's jobs, as it was sent those with the ids 0 to 19.
func newLateIntake(treatment string, direct store.Direct, refusing map[string]bool) *intake.Intake {
	silent := logrus.New()
	silent.SetOutput(io.Discard)
	client := store.New(direct, func() []store.Peer { return nil }, metrics.NewRegistry(), clock.Now())
	in := intake.New("hall", client, lateCells{refusing: refusing}, nil, silent.WithField("test", true), metrics.NewRegistry(),
		intake.WithLateRefusal(func() string { return treatment }))
	for id := range 20 {
		_ = in.Submit(context.Background(), clock.Now(), lateQueue, lateSpec(id)) // not refused, as the sizes are not known
	}
	return in
}

func lateSpec(id int) *wire.JobSpec {
	return &wire.JobSpec{Id: fmt.Sprintf("%016x", id), Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000, EstimateMs: 500}}}
}

// submitKnowingLoads submits a job after the intake has fetched the loads of all cells. It returns the cell of the job, or
// the error.
func submitKnowingLoads(t *testing.T, in *intake.Intake, id int) (string, error) {
	t.Helper()
	_, err := in.Pending(context.Background(), clock.Now(), "offers") // fetches the loads
	must.NoError(t, err)
	s := lateSpec(id)
	err = in.Submit(context.Background(), clock.Now(), lateQueue, s)
	return s.GetCell(), err
}

// submitLate submits a job to a new intake.
func submitLate(t *testing.T, treatment string, direct store.Direct, refusing map[string]bool) (string, error) {
	t.Helper()
	return submitKnowingLoads(t, newLateIntake(treatment, direct, refusing), 100)
}

func TestSubmitRefusesJobsThatWouldBeTooLate(t *testing.T) {
	t.Parallel()
	both := map[string]bool{"hall": true, "far": true}
	_, err := submitLate(t, admission.On, fixedTable{}, both)
	must.Eq(t, fault.NotRun, fault.CodeOf(err))
	must.Between(t, 4*time.Second, fault.RetryAfterOf(err), 5*time.Second)
	for _, treatment := range []string{admission.Off, admission.Log} {
		cell, err := submitLate(t, treatment, fixedTable{}, both)
		must.NoError(t, err)
		must.Eq(t, "hall", cell)
	}
}

func TestSubmitPrefersCellsThatDoNotRefuse(t *testing.T) {
	t.Parallel()
	for treatment, want := range map[string]string{admission.Off: "hall", admission.Log: "hall", admission.On: "far"} {
		cell, err := submitLate(t, treatment, fixedTable{}, map[string]bool{"hall": true})
		must.NoError(t, err)
		must.Eq(t, want, cell, must.Sprint(treatment))
	}
}

// A job that the table holds runs, so it must not be reported as not run.
func TestSubmitAgainIsNotRefusedAsLate(t *testing.T) {
	t.Parallel()
	both := map[string]bool{"hall": true, "far": true}
	held := fixedTable{rows: []table.Row{rows.Row(rows.AnchorKey(fmt.Sprintf("%016x", 100)), &wire.JobAnchor{Cell: "far", Queue: "offers"})}}
	_, err := submitLate(t, admission.On, held, both)
	must.NoError(t, err)
}

// anchorsUnreadable is a table whose anchor rows can't be read.
type anchorsUnreadable struct{ fixedTable }

func (r anchorsUnreadable) Read(ctx context.Context, in table.Range) (table.Page, error) {
	if in.Table == rows.AnchorTable {
		return table.Page{}, fault.New(fault.Unavailable, "table", "down", "")
	}
	return r.fixedTable.Read(ctx, in)
}

// A job that the table may hold must not be reported as not run.
func TestSubmitIsNotRefusedAsLateIfTheTableCannotBeRead(t *testing.T) {
	t.Parallel()
	_, err := submitLate(t, admission.On, anchorsUnreadable{}, map[string]bool{"hall": true, "far": true})
	must.NoError(t, err)
}

// commitsUnanswered is a table whose transactions get no answer.
type commitsUnanswered struct{ fixedTable }

func (commitsUnanswered) Commit(context.Context, table.Transaction) (table.CommitResult, error) {
	return table.CommitResult{}, fault.New(fault.Unknown, "table", "no answer", "")
}

// A transaction without an answer may still take effect after the table was read, so its job must not be reported as not
// run.
func TestSubmitAfterAnUnknownOutcomeIsNotRefusedAsLate(t *testing.T) {
	t.Parallel()
	in := newLateIntake(admission.On, commitsUnanswered{}, map[string]bool{"hall": true, "far": true})
	_, err := submitKnowingLoads(t, in, 7)
	must.Eq(t, fault.Unknown, fault.CodeOf(err))
}
