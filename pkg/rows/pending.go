package rows

import (
	"strings"

	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// AddPending adds the jobs of a part of a cell's tables of which no task is known to have begun to the counts of their queues.
// Some of them may have begun: a start alone is not recorded. Jobs of delegated tasks are left out, as their home cell counts
// them, and so are jobs that can't be read, which the cell's leader reports.
func AddPending(counts map[string]int, specs, progress []table.Row) {
	waiting := map[string]*wire.JobSpec{}
	for _, r := range specs {
		spec := &wire.JobSpec{}
		if Read(r, spec) == nil && len(spec.GetGuest()) == 0 && spec.GetHome() == "" {
			waiting[r.Key.Key] = spec
		}
	}
	var recorded []table.Row
	for _, r := range progress {
		if id, _, _ := strings.Cut(r.Key.Key, pieceSeparator); waiting[id] != nil { // the table keeps the progress of ended jobs, too
			recorded = append(recorded, r)
		}
	}
	for _, p := range ReadProgress(recorded) {
		if p.HasBegun() {
			delete(waiting, p.First.Key.Key)
		}
	}
	for _, spec := range waiting {
		counts[spec.GetQueue()]++
	}
}

// HasBegun returns whether a task of the job is known to have begun. Where pieces of the progress are missing, only its first
// row tells.
func (p Progress) HasBegun() bool {
	if p.Err == nil {
		return p.JobProgress.HasBegun()
	}
	first := &wire.JobProgress{}
	return Read(p.First, first) == nil && first.HasBegun()
}
