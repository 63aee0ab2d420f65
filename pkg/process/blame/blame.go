// Package blame decides whose fault it is that workers crash.
//
// A task may crash each worker that starts it. What ran beside it is lost with the worker, waits
// with it, and may be started again beside it, so to count the crashes under a task would give up
// its neighbours, too. What tells them apart is how long each had run: such a task ends its worker
// soon after its start, and it does so alone. Data flows one way:
//
//	the end of a life, with what ran there -> Accuse: what it says of each run's task (accuse.go)
//	all that is held against a task        -> LevelOf: where it may run, and when it is given up
//	a run that goes on                     -> Outlived: whether it clears its task
//
// Nothing here knows jobs or workers; times are arguments.
package blame

import (
	"slices"
	"time"
)

// Crash is what the end of one worker's life says of a task that ran there.
type Crash struct {
	// Worker and Run name the run that ended with it. No run: it is not known whether there was one.
	Worker string
	Run    int64
	// Born and Host are the worker's life and host.
	Born int64
	Host string
	// Began says that the run is known to have begun.
	Began bool
	// Age is how long the run had run, at least.
	Age time.Duration
	// Company is how many other runs there had not been there for far longer.
	Company int
	// Accused is how many tasks the end of that incarnation was held against, this one included. 0: not known.
	Accused int
	// Excused says that a far younger run was there.
	Excused bool
	// Lives is how many workers fell silent in that moment; Outside says that a cause from outside is
	// likely: they are many, only a time-out showed it, the host has crashed lately without the task,
	// or crashes are common.
	Lives   int
	Outside bool
	// Again says that the task had run at this host, too, when it crashed before; not of a trial, for
	// which all other hosts were weighed.
	Again bool
	// Trial says that the run was tried alone.
	Trial bool
	// Silent says that the worker only fell silent so far: it may be cut off.
	Silent bool
	// Unseen says that the life ended while nobody saw whether the task ran there.
	Unseen bool
	// At is the time of day, for people.
	At time.Time
}

// Level is how much a task is suspected.
type Level int

// The levels.
const (
	// Trusted: it runs anywhere.
	Trusted Level = iota
	// Suspect: it is kept apart from other suspects, and where little would be lost, if that can be had.
	Suspect
	// OnTrial: it runs only where nothing else could be to blame for one more crash.
	OnTrial
	// Guilty: it is given up.
	Guilty
)

// String is the level in words.
func (l Level) String() string {
	return [...]string{"trusted", "suspect", "on trial", "guilty"}[l]
}

// Weights of crashes, in quarters of one that comes promptly after a start.
const (
	whole = 4
	// weightLate is for a run that had run for a while.
	weightLate = 2
	// weightOutside is for one that had just begun as many workers fell silent, or at a host that
	// crashes by itself: several such tasks that are started together do that, but so does a loss
	// of power. It is that, too, of a crash that nobody saw: a leader that died may have been about to
	// start a run, or not.
	weightOutside = 2
	// weightExcused is for one that a far younger run was beside, or whose host it had crashed before, and for
	// a life that ended while nobody saw what ran there.
	weightExcused = 1
)

const (
	// promptly is how soon after its start a run counts as likely to have ended its worker. Such
	// tasks were seen to need 10 to 300 ms; ages are known to the half second of a look, from below.
	promptly = 300 * time.Millisecond
	// provenAfter is how long a run has to run for what ends later to say nothing of it.
	provenAfter = 10 * time.Second
	// farLonger is by how much, besides twice its age, a run has to be older than another not to
	// count as its company.
	farLonger = time.Second
	// clearedAfter is how long a run has to run, besides twice the longest that ended with its
	// worker, for its task to be cleared.
	clearedAfter = 2 * time.Second

	// endedAfter is the same for a run that ended otherwise: no more can come of it.
	endedAfter = 500 * time.Millisecond

	// suspectWeight and trialWeight are from which weight on a task is kept apart, and tried alone: one
	// crash has ten innocent neighbours, two in a row have few.
	suspectWeight = whole
	trialWeight   = 2 * whole
	// guiltyWeight is that of one crash and two with a likely cause outside.
	guiltyWeight = whole + 2*weightOutside
	// trialCrashes is after how many crashes of any weight a task is tried alone.
	trialCrashes = 3
	// trialSoon is the same where runs had just begun.
	trialSoon = 2
	// alikeCrashes is after how many crashes of different hosts at about the same age, the last alone, a
	// task is given up, whatever else may have caused them.
	alikeCrashes = 4
	// sameAge is how far such ages differ: they are known to the half second of a look.
	sameAge = time.Second
	// leastBegan is under how many of them a run has to be known to have begun: users take two
	// workers that crashed under a task for reason enough to give it up.
	leastBegan = 2
	// mostCrashes is after how many a task is given up in any case. Users take five starts that end
	// a worker, and no more.
	mostCrashes = 5
)

func (c Crash) weight() int {
	switch {
	case c.Again || c.Excused || c.Unseen:
		return weightExcused
	case c.Outside || c.Run == 0:
		return weightOutside
	case c.Age < promptly:
		return whole
	}
	return weightLate
}

