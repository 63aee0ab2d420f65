package fleet

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/connection/store"
	"github.com/wrenferry/wrenferry/pkg/container"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/relay"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/version/evacuation"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
)

// operatorChangesWait is how long a read of changes waits for one. A manifest must be in force within two
// seconds, also if a read is interrupted.
const operatorChangesWait = time.Second

// OperatorFollower reads the rows of operators and each change of them: the manifest and the evacuations of halls,
// which are in one table. So evacuations cost no calls of their own, and a host that has a manifest knows the
// evacuations that were ordered before it read the manifest.
type OperatorFollower struct {
	Store   *store.Client
	Source  Source
	Halls   []string
	Log     *logrus.Entry
	Metrics metrics.Registry
	// Manifest is called with each newer manifest, Evacuations with the orders in force after each change. Evacuations
	// is called first if one read changes both.
	Manifest    func(m *manifest.Manifest)
	Evacuations func(o evacuation.Orders)
	// Direct returns whether this host reads the rows itself; nil means always. Passed holds what a relay has passed on
	// last; it may be nil.
	Direct func() bool
	Passed *container.Mailbox[relay.Reading]
	// Read is called with the rows after each reading by this host, Lost after one that failed; they may be nil.
	Read func(r relay.Reading)
	Lost func()

	manifestVersion int64 // version of the last accepted manifest
	orders          evacuation.Orders
	tableVersion    int64 // version of the table up to which changes were read
	// rows are the newest rows that matter to hosts. contentVersion is the version of the table at which they were read first.
	rows           map[table.Key]table.Row
	contentVersion int64
	// manifestLines and orderLines bound the log lines about rows that can't be used: the manifest, and orders to evacuate, of
	// which other writers may write any number.
	manifestLines, orderLines lineLimit
}

// String returns the name that the supervisor logs.
func (f *OperatorFollower) String() string { return "operator follower" }

// Serve reads the rows until the context ends. All rows are read first, and after a failed read of changes.
func (f *OperatorFollower) Serve(ctx context.Context) error {
	whole := true
	for ctx.Err() == nil {
		f.takePassed()
		switch {
		case f.Direct != nil && !f.Direct():
			f.awaitPassed(ctx)
			whole = f.tableVersion == 0
		case whole:
			if err := f.read(ctx); err != nil {
				f.Log.WithField("why", err.Error()).Warn("manifest-not-read")
				f.lost()
				pause(ctx, readRetryPause)
				continue
			}
			whole = false
		default:
			whole = !f.readChanges(ctx)
		}
	}
	return ctx.Err()
}

func (f *OperatorFollower) lost() {
	if f.Lost != nil {
		f.Lost()
	}
}

// readChanges reads changes once, and returns whether that succeeded. If the table no longer has them, the caller reads all
// rows again without a pause.
func (f *OperatorFollower) readChanges(ctx context.Context) bool {
	askedAt := clock.Now()
	page, err := f.Store.Changes(ctx, f.Source.ManifestKey().Table, f.tableVersion, operatorChangesWait)
	if err != nil {
		if !errors.Is(err, table.ErrChangesExpired) {
			f.lost()
			pause(ctx, readRetryPause)
		}
		return false
	}
	for _, r := range page.Rows {
		row, ok := f.toPassOn(r)
		if !ok {
			continue
		}
		if r.Removed {
			delete(f.rows, r.Key)
		} else {
			f.rows[r.Key] = row
		}
		f.contentVersion = page.Version
	}
	f.apply(page, f.orders)
	f.publish(page, askedAt)
	return true
}

// read reads all rows. A page that is older than what was read before is dropped, because an order in it may have been
// withdrawn, and an order may be missing.
func (f *OperatorFollower) read(ctx context.Context) error {
	askedAt := clock.Now()
	key := f.Source.ManifestKey()
	page, err := table.ReadAll(ctx, f.Store, key.Table, key.Part)
	if err != nil {
		return err
	}
	if page.Version >= f.tableVersion {
		f.setRows(page.Rows, page.Version)
		f.apply(page, evacuation.Orders{})
		f.publish(page, askedAt)
	}
	return nil
}

// toPassOn returns what hosts need of a row of the operators' table, false if they need nothing: others may write rows
// there, too, and an order to evacuate is in force whatever it contains.
func (f *OperatorFollower) toPassOn(r table.Row) (table.Row, bool) {
	if r.Key == f.Source.ManifestKey() {
		return r, true
	}
	hall, ok := f.Source.EvacuatedHall(r.Key)
	r.Value = nil
	return r, ok && slices.Contains(f.Halls, hall)
}

// setRows replaces all rows. Rows that have not changed keep their version, so that a relay's followers don't get them
// again.
func (f *OperatorFollower) setRows(list []table.Row, version int64) {
	next := make(map[table.Key]table.Row, len(list))
	for _, r := range list {
		if row, ok := f.toPassOn(r); ok {
			next[r.Key] = row
		}
	}
	same := func(a, b table.Row) bool { return a.Version == b.Version }
	if f.rows == nil || !maps.EqualFunc(next, f.rows, same) {
		f.contentVersion = version
	}
	f.rows = next
}

