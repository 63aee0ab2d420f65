package intake

import (
	"context"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/request/admission"
	"github.com/wrenferry/wrenferry/pkg/request/cellchoice"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// anchorTimeout bounds the reading of the row that shows whether the table holds a job. A refusal is of use only if it
// comes at once, and the insert that follows otherwise needs the rest of the caller's time.
const anchorTimeout = 300 * time.Millisecond

// WithLateRefusal sets the source of the treatment of jobs that would surely be too late: admission.Off, Log or On.
func WithLateRefusal(treatment func() string) Option {
	return func(i *Intake) { i.refuseLate = treatment }
}

// refuseIfLate returns a NotRun fault for a new job that would surely be too late in each cell that could take it. A job
// that the table holds, or may hold, is not refused. Of the cells, it marks those where the job would be too late.
func (i *Intake) refuseIfLate(ctx context.Context, now time.Time, q manifest.Queue, spec *wire.JobSpec, cells map[string]cellchoice.Cell) error {
	treatment := i.refuseLate()
	if treatment != admission.On && treatment != admission.Log {
		return nil
	}
	job, ok := admission.NewJob(q, spec)
	if !ok {
		return nil
	}
	d := i.decideAdmission(now, job, spec, cells)
	if treatment == admission.Log {
		if d.Refuse {
			i.increment("refused.late-logged")
			i.logJob("job-refusal-logged", spec, now, d.Why, nil)
		}
		return nil
	}
	for name := range d.Refusing {
		c := cells[name]
		c.Refuses = true
		cells[name] = c
	}
	if !d.Refuse || i.outcomes.open(spec.GetId()) || i.mayBeHeld(ctx, spec.GetId()) {
		return nil
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return fault.New(fault.NotRun, spec.GetId(), d.Why, "ask again later").WithRetryAfter(i.admission.TakeSlot(now, d))
}

// decideAdmission decides on a job by the forecasts of the cells that could take it.
func (i *Intake) decideAdmission(now time.Time, job admission.Job, spec *wire.JobSpec, cells map[string]cellchoice.Cell) admission.Decision {
	i.mu.Lock()
	defer i.mu.Unlock()
	var takers []admission.Cell
	for _, name := range i.board.Takers(now, spec, cells) {
		load, age := i.board.Load(now, name)
		takers = append(takers, admission.Cell{Name: name, Load: load, Age: age})
	}
	return i.admission.Decide(job, takers)
}

// mayBeHeld reports whether the table holds a job, or can't say so in time.
func (i *Intake) mayBeHeld(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, anchorTimeout)
	defer cancel()
	_, found, err := i.homeCell(ctx, id)
	return err != nil || found
}

// insertTracked inserts a job, and keeps its id while the outcome is unknown: the transaction may still take effect, so
// that a missing row does not prove that the job won't run. Only a row that is there settles such a doubt.
func (i *Intake) insertTracked(ctx context.Context, now time.Time, spec *wire.JobSpec) error {
	i.outcomes.callBegins(spec.GetId())
	err := i.insert(ctx, now, spec)
	i.outcomes.callEnded(spec.GetId(), err != nil && fault.CodeOf(err) != fault.NotRun)
	if err == nil {
		i.outcomes.settle(spec.GetId())
	}
	return err
}