// alone says whether nothing that had just begun beside the run can have ended its worker.
func (c Crash) alone() bool { return c.Company == 0 && c.Began && !c.Again && !c.Silent }

// tally sums up crashes.
//
// Those of which it is not known whether there was a run at all count for less: a leader that dies
// may have been about to start one.
type tally struct{ all, weight, over, soon, hosts, sure, began, prompt, unseen, tried int }

func tallyOf(crashes []Crash) tally {
	var t tally
	for _, c := range crashes {
		t.all++
		t.weight += c.weight()
		if c.Age < promptly && c.Run != 0 && !c.Again && !c.Excused {
			t.soon++
		}
		if c.Silent {
			continue
		}
		t.over++
		if c.Unseen {
			t.unseen++
		}
		if c.Run == 0 {
			if !c.Unseen {
				t.tried++
			}
			continue
		}
		t.sure += c.weight()
		if !c.Again {
			t.hosts++
		}
		if c.Began {
			t.began++
		}
		if c.Began && c.Age < promptly && !c.Again {
			t.prompt++
		}
	}
	return t
}

// likeLast keeps the crashes under runs that had run for about as long as that of the last one: a
// task that ends its worker does so at the same point of its work.
func likeLast(crashes []Crash) []Crash {
	last := crashes[len(crashes)-1].Age
	var list []Crash
	for _, c := range crashes {
		if c.Unseen || (c.Age-last).Abs() <= sameAge {
			list = append(list, c)
		}
	}
	return list
}

// LevelOf is how much a task is suspected, by all that is held against it, the newest last.
func LevelOf(crashes []Crash) Level {
	if len(crashes) == 0 {
		return Trusted
	}
	t, alike := tallyOf(crashes), tallyOf(likeLast(crashes))
	switch {
	case enough(alike, crashes[len(crashes)-1]), proven(alike, crashes[len(crashes)-1]):
		return Guilty
	case t.over > t.unseen && (t.weight >= trialWeight || t.all >= trialCrashes || alike.soon >= trialSoon):
		return OnTrial
	case t.weight >= suspectWeight:
		return Suspect
	}
	return Trusted
}

// enough says whether there are so many crashes that the task is given up in any case, if runs are known to have
// begun: an isolated run that was recorded may never have been ordered. What nobody saw counts
// among them only if the last one was alone, and others were seen to begin, the more of them where a cause
// outside is likely (isolated runs that were recorded and found nowhere count there): else a task that merely waited through many takeovers would be given up. Where nothing
// speaks for such a cause, one crash fewer is enough then: some that a leader saw may have been lost as well.
func enough(t tally, last Crash) bool {
	if t.unseen == 0 {
		return t.over >= mostCrashes && t.began >= leastBegan
	}
	if !last.alone() {
		return false
	}
	if last.Outside {
		return t.over >= mostCrashes && t.began >= leastBegan && t.began+t.tried > leastBegan
	}
	return t.over >= mostCrashes-1 && t.prompt >= leastBegan
}

// NextDecides says whether the task is given up after one more crash of an isolated run, even if a cause outside is as
// likely.
func NextDecides(crashes []Crash) bool {
	if len(crashes) == 0 {
		return false
	}
	next := Crash{Run: 1, Began: true, Age: crashes[len(crashes)-1].Age, Lives: 1, Outside: true, Trial: true}
	return LevelOf(append(slices.Clone(crashes), next)) == Guilty
}

// Unseen is what the end of a life says of a task that may have run there, and was found nowhere, as others were:
// nobody saw it, as a leader ended before it was recorded, or there was none.
func Unseen(worker string, born int64, others, lives int, at time.Time) Crash {
	return Crash{Worker: worker, Born: born, Company: others, Accused: others + 1, Lives: lives, Unseen: true, At: at}
}

// proven says whether crashes that are alike, the last of them alone, name the task: either enough
// that came soon after a start, few of them with a likely cause outside, or more of any kind, at as
// many hosts.
func proven(t tally, last Crash) bool {
	if !last.alone() || t.began < leastBegan {
		return false // where none is known to have begun, the orders may never have reached their workers
	}
	return t.hosts >= alikeCrashes || (!last.Outside && t.prompt >= trialCrashes && t.sure >= guiltyWeight)
}

// Outlived says whether a run of a given age clears its task: it has run for far longer than any
// that ended with its worker.
func Outlived(crashes []Crash, age time.Duration) bool {
	longest := time.Duration(0)
	for _, c := range crashes {
		longest = max(longest, c.Age)
	}
	return age >= clearedAfter+2*longest
}

// EndedWell says whether a run of a given age that ended by itself, or was stopped, clears its task: it
// had outlived the point at which others ended with their workers.
func EndedWell(crashes []Crash, age time.Duration) bool {
	return Outlived(crashes, age+clearedAfter-endedAfter)
}

// Settled says whether a run of a given age may be there when another is tried: it will not count
// as its company.
func Settled(age time.Duration) bool { return age >= farLonger+promptly }
