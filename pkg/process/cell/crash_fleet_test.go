package cell_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// crashFleet simulates a cell: a leader, six workers, tasks that crash each worker that runs them, and a table that
// answers at once.
type crashFleet struct {
	state   *cell.State
	now     time.Time
	workers map[string]*fleetWorker
	// crashAfter is, by task, the time from its start to the crash of its worker.
	crashAfter map[string]time.Duration
	starts     map[string][]string // the worker of each start, by task
	crashCount map[string]int      // number of crashes, by worker
	failedJobs map[string]string   // log text of the end of each failed job
	// rows is the progress of each job that the table holds.
	rows      map[string]*wire.JobProgress
	specs     []*wire.JobSpec
	version   int64
	epoch     int64
	tableDown bool // the table answers with errors
	// unansweredPart is the part of the table whose transactions are lost without an answer.
	unansweredPart string
	unanswered     []cell.WriteProgress // these transactions
	// heldPoll is the worker whose next answer to a poll is kept in held, and not taken.
	heldPoll string
	held     *cell.PollAnswered
}

type fleetWorker struct {
	id          string
	born        int64
	upAt        time.Time
	runs        map[string]crashRun
	unreadEnds  []workers.End
	lastEnd     int64
	clockOffset time.Duration
	down        bool // down after a crash, until upAt
	leaving     bool // the membership row names it as leaving
	replaced    bool // another worker answers at its address
}

type crashRun struct {
	number    int64
	beganAt   time.Time
	duration  time.Duration
	crashesAt time.Time
}

const (
	crashStep = 10 * time.Millisecond
	// restartDelay is how long a worker is down after a crash.
	restartDelay = 3 * time.Second
	// taskDuration is how long a run of a task takes that crashes nothing.
	taskDuration = 500 * time.Millisecond
)

func newCrashFleet() *crashFleet {
	f := &crashFleet{
		now: time.Unix(1000, 0), workers: map[string]*fleetWorker{}, crashAfter: map[string]time.Duration{}, starts: map[string][]string{},
		crashCount: map[string]int{}, failedJobs: map[string]string{}, rows: map[string]*wire.JobProgress{},
	}
	for i := range 6 {
		id := fmt.Sprintf("w%d", i)
		f.workers[id] = &fleetWorker{id: id, born: 1, runs: map[string]crashRun{}, clockOffset: time.Hour}
	}
	f.newLeader()
	f.run(time.Second)
	return f
}

// newLeader makes a new process the leader, which knows only what the table holds.
func (f *crashFleet) newLeader() {
	f.epoch++
	f.state = cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})
	f.state.Take(f.now, cell.ManifestChanged{Manifest: testManifest})
	f.listWorkers()
	var members []*wire.RosterEntry
	var ids []string
	for _, w := range f.sorted() {
		members = append(members, &wire.RosterEntry{Id: w.id, Address: w.id, Host: w.id, Service: "quotes", Born: w.born, Leaving: w.leaving})
		ids = append(ids, w.id)
	}
	loaded := cell.Loaded{Epoch: f.epoch, Fences: testFences(), Wall: f.now, Members: members}
	for _, spec := range f.specs {
		loaded.Jobs = append(loaded.Jobs, cell.LoadedJob{Spec: spec, Progress: f.rows[spec.GetId()], Recorded: f.version})
	}
	f.state.Take(f.now, cell.LeadershipGained{Epoch: f.epoch, LeasesEndAt: f.now.Add(5 * time.Second)})
	f.state.Take(f.now, loaded)
	f.state.Take(f.now, cell.MembershipRecorded{IDs: ids})
}

func (f *crashFleet) sorted() []*fleetWorker {
	var list []*fleetWorker
	for _, w := range f.workers {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *fleetWorker) int { return strings.Compare(a.id, b.id) })
	return list
}

func (f *crashFleet) listWorkers() {
	var records []workers.Record
	for _, w := range f.sorted() {
		records = append(records, workers.Record{
			ID: w.id, Born: w.born, Service: "quotes", Address: w.id, Hall: "hall", Ready: true, Host: w.id,
			Capacity: ledger.Size{Millicores: 8000, MemoryMB: 32000},
		})
	}
	f.state.Take(f.now, cell.WorkersListed{Records: records})
}

// accept submits a job of one step and returns its ID.
func (f *crashFleet) accept(i int, step *wire.StepSpec) string {
	spec := &wire.JobSpec{Id: fmt.Sprintf("%016x", i), Queue: "offers", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{step}}
	f.specs = append(f.specs, spec)
	f.state.Take(f.now, cell.JobAccepted{Spec: spec})
	return spec.GetId()
}

func oneTask() *wire.StepSpec { return &wire.StepSpec{Count: 1, Millicores: 1000, EstimateMs: 500} }

// run advances time in steps of crashStep: workers work, the leader decides, and its calls are answered.
func (f *crashFleet) run(span time.Duration) {
	for until := f.now.Add(span); f.now.Before(until); {
		f.now = f.now.Add(crashStep)
		for _, w := range f.sorted() {
			f.stepWorker(w)
		}
		f.state.Take(f.now, cell.Tick{})
		if !f.tableDown {
			f.state.Take(f.now, cell.LeadershipConfirmed{SentAt: f.now})
		}
		for _, e := range f.state.Decide(f.now, f.now) {
			f.answer(e)
		}
	}
}

