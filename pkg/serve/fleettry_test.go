package serve_test

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/serve"
)

// Jobs complete on the embedded stand-in of the platform, also while a leader is stopped
// as planned.
func TestFleetTryCompletesItsJobs(t *testing.T) {
	t.Parallel()
	var out, errs bytes.Buffer
	code := serve.Main([]string{"fleet", "try"}, &out, &errs)
	must.Eq(t, 0, code, must.Sprint(errs.String(), out.String()))
	must.StrContains(t, out.String(), "job 00000000000000a2 is completed: 5 tasks, each started once")
	must.StrHasSuffix(t, "All done.\n", out.String())
}
