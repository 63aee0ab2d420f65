package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// testCell drives the State of a cell with 16 workers, and answers its calls.
type testCell struct {
	state *cell.State
	now   time.Time
	// clock is what the workers' clocks show.
	clock time.Duration
	// reports are what the workers answer to a poll, by id.
	reports map[string]*workers.Report
	polls   []cell.SendPoll
	// version is the row version of the last transaction.
	version int64
	records []cell.WriteProgress
	// started are the tasks that were ever started.
	started map[string]bool
	// workerOf is the worker of each started task.
	workerOf      map[string]string
	paces         []cell.SendPace
	stops         []cell.SendStop
	notes         []cell.Note
	notifications []cell.NotifyLeader
	// ends is the number of the last end of a run.
	ends int64
	// tableDown says that the table does not answer.
	tableDown bool
	// heldWrites says that transactions get no answers.
	heldWrites bool
	// heldStarts says that orders to start get no answers.
	heldStarts bool
	// refusal is why workers refuse orders to start; NotRefused: they don't.
	refusal workers.Refusal
	// mostEnds is how many ends a worker lists at once, the oldest first, until they are acknowledged; 0: all ends, for ever.
	mostEnds int
	// silent are the workers that do not answer polls.
	silent map[string]bool
	// heldPolls are the workers whose polls get no answer, heldAt is when the last of these was sent.
	heldPolls map[string]bool
	heldAt    time.Time
	// inventoryAsked is how often the state has asked for the inventory.
	inventoryAsked int
}

// testManifest has a queue of batch work (offers) and one of serving tasks (watches), both of a service whose
// workers refuse starts beyond their capacity.
var testManifest = manifest.New(1, []manifest.Queue{
	{Name: "offers", Service: "quotes", Priority: 2, MaxAttempts: 3, Stretch: 2, Slack: time.Second},
	{Name: "watches", Service: "quotes", MaxAttempts: 3, Stretch: 2, Slack: time.Second},
}, []manifest.Service{{Name: "quotes", GuardsCapacity: true}}, manifest.Limits{})

// newEmptyCell returns a cell whose leader has loaded the table and polled the workers; nothing runs.
func newEmptyCell(options ...cell.Option) *testCell {
	return newEmptyCellOf("hall", "quotes", options...)
}

// newEmptyCellOf returns an empty cell of the given name, whose workers are of the given service.
func newEmptyCellOf(name, service string, options ...cell.Option) *testCell {
	b := &testCell{
		started: map[string]bool{}, workerOf: map[string]string{}, silent: map[string]bool{},
		state: cell.New(name, cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute}, options...), now: time.Unix(1000, 0),
		reports: map[string]*workers.Report{},
	}
	records := make([]workers.Record, 16)
	ids := make([]string, 16)
	for i := range records {
		ids[i] = fmt.Sprintf("w%02d", i)
		records[i] = workers.Record{
			ID: ids[i], Service: service, Address: "x", Hall: "hall", Ready: true, Host: ids[i],
			Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000},
		}
		b.reports[ids[i]] = &workers.Report{}
	}
	b.state.Take(b.now, cell.ManifestChanged{Manifest: testManifest})
	b.state.Take(b.now, cell.WorkersListed{Records: records})
	b.state.Take(b.now, cell.LeadershipGained{Epoch: 1, LeasesEndAt: b.now})
	b.state.Take(b.now, cell.Loaded{Epoch: 1, Fences: testFences(), Wall: b.now})
	b.state.Take(b.now, cell.MembershipRecorded{IDs: ids})
	b.step(0)
	return b
}

// newBusyCell returns a cell whose workers are full of serving tasks and fillers, with more fillers waiting.
func newBusyCell() *testCell {
	b := newEmptyCell()
	for i := range 16 {
		b.accept(fmt.Sprintf("%016x", i), "watches", &wire.StepSpec{
			Count: 5, Millicores: 6000, MemoryMb: 1000, Lasting: true, TailTargetMs: 100, Image: fmt.Sprintf("s%d", i%5),
		})
	}
	for i := range 60 {
		b.acceptFillers(100 + i)
	}
	for range 100 {
		b.step(20 * time.Millisecond)
	}
	return b
}

// acceptFillers has the cell accept a job of eight fillers with number i.
func (b *testCell) acceptFillers(i int) {
	b.accept(fmt.Sprintf("%016x", i), "offers", &wire.StepSpec{
		Count: 8, Millicores: 3500, MemoryMb: 6000, Filler: true, EstimateMs: 2700, Image: fmt.Sprintf("f%d", i%9), Checkpointing: true,
	})
}

// accept has the cell accept a job with the given steps.
func (b *testCell) accept(id, queue string, steps ...*wire.StepSpec) {
	b.state.Take(b.now, cell.JobAccepted{Spec: &wire.JobSpec{Id: id, Queue: queue, Service: "quotes", Cell: "hall", Steps: steps}})
}

