package fleet

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// message is something that the control thread takes in.
type message interface {
	apply(c *Control, now time.Time)
}

// cellEvent is for one cell's state.
type cellEvent struct {
	cell  string
	event cell.Event
}

func (m cellEvent) apply(c *Control, now time.Time) {
	if s := c.seats[m.cell]; s != nil {
		s.state.Take(now, m.event)
		s.touched = true
	}
}

// manifestCame brings a newer manifest.
type manifestCame struct{ manifest *manifest.Manifest }

func (m manifestCame) apply(c *Control, now time.Time) {
	c.manifest = m.manifest
	for _, s := range c.seats {
		s.state.Take(now, cell.ManifestChanged{Manifest: m.manifest})
		s.touched = true
	}
}

// boundsChanged brings new bounds from the settings.
type boundsChanged struct{ bounds cell.Bounds }

func (m boundsChanged) apply(c *Control, now time.Time) {
	for _, s := range c.seats {
		s.state.Take(now, cell.BoundsChanged{Bounds: m.bounds})
	}
}

// workersCame brings the whole list of workers.
type workersCame struct{ records []workers.Record }

func (m workersCame) apply(c *Control, now time.Time) {
	byHall := map[string][]workers.Record{}
	for _, r := range m.records {
		byHall[r.Hall] = append(byHall[r.Hall], r)
	}
	for _, s := range c.seats {
		s.state.Take(now, cell.WorkersListed{Records: byHall[s.hall]})
		s.touched = true
	}
}

// leadRow is a leadership row as read.
type leadRow struct {
	row     *wire.CellLead
	version int64
}

// leadsRead brings all leadership rows.
type leadsRead struct {
	askedAt time.Time
	store   time.Duration
	rows    map[string]leadRow
}

func (m leadsRead) apply(c *Control, now time.Time) {
	for name, s := range c.seats {
		r := m.rows[name]
		c.seatChanged(now, s, s.seat.TakeRead(now, m.askedAt, r.row, r.version, m.store))
	}
	c.publish(now)
}

// seatWritten is the outcome of a write of a leadership row; version 0: not
// done, or unknown.
type seatWritten struct {
	cell    string
	version int64
	// roster went with it, nil for none.
	roster *wire.CellRoster
}

func (m seatWritten) apply(c *Control, now time.Time) {
	s := c.seats[m.cell]
	if s == nil {
		return
	}
	c.seatChanged(now, s, s.seat.TakeWritten(now, m.version))
	if m.version != 0 && m.roster != nil {
		s.state.Take(now, cell.MembershipRecorded{IDs: ids(m.roster.GetEntries())})
		s.touched = true
	}
	c.publish(now)
}

// takeOver and yield are words from peers.
type takeOver struct{ cell string }

func (m takeOver) apply(c *Control, _ time.Time) {
	if s := c.seats[m.cell]; s != nil && !c.leaving {
		s.seat.Want()
	}
}

type yield struct{ cell string }

func (m yield) apply(c *Control, now time.Time) {
	if s := c.seats[m.cell]; s != nil && s.hall != c.self.Hall {
		s.state.Take(now, cell.ReleaseRequested{})
		s.touched = true
	}
}

// giveUp has this host give a cell up to a stronger one.
type giveUp struct{ cell string }

func (m giveUp) apply(c *Control, now time.Time) {
	if s := c.seats[m.cell]; s != nil {
		s.state.Take(now, cell.ReleaseRequested{})
		s.touched = true
	}
}

// leave begins the planned stop.
type leave struct{}

func (leave) apply(c *Control, now time.Time) {
	c.leaving = true
	for _, s := range c.seats {
		s.state.Take(now, cell.ReleaseRequested{})
		s.touched = true
	}
}

// ask runs a reading on the control thread.
type ask struct {
	read func(c *Control, now time.Time)
	done chan struct{}
}

func (m ask) apply(c *Control, now time.Time) {
	m.read(c, now)
	close(m.done)
}
