package blame

import "time"

// Life is a worker's life that ended by itself, as it was seen.
type Life struct {
	Worker, Host string
	Born         int64
	// Silent says that the worker only fell silent so far.
	Silent bool
	// Dark says that only a time-out showed its end: a process that crashes breaks its connections, a
	// loss of power or a cut does not.
	Dark bool
	// Lives is how many workers fell silent in that moment, this one included, of how many. Tried is how many of
	// the others had a trial on.
	Lives, Workers, Tried int
	// At is the time of day.
	At   time.Time
	Runs []Seen
}

// Seen is a run that a life ended with.
type Seen struct {
	Run int64
	// Began says that it is known to have begun, Age how long it had run, at least.
	Began bool
	Age   time.Duration
	// HostFails says that the host crashed lately without the run's task, Elsewhere how many lives
	// ended so at all hosts.
	HostFails bool
	Elsewhere int
	// Gang names the gang that the run is of, empty: of none. Its members are no company to each other: they start
	// together, and one job is given up for any of them.
	Gang string
	// Trial says that the run was tried alone, in calm, at a host that was chosen for it: only many
	// lives that end in that moment speak for another cause.
	Trial bool
}

const (
	// manyShare is the part of all workers that fall silent in one moment only for one cause
	// from outside.
	manyShare = 8
	// manyLeast is the least number of them; manySmall is the same among few workers.
	manyLeast, manySmall = 3, 2
	// fewWorkers is up to how many workers are few.
	fewWorkers = 11
)

// Many is how many lives that end in one moment have one cause outside, of a number of workers.
func Many(workers int) int {
	least := manyLeast
	if workers <= fewWorkers {
		least = manySmall
	}
	return max(least, (workers+manyShare-1)/manyShare)
}

// Common is how many lives have to end, within the time that callers look back (15 s), for crashes
// to be so common that one soon after a start says less: then an innocent run is struck in its
// first second with a chance of two in a hundred or more.
func Common(workers int) int { return max(commonLeast, workers*commonOf10/10) }

const (
	commonLeast = 2
	commonOf10  = 4
)

// triedShare is the part of all workers where tasks may be tried at a time. Each of these takes nothing else,
// and what waits for its trial has lost a worker or two already: so the rest keep most of the room.
const triedShare = 3

// Trials is how many tasks may be tried at a time. That their crashes fall into one moment says nothing of a
// cause outside, so it does not bound them.
func Trials(workers int) int { return max(Many(workers)-1, workers/triedShare) }

// Accuse says what a life's end says of the task of each run that was there; nil: nothing.
func (l Life) Accuse() []*Crash {
	list, accused := make([]*Crash, len(l.Runs)), 0
	for i, r := range l.Runs {
		many := l.fell(r) >= Many(l.Workers)
		c := &Crash{Worker: l.Worker, Host: l.Host, Born: l.Born, Run: r.Run, Began: r.Began, Trial: r.Trial, Age: r.Age, Lives: l.Lives, Outside: many || l.Dark || (!r.Trial && (r.HostFails || r.Elsewhere >= Common(l.Workers))), Silent: l.Silent, At: l.At}
		for j, other := range l.Runs {
			if j == i || (r.Gang != "" && other.Gang == r.Gang) {
				continue
			}
			if !farOlder(other.Age, r.Age) {
				c.Company++
			}
			c.Excused = c.Excused || farOlder(r.Age, other.Age)
		}
		unlikely := c.Outside && (r.Age >= promptly || c.Excused)
		if r.Age < provenAfter && !unlikely {
			list[i] = c
			accused++
		}
	}
	for _, c := range list {
		if c != nil {
			c.Accused = accused
		}
	}
	return list
}

// fell is how many workers fell silent in that moment, as far as that speaks for one cause outside: of a trial,
// without the others where one was on. These may all be guilty.
func (l Life) fell(r Seen) int {
	if r.Trial {
		return l.Lives - l.Tried
	}
	return l.Lives
}

// farOlder says whether a run had been there for so much longer than another that it is not to
// blame for what came soon after the other's start.
func farOlder(age, other time.Duration) bool { return age >= farLonger+2*other }
