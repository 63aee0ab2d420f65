package cell_test

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a sixth start of a task whose workers all broke their connections right after its start and are not
// back: ends that are only silent count for no limit.
func TestTaskOfWorkersThatStaySilentStartsFiveTimesAtMost(t *testing.T) {
	t.Parallel()
	f, task := newSilentFleet()
	for range 6000 {
		f.runCrashedStayDown()
		must.LessEq(t, 5, len(f.starts[task]), must.Sprintf("starts at %v by %s", f.starts[task], f.now.UTC()))
	}
}
