package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Found by a hunt (kadraj hunt-1972-31, LOST 4): in a cell that was mostly free,
// a filler waited for a place without harm until the end of the day.
func TestAFillerDoesNotWaitForeverInACellWithRoom(t *testing.T) {
	t.Parallel()
	b := newEmptyCell()
	for i := range 18 {
		b.accept(fmt.Sprintf("%016x", i), "watches", &wire.StepSpec{Count: 16, Millicores: 1000, Lasting: true, TailTargetMs: 100, Image: "s", Spread: 1})
	}
	b.accept("00000000000000ff", "offers", &wire.StepSpec{Count: 1, Millicores: 15000, Filler: true, EstimateMs: 2000, Image: "f"})
	first := time.Duration(-1)
	begin := b.now
	for range 200 {
		b.step(20 * time.Millisecond)
		if b.started["00000000000000ff.0.0.0"] && first < 0 {
			first = b.now.Sub(begin)
		}
	}
	must.Between(t, time.Second, first, 3*time.Second)
}
