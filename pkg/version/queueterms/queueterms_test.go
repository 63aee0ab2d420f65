package queueterms_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/version/queueterms"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// The settings survive the job's row, with advice and without.
func TestTermsOfAQueueSurviveTheRowOfAJob(t *testing.T) {
	t.Parallel()
	plain := manifest.Queue{Name: "offers", Service: "quotes", Priority: 3, MaxAttempts: 2, Stretch: 1.5, Slack: 700 * time.Millisecond}
	advised := plain
	advised.Advice = &manifest.Advice{Decide: 12 * time.Millisecond, Each: 250 * time.Microsecond, Valid: 1500 * time.Millisecond}
	for _, q := range []manifest.Queue{plain, advised, {Name: "empty", Service: "quotes"}} {
		spec := &wire.JobSpec{Id: "00000000000000aa", Cell: "hall", Queue: q.Name, Service: q.Service, Terms: queueterms.Of(q)}
		read := &wire.JobSpec{}
		must.NoError(t, rows.Read(table.Row(rows.Row(rows.SpecKey("hall", spec.GetId()), spec)), read))
		found, known := queueterms.Queue(read)
		must.True(t, known)
		must.Eq(t, q, found)
	}
}

func TestJobOfAnEarlierReleaseHasNoTerms(t *testing.T) {
	t.Parallel()
	_, known := queueterms.Queue(&wire.JobSpec{Queue: "offers", Service: "quotes"})
	must.False(t, known)
}
