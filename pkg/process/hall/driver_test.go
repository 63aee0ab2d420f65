package hall_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/process/hall"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/version/settings"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// The driver runs a State against fakes of the table and the workers, on a
// simulated clock. The answer to an effect arrives at the next tick.

const (
	tick     = 20 * time.Millisecond
	hallName = "a"
)

// fakeWorker is a worker whose attempts end after driver.runFor, or durationOf.
type fakeWorker struct {
	boot        time.Time
	name        string
	epoch       int64
	sequence    int64
	runs        map[string]*wire.Run
	until       map[string]time.Time
	unreachable bool
	failAll     bool
	samples     []*wire.ServiceSample
}

// traffic counts the effects of a State, and the rows, bytes and starts in them.
type traffic struct {
	commits, written, reads, syncs, syncBytes, starts int
}

// driver runs a State against a table and workers in memory.
type driver struct {
	state          *hall.State
	now            time.Time
	table          map[string]*wire.Row
	version        int64
	workers        map[string]*fakeWorker
	order          []string
	answers        []hall.Event
	runFor         time.Duration
	traffic        traffic
	reasonCounts   map[hall.Reason]int
	outage         bool
	stepTime       time.Duration // total time spent in State.Step
	durationOf     func(task string) time.Duration
	stopOneAtATime bool // workers stop one attempt at a time
}

func newDriver(t testing.TB, workers int, tree string) *driver {
	t.Helper()
	parsed, err := settings.Parse("test", tree)
	must.NoError(t, err)
	d := &driver{
		state: hall.New(hallName, "entry/1", "127.0.0.1:1"), now: time.Unix(1_000_000, 0),
		table: map[string]*wire.Row{}, workers: map[string]*fakeWorker{}, reasonCounts: map[hall.Reason]int{}, runFor: time.Second,
	}
	var hosts []*wire.Host
	for i := range workers {
		name := fmt.Sprintf("w%03d", i)
		d.workers[name] = &fakeWorker{name: name, boot: d.now, runs: map[string]*wire.Run{}, until: map[string]time.Time{}}
		d.order = append(d.order, name)
		hosts = append(hosts, &wire.Host{
			Name: name, Role: hall.RoleWorker, Hall: hallName, Rack: fmt.Sprintf("r%d", i/8), Address: name, Capacity: workerSize,
		})
	}
	d.step(hall.SettingsChanged{Tree: parsed.WithVersion(1)})
	d.step(hall.HostsListed{Hosts: hosts})
	return d
}

var workerSize = &wire.Size{Millicores: 32000, MemoryMb: 125000, Accelerators: 1}

// step passes an event to the State and performs the effects.
func (d *driver) step(e hall.Event) {
	begin := time.Now()
	effects := d.state.Step(d.now, e)
	d.stepTime += time.Since(begin)
	for _, effect := range effects {
		d.perform(effect)
	}
}

// advance moves the clock on by span, tick by tick, and delivers the answers that
// are due.
func (d *driver) advance(span time.Duration) {
	for end := d.now.Add(span); d.now.Before(end); {
		d.now = d.now.Add(tick)
		answers := d.answers
		d.answers = nil
		for _, e := range answers {
			d.step(e)
		}
		d.step(hall.Tick{})
	}
}

// until moves the clock on until the condition holds, for 5000 ticks at most.
func (d *driver) until(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for range 5000 {
		if condition() {
			return
		}
		d.advance(tick)
	}
	t.Fatalf("condition not met in time: %s", what)
}

// perform carries out an effect and queues its answer for the next tick.
func (d *driver) perform(effect hall.Effect) {
	switch e := effect.(type) {
	case hall.Note:
		d.reasonCounts[e.Fact.Reason]++
	case hall.Commit:
		d.answers = append(d.answers, d.commit(e))
	case hall.ReadLeader:
		d.traffic.reads++
		d.answers = append(d.answers, d.readLeader())
	case hall.Load:
		d.answers = append(d.answers, d.load())
	case hall.ReadInbox:
		d.traffic.reads++
		d.answers = append(d.answers, d.readInbox(e.Hall))
	case hall.Sync:
		d.answers = append(d.answers, d.sync(e))
	}
}

// ------------------------------------------------------------- the table

func (d *driver) commit(e hall.Commit) hall.Committed {
	d.traffic.commits++
	if d.outage {
		return hall.Committed{ID: e.ID, SentAt: d.now, Err: errUnreachable}
	}
	answer := hall.Committed{ID: e.ID, SentAt: d.now}
	for _, c := range e.Request.GetConditions() {
		if d.table[c.GetKey()].GetRevision() != c.GetRevision() {
			answer.Conflicts = append(answer.Conflicts, c.GetKey())
		}
	}
	if len(answer.Conflicts) > 0 {
		return answer
	}
	d.version++
	answer.Revision = d.version
	for _, r := range e.Request.GetPuts() {
		d.table[r.GetKey()] = &wire.Row{Key: r.GetKey(), Value: r.GetValue(), Revision: d.version}
		d.traffic.written++
	}
	for _, key := range e.Request.GetDeletes() {
		delete(d.table, key)
	}
	return answer
}

type unreachableError struct{}

func (unreachableError) Error() string { return "the fake does not answer" }

var errUnreachable = unreachableError{}

func (d *driver) readLeader() hall.LeaderRead {
	if d.outage {
		return hall.LeaderRead{SentAt: d.now, Err: errUnreachable}
	}
	r := d.table[rows.Leader(hallName)]
	if r == nil {
		return hall.LeaderRead{SentAt: d.now}
	}
	row := &wire.LeaderRow{}
	_ = rows.Decode(r, row)
	return hall.LeaderRead{SentAt: d.now, Row: row, Revision: r.GetRevision()}
}