// publish passes the rows on, as they were at the time of a page.
func (f *OperatorFollower) publish(page table.Page, askedAt time.Time) {
	if f.Read == nil {
		return
	}
	reading := readingOf(page, askedAt, clock.Now())
	reading.Rows, reading.Version = slices.Collect(maps.Values(f.rows)), f.contentVersion
	f.Read(reading)
}

// awaitPassed waits until a relay has passed rows on, or for about readRetryPause: hosts that got the last rows together
// must not turn to the table together.
func (f *OperatorFollower) awaitPassed(ctx context.Context) {
	var arrived <-chan struct{}
	if f.Passed != nil {
		arrived = f.Passed.Arrived()
	}
	select {
	case <-arrived:
	case <-ctx.Done():
	case <-time.After(readRetryPause/2 + rand.N(readRetryPause)):
	}
}

// takePassed takes the rows that a relay has passed on. Those that are not newer than the known ones are dropped, for the
// reason given at read.
func (f *OperatorFollower) takePassed() {
	if f.Passed == nil {
		return
	}
	if r, ok := f.Passed.Take(); ok && r.Version > f.contentVersion && r.Version >= f.tableVersion {
		f.setRows(r.Rows, r.Version)
		f.apply(table.Page{Rows: r.Rows, Version: r.Version}, evacuation.Orders{})
	}
}

// apply applies rows to the evacuations given, and accepts the manifest if the rows contain a newer one.
func (f *OperatorFollower) apply(page table.Page, orders evacuation.Orders) {
	for _, r := range page.Rows {
		orders = f.applyEvacuation(orders, r)
	}
	f.setOrders(orders)
	for _, r := range page.Rows {
		if r.Key == f.Source.ManifestKey() && !r.Removed {
			f.accept(r)
		}
	}
	f.tableVersion = page.Version
}

// applyEvacuation returns the orders after a change of a row. Rows other than evacuations change nothing. An evacuation
// is in force whatever its row contains; one of an unknown hall is logged and ignored.
func (f *OperatorFollower) applyEvacuation(orders evacuation.Orders, r table.Row) evacuation.Orders {
	hall, ok := f.Source.EvacuatedHall(r.Key)
	switch {
	case !ok:
		return orders
	case r.Removed:
		return orders.Without(hall)
	case !slices.Contains(f.Halls, hall):
		f.logRow(&f.orderLines, r, func(log *logrus.Entry) {
			log.WithFields(logrus.Fields{"hall": hall, "why": "not a hall of this deployment"}).Warn("evacuation-ignored")
		})
		return orders
	}
	return orders.With(hall, r.Version)
}

// logRow logs about a row that can't be used, unless there have been many such lines lately.
func (f *OperatorFollower) logRow(limit *lineLimit, r table.Row, write func(log *logrus.Entry)) {
	if n := limit.beginPeriod(clock.Now()); n > 0 {
		f.Log.WithFields(logrus.Fields{"table": r.Table, "more": n}).Warn(string(cell.NoteUnreadable))
	}
	if limit.allow(r.Key.Key) {
		write(f.Log.WithField("row_version", r.Version))
	}
}

// setOrders puts changed orders in force, and logs what changed.
func (f *OperatorFollower) setOrders(next evacuation.Orders) {
	before := f.orders
	if next.Equal(before) {
		return
	}
	f.orders = next
	for _, hall := range next.Halls() {
		if next.Version(hall) != before.Version(hall) {
			f.Log.WithFields(logrus.Fields{"hall": hall, "row_version": next.Version(hall)}).Info("evacuation-ordered")
			metrics.GetOrRegisterCounter("evacuations.ordered", f.Metrics).Inc(1)
		}
	}
	for _, hall := range before.Halls() {
		if !next.Includes(hall) {
			f.Log.WithFields(logrus.Fields{"hall": hall, "row_version": before.Version(hall)}).Info("evacuation-withdrawn")
		}
	}
	metrics.GetOrRegisterGauge("evacuations.in-force", f.Metrics).Update(int64(len(next.Halls())))
	f.Evacuations(next)
}

// accept accepts a manifest if it is newer than the last one. A read that was overtaken by another one may
// return an older manifest.
func (f *OperatorFollower) accept(r table.Row) {
	m, err := f.Source.Manifest(r.Value)
	if err != nil {
		f.logRow(&f.manifestLines, r, func(log *logrus.Entry) { log.WithField("why", err.Error()).Error("manifest-unreadable") })
		return
	}
	if m.Version() <= f.manifestVersion {
		return
	}
	f.manifestVersion = m.Version()
	f.Log.WithFields(logrus.Fields{"version": m.Version(), "row_version": r.Version}).Info(string(cell.NoteManifest))
	f.Manifest(m)
}
