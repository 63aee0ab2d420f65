package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// pollAfterEnd returns the time from an answer that lists the end of a run to the next poll of its worker, and how many
// transactions were sent within the second after it. With held, so many orders to start have no answer that more are
// held back.
func pollAfterEnd(t *testing.T, held bool, options ...cell.Option) (pause time.Duration, transactions int) {
	t.Helper()
	const busyFor, width = time.Second, 48
	b := newEmptyCell(options...)
	b.accept(delegatedJob, "offers", &wire.StepSpec{Count: width, Millicores: 1000, MemoryMb: 100, EstimateMs: 1000})
	for range 10 {
		b.step(20 * time.Millisecond)
	}
	b.heldStarts = held
	for i := range 20 {
		b.accept(fmt.Sprintf("%016x", i), "offers", &wire.StepSpec{Count: 8, Millicores: 100, MemoryMb: 100, EstimateMs: 1000})
	}
	for range 25 {
		b.step(20 * time.Millisecond)
	}
	task := delegatedJob + ".0.0.0"
	b.finish(task, workers.EndedDone)
	b.step(20 * time.Millisecond) // the end is listed
	listedAt, before := b.now, len(b.records)
	for b.now.Sub(listedAt) < busyFor {
		b.now, b.clock = b.now.Add(10*time.Millisecond), b.clock+10*time.Millisecond
		b.state.Take(b.now, cell.Tick{})
		b.state.Take(b.now, cell.LeadershipConfirmed{SentAt: b.now})
		for _, e := range b.state.Decide(b.now, b.now) {
			switch e := e.(type) {
			case cell.SendPoll:
				if e.To.ID == b.workerOf[task] && pause == 0 {
					pause = b.now.Sub(listedAt)
				}
			case cell.WriteProgress:
				b.records = append(b.records, e)
				b.version++
				b.state.Take(b.now, cell.WriteAnswered{Part: e.Part, Serial: e.Serial, Committed: table.CommitResult{Version: b.version}})
			}
		}
	}
	return pause, len(b.records) - before
}

// A weak host's processor was full of polls and records, while the orders to start that it held back waited for it.
func TestPollsYieldToHeldStarts(t *testing.T) {
	t.Parallel()
	usual, _ := pollAfterEnd(t, true, cell.WithoutMechanisms(cell.YieldToStarts))
	yielding, _ := pollAfterEnd(t, true)
	must.Between(t, 10*time.Millisecond, usual, 200*time.Millisecond)
	must.Between(t, 500*time.Millisecond, yielding, time.Second)
}

func TestPollsDoNotYieldWithoutHeldStarts(t *testing.T) {
	t.Parallel()
	usual, writes := pollAfterEnd(t, false, cell.WithoutMechanisms(cell.YieldToStarts))
	shipped, shippedWrites := pollAfterEnd(t, false)
	must.Eq(t, usual, shipped)
	must.Eq(t, writes, shippedWrites)
}

// overTargetPollPause returns the longest pause before a poll of a worker at which fillers end one after the other beside a
// serving task with the given tail latency in ms, while start orders are held back.
func overTargetPollPause(t *testing.T, tail int64) time.Duration {
	t.Helper()
	b, free := newCellWithOneFreeWorker(t)
	b.accept("00000000000000bb", "watches", &wire.StepSpec{Count: 1, Millicores: 8000, MemoryMb: 1000, Lasting: true, TailTargetMs: 100, Image: "s1"})
	b.accept("00000000000000cc", "offers", &wire.StepSpec{Count: 6, Millicores: 1000, MemoryMb: 1000, Filler: true, EstimateMs: 3000, Image: "f1"})
	for range 10 {
		b.step(20 * time.Millisecond)
	}
	must.Eq(t, free, b.workerOf["00000000000000bb.0.0.0"])
	b.heldStarts = true
	for i := range 30 {
		b.accept(fmt.Sprintf("%016x", 0xd000+i), "offers", &wire.StepSpec{Count: 8, Millicores: 100, MemoryMb: 100, EstimateMs: 3000, Filler: true, Image: "f2"})
	}
	last, longest := time.Time{}, time.Duration(0)
	for i := range 150 {
		if i%10 == 0 && i < 60 {
			b.finish(fmt.Sprintf("00000000000000cc.0.0.%d", i/10), workers.EndedDone)
		}
		for k := range b.reports[free].Active {
			if a := &b.reports[free].Active[k]; a.Task == "00000000000000bb.0.0.0" {
				a.Percent, a.Reading = 100, tail
			}
		}
		b.step(20 * time.Millisecond)
		for _, l := range b.polls {
			if l.To.ID != free {
				continue
			}
			if i > 40 && !last.IsZero() {
				longest = max(longest, b.now.Sub(last))
			}
			last = b.now
		}
	}
	return longest
}

// Guards against fillers that go on beside a serving task over its target because the polls that show it yield.
func TestPollsDoNotYieldWhereAServingTaskIsOverItsTarget(t *testing.T) {
	t.Parallel()
	must.Greater(t, 500*time.Millisecond, overTargetPollPause(t, 40))
	must.LessEq(t, 300*time.Millisecond, overTargetPollPause(t, 140))
}
