package emulator

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/election"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// host is an entry host: the product's seat and cell, driven by events. A
// frozen host takes in nothing until it thaws, and then all at once.
type host struct {
	world *World
	name  string
	life  int
	up    bool

	seat        *election.Seat
	state       *cell.State
	frozenUntil time.Time
	storeAt     time.Duration
	storeRead   time.Time
}

func newHost(w *World, name string) *host {
	h := &host{world: w, name: name}
	w.after(w.between(0, 300*time.Millisecond), h.boot)
	return h
}

func (h *host) boot() {
	w := h.world
	h.life++
	h.up = true
	self := election.Self{
		Life: fmt.Sprintf("%s/%d", h.name, h.life), Host: h.name, Hall: cellName, Address: h.name, Since: w.now,
		Delay: w.between(0, 150*time.Millisecond),
	}
	h.seat = election.New(cellName, cellName, self)
	h.state = cell.New(cellName, cell.Bounds{
		MaxLease: maxHold, Retention: 2 * time.Minute,
	}, cell.WithUnsafe(w.plan.Unsafe))
	h.state.Take(w.now, cell.ManifestChanged{Manifest: theManifest()})
	h.every(100*time.Millisecond, h.tick)
	h.every(300*time.Millisecond, h.readLeads)
	h.every(300*time.Millisecond, h.listWorkers)
	h.every(700*time.Millisecond, h.followCell)
}

// every runs something again and again while this life lasts.
func (h *host) every(span time.Duration, do func()) {
	life := h.life
	var again func()
	again = func() {
		if h.up && h.life == life {
			do()
			h.world.after(span, again)
		}
	}
	h.on(again)
}

// on runs something now, or when the host thaws, if this life still lasts.
func (h *host) on(do func()) {
	w := h.world
	life := h.life
	if w.now.Before(h.frozenUntil) {
		w.after(h.frozenUntil.Sub(w.now), func() {
			if h.up && h.life == life {
				h.on(do)
			}
		})
		return
	}
	do()
}

// back wraps the answer of a call: it is for this life only, and waits while
// the host is frozen.
func (h *host) back(do func()) func() {
	life := h.life
	return func() {
		if h.up && h.life == life {
			h.on(do)
		}
	}
}

func (h *host) kill(span time.Duration) {
	if !h.up {
		return
	}
	h.world.logf("%s is killed", h.name)
	h.up = false
	h.world.after(span, h.boot)
}

func (h *host) freeze(span time.Duration) {
	if h.up {
		h.world.logf("%s freezes for %s", h.name, span)
		h.frozenUntil = h.world.now.Add(span)
	}
}

func (h *host) storeNow() time.Duration { return h.storeAt + h.world.now.Sub(h.storeRead) }

func (h *host) tick() {
	if h.world.now.Before(h.frozenUntil) {
		return
	}
	h.state.Take(h.world.now, cell.Tick{})
	h.changed(h.seat.Expire(h.world.now))
	h.act()
}

func (h *host) act() {
	w := h.world
	if h.seat.Role() == election.Leader {
		h.state.Take(w.now, cell.Confirmed{At: h.seat.RenewedAt()})
	}
	for _, e := range h.state.Decide(w.now, w.now) {
		h.carryOut(e)
	}
	if h.seat.Role() == election.Leader && h.state.Quiet() {
		h.seat.Release()
	}
	write := h.seat.Next(w.now, h.state.Roster(), 0, false)
	if write == nil {
		return
	}
	tx := table.Transaction{
		Conditions: []table.Condition{{Key: rows.LeadKey(cellName), Version: write.Version}},
		Puts:       []table.Row{rows.Row(rows.LeadKey(cellName), write.Row)},
	}
	h.commit(tx, func(c table.Committed, ok bool) {
		version := int64(0)
		if ok && !c.Conflict {
			version = c.Version
		}
		h.changed(h.seat.TakeWritten(w.now, version))
		if version != 0 {
			h.state.Take(w.now, cell.RosterRecorded{IDs: rosterIDs(write.Row.GetRoster())})
		}
		h.act()
	})
}

