package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/connection/store"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/registry"
	"github.com/wrenferry/wrenferry/pkg/process/relay"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// The follower of the worker registry runs while this process leads a cell. A row may have any
// content, so each is checked on its own (workers.ValidateRow), and again when the manifest changes. The
// worker of an unusable row gets no new runs. If its row was usable before, it is treated as a
// worker that was removed from the registry: the leader polls the address of the last usable row
// until the runs there have ended, and renews only runs of a worker that answers under the same
// id. When the row becomes usable again, the worker gets runs again.

const (
	// registryReadInterval is the pause between two reads of the registry's changes; workers renew their rows
	// every 1.5 s.
	registryReadInterval = 300 * time.Millisecond
	// notLeadingPause is the pause between two checks whether this process leads a cell.
	notLeadingPause = registryReadInterval / 6
	// maxUnusableLogged is the maximum number of lines about unusable rows in each limitPeriod; the metric workers.unusable
	// counts all of them.
	maxUnusableLogged = 20
)

// WorkersFollower reads the worker registry while this process leads a cell, or asks the leader that reads it.
type WorkersFollower struct {
	Store    *store.Client
	Source   Source
	Halls    []string
	Manifest func() *manifest.Manifest
	// Changed is called with all usable workers of the led halls after each read.
	Changed  func(halls []string, list []workers.Record)
	LedHalls func() []string // returns the halls of the cells that this process leads, sorted
	// Leaders returns the leaders of all cells, and Ask asks one of them. If Leaders is nil, this process reads the registry
	// itself.
	Leaders func() []registry.Leader
	Ask     func(ctx context.Context, address string, request *wire.RegistryRequest) (*wire.RegistryReply, error)
	Log     *logrus.Entry
	Metrics metrics.Registry

	registry     *workerRegistry
	led          []string
	tableVersion int64
	position     registry.Position
	// recentAt is the time of the newest rows, wholeAt when the whole registry was last read.
	recentAt, wholeAt time.Time
	avoided           relay.Avoided
	// failures counts the failed reads of the table since the last one that succeeded.
	failures int
	lines    lineLimit

	mu sync.Mutex
	// passedOn is what this process passes on if it reads the registry for all leaders, nil otherwise. It was read up to
	// passedVersion at passedAt.
	passedOn      *registry.Log
	passedVersion int64
	passedAt      time.Time
	// askedAt is when another leader last asked for it.
	askedAt time.Time
}

// String returns the name that the supervisor logs.
func (f *WorkersFollower) String() string { return "workers follower" }

// Serve reads the registry until the context ends.
func (f *WorkersFollower) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		led := f.LedHalls()
		if len(led) == 0 || !slices.Equal(led, f.led) {
			f.registry, f.position, f.led, f.recentAt, f.wholeAt = nil, registry.Position{}, led, time.Time{}, time.Time{}
		}
		if len(led) == 0 {
			f.passOn(nil)
			pause(ctx, notLeadingPause)
			continue
		}
		f.readRegistry(ctx)
		f.awaitNext(ctx)
	}
	return ctx.Err()
}

// awaitNext waits until the next read is due, or the led halls have changed.
func (f *WorkersFollower) awaitNext(ctx context.Context) {
	for range int(registryReadInterval / notLeadingPause) {
		pause(ctx, notLeadingPause)
		if ctx.Err() != nil || !slices.Equal(f.LedHalls(), f.led) {
			return
		}
	}
}

const (
	// fullPage is the number of rows from which a read of changes may have left some out: the table returns at most 500.
	fullPage = 400
	// registryMaxSilence is the time without rows from another leader after which this process reads the registry itself,
	// and without changes from the table after which it reads the whole registry, through a peer if need be.
	registryMaxSilence = time.Second
	// registryAskedFor is the time for which this process reads the registry after another leader has asked for it.
	registryAskedFor = 2 * time.Second
	// maxRegistryFailures is the number of failed reads in a row after which another leader should read the registry.
	maxRegistryFailures = 2
	// askRegistryTimeout is the timeout of a request to another leader.
	askRegistryTimeout = 500 * time.Millisecond
)

