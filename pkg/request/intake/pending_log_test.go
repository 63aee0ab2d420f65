package intake_test

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/connection/store"
	"github.com/wrenferry/wrenferry/pkg/request/intake"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// tellingLeaders tells loads of the cell near, led by this process, that change from call to call.
type tellingLeaders struct {
	stubLeaders
	load *wire.CellLoad
}

func (l *tellingLeaders) View() *intake.View {
	return &intake.View{Cells: map[string]intake.CellView{"near": {Mine: true, Fresh: true}}}
}

func (l *tellingLeaders) Load(context.Context, string, bool) *wire.CellLoad { return l.load }

// An answer that was too small left no trace of the cell whose jobs it lacked.
func TestAnswerSmallBesideTheLastIsLoggedByCell(t *testing.T) {
	t.Parallel()
	log, events := logtest.NewNullLogger()
	registry := metrics.NewRegistry()
	now := clock.Now()
	client := store.New(fixedTable{}, func() []store.Peer { return nil }, registry, now)
	leaders := &tellingLeaders{}
	in := intake.New("hall", client, leaders, nil, log.WithField("test", true), registry)
	answer := func(at time.Duration, pending int32) (lines int) {
		events.Reset()
		leaders.load = &wire.CellLoad{Leading: true, Cell: "near", Pending: map[string]int32{"offers": pending}, Epoch: 9, TableReadMs: 1500}
		n, err := in.Pending(t.Context(), now.Add(at), "offers")
		must.NoError(t, err)
		must.Eq(t, int(pending), n)
		return len(events.AllEntries())
	}
	must.Zero(t, answer(0, 7))
	must.Zero(t, answer(2*time.Second, 5), must.Sprint("over half of the last"))
	must.Eq(t, 1, answer(4*time.Second, 1))
	line := events.LastEntry()
	must.Eq(t, "pending-changed", line.Message)
	must.Eq(t, 1, line.Data["pending"].(int))
	must.Eq(t, 5, line.Data["before"].(int))
	must.Eq(t, "near 1 (leader, 0 ms, epoch 9, table read 1500 ms ago)", line.Data["detail"].(string))
	must.Zero(t, answer(6*time.Second, 2), must.Sprint("a small difference"))
	must.Eq(t, 1, answer(8*time.Second, 40), must.Sprint("a large rise"))
}

// Callers ask some hundred times a second while counts swing.
func TestLinesOnAnswersAreBounded(t *testing.T) {
	t.Parallel()
	log, events := logtest.NewNullLogger()
	registry := metrics.NewRegistry()
	now := clock.Now()
	client := store.New(fixedTable{}, func() []store.Peer { return nil }, registry, now)
	leaders := &tellingLeaders{}
	in := intake.New("hall", client, leaders, nil, log.WithField("test", true), registry)
	for n := range 2000 {
		at := now.Add(time.Duration(n) * time.Millisecond)
		in.TakeLoad(at, &wire.CellLoad{Leading: true, Cell: "near", Pending: map[string]int32{"offers": int32(n % 2 * 50)}})
		pending, err := in.Pending(t.Context(), at, "offers")
		must.NoError(t, err)
		must.Eq(t, n%2*50, pending)
	}
	must.Between(t, 7, len(events.AllEntries()), 8)
}
