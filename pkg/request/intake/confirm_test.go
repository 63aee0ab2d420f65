package intake_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"google.golang.org/grpc"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/connection/store"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/request/intake"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

const confirmedID = "00000000000000aa"

var (
	errReset   = fault.New(fault.Unknown, "table", "the connection was reset", "")
	errNotSent = fault.New(fault.NotRun, "table", "no connection", "")
)

// memTable is a table in memory that executes insertions.
type memTable struct {
	mu      sync.Mutex
	rows    map[table.Key]table.Row
	commits int
	// fail returns whether the nth call, from 0, is executed and the error that its caller gets. It may be nil.
	fail func(n int) (executed bool, err error)
	// away makes all readings fail.
	away bool
}

func newMemTable() *memTable { return &memTable{rows: map[table.Key]table.Row{}} }

func (m *memTable) Commit(_ context.Context, t table.Transaction) (table.CommitResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	executed, err := true, error(nil)
	if m.fail != nil {
		executed, err = m.fail(m.commits)
	}
	m.commits++
	if !executed {
		return table.CommitResult{}, err
	}
	return m.execute(t), err
}

func (m *memTable) execute(t table.Transaction) table.CommitResult {
	for _, c := range t.Conditions {
		if held, ok := m.rows[c.Key]; ok {
			return table.CommitResult{Conflict: true, Current: []table.Row{held}}
		}
	}
	for _, r := range t.Puts {
		r.Version = 1
		m.rows[r.Key] = r
	}
	return table.CommitResult{Version: 1}
}

func (m *memTable) Read(_ context.Context, in table.Range) (table.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.away {
		return table.Page{}, fault.New(fault.Unavailable, "table", "no answer", "")
	}
	page := table.Page{Version: 1}
	if r, ok := m.rows[table.Key{Table: in.Table, Part: in.Part, Key: in.From}]; ok {
		page.Rows = append(page.Rows, r)
	}
	return page, nil
}

func (*memTable) Changes(context.Context, string, int64, time.Duration) (table.Page, error) {
	return table.Page{}, nil
}

func (m *memTable) holds(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.rows[rows.AnchorKey(id)]
	return ok
}

// tablePeer is a peer that calls the table.
type tablePeer struct{ store.Direct }

func (p tablePeer) CommitFor(ctx context.Context, t table.Transaction) (table.CommitResult, error) {
	return p.Commit(ctx, t)
}

func (p tablePeer) ReadFor(ctx context.Context, r table.Range) (table.Page, error) {
	return p.Read(ctx, r)
}

// knowingLeaders leads the cell hall, and knows the jobs that it was notified of. The leader of the cell far is at another host.
type knowingLeaders struct {
	stubLeaders
	jobs     *sync.Map
	farFresh bool
}

func (l knowingLeaders) View() *intake.View {
	return &intake.View{Cells: map[string]intake.CellView{
		"hall": {Hall: "hall", Mine: true, Fresh: true}, "far": {Hall: "far", Address: "far:1", Fresh: l.farFresh},
	}}
}

func (l knowingLeaders) JobAccepted(s *wire.JobSpec) { l.jobs.Store(s.GetId(), true) }

func (l knowingLeaders) Phase(_ context.Context, _, id string) (wire.JobPhase, bool) {
	_, known := l.jobs.Load(id)
	return wire.JobPhase_JOB_PHASE_QUEUED, known
}

// farLeader leads the cell far and knows no job. It does not answer if silent is set, and no longer leads the cell if deposed
// is set.
type farLeader struct {
	wire.FleetClient
	silent, deposed bool
}

func (f farLeader) PeerClient(string) (wire.FleetClient, error) { return f, nil }

func (f farLeader) State(context.Context, *wire.JobRef, ...grpc.CallOption) (*wire.JobStateReply, error) {
	if f.silent {
		return nil, errNotSent
	}
	return &wire.JobStateReply{}, nil
}

func (f farLeader) Load(_ context.Context, in *wire.CellRef, _ ...grpc.CallOption) (*wire.CellLoad, error) {
	if f.silent {
		return nil, errNotSent
	}
	return &wire.CellLoad{Leading: !f.deposed, Cell: in.GetCell()}, nil
}

// confirmingHost is a host with the setting.
type confirmingHost struct {
	*intake.Intake
	store   *store.Client
	jobs    *sync.Map
	events  *logtest.Hook
	metrics metrics.Registry
}

// event returns the fields of the last event with the name, or nil.
func (h confirmingHost) event(name string) (fields logrus.Fields) {
	for _, e := range h.events.AllEntries() {
		if e.Message == name {
			fields = e.Data
		}
	}
	return fields
}

