// Package current holds the settings in force in this process.
//
// A version is accepted when it is in the table, and never before. It reaches a
// process in three ways, whichever is first: the process reads the table every
// second, a peer offers it, or, at the start, a peer hands over what it has. A
// process never goes back to a lower version.
package current

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/connection/platform"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/version/settings"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Table is what the store needs of the platform's table.
type Table interface {
	Commit(ctx context.Context, req *wire.CommitRequest) (*wire.CommitReply, error)
	Read(ctx context.Context, req *wire.ReadRequest) (*wire.ReadReply, error)
}

// Peers is what the store needs of the other entry hosts.
type Peers interface {
	// Offer hands a version to all of them.
	Offer(row *wire.SettingsRow)
	// Fetch returns the highest version that any of them has, or nil.
	Fetch(ctx context.Context, have int64) *wire.SettingsRow
}

const (
	// tablePollInterval is how often the table is read; versions are to be in force
	// everywhere within five seconds.
	tablePollInterval = time.Second
	// peerFetchInterval is how often peers are asked while the table doesn't answer.
	peerFetchInterval = 2 * time.Second
)

// Store holds the version in force. It is safe for many goroutines.
type Store struct {
	table   Table
	peers   Peers
	log     *logrus.Entry
	metrics metrics.Registry

	mu       sync.Mutex // held by accept
	row      atomic.Pointer[wire.SettingsRow]
	tree     atomic.Pointer[settings.Tree]
	serviceStates atomic.Pointer[map[string]string]
	tableReadAtMS     atomic.Int64 // when the table last answered, Unix ms
	watchers []func(*settings.Tree)
	allowOlder  bool
}

// NewStore returns a store with the empty version 0, in which nothing is
// defined.
func NewStore(table Table, peers Peers, log *logrus.Entry, registry metrics.Registry) (*Store, error) {
	empty, err := settings.Parse("empty", "{}")
	if err != nil {
		return nil, err
	}
	s := &Store{table: table, peers: peers, log: log, metrics: registry}
	s.tree.Store(empty)
	s.row.Store(&wire.SettingsRow{Body: "{}"})
	s.serviceStates.Store(&map[string]string{})
	return s, nil
}

// Watch calls f with each new version, and at once with the present one. It is
// to be called before Serve.
func (s *Store) Watch(f func(*settings.Tree)) {
	s.watchers = append(s.watchers, f)
	f(s.Current())
}

// Unsafe lets a lower version replace a higher one, for a test that shows why
// that must not be.
func (s *Store) Unsafe(reverts bool) { s.allowOlder = reverts }

// Current returns the version in force. A request takes it once and keeps it.
func (s *Store) Current() *settings.Tree { return s.tree.Load() }

// Row returns the version in force as the table holds it.
func (s *Store) Row() *wire.SettingsRow { return s.row.Load() }

// ServiceState returns what operators asked of a service; without a word from
// them it is started.
func (s *Store) ServiceState(service string) string {
	if state, ok := (*s.serviceStates.Load())[service]; ok {
		return state
	}
	return "started"
}

// Age is how long ago the table last confirmed the version.
func (s *Store) Age(now time.Time) time.Duration {
	read := s.tableReadAtMS.Load()
	if read == 0 {
		return -1
	}
	return now.Sub(time.UnixMilli(read))
}

// Accept takes in a version if it is higher than the present one, and says
// whether it did.
func (s *Store) Accept(row *wire.SettingsRow) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	same := row.GetVersion() == s.Current().Version()
	if same || (row.GetVersion() < s.Current().Version() && !s.allowOlder) {
		return false
	}
	tree, err := settings.Parse("settings", row.GetBody())
	if err != nil {
		// It was checked before it was accepted, so an older program is running
		// here than the one that accepted it.
		metrics.GetOrRegisterCounter("settings.unreadable", s.metrics).Inc(1)
		s.log.WithError(err).WithField("version", row.GetVersion()).Error("settings version can't be read by this program")
		return false
	}
	tree = tree.WithVersion(row.GetVersion())
	s.row.Store(row)
	s.tree.Store(tree)
	metrics.GetOrRegisterGauge("settings.version", s.metrics).Update(row.GetVersion())
	s.log.WithFields(logrus.Fields{"version": row.GetVersion(), "actor": row.GetActor()}).Info("settings version in force")
	for _, f := range s.watchers {
		f(tree)
	}
	return true
}

// String names the part for the supervisor.
func (s *Store) String() string { return "settings store" }

// Serve keeps the version current until the context ends.
func (s *Store) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tablePollInterval)
	defer ticker.Stop()
	var fetched time.Time
	for {
		if !s.poll(ctx) && time.Since(fetched) >= peerFetchInterval {
			fetched = time.Now()
			if row := s.peers.Fetch(ctx, s.Current().Version()); row != nil {
				s.Accept(row)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// poll reads the table, and says whether it answered.
func (s *Store) poll(ctx context.Context) bool {
	row, err := ReadCurrent(ctx, s.table)
	if err != nil {
		metrics.GetOrRegisterCounter("settings.poll-failed", s.metrics).Inc(1)
		return false
	}
	services, err := platform.ReadAll(ctx, s.table, rows.ServicePrefix)
	if err != nil {
		return false
	}
	s.tableReadAtMS.Store(time.Now().UnixMilli())
	s.setServiceStates(services)
	if s.Accept(row) {
		s.peers.Offer(row)
	}
	return true
}

func (s *Store) setServiceStates(list []*wire.Row) {
	states := make(map[string]string, len(list))
	for _, r := range list {
		service := &wire.ServiceRow{}
		if rows.Decode(r, service) == nil {
			states[service.GetName()] = service.GetState()
		}
	}
	s.serviceStates.Store(&states)
}

// ReadCurrent reads the version in force from the table; without one it is the
// empty version 0.
func ReadCurrent(ctx context.Context, t Table) (*wire.SettingsRow, error) {
	row, err := platform.ReadOne(ctx, t, rows.SettingsCurrent)
	if err != nil || row == nil {
		return &wire.SettingsRow{Body: "{}"}, err
	}
	out := &wire.SettingsRow{}
	return out, rows.Decode(row, out)
}
