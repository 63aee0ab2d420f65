package intake_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/clock"
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

// keyedTable is a fixedTable that returns the rows of one key where one is asked for.
type keyedTable struct{ fixedTable }

func (k keyedTable) Read(ctx context.Context, in table.Range) (table.Page, error) {
	page, err := k.fixedTable.Read(ctx, in)
	var list []table.Row
	for _, r := range page.Rows {
		if in.Limit != 1 || r.Key.Key == in.From {
			list = append(list, r)
		}
	}
	page.Rows = list
	return page, err
}

// Six of seven were said to wait: a job whose delegation was recorded counted as begun.
func TestPendingFromTableCountsRecordedJobsThatHaveNotBegun(t *testing.T) {
	t.Parallel()
	for _, r := range notBegun {
		_, list := rowsOf(1, r)
		n, err := newIntake(fixedTable{rows: list}).Pending(t.Context(), clock.Now(), "offers")
		must.NoError(t, err)
		must.Eq(t, 5+1, n, must.Sprint(r.name))
	}
}

func TestPendingFromTableLeavesOutRecordedJobsThatHaveBegun(t *testing.T) {
	t.Parallel()
	for _, r := range begun {
		_, list := rowsOf(1, r)
		n, err := newIntake(fixedTable{rows: list}).Pending(t.Context(), clock.Now(), "offers")
		must.NoError(t, err)
		must.Eq(t, 5, n, must.Sprint(r.name))
	}
}

// A caller was told that a job runs of which nothing had begun, as its delegation was recorded.
func TestStateFromTableIsQueuedUntilTheJobBegins(t *testing.T) {
	t.Parallel()
	for phase, list := range map[wire.JobPhase][]recordedJob{wire.JobPhase_JOB_PHASE_QUEUED: notBegun, wire.JobPhase_JOB_PHASE_RUNNING: begun} {
		for _, r := range list {
			id, list := rowsOf(1, r)
			got, err := newIntakeWith(keyedTable{fixedTable{rows: list}}, stubLeaders{}).State(t.Context(), id)
			must.NoError(t, err)
			must.Eq(t, phase, got, must.Sprint(r.name))
		}
	}
}

// oneCell knows the cell far, led by this process, whose loads change from call to call.
type oneCell struct {
	tellingLeaders
	asked *int
}

func (l oneCell) View() *intake.View {
	return &intake.View{Cells: map[string]intake.CellView{"far": {Mine: true, Fresh: true}}}
}

func (l oneCell) Load(context.Context, string, bool) *wire.CellLoad {
	*l.asked++
	return l.load
}

// waitingRows are the rows of n jobs of the cell far that wait.
func waitingRows(n int) (list []table.Row) {
	for i := range n {
		id := fmt.Sprintf("%016x", i)
		list = append(list, rows.Row(rows.SpecKey("far", id), &wire.JobSpec{Id: id, Queue: "offers"}))
	}
	return list
}

// toldLoad is the load of the cell far with one waiting job, told by a leader that had read its table so long before.
func toldLoad(tableRead time.Duration) *wire.CellLoad {
	return &wire.CellLoad{Leading: true, Cell: "far", Pending: map[string]int32{"offers": 1}, Epoch: 9, TableReadMs: tableRead.Milliseconds()}
}

// One of seven was said to wait: a leader that was cut off from the table did not know the other six.
func TestLeaderThatHasNotReadItsTableIsNotCounted(t *testing.T) {
	t.Parallel()
	for read, pending := range map[time.Duration]int{0: 1, 800 * time.Millisecond: 1, 2 * time.Second: 1, 3 * time.Second: 7, 9 * time.Second: 7} {
		asked := 0
		leaders := oneCell{asked: &asked}
		leaders.load = toldLoad(read)
		in := newIntakeWith(fixedTable{rows: waitingRows(7)}, leaders)
		for _, at := range []time.Duration{0, 500 * time.Millisecond} { // the second answer knows the load of the first
			n, err := in.Pending(t.Context(), clock.Now().Add(at), "offers")
			must.NoError(t, err)
			must.Eq(t, pending, n, must.Sprint(read))
		}
	}
}

// Without the table, a count that leaves out jobs is refused.
func TestPendingFailsIfOnlyALateLeaderTells(t *testing.T) {
	t.Parallel()
	asked := 0
	leaders := oneCell{asked: &asked}
	leaders.load = toldLoad(9 * time.Second)
	_, err := newIntakeWith(fixedTable{down: true}, leaders).Pending(t.Context(), clock.Now(), "offers")
	must.Error(t, err)
}

// A load that was told 0.9 s ago by a leader that had read its table 2.4 s before that lacks jobs that callers are to see.
func TestAgesOfALoadAndItsLeadersReadingAddUp(t *testing.T) {
	t.Parallel()
	for _, each := range []struct {
		age, read time.Duration
		asks      int
	}{
		{0, 700 * time.Millisecond, 0},
		{900 * time.Millisecond, 1600 * time.Millisecond, 0},
		{900 * time.Millisecond, 1800 * time.Millisecond, 1}, // with the time that the message may take
		{900 * time.Millisecond, 2400 * time.Millisecond, 1},
		{100 * time.Millisecond, 2950 * time.Millisecond, 1},
	} {
		asked, now := 0, clock.Now()
		leaders := oneCell{asked: &asked}
		leaders.load = toldLoad(0)
		in := newIntakeWith(fixedTable{rows: waitingRows(7)}, leaders)
		in.TakeLoad(now.Add(-each.age), toldLoad(each.read))
		n, err := in.Pending(t.Context(), now, "offers")
		must.NoError(t, err)
		must.Eq(t, 1, n)
		must.Eq(t, each.asks, asked, must.Sprintf("%v and %v", each.age, each.read))
	}
}

// cutOffCell knows the cell far, whose leader is unreachable.
type cutOffCell struct{ stubLeaders }

func (cutOffCell) View() *intake.View {
	return &intake.View{Cells: map[string]intake.CellView{"far": {}}}
}

// agedExchange is a relay that passes on a count which it made some time before.
type agedExchange struct {
	relayExchange
	pending int
	readAt  time.Time
}

func (a *agedExchange) Pending(context.Context, string) (map[string]int, time.Time, bool) {
	return map[string]int{"offers": a.pending}, a.readAt, true
}

// A count that a relay shares for a second is not shared for another one by each host that asks it.
func TestSharedCountsOfARelayAreNotSharedForLonger(t *testing.T) {
	t.Parallel()
	now := clock.Now()
	from := &agedExchange{pending: 2, readAt: now.Add(-900 * time.Millisecond)}
	in := newIntakeWith(fixedTable{}, cutOffCell{}, intake.WithExchange(from))
	for _, each := range []struct {
		at   time.Duration
		want int
	}{{0, 2}, {90 * time.Millisecond, 2}, {110 * time.Millisecond, 7}} {
		n, err := in.Pending(t.Context(), now.Add(each.at), "offers")
		must.NoError(t, err)
		must.Eq(t, each.want, n, must.Sprint(each.at))
		from.pending, from.readAt = 7, now
	}
}
