package emulator_test

import (
	"testing"

	"github.com/wrenferry/wrenferry/pkg/emulator"
)

// adviceDays is the number of days that CI plays of AdvicePlan.
const adviceDays = 6

// Guards against tasks and gangs that wait to the end of the day in a cell none of whose workers the advice service approves.
func TestNoTaskStaysInHallWithoutAnApprovedWorker(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.AdvicePlan, adviceDays)
}
