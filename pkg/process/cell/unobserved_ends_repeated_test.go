package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Guards against a crash of a worker without a name: two incarnations ended unobserved, evidence is added for the first
// alone, and a task that may run at a member which is still silent settles later. It ran at neither of the two.
func TestUnobservedEndsAreNamedOnEachSettling(t *testing.T) {
	t.Parallel()
	const job = "00000000000000aa"
	now := time.Unix(1000, 0)
	s := cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})
	s.Take(now, cell.ManifestChanged{Manifest: testManifest})
	var records []workers.Record
	for _, host := range []string{"a", "b"} { // another worker runs on the host of each ended incarnation
		records = append(records, workers.Record{
			ID: host + "2", Born: 2, Service: "quotes", Address: host + "2", Hall: "hall", Ready: true, Host: host, Capacity: ledger.Size{Millicores: 32000, MemoryMB: 128000},
		})
	}
	s.Take(now, cell.WorkersListed{Records: records})
	member := func(id string, tasks ...string) *wire.RosterEntry {
		return &wire.RosterEntry{Id: id, Address: id, Host: id, Service: "quotes", Born: 1, RunsKnown: true, MayRun: tasks}
	}
	s.Take(now, cell.LeadershipGained{Epoch: 2, LeasesEndAt: now.Add(5 * time.Second)})
	s.Take(now, cell.Loaded{
		Epoch: 2, Wall: now, Fences: testFences(), Members: []*wire.RosterEntry{member("a", job+".0.0.0"), member("b"), member("silent", job+".0.0.1")},
		Jobs: []cell.LoadedJob{{Spec: &wire.JobSpec{Id: job, Cell: "hall", Queue: "offers", Service: "quotes", Steps: []*wire.StepSpec{{Count: 2, Millicores: 1000}}}}},
	})
	for until := now.Add(10 * time.Second); now.Before(until); {
		now = now.Add(20 * time.Millisecond)
		s.Take(now, cell.Tick{})
		s.Take(now, cell.LeadershipConfirmed{SentAt: now})
		for _, e := range s.Decide(now, now) {
			switch e := e.(type) {
			case cell.SendPoll:
				answer := cell.PollAnswered{Worker: e.To.ID, SentAt: now}
				if e.To.ID == "a2" || e.To.ID == "b2" {
					answer.Report = workers.Report{Born: 2, Clock: now.Sub(time.Unix(900, 0))}
				} else {
					answer.Err = fault.New(fault.Unknown, e.To.ID, "no answer", "")
				}
				s.Take(now, answer)
			case cell.WriteProgress:
				s.Take(now, cell.WriteAnswered{Part: e.Part, Serial: e.Serial, Committed: table.CommitResult{Version: 9}})
			}
		}
	}
	must.True(t, s.Settled())
	suspects := s.Suspects()
	must.NotEq(t, "", suspects[len(suspects)-1].Crashes[0].Worker, must.Sprintf("%+v", suspects))
	must.Len(t, 1, suspects)
	must.Eq(t, job+".0.0.0", suspects[0].Task)
	must.Len(t, 1, suspects[0].Crashes)
	must.Eq(t, "a", suspects[0].Crashes[0].Worker)
}