func rosterIDs(roster []*wire.RosterEntry) []string {
	var list []string
	for _, r := range roster {
		list = append(list, r.GetId())
	}
	return list
}

func (h *host) commit(tx table.Transaction, done func(c table.Committed, ok bool)) {
	h.world.table.commit(h.name, tx, func(c table.Committed, ok bool) { h.back(func() { done(c, ok) })() })
}

func (h *host) changed(c election.Change) {
	now := h.world.now
	switch {
	case c.Led:
		h.world.logf("%s leads epoch %d", h.name, h.seat.Row().GetEpoch())
		h.state.Take(now, cell.Led{Epoch: h.seat.Row().GetEpoch(), Roster: c.Before.GetRoster(), RosterUntil: rosterUntil(now, c)})
		h.state.Take(now, cell.RosterRecorded{IDs: rosterIDs(h.seat.Row().GetRoster())})
		h.awaitForerunner(h.seat.Row().GetEpoch(), c.Before)
	case c.Lost:
		h.state.Take(now, cell.Deposed{Why: c.Why})
	}
}

// awaitForerunner asks the host that led before until it says that it does not.
func (h *host) awaitForerunner(epoch int64, before *wire.CellLead) {
	if before == nil {
		return
	}
	if before.GetHost() == h.name {
		h.state.Take(h.world.now, cell.ForerunnerOver{Epoch: epoch})
		return
	}
	for _, other := range h.world.hosts {
		if other.name != before.GetHost() {
			continue
		}
		h.world.after(300*time.Millisecond, h.back(func() {
			w := h.world
			answers := other.up && !w.now.Before(other.frozenUntil) && !w.cut(h.name, other.name)
			if answers && !other.state.Holds() {
				h.state.Take(w.now, cell.ForerunnerOver{Epoch: epoch})
				return
			}
			if h.state.Holds() {
				h.awaitForerunner(epoch, before)
			}
		}))
	}
}

func rosterUntil(now time.Time, c election.Change) time.Time {
	if c.Before == nil {
		return now
	}
	return now.Add(election.Tenure - c.Age + cell.LongestLease*11/10)
}

func (h *host) readLeads() {
	askedAt := h.world.now
	h.world.table.scan(h.name, rows.LeadTable, func(list []table.Row, at time.Duration, ok bool) {
		h.back(func() {
			if !ok {
				return
			}
			h.storeAt, h.storeRead = at, h.world.now
			var row *wire.CellLead
			version := int64(0)
			for _, r := range list {
				row = &wire.CellLead{}
				if rows.Read(r, row) == nil {
					version = r.Version
				}
			}
			h.changed(h.seat.TakeRead(h.world.now, askedAt, row, version, at))
			h.act()
		})()
	})
}

func (h *host) listWorkers() {
	if h.world.cut(h.name, "table") || h.world.now.Before(h.world.table.downUntil) {
		return
	}
	var list []workers.Record
	for _, k := range h.world.workers {
		if k.up {
			list = append(list, k.record())
		}
	}
	h.on(func() { h.state.Take(h.world.now, cell.WorkersListed{Records: list}) })
}

// followCell hands the leader what stands in its tables.
func (h *host) followCell() {
	if !h.state.Leading() {
		return
	}
	h.world.table.scan(h.name, rows.SpecTable(cellName), func(list []table.Row, at time.Duration, _ bool) {
		h.back(func() {
			for _, r := range list {
				spec := &wire.JobSpec{}
				if rows.Read(r, spec) == nil {
					h.state.Take(h.world.now, cell.Accepted{Spec: spec, StoreNow: at})
				}
			}
		})()
	})
	h.world.table.scan(h.name, rows.CancelTable(cellName), func(list []table.Row, _ time.Duration, _ bool) {
		h.back(func() {
			for _, r := range list {
				h.state.Take(h.world.now, cell.CancelAsked{ID: r.Key.Key})
			}
		})()
	})
}

