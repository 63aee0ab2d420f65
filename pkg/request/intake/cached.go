package intake

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// What is cached of a job counts for the retention. The rows of an ended job are removed after it, and the id may then come into
// use again.

// cachedCell is the home cell of a job that the table held at a time.
type cachedCell struct {
	cell string
	at   time.Time
}

// cacheCell caches the home cell of a job that the table holds.
func (i *Intake) cacheCell(id, cell string) {
	i.homeCells.Add(id, cachedCell{cell: cell, at: clock.Now()})
}

// knownCell returns the cached home cell of a job.
func (i *Intake) knownCell(id string) (cell string, known bool) {
	cached, ok := i.homeCells.Get(id)
	if !ok || clock.Now().Sub(cached.at) > i.retention {
		return "", false
	}
	return cached.cell, true
}

// cachedPhase is the final phase of a job that the table held at a time.
type cachedPhase struct {
	phase wire.JobPhase
	at    time.Time
}

// cacheFinalPhase caches the final phase of a job.
func (i *Intake) cacheFinalPhase(id string, phase wire.JobPhase) {
	i.finalPhases.Add(id, cachedPhase{phase: phase, at: clock.Now()})
}

// knownFinalPhase returns the cached final phase of a job.
func (i *Intake) knownFinalPhase(id string) (phase wire.JobPhase, known bool) {
	cached, ok := i.finalPhases.Get(id)
	if !ok || clock.Now().Sub(cached.at) > i.retention {
		return 0, false
	}
	return cached.phase, true
}