// count returns the value of a counter.
func (h confirmingHost) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, h.metrics).Count()
}

func newConfirmingHost(direct store.Direct, peers []store.Peer, far farLeader, farFresh bool, options ...intake.Option) confirmingHost {
	log, events := logtest.NewNullLogger()
	registry := metrics.NewRegistry()
	client := store.New(direct, func() []store.Peer { return peers }, registry, clock.Now())
	jobs := &sync.Map{}
	leaders := knowingLeaders{jobs: jobs, farFresh: farFresh}
	return confirmingHost{
		intake.New("hall", client, leaders, far, log.WithField("test", true), registry, options...), client, jobs, events, registry,
	}
}

func confirming(m *memTable) confirmingHost {
	return newConfirmingHost(m, nil, farLeader{}, true, intake.WithConfirmation())
}

// submit submits a job as a caller that waits up to 3 s.
func (h confirmingHost) submit(id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2850*time.Millisecond)
	defer cancel()
	spec := &wire.JobSpec{Id: id, Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000}}}
	return h.Submit(ctx, clock.Now(), manifest.Queue{Name: "offers"}, spec)
}

// loseTable makes calls fail until the table counts as away.
func (h confirmingHost) loseTable(t *testing.T, m *memTable) {
	t.Helper()
	m.mu.Lock()
	m.away, m.fail = true, func(int) (bool, error) { return false, errReset }
	m.mu.Unlock()
	for range 2 {
		_, err := h.store.Read(t.Context(), table.Range{})
		must.Error(t, err)
	}
	time.Sleep(750 * time.Millisecond)
}

// The first host has written the job's rows, and ends before it answers. The caller must not be told to give up the job.
func TestHostEndsBetweenRowAndAnswer(t *testing.T) {
	t.Parallel()
	m := newMemTable()
	ended := confirming(m)
	ctx, end := context.WithCancel(t.Context())
	m.fail = func(int) (bool, error) {
		end()
		return true, errReset
	}
	spec := &wire.JobSpec{Id: confirmedID, Steps: []*wire.StepSpec{{Count: 1}}}
	must.Eq(t, fault.Unknown, fault.CodeOf(ended.Submit(ctx, clock.Now(), manifest.Queue{Name: "offers"}, spec)))
	m.fail = nil
	must.NoError(t, confirming(m).submit(confirmedID))
}

func TestLostAnswerIsFoundByRepetition(t *testing.T) {
	t.Parallel()
	m := newMemTable()
	m.fail = func(n int) (bool, error) {
		if n == 0 {
			return true, errReset
		}
		return true, nil
	}
	h := confirming(m)
	must.NoError(t, h.submit(confirmedID))
	must.Eq(t, 2, m.commits)
	_, notified := h.jobs.Load(confirmedID)
	must.True(t, notified)
	must.Eq(t, 1, h.count("jobs.accept.retries"))
	retried := h.event("job-accept-retried")
	must.Eq(t, 2, retried["attempts"].(int))
	must.Eq(t, "accepted", retried["outcome"].(string))
}

// Both callers may be the same one, whose first call broke off.
func TestTwoHostsAcceptOneJob(t *testing.T) {
	t.Parallel()
	m := newMemTable()
	results := make(chan error, 2)
	for range 2 {
		go func() { results <- confirming(m).submit(confirmedID) }()
	}
	must.NoError(t, <-results)
	must.NoError(t, <-results)
	must.MapLen(t, 2, m.rows) // one anchor, one spec
}

// While the table is away, a job that was accepted before must not be reported as not run, and another one is refused at
// once, without a call that could have an unknown outcome.
func TestAwayTableRefusesOnlyJobsThatNoLeaderKnows(t *testing.T) {
	t.Parallel()
	m := newMemTable()
	first, second := confirming(m), confirming(m)
	must.NoError(t, first.submit(confirmedID))
	second.jobs.Store(confirmedID, true) // the cell's leader was notified
	second.loseTable(t, m)
	commits := m.commits
	must.NoError(t, second.submit(confirmedID))
	err := second.submit("00000000000000bb")
	must.Eq(t, fault.NotRun, fault.CodeOf(err))
	must.Eq(t, time.Second, fault.RetryAfterOf(err))
	must.Eq(t, commits, m.commits)
	must.Eq(t, 1, second.count("jobs.refused.table-away"))
}

