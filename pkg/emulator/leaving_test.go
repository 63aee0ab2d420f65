package emulator_test

import (
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/emulator"
)

// Guards against lasting tasks that stay stopped: a new leader waits for a worker that left under its predecessor, while
// other leaving workers stop their tasks.
func TestLastingTaskRestartsInTimeAfterSuccessiveReleases(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.ReleasePlan, usualLeavingDays)
}

// Leaders and hosts fail shortly before workers leave, and tasks are suspected of crashes.
func TestLastingTaskRestartsWhenWorkersLeaveAfterFaults(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.LeavingTroublePlan, usualLeavingDays)
}

// usualLeavingDays is the number of days that CI plays of each of these plans. These days are the longest, and CI has no
// time for more.
const usualLeavingDays = 40

// takeoverDays is the number of days that CI plays of LeavingTakeoverPlan.
const takeoverDays = 24

// Guards against lasting tasks that stay stopped: the leader ends around the time at which a worker of its cell leaves, its
// successor waits for the worker's lease, and after that the worker with capacity is reserved for an isolated run.
func TestLastingTaskRestartsWhenALeaderEndsAsAWorkerLeaves(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.LeavingTakeoverPlan, takeoverDays)
}

// Guards against days on which no leader ends soon after a worker has begun to leave, or no successor waits for the lease
// of a worker that has ended.
func TestDaysOfTakeoversHaveALeaderEndAfterAnAnnouncement(t *testing.T) {
	t.Parallel()
	const days = 8
	ends, waits := 0, 0
	for seed := range uint64(days) {
		w, _ := emulator.Play(emulator.LeavingTakeoverPlan(seed))
		if hasLeaderEndAfterLeave(t, w.Log) {
			ends++
		}
		if notHeard.MatchString(strings.Join(w.Log, "\n")) {
			waits++
		}
	}
	t.Logf("%d of %d days have a leader that ends after an announcement, %d a worker that is not heard", ends, days, waits)
	must.GreaterEq(t, days*3/4, ends)
	must.GreaterEq(t, days/4, waits)
}

// notHeard matches the settlement of a cell without one of its workers.
var notHeard = regexp.MustCompile(`cell-settled .* [1-9][0-9]* workers not heard`)

// maxLeaderEndDelay is the longest time from an announcement to a leader's end that counts as soon.
const maxLeaderEndDelay = 3 * time.Second

// hasLeaderEndAfterLeave returns whether a fault that ends a leader follows soon after a worker has begun to leave.
func hasLeaderEndAfterLeave(t *testing.T, log []string) bool {
	t.Helper()
	left := -time.Hour
	for _, line := range log {
		fields := strings.Fields(line)
		if len(fields) < 3 || fields[1] != "FAULT" {
			continue
		}
		seconds, err := strconv.ParseFloat(fields[0], 64)
		must.NoError(t, err)
		at := time.Duration(seconds * float64(time.Second))
		switch emulator.FaultKind(fields[2]) {
		case emulator.LeaveWorker:
			left = at
		case emulator.KillHost, emulator.FreezeHost, emulator.SuspendHost, emulator.CutLink, emulator.TableDown:
			if at-left <= maxLeaderEndDelay {
				return true
			}
		}
	}
	return false
}

// Workers leave in all ways, without faults.
func TestLastingTaskRestartsWhenWorkersLeave(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.LeavingPlan, usualLeavingDays)
}

func TestSameSeedGivesSameDayWithLeavingWorkers(t *testing.T) {
	t.Parallel()
	a, _ := emulator.Play(emulator.LeavingTroublePlan(3))
	b, _ := emulator.Play(emulator.LeavingTroublePlan(3))
	must.Eq(t, a.Log, b.Log)
}
