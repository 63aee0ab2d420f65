package intake_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
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

// lateTable is a table that leaves transactions unanswered while hold is set, and carries them out when release is called.
type lateTable struct {
	*memTable
	mu   sync.Mutex
	hold bool
	held []table.Transaction
	// before, if set, is called before the next transaction that is carried out.
	before func()
	// reads and commits count the calls.
	reads, commits int
}

func newLateTable() *lateTable { return &lateTable{memTable: newMemTable()} }

func (l *lateTable) Commit(ctx context.Context, tx table.Transaction) (table.CommitResult, error) {
	l.mu.Lock()
	l.commits++
	if l.hold {
		l.held = append(l.held, tx)
		l.mu.Unlock()
		return table.CommitResult{}, errReset
	}
	before := l.before
	l.before = nil
	l.mu.Unlock()
	if before != nil {
		before()
	}
	return l.memTable.Commit(ctx, tx)
}

func (l *lateTable) Read(ctx context.Context, in table.Range) (table.Page, error) {
	l.mu.Lock()
	l.reads++
	l.mu.Unlock()
	return l.memTable.Read(ctx, in)
}

func (l *lateTable) setHold(hold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hold = hold
}

// release carries out the transactions that were held, and returns how many of them took effect.
func (l *lateTable) release(t *testing.T) (effective int) {
	t.Helper()
	l.setHold(false)
	for _, tx := range l.held {
		done, err := l.memTable.Commit(t.Context(), tx)
		must.NoError(t, err)
		if !done.Conflict {
			effective++
		}
	}
	l.held = nil
	return effective
}

// calls returns how many calls the table got during do.
func (l *lateTable) calls(do func()) (reads, commits int) {
	l.mu.Lock()
	reads, commits = l.reads, l.commits
	l.mu.Unlock()
	do()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads - reads, l.commits - commits
}

// hostKinds are the settings under which submissions take different ways through the package.
var hostKinds = map[string][]intake.Option{"confirming": {intake.WithConfirmation()}, "plain": nil, "tracking": {intake.WithLateRefusal(func() string { return "log" })}}

func hostAt(direct store.Direct, options ...intake.Option) confirmingHost {
	return newConfirmingHost(direct, nil, farLeader{}, true, options...)
}

func (farLeader) Cancelled(context.Context, *wire.JobRef, ...grpc.CallOption) (*wire.Empty, error) {
	return &wire.Empty{}, nil
}

// submitBriefly submits a job as a caller that breaks off after a tenth of a second.
func submitBriefly(h confirmingHost, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	return h.Submit(ctx, clock.Now(), manifest.Queue{Name: "offers"}, &wire.JobSpec{Id: id, Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000}}})
}

// Guards against a job that runs after its cancel was answered "no such job", because the table carried its insertion out
// later. The host that takes the cancel knows nothing of the submission.
func TestLateInsertOfCancelledIDHasNoEffect(t *testing.T) {
	t.Parallel()
	for name, options := range hostKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newLateTable()
			l.setHold(true)
			must.Eq(t, fault.Unknown, fault.CodeOf(submitBriefly(hostAt(l, options...), confirmedID)))
			held := l.held
			l.held = nil
			l.setHold(false)
			found, err := hostAt(l, options...).Cancel(t.Context(), clock.Now(), confirmedID)
			must.NoError(t, err)
			must.False(t, found)
			l.held = held
			must.Eq(t, 0, l.release(t))
			phase, err := hostAt(l).State(t.Context(), confirmedID)
			must.NoError(t, err)
			must.Eq(t, wire.JobPhase_JOB_PHASE_UNSPECIFIED, phase)
		})
	}
}

