package emulator

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/dutycycle"
	"github.com/wrenferry/wrenferry/pkg/process/election"
	"github.com/wrenferry/wrenferry/pkg/process/relay"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/request/cancellation"
	"github.com/wrenferry/wrenferry/pkg/request/cellchoice"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// host is an emulated entry host: a process that runs the product's seat and cell state per cell, driven by
// events. A frozen host defers all events until it thaws and then takes them at once.
type host struct {
	world       *World
	name        string
	hall        string
	incarnation int
	up          bool

	seats          []*seat
	board          *cellchoice.Board
	beliefsAskedAt map[string]time.Time
	frozenUntil    time.Time
	adviceFreeAt   time.Time // the advice service takes one call of the host at a time
	// leaving says that this incarnation is stopping as planned.
	leaving bool
	// connected holds the worker incarnations that this incarnation of the host has called.
	connected map[string]bool
	// bootedAt is when this incarnation started.
	bootedAt time.Time
	// removedAt is when the host was removed for good, zero if it was not.
	removedAt time.Time
	// suspended is the total time for which the host was suspended.
	suspended time.Duration
	// suspendedUntil is when the current suspension ends.
	suspendedUntil time.Time
	// linkFreeAt is when the link has sent all queued bytes.
	linkFreeAt time.Time
	// processor is what the process has to do, on days with Plan.Processor. dutyCycle bounds the share of decisions.
	processor processor
	dutyCycle dutycycle.Limiter
	// storeAt is the table's time at the host's last read of it, storeRead the host's clock then.
	storeAt   time.Duration
	storeRead time.Time
	// pending answers for pending jobs, on days with Plan.Pending.
	pending *pendingAnswers
	// leaderships is the newest reading of them, passedAt when a relay last passed on a recent one, avoided the relays that
	// did not.
	leaderships relay.Reading
	passedAt    time.Time
	avoided     relay.Avoided
}

// seat is one host's part in one cell: its election seat and, while it leads, the cell's state.
type seat struct {
	// listReadAt is when the worker registry that the state holds was read.
	listReadAt time.Time
	// listFailedAt is when a read of the worker registry last failed.
	listFailedAt time.Time
	// jobsReadAt is when the jobs that the state holds were read from the cell's table.
	jobsReadAt time.Time
	*host
	cell  string
	seat  *election.Seat
	state *cell.State
	// successor has agreed to lead the cell after the release that has begun; nil: nobody has.
	successor *election.Acceptance
	// afterWrite runs once the write of the leadership row in flight is answered; nil: nothing waits for that.
	afterWrite func()
	// tombstones are those that the state's epoch has read.
	tombstones cancellation.Tombstones
	// cancelsVersion is the version up to which the state's epoch has read the rows of cancels.
	cancelsVersion int64
	// deciding says that a decision is about to be taken, on days with Plan.Processor.
	deciding bool
}

func newHost(w *World, name, hall string) *host {
	h := &host{world: w, name: name, hall: hall}
	w.after(w.draws.between("boot "+name, 0, 300*time.Millisecond), h.boot)
	return h
}

// boot starts the next incarnation of the host's process, with fresh seats and its periodic work.
func (h *host) boot() {
	w := h.world
	if h.removed() {
		return
	}
	h.incarnation++
	h.up, h.bootedAt, h.connected, h.leaving = true, w.now, map[string]bool{}, false
	h.leaderships, h.passedAt, h.avoided = relay.Reading{}, time.Time{}, nil
	h.processor, h.dutyCycle = processor{}, dutycycle.Limiter{}
	self := election.Self{
		Incarnation: h.incarnationID(), Host: h.name, Hall: h.hall, Address: h.name, Since: h.clock(),
		Delay: w.draws.between("delay "+h.name, 0, 150*time.Millisecond),
	}
	h.seats = nil
	h.board, h.beliefsAskedAt = cellchoice.NewBoard(h.hall), map[string]time.Time{}
	if w.plan.Load != nil {
		h.every(loadsIntervalWaiting, h.askLoads)
	}
	if w.plan.evacuatesHalls() {
		h.every(300*time.Millisecond, h.readEvacuations)
	}
	if w.plan.Pending {
		h.pending = newPendingAnswers(h)
	}
	for _, name := range w.cells {
		s := &seat{host: h, cell: name, seat: election.New(name, name, self, w.seatOptions()...)}
		s.state = cell.New(name, cell.Bounds{MaxLease: maxHold, Retention: w.plan.retention(), ConfirmedHandover: w.plan.ConfirmedHandover, UrgentWait: w.plan.UrgentWait}, cell.WithUnsafe(w.plan.Unsafe), cell.WithoutMechanisms(w.plan.Without), cell.WithPeers(w.cells))
		s.state.Take(h.clock(), cell.ManifestChanged{Manifest: w.manifest()})
		h.seats = append(h.seats, s)
		h.every(100*time.Millisecond, s.tick)
		h.every(300*time.Millisecond, s.readLeads)
		h.every(300*time.Millisecond, s.listWorkers)
		h.every(w.followInterval(), s.followCell)
		if len(w.cells) > 1 && w.plan.Load == nil {
			h.every(250*time.Millisecond, s.askLoads)
		}
	}
	if w.plan.Pending {
		h.every(pendingRefreshEvery, h.pending.refresh)
	}
}