func TestAbsenceOfTableIsLoggedOnceAndItsEnd(t *testing.T) {
	t.Parallel()
	m := newMemTable()
	h := confirming(m)
	ctx, end := context.WithCancel(t.Context())
	defer end()
	go func() { _ = h.Serve(ctx) }() // ends with the test
	h.loseTable(t, m)
	time.Sleep(600 * time.Millisecond)
	must.NotNil(t, h.event("table-away"))
	must.Nil(t, h.event("table-back"))
	m.mu.Lock()
	m.away = false
	m.mu.Unlock()
	_, err := h.store.Read(t.Context(), table.Range{})
	must.NoError(t, err)
	time.Sleep(600 * time.Millisecond)
	must.NotNil(t, h.event("table-back"))
}

// The table may execute the first transaction after the table was away, so the job's later submissions are not refused.
func TestAwayTableDoesNotRefuseJobWithUnknownOutcome(t *testing.T) {
	t.Parallel()
	m := newMemTable()
	m.fail = func(int) (bool, error) { return false, errReset }
	h := confirming(m)
	must.Eq(t, fault.Unknown, fault.CodeOf(h.submit(confirmedID)))
	must.Eq(t, 1, h.count("jobs.accept.unknown"))
	h.loseTable(t, m)
	must.Eq(t, fault.Unknown, fault.CodeOf(h.submit(confirmedID)))
	m.mu.Lock()
	m.away, m.fail = false, nil
	m.mu.Unlock()
	_, err := h.store.Read(t.Context(), table.Range{})
	must.NoError(t, err)
	must.NoError(t, h.submit(confirmedID))
}

// The first submission's call may take effect after a later call for the job was refused.
func TestSecondSubmissionIsNotRefusedWhileFirstIsInFlight(t *testing.T) {
	t.Parallel()
	m := newMemTable()
	h := confirming(m)
	second := make(chan error, 1)
	m.fail = func(n int) (bool, error) {
		if n == 0 {
			go func() { second <- h.submit(confirmedID) }() // the next call, as this one holds the table's lock
			time.Sleep(100 * time.Millisecond)
		}
		return false, fault.New(fault.NotRun, "table", "status 429", "")
	}
	_ = h.submit(confirmedID) // refused: the table has done nothing
	must.Eq(t, fault.Unknown, fault.CodeOf(<-second))
}

// A job that was accepted earlier must not be reported as not run because the table refuses its repetition.
func TestRefusedRepetitionOfAcceptedJobIsAccepted(t *testing.T) {
	t.Parallel()
	m := newMemTable()
	must.NoError(t, confirming(m).submit(confirmedID))
	m.fail = func(int) (bool, error) { return false, fault.New(fault.NotRun, "table", "status 429", "") }
	h := confirming(m)
	must.NoError(t, h.submit(confirmedID))
	must.Eq(t, fault.NotRun, fault.CodeOf(h.submit("00000000000000bb")))
}

func TestPeerAnswersForTable(t *testing.T) {
	t.Parallel()
	m, unreachable := newMemTable(), newMemTable()
	unreachable.fail, unreachable.away = func(int) (bool, error) { return false, errNotSent }, true
	h := newConfirmingHost(unreachable, []store.Peer{tablePeer{m}}, farLeader{}, true, intake.WithConfirmation())
	must.NoError(t, h.submit(confirmedID))
	must.True(t, m.holds(confirmedID))
}

// In a hall that is cut off, the leader of another hall can't say whether it knows the job. It might, while it renews. A
// process that does not lead the cell knows none of its jobs, which says nothing.
func TestCutOffHall(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		far   farLeader
		fresh bool
		code  fault.Code
	}{
		{"the other leader renews", farLeader{silent: true}, true, fault.Unknown},
		{"no renewal arrives", farLeader{silent: true}, false, fault.NotRun},
		{"the other leader answers", farLeader{}, true, fault.NotRun},
		{"another process leads the cell", farLeader{deposed: true}, true, fault.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			m := newMemTable()
			h := newConfirmingHost(m, []store.Peer{tablePeer{m}}, c.far, c.fresh, intake.WithConfirmation())
			h.loseTable(t, m)
			must.Eq(t, c.code, fault.CodeOf(h.submit(confirmedID)))
			must.Eq(t, 0, m.commits)
		})
	}
}