// readRegistry gets the changes of the registry from the leader that reads it, or reads them if that is this process or no
// leader answers.
func (f *WorkersFollower) readRegistry(ctx context.Context) {
	now := clock.Now()
	reader, found := registry.Leader{Self: true}, true
	if f.Leaders != nil {
		reader, found = registry.Reader(f.Leaders(), f.avoided.At(now))
	}
	// A new leader does not wait for another one, which may not be up yet.
	if found && !reader.Self && !f.isAsked(now) && f.registry != nil {
		f.passOn(nil)
		if f.askReader(ctx, reader) || now.Sub(f.recentAt) <= registryMaxSilence {
			return
		}
	}
	f.readTable(ctx, f.Leaders != nil && (reader.Self || f.isAsked(now)))
}

// isAsked returns whether other leaders have asked this process for the registry lately.
func (f *WorkersFollower) isAsked(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.askedAt.IsZero() && now.Sub(f.askedAt) < registryAskedFor
}

// readTable reads the registry from the table: its changes, or all of it the first time and after a long failure.
func (f *WorkersFollower) readTable(ctx context.Context, forAll bool) {
	now := clock.Now()
	f.mu.Lock()
	begins := forAll && f.passedOn == nil
	f.mu.Unlock()
	var changed []unusableChange
	var err error
	if f.registry == nil || begins {
		changed, err = f.readWhole(ctx, forAll)
	} else if changed, err = f.readChanges(ctx); err != nil {
		silent := now.Sub(f.recentAt) > registryMaxSilence && now.Sub(f.wholeAt) > registryMaxSilence
		if silent || errors.Is(err, table.ErrChangesExpired) {
			changed, err = f.readWhole(ctx, forAll)
		}
	}
	if err != nil {
		if f.failures++; forAll && f.failures >= maxRegistryFailures {
			f.avoidOwn(now)
		}
		f.Log.WithField("why", err.Error()).Warn("workers-not-read")
		return
	}
	f.recentAt, f.failures = clock.Now(), 0
	f.apply(changed)
}

// avoidOwn makes another leader read the registry, since the table does not answer this process.
func (f *WorkersFollower) avoidOwn(now time.Time) {
	f.mu.Lock()
	f.askedAt = time.Time{}
	f.mu.Unlock()
	for _, l := range f.Leaders() {
		if l.Self {
			f.avoided = f.avoided.With(now, l.Cell)
		}
	}
	f.passOn(nil)
}

func (f *WorkersFollower) apply(changed []unusableChange) {
	f.logChanges(changed)
	metrics.GetOrRegisterGauge("workers.unusable", f.Metrics).Update(int64(len(f.registry.unusable)))
	f.Changed(f.led, f.registry.usable())
}

// readWhole reads all rows into a new registry.
func (f *WorkersFollower) readWhole(ctx context.Context, forAll bool) ([]unusableChange, error) {
	f.wholeAt = clock.Now()
	page, err := table.ReadAll(ctx, f.Store, f.Source.WorkersTable(), "")
	if err != nil {
		return nil, err
	}
	f.registry, f.tableVersion, f.position = newWorkerRegistry(f.Source, f.Halls, f.led), page.Version, registry.Position{}
	if forAll {
		f.passOn(registry.NewLog(rand.Int64()))
	}
	f.passRows(page.Rows)
	return f.registry.update(f.Manifest(), page.Rows), nil
}

// readChanges reads the changes since the last read, page by page. A worker renews its row every 1.5 s, so with
// thousands of them one page for each registryReadInterval would fall further and further behind.
func (f *WorkersFollower) readChanges(ctx context.Context) (changed []unusableChange, err error) {
	for {
		page, err := f.Store.Changes(ctx, f.Source.WorkersTable(), f.tableVersion, 0)
		if err != nil {
			return changed, err
		}
		f.tableVersion, f.position = page.Version, registry.Position{}
		f.passRows(page.Rows)
		changed = append(changed, f.registry.update(f.Manifest(), page.Rows)...)
		if len(page.Rows) < fullPage && !page.More {
			return changed, nil
		}
	}
}

// logChanges logs the rows that became unusable, are unusable for another reason, or became usable again, and how many lines
// were left out of the period before.
func (f *WorkersFollower) logChanges(changed []unusableChange) {
	if n := f.lines.beginPeriod(clock.Now()); n > 0 {
		f.Log.WithField("more", n).Warn(string(cell.NoteUnreadable))
	}
	for _, c := range changed {
		if !f.lines.allow(c.key) {
			continue
		}
		fields := logrus.Fields{"table": f.Source.WorkersTable(), "key": c.key, "why": "usable again"}
		if c.unusable != nil {
			fields["field"], fields["why"] = c.unusable.Field, c.unusable.Reason
		}
		f.Log.WithFields(fields).Warn(string(cell.NoteUnreadable))
	}
}