// leads returns the seat of a cell if this host leads the cell with its jobs loaded, else nil.
func (h *host) leads(name string) *seat {
	for _, s := range h.seats {
		if h.up && s.cell == name && s.state.Leading() {
			return s
		}
	}
	return nil
}

// every calls a function at once and then at each interval while this incarnation of the host lasts.
func (h *host) every(interval time.Duration, do func()) {
	incarnation := h.incarnation
	var repeat func()
	repeat = func() {
		if h.up && h.incarnation == incarnation {
			do()
			h.world.after(interval, repeat)
		}
	}
	h.whenRunning(repeat)
}

// whenRunning calls a function now or, if the host is frozen, when it thaws, provided that the same incarnation is up
// then.
func (h *host) whenRunning(do func()) {
	w := h.world
	incarnation := h.incarnation
	if w.now.Before(h.frozenUntil) {
		w.after(h.frozenUntil.Sub(w.now), func() {
			if h.up && h.incarnation == incarnation {
				h.whenRunning(do)
			}
		})
		return
	}
	do()
}

// ifSameIncarnation wraps the callback of a call: it runs only in the incarnation that made the call, and after
// the host has thawed.
func (h *host) ifSameIncarnation(do func()) func() {
	here := h.bindIncarnation()
	return func() { here(do) }
}

// bindIncarnation returns a function that runs callbacks only while the present incarnation of the host lasts.
// An answer that arrives after a restart is dropped.
func (h *host) bindIncarnation() func(do func()) {
	incarnation := h.incarnation
	return func(do func()) {
		if h.up && h.incarnation == incarnation {
			h.whenRunning(do)
		}
	}
}

// kill ends the host's process; the next incarnation boots after the given span.
func (h *host) kill(span time.Duration) {
	if !h.up {
		return
	}
	h.world.logf("%s is killed", h.name)
	h.up = false
	h.world.after(span, h.boot)
}

// remove ends the host for good. No incarnation follows.
func (h *host) remove() {
	if h.removed() {
		return
	}
	h.world.logf("%s is removed", h.name)
	h.up, h.removedAt = false, h.world.now
}

func (h *host) removed() bool { return !h.removedAt.IsZero() }

// freeze keeps the host from handling events for a span, while its clock goes on.
func (h *host) freeze(span time.Duration) {
	if h.world.now.Add(span).Before(h.suspendedUntil) {
		return // a longer suspension is in force
	}
	if h.up {
		h.world.logf("%s freezes for %s", h.name, span)
		h.frozenUntil = h.world.now.Add(span)
	}
}

// suspend freezes the host, its steady clock and its timers. Events that arrive meanwhile are taken when it
// resumes.
func (h *host) suspend(span time.Duration) {
	if h.up && !h.world.now.Before(h.frozenUntil) {
		h.world.logf("%s is suspended for %s", h.name, span)
		h.frozenUntil = h.world.now.Add(span)
		h.suspended += span
		h.suspendedUntil = h.frozenUntil
	}
}

// clock returns the clock that the host's decisions use. It counts suspended time, except on days with
// Plan.Steady.
func (h *host) clock() time.Time {
	if h.world.plan.Steady {
		return h.world.now.Add(-h.suspended)
	}
	return h.world.now
}

// storeTime returns the table's time as estimated from the host's last read of the leadership rows.
func (h *host) storeTime() time.Duration { return h.storeAt + h.clock().Sub(h.storeRead) }

// tick lets time pass for the state and the seat.
func (h *seat) tick() {
	if h.world.now.Before(h.frozenUntil) {
		return
	}
	h.state.Take(h.clock(), cell.Tick{})
	h.takeChange(h.seat.Expire(h.clock()))
	h.act()
}

// decide carries out what the cell's state decides, and writes the leadership row that the seat asks for.
func (h *seat) decide() {
	w := h.world
	if h.seat.Role() == election.Leader {
		h.state.Take(h.clock(), cell.LeadershipConfirmed{SentAt: h.seat.RenewedAt(), Until: h.seat.RenewedAt().Add(election.Tenure)})
	}
	for _, e := range h.state.Decide(h.clock(), w.now) {
		h.carryOut(e)
	}
	if h.state.Settled() {
		h.seat.PredecessorsSettled()
	}
	if h.seat.Role() == election.Leader && h.state.ReadyToHandOver(h.clock()) {
		h.seat.ReleaseTo(h.successorIncarnation())
	}
	h.askOverdueLeader()
	write := h.seat.NextWrite(h.clock(), h.state.Members(), 0, h.leaving)
	if write == nil {
		return
	}
	tx := table.Transaction{
		Conditions: []table.Condition{{Key: rows.LeadKey(h.cell), Version: write.Version}},
		Puts:       []table.Row{rows.Row(rows.LeadKey(h.cell), write.Row)},
	}
	if write.Membership != nil {
		tx.Puts = append(tx.Puts, rows.MembershipRows(write.Membership)...)
	}
	h.commit(tx, func(c table.CommitResult, ok bool) {
		version := int64(0)
		if ok && !c.Conflict {
			version = c.Version
		}
		h.takeChange(h.seat.RowWritten(h.clock(), version))
		h.runAfterWrite()
		if version != 0 && write.Membership != nil {
			h.state.Take(h.clock(), cell.MembershipRecorded{IDs: memberIDs(write.Membership.GetEntries())})
		}
		h.act()
	})
}

