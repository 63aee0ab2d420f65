// Package intake serves calls about jobs at an entry host: submit, state, cancel, and the
// count of a queue's pending jobs. The platform's adapter calls it for callers.
//
// One transaction accepts a job: it inserts the job's anchor row if the id is unused, so
// submitting the id again at any host yields the same job. Package cellchoice chooses the cell.
// The cell's leader is notified at once, and would also find the job in the table.
//
// A job that may have been written is never reported as not run. A pending count that can't
// be determined is an error, never an estimate.
package intake

import (
	"context"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/connection/store"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/request/admission"
	"github.com/wrenferry/wrenferry/pkg/request/cancellation"
	"github.com/wrenferry/wrenferry/pkg/request/cellchoice"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/version/queueterms"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// peerTimeout bounds a call to a cell's leader whose answer a caller waits for.
	peerTimeout = 300 * time.Millisecond
	// notifyTimeout bounds a notification, for which nobody waits: a leader that has no processor for a while takes it late, and
	// while the table is slow it may learn of a cancel in no other way.
	notifyTimeout = 2 * time.Second
	// maxCachedAnchors and maxCachedFinalPhases bound the caches of home cells and final
	// phases, in jobs: some minutes' worth at the rates of the largest known deployment.
	maxCachedAnchors     = 8192
	maxCachedFinalPhases = 8192
	// maxCachedReasons bounds the cache of failure reasons, in jobs: few jobs fail, and a
	// reason takes about a hundred bytes.
	maxCachedReasons = 512
	// defaultRetention is how long the table keeps ended jobs and tombstones.
	defaultRetention = 2 * time.Minute
)

// Peers connects to other hosts.
type Peers interface {
	// PeerClient returns the client for the host at an address.
	PeerClient(address string) (wire.FleetClient, error)
}

// Intake serves calls about jobs. It is safe for many goroutines.
type Intake struct {
	hall    string
	store   *store.Client
	leaders Leaders
	peers   Peers
	log     *logrus.Entry
	metrics metrics.Registry

	homeCells   *lru.Cache[string, cachedCell]
	finalPhases *lru.Cache[string, cachedPhase]
	// reasons holds the reasons of failed jobs by job id.
	reasons *lru.Cache[string, string]

	// mu guards the fields below.
	mu    sync.Mutex
	board *cellchoice.Board
	// loadRequested marks the cells with a load request under way. beliefsRequestedAt holds the
	// time of the last request for the interference beliefs of a cell's leader.
	loadRequested      map[string]bool
	beliefsRequestedAt map[string]time.Time
	// tableCounts holds the pending counts of cells whose leaders did not answer.
	tableCounts map[string]*sharedCount
	// pendingAnswers holds the last answers on pending jobs, by queue.
	pendingAnswers map[string]pendingAnswer

	// exchange is nil unless hosts pass on loads to each other.
	exchange Exchange
	// confirms is set by WithConfirmation. outcomes is empty without it and without a treatment of late jobs.
	confirms bool
	outcomes *openOutcomes
	// refuseLate returns the treatment of jobs that would be too late, admission decides which these are.
	refuseLate func() string
	admission  *admission.Admission
	retention  time.Duration
}

// Option changes an Intake from its defaults.
type Option func(*Intake)

// WithConfirmation repeats a submission without an answer of the table until its outcome is known, and refuses submissions
// while the table is away. Package acceptance makes the decisions.
func WithConfirmation() Option { return func(i *Intake) { i.confirms = true } }

// WithRetention sets how long a cancelled id that has no job can't be submitted. It must be longer than the table may take to
// carry out a transaction.
func WithRetention(span time.Duration) Option { return func(i *Intake) { i.retention = span } }

