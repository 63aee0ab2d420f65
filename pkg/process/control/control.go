// Package control runs the hall.State of one hall. The control goroutine passes events to the state. The effects that
// the state returns, such as table calls, run in other goroutines, and their results come back as events. Package
// daemon starts the loop.
//
// Other goroutines read the control state from Status, an immutable snapshot, or query it with Explain, which runs
// between two events. All decisions are made by the hall.State, none by this package.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/connection/platform"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/hall"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Table is the part of the platform's table service that the loop calls.
type Table interface {
	Commit(ctx context.Context, req *wire.CommitRequest) (*wire.CommitReply, error)
	Read(ctx context.Context, req *wire.ReadRequest) (*wire.ReadReply, error)
}

// Workers is the client of the workers that the loop calls.
type Workers interface {
	Sync(ctx context.Context, address string, req *wire.SyncRequest) (*wire.SyncReply, error)
}

// Status is an immutable snapshot of the control state.
type Status struct {
	Hall string
	// Leading means that this process leads the hall and has loaded its state.
	Leading bool
	// Leader is the leader row as this process last read it.
	Leader *wire.LeaderRow
	Counts hall.Counts
	// Released means that this process is draining and no longer holds the leadership, so a planned stop may end.
	Released bool
	// At is when the snapshot was taken.
	At time.Time
}

const (
	// tickInterval is the time between two hall.Tick events, which let the state act on timeouts.
	tickInterval = 20 * time.Millisecond
	// eventQueueLength is the capacity of the queue of events for the control goroutine. A sender blocks while the
	// queue is full.
	eventQueueLength = 4096
	// inboxPageSize is the maximum number of inbox rows that one read returns.
	inboxPageSize = 200
)

// Loop runs the control goroutine of one hall. Only that goroutine uses the state. Each queued function runs in it and
// returns the effects to perform.
type Loop struct {
	hallName string
	state    *hall.State
	table    Table
	workers  Workers
	log      *logrus.Entry
	metrics  metrics.Registry
	events   chan func(now time.Time) []hall.Effect
	status   atomic.Pointer[Status]
}

// NewLoop returns a loop that runs a state. Serve starts it.
func NewLoop(hallName string, state *hall.State, table Table, workers Workers, log *logrus.Entry, registry metrics.Registry) *Loop {
	l := &Loop{
		hallName: hallName,
		state:    state,
		table:    table,
		workers:  workers,
		log:      log,
		metrics:  registry,
		events:   make(chan func(time.Time) []hall.Effect, eventQueueLength),
	}
	l.status.Store(&Status{Hall: hallName})
	return l
}

// Status returns the latest snapshot.
func (l *Loop) Status() *Status { return l.status.Load() }

// Leading returns whether this process led its hall at the time of the latest snapshot.
func (l *Loop) Leading() bool { return l.Status().Leading }

// Post queues an event for the control goroutine. It blocks while the queue is full.
func (l *Loop) Post(e hall.Event) {
	l.events <- func(now time.Time) []hall.Effect { return l.state.Step(now, e) }
}

// ReadInboxNow makes the control goroutine read the hall's inbox at once if this process leads the hall.
func (l *Loop) ReadInboxNow() {
	l.events <- func(now time.Time) []hall.Effect {
		l.state.Wake()
		return l.state.Step(now, hall.Tick{})
	}
}

// Explain returns the facts that the state holds about an object, by running the query in the control goroutine. It
// returns an error if ctx ends first.
func (l *Loop) Explain(ctx context.Context, name string) ([]hall.Fact, error) {
	answer := make(chan []hall.Fact, 1)
	ask := func(now time.Time) []hall.Effect {
		answer <- l.state.Explain(now, name)
		return nil
	}
	select {
	case l.events <- ask:
	case <-ctx.Done():
		return nil, fault.New(fault.Unavailable, name, "the control thread is busy", "ask again").WithCause(ctx.Err())
	}
	select {
	case facts := <-answer:
		return facts, nil
	case <-ctx.Done():
		return nil, fault.New(fault.Unavailable, name, "the control thread is busy", "ask again").WithCause(ctx.Err())
	}
}

