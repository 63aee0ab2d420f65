package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// startsOfWideGang returns how often one leader starts a gang whose members each crash their worker 10 ms after their
// start, always beside short tasks, within two minutes. The record holds the given crashes of each member.
func startsOfWideGang(workers, members int, recorded ...*wire.CrashNote) (starts int, failure string) {
	f := newCrashFleet()
	for i := workers; i < 6; i++ {
		delete(f.workers, fmt.Sprintf("w%d", i))
	}
	id := f.accept(1, &wire.StepSpec{Count: int32(members), Millicores: 1000, EstimateMs: 500, Gang: true})
	unit := &wire.UnitProgress{}
	for i := range members {
		f.crashAfter[fmt.Sprintf("%s.0.0.%d", id, i)] = 10 * time.Millisecond
		unit.Notes = append(unit.Notes, &wire.TaskNote{Index: int32(i), Crashes: recorded})
	}
	f.rows[id] = &wire.JobProgress{Id: id, Units: []*wire.UnitProgress{unit}}
	f.newLeader()
	f.accept(2, &wire.StepSpec{Count: 3000, Millicores: 3500, EstimateMs: 500})
	for range 240 {
		f.run(500 * time.Millisecond)
		if f.failedJobs[id] != "" {
			break
		}
	}
	return len(f.starts[id+".0.0.0"]), f.failedJobs[id]
}

// Guards against a gang without a bound on its starts: it is too wide for isolated runs, so each of its crashes is in
// company, and one unobserved end among them asks for a crash without company. One leader lives through all of it.
func TestGangTooWideToIsolateIsGivenUpDespiteAnUnobservedEnd(t *testing.T) {
	t.Parallel()
	unobserved := &wire.CrashNote{Worker: "gone", Born: 1, Unseen: true, Company: 9, Lives: 1, Accused: 10}
	for name, c := range map[string]struct {
		workers, members int
		recorded         []*wire.CrashNote
	}{
		"three members, six workers, nothing recorded": {6, 3, nil}, // green: the contrast
		"three members, six workers":                   {6, 3, []*wire.CrashNote{unobserved}},
		"two members, five workers":                    {5, 2, []*wire.CrashNote{unobserved}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			starts, failure := startsOfWideGang(c.workers, c.members, c.recorded...)
			must.LessEq(t, 5, starts, must.Sprint(failure))
			must.StrContains(t, failure, "workers that ran it")
		})
	}
}
