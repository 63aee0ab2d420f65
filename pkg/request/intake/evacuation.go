package intake

import (
	"context"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/request/cellchoice"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// evacuationRetryAfter is when callers may ask again for a job that only evacuated halls can run. Operators do not
// announce the end of an evacuation, so it is a polling interval.
const evacuationRetryAfter = 5 * time.Second

// refuseBeforeChoice returns the fault for a job that is refused before a cell is chosen, or nil. While the table is away
// the state of the job can't be read, and insertConfirmed refuses it.
func (i *Intake) refuseBeforeChoice(ctx context.Context, now time.Time, spec *wire.JobSpec, cells map[string]cellchoice.Cell) error {
	if i.confirms && i.tableState().Away(now) {
		return nil
	}
	err := i.refuseInEvacuation(ctx, now, spec, cells)
	_, known := i.knownCell(spec.GetId())
	switch {
	case err == nil:
		return nil
	case i.outcomes.open(spec.GetId()):
		i.increment("accept.unknown")
		return unknownOutcome(spec.GetId(), err)
	case known:
		return nil // another submission of the job was accepted after the row was read
	}
	return err
}

// refuseInEvacuation returns a NotRun fault for a job that no cell can start because of evacuations, unless the table
// holds the job already. If that can't be read, the job is not refused: a refused job must never run.
func (i *Intake) refuseInEvacuation(ctx context.Context, now time.Time, spec *wire.JobSpec, cells map[string]cellchoice.Cell) error {
	i.mu.Lock()
	kept := i.board.KeptByEvacuations(now, spec, cells)
	i.mu.Unlock()
	if !kept {
		return nil
	}
	if _, found, err := i.homeCell(ctx, spec.GetId()); err != nil || found {
		return nil // the insert that follows reports the state of the table
	}
	return fault.New(fault.NotRun, spec.GetId(), "the halls that could run it are evacuated", "ask again later").WithRetryAfter(evacuationRetryAfter)
}
