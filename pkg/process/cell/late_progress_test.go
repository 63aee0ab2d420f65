package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// stopsWithoutProgress returns how many stop orders a leader sends for a run that has shown progress once, and then answers the
// worker's polls as answer says: the progress in percent, or a negative number for no answer yet.
func stopsWithoutProgress(t *testing.T, answer func(since time.Duration) int) int {
	t.Helper()
	const step = 50 * time.Millisecond
	b := newEmptyCell()
	b.accept(delegatedJob, "offers", &wire.StepSpec{Count: 1, Millicores: 1000, MemoryMb: 100, EstimateMs: 5000})
	for range 10 {
		b.step(step)
	}
	task := delegatedJob + ".0.0.0"
	worker := b.workerOf[task]
	b.reports[worker].Active[0].Percent = 10
	b.step(step)
	began, stops, sentAt := b.now, 0, time.Time{}
	for b.now.Sub(began) < 3*time.Second {
		b.now, b.clock = b.now.Add(step), b.clock+step
		b.state.Take(b.now, cell.Tick{})
		b.state.Take(b.now, cell.LeadershipConfirmed{SentAt: b.now})
		if percent := answer(b.now.Sub(began)); percent >= 0 && !sentAt.IsZero() {
			b.reports[worker].Active[0].Percent = percent
			b.state.Take(b.now, cell.PollAnswered{Worker: worker, SentAt: sentAt, Report: b.report(worker)})
		}
		for _, e := range b.state.Decide(b.now, b.now) {
			switch e := e.(type) {
			case cell.SendPoll:
				if e.To.ID == worker {
					sentAt = b.now
				} else {
					b.answerPoll(e)
				}
			case cell.SendStop:
				stops++
				must.Eq(t, task, e.Stop.Task)
			}
		}
	}
	return stops
}

// Guards against healthy runs that are stopped, and healthy workers that are quarantined, because their leader reads answers late.
func TestRunIsNotStalledWhileNoAnswerTellsOfIt(t *testing.T) {
	t.Parallel()
	must.Zero(t, stopsWithoutProgress(t, func(since time.Duration) int {
		if since%(1700*time.Millisecond) == 0 {
			return 10 + int(since/(100*time.Millisecond))
		}
		return -1
	}))
}

func TestStalledRunIsStoppedByWhatAnswersTell(t *testing.T) {
	t.Parallel()
	must.Positive(t, stopsWithoutProgress(t, func(since time.Duration) int {
		if since%(500*time.Millisecond) == 0 {
			return 10
		}
		return -1
	}))
}
