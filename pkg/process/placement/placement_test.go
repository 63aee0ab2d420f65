package placement_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/interference"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/placement"
)

func candidates(n int) []placement.Worker {
	list := make([]placement.Worker, n)
	for i := range list {
		list[i] = placement.Worker{
			Name: fmt.Sprint("w", i), Capacity: ledger.Size{Millicores: 32000}, Free: ledger.Size{Millicores: int64(1000 * (i % 32))},
			Services: []string{"a"}, Present: interference.TaskCounts{"noisy": i % 3},
		}
	}
	return list
}

// A kind known to harm a service is placed on a worker without that service.
func TestLeastHarmAvoidsTheHarmedService(t *testing.T) {
	model := interference.NewModel()
	for range 50 {
		model.Learn("tender", 1.5, interference.TaskCounts{"noisy": 1})
		model.Learn("tough", 0.5, interference.TaskCounts{"noisy": 1})
	}
	list := []placement.Worker{{Name: "w1", Services: []string{"tender"}}, {Name: "w2", Services: []string{"tough"}}}
	choice := placement.PolicyByName("least-harm").Choose(model, placement.Task{Kind: "noisy"}, list)
	must.Eq(t, "w2", choice.Worker)
}

func BenchmarkChoose(b *testing.B) {
	model := interference.NewModel()
	for _, n := range []int{20, 82, 820} {
		list := candidates(n)
		for _, p := range placement.Policies {
			b.Run(fmt.Sprintf("%s/workers=%d", p.Name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					p.Choose(model, placement.Task{Kind: "noisy", Size: ledger.Size{Millicores: 1000}}, list)
				}
			})
		}
	}
}
