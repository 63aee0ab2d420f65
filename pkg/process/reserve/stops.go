package reserve

import (
	"cmp"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/ledger"
)

const (
	// YieldFor is how long a lasting task yields since its last run. It must run again within six seconds; the rest is
	// for its placement, here or in another cell.
	YieldFor = 4 * time.Second
	// stopSpan is the time within which at most one lasting task in stopDivisor is stopped. Together with restSpan, it
	// keeps most lasting tasks running however great the demand is.
	stopSpan    = 10 * time.Second
	stopDivisor = 10
	// restSpan is how long a task that was stopped is not stopped again.
	restSpan = 30 * time.Second
	// undeclaredAwayDivisor sets how many tasks of a step that declares no number may be away at the same time: one in so
	// many, at least one. Its callers are served by the tasks that stay at work, which are most of the step.
	undeclaredAwayDivisor = 4
)

// Overdue reports whether an urgent task has waited for so long that lasting tasks may be stopped for it. The other half of
// the wait that its callers accept is for the stop.
func Overdue(waited, urgentWait time.Duration) bool { return waited >= urgentWait/2 }

// MoreAway returns how many more tasks of a step may be away. mayMiss is the number that its caller declared, 0 for none.
func MoreAway(mayMiss, tasks, away int) int {
	if mayMiss <= 0 {
		mayMiss = max(1, tasks/undeclaredAwayDivisor)
	}
	return max(0, mayMiss-away)
}

// Stops remembers which lasting tasks were stopped for urgent tasks.
type Stops struct {
	at    map[string]time.Time
	total int
}

// Add records that a task is stopped.
func (s *Stops) Add(now time.Time, task string) {
	if s.at == nil {
		s.at = map[string]time.Time{}
	}
	for old, at := range s.at {
		if now.Sub(at) >= restSpan {
			delete(s.at, old)
		}
	}
	s.at[task] = now
	s.total++
}

// Total returns how many tasks were stopped.
func (s *Stops) Total() int { return s.total }

// Resting reports whether a task was stopped so recently that it is not stopped again.
func (s *Stops) Resting(now time.Time, task string) bool {
	at, stopped := s.at[task]
	return stopped && now.Sub(at) < restSpan
}

// Allowed returns how many tasks may be stopped now, of a number of lasting tasks in the cell.
func (s *Stops) Allowed(now time.Time, lasting int) int {
	recent := 0
	for _, at := range s.at {
		if now.Sub(at) < stopSpan {
			recent++
		}
	}
	return max(0, lasting/stopDivisor-recent)
}

// Candidate is a run of a lasting task that may be stopped.
type Candidate struct {
	Task, Worker, Step string
	Size               ledger.Size
	// Gaps is how many gaps more its worker has without the run.
	Gaps int
	// MoreAway is how many more tasks of its step may be away.
	MoreAway int
}

// Choose returns the runs to stop so that a number of missing gaps becomes free: those that give the most gaps, of these the
// smallest, at most one per worker. Of each step at most as many are stopped as may be away, and in all at most allowed.
func Choose(candidates []Candidate, missing, allowed int) []Candidate {
	list := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Gaps <= 0 })
	slices.SortFunc(list, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(b.Gaps, a.Gaps), cmp.Compare(a.Size.Millicores, b.Size.Millicores),
			cmp.Compare(a.Size.MemoryMB, b.Size.MemoryMB), cmp.Compare(a.Task, b.Task),
		)
	})
	var chosen []Candidate
	workers, steps := map[string]bool{}, map[string]int{}
	for _, c := range list {
		if missing <= 0 || len(chosen) >= allowed {
			break
		}
		if workers[c.Worker] || steps[c.Step] >= c.MoreAway {
			continue
		}
		workers[c.Worker] = true
		steps[c.Step]++
		missing -= c.Gaps
		chosen = append(chosen, c)
	}
	return chosen
}
