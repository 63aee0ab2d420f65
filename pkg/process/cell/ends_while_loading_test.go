package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Guards against an unobserved end that is forgotten: another worker answers on the member's host before the leader has
// read the membership.
func TestEndLearnedWhileLoadingIsEvidence(t *testing.T) {
	t.Parallel()
	for name, loadedAfter := range map[string]time.Duration{"read before the answer": 0, "read after the answer": 300 * time.Millisecond} { // the first is green
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const job = "00000000000000aa"
			now := time.Unix(1000, 0)
			s := cell.New("hall", cell.Bounds{MaxLease: 10 * time.Second, Retention: time.Minute})
			s.Take(now, cell.ManifestChanged{Manifest: testManifest})
			size := ledger.Size{Millicores: 32000, MemoryMB: 128000}
			row := func(id string, born int64) workers.Record {
				return workers.Record{ID: id, Born: born, Service: "quotes", Address: id, Hall: "hall", Ready: true, Host: "a", Capacity: size}
			}
			s.Take(now, cell.WorkersListed{Records: []workers.Record{row("a1", 1), row("a2", 2)}})
			s.Take(now, cell.LeadershipGained{Epoch: 2, LeasesEndAt: now.Add(2 * time.Second)})
			load := now.Add(loadedAfter)
			loaded := cell.Loaded{
				Epoch: 2, Wall: now, Fences: testFences(), Members: []*wire.RosterEntry{{Id: "a1", Address: "a1", Host: "a", Service: "quotes", Born: 1}},
				Jobs: []cell.LoadedJob{{Spec: &wire.JobSpec{Id: job, Cell: "hall", Queue: "offers", Service: "quotes", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000}}}}},
			}
			for until := now.Add(6 * time.Second); now.Before(until) && len(s.Suspects()) == 0; now = now.Add(20 * time.Millisecond) {
				if now.Equal(load) {
					s.Take(now, loaded)
				}
				s.Take(now, cell.Tick{})
				s.Take(now, cell.LeadershipConfirmed{SentAt: now})
				for _, e := range s.Decide(now, now) {
					if p, ok := e.(cell.SendPoll); ok && p.To.ID == "a2" {
						s.Take(now, cell.PollAnswered{Worker: "a2", SentAt: now, Report: workers.Report{Born: 2, Clock: now.Sub(time.Unix(900, 0))}})
					}
				}
			}
			must.Len(t, 1, s.Suspects())
			must.Eq(t, "a1", s.Suspects()[0].Crashes[0].Worker)
			must.True(t, s.Suspects()[0].Crashes[0].Unseen)
		})
	}
}
