package emulator

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/wrenferry/wrenferry/pkg/connection/store"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/election"
	"github.com/wrenferry/wrenferry/pkg/process/relay"
	"github.com/wrenferry/wrenferry/pkg/request/intake"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Answers of hosts to questions for pending jobs. The product's intake puts them together from known loads, the leaders'
// answers and the table. Leaders and the table answer at once, or not at all if they can't be reached.

const (
	// pendingRefreshEvery is how often a host looks for loads to ask for again; the ages are loadsInterval and
	// loadsIntervalWaiting, or loadsIntervalRelaying at a relay.
	pendingRefreshEvery   = 250 * time.Millisecond
	loadsIntervalRelaying = time.Second
	// maxSentLoadAge is the age at which a leader's host sends the same load again.
	maxSentLoadAge = 100 * time.Millisecond
	// staleJobs is the age from which a leader's reading of its table counts as late in the log.
	staleJobs = 2 * time.Second
)

// pendingAnswers answers for one incarnation of a host. It implements intake.Leaders, intake.Peers, intake.Exchange and
// store.Direct.
type pendingAnswers struct {
	host   *host
	intake *intake.Intake
	// known holds the known load of each cell and when it was reported, sent the last load that this host has sent as a leader.
	known, sent map[string]sentLoad
	// sources holds where the newest count of each cell comes from.
	sources map[string]pendingSource
}

// pendingSource is the leader that told a count at a time, or nil for the table.
type pendingSource struct {
	leader *host
	at     time.Time
	// jobsAge is for how long the leader had not read its jobs.
	jobsAge time.Duration
}

// sentLoad is a load message, the time that it describes, and for how long the leader had not read its jobs then.
type sentLoad struct {
	load    *wire.CellLoad
	at      time.Time
	jobsAge time.Duration
}

func newPendingAnswers(h *host) *pendingAnswers {
	a := &pendingAnswers{host: h, known: map[string]sentLoad{}, sent: map[string]sentLoad{}, sources: map[string]pendingSource{}}
	silent := logrus.New()
	silent.SetOutput(io.Discard)
	registry := metrics.NewRegistry()
	client := store.New(a, func() []store.Peer { return nil }, registry, h.clock())
	var options []intake.Option
	if h.world.plan.Relays {
		options = append(options, intake.WithExchange(a))
	}
	a.intake = intake.New(h.hall, client, a, a, logrus.NewEntry(silent), registry, options...)
	return a
}

// count returns the host's answer for a queue.
func (a *pendingAnswers) count(queue string) (int, error) {
	return a.intake.Pending(context.Background(), a.host.clock(), queue)
}

// sourcesText returns where the counts come from, for the log.
func (a *pendingAnswers) sourcesText() string {
	var list []string
	byTable, byLate := 0, 0
	for _, name := range a.host.world.cells {
		from, known := a.sources[name]
		age := a.host.clock().Sub(from.at).Round(time.Millisecond)
		switch {
		case !known:
			list = append(list, name+" unknown")
		case from.leader == nil:
			byTable++
			list = append(list, fmt.Sprintf("%s by the table %s ago", name, age))
		default:
			if from.jobsAge > staleJobs {
				byLate++
			}
			list = append(list, fmt.Sprintf("%s by %s %s ago, jobs read %s before", name, from.leader.name, age, from.jobsAge.Round(time.Millisecond)))
		}
	}
	return fmt.Sprintf("%d by the table, %d by late leaders: %s", byTable, byLate, strings.Join(list, ", "))
}

// refresh asks for the loads that have reached the age at which the product's hosts ask again.
func (a *pendingAnswers) refresh() {
	view, now := a.View(), a.host.clock()
	a.follow()
	limit := loadsInterval
	switch {
	case view.Waits:
		limit = loadsIntervalWaiting
	case a.Relaying():
		limit = loadsIntervalRelaying
	}
	for _, name := range a.host.world.cells {
		c := view.Cells[name]
		if now.Sub(a.known[name].at) < limit || (!c.Fresh && !c.Mine) {
			continue
		}
		address := c.Address
		if c.Mine {
			address = a.host.name
		}
		if l, err := a.ask(address, name); err == nil {
			a.intake.TakeLoad(now, l)
		}
	}
}

// ask returns the load of a cell as the host at an address tells it.
func (a *pendingAnswers) ask(address, name string) (*wire.CellLoad, error) {
	w, other := a.host.world, a.host.world.hostAt(address)
	if other == nil || !other.up || w.now.Before(other.frozenUntil) || (other != a.host && w.unreachable(a.host.name, other.name)) {
		return nil, fault.New(fault.Unavailable, address, "can't be reached", "")
	}
	sent := other.pending.tell(name)
	if sent.load.GetLeading() {
		a.sources[name] = pendingSource{leader: other, at: a.host.clock(), jobsAge: sent.jobsAge}
	}
	return sent.load, nil
}

// tell returns the load that this host sends for a cell.
func (a *pendingAnswers) tell(name string) sentLoad {
	now := a.host.clock()
	if last, known := a.sent[name]; known && now.Sub(last.at) <= maxSentLoadAge {
		return last
	}
	for _, s := range a.host.seats {
		if s.cell == name {
			a.sent[name] = sentLoad{load: s.state.PendingLoad(now), at: now, jobsAge: now.Sub(s.jobsReadAt)}
			return a.sent[name]
		}
	}
	return sentLoad{load: &wire.CellLoad{}, at: now}
}

