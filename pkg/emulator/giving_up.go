package emulator

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Callers that give up: they cancel a job at any host without having got an answer to its submission, which the table may
// carry out seconds later. Some submit the id again.

const (
	// givenUpFirstID is the number of the first job whose caller gives up.
	givenUpFirstID = 0x400000
	// tombstoneLifetime is how long a tombstone stands on these days. It is longer than a suspended host and the table together
	// delay an insertion.
	tombstoneLifetime = 25 * time.Second
	// cancelRetryInterval is the time after which a caller without an answer to its cancel sends it again.
	cancelRetryInterval = 1500 * time.Millisecond
)

// GivingUp configures callers that give up. The zero value means that there are none.
type GivingUp struct {
	// Callers is their number, Spells the number of spells in which the table loses answers and carries transactions out late.
	Callers, Spells int
	// NoTombstones removes the fence that keeps late insertions out: a cancel that finds no job only answers so.
	NoTombstones bool
}

// GiveUp is what a caller does that has no answer to its submission for the time After: it cancels the job, and submits it
// again after the time Again if that is not 0.
type GiveUp struct{ After, Again time.Duration }

// GivingUpPlan returns the plan of a day of two cells on which callers give up while the table loses answers, beside a
// few other faults. On every third day hosts are suspended, or leaders are deposed.
func GivingUpPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Hosts, plan.Jobs, plan.Faults, plan.Touch = 5, 24, 3, true
	plan.GivingUp, plan.CancelChanges = GivingUp{Callers: 30, Spells: 3}, true
	switch seed % 3 {
	case 1:
		plan.Suspends = 3
	case 2:
		plan.Deposed = 2
	}
	return plan
}

// retention returns for how long leaders keep the rows of ended jobs. On days of CancelChanges these expire before the day ends.
func (p Plan) retention() time.Duration {
	if p.CancelChanges {
		return tombstoneLifetime
	}
	return 2 * time.Minute
}

// planGivingUp plans the callers that give up. Most of them submit their jobs while the table loses answers.
func (w *World) planGivingUp() {
	p := w.plan.GivingUp
	if p.Callers == 0 {
		return
	}
	var spells []Fault
	for range p.Spells {
		f := Fault{At: w.between(2*time.Second, w.plan.Traffic), Kind: TableLoses, For: w.between(time.Second, 4500*time.Millisecond)}
		spells = append(spells, f)
		w.after(f.At, func() { w.injectFault(f) })
	}
	for i := range p.Callers {
		j := ScriptJob{At: w.between(2*time.Second, w.plan.Traffic), Spec: JobSpec{w.newJob(fmt.Sprintf("%016x", givenUpFirstID+i))}}
		if w.rand.IntN(4) > 0 && len(spells) > 0 {
			spell := spells[w.rand.IntN(len(spells))]
			j.At = spell.At + w.between(0, spell.For)
		}
		j.GiveUp = &GiveUp{After: w.between(20*time.Millisecond, 3*time.Second)}
		if w.rand.IntN(3) == 0 {
			j.GiveUp.Again = w.between(50*time.Millisecond, 2*time.Second)
		}
		w.scheduleJob(j)
	}
}

// giveUp ends a caller's submission. A caller that knows of its job's acceptance cancels the job as any other one.
func (w *World) giveUp(spec *wire.JobSpec, g GiveUp) {
	id := spec.GetId()
	if w.checker.isAccepted(id) {
		w.cancelUntilAccepted(id)
		return
	}
	w.gaveUp[id] = true
	w.logf("the caller of %s gives up", id)
	w.cancelGivenUp(spec, g)
}

// cancelGivenUp cancels the job of a caller that has given up at some host, again and again until the cancel is acknowledged.
func (w *World) cancelGivenUp(spec *wire.JobSpec, g GiveUp) {
	id := spec.GetId()
	if w.checker.isCancelled(id) {
		return
	}
	h := w.entryHostFor(id)
	w.checker.cancelSentTo(h, id)
	h.cancelAny(id, func(found, ok bool) {
		if !ok || w.checker.isCancelled(id) {
			return
		}
		w.logf("the cancel of %s is acknowledged, found: %t", id, found)
		w.checker.cancelled(id)
		if !found {
			w.checker.answeredNoJob(id)
		}
		if g.Again > 0 {
			w.after(g.Again, func() { w.submitAgain(spec) })
		}
	})
	w.after(cancelRetryInterval, func() { w.cancelGivenUp(spec, g) })
}

// submitAgain submits a job whose cancel was acknowledged.
func (w *World) submitAgain(spec *wire.JobSpec) {
	w.entryHostFor(spec.GetId()).submit(spec, func(taken bool) {
		if taken {
			w.checker.acceptedAfterCancel(spec.GetId())
		}
	})
}

// answeredNoJob takes note that a caller was told that the job which it cancels does not exist.
func (c *checker) answeredNoJob(id string) {
	c.noJob[id] = true
	if row, held := c.world.table.rows[rows.SpecKey(c.world.jobs[id].GetCell(), id)]; held && row.Version > 0 {
		c.breakRule("MIXED", "the cancel of %s finds no job, and the table holds it", id)
	}
}

// acceptedAfterCancel breaks the rule MIXED if a job is accepted whose cancel found none.
func (c *checker) acceptedAfterCancel(id string) {
	if c.noJob[id] {
		c.breakRule("MIXED", "%s is accepted after its cancel found no job", id)
	}
}

// checkInsertion breaks the rule MIXED if a job comes to be after its cancel found none.
func (c *checker) checkInsertion(r table.Row) {
	if c.noJob[r.Key.Key] && r.Table == rows.SpecTable(c.world.jobs[r.Key.Key].GetCell()) {
		c.breakRule("MIXED", "%s is inserted after its cancel found no job", r.Key.Key)
	}
}

// removeTombstones removes tombstones whose time is over.
func (h *seat) removeTombstones() {
	tx, ok := h.tombstones.Removal(h.storeTime(), h.cell)
	if !ok {
		return
	}
	h.commit(tx, func(c table.CommitResult, ok bool) {
		if ok {
			h.tombstones.Removed(tx, c)
		}
	})
}

// Tombstones returns the number of rows that tombstones have in the table.
func (w *World) Tombstones() (count int) {
	for key, r := range w.table.rows {
		anchor, ref := &wire.JobAnchor{}, &wire.JobRef{}
		if key.Table == rows.AnchorTable && rows.Read(r, anchor) == nil && anchor.GetTombstoneUntilStoreMs() > 0 {
			count++
		}
		for _, name := range w.cells {
			if key.Table == rows.CancelTable(name) && !rows.IsReturn(key) && rows.Read(r, ref) == nil && ref.GetTombstoneUntilStoreMs() > 0 {
				count++
			}
		}
	}
	return count
}
