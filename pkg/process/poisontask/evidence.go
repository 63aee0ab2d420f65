package poisontask

import "time"

// EndedIncarnation is a worker incarnation that ended without a stop or a leave, as its leader saw it.
type EndedIncarnation struct {
	Worker, Host string
	Born         int64
	// Silent says that the worker is not known to have crashed: it may be cut off.
	Silent bool
	// TimedOut says that only a timeout showed the end. A process that crashes breaks its connections; a loss of
	// power or a network cut does not.
	TimedOut bool
	// SimultaneousEnds is how many workers went silent at the same time, this one included, Workers how many there are,
	// and OthersIsolated how many of the other silent ones had an isolated run.
	SimultaneousEnds, Workers, OthersIsolated int
	// At is the wall-clock time of the end.
	At   time.Time
	Runs []EndedRun
}

// EndedRun is a run that ended with its worker's incarnation.
type EndedRun struct {
	Run int64
	// Began says that the run is known to have begun. Age is the least time that it had lasted, AgeMost the most. 0: not
	// known.
	Began        bool
	Age, AgeMost time.Duration
	// HostCrashedWithout says that the host crashed recently while the run's task was not there. CrashesWithout is
	// how many such crashes there were on all hosts.
	HostCrashedWithout bool
	CrashesWithout     int
	// Gang is the name of the run's gang, empty for none. Members of a gang are no company to each other: they
	// start together, and the same job fails for any of them.
	Gang string
	// Isolated says that the run was isolated, in a quiet period, at a host chosen for it: only an outage of many
	// workers, or an end that only a timeout showed, is a sign of another cause.
	Isolated bool
}

const (
	// outageDivisor sets the share of all workers, 1/outageDivisor, that goes silent at the same time only for one
	// external cause.
	outageDivisor = 8
	// outageMin is the least number of workers in such an outage; outageMinFewWorkers is the same if there are
	// few workers.
	outageMin, outageMinFewWorkers = 3, 2
	// maxFewWorkers is the largest number of workers that counts as few.
	maxFewWorkers = 11
)

// OutageThreshold returns how many of a number of workers have to go silent at the same time for one external cause to
// be likely.
func OutageThreshold(workers int) int {
	least := outageMin
	if workers <= maxFewWorkers {
		least = outageMinFewWorkers
	}
	return max(least, (workers+outageDivisor-1)/outageDivisor)
}

// CommonCrashThreshold returns how many crashes, within the time that callers look back (15 s), make crashes so common
// that one soon after a start is weaker evidence: a run of a harmless task is then hit in its first second with a
// probability of two in a hundred or more.
func CommonCrashThreshold(workers int) int {
	return max(minCommonCrashes, workers*commonCrashTenths/10)
}

const (
	// minCommonCrashes is the lower bound of CommonCrashThreshold, commonCrashTenths its value in tenths of the number
	// of workers.
	minCommonCrashes  = 2
	commonCrashTenths = 4
)

// isolatedDivisor sets the share of all workers, 1/isolatedDivisor, that may have isolated runs at a time. Such a
// worker accepts nothing else, and a task that waits for an isolated run has crashed a worker or two already, so
// the other tasks keep most of the capacity.
const isolatedDivisor = 3

// MaxIsolatedRuns returns how many isolated runs may be in progress at a time. OutageThreshold does not bound them, as
// simultaneous crashes of isolated runs are no sign of an external cause.
func MaxIsolatedRuns(workers int) int {
	return max(OutageThreshold(workers)-1, workers/isolatedDivisor)
}

// Evidence returns the evidence that the end of the incarnation gives against the task of each run, in the order of
// Runs; nil stands for none.
func (l EndedIncarnation) Evidence() []*Crash {
	list, implicated := make([]*Crash, len(l.Runs)), 0
	for i, r := range l.Runs {
		many := l.simultaneous(r) >= OutageThreshold(l.Workers)
		c := &Crash{Worker: l.Worker, Host: l.Host, Born: l.Born, Run: r.Run, Began: r.Began, Trial: r.Isolated, Age: r.Age, AgeMost: r.AgeMost, Lives: l.SimultaneousEnds, Outside: many || l.TimedOut || (!r.Isolated && (r.HostCrashedWithout || r.CrashesWithout >= CommonCrashThreshold(l.Workers))), Silent: l.Silent, At: l.At}
		for j, other := range l.Runs {
			if j == i || (r.Gang != "" && other.Gang == r.Gang) {
				continue
			}
			if !farOlder(other.Age, r.Age) {
				c.Company++
			}
			c.Excused = c.Excused || farOlder(r.Age, other.Age)
		}
		unlikely := c.Outside && (r.Age >= promptAge || c.Excused)
		if r.Age < maxEvidenceAge && !unlikely {
			list[i] = c
			implicated++
		}
	}
	for _, c := range list {
		if c != nil {
			c.Accused = implicated
		}
	}
	return list
}

// simultaneous returns how many workers went silent at the same time, as far as that is a sign of one external
// cause. For an isolated run, other workers with isolated runs do not count: their tasks may all be poisonous.
func (l EndedIncarnation) simultaneous(r EndedRun) int {
	if r.Isolated {
		return l.SimultaneousEnds - l.OthersIsolated
	}
	return l.SimultaneousEnds
}

// WithSimultaneousEnds returns the crash as it is seen once it is known that some workers went silent at the same time,
// this one included, and that some of the others had isolated runs.
func (c Crash) WithSimultaneousEnds(ends, othersIsolated, workers int) Crash {
	l := EndedIncarnation{SimultaneousEnds: ends, OthersIsolated: othersIsolated, Workers: workers}
	c.Lives = max(c.Lives, ends)
	c.Outside = c.Outside || l.simultaneous(EndedRun{Isolated: c.Trial}) >= OutageThreshold(workers)
	return c
}

// farOlder reports whether a run of one age had lasted so much longer than another that it is not the cause of a
// crash soon after the other's start.
func farOlder(age, other time.Duration) bool { return age >= farOlderMargin+2*other }
