// Package intake is what an entry host does for one call about a job: take it in, tell its
// state, cancel it, count a queue. The platform's adapter calls it for callers.
//
// A job is accepted by one transaction that inserts its anchor if the id is free, so a second
// hand-in at any host is the same job. The cell is chosen by package cellchoice; its leader is
// told at once, and would also find the job in the table.
//
// What may have been written is never called not run, and a count that can't be told is never
// guessed.
package intake

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/connection/store"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/request/cellchoice"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// peerTimeout bounds a question to a cell's leader.
	peerTimeout = 300 * time.Millisecond
	// maxCachedAnchors and endsKept bound what is remembered of jobs: some minutes'
	// worth at the rates of the largest known deployment.
	maxCachedAnchors     = 8192
	maxCachedFinalPhases = 8192
	// maxCachedReasons is the same for why jobs have failed: few do, and a reason has a hundred bytes.
	maxCachedReasons = 512
)

// Peers connects to other hosts.
type Peers interface {
	To(address string) (wire.FleetClient, error)
}

// Intake serves calls about jobs. It is safe for many goroutines.
type Intake struct {
	hall    string
	store   *store.Client
	leaders Leaders
	peers   Peers
	log     *logrus.Entry
	metrics metrics.Registry

	homeCells   *lru.Cache[string, string]
	finalPhases *lru.Cache[string, wire.JobPhase]
	// reasons are why jobs have failed.
	reasons *lru.Cache[string, string]

	mu    sync.Mutex
	board *cellchoice.Board
	// loadRequested are the cells whose load is being asked for, beliefsAt when their leaders'
	// beliefs were.
	loadRequested      map[string]bool
	beliefsRequestedAt map[string]time.Time
}

// New returns the intake of a host in the given hall.
func New(hall string, st *store.Client, leaders Leaders, peers Peers, log *logrus.Entry, registry metrics.Registry) *Intake {
	anchors, _ := lru.New[string, string](maxCachedAnchors)         // fails for a negative size only
	ends, _ := lru.New[string, wire.JobPhase](maxCachedFinalPhases) // likewise
	reasons, _ := lru.New[string, string](maxCachedReasons)         // likewise
	return &Intake{
		hall: hall, store: st, leaders: leaders, peers: peers, log: log, metrics: registry,
		homeCells: anchors, finalPhases: ends, reasons: reasons, board: cellchoice.NewBoard(hall), loadRequested: map[string]bool{}, beliefsRequestedAt: map[string]time.Time{},
	}
}

// Submit takes a job in. It returns when the table holds the job, or with what
// is known: fault.NotRun if it surely does not, else fault.Unknown.
func (i *Intake) Submit(ctx context.Context, now time.Time, q manifest.Queue, spec *wire.JobSpec) error {
	if _, known := i.homeCells.Get(spec.GetId()); known {
		i.logJob("job-accepted-again", spec, now, "", nil)
		return nil
	}
	spec.Queue, spec.Service = q.Name, q.Service
	chosen := i.chooseCell(now, spec)
	spec.Cell = chosen.Cell
	spec.AcceptedStoreMs = i.store.Now(now).Milliseconds()
	err := i.insert(ctx, spec)
	if err != nil {
		i.increment("refused." + string(fault.CodeOf(err)))
		i.logJob("job-refused", spec, now, chosen.Why, err)
		return err
	}
	i.increment("accepted")
	i.logJob("job-accepted", spec, now, chosen.Why, nil)
	return nil
}

func (i *Intake) insert(ctx context.Context, spec *wire.JobSpec) error {
	anchor := rows.AnchorKey(spec.GetId())
	done, err := i.store.Commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: anchor}},
		Puts: []table.Row{
			rows.Row(anchor, &wire.JobAnchor{Cell: spec.GetCell(), Queue: spec.GetQueue()}),
			rows.Row(rows.SpecKey(spec.GetCell(), spec.GetId()), spec),
		},
	})
	switch {
	case err != nil && fault.CodeOf(err) == fault.NotRun:
		return err
	case err != nil:
		return i.resolveUnknown(ctx, spec, err)
	case done.Conflict:
		i.cacheAnchor(spec.GetId(), done.Found)
		return nil // the id stands for a job already: it is this one
	}
	i.homeCells.Add(spec.GetId(), spec.GetCell())
	i.notifyAccepted(spec)
	return nil
}

// resolveUnknown finds out whether a transaction without an answer took effect.
// If the job isn't there now it may still come.
func (i *Intake) resolveUnknown(ctx context.Context, spec *wire.JobSpec, cause error) error {
	cell, found, err := i.homeCell(ctx, spec.GetId())
	if err == nil && found {
		if cell == spec.GetCell() {
			i.notifyAccepted(spec)
		}
		return nil
	}
	return fault.New(fault.Unknown, spec.GetId(), "the table did not say whether it took the job", "ask again with the same id").WithCause(cause)
}

func (i *Intake) cacheAnchor(id string, found []table.Row) {
	for _, r := range found {
		anchor := &wire.JobAnchor{}
		if r.Version != 0 && r.Table == rows.AnchorTable && rows.Read(r, anchor) == nil {
			i.homeCells.Add(id, anchor.GetCell())
		}
	}
}

