package intake

import (
	"context"
	"time"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Leaders tells who leads which cell, and answers for those led here.
type Leaders interface {
	View() *View
	Accepted(spec *wire.JobSpec)
	Cancelled(cell, id string)
	Phase(ctx context.Context, cell, id string) (wire.JobPhase, bool)
	Load(ctx context.Context, cell string, withBeliefs bool) *wire.CellLoad
	OtherLoad(l *wire.CellLoad)
}

// View is who leads which cell, as this process last saw it.
type View struct {
	At    time.Time
	Cells map[string]CellView
	// Waits says that tasks wait in a cell led here that other cells might take.
	Waits bool
}

// CellView is who leads a cell.
type CellView struct {
	Hall    string
	Leader  string
	Address string
	Epoch   int64
	// Fresh says that its renewals come.
	Fresh bool
	// Mine says that this process leads it, with its jobs loaded.
	Mine bool
}
