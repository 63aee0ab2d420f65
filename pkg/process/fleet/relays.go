package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/connection/store"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/relay"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// followTimeout is the timeout of a request to a relay.
	followTimeout = 600 * time.Millisecond
	// minFollowInterval is the least time between two requests of a follower.
	minFollowInterval = 100 * time.Millisecond
	// idleFollowInterval is the pause of a host that has no relay to follow.
	idleFollowInterval = 100 * time.Millisecond
	// followerSeenFor is the time after its last request for which a host counts as a follower. One that has turned to
	// another relay counts twice until then.
	followerSeenFor = 2 * relay.MaxHold
)

// Relays passes on what this host reads from the table if it is a relay, and takes what another relay passes on if it
// follows one. Package relay makes the decisions.
type Relays struct {
	Store *store.Client
	Hosts *Hosts
	// Follow calls a relay.
	Follow func(ctx context.Context, address string, request *wire.FollowRequest) (*wire.FollowReply, error)
	// Leads returns whether this host leads a cell.
	Leads func() bool
	// OperatorsTable is the table of operators' rows.
	OperatorsTable string
	// Leaderships and Operators are called with what a relay has passed on, if it is newer than what was known.
	Leaderships, Operators func(r relay.Reading)
	// CountPending counts the pending jobs of a cell's queues in the table, and returns when it did. AskPending asks a relay
	// for its counts.
	CountPending func(ctx context.Context, now time.Time, cell string) (counts map[string]int, readAt time.Time, err error)
	AskPending   func(ctx context.Context, address, cell string) (*wire.PendingCounts, error)
	// Load is called with the load of a cell that a relay has passed on; it may be nil.
	Load    func(at time.Time, l *wire.CellLoad)
	Log     *logrus.Entry
	Metrics metrics.Registry

	board *relay.Board
	// lost means that this host's last reading of operators' rows failed, and no relay has passed on recent ones since. A
	// manifest may be in force that its followers must not miss.
	lost atomic.Bool
	// leadershipsAt and operatorsAt are when a relay last passed on recent rows, nil before.
	leadershipsAt, operatorsAt atomic.Pointer[time.Time]

	mu sync.Mutex
	// followers holds when each follower last asked.
	followers map[string]time.Time

	// The fields below belong to the goroutine that follows.
	avoided relay.Avoided
	// following is the relay that was asked last, hostsVersion and loadsVersion are the versions of what it has sent.
	following                  string
	hostsVersion, loadsVersion int64
}

// NewRelays returns the Relays of a host. The caller sets the exported fields.
func NewRelays() *Relays {
	return &Relays{board: relay.NewBoard(rand.Int64N(1 << 62)), followers: map[string]time.Time{}}
}

// String returns the name that the supervisor logs.
func (r *Relays) String() string { return "relay follower" }

// situation returns what decides which rows this host reads itself.
func (r *Relays) situation(now time.Time) relay.Situation {
	s := relay.Situation{
		Standing: r.Hosts.Standing(), Leads: r.Leads(), Trouble: r.Store.InTrouble(now), Refused: r.Store.DirectFailing(),
		Spread: relay.Spread(r.Hosts.Self.Host),
	}
	if at := r.leadershipsAt.Load(); at != nil {
		s.LeadershipsAt = *at
	}
	if at := r.operatorsAt.Load(); at != nil {
		s.OperatorsAt = *at
	}
	return s
}

// ReadsOperators returns whether this host reads operators' rows from the table itself.
func (r *Relays) ReadsOperators() bool {
	now := clock.Now()
	return relay.SourcesOf(now, r.situation(now)).Operators
}

// ReadsLeaderships returns whether this host reads the leaderships from the table itself, and the pause until that is asked
// again. Hosts that do so for want of a relay read them less often, and not in step with each other.
func (r *Relays) ReadsLeaderships() (reads bool, interval time.Duration) {
	now := clock.Now()
	s := r.situation(now)
	switch {
	case !relay.SourcesOf(now, s).Leaderships:
		return false, directCheckInterval
	case s.Standing == relay.Relay || s.Leads || s.Trouble:
		return true, leadershipReadInterval
	}
	return true, leadershipReadInterval + rand.N(leadershipReadInterval)
}