// ---------------------------------------------------------------- effects

func (h *host) carryOut(e cell.Effect) {
	w := h.world
	switch e := e.(type) {
	case cell.StepDown:
		h.state.Take(w.now, cell.Deposed{Why: e.Why})
	case cell.Load:
		h.load(e.Epoch, 0, cell.Loaded{Epoch: e.Epoch, Fences: map[string]int64{}, Wall: w.now})
	case cell.Record:
		h.commit(e.Transaction, func(c table.Committed, ok bool) {
			answered := cell.RecordAnswered{Part: e.Part, Serial: e.Serial, Committed: c}
			if !ok {
				answered.Err = fault.New(fault.Unknown, "table", "no answer", "")
			}
			h.state.Take(w.now, answered)
			h.act()
		})
	case cell.SendLook:
		sentAt := w.now
		h.toWorker(e.To, e.Look.Wait+600*time.Millisecond, e.Look.Wait, func(k *worker) (any, workers.Refusal) { return anyOf(k.look(e.Look)) },
			func(v any, refusal workers.Refusal, err error) {
				report, _ := v.(workers.Report)
				h.state.Take(w.now, cell.Looked{Worker: e.To.ID, SentAt: sentAt, Report: report, Refusal: refusal, Err: err})
			})
	case cell.SendStart:
		h.toWorker(e.To, 400*time.Millisecond, 0, func(k *worker) (any, workers.Refusal) { return anyOf(k.start(e.Start)) },
			func(v any, refusal workers.Refusal, err error) {
				clock, _ := v.(time.Duration)
				h.state.Take(w.now, cell.Started{
					Worker: e.To.ID, Task: e.Start.Task, Run: e.Start.Run, Reply: workers.Reply{Refusal: refusal, Clock: clock}, Err: err,
				})
			})
	case cell.SendStop:
		h.toWorker(e.To, 400*time.Millisecond, 0, func(k *worker) (any, workers.Refusal) { return anyOf(k.stop(e.Stop)) },
			func(v any, refusal workers.Refusal, err error) {
				clock, _ := v.(time.Duration)
				h.state.Take(w.now, cell.StopAnswered{Worker: e.To.ID, Reply: workers.Reply{Refusal: refusal, Clock: clock}, Err: err})
			})
	}
}

func anyOf[T any](v T, r workers.Refusal) (any, workers.Refusal) { return v, r }

func (h *host) toWorker(to workers.Target, limit, wait time.Duration, at func(k *worker) (any, workers.Refusal), done func(any, workers.Refusal, error)) {
	for _, k := range h.world.workers {
		if k.name != to.Address {
			continue
		}
		call(h.world, h.name, k, to.ID, limit, wait, func() (any, workers.Refusal) { return at(k) }, func(v any, refusal workers.Refusal, ok bool) {
			h.back(func() {
				var err error
				if !ok {
					err = fault.New(fault.Unknown, to.ID, "no answer", "")
				}
				done(v, refusal, err)
				h.act()
			})()
		})
	}
}

// load puts the fences part by part, and then reads the cell's tables.
func (h *host) load(epoch int64, part int, loaded cell.Loaded) {
	again := func() { h.world.after(100*time.Millisecond, h.back(func() { h.load(epoch, part, loaded) })) }
	if h.seat.Role() != election.Leader || h.seat.Row().GetEpoch() != epoch {
		return
	}
	if part == rows.JobParts {
		h.readCell(loaded, again)
		return
	}
	key := rows.FenceKey(cellName, rows.PartName(part))
	before := h.world.table.rows[key] // the reading of one row, at once
	fence := &wire.CellFence{}
	if before.Version != 0 && rows.Read(before, fence) == nil && fence.GetEpoch() >= epoch {
		if fence.GetEpoch() > epoch {
			h.state.Take(h.world.now, cell.Deposed{Why: "a later fence"})
			return
		}
		loaded.Fences[rows.PartName(part)] = before.Version
		h.load(epoch, part+1, loaded)
		return
	}
	h.commit(table.Transaction{
		Conditions: []table.Condition{{Key: key, Version: before.Version}},
		Puts:       []table.Row{rows.Row(key, &wire.CellFence{Epoch: epoch})},
	}, func(c table.Committed, ok bool) {
		if !ok || c.Conflict {
			again()
			return
		}
		loaded.Fences[rows.PartName(part)] = c.Version
		h.load(epoch, part+1, loaded)
	})
}

