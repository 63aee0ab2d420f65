// Package fleet runs one entry host that schedules jobs of steps stored in a shared table.
//
// One goroutine, Control, owns all scheduling state: an election.Seat and a cell.State for each
// cell of the deployment. Followers (followers.go) read the table and send Control messages.
// Other goroutines (effects.go) execute the effects that a cell.State returns, and send the
// outcomes back as messages. Request handlers read an immutable View, or run a short query on
// the control goroutine.
package fleet

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/connection/store"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/dutycycle"
	"github.com/wrenferry/wrenferry/pkg/process/election"
	"github.com/wrenferry/wrenferry/pkg/process/inventory"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/request/intake"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/version/evacuation"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// inboxSize is the maximum number of messages that wait for the control goroutine.
	inboxSize = 4096
	// maxBatch is the maximum number of messages applied before the cells decide, after the first one.
	maxBatch = 256
	// tickInterval is the interval at which cells decide without a message, as time passes.
	tickInterval = 100 * time.Millisecond
	// queryTimeout is the longest time that a query of the control goroutine may take.
	queryTimeout = 500 * time.Millisecond
)

// Control owns the scheduling state of a process. Its goroutine is called the control goroutine.
type Control struct {
	self    election.Self
	store   *store.Client
	caller  workers.Caller
	advisor workers.Advisor
	// inventory is read while workers are silent.
	inventory inventory.Reader
	log       *logrus.Entry
	metrics   metrics.Registry
	wall      func() time.Time

	inbox    chan message
	cells    map[string]*localCell
	manifest *manifest.Manifest
	// evacuations are the operators' orders to evacuate halls.
	evacuations evacuation.Orders
	leaving     bool
	// confirmedHandover is the setting of that name.
	confirmedHandover bool
	view              atomic.Pointer[intake.View]
	// spent sums up how the control goroutine spends its time.
	spent controlTime
	// dutyCycle leaves time for the goroutines that make calls.
	dutyCycle dutycycle.Limiter
	// lag measures for how long calls in flight wait for this process's processor.
	lag *clock.LagMeter
	// askForRelease asks the process at an address, a leader from another hall, to release a cell of this hall.
	askForRelease  func(cell, address string)
	releaseAskedAt map[string]time.Time
	// handicap returns the number that is added to the cells this process leads when it competes for
	// another one. It is higher on a weaker host.
	handicap func() int
	// askLeadership asks the process at an address whether it leads a cell. If that process is the incarnation
	// named by holder, the answer includes the leases that it granted. ok is false without an answer.
	askLeadership func(address, cell, holder string) (answer predecessorAnswer, ok bool)
	// notifySuccessor tells the host that has agreed to lead a cell that its release is written.
	notifySuccessor func(cell string, next election.Acceptance)
	// leadershipsWanted asks the LeadershipFollower to read the rows now.
	leadershipsWanted chan struct{}
	// outcomeReadAt is when readOutcomeNow last asked for that.
	outcomeReadAt time.Time
	// notifyPeer notifies the process at an address of a change to the cell that it leads.
	notifyPeer func(ctx context.Context, address string, e cell.NotifyLeader) error
}

// localCell is one cell as this process knows it: its leadership and its scheduling state.
type localCell struct {
	name, hall    string
	seat          *election.Seat
	state         *cell.State
	needsDecision bool
	// placementAwaited says that a placementPauseOver is to come.
	placementAwaited bool
	// lastLoad is the last load message without extras.
	lastLoad atomic.Pointer[cachedLoad]
	// writeCheckedAt is when the seat of a led cell was last asked for its next write.
	writeCheckedAt time.Time
	// reportedRenewal is the send time of the last renewal that was reported to the state.
	reportedRenewal time.Time
	// successor has agreed to lead the cell after the release that has begun; nil: nobody has.
	successor *election.Acceptance
	// afterWrite runs once the write of the leadership row in flight is answered; nil: nothing waits for that.
	afterWrite func(now time.Time)
}

// NewControl returns the Control of a process. cells maps the name of each cell to its hall.
func NewControl(self election.Self, cells map[string]string, bounds cell.Bounds, st *store.Client, caller workers.Caller, advisor workers.Advisor, log *logrus.Entry, registry metrics.Registry, options ...cell.Option) *Control {
	c := &Control{
		self: self, store: st, confirmedHandover: bounds.ConfirmedHandover, caller: caller, advisor: advisor, inventory: noInventory{}, log: log, metrics: registry, wall: time.Now, lag: clock.NewLagMeter(),
		inbox: make(chan message, inboxSize), cells: map[string]*localCell{}, releaseAskedAt: map[string]time.Time{},
		askForRelease: func(string, string) {}, handicap: func() int { return 0 }, askLeadership: func(string, string, string) (predecessorAnswer, bool) { return predecessorAnswer{}, false },
		notifyPeer:      func(context.Context, string, cell.NotifyLeader) error { return nil },
		notifySuccessor: func(string, election.Acceptance) {}, leadershipsWanted: make(chan struct{}, 1),
	}
	var seatOptions []election.Option
	if bounds.ConfirmedHandover {
		seatOptions = append(seatOptions, election.WithConfirmedHandover())
	}
	options = append(options, cell.WithPeers(slices.Collect(maps.Keys(cells))))
	for name, hall := range cells {
		c.cells[name] = &localCell{
			name: name, hall: hall, seat: election.New(name, hall, self, seatOptions...), state: cell.New(name, bounds, options...),
		}
	}
	c.publish(clock.Now())
	return c
}