func (d *driver) load() hall.Loaded {
	var out hall.Loaded
	for key, r := range d.table {
		switch {
		case strings.HasPrefix(key, "task/"):
			row := &wire.TaskRow{}
			_ = rows.Decode(r, row)
			out.Tasks = append(out.Tasks, row)
		case strings.HasPrefix(key, "job/"):
			if j := d.job(r); j.Row.GetState() == wire.JobState_JOB_STATE_CLAIMED {
				out.Jobs = append(out.Jobs, j)
			}
		case strings.HasPrefix(key, "worker/"):
			row := &wire.WorkerRow{}
			_ = rows.Decode(r, row)
			out.Workers = append(out.Workers, row)
		}
	}
	return out
}

func (d *driver) job(r *wire.Row) hall.JobAtRevision {
	row := &wire.JobRow{}
	_ = rows.Decode(r, row)
	return hall.JobAtRevision{Row: row, Revision: r.GetRevision()}
}

func (d *driver) readInbox(name string) hall.InboxRead {
	out := hall.InboxRead{Hall: name}
	if d.outage {
		out.Err = errUnreachable
		return out
	}
	for key, r := range d.table {
		if !strings.HasPrefix(key, rows.InboxPrefix(name)) || len(out.Items) >= 200 {
			continue
		}
		row := &wire.InboxRow{}
		_ = rows.Decode(r, row)
		item := hall.InboxItem{Key: key, Revision: r.GetRevision(), Row: row}
		if j := d.table[rows.Job(row.GetJobKey())]; j != nil {
			item.Job = d.job(j)
		}
		out.Items = append(out.Items, item)
	}
	return out
}

// submit writes a job and its inbox row to the table, as an entry host does.
func (d *driver) submit(key, kind string, tasks int32, size *wire.Size) {
	d.version++
	job := &wire.JobRow{
		Key: key, Service: "desk", Kind: kind, Tasks: tasks, State: wire.JobState_JOB_STATE_ACCEPTED, Hall: hallName, Size: size,
	}
	for _, r := range []*wire.Row{rows.Put(rows.Job(key), job), rows.Put(rows.Inbox(hallName, rows.Submit, key), &wire.InboxRow{Verb: rows.Submit, JobKey: key})} {
		r.Revision = d.version
		d.table[r.GetKey()] = r
	}
}

func (d *driver) jobState(key string) wire.JobState {
	r := d.table[rows.Job(key)]
	if r == nil {
		return wire.JobState_JOB_STATE_UNSPECIFIED
	}
	return d.job(r).Row.GetState()
}

// ----------------------------------------------------------- the workers

func (d *driver) sync(e hall.Sync) hall.Synced {
	d.traffic.syncs++
	d.traffic.syncBytes += proto.Size(e.Request)
	answer := hall.Synced{Worker: e.Worker, Epoch: e.Request.GetEpoch(), Sequence: e.Request.GetSequence()}
	w := d.workers[e.Worker]
	if w.unreachable {
		answer.Err = errUnreachable
		return answer
	}
	answer.Reply = d.handleSync(w, e.Request)
	d.traffic.syncBytes += proto.Size(answer.Reply)
	return answer
}

// handleSync applies a message to a worker and returns the worker's reply.
func (d *driver) handleSync(w *fakeWorker, req *wire.SyncRequest) *wire.SyncReply {
	w.epoch = req.GetEpoch()
	for _, s := range req.GetStarts() {
		d.traffic.starts++
		name := fmt.Sprintf("%s#%d", s.GetTaskId(), s.GetAttempt())
		w.runs[name] = &wire.Run{TaskId: s.GetTaskId(), Attempt: s.GetAttempt(), State: wire.RunState_RUN_STATE_RUNNING, Size: s.GetSize()}
		span := d.runFor
		if d.durationOf != nil {
			span = d.durationOf(s.GetTaskId())
		}
		w.until[name] = d.now.Add(span)
	}
	for _, s := range req.GetStops() {
		r := w.runs[fmt.Sprintf("%s#%d", s.GetTaskId(), s.GetAttempt())]
		if r != nil && r.GetState() == wire.RunState_RUN_STATE_RUNNING {
			r.State = wire.RunState_RUN_STATE_STOPPED
			r.Checkpoint = "checkpoint"
			if d.stopOneAtATime {
				break
			}
		}
	}
	for _, s := range req.GetThrottles() {
		if r := w.runs[fmt.Sprintf("%s#%d", s.GetTaskId(), s.GetAttempt())]; r != nil {
			r.ThrottlePercent = s.GetPercent()
		}
	}
	for _, s := range req.GetRecorded() {
		delete(w.runs, fmt.Sprintf("%s#%d", s.GetTaskId(), s.GetAttempt()))
	}
	reply := &wire.SyncReply{
		Incarnation: w.name + w.boot.String(), Epoch: w.epoch, Mark: d.now.Sub(w.boot).Milliseconds(), Capacity: workerSize, Samples: w.samples,
	}
	for name, r := range w.runs {
		if r.GetState() == wire.RunState_RUN_STATE_RUNNING && !d.now.Before(w.until[name]) {
			r.State = wire.RunState_RUN_STATE_FINISHED
			if w.failAll {
				r.State = wire.RunState_RUN_STATE_FAILED
			}
		}
		reply.Runs = append(reply.Runs, r)
	}
	return reply
}
