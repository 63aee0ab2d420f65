package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/request/cancellation"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// loadRetryPause is the pause after a failed load.
const loadRetryPause = 100 * time.Millisecond

// load raises the cell's fences to a new epoch and reads its jobs. It retries until that succeeds, the
// epoch ends, or a later leader's fence shows that this process is no longer the leader. After a
// successful load it follows the cell's tables until the epoch ends.
func (c *Control) load(ctx context.Context, name string, epoch int64) {
	for ctx.Err() == nil {
		loaded, err := c.loadOnce(ctx, name, epoch)
		if err == nil {
			c.send(cellEvent{name, loaded.event})
			c.followCell(ctx, name, epoch, loaded)
			return
		}
		c.log.WithFields(logrus.Fields{"cell": name, "why": err.Error()}).Warn("cell-load-failed")
		if fault.CodeOf(err) == fault.Conflict {
			c.send(cellEvent{name, cell.LeadershipLost{Why: err.Error()}})
			return
		}
		if v := c.View().Cells[name]; !v.Mine || v.Epoch != epoch {
			return
		}
		time.Sleep(loadRetryPause)
	}
}

// loadedCell is the content of a cell's tables, and the versions at which they were read.
type loadedCell struct {
	event      cell.Loaded
	versions   tableVersions
	tombstones cancellation.Tombstones
}

// loadedPart is the content of one part of a cell's tables.
type loadedPart struct {
	fence    int64
	jobs     []cell.LoadedJob
	cancels  []table.Row
	returned []*wire.ReturnedTasks
	versions tableVersions
	err      error
}

// loadOnce loads all parts of a cell at the same time. It fails if one of them fails.
func (c *Control) loadOnce(ctx context.Context, name string, epoch int64) (*loadedCell, error) {
	parts := make([]loadedPart, rows.JobParts)
	var wait sync.WaitGroup
	for i := range parts {
		wait.Go(func() { parts[i] = c.loadPart(ctx, name, rows.PartName(i), epoch) })
	}
	membership, err := c.readMembership(ctx, name)
	wait.Wait()
	if err != nil {
		return nil, err
	}
	now := clock.Now()
	event := cell.Loaded{Epoch: epoch, Members: membership.GetEntries(), Fences: map[string]int64{}, Wall: c.wall(), StoreNow: c.store.StoreTime(now)}
	loaded := &loadedCell{versions: parts[0].versions}
	for i, p := range parts {
		if p.err != nil {
			return nil, p.err
		}
		event.Fences[rows.PartName(i)] = p.fence
		event.Jobs = append(event.Jobs, p.jobs...)
		for _, r := range p.cancels {
			if !c.addTombstone(&loaded.tombstones, r) {
				event.Cancels = append(event.Cancels, r.Key.Key)
			}
		}
		event.Returned = append(event.Returned, p.returned...)
		loaded.versions.specs = min(loaded.versions.specs, p.versions.specs)
		loaded.versions.cancels = min(loaded.versions.cancels, p.versions.cancels)
	}
	loaded.event = event
	return loaded, nil
}

// loadPart raises the fence in one part and then reads the part. The fence rejects later commits of
// earlier leaders, so the read is complete.
func (c *Control) loadPart(ctx context.Context, name, part string, epoch int64) loadedPart {
	p := loadedPart{}
	if p.fence, p.err = c.raiseFence(ctx, name, part, epoch); p.err != nil {
		return p
	}
	specs, err := table.ReadAll(ctx, c.store, rows.SpecTable(name), part)
	if err != nil {
		p.err = err
		return p
	}
	progress, err := table.ReadAll(ctx, c.store, rows.ProgressTable(name), part)
	if err != nil {
		p.err = err
		return p
	}
	cancels, err := table.ReadAll(ctx, c.store, rows.CancelTable(name), part)
	if err != nil {
		p.err = err
		return p
	}
	p.versions = tableVersions{specs: specs.Version, cancels: cancels.Version}
	p.jobs = c.joinJobRows(specs.Rows, progress.Rows)
	for _, r := range cancels.Rows {
		if !rows.IsReturn(r.Key) {
			p.cancels = append(p.cancels, r)
		} else if returned := c.readReturned(r); returned != nil {
			p.returned = append(p.returned, returned)
		}
	}
	return p
}

// readMembership reads the cell's membership: the workers that earlier leaders may have used. Leaders write
// it on condition of the leadership row's version, so it can't grow after this epoch's claim.
func (c *Control) readMembership(ctx context.Context, name string) (*wire.CellRoster, error) {
	in := rows.MembershipRange(name)
	page, err := c.store.Read(ctx, in)
	if err != nil {
		return nil, err
	}
	if page.More {
		return nil, fault.New(fault.TooLarge, name, "the membership is larger than a page", "lead fewer workers in a cell")
	}
	return rows.ReadMembership(name, page.Rows)
}

// joinJobRows combines the specification and the progress row of each job. An ended job has only a
// progress row.
func (c *Control) joinJobRows(specs, progress []table.Row) []cell.LoadedJob {
	known := map[string]cell.LoadedJob{}
	for _, r := range specs {
		spec := &wire.JobSpec{}
		if err := rows.Read(r, spec); err != nil {
			c.logUnreadable(r, err)
			continue
		}
		known[spec.GetId()] = cell.LoadedJob{Spec: spec}
	}
	for _, p := range rows.ReadProgress(progress) {
		if p.Err != nil {
			c.logUnreadable(p.First, p.Err)
			continue
		}
		id := p.First.Key.Key
		j := known[id]
		if j.Spec == nil {
			j.Spec = jobs.SpecOfEnded(id, p.JobProgress)
		}
		j.Progress, j.Recorded = p.JobProgress, p.First.Version
		known[id] = j
	}
	list := make([]cell.LoadedJob, 0, len(known))
	for _, j := range known {
		list = append(list, j)
	}
	return list
}

// logUnreadable logs a row that could not be decoded.
func (c *Control) logUnreadable(r table.Row, err error) {
	c.log.WithFields(logrus.Fields{"table": r.Table, "key": r.Key.Key, "why": err.Error()}).Error(string(cell.NoteUnreadable))
}

// raiseFence raises a cell's fence in one part to an epoch, and returns the version of the fence row. It
// fails with fault.Conflict if a later leader has raised the fence further.
func (c *Control) raiseFence(ctx context.Context, name, part string, epoch int64) (int64, error) {
	key := rows.FenceKey(name, part)
	page, err := c.store.Read(ctx, table.Range{Table: key.Table, Part: part, From: name, To: name + "\x00", Limit: 1})
	if err != nil {
		return 0, err
	}
	version := int64(0)
	if len(page.Rows) > 0 {
		fence := &wire.CellFence{}
		if err := rows.Read(page.Rows[0], fence); err != nil {
			return 0, err
		}
		switch {
		case fence.GetEpoch() > epoch:
			return 0, fault.New(fault.Conflict, name, "a later leader has raised the fence", "")
		case fence.GetEpoch() == epoch:
			return page.Rows[0].Version, nil // written by an earlier attempt of this epoch
		}
		version = page.Rows[0].Version
	}
	done, err := c.store.Commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: key, Version: version}},
		Puts:       []table.Row{rows.Row(key, &wire.CellFence{Epoch: epoch})},
	})
	if err != nil {
		return 0, err
	}
	if done.Conflict {
		return 0, fault.New(fault.Unavailable, name, "the fence changed since it was read", "")
	}
	return done.Version, nil
}
