package fleet

import (
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/version/evacuation"
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
	if s := c.cells[m.cell]; s != nil {
		s.state.Take(now, m.event)
		s.needsDecision = true
	}
}

// placementPauseOver says that a cell may place tasks again.
type placementPauseOver struct{ cell string }

func (m placementPauseOver) apply(c *Control, _ time.Time) {
	if s := c.cells[m.cell]; s != nil {
		s.placementAwaited, s.needsDecision = false, true
	}
}

// manifestChanged reports a newer manifest.
type manifestChanged struct{ manifest *manifest.Manifest }

func (m manifestChanged) apply(c *Control, now time.Time) {
	c.manifest = m.manifest
	for _, s := range c.cells {
		s.state.Take(now, cell.ManifestChanged{Manifest: m.manifest})
		s.needsDecision = true
	}
}

// evacuationsChanged reports the halls that are evacuated from now on.
type evacuationsChanged struct{ orders evacuation.Orders }

func (m evacuationsChanged) apply(c *Control, now time.Time) {
	c.evacuations = m.orders
	cells := map[string]bool{}
	for name, s := range c.cells {
		if m.orders.Includes(s.hall) {
			cells[name] = true
		}
	}
	for _, s := range c.cells {
		s.state.Take(now, cell.EvacuationsChanged{Cells: cells})
		s.needsDecision = true
	}
	c.publish(now)
}

// boundsChanged reports new bounds from the settings file.
type boundsChanged struct{ bounds cell.Bounds }

func (m boundsChanged) apply(c *Control, now time.Time) {
	for _, s := range c.cells {
		s.state.Take(now, cell.BoundsChanged{Bounds: m.bounds})
	}
}

// registryRead reports all usable workers of some halls.
type registryRead struct {
	halls   []string
	records []workers.Record
}

func (m registryRead) apply(c *Control, now time.Time) {
	byHall := map[string][]workers.Record{}
	for _, r := range m.records {
		byHall[r.Hall] = append(byHall[r.Hall], r)
	}
	for _, s := range c.cells {
		if slices.Contains(m.halls, s.hall) {
			s.state.Take(now, cell.WorkersListed{Records: byHall[s.hall]})
			s.needsDecision = true
		}
	}
}

// leadershipRow is a leadership row and its version.
type leadershipRow struct {
	row     *wire.CellLead
	version int64
}

// leadershipsRead reports all leadership rows by cell, read by a call sent at askedAt and answered at readAt.
type leadershipsRead struct {
	askedAt, readAt time.Time
	storeTime       time.Duration // the table's clock at readAt
	rows            map[string]leadershipRow
}

func (m leadershipsRead) apply(c *Control, now time.Time) {
	storeNow := m.storeTime + now.Sub(m.readAt)
	for name, s := range c.cells {
		r := m.rows[name]
		c.leadershipChanged(now, s, s.seat.RowRead(now, m.askedAt, r.row, r.version, storeNow))
	}
	c.publish(now)
}

// leadershipWritten reports the outcome of a write of a leadership row. Version 0 means that the write did not
// take effect or that its outcome is not known.
type leadershipWritten struct {
	cell    string
	version int64
	// members is the membership in the same transaction, or nil.
	members *wire.CellRoster
}

func (m leadershipWritten) apply(c *Control, now time.Time) {
	s := c.cells[m.cell]
	if s == nil {
		return
	}
	if m.version == 0 && c.confirmedHandover && (s.seat.ClaimPending() || s.state.Releasing()) {
		c.readOutcomeNow(now) // nobody leads until the outcome is known
	}
	c.leadershipChanged(now, s, s.seat.RowWritten(now, m.version))
	s.runAfterWrite(now)
	if m.version != 0 && m.members != nil {
		s.state.Take(now, cell.MembershipRecorded{IDs: memberIDs(m.members.GetEntries())})
		s.needsDecision = true
	}
	c.publish(now)
}

// takeOverRequest is the request of a peer to claim a cell that it is releasing.
type takeOverRequest struct{ cell string }

func (m takeOverRequest) apply(c *Control, _ time.Time) {
	if s := c.cells[m.cell]; s != nil && !c.leaving {
		s.seat.AcceptHandover()
		if c.confirmedHandover {
			c.readLeadershipsNow()
		}
	}
}

// yieldRequest is the request of a peer in the cell's hall to release the cell.
type yieldRequest struct{ cell string }

func (m yieldRequest) apply(c *Control, now time.Time) {
	if s := c.cells[m.cell]; s != nil && s.hall != c.self.Hall && (!c.confirmedHandover || s.mayRelease(now)) {
		s.state.Take(now, cell.ReleaseRequested{})
		s.needsDecision = true
	}
}

// handOverRequest releases a cell so that a stronger host can lead it.
type handOverRequest struct{ cell string }

func (m handOverRequest) apply(c *Control, now time.Time) {
	if s := c.cells[m.cell]; s != nil {
		s.state.Take(now, cell.ReleaseRequested{})
		s.needsDecision = true
	}
}

// stopRequest begins the planned stop: all cells are released. With confirmed handovers, each one is released on its own.
type stopRequest struct{}

func (stopRequest) apply(c *Control, now time.Time) {
	c.leaving = true
	if c.confirmedHandover {
		return
	}
	for _, s := range c.cells {
		s.state.Take(now, cell.ReleaseRequested{})
		s.needsDecision = true
	}
}

// query runs a function on the control goroutine.
type query struct {
	run  func(c *Control, now time.Time)
	done chan struct{}
}

func (m query) apply(c *Control, now time.Time) {
	m.run(c, now)
	close(m.done)
}