// String returns the name that the supervisor logs.
func (c *Control) String() string { return "control" }

// Serve runs the control goroutine until the context ends.
func (c *Control) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-c.inbox:
			c.pauseBeforeBatch()
			now := clock.Now()
			m.apply(c, now)
			messages := 1 + c.applyWaiting(now)
			c.timed(now, messages, func() { c.decide(ctx, now) })
		case <-ticker.C:
			c.pauseBeforeBatch()
			now := clock.Now()
			for _, s := range c.cells {
				s.state.Take(now, cell.Tick{})
				s.needsDecision = true
				c.leadershipChanged(now, s, s.seat.Expire(now))
			}
			c.timed(now, 0, func() { c.decide(ctx, now) })
		}
	}
}

// pauseBeforeBatch waits until the next batch of messages may begin.
func (c *Control) pauseBeforeBatch() {
	if pause := c.dutyCycle.Pause(clock.Now()); pause > 0 {
		time.Sleep(pause)
	}
}

// applyWaiting applies the messages that wait already, up to the size of a batch, and returns their number.
func (c *Control) applyWaiting(now time.Time) int {
	for i := range maxBatch {
		select {
		case m := <-c.inbox:
			m.apply(c, now)
		default:
			return i
		}
	}
	return maxBatch
}

// decide runs the decision of each cell whose state has changed, and the election of each cell.
func (c *Control) decide(ctx context.Context, now time.Time) {
	wall := c.wall()
	for _, s := range c.cells {
		if at := s.seat.RenewedAt(); s.seat.Role() == election.Leader && at.After(s.reportedRenewal) {
			s.reportedRenewal = at
			s.state.Take(now, cell.LeadershipConfirmed{SentAt: at, Until: at.Add(election.Tenure)})
			s.needsDecision = true
		}
		if s.needsDecision {
			s.needsDecision = false
			began := clock.Now()
			effects := s.state.Decide(now, wall)
			ended := clock.Now()
			s.state.Decided(ended, ended.Sub(began))
			for _, e := range effects {
				c.execute(ctx, now, s, e)
			}
			c.awaitPlacement(s, s.state.PlacementPausedFor(ended))
		}
		c.runElection(ctx, now, s)
	}
}

// awaitPlacement has a cell decide after a pause in which it places nothing.
func (c *Control) awaitPlacement(s *localCell, pause time.Duration) {
	if pause > 0 && !s.placementAwaited {
		s.placementAwaited = true
		time.AfterFunc(pause, func() { c.send(placementPauseOver{cell: s.name}) })
	}
}

// runElection claims, renews or releases the leadership of a cell where that is due. It also asks a
// leader from another hall to release a cell of this host's hall.
func (c *Control) runElection(ctx context.Context, now time.Time, s *localCell) {
	if s.state.Settled() {
		s.seat.PredecessorsSettled()
	}
	if s.seat.Role() == election.Leader && s.state.ReadyToHandOver(now) {
		s.seat.ReleaseTo(s.successorIncarnation()) // a planned stop or a requested release is complete
	}
	if !s.writeCheckDue(now) {
		return
	}
	held := c.otherCellsLed(s) + c.handicap()
	if q := s.seat.LeaderToAsk(now, held, c.leaving); q != nil {
		go c.askOverdueLeader(s.name, *q)
	}
	if w := s.seat.NextWrite(now, s.state.Members(), held, c.leaving); w != nil {
		if s.seat.Role() == election.Candidate {
			go c.claimLeadership(ctx, s.name, *w)
		} else {
			go c.writeLeadership(ctx, s.name, *w)
		}
	}
	if s.seat.ShouldRequestHandover(now) && !c.leaving && now.Sub(c.releaseAskedAt[s.name]) > releaseAskInterval {
		c.releaseAskedAt[s.name] = now
		c.askForRelease(s.name, s.seat.Row().GetAddress())
	}
}

