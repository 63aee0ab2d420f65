package emulator_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/emulator"
)

// playSeeds plays the days of a plan with the given seeds and fails on broken rules.
func playSeeds(t *testing.T, plan func(seed uint64) emulator.Plan, list ...uint64) {
	t.Helper()
	for _, seed := range list {
		_, broken := emulator.Play(plan(seed))
		must.SliceEmpty(t, broken, must.Sprintf("seed %d", seed))
	}
}

// During an outage of the table another host took over the cell. Its predecessor did not know that yet, was
// notified of a job and started it on workers that the successor had not reached yet. The successor had read the
// table just before the job was written, found runs of an unknown job, had them stopped, and started the job's
// tasks itself on the same workers. On a recorded day under load:
//
//	36.436 s to 37.338 s  ...0.1.15 run 1002332, started by the predecessor: stopped
//	36.538 s to 36.914 s  ...0.1.15 run 2000002 at the same worker, started by the successor: done
//
// Orphaned runs and ends are kept until the table has been read again. The same must hold for known jobs with
// unknown later occurrences: one that falls due a moment later here, or is delegated to the cell. Otherwise a
// good end is forgotten before its occurrence exists (seeds 612, 1365, 1675) or not claimed when it does
// (1201).
func TestNoRuleBreaksBesideDeposedLeaders(t *testing.T) {
	t.Parallel()
	playSeeds(t, emulator.DeposedPlan, 612, 1201, 1365, 1675)
	playSomeDays(t, emulator.DeposedPlan, troubledDays)
}

// A hall was cut off together with the leader of its cell. Jobs of that cell were cancelled meanwhile. The
// cancels stood in the table, but another hall with tasks delegated from these jobs learns of a cancel only
// from the leader of the home cell. Its hosts, with no fault of their own, went on to start the tasks more than
// five seconds after the acknowledgement, until that leader was back. This happened on each of two recorded
// days on which a hall was cut off from 33.5 s to 38.7 s; on one of them:
//
//	34.339 s  the cancel is acknowledged
//	40.146 s to 40.874 s  ...0.1.9 run 6000479, started in another hall: stopped
//
// Notifying the leaders of all cells does not suffice: a notification may not arrive, or is lost with the
// leader that took it (seeds 25, 42, 275, 506, 940, 1155).
func TestNoRuleBreaksWhenAHallIsCutOff(t *testing.T) {
	t.Parallel()
	playSeeds(t, emulator.HallCutPlan, 25, 42, 275, 506, 940, 1155)
	playSomeDays(t, emulator.HallCutPlan, troubledDays)
}
