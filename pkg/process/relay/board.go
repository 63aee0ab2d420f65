package relay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Reading is the content of a table as it was read by this host or by a relay.
type Reading struct {
	Rows []table.Row
	// Version is the version as of which these are the rows. Readings that found no change keep it.
	Version int64
	// StoreTime is the table's clock at the reading, and ReadAt this host's clock then.
	StoreTime time.Duration
	ReadAt    time.Time
	// AskedAt is a time before the call that read the rows was made.
	AskedAt time.Time
}

// Age returns the time since the reading.
func (r Reading) Age(now time.Time) time.Duration { return now.Sub(r.ReadAt) }

// FromAsked returns the reading as if it had been answered when it was asked for. A process that was suspended meanwhile
// gets the answer late, and does not know when it was given.
func (r Reading) FromAsked() Reading {
	r.ReadAt = r.AskedAt
	return r
}

// Known is what a follower has.
type Known struct {
	// LeadershipsTime is the table's clock at the newest reading of leaderships, OperatorsVersion the version of the newest
	// operators' rows.
	LeadershipsTime  time.Duration
	OperatorsVersion int64
	// HostsVersion is the version of the list of hosts that this relay has sent, LoadsVersion that of the loads.
	HostsVersion, LoadsVersion int64
}

// Content is what a host knows from the table. The readings are zero before the first ones.
type Content struct {
	Leaderships, Operators Reading
	// Hosts are the relays of all halls, HostsVersion is the number of the list at this host.
	Hosts        []*wire.EntryHost
	HostsVersion int64
	// Loads are the newest loads of cells that this host has asked for, by cell; LoadsVersion is the number of the newest.
	Loads        map[string]Load
	LoadsVersion int64
}

// Load is the load of a cell that its leader told at the time At.
type Load struct {
	Load    *wire.CellLoad
	At      time.Time
	version int64
}

// newer returns whether a follower lacks something. Hosts and loads are not waited for: they come with the rest.
func (c Content) newer(k Known) bool {
	return c.Leaderships.StoreTime.Truncate(time.Microsecond) > k.LeadershipsTime || c.Operators.Version > k.OperatorsVersion
}

// Board holds the newest content that a host knows, and tells waiting followers of it. It is safe for concurrent use.
type Board struct {
	mu      sync.Mutex
	content Content
	changed chan struct{}
}

// NewBoard returns a Board without content. Its lists of hosts and loads are numbered from the given number on, which should
// differ between incarnations of a host.
func NewBoard(version int64) *Board {
	return &Board{content: Content{HostsVersion: version, LoadsVersion: version}, changed: make(chan struct{})}
}

// SetLeaderships sets the leaderships unless they were read before the known ones.
func (b *Board) SetLeaderships(r Reading) {
	b.change(func(c *Content) {
		if r.StoreTime > c.Leaderships.StoreTime {
			c.Leaderships = r
		}
	})
}

// SetOperators sets the operators' rows unless they are older than the known ones. A newer reading of the same version only
// makes them more recent.
func (b *Board) SetOperators(r Reading) {
	b.change(func(c *Content) {
		if r.Version > c.Operators.Version || (r.Version == c.Operators.Version && r.ReadAt.After(c.Operators.ReadAt)) {
			c.Operators = r
		}
	})
}

// SetHosts sets the list of hosts if it differs from the known one by more than the times at which hosts were seen.
func (b *Board) SetHosts(list []*wire.EntryHost) {
	b.change(func(c *Content) {
		same := func(a, b *wire.EntryHost) bool {
			return a.GetName() == b.GetName() && a.GetLife() == b.GetLife() && a.GetLeaving() == b.GetLeaving()
		}
		if !slices.EqualFunc(list, c.Hosts, same) {
			c.Hosts, c.HostsVersion = list, c.HostsVersion+1
		}
	})
}

// SetLoad sets the load of a cell that its leader has told at now.
func (b *Board) SetLoad(now time.Time, l *wire.CellLoad) {
	b.change(func(c *Content) {
		c.LoadsVersion++
		next := maps.Clone(c.Loads)
		if next == nil {
			next = map[string]Load{}
		}
		next[l.GetCell()] = Load{Load: l, At: now, version: c.LoadsVersion}
		c.Loads = next
	})
}

func (b *Board) change(apply func(c *Content)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	apply(&b.content)
	close(b.changed)
	b.changed = make(chan struct{})
}

// Content returns the present content.
func (b *Board) Content() Content {
	c, _ := b.load()
	return c
}

func (b *Board) load() (Content, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content, b.changed
}

// Wait returns the content once it is newer than what a follower has, or after the given time.
func (b *Board) Wait(ctx context.Context, known Known, atMost time.Duration) Content {
	ctx, cancel := context.WithTimeout(ctx, atMost)
	defer cancel()
	for {
		content, changed := b.load()
		if content.newer(known) {
			return content
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return content
		}
	}
}