// The first submission's calls were refused, but the second one's call may yet take effect.
func TestRefusedSubmissionIsUnknownIfAnotherHadNoAnswer(t *testing.T) {
	t.Parallel()
	m := newMemTable()
	h := confirming(m)
	second := make(chan error, 1)
	m.fail = func(n int) (bool, error) {
		switch n {
		case 0:
			go func() { second <- h.submit(confirmedID) }() // the next call, as this one holds the table's lock
			time.Sleep(100 * time.Millisecond)
		case 1:
			return false, errReset
		}
		return false, fault.New(fault.NotRun, "table", "status 429", "")
	}
	must.Eq(t, fault.Unknown, fault.CodeOf(h.submit(confirmedID)))
	must.Eq(t, fault.Unknown, fault.CodeOf(<-second))
	must.Eq(t, fault.Unknown, fault.CodeOf(h.submit(confirmedID)))
}

// A caller that leaves after certain refusals must not make the job's later refusals unknown: callers don't repeat those.
func TestCertainRefusalsLeaveNothingOpen(t *testing.T) {
	t.Parallel()
	m := newMemTable()
	ctx, leave := context.WithCancel(t.Context())
	m.fail = func(int) (bool, error) {
		leave()
		return false, fault.New(fault.NotRun, "table", "status 429", "")
	}
	h := confirming(m)
	spec := &wire.JobSpec{Id: confirmedID, Steps: []*wire.StepSpec{{Count: 1}}}
	must.Eq(t, fault.Unknown, fault.CodeOf(h.Submit(ctx, clock.Now(), manifest.Queue{Name: "offers"}, spec)))
	must.Eq(t, fault.NotRun, fault.CodeOf(h.submit(confirmedID)))
}

// lapsingLeaders is a view in which the renewals of the other cell stop counting as recent.
type lapsingLeaders struct {
	knowingLeaders
	until time.Time
}

func (l lapsingLeaders) View() *intake.View {
	l.farFresh = clock.Now().Before(l.until)
	return l.knowingLeaders.View()
}

// A hall that is cut off loses the table 0.5 s before the leaders' last renewals are old. A job of which no transaction was
// sent was answered 504 in that time, which its caller does not repeat.
func TestCutOffHallRefusesOnceRenewalsAreOld(t *testing.T) {
	t.Parallel()
	m := newMemTable()
	log, _ := logtest.NewNullLogger()
	registry := metrics.NewRegistry()
	client := store.New(m, func() []store.Peer { return []store.Peer{tablePeer{m}} }, registry, clock.Now())
	leaders := lapsingLeaders{knowingLeaders{jobs: &sync.Map{}}, clock.Now().Add(1200 * time.Millisecond)}
	h := confirmingHost{store: client, metrics: registry}
	h.Intake = intake.New("hall", client, leaders, farLeader{silent: true}, log.WithField("test", true), registry, intake.WithConfirmation())
	h.loseTable(t, m)
	must.Eq(t, fault.NotRun, fault.CodeOf(h.submit(confirmedID)))
	must.Between(t, 1200*time.Millisecond, clock.Now().Sub(leaders.until.Add(-1200*time.Millisecond)), 1800*time.Millisecond)
	must.Eq(t, 0, m.commits)
}

// Operators must not take an overloaded table for an absent one.
func TestRefusalByTableIsNotCountedAsAbsence(t *testing.T) {
	t.Parallel()
	m := newMemTable()
	m.away, m.fail = true, func(int) (bool, error) { return false, fault.New(fault.NotRun, "table", "status 429", "") }
	h := confirming(m)
	must.Eq(t, fault.NotRun, fault.CodeOf(h.submit(confirmedID)))
	must.Eq(t, 0, h.count("jobs.refused.table-away"))
}

// A call without an answer may write the job after the halls were evacuated, so a later submission is not refused.
func TestEvacuationDoesNotRefuseJobWithUnknownOutcome(t *testing.T) {
	t.Parallel()
	m := newMemTable()
	m.fail = func(int) (bool, error) { return false, errReset }
	log, _ := logtest.NewNullLogger()
	registry, evacuated := metrics.NewRegistry(), map[string]bool{}
	client := store.New(m, func() []store.Peer { return nil }, registry, clock.Now())
	h := confirmingHost{store: client, metrics: registry}
	h.Intake = intake.New("hall", client, evacuatedCells{evacuated: evacuated}, farLeader{}, log.WithField("test", true), registry, intake.WithConfirmation())
	must.Eq(t, fault.Unknown, fault.CodeOf(h.submit(confirmedID)))
	evacuated["hall"], evacuated["far"] = true, true
	_, err := h.store.Read(t.Context(), table.Range{})
	must.NoError(t, err)
	must.Eq(t, fault.Unknown, fault.CodeOf(h.submit(confirmedID)))
	must.Eq(t, 2, h.count("jobs.accept.unknown"))
	must.Eq(t, fault.NotRun, fault.CodeOf(h.submit("00000000000000bb")))
}
