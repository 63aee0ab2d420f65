package cell_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// advisedCell is a cell of two workers with a queue whose starts need a ticket of the advice service.
type advisedCell struct {
	state *cell.State
	now   time.Time
	asked []cell.SendAdviceRequest
	sent  []cell.SendStart
	// notified are the messages to leaders of other cells.
	notified []cell.NotifyLeader
	// answered is how many calls for advice were answered by answer.
	answered int
	version  int64
}

// newAdvisedCell returns an advisedCell that is led, with two workers in its membership.
func newAdvisedCell() *advisedCell { return newAdvisedCellOf(2) }

// newAdvisedCellOf returns an advisedCell of a number of workers, w1, w2 and so on.
func newAdvisedCellOf(count int) *advisedCell {
	a := &advisedCell{now: time.Unix(1000, 0), state: cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})}
	a.state.Take(a.now, cell.ManifestChanged{Manifest: manifest.New(1, []manifest.Queue{{
		Name: "queue", Service: "pool", MaxAttempts: 2, Stretch: 2, Slack: time.Second, Advice: &manifest.Advice{Valid: 3 * time.Second},
	}}, nil, manifest.Limits{})})
	var records []workers.Record
	var ids []string
	for i := range count {
		id := fmt.Sprintf("w%d", i+1)
		ids = append(ids, id)
		records = append(records, workers.Record{
			ID: id, Service: "pool", Address: id, Hall: "hall", Ready: true, Host: id, Capacity: ledger.Size{Millicores: 8000, MemoryMB: 8000},
		})
	}
	a.state.Take(a.now, cell.WorkersListed{Records: records})
	a.state.Take(a.now, cell.LeadershipGained{Epoch: 1, LeasesEndAt: a.now})
	a.state.Take(a.now, cell.Loaded{Epoch: 1, Wall: a.now, Fences: testFences()})
	a.state.Take(a.now, cell.MembershipRecorded{IDs: ids})
	return a
}

// step lets 50 ms pass, answers polls of workers, and collects calls for advice and starts without answering them.
func (a *advisedCell) step() {
	a.now = a.now.Add(50 * time.Millisecond)
	a.state.Take(a.now, cell.Tick{})
	a.state.Take(a.now, cell.LeadershipConfirmed{SentAt: a.now})
	for _, e := range a.state.Decide(a.now, a.now) {
		switch e := e.(type) {
		case cell.SendPoll:
			a.state.Take(a.now, cell.PollAnswered{Worker: e.To.ID, SentAt: a.now, Report: workers.Report{Clock: a.now.Sub(time.Unix(0, 0))}})
		case cell.SendAdviceRequest:
			a.asked = append(a.asked, e)
		case cell.SendStart:
			a.sent = append(a.sent, e)
		case cell.NotifyLeader:
			a.notified = append(a.notified, e)
		case cell.WriteProgress:
			a.version++
			a.state.Take(a.now, cell.WriteAnswered{Part: e.Part, Serial: e.Serial, Committed: table.CommitResult{Version: a.version}})
		}
	}
}

// A start waits for the answer of the advice service, and carries the ticket of its worker.
func TestStartCarriesTicketOfItsWorker(t *testing.T) {
	t.Parallel()
	a := newAdvisedCell()
	a.state.Take(a.now, cell.JobAccepted{Spec: &wire.JobSpec{
		Id: "00000000000000aa", Queue: "queue", Service: "pool", Cell: "hall", Steps: []*wire.StepSpec{{Count: 2, Millicores: 1000}},
	}})
	for range 10 {
		a.step()
	}
	must.Len(t, 1, a.asked, must.Sprint("one call at a time"))
	must.SliceEmpty(t, a.sent)
	a.state.Take(a.now, cell.AdviceAnswered{Unit: a.asked[0].Unit, Tickets: map[string]string{"w2": "the ticket"}})
	a.step()
	must.Len(t, 2, a.sent)
	for _, s := range a.sent {
		must.Eq(t, "w2", s.To.ID)
		must.Eq(t, "the ticket", s.Start.Ticket)
	}
}

// A call of the advice service that failed is repeated.
func TestFailedAdviceCallIsRepeated(t *testing.T) {
	t.Parallel()
	a := newAdvisedCell()
	a.state.Take(a.now, cell.JobAccepted{Spec: &wire.JobSpec{
		Id: "00000000000000aa", Queue: "queue", Service: "pool", Cell: "hall", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000}},
	}})
	for range 5 {
		a.step()
	}
	must.Len(t, 1, a.asked)
	a.state.Take(a.now, cell.AdviceAnswered{Unit: a.asked[0].Unit, Err: fault.New(fault.Unavailable, "", "status 429", "")})
	for range 10 {
		a.step()
	}
	must.Len(t, 2, a.asked)
	must.SliceEmpty(t, a.sent)
}