// step advances the clocks by span, lets the State decide, and answers its calls.
func (b *testCell) step(span time.Duration) {
	b.now = b.now.Add(span)
	b.clock += span
	b.state.Take(b.now, cell.Tick{})
	if !b.tableDown {
		b.state.Take(b.now, cell.LeadershipConfirmed{SentAt: b.now})
	}
	polls := b.polls
	b.polls = nil
	for _, l := range polls {
		b.answerPoll(l)
	}
	for _, e := range b.state.Decide(b.now, b.now) {
		switch e := e.(type) {
		case cell.SendPoll:
			b.polls = append(b.polls, e)
			if b.heldPolls[e.To.ID] {
				b.heldAt = b.now
			}
			b.answerPoll(e)
		case cell.SendStart:
			if b.refusal != workers.NotRefused {
				b.state.Take(b.now, cell.StartAnswered{
					Worker: e.To.ID, Task: e.Start.Task, Run: e.Start.Run, Reply: workers.Reply{Clock: b.clock, Refusal: b.refusal}, Bytes: e.Bytes,
				})
				continue
			}
			b.started[e.Start.Task] = true
			b.workerOf[e.Start.Task] = e.To.ID
			if b.heldStarts {
				continue
			}
			r := b.reports[e.To.ID]
			r.Active = append(r.Active, workers.Active{Task: e.Start.Task, Run: e.Start.Run, Percent: 1, Reading: 40})
			b.state.Take(b.now, cell.StartAnswered{Worker: e.To.ID, Task: e.Start.Task, Run: e.Start.Run, Reply: workers.Reply{Clock: b.clock}, Bytes: e.Bytes})
		case cell.ReadInventory:
			b.inventoryAsked++
		case cell.SendPace:
			b.paces = append(b.paces, e)
			b.state.Take(b.now, cell.PaceAnswered{
				Worker: e.To.ID, Task: e.Pace.Task, Run: e.Pace.Run, Percent: e.Pace.Percent, Reply: workers.Reply{Clock: b.clock},
			})
		case cell.SendStop:
			b.stops = append(b.stops, e)
		case cell.NotifyLeader:
			b.notifications = append(b.notifications, e)
		case cell.Note:
			b.notes = append(b.notes, e)
		case cell.WriteProgress:
			b.records = append(b.records, e)
			if b.heldWrites {
				continue
			}
			if b.tableDown {
				b.state.Take(b.now, cell.WriteAnswered{Part: e.Part, Serial: e.Serial, Err: fault.New(fault.Unknown, "table", "no answer", "")})
				continue
			}
			b.version++
			b.state.Take(b.now, cell.WriteAnswered{Part: e.Part, Serial: e.Serial, Committed: table.CommitResult{Version: b.version}})
		}
	}
}

// answerPoll answers a poll with the worker's report, or with an error if the worker is silent.
func (b *testCell) answerPoll(l cell.SendPoll) {
	if b.heldPolls[l.To.ID] {
		return
	}
	answer := cell.PollAnswered{Worker: l.To.ID, SentAt: b.now}
	if b.mostEnds > 0 {
		r := b.reports[l.To.ID]
		r.Ended = slices.DeleteFunc(slices.Clone(r.Ended), func(e workers.End) bool { return e.Number <= l.Poll.Recorded })
	}
	if b.silent[l.To.ID] {
		answer.Err = fault.New(fault.Unknown, l.To.ID, "no answer", "")
	} else {
		answer.Report = b.report(l.To.ID)
	}
	b.state.Take(b.now, answer)
}

// report returns a worker's report as of now.
func (b *testCell) report(id string) workers.Report {
	r := *b.reports[id]
	r.Clock = b.clock
	if b.mostEnds > 0 && len(r.Ended) >= b.mostEnds {
		r.Ended, r.MoreEnds = r.Ended[:b.mostEnds], true
	}
	return r
}

// finish ends the run of a task; its worker lists the end from then on.
func (b *testCell) finish(task string, how workers.Outcome) {
	r := b.reports[b.workerOf[task]]
	for i, a := range r.Active {
		if a.Task == task {
			b.ends++
			r.Active = append(r.Active[:i:i], r.Active[i+1:]...)
			r.Ended = append(r.Ended, workers.End{Number: b.ends, Task: task, Run: a.Run, Outcome: how})
			return
		}
	}
}

// rowRemoved reports whether a transaction has ever removed a row.
func (b *testCell) rowRemoved(key table.Key) bool {
	for _, r := range b.records {
		if slices.Contains(r.Transaction.Removes, key) {
			return true
		}
	}
	return false
}

// testFences returns versions of the fence rows of all parts.
func testFences() map[string]int64 {
	fences := map[string]int64{}
	for i := range rows.JobParts {
		fences[rows.PartName(i)] = 1
	}
	return fences
}

// crashNotes returns evidence of two crashes, one at each of the hosts, after which a task may only run isolated.
func crashNotes(hosts ...string) []*wire.CrashNote {
	var list []*wire.CrashNote
	for i, host := range hosts {
		list = append(list, &wire.CrashNote{Worker: host, Run: int64(i + 1), Host: host, Born: 1, Began: true, Company: 9, Lives: 1})
	}
	return list
}

// newCellWithOneFreeWorker returns a cell of which all workers but one are full of lasting tasks, and the id of that one.
func newCellWithOneFreeWorker(t *testing.T) (b *testCell, free string) {
	t.Helper()
	b = newEmptyCell()
	b.accept("00000000000000aa", "watches", &wire.StepSpec{Count: 15, Millicores: 32000, MemoryMb: 1000, Lasting: true, TailTargetMs: 100, Image: "s1"})
	for range 20 {
		b.step(50 * time.Millisecond)
	}
	must.MapLen(t, 15, b.started)
	taken := map[string]bool{}
	for _, worker := range b.workerOf {
		taken[worker] = true
	}
	for id, report := range b.reports {
		if !taken[id] {
			free = id
		}
		for i := range report.Active {
			report.Active[i].Percent = 100
		}
	}
	return b, free
}
