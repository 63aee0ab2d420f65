package promises_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/standin"
)

// Promises about evictions: evicted work resumes once, and results survive platform outages.

// evictAndResume submits urgent work that takes whole workers, so that all other tasks are evicted
// with a checkpoint and resume later. It calls meanwhile once the evictions have begun.
func evictAndResume(f *fleet, meanwhile func(leader string)) {
	leader := f.leader("a")
	e := f.entries[otherEntry(leader)]
	f.submit(e, "ingest", "j", `{"runMs": 3000}`, 8)
	f.until("all run", func() bool { return len(f.startCounts()) == 8 })
	f.submit(e, "urgent", "rush", `{"runMs": 300}`, 2)
	f.until("evictions begin", func() bool {
		for _, s := range f.executions() {
			if s.end == "RUN_STATE_STOPPED" {
				return true
			}
		}
		return false
	})
	meanwhile(leader)
	f.awaitJob(e, "rush", "done")
	f.awaitJob(e, "j", "done")
}

func TestEvictedWorkResumesOnce(t *testing.T) {
	f := jobsFleet(t)
	evictAndResume(f, func(string) {})
	f.checkTasks()
	resumed := 0
	for _, s := range f.executions() {
		if s.checkpoint != "" {
			resumed++
		}
	}
	must.Positive(t, resumed)
}

func TestEvictedWorkResumesOnceWhenTheLeaderDies(t *testing.T) {
	f := jobsFleet(t)
	evictAndResume(f, func(leader string) { f.entries[leader].kill() })
	f.checkTasks()
}

func TestEvictedWorkResumesOnceWhenAnswersAreLost(t *testing.T) {
	f := jobsFleet(t)
	evictAndResume(f, func(string) {
		f.fault(f.platform, standin.Faults{LoseAnswers: 3, LoseKey: "task/"})
		f.fault(f.workers["w1"], standin.Faults{LoseAnswers: 2, LoseKey: "st"})
		f.fault(f.workers["w2"], standin.Faults{LoseAnswers: 2, LoseKey: "st"})
	})
	f.checkTasks()
}

// finishInOutage makes tasks finish during a platform outage and kills the leader before the outage
// ends. The workers must retain the results until the table has them.
func finishInOutage(f *fleet) {
	leader := f.leader("a")
	e := f.entries[otherEntry(leader)]
	f.submit(e, "ingest", "j", `{"runMs": 1000}`, 4)
	f.until("all run", func() bool { return len(f.startCounts()) == 4 })
	f.fault(f.platform, standin.Faults{Outage: true})
	f.until("all have ended", func() bool { return len(f.finishCounts()) == 4 })
	time.Sleep(500 * time.Millisecond) // let the leader poll the results
	f.entries[leader].kill()
	f.fault(f.platform, standin.Faults{})
	f.awaitJob(e, "j", "done")
}

func TestFinishesInAnOutageAreNotLost(t *testing.T) {
	f := jobsFleet(t)
	finishInOutage(f)
	f.checkTasks()
}

func TestFinishesInAnOutageAreNotLostNeedsRetention(t *testing.T) {
	f := jobsFleet(t, without("recorded"))
	finishInOutage(f)
	again := 0
	for _, n := range f.finishCounts() {
		if n > 1 {
			again++
		}
	}
	must.Positive(t, again)
}