// ExplainForPeer returns the result of Explain in the wire format, for another entry host.
func (l *Loop) ExplainForPeer(ctx context.Context, name string) ([]*wire.Fact, error) {
	explained, err := l.Explain(ctx, name)
	if err != nil {
		return nil, err
	}
	var facts []*wire.Fact
	for _, f := range explained {
		facts = append(facts, &wire.Fact{AtUnixMs: f.At.UnixMilli(), Object: f.Object, Reason: string(f.Reason), Detail: f.Detail})
	}
	return facts, nil
}

// String returns the name that the supervisor logs.
func (l *Loop) String() string { return "control of hall " + l.hallName }

// Serve runs the control goroutine until the context ends.
func (l *Loop) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	steps := metrics.GetOrRegisterTimer("control.step", l.metrics)
	for {
		var effects []hall.Effect
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			begin := time.Now()
			effects = l.state.Step(begin, hall.Tick{})
			steps.UpdateSince(begin)
			l.publishStatus()
		case f := <-l.events:
			begin := time.Now()
			effects = f(begin)
			steps.UpdateSince(begin)
		}
		for _, e := range effects {
			l.startEffect(ctx, e)
		}
	}
}

// publishStatus replaces the snapshot that Status returns.
func (l *Loop) publishStatus() {
	l.status.Store(&Status{
		Hall:     l.hallName,
		Leading:  l.state.Leading(),
		Leader:   l.state.Leader(),
		Counts:   l.state.Counts(),
		Released: l.state.DrainComplete(),
		At:       time.Now(),
	})
}

// ---------------------------------------------------------------- effects

// startEffect starts an effect. Calls to the table or to workers run in their own goroutine, which posts the result as
// an event. A note is recorded at once and has no result.
func (l *Loop) startEffect(ctx context.Context, e hall.Effect) {
	switch e := e.(type) {
	case hall.Note:
		l.recordFact(e.Fact)
	case hall.Commit:
		go l.commit(ctx, e)
	case hall.ReadLeader:
		go l.readLeader(ctx)
	case hall.Load:
		go func() { l.postResult(ctx, l.loadHall(ctx)) }()
	case hall.ReadInbox:
		go func() { l.postResult(ctx, l.readInbox(ctx, e.Hall)) }()
	case hall.Sync:
		go l.sync(ctx, e)
	}
}

// postResult queues an effect's result for the control goroutine. It drops the result if ctx ends while the queue is
// full.
func (l *Loop) postResult(ctx context.Context, e hall.Event) {
	select {
	case l.events <- func(now time.Time) []hall.Effect { return l.state.Step(now, e) }:
	case <-ctx.Done():
	}
}

// recordFact counts a fact by its reason and logs it.
func (l *Loop) recordFact(f hall.Fact) {
	metrics.GetOrRegisterCounter("reason."+string(f.Reason), l.metrics).Inc(1)
	entry := l.log.WithFields(logrus.Fields{"object": f.Object, "reason": f.Reason})
	if loggedAtInfo[f.Reason] {
		entry.Info(f.Detail)
		return
	}
	entry.Debug(f.Detail)
}

// loggedAtInfo holds the reasons that are logged at info level: changes of the hall's leadership or of a worker's
// state, and commit conflicts. Facts with other reasons are logged at debug level. All are counted.
var loggedAtInfo = map[hall.Reason]bool{
	hall.ClaimedLeadership: true, hall.LostLeadership: true, hall.ReleasedLeadership: true,
	hall.LoadedState: true, hall.TenureOver: true, hall.WorkerReached: true, hall.WorkerLost: true,
	hall.WorkerRestarted: true, hall.WorkerQuarantined: true, hall.WorkerQuarantineLifted: true, hall.CommitConflict: true,
}

// commit sends a transaction to the table. SentAt is taken before the call, since a leader counts its tenure from then.
func (l *Loop) commit(ctx context.Context, e hall.Commit) {
	metrics.GetOrRegisterCounter("table.commits", l.metrics).Inc(1)
	sentAt := time.Now()
	reply, err := l.table.Commit(ctx, e.Request)
	l.postResult(ctx, hall.Committed{
		ID: e.ID, SentAt: sentAt, Revision: reply.GetRevision(), Conflicts: reply.GetConflicts(), Err: err,
	})
}

