package emulator

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/election"
	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Execution of the effects that a cell's state decides on.

// carryOut carries out an effect and feeds its answer back into the state.
func (h *seat) carryOut(e cell.Effect) {
	w := h.world
	switch e := e.(type) {
	case cell.StepDown:
		h.state.Take(h.clock(), cell.LeadershipLost{Why: e.Why})
	case cell.NotifyLeader:
		h.notifyLeader(e)
	case cell.Note:
		w.Noted[e.Kind]++
		if loggedNotes[e.Kind] || (w.logsWaits() && loggedWaitNotes[e.Kind]) {
			w.logf("%s at %s: %s %s %s %s", h.cell, h.name, e.Kind, e.Worker, e.Task, detailOf(e))
		}
	case cell.SendPace:
		h.callWorker(e.To, workerCall{limit: e.Timeout, bytes: messageBytes}, func(k *worker) (any, workers.Refusal) {
			return k.ifAddressed(e.To, func() (any, workers.Refusal) { return anyOf(k.setPace(e.Pace)) })
		},
			func(v any, refusal workers.Refusal, err error, _ callTimes) {
				clock, _ := v.(time.Duration)
				h.state.Take(h.clock(), cell.PaceAnswered{
					Worker: e.To.ID, Task: e.Pace.Task, Run: e.Pace.Run, Percent: e.Pace.Percent, Reply: workers.Reply{Refusal: refusal, Clock: clock}, Err: err,
				})
			})
	case cell.Load:
		h.load(e.Epoch, 0, cell.Loaded{Epoch: e.Epoch, Fences: map[string]int64{}, Wall: w.now})
	case cell.WriteProgress:
		h.commit(e.Transaction, func(c table.CommitResult, ok bool) {
			answered := cell.WriteAnswered{Part: e.Part, Serial: e.Serial, Committed: c}
			if !ok {
				answered.Err = fault.New(fault.Unknown, "table", "no answer", "")
			}
			h.state.Take(h.clock(), answered)
			h.act()
		})
	case cell.SendAdviceRequest:
		h.advise(e)
	case cell.SendPoll:
		sentAt := h.clock()
		h.callWorker(e.To, workerCall{limit: e.Timeout, wait: e.Poll.Wait, bytes: messageBytes, readLate: true}, func(k *worker) (any, workers.Refusal) {
			report, refusal := k.poll(k.pollFor(e.To, e.Poll))
			w.checker.listed(k, report.Ended)
			return report, refusal
		},
			func(v any, refusal workers.Refusal, err error, times callTimes) {
				report, _ := v.(workers.Report)
				h.state.Take(h.clock(), cell.PollAnswered{Worker: e.To.ID, SentAt: sentAt, Report: report, Refusal: refusal, Err: err, Lag: times.lag, Late: times.late})
			})
	case cell.SendStart:
		sentAt := h.clock()
		if w.plan.OddRows && !w.rowWasValid(e.To.Address, h.listReadAt) {
			w.checker.breakRule("ROW", "%s orders %s at %s, whose row is invalid", h.name, e.Start.Task, e.To.ID)
		}
		h.callWorker(e.To, workerCall{limit: e.Timeout, bytes: e.Bytes}, func(k *worker) (any, workers.Refusal) {
			return k.ifAddressed(e.To, func() (any, workers.Refusal) {
				k.orderedBy, k.orderedAt = h, sentAt
				return anyOf(k.start(e.Start))
			})
		},
			func(v any, refusal workers.Refusal, err error, times callTimes) {
				clock, _ := v.(time.Duration)
				h.state.Take(h.clock(), cell.StartAnswered{
					Worker: e.To.ID, Task: e.Start.Task, Run: e.Start.Run, Reply: workers.Reply{Refusal: refusal, Clock: clock}, Err: err,
					RoundTrip: times.roundTrip, Lag: times.lag, Bytes: e.Bytes,
				})
			})
	case cell.ReadInventory:
		h.readInventory()
	case cell.SendStop:
		h.callWorker(e.To, workerCall{limit: e.Timeout, bytes: messageBytes}, func(k *worker) (any, workers.Refusal) {
			return k.ifAddressed(e.To, func() (any, workers.Refusal) { return anyOf(k.stop(e.Stop)) })
		},
			func(v any, refusal workers.Refusal, err error, _ callTimes) {
				clock, _ := v.(time.Duration)
				h.state.Take(h.clock(), cell.StopAnswered{Worker: e.To.ID, Reply: workers.Reply{Refusal: refusal, Clock: clock}, Err: err})
			})
	}
}

// detailOf returns the detail of a note as the day's log prints it.
func detailOf(n cell.Note) string {
	if n.Reason == "" {
		return n.Detail
	}
	text := fmt.Sprintf("%s; fits %d times here, %d elsewhere", n.Reason, n.FitsHere, n.FitsElsewhere)
	if n.Left > 0 {
		text += fmt.Sprintf("; %s left", n.Left)
	}
	if n.KeptFor != "" {
		text += "; kept for " + n.KeptFor
	}
	return text
}

