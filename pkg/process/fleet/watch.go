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

// What a process follows in the table. Each follower is a supervised part; it
// lives as long as the process and only hands on what has changed.

const (
	// manifestWait is how long a reading of changes waits. Manifests must be in
	// force within two seconds, also when a reading is cut short.
	manifestWait = time.Second
	// followAgain is the pause after a failure.
	followAgain = 200 * time.Millisecond
	// leadsEvery is the pace of reading who leads.
	leadsEvery = 300 * time.Millisecond
	// cellEvery is the pace of reading a led cell's new jobs and cancels. Hosts
	// tell the leader of each; this is for words that were lost.
	cellEvery = 700 * time.Millisecond
)

// Source decodes what operators and workers write into the table.
type Source interface {
	// ManifestKey is the row of the newest manifest.
	ManifestKey() table.Key
	Manifest(value []byte) (*manifest.Manifest, error)
	// WorkersTable is where workers keep their rows.
	WorkersTable() string
	// Worker says what a row of that table says; an error is a workers.Unusable.
	Worker(r table.Row) (workers.Account, error)
}

// ManifestFollower keeps the newest manifest.
type ManifestFollower struct {
	Store  *store.Client
	Source Source
	Log    *logrus.Entry
	// Changed is called with each newer one.
	Changed func(m *manifest.Manifest)

	version int64 // the manifest's own
	after   int64 // the table's
}

// String names the part for the supervisor.
func (f *ManifestFollower) String() string { return "manifest follower" }

// Serve follows until the context ends.
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

// follow takes changes until one can't be read.
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

// take takes in a manifest if it is newer; an older one may come from a
// reading that was overtaken.
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

// LeadsFollower reads who leads each cell.
type LeadsFollower struct {
	Store   *store.Client
	Control *Control
}

// String names the part for the supervisor.
func (f *LeadsFollower) String() string { return "leads follower" }

// Serve follows until the context ends.
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

// followFrom is as of which versions a cell's tables were read.
type followFrom struct{ specs, cancels int64 }

// followCell hands on jobs and cancels that come to a led cell, until its
// epoch is over.
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

// readReturned decodes tasks that another cell gives back; nil: it can't be read.
func (c *Control) readReturned(r table.Row) *wire.ReturnedTasks {
	back := &wire.ReturnedTasks{}
	if err := rows.Read(r, back); err != nil {
		c.unreadable(r, err)
		return nil
	}
	return back
}

// followTable hands on what changed in a table, and returns as of when, and whether that could
// be read. When the history is gone, the whole table is handed on.
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

// pause waits, or until the context ends.
func pause(ctx context.Context, span time.Duration) {
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