// Exchange passes the loads of cells and counts of jobs from relays to the hosts that follow them.
type Exchange interface {
	// Relaying returns whether this host asks for loads on behalf of others.
	Relaying() bool
	// LoadReported takes the load of a cell that its leader has told this host.
	LoadReported(now time.Time, l *wire.CellLoad)
	// Pending returns the counts of pending jobs of a cell's queues as a relay has counted them in the table, and when they
	// were read, or false if no relay tells.
	Pending(ctx context.Context, cell string) (counts map[string]int, readAt time.Time, ok bool)
}

// WithExchange makes the host pass on loads. TakeLoad is called with those that it gets.
func WithExchange(e Exchange) Option { return func(i *Intake) { i.exchange = e } }

// New returns the intake of a host in the given hall.
func New(hall string, st *store.Client, leaders Leaders, peers Peers, log *logrus.Entry, registry metrics.Registry, options ...Option) *Intake {
	homeCells, _ := lru.New[string, cachedCell](maxCachedAnchors)        // fails for a negative size only
	finalPhases, _ := lru.New[string, cachedPhase](maxCachedFinalPhases) // likewise
	reasons, _ := lru.New[string, string](maxCachedReasons)              // likewise
	i := &Intake{
		hall: hall, store: st, leaders: leaders, peers: peers, log: log, metrics: registry,
		homeCells: homeCells, finalPhases: finalPhases, reasons: reasons,
		board: cellchoice.NewBoard(hall), loadRequested: map[string]bool{}, beliefsRequestedAt: map[string]time.Time{},
		tableCounts: map[string]*sharedCount{}, pendingAnswers: map[string]pendingAnswer{}, outcomes: newOpenOutcomes(),
		refuseLate: func() string { return admission.Off }, admission: admission.New(), retention: defaultRetention,
	}
	for _, o := range options {
		o(i)
	}
	return i
}

// Submit accepts a job. It returns nil once the table holds the job, fault.NotRun if the
// table certainly does not hold it, and otherwise fault.Unknown. fault.NotRun is about this submission: callers go on
// submitting the job under the same id. A submission of an id that was cancelled before the table held a job is refused.
func (i *Intake) Submit(ctx context.Context, now time.Time, q manifest.Queue, spec *wire.JobSpec) error {
	if _, known := i.knownCell(spec.GetId()); known {
		i.logJob("job-accepted-again", spec, now, "", nil)
		return nil
	}
	spec.Queue, spec.Service, spec.Terms = q.Name, q.Service, queueterms.Of(q)
	cells := i.cells(now)
	if err := i.refuseBeforeChoice(ctx, now, spec, cells); err != nil {
		i.increment("refused.evacuation")
		i.logJob("job-refused", spec, now, "", err)
		return err
	}
	if err := i.refuseIfLate(ctx, now, q, spec, cells); err != nil {
		i.increment("refused.late")
		i.logJob("job-refused", spec, now, "", err)
		return err
	}
	chosen := i.chooseCell(now, spec, cells)
	spec.Cell = chosen.Cell
	spec.AcceptedStoreMs = i.store.StoreTime(now).Milliseconds()
	err := i.accept(ctx, now, spec)
	if err != nil {
		i.increment("refused." + string(fault.CodeOf(err)))
		i.logJob("job-refused", spec, now, chosen.Reason, err)
		return err
	}
	i.increment("accepted")
	i.logJob("job-accepted", spec, now, chosen.Reason, nil)
	return nil
}

// accept writes the job into the table, with repetitions if they are enabled.
func (i *Intake) accept(ctx context.Context, now time.Time, spec *wire.JobSpec) error {
	switch {
	case i.confirms:
		return i.insertConfirmed(ctx, now, spec)
	case i.refuseLate() != admission.Off:
		return i.insertTracked(ctx, now, spec)
	}
	return i.insert(ctx, now, spec)
}