// loggedNotes are the kinds of notes that the day's log holds.
var loggedNotes = map[cell.NoteKind]bool{
	cell.NoteLent: true, cell.NoteTakenBack: true, cell.NoteGivenBack: true, cell.NoteWorkerCrashed: true, cell.NoteSuspected: true,
	cell.NoteCleared: true, cell.NoteLostStart: true, cell.NoteJobEnded: true, cell.NoteLost: true, cell.NoteWorkerGone: true, cell.NoteLed: true, cell.NoteSettled: true,
}

// loggedWaitNotes are the further kinds logged on days with lasting tasks that stay or a backlog, which explain why tasks wait.
var loggedWaitNotes = map[cell.NoteKind]bool{
	cell.NoteWaits: true, cell.NoteStop: true, cell.NoteWorkerAside: true, cell.NoteStartRefused: true, cell.NoteStartUnsure: true,
	cell.NoteWorkerSilent: true, cell.NoteDeposed: true, cell.NoteLoaded: true, cell.NoteStart: true, cell.NoteWorkerNew: true,
	cell.NoteWorkerLeaves: true, cell.NotePredecessorOver: true, cell.NoteLastingWaits: true, cell.NoteWorkerDropped: true, cell.NoteLastingStopped: true, cell.NoteReserveChanged: true, cell.NoteLastingPlaces: true,
	cell.NoteStarts: true, cell.NoteDelays: true,
}

// logsWaits returns whether the day's log holds loggedWaitNotes.
func (w *World) logsWaits() bool {
	return w.plan.checksLasting() || w.plan.IdleByReservations || w.plan.Processor != (Processor{})
}

// anyOf drops the type of a call's answer.
func anyOf[T any](v T, r workers.Refusal) (any, workers.Refusal) { return v, r }

// callTimes are the times of a call: how long it took, and for how much of that the host's process had no processor. late means
// that the call has ended without an answer before.
type callTimes struct {
	roundTrip, lag time.Duration
	late           bool
}

// workerCall says how to call a worker: how long to wait for the answer, how long the worker may wait before it answers, the
// bytes that are sent, and whether an answer after the limit is read.
type workerCall struct {
	limit, wait time.Duration
	bytes       int
	readLate    bool
}

// callWorker calls a worker over the host's link. done runs only in this incarnation of the host; its error is
// set if no answer came within the limit.
func (h *seat) callWorker(to workers.Target, c workerCall, at func(k *worker) (any, workers.Refusal), done func(any, workers.Refusal, error, callTimes)) {
	here := h.bindIncarnation()
	for _, k := range h.world.workers {
		if k.name != to.Address {
			continue
		}
		h.beginCall(func() {
			sentAt := h.clock()
			finish := func(v any, refusal workers.Refusal, ok, late bool, lag time.Duration) {
				var err error
				if !ok {
					err = fault.New(fault.Unknown, to.ID, "no answer", "")
				}
				done(v, refusal, err, callTimes{roundTrip: h.clock().Sub(sentAt), lag: lag, late: late})
				h.act()
			}
			receive := h.receiver(finish)
			call(h.world, h.name, k, to.ID, c.limit, c.wait, h.uploadDelay(c.bytes)+h.connectDelay(k), func() (any, workers.Refusal) { return at(k) }, func(v any, refusal workers.Refusal, ok, late bool) {
				if !late || c.readLate {
					here(func() { receive(v, refusal, ok, late) })
				}
			})
		})
	}
}

// maxConnectDelay bounds the extra time of a first call to a worker: opening the connection and asking which
// incarnation answers there.
const maxConnectDelay = 120 * time.Millisecond

// loadRetryInterval is how long a leader waits before it repeats a failed step of loading its cell.
const loadRetryInterval = 100 * time.Millisecond

// connectDelay returns the extra time of a first call to a worker incarnation, 0 for later calls.
func (h *host) connectDelay(k *worker) time.Duration {
	if !h.world.plan.Touch || h.connected[k.id()] {
		return 0
	}
	h.connected[k.id()] = true
	return h.world.draws.between("connect "+h.name+" "+k.name, time.Millisecond, maxConnectDelay)
}