// readLeader reads the hall's leader row. The result has no Row if the table has none.
func (l *Loop) readLeader(ctx context.Context) {
	answer := hall.LeaderRead{SentAt: time.Now()}
	row, err := platform.ReadOne(ctx, l.table, rows.Leader(l.hallName))
	answer.Err = err
	if err == nil && row != nil {
		answer.Row = &wire.LeaderRow{}
		answer.Revision = row.GetRevision()
		answer.Err = rows.Decode(row, answer.Row)
	}
	l.postResult(ctx, answer)
}

// sync sends one message to a worker.
func (l *Loop) sync(ctx context.Context, e hall.Sync) {
	metrics.GetOrRegisterCounter("workers.messages", l.metrics).Inc(1)
	reply, err := l.workers.Sync(ctx, e.Address, e.Request)
	l.postResult(ctx, hall.Synced{
		Worker: e.Worker, Epoch: e.Request.GetEpoch(), Sequence: e.Request.GetSequence(), Reply: reply, Err: err,
	})
}

// loadHall reads the hall's tasks, their jobs and its workers' incarnations from the table.
func (l *Loop) loadHall(ctx context.Context) hall.Loaded {
	var out hall.Loaded
	taskRows, err := platform.ReadAll(ctx, l.table, rows.TaskPrefix(l.hallName))
	if err != nil {
		return hall.Loaded{Err: err}
	}
	keys := map[string]bool{}
	for _, r := range taskRows {
		t := &wire.TaskRow{}
		if err := rows.Decode(r, t); err != nil {
			return hall.Loaded{Err: err}
		}
		out.Tasks = append(out.Tasks, t)
		keys[t.GetJobKey()] = true
	}
	out.Jobs, err = l.loadJobs(ctx, keys)
	if err != nil {
		return hall.Loaded{Err: err}
	}
	workerRows, err := platform.ReadAll(ctx, l.table, rows.WorkerPrefix(l.hallName))
	if err != nil {
		return hall.Loaded{Err: err}
	}
	for _, r := range workerRows {
		w := &wire.WorkerRow{}
		if err := rows.Decode(r, w); err != nil {
			return hall.Loaded{Err: err}
		}
		out.Workers = append(out.Workers, w)
	}
	return out
}

// loadJobs reads the jobs with the given keys, with their revisions. Jobs that the table does not hold are left out.
func (l *Loop) loadJobs(ctx context.Context, keys map[string]bool) ([]hall.JobAtRevision, error) {
	list := make([]string, 0, len(keys))
	for key := range keys {
		list = append(list, rows.Job(key))
	}
	reply, err := l.table.Read(ctx, &wire.ReadRequest{Keys: list})
	if err != nil {
		return nil, err
	}
	jobs := make([]hall.JobAtRevision, 0, len(list))
	for _, r := range reply.GetRows() {
		j := &wire.JobRow{}
		if err := rows.Decode(r, j); err != nil {
			return nil, err
		}
		jobs = append(jobs, hall.JobAtRevision{Row: j, Revision: r.GetRevision()})
	}
	return jobs, nil
}

// readInbox reads the first inboxPageSize rows of a hall's inbox and the jobs that they refer to.
func (l *Loop) readInbox(ctx context.Context, name string) hall.InboxRead {
	out := hall.InboxRead{Hall: name}
	reply, err := l.table.Read(ctx, &wire.ReadRequest{Prefix: rows.InboxPrefix(name), Limit: inboxPageSize})
	if err != nil {
		return hall.InboxRead{Hall: name, Err: err}
	}
	keys := map[string]bool{}
	for _, r := range reply.GetRows() {
		item := &wire.InboxRow{}
		if err := rows.Decode(r, item); err != nil {
			return hall.InboxRead{Hall: name, Err: err}
		}
		out.Items = append(out.Items, hall.InboxItem{Key: r.GetKey(), Revision: r.GetRevision(), Row: item})
		keys[item.GetJobKey()] = true
	}
	if len(keys) == 0 {
		return out
	}
	jobs, err := l.loadJobs(ctx, keys)
	if err != nil {
		return hall.InboxRead{Hall: name, Err: err}
	}
	byKey := make(map[string]hall.JobAtRevision, len(jobs))
	for _, j := range jobs {
		byKey[j.Row.GetKey()] = j
	}
	for i := range out.Items {
		out.Items[i].Job = byKey[out.Items[i].Row.GetJobKey()]
	}
	return out
}
