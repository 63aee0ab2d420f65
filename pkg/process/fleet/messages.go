package fleet

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// message is an input of the control goroutine.
type message interface {
	apply(c *Control, now time.Time)
}

// cellEvent is an event for the state of one cell.
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

// manifestCame reports a newer manifest.
type manifestCame struct{ manifest *manifest.Manifest }

func (m manifestCame) apply(c *Control, now time.Time) {
	c.manifest = m.manifest
	for _, s := range c.seats {
		s.state.Take(now, cell.ManifestChanged{Manifest: m.manifest})
		s.touched = true
	}
}

// boundsChanged reports new bounds from the settings file.
type boundsChanged struct{ bounds cell.Bounds }

func (m boundsChanged) apply(c *Control, now time.Time) {
	for _, s := range c.seats {
		s.state.Take(now, cell.BoundsChanged{Bounds: m.bounds})
	}
}

// workersCame reports all usable workers of the registry.
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

// leadRow is a leadership row and its version.
type leadRow struct {
	row     *wire.CellLead
	version int64
}

// leadsRead reports all leadership rows by cell, read by a call sent at askedAt.
type leadsRead struct {
	askedAt time.Time
	store   time.Duration // the table's clock
	rows    map[string]leadRow
}

func (m leadsRead) apply(c *Control, now time.Time) {
	for name, s := range c.seats {
		r := m.rows[name]
		c.seatChanged(now, s, s.seat.TakeRead(now, m.askedAt, r.row, r.version, m.store))
	}
	c.publish(now)
}

// seatWritten reports the outcome of a write of a leadership row. Version 0 means that the write did not
// take effect or that its outcome is not known.
type seatWritten struct {
	cell    string
	version int64
	// roster is the membership in the same transaction, or nil.
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

// takeOver is the request of a peer to claim a cell that it is releasing.
type takeOver struct{ cell string }

func (m takeOver) apply(c *Control, _ time.Time) {
	if s := c.seats[m.cell]; s != nil && !c.leaving {
		s.seat.Want()
	}
}

// yield is the request of a peer in the cell's hall to release the cell.
type yield struct{ cell string }

func (m yield) apply(c *Control, now time.Time) {
	if s := c.seats[m.cell]; s != nil && s.hall != c.self.Hall {
		s.state.Take(now, cell.ReleaseRequested{})
		s.touched = true
	}
}

// giveUp releases a cell so that a stronger host can lead it.
type giveUp struct{ cell string }

func (m giveUp) apply(c *Control, now time.Time) {
	if s := c.seats[m.cell]; s != nil {
		s.state.Take(now, cell.ReleaseRequested{})
		s.touched = true
	}
}

// leave begins the planned stop: all cells are released.
type leave struct{}

func (leave) apply(c *Control, now time.Time) {
	c.leaving = true
	for _, s := range c.seats {
		s.state.Take(now, cell.ReleaseRequested{})
		s.touched = true
	}
}

// ask runs a function on the control goroutine.
type ask struct {
	read func(c *Control, now time.Time)
	done chan struct{}
}

func (m ask) apply(c *Control, now time.Time) {
	m.read(c, now)
	close(m.done)
}