// insertion returns the transaction that writes the job's anchor and spec rows if its id is unused.
func insertion(spec *wire.JobSpec) table.Transaction {
	anchor := rows.AnchorKey(spec.GetId())
	return table.Transaction{
		Conditions: []table.Condition{{Key: anchor}},
		Puts: []table.Row{
			rows.Row(anchor, &wire.JobAnchor{Cell: spec.GetCell(), Queue: spec.GetQueue()}),
			rows.Row(rows.SpecKey(spec.GetCell(), spec.GetId()), spec),
		},
	}
}

// insert writes the job's anchor and spec rows if its id is unused. An id that is in use denotes the same job, so
// insert then succeeds, too, unless a tombstone is there.
func (i *Intake) insert(ctx context.Context, now time.Time, spec *wire.JobSpec) error {
	done, err := i.store.Commit(ctx, insertion(spec))
	switch {
	case err != nil && fault.CodeOf(err) == fault.NotRun:
		return err
	case err != nil:
		return i.resolveUnknown(ctx, now, spec, err)
	case done.Conflict:
		_, err := i.readConflict(now, spec.GetId(), done)
		return err // without an error the id is in use, so this job was accepted before
	}
	i.cacheCell(spec.GetId(), spec.GetCell())
	i.notifyAccepted(spec)
	return nil
}

// resolveUnknown checks whether a transaction without an answer took effect. A missing anchor
// proves nothing, as the transaction may still take effect: the result is then fault.Unknown.
func (i *Intake) resolveUnknown(ctx context.Context, now time.Time, spec *wire.JobSpec, cause error) error {
	anchor, err := i.anchor(ctx, spec.GetId())
	if err == nil && anchor.Status == cancellation.Tombstone {
		return i.cancelledBefore(now, spec.GetId(), anchor)
	}
	if err == nil && anchor.Status == cancellation.Held {
		if anchor.Cell == spec.GetCell() {
			i.notifyAccepted(spec)
		}
		return nil
	}
	return fault.New(fault.Unknown, spec.GetId(), "the table did not say whether it took the job", "ask again with the same id").WithCause(cause)
}

// notifyAccepted sends an accepted job to its cell's leader in the background.
func (i *Intake) notifyAccepted(spec *wire.JobSpec) {
	i.notifyLeader(spec.GetCell(), func() { i.leaders.JobAccepted(spec) }, func(ctx context.Context, p wire.FleetClient) error {
		reply, err := p.Accepted(ctx, &wire.AcceptedJob{Spec: spec})
		if err == nil {
			i.applyLoad(clock.Now(), reply)
		}
		return err
	})
}

// notifyLeader notifies a cell's leader without waiting for the answer. It calls local if this
// process leads the cell, and otherwise remote with a client of the leader. A lost notification
// is only counted, since the leader also follows the table.
func (i *Intake) notifyLeader(cell string, local func(), remote func(ctx context.Context, p wire.FleetClient) error) {
	view := i.leaders.View().Cells[cell]
	if view.Mine {
		local()
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		p, err := i.peers.PeerClient(view.Address)
		if err == nil {
			err = remote(ctx, p)
		}
		if err != nil {
			i.increment("tell-failed")
		}
	}()
}

// ----------------------------------------------------------------- states

// State returns a job's phase, or UNSPECIFIED if there is no such job at this moment. A submission without an answer may take
// effect later; only a cancel keeps it out.
func (i *Intake) State(ctx context.Context, id string) (wire.JobPhase, error) {
	if phase, known := i.knownFinalPhase(id); known {
		return phase, nil
	}
	cell, found, err := i.homeCell(ctx, id)
	if err != nil {
		return 0, err
	}
	if !found {
		return wire.JobPhase_JOB_PHASE_UNSPECIFIED, nil
	}
	phase, known := i.phaseFromLeader(ctx, cell, id)
	if !known {
		if phase, err = i.phaseFromTable(ctx, cell, id); err != nil {
			return 0, err
		}
	}
	if phase.Terminal() {
		i.cacheFinalPhase(id, phase)
	}
	return phase, nil
}

