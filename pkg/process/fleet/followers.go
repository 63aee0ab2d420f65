package fleet

import (
	"context"
	"time"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/connection/store"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/relay"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Followers read changes of the table and send them to the control goroutine. The operator and the
// leadership follower are supervised services that run as long as the process; followCell runs for
// one epoch of a led cell.

const (
	// readRetryPause is the pause after a failed read.
	readRetryPause = 200 * time.Millisecond
	// leadershipReadInterval is the pause between two reads of the leadership rows.
	leadershipReadInterval = 300 * time.Millisecond
	// directCheckInterval is the pause between two checks of a host that follows a relay whether to read them itself.
	directCheckInterval = 100 * time.Millisecond
	// cellReadInterval is the pause between two reads of a led cell's new jobs and cancels. Hosts notify the
	// leader of each one; the reads find those whose notification was lost.
	cellReadInterval = 700 * time.Millisecond
)

// Source decodes the rows that operators and workers write into the table.
type Source interface {
	// ManifestKey returns the key of the row with the newest manifest.
	ManifestKey() table.Key
	Manifest(value []byte) (*manifest.Manifest, error)
	// EvacuatedHall returns the hall that a row orders to evacuate, or false for a key of another kind. The row is in
	// the manifest's table and part.
	EvacuatedHall(k table.Key) (hall string, ok bool)
	// WorkersTable returns the name of the worker registry's table.
	WorkersTable() string
	// Worker decodes a row of the worker registry. Its error is a workers.InvalidRow.
	Worker(r table.Row) (workers.RegistryRow, error)
}

// LeadershipFollower reads the leadership rows of all cells.
type LeadershipFollower struct {
	Store   *store.Client
	Control *Control
	// Direct returns whether this host reads the rows regularly, and the pause until it asks again; nil means always, each
	// leadershipReadInterval. Other hosts read them on request only.
	Direct func() (reads bool, interval time.Duration)
	// Read is called with each reading; it may be nil.
	Read func(r relay.Reading)
}

// String returns the name that the supervisor logs.
func (f *LeadershipFollower) String() string { return "leads follower" }

// Serve reads the rows until the context ends.
func (f *LeadershipFollower) Serve(ctx context.Context) error {
	wanted := false
	for ctx.Err() == nil {
		reads, interval := true, leadershipReadInterval
		if f.Direct != nil {
			reads, interval = f.Direct()
		}
		if wanted || reads {
			f.readRows(ctx)
		}
		wanted = false
		select {
		case <-f.Control.leadershipsWanted:
			wanted = true
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
	return ctx.Err()
}

func (f *LeadershipFollower) readRows(ctx context.Context) {
	askedAt := clock.Now()
	page, err := table.ReadAll(ctx, f.Store, rows.LeadTable, "")
	if err != nil {
		return // counted by the store client; the next reading follows soon
	}
	reading := readingOf(page, askedAt, clock.Now())
	if f.Read != nil {
		f.Read(reading)
	}
	f.Control.LeadershipsRead(reading)
}

// LeadershipsRead takes a reading of the leadership rows by this host or by a relay.
func (c *Control) LeadershipsRead(reading relay.Reading) {
	m := leadershipsRead{askedAt: reading.AskedAt, readAt: reading.ReadAt, storeTime: reading.StoreTime, rows: map[string]leadershipRow{}}
	for _, r := range reading.Rows {
		row := &wire.CellLead{}
		if err := rows.Read(r, row); err != nil {
			c.logUnreadable(r, err)
			continue
		}
		m.rows[r.Key.Key] = leadershipRow{row: row, version: r.Version}
	}
	c.send(m)
}

// tableVersions holds the versions up to which a cell's tables were read.
type tableVersions struct{ specs, cancels int64 }

// followCell reads new jobs, cancels and returned tasks of a led cell, and sends them to the cell, until
// the epoch ends. It removes tombstones whose time is over.
func (c *Control) followCell(ctx context.Context, name string, epoch int64, loaded *loadedCell) {
	from, tombstones := loaded.versions, &loaded.tombstones
	removeFrom := time.Time{}
	for ctx.Err() == nil {
		pause(ctx, cellReadInterval)
		if v := c.View().Cells[name]; !v.Mine || v.Epoch != epoch {
			return
		}
		askedAt := clock.Now()
		var specsRead bool
		from.specs, specsRead = c.followTable(ctx, rows.SpecTable(name), from.specs, func(r table.Row) {
			if r.Removed {
				return
			}
			spec := &wire.JobSpec{}
			if err := rows.Read(r, spec); err != nil {
				c.logUnreadable(r, err)
				return
			}
			c.JobAccepted(spec)
		})
		if specsRead {
			c.send(cellEvent{cell: name, event: cell.TableCaughtUp{At: askedAt}})
		}
		from.cancels, _ = c.followTable(ctx, rows.CancelTable(name), from.cancels, func(r table.Row) {
			if r.Removed {
				if !rows.IsReturn(r.Key) {
					c.send(cellEvent{cell: name, event: cell.CancelRemoved{ID: r.Key.Key}})
				}
				return
			}
			if c.addTombstone(tombstones, r) {
				return
			}
			if !rows.IsReturn(r.Key) {
				c.CancelRequested(name, r.Key.Key)
				return
			}
			if returned := c.readReturned(r); returned != nil {
				c.send(cellEvent{cell: name, event: cell.TasksReturned{Tasks: returned}})
			}
		})
		if now := clock.Now(); now.After(removeFrom) && !c.removeTombstones(ctx, now, name, tombstones) {
			removeFrom = now.Add(tombstoneInterval)
		}
	}
}

// readReturned decodes the outcome of delegated tasks, written by their target cell. It returns nil if
// the row can't be decoded.
func (c *Control) readReturned(r table.Row) *wire.ReturnedTasks {
	returned := &wire.ReturnedTasks{}
	if err := rows.Read(r, returned); err != nil {
		c.logUnreadable(r, err)
		return nil
	}
	return returned
}

// followTable passes the rows that changed after a version to take, also removed ones. It returns the version up to which the
// table was read, and false if it could not be read. If the changes can't be read, for example because the
// table has dropped them, all rows of the table are passed.
func (c *Control) followTable(ctx context.Context, name string, after int64, take func(table.Row)) (int64, bool) {
	page, err := c.store.Changes(ctx, name, after, 0)
	if err != nil {
		var failed bool
		page, failed = c.readAllParts(ctx, name)
		if failed {
			return after, false
		}
	}
	for _, r := range page.Rows {
		take(r)
	}
	return page.Version, true
}

// readAllParts reads all parts of a table. The version of the result is the lowest of the parts.
func (c *Control) readAllParts(ctx context.Context, name string) (whole table.Page, failed bool) {
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
