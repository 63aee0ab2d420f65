package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/connection/store"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Followers read changes of the table and send them to the control goroutine. The manifest and the
// leadership follower are supervised services that run as long as the process; followCell runs for
// one epoch of a led cell.

const (
	// manifestWait is how long a read of changes waits for one. A manifest must be in force within two
	// seconds, also if a read is interrupted.
	manifestWait = time.Second
	// followAgain is the pause after a failed read.
	followAgain = 200 * time.Millisecond
	// leadsEvery is the pause between two reads of the leadership rows.
	leadsEvery = 300 * time.Millisecond
	// cellEvery is the pause between two reads of a led cell's new jobs and cancels. Hosts notify the
	// leader of each one; the reads find those whose notification was lost.
	cellEvery = 700 * time.Millisecond
)

// Source decodes the rows that operators and workers write into the table.
type Source interface {
	// ManifestKey returns the key of the row with the newest manifest.
	ManifestKey() table.Key
	Manifest(value []byte) (*manifest.Manifest, error)
	// WorkersTable returns the name of the worker registry's table.
	WorkersTable() string
	// Worker decodes a row of the worker registry. Its error is a workers.Unusable.
	Worker(r table.Row) (workers.Account, error)
}

// ManifestFollower reads the newest manifest and each change of it.
type ManifestFollower struct {
	Store  *store.Client
	Source Source
	Log    *logrus.Entry
	// Changed is called with each newer manifest.
	Changed func(m *manifest.Manifest)

	version int64 // version of the last accepted manifest
	after   int64 // version of the table up to which changes were read
}

// String returns the name that the supervisor logs.
func (f *ManifestFollower) String() string { return "manifest follower" }

// Serve reads the manifest until the context ends.
func (f *ManifestFollower) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.read(ctx); err != nil {
			f.Log.WithField("why", err.Error()).Warn("manifest-not-read")
			pause(ctx, followAgain)
			continue
		}
		f.follow(ctx)
	}
	return ctx.Err()
}

// follow reads changes until a read fails. If the table no longer has the changes, the caller reads
// the manifest again without a pause.
func (f *ManifestFollower) follow(ctx context.Context) {
	key := f.Source.ManifestKey()
	for ctx.Err() == nil {
		page, err := f.Store.Changes(ctx, key.Table, f.after, manifestWait)
		if err != nil {
			if !errors.Is(err, table.ErrForgotten) {
				pause(ctx, followAgain)
			}
			return
		}
		for _, r := range page.Rows {
			if r.Key == key && !r.Gone {
				f.take(r)
			}
		}
		f.after = page.Version
	}
}

// read reads the manifest's row itself.
func (f *ManifestFollower) read(ctx context.Context) error {
	key := f.Source.ManifestKey()
	page, err := f.Store.Read(ctx, table.Range{Table: key.Table, Part: key.Part, From: key.Key, To: key.Key + "\x00", Limit: 1})
	if err != nil {
		return err
	}
	for _, r := range page.Rows {
		f.take(r)
	}
	f.after = max(f.after, page.Version)
	return nil
}

// take accepts a manifest if it is newer than the last one. A read that was overtaken by another one may
// return an older manifest.
func (f *ManifestFollower) take(r table.Row) {
	m, err := f.Source.Manifest(r.Value)
	if err != nil {
		f.Log.WithFields(logrus.Fields{"why": err.Error(), "row_version": r.Version}).Error("manifest-unreadable")
		return
	}
	if m.Version() <= f.version {
		return
	}
	f.version = m.Version()
	f.Log.WithFields(logrus.Fields{"version": m.Version(), "row_version": r.Version}).Info(string(cell.NoteManifest))
	f.Changed(m)
}

// LeadsFollower reads the leadership rows of all cells.
type LeadsFollower struct {
	Store   *store.Client
	Control *Control
}

// String returns the name that the supervisor logs.
func (f *LeadsFollower) String() string { return "leads follower" }

// Serve reads the rows until the context ends.
func (f *LeadsFollower) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		askedAt := clock.Now()
		page, err := table.ReadAll(ctx, f.Store, rows.LeadTable, "")
		if err == nil {
			m := leadsRead{askedAt: askedAt, store: page.StoreTime, rows: map[string]leadRow{}}
			for _, r := range page.Rows {
				row := &wire.CellLead{}
				if err := rows.Read(r, row); err != nil {
					f.Control.unreadable(r, err)
					continue
				}
				m.rows[r.Key.Key] = leadRow{row: row, version: r.Version}
			}
			f.Control.tell(m)
		}
		pause(ctx, leadsEvery)
	}
	return ctx.Err()
}

// followFrom holds the versions up to which a cell's tables were read.
type followFrom struct{ specs, cancels int64 }

// followCell reads new jobs, cancels and returned tasks of a led cell, and sends them to the cell, until
// the epoch ends.
func (c *Control) followCell(ctx context.Context, name string, epoch int64, from followFrom) {
	for ctx.Err() == nil {
		pause(ctx, cellEvery)
		if v := c.View().Cells[name]; !v.Mine || v.Epoch != epoch {
			return
		}
		askedAt := clock.Now()
		var followed bool
		from.specs, followed = c.followTable(ctx, rows.SpecTable(name), from.specs, func(r table.Row) {
			spec := &wire.JobSpec{}
			if err := rows.Read(r, spec); err != nil {
				c.unreadable(r, err)
				return
			}
			c.Accepted(spec)
		})
		if followed {
			c.tell(cellEvent{cell: name, event: cell.TableCaughtUp{At: askedAt}})
		}
		from.cancels, _ = c.followTable(ctx, rows.CancelTable(name), from.cancels, func(r table.Row) {
			if !rows.IsReturn(r.Key) {
				c.Cancelled(name, r.Key.Key)
				return
			}
			if back := c.readReturned(r); back != nil {
				c.tell(cellEvent{cell: name, event: cell.TasksReturned{Tasks: back}})
			}
		})
	}
}

// readReturned decodes the outcome of delegated tasks, written by their target cell. It returns nil if
// the row can't be decoded.
func (c *Control) readReturned(r table.Row) *wire.ReturnedTasks {
	back := &wire.ReturnedTasks{}
	if err := rows.Read(r, back); err != nil {
		c.unreadable(r, err)
		return nil
	}
	return back
}

// followTable passes the rows that changed after a version to take. It returns the version up to which the
// table was read, and false if it could not be read. If the changes can't be read, for example because the
// table has dropped them, all rows of the table are passed.
func (c *Control) followTable(ctx context.Context, name string, after int64, take func(table.Row)) (int64, bool) {
	page, err := c.store.Changes(ctx, name, after, 0)
	if err != nil {
		var failed bool
		page, failed = c.readParts(ctx, name)
		if failed {
			return after, false
		}
	}
	for _, r := range page.Rows {
		if !r.Gone {
			take(r)
		}
	}
	return page.Version, true
}

// readParts reads all parts of a table. The version of the result is the lowest of the parts.
func (c *Control) readParts(ctx context.Context, name string) (whole table.Page, failed bool) {
	for i := range rows.JobParts {
		page, err := table.ReadAll(ctx, c.store, name, rows.PartName(i))
		if err != nil {
			return table.Page{}, true
		}
		whole.Rows = append(whole.Rows, page.Rows...)
		if i == 0 || page.Version < whole.Version {
			whole.Version = page.Version
		}
	}
	return whole, false
}

// pause waits for a time span or until the context ends.
func pause(ctx context.Context, span time.Duration) {
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
