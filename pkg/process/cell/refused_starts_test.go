package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// playUnstartable plays a cell with one worker, whose starts never succeed, for 20 s while another cell has capacity. It
// returns the handovers of the job's task.
func playUnstartable(t *testing.T, spec *wire.JobSpec, answer func(now time.Time, e cell.SendStart) cell.StartAnswered) (lent []string) {
	t.Helper()
	now := time.Unix(1000, 0)
	begin := now
	s := cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})
	s.Take(now, cell.ManifestChanged{Manifest: testManifest})
	s.Take(now, cell.WorkersListed{Records: []workers.Record{{ID: "w", Service: "quotes", Address: "x", Hall: "hall", Ready: true, Host: "h", Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000}}}})
	s.Take(now, cell.LeadershipGained{Epoch: 1, LeasesEndAt: now})
	s.Take(now, cell.Loaded{Epoch: 1, Fences: testFences(), Wall: now})
	s.Take(now, cell.MembershipRecorded{IDs: []string{"w"}})
	clock := func() time.Duration { return now.Sub(time.Unix(0, 0)) }
	var held []cell.StartAnswered
	accepted := false
	for now.Sub(begin) < 21*time.Second {
		now = now.Add(50 * time.Millisecond)
		if now.Sub(begin) >= time.Second && !accepted {
			accepted = true
			s.Take(now, cell.JobAccepted{Spec: spec})
		}
		s.Take(now, loadWithCapacity("third"))
		s.Take(now, cell.Tick{})
		s.Take(now, cell.LeadershipConfirmed{SentAt: now})
		for _, a := range held {
			s.Take(now, a)
		}
		held = nil
		for _, e := range s.Decide(now, now) {
			switch e := e.(type) {
			case cell.SendPoll:
				s.Take(now, cell.PollAnswered{Worker: e.To.ID, SentAt: now, Report: workers.Report{Clock: clock()}})
			case cell.WriteProgress:
				s.Take(now, cell.WriteAnswered{Part: e.Part, Serial: e.Serial, Committed: table.CommitResult{Version: 9}})
			case cell.SendStart:
				a := answer(now, e)
				a.Reply.Clock = clock()
				held = append(held, a)
			case cell.Note:
				if e.Kind == cell.NoteLent || e.Kind == cell.NoteGivenBack {
					lent = append(lent, fmt.Sprintf("%s after %s: %s", e.Kind, now.Sub(begin)-time.Second, e.Detail))
				}
			}
		}
	}
	return lent
}

// Guards against a task that stays for good in a cell whose workers refuse its starts, while another cell has capacity.
func TestTaskWhoseStartsAreRefusedIsHandedOver(t *testing.T) {
	t.Parallel()
	guest := &wire.JobSpec{Id: delegatedJob, Queue: "watches", Service: "quotes", Cell: "hall", Home: "home", Steps: []*wire.StepSpec{{Count: 1, Millicores: 6000, Lasting: true}}, Guest: []*wire.TaskRef{{Lending: 1, WaitedMs: 2100}}}
	home := &wire.JobSpec{Id: delegatedJob, Queue: "watches", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{{Count: 1, Millicores: 6000, Lasting: true}}}
	for name, spec := range map[string]*wire.JobSpec{"delegated": guest, "home": home} {
		for _, refusal := range []workers.Refusal{workers.RefusedExpired, workers.RefusedOtherWorker, workers.RefusedNoCapacity} {
			lent := playUnstartable(t, spec, func(_ time.Time, e cell.SendStart) cell.StartAnswered {
				return cell.StartAnswered{Worker: e.To.ID, Task: e.Start.Task, Run: e.Start.Run, Reply: workers.Reply{Refusal: refusal}, Bytes: e.Bytes}
			})
			test.SliceNotEmpty(t, lent, test.Sprint(name, " ", refusal))
		}
	}
}

// Guards against a task that stays for good in a cell whose workers do not answer its start orders, because each order that
// never began a run begins its wait anew.
func TestTaskWhoseStartsAreNotAnsweredIsHandedOver(t *testing.T) {
	t.Parallel()
	guest := &wire.JobSpec{Id: delegatedJob, Queue: "watches", Service: "quotes", Cell: "hall", Home: "home", Steps: []*wire.StepSpec{{Count: 1, Millicores: 6000, Lasting: true}}, Guest: []*wire.TaskRef{{Lending: 1, WaitedMs: 2100}}}
	home := &wire.JobSpec{Id: delegatedJob, Queue: "watches", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{{Count: 1, Millicores: 6000, Lasting: true}}}
	for name, spec := range map[string]*wire.JobSpec{"delegated": guest, "home": home} {
		lent := playUnstartable(t, spec, func(_ time.Time, e cell.SendStart) cell.StartAnswered {
			return cell.StartAnswered{Worker: e.To.ID, Task: e.Start.Task, Run: e.Start.Run, Err: fault.New(fault.Unknown, "w", "no answer", ""), Bytes: e.Bytes}
		})
		test.SliceNotEmpty(t, lent, test.Sprint(name))
	}
}
