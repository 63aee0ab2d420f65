// Package settingsstore holds the settings version that is in force in this process.
//
// A version counts as accepted once it is committed in the table, not before. A process learns of a version by the
// first of three ways: it reads the table every second, a peer offers the version, or, while the table does not answer,
// the process fetches the version from its peers. A process never goes back to a lower version.
package settingsstore

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

// Table is the part of the platform's table service that the store calls.
type Table interface {
	Commit(ctx context.Context, req *wire.CommitRequest) (*wire.CommitReply, error)
	Read(ctx context.Context, req *wire.ReadRequest) (*wire.ReadReply, error)
}

// Peers is the client of the other entry hosts that the store calls.
type Peers interface {
	// Offer sends a version to all peers.
	Offer(row *wire.SettingsRow)
	// Fetch returns the highest version above have that a peer has, or nil.
	Fetch(ctx context.Context, have int64) *wire.SettingsRow
}

const (
	// tablePollInterval is the time between two reads of the table. An accepted version must be in force on all entry
	// hosts within five seconds.
	tablePollInterval = time.Second
	// peerFetchInterval is the minimum time between two fetches from peers while the table does not answer.
	peerFetchInterval = 2 * time.Second
)

// Store holds the settings version in force. Apart from Watch and AllowOlderVersions, which must be called before Serve, its
// methods are safe for concurrent use.
type Store struct {
	table   Table
	peers   Peers
	log     *logrus.Entry
	metrics metrics.Registry

	mu            sync.Mutex // held by Accept
	row           atomic.Pointer[wire.SettingsRow]
	tree          atomic.Pointer[settings.Tree]
	serviceStates atomic.Pointer[map[string]string]
	tableReadAtMS atomic.Int64 // when the table last answered, Unix ms; 0 if it never did
	watchers      []func(*settings.Tree)
	allowOlder    bool
}

// NewStore returns a store that holds version 0, an empty settings tree.
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

// Watch calls f at once with the version in force, and later with each new version. It must be called before Serve.
func (s *Store) Watch(f func(*settings.Tree)) {
	s.watchers = append(s.watchers, f)
	f(s.Current())
}

// AllowOlderVersions sets whether a lower version may replace a higher one, for a test that shows why this must not happen.
func (s *Store) AllowOlderVersions(reverts bool) { s.allowOlder = reverts }

// Current returns the settings tree in force. A request calls it once and uses that tree until it ends.
func (s *Store) Current() *settings.Tree { return s.tree.Load() }

// Row returns the table row of the version in force.
func (s *Store) Row() *wire.SettingsRow { return s.row.Load() }

// ServiceState returns the state that operators set for a service, or "started" if they set none.
func (s *Store) ServiceState(service string) string {
	if state, ok := (*s.serviceStates.Load())[service]; ok {
		return state
	}
	return "started"
}

// ConfirmedAge returns the time since the table was last read, or -1 if it has not been read yet.
func (s *Store) ConfirmedAge(now time.Time) time.Duration {
	read := s.tableReadAtMS.Load()
	if read == 0 {
		return -1
	}
	return now.Sub(time.UnixMilli(read))
}

// Accept puts a version in force if it is higher than the present one and can be parsed. It returns whether it did.
func (s *Store) Accept(row *wire.SettingsRow) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	same := row.GetVersion() == s.Current().Version()
	if same || (row.GetVersion() < s.Current().Version() && !s.allowOlder) {
		return false
	}
	tree, err := settings.Parse("settings", row.GetBody())
	if err != nil {
		// The version was checked before it was accepted, so the program that accepted it is newer than this one.
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

// String returns the name that the supervisor logs.
func (s *Store) String() string { return "settings store" }

// Serve polls the table until ctx ends. While the table does not answer, it fetches the version from peers.
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

// poll reads the settings version and the service states from the table. It returns whether the table answered. A new
// version is offered to the peers.
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

// setServiceStates replaces the service states. It ignores rows that can't be decoded.
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

// ReadCurrent returns the version that the table holds as current, or the empty version 0 if there is none.
func ReadCurrent(ctx context.Context, t Table) (*wire.SettingsRow, error) {
	row, err := platform.ReadOne(ctx, t, rows.SettingsCurrent)
	if err != nil || row == nil {
		return &wire.SettingsRow{Body: "{}"}, err
	}
	out := &wire.SettingsRow{}
	return out, rows.Decode(row, out)
}
