package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Guards against a cancel's row that stays for ever: the record of the job's end takes effect without an answer, the cancel is
// written again, and the transaction that is to remove it finds the same progress in the table.
func TestCancelRepeatedBeforeTheRecordIsAnsweredIsRemoved(t *testing.T) {
	t.Parallel()
	c := newRecordedCell(t, recordedSpec())
	c.cancel()
	c.unanswered = 1
	again := false
	c.write(func() {
		if !again {
			again = true
			c.cancel()
		}
	})
	c.writeFor(5)
	must.False(t, c.table.holds(rows.CancelKey("hall", recordedJob)))
	must.Eq(t, 3, c.transactions) // the second one finds the row's version
	phase, _ := c.state.Phase(recordedJob)
	must.Eq(t, wire.JobPhase_JOB_PHASE_CANCELLED, phase)
	c.writeFor(int(2 * recordedRetention / time.Second))
	must.MapEmpty(t, c.table.rows)
}

// Guards against tasks of a cancelled job that start once its retention is over: a late transaction of the home cell puts the
// specification again that the record of the job's end removed.
func TestSpecOfAnEndedDelegatedJobThatIsWrittenAgainIsRemoved(t *testing.T) {
	t.Parallel()
	spec := recordedSpec()
	spec.Home, spec.Guest = "home", []*wire.TaskRef{{Lending: 1}}
	c := newRecordedCell(t, spec)
	c.cancel()
	c.unanswered = 1
	again := false
	c.write(func() {
		if !again {
			again = true
			c.accept(spec)
			c.cancel()
		}
	})
	c.writeFor(5)
	must.False(t, c.table.holds(rows.SpecKey("hall", recordedJob)))
	c.writeFor(int(2 * recordedRetention / time.Second))
	must.MapEmpty(t, c.table.rows)
}

// Guards against a transaction that puts and removes the same row, of which the table may carry out either: a cancel comes as the
// retention of its ended job is over.
func TestCancelOfAJobThatExpiresIsRemoved(t *testing.T) {
	t.Parallel()
	c := newRecordedCell(t, recordedSpec())
	c.cancel()
	c.write(nil)
	c.now = c.now.Add(2 * recordedRetention)
	c.cancel()
	c.writeFor(5)
	must.MapEmpty(t, c.table.rows)
}

// The same while the record of an earlier cancel of the job has no answer yet.
func TestJobThatExpiresWhileItsRecordIsUnansweredIsRemoved(t *testing.T) {
	t.Parallel()
	c := newRecordedCell(t, recordedSpec())
	c.cancel()
	c.write(nil)
	c.cancel()
	c.unanswered = 1
	expired := false
	c.now = c.now.Add(recordedRetention)
	c.write(func() {
		if !expired {
			expired = true
			c.now = c.now.Add(recordedRetention)
			c.state.Take(c.now, cell.Tick{})
			c.state.Decide(c.now, c.now)
			c.cancel()
		}
	})
	c.writeFor(int(2 * recordedRetention / time.Second))
	must.MapEmpty(t, c.table.rows)
}

// Guards against a new job whose record is not written: the removal of the expired job that had the id before has no answer, and is
// sent again together with that record.
func TestExpiryWithoutAnAnswerSparesANewJobOfItsID(t *testing.T) {
	t.Parallel()
	c := newRecordedCell(t, recordedSpec())
	c.cancel()
	c.write(nil)
	c.now = c.now.Add(2 * recordedRetention)
	c.unanswered = 1
	accepted := false
	c.write(func() {
		if !accepted {
			accepted = true
			must.MapEmpty(t, c.table.rows)
			c.accept(recordedSpec())
			c.cancel() // has the leader record the new job's progress
		}
	})
	c.writeFor(5)
	must.True(t, c.table.holds(rows.AnchorKey(recordedJob)))
	must.True(t, c.table.holds(rows.ProgressKey("hall", recordedJob)))
	must.False(t, c.table.holds(rows.CancelKey("hall", recordedJob)))
}
