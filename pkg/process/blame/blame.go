// Package blame decides which task causes worker crashes.
//
// A task may crash each worker that starts it. The tasks beside it are lost with the worker and may
// start again beside it, so a mere count of crashes would condemn these neighbours, too. Run ages tell
// them apart: a poisonous task ends its worker soon after its start, and does so also when alone. Data
// flows one way:
//
//	the end of an incarnation with its runs -> Accuse: evidence against the task of each run
//	all evidence against a task             -> LevelOf: where it may run, and when its job fails
//	a run that goes on                      -> Outlived: whether it exonerates its task
//
// The package knows no jobs and no workers; times are arguments.
package blame

import (
	"slices"
	"time"
)

// Crash is the evidence that the end of one worker incarnation gives against a task that ran there.
type Crash struct {
	// Worker and Run name the run that ended with the worker. Run 0: it is not known whether there was one.
	Worker string
	Run    int64
	// Born is when the incarnation began, in Unix ms, which identifies it; Host is the worker's host.
	Born int64
	Host string
	// Began says that the run is known to have begun.
	Began bool
	// Age is the least time that the run had lasted.
	Age time.Duration
	// Company is how many other runs at the worker may be the cause as well, as they were not far older.
	Company int
	// Accused is how many tasks the end of that incarnation is evidence against, this one included. 0: unknown.
	Accused int
	// Excused says that a far younger run was at the worker: that one is the likelier cause.
	Excused bool
	// Lives is how many workers went silent at the same time. Outside says that an external cause is likely:
	// they are many, only a timeout showed the end, the host crashed recently without the task, or
	// crashes are common.
	Lives   int
	Outside bool
	// Again says that an earlier crash of the task was at the same host. It is false for an isolated run, whose
	// host was chosen among all.
	Again bool
	// Trial says that the run was isolated.
	Trial bool
	// Silent says that the worker is not known to have crashed: it is silent and may be cut off.
	Silent bool
	// Unseen says that the incarnation ended without a leader that knew whether the task ran there.
	Unseen bool
	// At is the wall-clock time of the crash, for display.
	At time.Time
}

// Level is how strongly a task is suspected of crashing workers.
type Level int

// The levels, from the weakest suspicion to the strongest.
const (
	// Trusted: the task may start anywhere.
	Trusted Level = iota
	// Suspect: the task starts apart from other suspects, and where a crash costs little, if such a worker is usable.
	Suspect
	// OnTrial: the task starts only in isolated runs, where nothing else can be the cause of one more crash.
	OnTrial
	// Guilty: the task never starts again, and its job fails.
	Guilty
)

// String returns the level in the words of logs and commands.
func (l Level) String() string {
	return [...]string{"trusted", "suspect", "on trial", "guilty"}[l]
}

// Weights of crashes, in quarters of the weight of a crash soon after a start.
const (
	// whole is for a crash soon after a start.
	whole = 4
	// weightLate is for a run that was at least as old as promptly.
	weightLate = 2
	// weightOutside is for a crash with a likely external cause, such as one soon after a start while many
	// workers went silent, or at a host that crashes by itself. Several poisonous tasks that start together
	// cause this, but so does a loss of power. It is also for a recorded isolated run that was found
	// nowhere: the leader that recorded it may have died before it ordered the run.
	weightOutside = 2
	// weightExcused is for a crash beside a far younger run, for one at a host that had crashed under the task
	// before, and for an incarnation that ended without a leader that knew what ran there.
	weightExcused = 1
)

const (
	// promptly is the age up to which a run counts as likely to have ended its worker. Poisonous tasks were
	// seen to need 10 to 300 ms. Known ages may be too low by the half second between polls.
	promptly = 300 * time.Millisecond
	// provenAfter is the age from which a run gets no evidence against its task when its worker ends.
	provenAfter = 10 * time.Second
	// farLonger is by how much a run has to exceed twice the age of another not to count as its company.
	farLonger = time.Second
	// clearedAfter is by how much a run has to exceed twice the age of the oldest run that ended with its
	// worker to exonerate the task.
	clearedAfter = 2 * time.Second

	// endedAfter is the same for a run that ended without a crash: it can't crash its worker any more.
	endedAfter = 500 * time.Millisecond

	// suspectWeight and trialWeight are the weights from which a task is a suspect and needs isolation: one crash
	// hits about ten innocent neighbours, two in a row hit few of them twice.
	suspectWeight = whole
	trialWeight   = 2 * whole
	// guiltyWeight is the weight of one prompt crash and two with a likely external cause.
	guiltyWeight = whole + 2*weightOutside
	// trialCrashes is the number of crashes of any weight after which a task needs isolation.
	trialCrashes = 3
	// trialSoon is the same for crashes soon after a start.
	trialSoon = 2
	// alikeCrashes is the number of crashes of different hosts at about the same run age, the last one of a run
	// without company, after which a task is poisonous, whatever else may have caused them.
	alikeCrashes = 4
	// sameAge is how far such ages may differ: they are known to the half second between polls.
	sameAge = time.Second
	// leastBegan is how many of the crashed runs have to be known to have begun: users accept two worker
	// crashes under a task as reason enough to fail its job.
	leastBegan = 2
	// mostCrashes is the number of crashes after which a task is poisonous in any case. Users accept five starts
	// that end a worker, and no more.
	mostCrashes = 5
)