// memberCheckTime is the time between two comparisons of the members with the recorded ones, for each worker of the cell:
// a comparison visits all of them, and a leader of a thousand takes hundreds of decisions a second.
const memberCheckTime = 50 * time.Microsecond

// writeCheckDue reports whether to ask the seat for its next write. A leader's seat is asked with all members.
func (s *localCell) writeCheckDue(now time.Time) bool {
	if s.seat.Role() != election.Leader || !s.state.Leading() {
		return true
	}
	if now.Sub(s.writeCheckedAt) < memberCheckTime*time.Duration(s.state.WorkerCount()) {
		return false
	}
	s.writeCheckedAt = now
	return true
}

// releaseAskInterval is the least time between two requests to release the same cell.
const releaseAskInterval = time.Second

// otherCellsLed returns how many cells other than the given one this process leads.
func (c *Control) otherCellsLed(except *localCell) int {
	n := 0
	for _, s := range c.cells {
		if s != except && s.seat.Role() == election.Leader {
			n++
		}
	}
	return n
}

// leadershipChanged reports the gain or the loss of a cell's leadership to the cell's state.
func (c *Control) leadershipChanged(now time.Time, s *localCell, change election.Change) {
	switch {
	case change.Gained:
		s.successor, s.afterWrite = nil, nil
		epoch := s.seat.Row().GetEpoch()
		s.state.Take(now, cell.NewLeadershipGained(now, epoch, change))
		if c.manifest != nil {
			s.state.Take(now, cell.ManifestChanged{Manifest: c.manifest})
		}
		s.needsDecision = true
		for _, p := range change.Predecessors {
			c.awaitPredecessor(s, epoch, p)
		}
	case change.Lost:
		s.state.Take(now, cell.LeadershipLost{Why: change.Reason})
		s.needsDecision = true
		if next := s.successor; next != nil && s.seat.SuccessorToNotify() == next.Incarnation {
			go c.notifySuccessor(s.name, *next)
		}
	}
	c.publish(now)
}

func memberIDs(members []*wire.RosterEntry) []string {
	list := make([]string, 0, len(members))
	for _, r := range members {
		list = append(list, r.GetId())
	}
	return list
}

// claimLeadership commits a claim, if the leadership row is still the one that it is based on. After a loss of all
// hosts, all those of a hall claim its cell within a moment; the reading spares the table the writes of those that come
// late, behind which the renewals of the one that won would queue.
func (c *Control) claimLeadership(ctx context.Context, name string, w election.Write) {
	key := rows.LeadKey(name)
	page, err := c.store.Read(ctx, table.Range{Table: key.Table, Part: key.Part, From: key.Key, To: key.Key + "\x00", Limit: 1})
	version := int64(0)
	if len(page.Rows) > 0 {
		version = page.Rows[0].Version
	}
	if err == nil && version != w.Version {
		c.send(leadershipWritten{cell: name})
		return
	}
	c.writeLeadership(ctx, name, w)
}

// writeLeadership commits a leadership row and sends the outcome to the control goroutine.
func (c *Control) writeLeadership(ctx context.Context, name string, w election.Write) {
	done, err := c.store.Commit(ctx, leadershipTransaction(name, w))
	version := int64(0)
	switch {
	case err != nil:
		c.log.WithFields(logrus.Fields{"cell": name, "why": err.Error()}).Warn("lead-write-failed")
	case !done.Conflict:
		version = done.Version
	}
	c.send(leadershipWritten{cell: name, version: version, members: w.Membership})
}

// publish replaces the View that request handlers read.
func (c *Control) publish(now time.Time) {
	v := &intake.View{At: now, Cells: map[string]intake.CellView{}}
	for name, s := range c.cells {
		row := s.seat.Row()
		v.Cells[name] = intake.CellView{
			Hall: s.hall, Leader: row.GetHost(), Address: row.GetAddress(), Epoch: row.GetEpoch(),
			Fresh: s.seat.RenewalIsRecent(now), Mine: s.seat.Role() == election.Leader, Evacuated: c.evacuations.Includes(s.hall),
		}
		v.Waits = v.Waits || s.state.HasWaitingTasks()
	}
	c.view.Store(v)
}

// View returns the leader of each cell as this process last read it.
func (c *Control) View() *intake.View { return c.view.Load() }

// send sends a message to the control goroutine.
func (c *Control) send(m message) { c.inbox <- m }

// query runs a function on the control goroutine and waits for it; the function gets the time at which it
// runs. query returns false if the function did not complete in time. The function may still run later.
func (c *Control) query(ctx context.Context, run func(c *Control, now time.Time)) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	m := query{run: run, done: make(chan struct{})}
	select {
	case c.inbox <- m:
	case <-ctx.Done():
		return false
	}
	select {
	case <-m.done:
		return true
	case <-ctx.Done():
		return false
	}
}