// notifyAccepted hands a job to its cell's leader, without waiting.
func (i *Intake) notifyAccepted(spec *wire.JobSpec) {
	i.notifyLeader(spec.GetCell(), func() { i.leaders.Accepted(spec) }, func(ctx context.Context, p wire.FleetClient) error {
		reply, err := p.Accepted(ctx, &wire.AcceptedJob{Spec: spec})
		if err == nil {
			i.applyLoad(clock.Now(), reply)
		}
		return err
	})
}

// notifyLeader tells a cell's leader something, without waiting: here, if this
// process leads the cell. A word that does not arrive is only counted, since
// the leader follows the table.
func (i *Intake) notifyLeader(cell string, here func(), there func(ctx context.Context, p wire.FleetClient) error) {
	view := i.leaders.View().Cells[cell]
	if view.Mine {
		here()
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		p, err := i.peers.To(view.Address)
		if err == nil {
			err = there(ctx, p)
		}
		if err != nil {
			i.increment("tell-failed")
		}
	}()
}

// ----------------------------------------------------------------- states

// State tells a job's phase: UNSPECIFIED if there is no such job.
func (i *Intake) State(ctx context.Context, id string) (wire.JobPhase, error) {
	if phase, ok := i.finalPhases.Get(id); ok {
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
		i.finalPhases.Add(id, phase)
	}
	return phase, nil
}

// Reason is why a job has failed, as its record says; empty: it does not say. A failed job's
// record does not change, so its reason is read once.
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

// homeCell finds the cell that a job went to.
func (i *Intake) homeCell(ctx context.Context, id string) (cell string, found bool, err error) {
	if cell, ok := i.homeCells.Get(id); ok {
		return cell, true, nil
	}
	key := rows.AnchorKey(id)
	page, err := i.store.Read(ctx, table.Range{Table: key.Table, Part: key.Part, From: id, To: id + "\x00", Limit: 1})
	if err != nil {
		return "", false, err
	}
	if len(page.Rows) == 0 {
		return "", false, nil
	}
	anchor := &wire.JobAnchor{}
	if err := rows.Read(page.Rows[0], anchor); err != nil {
		return "", false, err
	}
	i.homeCells.Add(id, anchor.GetCell())
	return anchor.GetCell(), true, nil
}

func (i *Intake) phaseFromLeader(ctx context.Context, cell, id string) (wire.JobPhase, bool) {
	view := i.leaders.View().Cells[cell]
	if view.Mine {
		return i.leaders.Phase(ctx, cell, id)
	}
	if view.Address == "" || !view.Fresh {
		return 0, false
	}
	p, err := i.peers.To(view.Address)
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

// phaseFromTable reads a job's phase from the table, where its leader does not
// answer.
func (i *Intake) phaseFromTable(ctx context.Context, cell, id string) (wire.JobPhase, error) {
	p, err := i.readProgress(ctx, cell, id)
	switch {
	case err != nil:
		return 0, err
	case p == nil:
		return wire.JobPhase_JOB_PHASE_QUEUED, nil
	case !p.GetPhase().Terminal():
		return wire.JobPhase_JOB_PHASE_RUNNING, nil
	}
	return p.GetPhase(), nil
}

// readProgress reads what the table holds of a job's progress; nil: nothing yet.
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

// Cancel puts a cancel into the table; false: there is no such job.
func (i *Intake) Cancel(ctx context.Context, now time.Time, id string) (bool, error) {
	if phase, ok := i.finalPhases.Get(id); ok {
		i.log.WithFields(logrus.Fields{"job": id, "phase": phase.String()}).Info("job-cancel-late")
		return true, nil
	}
	cell, found, err := i.homeCell(ctx, id)
	if err != nil || !found {
		return found, err
	}
	cells := i.leaders.View().Cells
	tx := table.Transaction{Puts: []table.Row{rows.Row(rows.CancelKey(cell, id), &wire.JobRef{Cell: cell, Id: id})}}
	for _, name := range slices.Sorted(maps.Keys(cells)) {
		if name != cell {
			// A cell that runs tasks which it was lent must learn of it also while nobody leads the job's own
			// cell, and its next leader, too: a word may not arrive, or be gone with whom it was told.
			tx.Puts = append(tx.Puts, rows.Row(rows.CancelKey(name, id), &wire.JobRef{Cell: name, Id: id}))
		}
	}
	if _, err = i.store.Commit(ctx, tx); err != nil {
		i.log.WithFields(logrus.Fields{"job": id, "why": err.Error()}).Warn("job-cancel-failed")
		return true, err
	}
	i.increment("cancelled")
	i.log.WithFields(logrus.Fields{"job": id, "cell": cell, "ms": clock.Now().Sub(now).Milliseconds()}).Info("job-cancel")
	for name := range cells {
		i.notifyCancel(name, id) // sooner than they read it
	}
	return true, nil
}

func (i *Intake) notifyCancel(cell, id string) {
	i.notifyLeader(cell, func() { i.leaders.Cancelled(cell, id) }, func(ctx context.Context, p wire.FleetClient) error {
		_, err := p.Cancelled(ctx, &wire.JobRef{Cell: cell, Id: id})
		return err
	})
}

func (i *Intake) increment(what string) {
	metrics.GetOrRegisterCounter("jobs."+what, i.metrics).Inc(1)
}

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
