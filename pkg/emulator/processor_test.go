package emulator_test

import (
	"testing"

	"github.com/wrenferry/wrenferry/pkg/emulator"
)

// processorDays and slowAnswerDays are how many days CI plays of the plans with slow processors. Of the latter, the last breaks
// the rule without the extension of time-outs.
const processorDays, slowAnswerDays = 2, 5

// Guards against leaders that leave tasks waiting beside free capacity because they decide anew on each message.
func TestLeadersWithLittleProcessorTimeStartWhatHasCapacity(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.ProcessorPlan, processorDays)
}

// Guards against runs that are started again although their ends stand in answers that the leader gave up before it read them.
func TestEndsInAnswersThatWaitForTheProcessorAreNotStartedAgain(t *testing.T) {
	t.Parallel()
	playSomeDays(t, emulator.SlowAnswersPlan, slowAnswerDays)
}
