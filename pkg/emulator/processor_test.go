package emulator_test

import (
	"testing"

	"github.com/wrenferry/wrenferry/pkg/emulator"
)

// processorDays is how many days CI plays of each plan with slow processors.
const processorDays = 2

// Guards against leaders that leave tasks waiting beside free capacity because they take their own late reading for a full link.
func TestLeadersWithLittleProcessorTimeStartWhatHasCapacity(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.ProcessorPlan, processorDays)
}

// Guards against runs that are started again although their ends stand in answers that the leader gave up before it read them.
func TestEndsInAnswersThatWaitForTheProcessorAreNotStartedAgain(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.SlowAnswersPlan, processorDays)
}
