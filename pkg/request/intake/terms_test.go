package intake_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/version/queueterms"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Guards against jobs whose settings are lost with their queue: the table keeps them with the job.
func TestSubmitKeepsTheQueueSettingsWithTheJob(t *testing.T) {
	t.Parallel()
	q := manifest.Queue{Name: "offers", Service: "s", Priority: 2, MaxAttempts: 2, Stretch: 2, Slack: time.Second, Advice: &manifest.Advice{Valid: 3 * time.Second}}
	spec := &wire.JobSpec{Id: "00000000000000aa", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000}}}
	must.NoError(t, newIntakeWith(fixedTable{}, twoCells{}).Submit(context.Background(), clock.Now(), q, spec))
	kept, known := queueterms.Queue(spec)
	must.True(t, known)
	must.Eq(t, q, kept)
}
