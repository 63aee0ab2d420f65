// Package queueterms keeps a queue's settings with the jobs that were accepted from it.
//
// A manifest in force decides by what settings jobs run. Operators may remove a queue while accepted jobs of it still run; these
// then go on by the settings that were in force when they were accepted.
package queueterms

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Of returns the settings of a queue that its jobs run by.
func Of(q manifest.Queue) *wire.QueueTerms {
	terms := &wire.QueueTerms{
		Priority: int32(q.Priority), MaxAttempts: int32(q.MaxAttempts), Stretch: q.Stretch, SlackMs: q.Slack.Milliseconds(),
	}
	if a := q.Advice; a != nil {
		terms.Advice = &wire.AdviceTerms{DecideMs: toMs(a.Decide), EachMs: toMs(a.Each), ValidMs: toMs(a.Valid)}
	}
	return terms
}

// Queue returns a queue with the settings that were in force when a job was accepted. It returns false for a job that was accepted
// without them, by an earlier release.
func Queue(spec *wire.JobSpec) (manifest.Queue, bool) {
	terms := spec.GetTerms()
	if terms == nil {
		return manifest.Queue{}, false
	}
	q := manifest.Queue{
		Name: spec.GetQueue(), Service: spec.GetService(), Priority: int(terms.GetPriority()), MaxAttempts: int(terms.GetMaxAttempts()),
		Stretch: terms.GetStretch(), Slack: time.Duration(terms.GetSlackMs()) * time.Millisecond,
	}
	if a := terms.GetAdvice(); a != nil {
		q.Advice = &manifest.Advice{Decide: fromMs(a.GetDecideMs()), Each: fromMs(a.GetEachMs()), Valid: fromMs(a.GetValidMs())}
	}
	return q, true
}

func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