// stepWorker completes a worker's runs, crashes the worker when a run is due to, and restarts it after its time down.
func (f *crashFleet) stepWorker(w *fleetWorker) {
	if w.down {
		if !f.now.Before(w.upAt) {
			w.down, w.born, w.lastEnd, w.clockOffset, w.unreadEnds = false, w.born+1, 0, 0, nil
			f.listWorkers()
		}
		return
	}
	for task, r := range w.runs {
		if !r.crashesAt.IsZero() && !f.now.Before(r.crashesAt) {
			f.crashWorker(w, restartDelay)
			return
		}
		if r.crashesAt.IsZero() && f.now.Sub(r.beganAt) >= r.duration {
			delete(w.runs, task)
			w.lastEnd++
			w.unreadEnds = append(w.unreadEnds, workers.End{Number: w.lastEnd, Task: task, Run: r.number, Outcome: workers.EndedDone})
		}
	}
}

// crashWorker crashes a worker, which is down for a given time.
func (f *crashFleet) crashWorker(w *fleetWorker, span time.Duration) {
	f.crashCount[w.id]++
	w.down, w.upAt, w.runs = true, f.now.Add(span), map[string]crashRun{}
}

func (f *crashFleet) answer(e cell.Effect) {
	switch e := e.(type) {
	case cell.SendPoll:
		f.answerPoll(e)
	case cell.SendStart:
		f.answerStart(e)
	case cell.WriteProgress:
		f.answerRecord(e)
	case cell.Note:
		if e.Kind == cell.NoteJobEnded && strings.Contains(e.Detail, "FAILED") {
			f.failedJobs[e.Job] = e.Detail
		}
	default:
	}
}

func (f *crashFleet) answerPoll(e cell.SendPoll) {
	w := f.workers[e.To.ID]
	answer := cell.PollAnswered{Worker: e.To.ID, SentAt: f.now}
	if w.replaced {
		answer.Refusal = workers.RefusedOtherWorker
		f.state.Take(f.now, answer)
		return
	}
	if w.down {
		answer.Err = fault.New(fault.Unknown, w.id, "EOF", "")
		f.state.Take(f.now, answer)
		return
	}
	w.unreadEnds = slices.DeleteFunc(w.unreadEnds, func(end workers.End) bool { return e.To.Born == w.born && end.Number <= e.Poll.Recorded })
	answer.Report = workers.Report{Born: w.born, Clock: w.clockOffset + f.now.Sub(time.Unix(1000, 0)), Ended: slices.Clone(w.unreadEnds)}
	for task, r := range w.runs {
		answer.Report.Active = append(answer.Report.Active, workers.Active{Task: task, Run: r.number, Percent: int(f.now.Sub(r.beganAt) / crashStep)})
	}
	if w.id == f.heldPoll {
		f.held = &answer
		return
	}
	f.state.Take(f.now, answer)
}

func (f *crashFleet) answerStart(e cell.SendStart) {
	w := f.workers[e.To.ID]
	started := cell.StartAnswered{Worker: e.To.ID, Task: e.Start.Task, Run: e.Start.Run, Reply: workers.Reply{Clock: w.clockOffset + f.now.Sub(time.Unix(1000, 0))}, Bytes: e.Bytes}
	if w.down || (e.To.Born != 0 && e.To.Born != w.born) {
		started.Reply, started.Err = workers.Reply{}, fault.New(fault.Unknown, w.id, "EOF", "")
	} else {
		r := crashRun{number: e.Start.Run, beganAt: f.now, duration: taskDuration}
		if after, poisonous := f.crashAfter[e.Start.Task]; poisonous {
			r.crashesAt = f.now.Add(after)
		}
		w.runs[e.Start.Task] = r
		f.starts[e.Start.Task] = append(f.starts[e.Start.Task], w.id)
	}
	f.state.Take(f.now, started)
}

func (f *crashFleet) answerRecord(e cell.WriteProgress) {
	if e.Part == f.unansweredPart {
		f.unanswered = append(f.unanswered, e)
		return
	}
	answered := cell.WriteAnswered{Part: e.Part, Serial: e.Serial}
	if f.tableDown {
		answered.Err = fault.New(fault.Unknown, "table", "no answer", "")
	} else {
		f.version++
		answered.Committed = table.CommitResult{Version: f.version}
		for _, r := range e.Transaction.Puts {
			p := &wire.JobProgress{}
			if r.Table == rows.ProgressTable("hall") && rows.Read(r, p) == nil {
				f.rows[r.Key.Key] = p
			}
		}
	}
	f.state.Take(f.now, answered)
}

// countCompleted returns how many of the given jobs the table holds as completed.
func (f *crashFleet) countCompleted(ids []string) int {
	n := 0
	for _, id := range ids {
		if f.rows[id].GetPhase() == wire.JobPhase_JOB_PHASE_COMPLETED {
			n++
		}
	}
	return n
}
