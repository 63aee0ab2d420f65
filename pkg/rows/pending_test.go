package rows_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// A job with a row for another reason than a start counted as begun.
func TestJobsAreCountedUntilARowSaysThatTheyHaveBegun(t *testing.T) {
	t.Parallel()
	const queued, completed = wire.JobPhase_JOB_PHASE_QUEUED, wire.JobPhase_JOB_PHASE_COMPLETED
	var specs, progress []table.Row
	spec := func(id string, s *wire.JobSpec) { specs = append(specs, rows.Row(rows.SpecKey("hall", id), s)) }
	recorded := func(id string, p *wire.JobProgress) {
		p.Id = id
		progress = append(progress, rows.ProgressRows("hall", p)...)
	}
	spec("no row", &wire.JobSpec{Queue: "a"})
	spec("delegated", &wire.JobSpec{Queue: "a"})
	recorded("delegated", &wire.JobProgress{Phase: queued, Units: []*wire.UnitProgress{{Notes: []*wire.TaskNote{{LentTo: "other"}}}}})
	spec("of another queue", &wire.JobSpec{Queue: "b"})
	spec("begun", &wire.JobSpec{Queue: "a"})
	recorded("begun", &wire.JobProgress{Phase: queued, Begun: true})
	spec("done in part", &wire.JobSpec{Queue: "a"})
	recorded("done in part", &wire.JobProgress{Phase: queued, Units: []*wire.UnitProgress{{Done: []byte{1}}}})
	recorded("ended", &wire.JobProgress{Phase: completed})
	spec("of another cell", &wire.JobSpec{Queue: "a", Home: "other", Guest: []*wire.TaskRef{{}}})
	spec("of another cell, returned", &wire.JobSpec{Queue: "a", Home: "other"})
	specs = append(specs, table.Row{Key: rows.SpecKey("hall", "damaged"), Value: []byte("damaged")})
	for _, begun := range []bool{false, true} {
		for _, complete := range []bool{false, true} {
			id := fmt.Sprintf("large %v %v", begun, complete)
			spec(id, &wire.JobSpec{Queue: "a"})
			whole := rows.ProgressRows("hall", delegatedElsewhere(id, begun))
			must.Greater(t, 1, len(whole))
			if !complete {
				whole = whole[:1]
			}
			progress = append(progress, whole...)
		}
	}
	counts := map[string]int{}
	rows.AddPending(counts, specs, progress)
	must.Eq(t, map[string]int{"a": 4, "b": 1}, counts)
}

// delegatedElsewhere returns the progress of a job of so many delegated tasks that it takes several rows.
func delegatedElsewhere(id string, begun bool) *wire.JobProgress {
	p := progressOf(10_000)
	p.Id, p.Phase, p.Home, p.Begun = id, wire.JobPhase_JOB_PHASE_QUEUED, "", begun
	for _, n := range p.GetUnits()[0].GetNotes() {
		n.LentTo, n.Checkpoint = n.GetCheckpoint(), ""
	}
	return p
}