// View implements intake.Leaders.
func (a *pendingAnswers) View() *intake.View {
	now := a.host.clock()
	view := &intake.View{At: now, Cells: map[string]intake.CellView{}}
	for _, s := range a.host.seats {
		row := s.seat.Row()
		view.Cells[s.cell] = intake.CellView{
			Hall: s.cell, Leader: row.GetHost(), Address: row.GetAddress(), Epoch: row.GetEpoch(),
			Fresh: s.seat.RenewalIsRecent(now), Mine: s.seat.Role() == election.Leader,
		}
		view.Waits = view.Waits || s.state.HasWaitingTasks()
	}
	return view
}

// Load implements intake.Leaders.
func (a *pendingAnswers) Load(_ context.Context, name string, _ bool) *wire.CellLoad {
	l, err := a.ask(a.host.name, name)
	if err != nil {
		return &wire.CellLoad{} // the host is frozen
	}
	return l
}

// PeerLoad implements intake.Leaders. It takes note that the intake has a new load.
func (a *pendingAnswers) PeerLoad(l *wire.CellLoad) {
	a.known[l.GetCell()] = sentLoad{load: l, at: a.host.clock(), jobsAge: a.sources[l.GetCell()].jobsAge}
}

// relay returns the relay that this host follows if it can be reached, or nil.
func (a *pendingAnswers) relay() *host {
	w := a.host.world
	if !w.plan.Relays || !relay.Follows(a.host.situation()) {
		return nil
	}
	to := relay.Choose(a.host.name, a.host.hall, w.relays(), func(string) bool { return false })
	if to == nil {
		return nil
	}
	other := w.hostAt(to.GetName())
	if !other.up || w.now.Before(other.frozenUntil) || w.unreachable(a.host.name, other.name) {
		return nil
	}
	return other
}

// follow takes the newer loads of the relay that this host follows.
func (a *pendingAnswers) follow() {
	from := a.relay()
	if from == nil {
		return
	}
	now := a.host.clock()
	for _, name := range a.host.world.cells {
		passed, known := from.pending.known[name]
		at := now.Add(-from.clock().Sub(passed.at))
		if !known || !at.After(a.known[name].at) {
			continue
		}
		a.intake.TakeLoad(at, passed.load)
		passed.at = at
		a.known[name] = passed
		a.sources[name] = pendingSource{leader: from, at: at, jobsAge: passed.jobsAge}
	}
}

// Relaying implements intake.Exchange.
func (a *pendingAnswers) Relaying() bool { return a.host.world.plan.Relays && a.host.isRelay() }

// LoadReported implements intake.Exchange.
func (*pendingAnswers) LoadReported(time.Time, *wire.CellLoad) {}

// Pending implements intake.Exchange.
func (a *pendingAnswers) Pending(ctx context.Context, name string) (counts map[string]int, readAt time.Time, ok bool) {
	now, from := a.host.clock(), a.relay()
	if from == nil || !from.pending.Relaying() {
		return nil, now, false
	}
	counts, countedAt, err := from.pending.intake.CountPending(ctx, from.clock(), name)
	if err != nil {
		return nil, now, false
	}
	readAt = now.Add(-from.clock().Sub(countedAt))
	a.sources[name] = pendingSource{at: readAt}
	return counts, readAt, true
}

// JobAccepted implements intake.Leaders.
func (*pendingAnswers) JobAccepted(*wire.JobSpec) {}

// CancelRequested implements intake.Leaders.
func (*pendingAnswers) CancelRequested(string, string) {}

// Phase implements intake.Leaders.
func (*pendingAnswers) Phase(context.Context, string, string) (wire.JobPhase, bool) {
	return wire.JobPhase_JOB_PHASE_UNSPECIFIED, false
}

// PeerClient implements intake.Peers.
func (a *pendingAnswers) PeerClient(address string) (wire.FleetClient, error) {
	return pendingPeer{answers: a, address: address}, nil
}

// pendingPeer is the client of another host, which only tells loads.
type pendingPeer struct {
	wire.FleetClient
	answers *pendingAnswers
	address string
}

// Load implements wire.FleetClient.
func (p pendingPeer) Load(_ context.Context, in *wire.CellRef, _ ...grpc.CallOption) (*wire.CellLoad, error) {
	return p.answers.ask(p.address, in.GetCell())
}

// Read implements store.Direct.
func (a *pendingAnswers) Read(_ context.Context, in table.Range) (table.Page, error) {
	w := a.host.world
	if w.unreachable(a.host.name, "table") || w.now.Before(w.table.downUntil) {
		return table.Page{}, fault.New(fault.Unavailable, "table", "can't be reached", "")
	}
	for _, name := range w.cells {
		if in.Table == rows.SpecTable(name) && in.Part == rows.PartName(0) {
			a.sources[name] = pendingSource{at: a.host.clock()}
		}
	}
	page := table.Page{Version: w.table.version, StoreTime: w.table.storeTime()}
	for key := range w.table.tables[in.Table] {
		if key.Part == in.Part {
			page.Rows = append(page.Rows, w.table.rows[key])
		}
	}
	sort.Slice(page.Rows, func(i, j int) bool { return page.Rows[i].Key.Key < page.Rows[j].Key.Key })
	return page, nil
}

// Commit implements store.Direct.
func (*pendingAnswers) Commit(context.Context, table.Transaction) (table.CommitResult, error) {
	return table.CommitResult{}, fault.New(fault.NotRun, "table", "questions write nothing", "")
}

// Changes implements store.Direct.
func (*pendingAnswers) Changes(context.Context, string, int64, time.Duration) (table.Page, error) {
	return table.Page{}, fault.New(fault.NotRun, "table", "questions follow no changes", "")
}