// Reason returns the reason in a failed job's progress row, or "" if none can be read. The
// row of a failed job does not change, so the reason is cached.
func (i *Intake) Reason(ctx context.Context, id string) string {
	if reason, ok := i.reasons.Get(id); ok {
		return reason
	}
	cell, found, err := i.homeCell(ctx, id)
	if err != nil || !found {
		return ""
	}
	p, err := i.readProgress(ctx, cell, id)
	if err != nil || p.GetPhase() != wire.JobPhase_JOB_PHASE_FAILED {
		return ""
	}
	i.reasons.Add(id, p.GetReason())
	return p.GetReason()
}

// homeCell returns the cell that accepted a job. found is false if there is no such job.
func (i *Intake) homeCell(ctx context.Context, id string) (cell string, found bool, err error) {
	anchor, err := i.anchor(ctx, id)
	if err != nil || anchor.Status != cancellation.Held {
		return "", false, err
	}
	return anchor.Cell, true, nil
}

// phaseFromLeader asks the leader of the job's home cell for its phase. It returns false if
// no leader is within reach or the leader does not know the job.
func (i *Intake) phaseFromLeader(ctx context.Context, cell, id string) (wire.JobPhase, bool) {
	view := i.leaders.View().Cells[cell]
	if view.Mine {
		return i.leaders.Phase(ctx, cell, id)
	}
	if view.Address == "" || !view.Fresh {
		return 0, false
	}
	p, err := i.peers.PeerClient(view.Address)
	if err != nil {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := p.State(ctx, &wire.JobRef{Cell: cell, Id: id})
	if err != nil || !reply.GetKnown() {
		return 0, false
	}
	return reply.GetPhase(), true
}

// phaseFromTable reads a job's phase from the table, for a cell whose leader does not answer.
// A job without a progress row is queued, and so is one whose row does not say that a task has begun.
func (i *Intake) phaseFromTable(ctx context.Context, cell, id string) (wire.JobPhase, error) {
	p, err := i.readProgress(ctx, cell, id)
	switch {
	case err != nil:
		return 0, err
	case p == nil:
		return wire.JobPhase_JOB_PHASE_QUEUED, nil
	case p.GetPhase().Terminal():
		return p.GetPhase(), nil
	case p.HasBegun():
		return wire.JobPhase_JOB_PHASE_RUNNING, nil
	}
	return wire.JobPhase_JOB_PHASE_QUEUED, nil
}

// readProgress reads a job's progress row, or returns nil if there is none yet.
func (i *Intake) readProgress(ctx context.Context, cell, id string) (*wire.JobProgress, error) {
	key := rows.ProgressKey(cell, id)
	page, err := i.store.Read(ctx, table.Range{Table: key.Table, Part: key.Part, From: id, To: id + "\x00", Limit: 1})
	if err != nil || len(page.Rows) == 0 {
		return nil, err
	}
	p := &wire.JobProgress{}
	if err := rows.Read(page.Rows[0], p); err != nil {
		return nil, err
	}
	return p, nil
}

func (i *Intake) increment(name string) {
	metrics.GetOrRegisterCounter("jobs."+name, i.metrics).Inc(1)
}

// logJob logs an event of a submission, with the time since began and the error's outcome if there is an error.
func (i *Intake) logJob(event string, spec *wire.JobSpec, began time.Time, detail string, err error) {
	fields := logrus.Fields{
		"job": spec.GetId(), "queue": spec.GetQueue(), "cell": spec.GetCell(), "ms": clock.Now().Sub(began).Milliseconds(),
	}
	if detail != "" {
		fields["detail"] = detail
	}
	if err != nil {
		fields["why"] = err.Error()
		fields["outcome"] = string(fault.CodeOf(err))
		i.log.WithFields(fields).Warn(event)
		return
	}
	i.log.WithFields(fields).Info(event)
}