// Guards against a job that is accepted after its cancel was answered "no such job": it would run although it is cancelled.
func TestSubmissionOfCancelledIDIsRefused(t *testing.T) {
	t.Parallel()
	for name, options := range hostKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newLateTable()
			_, err := hostAt(l).Cancel(t.Context(), clock.Now(), confirmedID)
			must.NoError(t, err)
			h := hostAt(l, options...)
			err = h.submit(confirmedID)
			must.Eq(t, fault.NotRun, fault.CodeOf(err))
			must.Between(t, time.Minute, fault.RetryAfterOf(err), 2*time.Minute)
			must.Eq(t, 1, h.count("jobs.refused.cancelled"))
			must.NoError(t, h.submit("00000000000000bb"))
		})
	}
}

// The first call of a submission is unanswered when the cancel comes. The repetition finds the tombstone, so the outcome is no
// longer unknown, also for the host's next submissions.
func TestTombstoneSettlesAnOpenSubmission(t *testing.T) {
	t.Parallel()
	l := newLateTable()
	h := hostAt(l, intake.WithConfirmation())
	l.setHold(true)
	must.Eq(t, fault.Unknown, fault.CodeOf(submitBriefly(h, confirmedID)))
	l.setHold(false)
	_, err := hostAt(l).Cancel(t.Context(), clock.Now(), confirmedID)
	must.NoError(t, err)
	must.Eq(t, fault.NotRun, fault.CodeOf(h.submit(confirmedID)))
	must.Eq(t, 0, l.release(t))
	l.memTable.fail = func(int) (bool, error) { return false, fault.New(fault.NotRun, "table", "status 429", "") }
	must.Eq(t, fault.NotRun, fault.CodeOf(h.submit(confirmedID)))
}

// A cancel whose reading came before the insertion, and whose write came after it, cancels the job.
func TestCancelThatMeetsAnInsertionCancelsTheJob(t *testing.T) {
	t.Parallel()
	l := newLateTable()
	l.before = func() { must.NoError(t, hostAt(l).submit(confirmedID)) }
	found, err := hostAt(l).Cancel(t.Context(), clock.Now(), confirmedID)
	must.NoError(t, err)
	must.True(t, found)
	l.memTable.mu.Lock()
	defer l.memTable.mu.Unlock()
	_, cancelled := l.rows[rows.CancelKey("hall", confirmedID)]
	must.True(t, cancelled)
}

func TestTwoCancelsOfUnknownJobAtOnce(t *testing.T) {
	t.Parallel()
	l := newLateTable()
	l.before = func() {
		found, err := hostAt(l).Cancel(t.Context(), clock.Now(), confirmedID)
		must.NoError(t, err)
		must.False(t, found)
	}
	found, err := hostAt(l).Cancel(t.Context(), clock.Now(), confirmedID)
	must.NoError(t, err)
	must.False(t, found)
}

// A cancel is not acknowledged while it is not known that submissions are kept out.
func TestCancelWithoutTombstoneIsNotAcknowledged(t *testing.T) {
	t.Parallel()
	for name, outcome := range map[string]error{"no answer": errReset, "refused": fault.New(fault.NotRun, "table", "status 503", "")} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newMemTable()
			m.fail = func(int) (bool, error) { return false, outcome }
			h := hostAt(m)
			_, err := h.Cancel(t.Context(), clock.Now(), confirmedID)
			must.ErrorIs(t, err, outcome)
			must.NotNil(t, h.event("job-cancel-failed"))
			m.mu.Lock()
			m.fail = nil
			m.mu.Unlock()
			found, err := h.Cancel(t.Context(), clock.Now(), confirmedID)
			must.NoError(t, err)
			must.False(t, found)
		})
	}
	m := newMemTable()
	m.away = true
	_, err := hostAt(m).Cancel(t.Context(), clock.Now(), confirmedID)
	must.Error(t, err)
}