func memberIDs(members []*wire.RosterEntry) []string {
	var list []string
	for _, r := range members {
		list = append(list, r.GetId())
	}
	return list
}

// commit sends a transaction to the table over the host's link; done runs only in this incarnation.
func (h *host) commit(tx table.Transaction, done func(c table.CommitResult, ok bool)) {
	here := h.bindIncarnation()
	send := func() {
		h.world.table.commit(h.name, tx, func(c table.CommitResult, ok bool) { here(func() { done(c, ok) }) })
	}
	queued := h.uploadDelay(transactionBytes(tx))
	if queued == 0 {
		send()
		return
	}
	h.world.after(queued, send)
}

// messageBytes is the size of a call without its variable texts, in bytes.
const messageBytes = 330

// transactionBytes returns the size of a transaction on the link, in bytes.
func transactionBytes(tx table.Transaction) int {
	bytes := messageBytes
	for _, r := range tx.Puts {
		bytes += len(r.Key.Key) + len(r.Value)*4/3 // in base64
	}
	return bytes
}

// uploadDelay returns how long bytes sent now take to leave the host, behind those queued before, at the rate
// Plan.LinkRate; 0 if the link is unlimited.
func (h *host) uploadDelay(bytes int) time.Duration {
	w := h.world
	if w.plan.LinkRate == 0 {
		return 0
	}
	if h.linkFreeAt.Before(w.now) {
		h.linkFreeAt = w.now
	}
	h.linkFreeAt = h.linkFreeAt.Add(time.Duration(float64(bytes) / w.plan.LinkRate * float64(time.Second)))
	return h.linkFreeAt.Sub(w.now)
}

// takeChange informs the cell's state that the seat has gained or lost the leadership.
func (h *seat) takeChange(c election.Change) {
	now := h.clock()
	switch {
	case c.Gained:
		h.successor, h.afterWrite = nil, nil
		h.world.logf("%s leads epoch %d", h.name, h.seat.Row().GetEpoch())
		h.state.Take(now, cell.NewLeadershipGained(now, h.seat.Row().GetEpoch(), c))
		for _, p := range c.Predecessors {
			h.awaitPredecessor(h.seat.Row().GetEpoch(), p)
		}
	case c.Lost:
		h.state.Take(now, cell.LeadershipLost{Why: c.Reason})
		if next := h.successor; next != nil && h.seat.SuccessorToNotify() == next.Incarnation {
			h.sendTakeOver(next.Host)
		}
	}
}

// listWorkers gives the state the worker registry of its hall, unless the table cannot be reached.
func (h *seat) listWorkers() {
	if h.world.unreachable(h.name, "table") || h.world.now.Before(h.world.table.downUntil) {
		h.listFailedAt = h.world.now
		return
	}
	var list []workers.Record
	for _, k := range h.world.workers {
		if k.hasRow() && k.Hall == h.cell {
			list = append(list, k.records()...)
		}
	}
	list, readAt := h.world.acceptedRecords(list, h.cell), h.world.now
	h.whenRunning(func() {
		h.listReadAt = readAt
		h.state.Take(h.clock(), cell.WorkersListed{Records: list})
	})
}

// followCell has the leader take new jobs and cancels from the tables of its cell.
func (h *seat) followCell() {
	if !h.state.Leading() {
		return
	}
	askedAt, here := h.clock(), h.bindIncarnation()
	h.world.table.scan(h.name, rows.SpecTable(h.cell), func(list []table.Row, at time.Duration, ok bool) {
		here(func() {
			for _, r := range list {
				spec := &wire.JobSpec{}
				if rows.Read(r, spec) == nil {
					h.state.Take(h.clock(), cell.JobAccepted{Spec: spec, StoreNow: at})
				}
			}
			if ok {
				h.state.Take(h.clock(), cell.TableCaughtUp{At: askedAt})
				h.jobsReadAt = askedAt
			}
		})
	})
	h.world.table.scan(h.name, rows.CancelTable(h.cell), func(list []table.Row, _ time.Duration, _ bool) {
		here(func() {
			h.takeCancelRows(list)
			h.removeTombstones()
		})
	})
}

// mayOrder returns whether this host may still give orders in a cell: its state holds the leadership, or its seat
// claims it.
func (h *host) mayOrder(name string) bool {
	for _, s := range h.seats {
		if s.cell == name && (s.state.HoldsLeadership() || s.seat.ClaimPending()) {
			return true
		}
	}
	return false
}