// A ticket that has expired is not used, and a new one is requested.
func TestExpiredTicketIsNotUsed(t *testing.T) {
	t.Parallel()
	a := newAdvisedCell()
	spec := &wire.JobSpec{Id: "00000000000000aa", Queue: "queue", Service: "pool", Cell: "hall", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000}}}
	a.state.Take(a.now, cell.JobAccepted{Spec: spec})
	for range 5 {
		a.step()
	}
	a.state.Take(a.now, cell.AdviceAnswered{Unit: a.asked[0].Unit, Tickets: map[string]string{"w1": "t"}})
	a.now = a.now.Add(4 * time.Second)
	a.step()
	a.step()
	must.SliceEmpty(t, a.sent)
	must.Len(t, 2, a.asked)
}

// answer answers all calls of the advice service that were not answered yet: it approves the given workers.
func (a *advisedCell) answer(approved ...string) {
	for _, call := range a.asked[a.answered:] {
		tickets := map[string]string{}
		for _, id := range call.Workers {
			if slices.Contains(approved, id) {
				tickets[id] = "ticket for " + id
			}
		}
		a.state.Take(a.now, cell.AdviceAnswered{Unit: call.Unit, Tickets: tickets})
	}
	a.answered = len(a.asked)
}

// Guards against calls that name the same workers again and again, while another worker would be approved.
func TestAdviceIsAskedAboutOtherWorkersAfterARefusal(t *testing.T) {
	t.Parallel()
	a := newAdvisedCellOf(16)
	a.state.Take(a.now, cell.JobAccepted{Spec: &wire.JobSpec{
		Id: "00000000000000aa", Queue: "queue", Service: "pool", Cell: "hall", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000}},
	}})
	for range 40 {
		a.step()
		a.answer("w9")
	}
	must.Len(t, 1, a.sent)
	must.Eq(t, "w9", a.sent[0].To.ID)
	must.LessEq(t, 3, len(a.asked))
}

// Guards against calls that name the same workers again and again in a cell of more workers than a call names.
func TestAdviceIsAskedAboutAllWorkersOfALargeCell(t *testing.T) {
	t.Parallel()
	for _, approved := range []string{"w1", "w57", "w100"} {
		a := newAdvisedCellOf(100)
		a.state.Take(a.now, cell.JobAccepted{Spec: &wire.JobSpec{
			Id: "00000000000000aa", Queue: "queue", Service: "pool", Cell: "hall", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000}},
		}})
		for range 200 { // ten seconds
			a.step()
			a.answer(approved)
		}
		must.Len(t, 1, a.sent, must.Sprint(approved))
		must.LessEq(t, 5, len(a.asked), must.Sprint(approved))
	}
}

// Guards against tasks that wait without end in a cell none of whose workers the service approves, while other cells have
// workers that may be approved.
func TestAdvisedTaskLeavesACellWithoutAnApprovedWorker(t *testing.T) {
	t.Parallel()
	a := newAdvisedCell()
	a.state.Take(a.now, cell.JobAccepted{Spec: &wire.JobSpec{
		Id: "00000000000000aa", Queue: "queue", Service: "pool", Cell: "hall", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000}},
	}})
	other := newAdvisedCell()
	for range 120 {
		other.step()
		a.state.Take(a.now, cell.PeerLoad{Load: named(other.state.Load(other.now, false), "other")})
		a.step()
		a.answer()
	}
	must.SliceEmpty(t, a.sent)
	must.True(t, slices.ContainsFunc(a.notified, func(n cell.NotifyLeader) bool { return n.Delegated != nil && n.Cell == "other" }))
}

// Guards against a delegated task that stays in a cell none of whose workers the service approves.
func TestDelegatedAdvisedTaskIsReturnedFromACellWithoutAnApprovedWorker(t *testing.T) {
	t.Parallel()
	a := newAdvisedCell()
	a.state.Take(a.now, cell.JobAccepted{Spec: &wire.JobSpec{
		Id: "00000000000000aa", Queue: "queue", Service: "pool", Cell: "hall", Home: "home", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000}},
		Guest: []*wire.TaskRef{{Lending: 1}},
	}})
	other := newAdvisedCell()
	for range 100 {
		other.step()
		a.state.Take(a.now, cell.PeerLoad{Load: named(other.state.Load(other.now, false), "home")})
		a.step()
		a.answer()
	}
	must.SliceEmpty(t, a.sent)
	must.True(t, slices.ContainsFunc(a.notified, func(n cell.NotifyLeader) bool { return n.Returned != nil && len(n.Returned.GetTasks()) > 0 }))
}

// named returns a load message under the name of another cell.
func named(load *wire.CellLoad, name string) *wire.CellLoad {
	load.Cell = name
	return load
}