// load writes the fence row of each part of the job table, and then reads the cell's tables. On days with
// Plan.Touch the parts don't wait for each other, since connections take time there.
func (h *seat) load(epoch int64, part int, loaded cell.Loaded) {
	if h.world.plan.Touch && part < rows.JobParts {
		for i := range rows.JobParts {
			loaded.Fences[rows.PartName(i)] = h.putFence(epoch, i)
		}
		part = rows.JobParts
	}
	retry := func() {
		h.world.after(loadRetryInterval, h.ifSameIncarnation(func() { h.load(epoch, part, loaded) }))
	}
	if h.seat.Role() != election.Leader || h.seat.Row().GetEpoch() != epoch {
		return
	}
	if part == rows.JobParts {
		h.readCell(loaded, retry)
		return
	}
	key := rows.FenceKey(h.cell, rows.PartName(part))
	before := h.world.table.rows[key] // reads the row without delay
	fence := &wire.CellFence{}
	if before.Version != 0 && rows.Read(before, fence) == nil && fence.GetEpoch() >= epoch {
		if fence.GetEpoch() > epoch {
			h.state.Take(h.clock(), cell.LeadershipLost{Why: "a later fence"})
			return
		}
		loaded.Fences[rows.PartName(part)] = before.Version
		h.load(epoch, part+1, loaded)
		return
	}
	h.commit(table.Transaction{
		Conditions: []table.Condition{{Key: key, Version: before.Version}},
		Puts:       []table.Row{rows.Row(key, &wire.CellFence{Epoch: epoch})},
	}, func(c table.CommitResult, ok bool) {
		if !ok || c.Conflict {
			retry()
			return
		}
		loaded.Fences[rows.PartName(part)] = c.Version
		h.load(epoch, part+1, loaded)
	})
}

// putFence writes the fence row of one part without delay, unless it holds this epoch or a later one. It
// returns the row's version.
func (h *seat) putFence(epoch int64, part int) int64 {
	t, key := h.world.table, rows.FenceKey(h.cell, rows.PartName(part))
	before, fence := t.rows[key], &wire.CellFence{}
	if before.Version != 0 && rows.Read(before, fence) == nil && fence.GetEpoch() >= epoch {
		return before.Version
	}
	return t.apply(table.Transaction{Puts: []table.Row{rows.Row(key, &wire.CellFence{Epoch: epoch})}}).Version
}

// readCell reads the cell's tables and gives the state what was loaded; it calls retry if a read fails.
func (h *seat) readCell(loaded cell.Loaded, retry func()) {
	t, here, askedAt := h.world.table, h.bindIncarnation(), h.clock()
	t.scan(h.name, rows.SpecTable(h.cell), func(specs []table.Row, _ time.Duration, ok1 bool) {
		t.scan(h.name, rows.ProgressTable(h.cell), func(progress []table.Row, _ time.Duration, ok2 bool) {
			t.scan(h.name, rows.CancelTable(h.cell), func(cancels []table.Row, at time.Duration, ok3 bool) {
				here(func() {
					if !ok1 || !ok2 || !ok3 {
						retry()
						return
					}
					loaded.Jobs = loadedJobs(specs, progress)
					h.addCancels(&loaded, cancels)
					loaded.Members = t.members(h.cell)
					loaded.Wall, loaded.StoreNow = h.world.now, at
					h.jobsReadAt = askedAt
					h.takeLoaded(loaded, cancels)
					h.act()
				})
			})
		})
	})
}

// takeLoaded gives the state what was loaded, which it ignores if it has loaded the cell before or no longer leads.
func (h *seat) takeLoaded(loaded cell.Loaded, cancels []table.Row) {
	led := h.state.Leading()
	h.state.Take(h.clock(), loaded)
	if led || !h.state.Leading() {
		return
	}
	h.cancelsVersion = 0
	for _, r := range cancels {
		h.cancelsVersion = max(h.cancelsVersion, r.Version)
	}
}

// addCancels adds the rows of the cancel table to what is loaded: cancels, and tasks returned by other cells.
func (h *seat) addCancels(loaded *cell.Loaded, cancels []table.Row) {
	for _, r := range cancels {
		if added, err := h.tombstones.Add(r); added || err != nil {
			continue
		}
		if !rows.IsReturn(r.Key) {
			loaded.Cancels = append(loaded.Cancels, r.Key.Key)
			continue
		}
		if back := (&wire.ReturnedTasks{}); rows.Read(r, back) == nil {
			loaded.Returned = append(loaded.Returned, back)
		}
	}
}

// loadedJobs joins the rows of jobs and of their progress by job id, in the order of the first row of each.
func loadedJobs(specs, progress []table.Row) []cell.LoadedJob {
	known := map[string]*cell.LoadedJob{}
	var order []string
	for _, r := range specs {
		spec := &wire.JobSpec{}
		if rows.Read(r, spec) == nil {
			known[spec.GetId()] = &cell.LoadedJob{Spec: spec}
			order = append(order, spec.GetId())
		}
	}
	for _, p := range rows.ReadProgress(progress) {
		if p.Err != nil {
			continue
		}
		id := p.First.Key.Key
		if known[id] == nil {
			known[id] = &cell.LoadedJob{Spec: jobs.SpecOfEnded(id, p.JobProgress)}
			order = append(order, id)
		}
		known[id].Progress, known[id].Recorded = p.JobProgress, p.First.Version
	}
	list := make([]cell.LoadedJob, 0, len(order))
	for _, id := range order {
		list = append(list, *known[id])
	}
	return list
}
