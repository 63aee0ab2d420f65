package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// slowPolls drives a cell of which one worker's polls are answered only when a test says so.
type slowPolls struct {
	*testCell
	worker string
	sentAt time.Time
}

// step advances the clocks, answers the worker's outstanding poll if answer is set, and lets the State decide. It returns the
// other effects, which have no outcome.
func (b *slowPolls) step(span time.Duration, answer bool) []cell.Effect {
	b.now, b.clock = b.now.Add(span), b.clock+span
	b.state.Take(b.now, cell.Tick{})
	b.state.Take(b.now, cell.LeadershipConfirmed{SentAt: b.now})
	if answer && !b.sentAt.IsZero() {
		b.state.Take(b.now, cell.PollAnswered{Worker: b.worker, SentAt: b.sentAt, Report: b.report(b.worker)})
	}
	var others []cell.Effect
	for _, e := range b.state.Decide(b.now, b.now) {
		poll, ok := e.(cell.SendPoll)
		switch {
		case !ok:
			others = append(others, e)
		case poll.To.ID == b.worker:
			b.sentAt = b.now
		default:
			b.answerPoll(poll)
		}
	}
	return others
}

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
	worker := b.workerOf[delegatedJob+".0.0.0"]
	b.reports[worker].Active[0].Percent = 10
	b.step(step)
	slow, began, stops := &slowPolls{testCell: b, worker: worker}, b.now, 0
	for b.now.Sub(began) < 3*time.Second {
		percent := answer(b.now.Add(step).Sub(began))
		if percent >= 0 {
			b.reports[worker].Active[0].Percent = percent
		}
		for _, e := range slow.step(step, percent >= 0) {
			if _, stop := e.(cell.SendStop); stop {
				stops++
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