func (h *host) readCell(loaded cell.Loaded, again func()) {
	t := h.world.table
	t.scan(h.name, rows.SpecTable(cellName), func(specs []table.Row, _ time.Duration, ok1 bool) {
		t.scan(h.name, rows.ProgressTable(cellName), func(progress []table.Row, _ time.Duration, ok2 bool) {
			t.scan(h.name, rows.CancelTable(cellName), func(cancels []table.Row, at time.Duration, ok3 bool) {
				h.back(func() {
					if !ok1 || !ok2 || !ok3 {
						again()
						return
					}
					loaded.Jobs = joinRows(specs, progress)
					for _, r := range cancels {
						loaded.Cancels = append(loaded.Cancels, r.Key.Key)
					}
					loaded.Wall, loaded.StoreNow = h.world.now, at
					h.state.Take(h.world.now, loaded)
					h.act()
				})()
			})
		})
	})
}

func joinRows(specs, progress []table.Row) []cell.LoadedJob {
	known := map[string]*cell.LoadedJob{}
	var order []string
	for _, r := range specs {
		spec := &wire.JobSpec{}
		if rows.Read(r, spec) == nil {
			known[spec.GetId()] = &cell.LoadedJob{Spec: spec}
			order = append(order, spec.GetId())
		}
	}
	for _, r := range progress {
		p := &wire.JobProgress{}
		if rows.Read(r, p) != nil {
			continue
		}
		if known[r.Key.Key] == nil {
			known[r.Key.Key] = &cell.LoadedJob{Spec: &wire.JobSpec{Id: r.Key.Key}}
			order = append(order, r.Key.Key)
		}
		known[r.Key.Key].Progress, known[r.Key.Key].Recorded = p, r.Version
	}
	list := make([]cell.LoadedJob, 0, len(order))
	for _, id := range order {
		list = append(list, *known[id])
	}
	return list
}

// ---------------------------------------------------------------- callers

func (h *host) submit(spec *wire.JobSpec, done func(taken bool)) {
	if !h.up {
		done(false)
		return
	}
	w := h.world
	w.jobs[spec.GetId()] = spec
	anchor := rows.AnchorKey(spec.GetId())
	h.on(func() {
		h.commit(table.Transaction{
			Conditions: []table.Condition{{Key: anchor}},
			Puts: []table.Row{
				rows.Row(anchor, &wire.JobAnchor{Cell: cellName}), rows.Row(rows.SpecKey(cellName, spec.GetId()), spec),
			},
		}, func(_ table.Committed, ok bool) {
			done(ok) // a conflict means that it is there
			for _, other := range w.hosts {
				if ok && other.up && other.state.Leading() && !w.cut(h.name, other.name) {
					other.on(func() {
						other.state.Take(w.now, cell.Accepted{Spec: spec, StoreNow: other.storeNow()})
						other.act()
					})
				}
			}
		})
	})
}

func (h *host) cancel(id string, done func(taken bool)) {
	if !h.up {
		done(false)
		return
	}
	h.on(func() {
		h.commit(table.Transaction{Puts: []table.Row{rows.Row(rows.CancelKey(cellName, id), &wire.JobRef{Id: id})}},
			func(_ table.Committed, ok bool) { done(ok) })
	})
}