// weight returns the weight of the crash as evidence.
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

// alone reports whether the worker is known to have crashed and no other run that had just begun can be the
// cause, nor a host that had crashed under the task before.
func (c Crash) alone() bool { return c.Company == 0 && c.Began && !c.Again && !c.Silent }

// tally sums up the crashes of one task.
//
// all is the number of crashes, weight the sum of their weights, soon the number of known runs below the age
// promptly, neither excused nor at a host that had crashed under the task before. The others leave out workers
// that are only silent: over is the number of ended incarnations, unseen those that ended without a leader that
// knew what ran there, tried the recorded isolated runs that were found nowhere. Of known runs, sure is the sum
// of weights, hosts the number at a new host, began the number that had surely begun, prompt those
// of them at a new host and below the age promptly.
//
// Crashes without a known run count for less: a leader that died may have been about to start one.
type tally struct{ all, weight, over, soon, hosts, sure, began, prompt, unseen, tried int }

// tallyOf sums up the crashes of one task.
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

// likeLast keeps the crashes at about the same run age as the last one, and those of unobserved ends: a
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

// LevelOf returns how strongly a task is suspected, by all evidence against it, the newest last.
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

// enough reports whether there are so many crashes that the task is poisonous in any case.
//
// Some runs have to be known to have begun, as a recorded isolated run may never have been ordered. With unobserved
// ends among the crashes, the last crash has to be of a run without company, and more is asked of the others:
// else a task that merely waited through many takeovers would be poisonous. If the last crash has a likely external
// cause, more than leastBegan runs must have begun, or be recorded isolated runs that were found nowhere. If it has
// none, one crash fewer is enough, as the record of some crash that a leader saw may have been lost, but
// leastBegan runs must have ended promptly.
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

// NextDecides reports whether one more crash of an isolated run makes the task poisonous, even if an external cause
// is likely.
func NextDecides(crashes []Crash) bool {
	if len(crashes) == 0 {
		return false
	}
	next := Crash{Run: 1, Began: true, Age: crashes[len(crashes)-1].Age, Lives: 1, Outside: true, Trial: true}
	return LevelOf(append(slices.Clone(crashes), next)) == Guilty
}

// Unseen returns the evidence against a task that was found nowhere and may have run at an incarnation that ended
// without a leader, or with one that died before it recorded the end. others is how many other tasks
// may have run there, lives how many incarnations ended so.
func Unseen(worker string, born int64, others, lives int, at time.Time) Crash {
	return Crash{Worker: worker, Born: born, Company: others, Accused: others + 1, Lives: lives, Unseen: true, At: at}
}

// proven reports whether crashes at about the same run age, the last of a run without company, identify the task:
// either enough crashes soon after a start, few of them with a likely external cause, or more of any kind,
// each at another host.
func proven(t tally, last Crash) bool {
	if !last.alone() || t.began < leastBegan {
		return false // the orders to start may never have reached the workers
	}
	return t.hosts >= alikeCrashes || (!last.Outside && t.prompt >= trialCrashes && t.sure >= guiltyWeight)
}

// Outlived reports whether a run of a given age exonerates its task: it has lasted far longer than any run that
// ended with its worker.
func Outlived(crashes []Crash, age time.Duration) bool {
	longest := time.Duration(0)
	for _, c := range crashes {
		longest = max(longest, c.Age)
	}
	return age >= clearedAfter+2*longest
}

// EndedWell reports whether a run of a given age that ended by itself, or was stopped, exonerates its task: it
// had outlived the age at which other runs ended with their workers.
func EndedWell(crashes []Crash, age time.Duration) bool {
	return Outlived(crashes, age+clearedAfter-endedAfter)
}

// Settled reports whether a run of a given age may be at a worker when an isolated run starts there: it will
// not count as company.
func Settled(age time.Duration) bool { return age >= farLonger+promptly }