// The tombstone must add no call to the usual submissions and cancels.
func TestCallsOfSubmissionsAndCancels(t *testing.T) {
	t.Parallel()
	l := newLateTable()
	first, other := hostAt(l, intake.WithConfirmation()), hostAt(l, intake.WithConfirmation())
	cancel := func(h confirmingHost, id string) func() {
		return func() {
			_, err := h.Cancel(t.Context(), clock.Now(), id)
			must.NoError(t, err)
		}
	}
	for _, c := range []struct {
		name           string
		do             func()
		reads, commits int
	}{
		{"submission", func() { must.NoError(t, first.submit(confirmedID)) }, 0, 1},
		{"cancel where it was submitted", cancel(first, confirmedID), 0, 1},
		{"cancel at another host", cancel(other, confirmedID), 1, 1},
		{"cancel of an unknown id", cancel(first, "00000000000000bb"), 1, 1},
		{"the same again", cancel(other, "00000000000000bb"), 1, 0},
	} {
		reads, commits := l.calls(c.do)
		must.Eq(t, []int{c.reads, c.commits}, []int{reads, commits}, must.Sprint(c.name))
	}
}

// Guards against a host that goes on answering for a job whose rows have expired: it showed the job as queued, and accepted the id
// without keeping a job.
func TestHostForgetsAJobWhoseRowsHaveExpired(t *testing.T) {
	t.Parallel()
	m := newMemTable()
	h := hostAt(m, intake.WithConfirmation(), intake.WithRetention(50*time.Millisecond))
	must.NoError(t, h.submit(confirmedID))
	h.jobs.Delete(confirmedID)
	m.mu.Lock()
	clear(m.rows)
	m.mu.Unlock()
	time.Sleep(60 * time.Millisecond)
	phase, err := h.State(t.Context(), confirmedID)
	must.NoError(t, err)
	must.Eq(t, wire.JobPhase_JOB_PHASE_UNSPECIFIED, phase)
	must.NoError(t, h.submit(confirmedID))
	must.True(t, m.holds(confirmedID))
}

// Guards against a job that runs on after its cancel was acknowledged, as the host that took the cancel knew an earlier job of the
// same id that had ended.
func TestCancelOfAnIDInUseAgainCancelsTheNewJob(t *testing.T) {
	t.Parallel()
	m := newMemTable()
	h := hostAt(m, intake.WithConfirmation(), intake.WithRetention(50*time.Millisecond))
	must.NoError(t, h.submit(confirmedID))
	h.jobs.Delete(confirmedID)
	ended := rows.Row(rows.ProgressKey("hall", confirmedID), &wire.JobProgress{Phase: wire.JobPhase_JOB_PHASE_COMPLETED})
	m.mu.Lock()
	m.rows[ended.Key] = ended
	m.mu.Unlock()
	phase, err := h.State(t.Context(), confirmedID)
	must.NoError(t, err)
	must.Eq(t, wire.JobPhase_JOB_PHASE_COMPLETED, phase)
	m.mu.Lock()
	clear(m.rows)
	m.mu.Unlock()
	must.NoError(t, hostAt(m).submit(confirmedID))
	time.Sleep(60 * time.Millisecond)
	_, err = h.Cancel(t.Context(), clock.Now(), confirmedID)
	must.NoError(t, err)
	m.mu.Lock()
	defer m.mu.Unlock()
	must.MapContainsKey(t, m.rows, rows.CancelKey("hall", confirmedID))
}

// While the table is away, the leader of an older job is still asked for its state.
func TestStateOfAnOldJobIsToldWithoutTheTable(t *testing.T) {
	t.Parallel()
	m := newMemTable()
	h := hostAt(m, intake.WithConfirmation(), intake.WithRetention(50*time.Millisecond))
	must.NoError(t, h.submit(confirmedID))
	time.Sleep(60 * time.Millisecond)
	m.mu.Lock()
	m.away = true
	m.mu.Unlock()
	phase, err := h.State(t.Context(), confirmedID)
	must.NoError(t, err)
	must.Eq(t, wire.JobPhase_JOB_PHASE_QUEUED, phase)
}
