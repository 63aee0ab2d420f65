package cell_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// waitingPolls is a crashFleet whose workers answer a poll when its wait is over or a run has ended. A crash breaks the
// connection, which fails the poll at once; at a worker that is cut off, a poll fails when its timeout is over.
type waitingPolls struct {
	*crashFleet
	polls  map[string]waitingPoll
	cutOff map[string]bool
}

type waitingPoll struct {
	cell.SendPoll
	sentAt time.Time
}

// step runs for crashStep.
func (f *waitingPolls) step() {
	f.now = f.now.Add(crashStep)
	for _, w := range f.sorted() {
		f.stepWorker(w)
	}
	f.state.Take(f.now, cell.Tick{})
	f.state.Take(f.now, cell.LeadershipConfirmed{SentAt: f.now})
	for _, w := range f.sorted() {
		if p, waits := f.polls[w.id]; waits && f.pollDue(w, p) {
			delete(f.polls, w.id)
			f.answerWaiting(w, p)
		}
	}
	for _, e := range f.state.Decide(f.now, f.now) {
		if p, ok := e.(cell.SendPoll); ok {
			f.polls[p.To.ID] = waitingPoll{p, f.now}
			continue
		}
		f.answer(e)
	}
}

func (f *waitingPolls) pollDue(w *fleetWorker, p waitingPoll) bool {
	waited := f.now.Sub(p.sentAt)
	if f.cutOff[w.id] {
		return waited >= p.Timeout
	}
	return w.down || waited >= p.Poll.Wait || len(w.unreadEnds) > 0
}

func (f *waitingPolls) answerWaiting(w *fleetWorker, p waitingPoll) {
	answer := cell.PollAnswered{Worker: w.id, SentAt: p.sentAt}
	if w.down || f.cutOff[w.id] {
		answer.Err = fault.New(fault.Unknown, w.id, "EOF", "")
		f.state.Take(f.now, answer)
		return
	}
	w.unreadEnds = slices.DeleteFunc(w.unreadEnds, func(end workers.End) bool { return p.To.Born == w.born && end.Number <= p.Poll.Recorded })
	answer.Report = workers.Report{Born: w.born, Clock: w.clockOffset + f.now.Sub(time.Unix(1000, 0)), Ended: slices.Clone(w.unreadEnds)}
	for task, r := range w.runs {
		answer.Report.Active = append(answer.Report.Active, workers.Active{Task: task, Run: r.number, Percent: int(f.now.Sub(r.beganAt) / crashStep)})
	}
	f.state.Take(f.now, answer)
}

// newIsolatedStart returns a cell in which a task that crashed two workers soon after its start is to run isolated. It
// crashes the third one after the given time.
func newIsolatedStart(crashAfter time.Duration) (f *waitingPolls, id string) {
	f = &waitingPolls{newCrashFleet(), map[string]waitingPoll{}, map[string]bool{}}
	id = f.accept(1, oneTask())
	f.crashAfter[id+".0.0.0"] = crashAfter
	began := func(worker string) *wire.CrashNote {
		return &wire.CrashNote{Worker: worker, Run: 1, Host: worker, Born: 1, Began: true, Lives: 1, Company: 3}
	}
	f.rows[id] = &wire.JobProgress{Id: id, Units: []*wire.UnitProgress{{Notes: []*wire.TaskNote{{Crashes: []*wire.CrashNote{began("a"), began("b")}}}}}}
	f.newLeader()
	return f, id
}

// stepUntilStart runs until the task of a job has started.
func (f *waitingPolls) stepUntilStart(t *testing.T, id string) string {
	t.Helper()
	for range 3000 {
		f.step()
		if starts := f.starts[id+".0.0.0"]; len(starts) > 0 {
			return starts[0]
		}
	}
	t.Fatal("no start")
	return ""
}

// Guards against an isolated run's crash that counts as part of an outage though another worker's broken connection
// was noticed half a second earlier: a connection that breaks while a poll waits shows the time of the crash.
func TestBrokenConnectionsHalfASecondApartAreNotSimultaneous(t *testing.T) {
	t.Parallel()
	for name, crashes := range map[string]bool{"no other crash": false, "another crash": true} { // the first is green
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, id := newIsolatedStart(510 * time.Millisecond)
			ran := f.stepUntilStart(t, id)
			f.step()
			if other := f.workers["w5"]; crashes {
				must.NotEq(t, ran, other.id)
				f.crashWorker(other, restartDelay)
			}
			for range 200 {
				f.step()
				if crashes := f.state.Suspects()[0].Crashes; len(crashes) == 3 {
					must.Eq(t, 1, crashes[2].Lives)
					must.False(t, crashes[2].Outside)
					return
				}
			}
			t.Fatal("no third crash")
		})
	}
}