// LeadershipsRead takes leaderships that this host has read itself.
func (r *Relays) LeadershipsRead(reading relay.Reading) { r.board.SetLeaderships(reading.FromAsked()) }

// OperatorsRead takes operators' rows that this host has read itself.
func (r *Relays) OperatorsRead(reading relay.Reading) {
	r.lost.Store(false)
	r.board.SetOperators(reading)
}

// OperatorsLost records that this host could not read operators' rows.
func (r *Relays) OperatorsLost() { r.lost.Store(true) }

// HostsListed takes this host's list of relays.
func (r *Relays) HostsListed(list []*wire.EntryHost) { r.board.SetHosts(list) }

// Relaying returns whether this host asks for loads on behalf of others.
func (r *Relays) Relaying() bool { return r.Hosts.Standing() == relay.Relay }

// LoadReported takes the load of a cell that its leader has told this host.
func (r *Relays) LoadReported(now time.Time, l *wire.CellLoad) { r.board.SetLoad(now, l) }

// pendingTimeout is the timeout of a request for the counts of pending jobs: a relay may have to read 32 parts.
const pendingTimeout = 500 * time.Millisecond

// Pending returns the counts of pending jobs of a cell's queues from the relay that this host follows, and when they were
// read. It returns false if this host follows none, or gets no answer.
func (r *Relays) Pending(ctx context.Context, cell string) (counts map[string]int, readAt time.Time, ok bool) {
	now := clock.Now()
	if r.AskPending == nil || !relay.Follows(r.situation(now)) {
		return nil, now, false
	}
	from := relay.Choose(r.Hosts.Self.Host, r.Hosts.Self.Hall, r.Hosts.List(), func(string) bool { return false })
	if from == nil {
		return nil, now, false
	}
	ctx, cancel := context.WithTimeout(ctx, pendingTimeout)
	defer cancel()
	reply, err := r.AskPending(ctx, from.GetAddress(), cell)
	if err != nil || !reply.GetCounted() || reply.GetAgeUs() < 0 {
		return nil, now, false
	}
	counts = map[string]int{}
	for queue, n := range reply.GetQueues() {
		counts[queue] = int(n)
	}
	return counts, now.Add(-time.Duration(reply.GetAgeUs()) * time.Microsecond), true
}

// CountedPending returns the counts of pending jobs of a cell's queues, if this host is a relay.
func (r *Relays) CountedPending(ctx context.Context, cell string) *wire.PendingCounts {
	if r.CountPending == nil || !r.Relaying() {
		return &wire.PendingCounts{}
	}
	counts, readAt, err := r.CountPending(ctx, clock.Now(), cell)
	if err != nil {
		return &wire.PendingCounts{}
	}
	reply := &wire.PendingCounts{Counted: true, Queues: map[string]int32{}, AgeUs: clock.Now().Sub(readAt).Microseconds()}
	for queue, n := range counts {
		reply.Queues[queue] = int32(n)
	}
	return reply
}

// Followers returns the number of hosts that follow this one.
func (r *Relays) Followers(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, at := range r.followers {
		if now.Sub(at) > followerSeenFor {
			delete(r.followers, name)
		}
	}
	return len(r.followers)
}

// Answer answers the request of a follower.
func (r *Relays) Answer(ctx context.Context, request *wire.FollowRequest) *wire.FollowReply {
	if r.Hosts.Standing() != relay.Relay || r.Hosts.leaving.Load() || r.lost.Load() {
		return &wire.FollowReply{}
	}
	began := clock.Now()
	r.mu.Lock()
	r.followers[request.GetHost()] = began
	r.mu.Unlock()
	known := relay.Known{
		LeadershipsTime:  time.Duration(request.GetLeadershipsStoreUs()) * time.Microsecond,
		OperatorsVersion: request.GetOperatorsVersion(), HostsVersion: request.GetHostsVersion(), LoadsVersion: request.GetLoadsVersion(),
	}
	content := r.board.Wait(ctx, known, relay.MaxHold)
	now := clock.Now()
	return relay.Reply(now, content, known, now.Sub(began))
}

