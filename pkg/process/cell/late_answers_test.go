package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// startsOf returns how often a task was ordered to start.
func (b *testCell) startsOf(task string) int {
	n := 0
	for _, note := range b.notes {
		if note.Kind == cell.NoteStart && note.Task == task {
			n++
		}
	}
	return n
}

// newCellWithUnreadEnd returns a cell in which a task has ended well at a worker whose answers come too late, the task, and the
// poll whose answer lists its end.
func newCellWithUnreadEnd(t *testing.T) (b *testCell, task string, poll cell.PollAnswered) {
	t.Helper()
	b = newEmptyCell()
	b.accept(delegatedJob, "offers", &wire.StepSpec{Count: 1, Millicores: 1000, MemoryMb: 100, EstimateMs: 500})
	for range 5 {
		b.step(20 * time.Millisecond)
	}
	task = delegatedJob + ".0.0.0"
	must.Eq(t, 1, b.startsOf(task))
	worker := b.workerOf[task]
	b.finish(task, workers.EndedDone)
	b.silent[worker] = true
	poll = cell.PollAnswered{Worker: worker, SentAt: b.now, Report: b.report(worker), Late: true}
	b.step(700 * time.Millisecond)
	return b, task, poll
}

// Guards against a run that is started again although its end stands in an answer that came after the poll's time-out.
func TestEndInALateAnswerIsNotStartedAgain(t *testing.T) {
	t.Parallel()
	for _, late := range []bool{true, false} {
		b, task, poll := newCellWithUnreadEnd(t)
		if late {
			b.state.Take(b.now, poll)
		}
		for range 60 {
			b.step(100 * time.Millisecond)
		}
		want := 1
		if !late {
			want = 2 // its lease has run out, and nothing tells of its end
		}
		must.Eq(t, want, b.startsOf(task))
	}
}

// A late answer of a worker's earlier incarnation lists the ends of that one, with numbers of its own.
func TestEndsInALateAnswerOfAnotherIncarnationAreIgnored(t *testing.T) {
	t.Parallel()
	b, task, poll := newCellWithUnreadEnd(t)
	poll.Report.Born = 1
	b.state.Take(b.now, poll)
	for range 60 {
		b.step(100 * time.Millisecond)
	}
	must.Eq(t, 2, b.startsOf(task))
}

// An answer to a poll of an earlier leadership of this process may list ends that a later leader has recorded differently.
func TestEndsInALateAnswerToAnEarlierLeadershipAreIgnored(t *testing.T) {
	t.Parallel()
	b, task, poll := newCellWithUnreadEnd(t)
	poll.SentAt = time.Unix(999, 0)
	b.state.Take(b.now, poll)
	for range 60 {
		b.step(100 * time.Millisecond)
	}
	must.Eq(t, 2, b.startsOf(task))
}

// Guards against a run that counts as running again because an older answer lists it after a late one has listed its end.
func TestListOlderThanALateAnswerRevivesNoRun(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	b.accept(delegatedJob, "offers", &wire.StepSpec{Count: 1, Millicores: 1000, MemoryMb: 100, EstimateMs: 500})
	for range 5 {
		b.step(20 * time.Millisecond)
	}
	task := delegatedJob + ".0.0.0"
	worker := b.workerOf[task]
	slow := &slowPolls{testCell: b, worker: worker}
	slow.step(20*time.Millisecond, false)
	older := b.report(worker)
	b.clock += 100 * time.Millisecond
	b.finish(task, workers.EndedStopped)
	b.state.Take(b.now, cell.PollAnswered{Worker: worker, SentAt: b.now.Add(-time.Millisecond), Report: b.report(worker), Late: true})
	b.state.Take(b.now, cell.PollAnswered{Worker: worker, SentAt: slow.sentAt, Report: older})
	for _, n := range b.notes {
		must.NotEq(t, cell.NoteAdopted, n.Kind)
	}
	var adopted bool
	for _, e := range slow.step(20*time.Millisecond, false) {
		if n, ok := e.(cell.Note); ok {
			adopted = adopted || n.Kind == cell.NoteAdopted
		}
	}
	must.False(t, adopted)
}