// Guards against steps that no worker may run and that take all calls of the advice service, so that a step behind them is
// never asked about.
func TestStepsWithoutAnApprovedWorkerLeaveCallsToOthers(t *testing.T) {
	t.Parallel()
	a := newAdvisedCellOf(30)
	accept := func(id string) {
		a.state.Take(a.now, cell.JobAccepted{Spec: &wire.JobSpec{Id: id, Queue: "queue", Service: "pool", Cell: "hall", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000}}}})
	}
	for i := range 6 {
		accept(fmt.Sprintf("%016x", 0x10+i))
	}
	a.step()
	const last = "00000000000000ff"
	accept(last)
	due := time.Time{}
	for range 200 { // ten seconds; each call takes 50 ms and 2 ms a worker
		a.step()
		if a.answered == len(a.asked) {
			continue
		}
		call := a.asked[a.answered]
		if due.IsZero() {
			due = a.now.Add(50*time.Millisecond + time.Duration(2*len(call.Workers))*time.Millisecond)
		}
		if a.now.Before(due) {
			continue
		}
		due = time.Time{}
		if job, _, _ := strings.Cut(call.Unit, "."); job == last {
			a.answer(call.Workers...)
		} else {
			a.answer()
		}
	}
	must.Len(t, 1, a.sent)
}

// advisedGang is a gang of two whose starts need tickets.
var advisedGang = &wire.StepSpec{Count: 2, Millicores: 1000, Gang: true}

// Guards against a gang that waits without end in a cell none of whose workers the service approves, while other cells have
// workers that may be approved.
func TestAdvisedGangLeavesACellWithoutAnApprovedWorker(t *testing.T) {
	t.Parallel()
	a := newAdvisedCell()
	a.state.Take(a.now, cell.JobAccepted{Spec: &wire.JobSpec{Id: "00000000000000aa", Queue: "queue", Service: "pool", Cell: "hall", Steps: []*wire.StepSpec{advisedGang}}})
	other := newAdvisedCell()
	for range 120 {
		other.step()
		a.state.Take(a.now, cell.PeerLoad{Load: named(other.state.Load(other.now, false), "other")})
		a.step()
		a.answer()
	}
	must.SliceEmpty(t, a.sent)
	must.True(t, slices.ContainsFunc(a.notified, func(n cell.NotifyLeader) bool {
		return n.Cell == "other" && len(n.Delegated.GetGuest()) == 2
	}), must.Sprint("the gang leaves as a whole"))
}

// Guards against a delegated gang that stays in a cell none of whose workers the service approves, and against one that is
// returned before the service was asked about all of them.
func TestDelegatedAdvisedGangIsReturnedOnceAllWorkersAreTurnedDown(t *testing.T) {
	t.Parallel()
	for name, each := range map[string]struct {
		approved []string
		started  int
		returned bool
	}{
		"none is approved":            {returned: true},
		"the last worker is approved": {approved: []string{"w16"}, started: 2},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAdvisedCellOf(16)
			a.state.Take(a.now, cell.JobAccepted{Spec: &wire.JobSpec{
				Id: "00000000000000aa", Queue: "queue", Service: "pool", Cell: "hall", Home: "home", Steps: []*wire.StepSpec{advisedGang},
				Guest: []*wire.TaskRef{{Lending: 1}, {Index: 1, Lending: 1}},
			}})
			other := newAdvisedCell()
			for i := range 100 {
				other.step()
				a.state.Take(a.now, cell.PeerLoad{Load: named(other.state.Load(other.now, false), "home")})
				a.step()
				if i%20 == 19 { // a call takes up to a second
					a.answer(each.approved...)
				}
			}
			must.Len(t, each.started, a.sent)
			must.Eq(t, each.returned, slices.ContainsFunc(a.notified, func(n cell.NotifyLeader) bool { return len(n.Returned.GetTasks()) == 2 }))
		})
	}
}

// Guards against a gang that waits for its tickets to expire, because calls stop once a worker is approved that has capacity for
// one member.
func TestAdviceIsAskedUntilTheWholeGangFits(t *testing.T) {
	t.Parallel()
	a := newAdvisedCellOf(16)
	a.state.Take(a.now, cell.JobAccepted{Spec: &wire.JobSpec{
		Id: "00000000000000aa", Queue: "queue", Service: "pool", Cell: "hall", Steps: []*wire.StepSpec{{Count: 2, Millicores: 5000, Gang: true}},
	}})
	for range 20 { // one second
		a.step()
		a.answer("w1", "w16")
	}
	must.Len(t, 2, a.sent)
}

// Guards against a gang that no approved workers can take and that asks again and again, so that a step behind it is never
// asked about.
func TestGangBeyondItsApprovedWorkersLeavesCallsToOthers(t *testing.T) {
	t.Parallel()
	a := newAdvisedCellOf(16)
	a.state.Take(a.now, cell.JobAccepted{Spec: &wire.JobSpec{
		Id: "00000000000000aa", Queue: "queue", Service: "pool", Cell: "hall", Steps: []*wire.StepSpec{{Count: 2, Millicores: 5000, Gang: true}},
	}})
	for range 600 { // thirty seconds
		a.step()
		a.answer("w1")
	}
	must.SliceEmpty(t, a.sent)
	must.LessEq(t, 20, len(a.asked))
}