// Serve follows a relay until the context ends, while this host should.
func (r *Relays) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		began := clock.Now()
		var next *wire.EntryHost
		if relay.Follows(r.situation(began)) {
			next = relay.Choose(r.Hosts.Self.Host, r.Hosts.Self.Hall, r.Hosts.List(), r.avoided.At(began))
		}
		if next == nil {
			pause(ctx, idleFollowInterval)
			continue
		}
		r.follow(ctx, next)
		pause(ctx, minFollowInterval-clock.Now().Sub(began))
	}
	return ctx.Err()
}

// follow makes one request to a relay and takes its answer. A relay that does not answer, or has nothing recent, is avoided
// for a while.
func (r *Relays) follow(ctx context.Context, from *wire.EntryHost) {
	if from.GetName() != r.following {
		r.following, r.hostsVersion, r.loadsVersion = from.GetName(), 0, 0
	}
	known := r.board.Content()
	request := &wire.FollowRequest{
		Host: r.Hosts.Self.Host, LeadershipsStoreUs: known.Leaderships.StoreTime.Microseconds(),
		OperatorsVersion: known.Operators.Version, HostsVersion: r.hostsVersion, LoadsVersion: r.loadsVersion,
	}
	bounded, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	sentAt := clock.Now()
	reply, err := r.Follow(bounded, from.GetAddress(), request)
	now := clock.Now()
	var passed relay.Passed
	if err == nil {
		passed, err = relay.Accept(now, sentAt, from.GetName(), reply, rows.LeadTable, r.OperatorsTable)
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.avoid(now, from, err)
		return
	}
	r.take(now, from, passed, known)
	if !passed.Recent.Leaderships || !passed.Recent.Operators {
		r.avoid(now, from, fault.New(fault.Unavailable, from.GetName(), "the relay has read nothing recently", ""))
		return
	}
	metrics.GetOrRegisterCounter("relay.followed", r.Metrics).Inc(1)
}

func (r *Relays) avoid(now time.Time, from *wire.EntryHost, why error) {
	r.avoided = r.avoided.With(now, from.GetName())
	metrics.GetOrRegisterCounter("relay.avoided", r.Metrics).Inc(1)
	r.Log.WithFields(logrus.Fields{"relay": from.GetName(), "why": why.Error()}).Info("relay-avoided")
}

// take takes what a relay has passed on.
func (r *Relays) take(now time.Time, from *wire.EntryHost, passed relay.Passed, known relay.Content) {
	if passed.Recent.Leaderships {
		r.leadershipsAt.Store(&now)
		r.Store.RecordPassedOn(passed.Leaderships.ReadAt)
	}
	if passed.Recent.Operators {
		r.operatorsAt.Store(&now)
		r.lost.Store(false)
	}
	if passed.Leaderships.StoreTime > known.Leaderships.StoreTime {
		r.board.SetLeaderships(passed.Leaderships)
		r.Leaderships(passed.Leaderships)
	}
	if passed.Operators.Version > known.Operators.Version {
		r.board.SetOperators(passed.Operators)
		r.Operators(passed.Operators)
	} else if passed.Operators.Version == known.Operators.Version && len(known.Operators.Rows) > 0 {
		passed.Operators.Rows = known.Operators.Rows
		r.board.SetOperators(passed.Operators)
	}
	if passed.HostsVersion != r.hostsVersion {
		r.hostsVersion = passed.HostsVersion
		r.Hosts.TakeList(from, passed.Hosts)
	}
	r.loadsVersion = passed.LoadsVersion
	if r.Load != nil && !r.Leads() {
		for _, l := range passed.Loads {
			r.Load(l.At, l.Load)
		}
	}
}

// readingOf returns a page as a Reading. The call that read it was sent at askedAt and answered at now.
func readingOf(page table.Page, askedAt, now time.Time) relay.Reading {
	return relay.Reading{Rows: page.Rows, Version: page.Version, StoreTime: page.StoreTime, AskedAt: askedAt, ReadAt: now}
}
