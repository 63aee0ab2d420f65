package cell_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/version/queueterms"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// withoutQueues is a manifest from which the operator has removed all queues.
var withoutQueues = manifest.New(2, nil, []manifest.Service{{Name: "quotes", GuardsCapacity: true}}, manifest.Limits{})

// Guards against jobs that never go on: their queue, whose starts need tickets, is removed, and workers refuse starts without one.
func TestStartsOfARemovedQueueCarryTickets(t *testing.T) {
	t.Parallel()
	a := newAdvisedCell()
	advised := manifest.Queue{Name: "queue", Service: "pool", Advice: &manifest.Advice{Valid: 3 * time.Second}}
	a.state.Take(a.now, cell.JobAccepted{Spec: &wire.JobSpec{
		Id: "00000000000000aa", Queue: "queue", Service: "pool", Cell: "hall", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000}}, Terms: queueterms.Of(advised),
	}})
	a.state.Take(a.now, cell.ManifestChanged{Manifest: withoutQueues})
	for range 10 {
		a.step()
	}
	must.SliceEmpty(t, a.sent)
	must.Len(t, 1, a.asked)
	a.state.Take(a.now, cell.AdviceAnswered{Unit: a.asked[0].Unit, Tickets: map[string]string{"w2": "the ticket"}})
	a.step()
	must.Len(t, 1, a.sent)
	must.Eq(t, "the ticket", a.sent[0].Start.Ticket)
}

// Guards against a task that is started more often than its queue allows, as the queue is removed while the job runs.
func TestAttemptsOfARemovedQueueAreKept(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	const id = "00000000000000aa"
	b.state.Take(b.now, cell.JobAccepted{Spec: &wire.JobSpec{
		Id: id, Queue: "offers", Service: "quotes", Cell: "hall", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000, EstimateMs: 100}},
		Terms: queueterms.Of(manifest.Queue{Name: "offers", Service: "quotes", MaxAttempts: 2, Stretch: 2}),
	}})
	b.state.Take(b.now, cell.ManifestChanged{Manifest: withoutQueues})
	for range 4 {
		b.step(50 * time.Millisecond)
		b.finish(id+".0.0.0", workers.EndedFailed)
		for range 10 {
			b.step(50 * time.Millisecond)
		}
	}
	progress := &wire.JobProgress{}
	b.eachPut(t, rows.ProgressKey("hall", id), func(r table.Row) { must.NoError(t, rows.Read(r, progress)) })
	must.Eq(t, wire.JobPhase_JOB_PHASE_FAILED, progress.GetPhase())
	must.StrContains(t, progress.GetReason(), "failed 2 times of 2")
}
