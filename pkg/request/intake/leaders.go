package intake

import (
	"context"
	"time"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Leaders knows the leader of each cell, and answers for the cells that this process leads.
type Leaders interface {
	// View returns the leaders of all cells.
	View() *View
	// JobAccepted notifies the leader, in this process, of a job accepted for its cell.
	JobAccepted(spec *wire.JobSpec)
	// CancelRequested notifies the cell's leader, in this process, of a cancelled job.
	CancelRequested(cell, id string)
	// Phase returns a job's phase, or false if this process does not know it.
	Phase(ctx context.Context, cell, id string) (wire.JobPhase, bool)
	// Load returns the load of a cell led here, with the leader's interference beliefs if asked for.
	Load(ctx context.Context, cell string, withBeliefs bool) *wire.CellLoad
	// PeerLoad passes the load that a cell's leader reported to the cells led here.
	PeerLoad(l *wire.CellLoad)
}

// View lists the leader of each cell, as this process knew it at the time At.
type View struct {
	At    time.Time
	Cells map[string]CellView
	// Waits means that tasks wait in a cell led here that could be delegated to other cells.
	Waits bool
}

// CellView describes a cell's leader: its host name, address and the epoch of its leadership.
type CellView struct {
	Hall    string
	Leader  string
	Address string
	Epoch   int64
	// Fresh means that the leader's renewals arrive.
	Fresh bool
	// Mine means that this process leads the cell and has loaded its jobs.
	Mine bool
	// Evacuated means that operators have ordered the evacuation of the cell's hall: no task starts there.
	Evacuated bool
}
