// Package poisontask decides which task causes worker crashes.
//
// A task may crash each worker that starts it. The tasks beside it are lost with the worker and may
// start again beside it, so a mere count of crashes would implicate these neighbours, too. Run ages tell
// them apart: a poisonous task ends its worker soon after its start, and does so also when alone. Data
// flows one way:
//
//	the end of an incarnation with its runs -> Evidence: evidence against the task of each run
//	all evidence against a task             -> LevelOf: where it may run, and when its job fails
//	a run that goes on                      -> Exonerates: whether it exonerates its task
//
// The package knows no jobs and no workers; times are arguments.
package poisontask

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
	// Age is the least time that the run had lasted, AgeMost the most, since its start was ordered. 0: not known.
	Age, AgeMost time.Duration
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
	// Suspected: the task starts apart from other suspects, and where a crash costs little, if such a worker is usable.
	Suspected
	// NeedsIsolation: the task starts only in isolated runs, where nothing else can be the cause of one more crash.
	NeedsIsolation
	// Poisonous: the task never starts again, and its job fails.
	Poisonous
)

// String returns the level in the words of logs and commands.
func (l Level) String() string {
	return [...]string{"trusted", "suspect", "on trial", "guilty"}[l]
}

// Weights of crashes, in quarters of the weight of a crash soon after a start.
const (
	// weightPrompt is for a crash soon after a start.
	weightPrompt = 4
	// weightLate is for a run that was at least as old as promptAge.
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
	// promptAge is the age up to which a run counts as likely to have ended its worker. Poisonous tasks were
	// seen to need 10 to 300 ms. Known ages may be too low by the half second between polls.
	promptAge = 300 * time.Millisecond
	// surelyPromptAge is the age below which a run ended soon after its start if it can't have lasted for longer. It
	// exceeds promptAge by the time until a broken connection shows the crash.
	surelyPromptAge = 500 * time.Millisecond
	// maxEvidenceAge is the age from which a run gets no evidence against its task when its worker ends.
	maxEvidenceAge = 10 * time.Second
	// farOlderMargin is by how much a run has to exceed twice the age of another not to count as its company.
	farOlderMargin = time.Second
	// exonerateMargin is by how much a run has to exceed twice the age of the oldest run that ended with its
	// worker to exonerate the task.
	exonerateMargin = 2 * time.Second

	// exonerateEndedMargin is the same for a run that ended without a crash: it can't crash its worker any more.
	exonerateEndedMargin = 500 * time.Millisecond

	// suspectWeight and isolationWeight are the weights from which a task is a suspect and needs isolation: one
	// crash hits about ten harmless neighbours, two in a row hit few of them twice.
	suspectWeight   = weightPrompt
	isolationWeight = 2 * weightPrompt
	// poisonousWeight is the weight of one prompt crash and two with a likely external cause.
	poisonousWeight = weightPrompt + 2*weightOutside
	// isolationCrashes is the number of crashes of any weight after which a task needs isolation.
	isolationCrashes = 3
	// isolationPromptCrashes is the same for crashes soon after a start.
	isolationPromptCrashes = 2
	// poisonousHosts is the number of crashes of different hosts at about the same run age, the last one of a run
	// without company, after which a task is poisonous, whatever else may have caused them.
	poisonousHosts = 4
	// similarAgeMargin is how far such ages may differ: they are known to the half second between polls.
	similarAgeMargin = time.Second
	// minBegan is how many of the crashed runs have to be known to have begun: users accept two worker
	// crashes under a task as reason enough to fail its job.
	minBegan = 2
	// maxCrashes is the number of crashes after which a task is poisonous in any case. Users accept five starts
	// that end a worker, and no more.
	maxCrashes = 5
	// minSurelyPrompt is how many of maxCrashes crashes have to be surely prompt if the task is never without company,
	// such as a member of a gang that is too wide for isolated runs.
	minSurelyPrompt = 3
)

// weight returns the weight of the crash as evidence.
func (c Crash) weight() int {
	switch {
	case c.Again || c.Excused || c.Unseen:
		return weightExcused
	case c.Outside || c.Run == 0:
		return weightOutside
	case c.Age < promptAge:
		return weightPrompt
	}
	return weightLate
}

// onlyCandidate reports whether the worker is known to have crashed and no other run that had just begun can be
// the cause, nor a host that had crashed under the task before.
func (c Crash) onlyCandidate() bool { return c.Company == 0 && c.Began && !c.Again && !c.Silent }

// surelyPrompt reports whether the worker crashed soon after the start of the run, by the longest time that the run can
// have lasted, and at a host that had not crashed under the task before.
func (c Crash) surelyPrompt() bool {
	return c.Run != 0 && c.Began && c.AgeMost > 0 && c.AgeMost < surelyPromptAge && !c.Excused && !c.Again
}

// mayBeLate reports whether the most that the run can have lasted is known, and is longer than for a surely prompt one.
func (c Crash) mayBeLate() bool { return c.AgeMost >= surelyPromptAge }

// isDecisive reports whether the crash leaves hardly another cause than the run: the worker crashed soon after its start,
// without company and without a sign of an external cause.
func (c Crash) isDecisive() bool { return c.surelyPrompt() && c.onlyCandidate() && !c.Outside }

// isUnconfirmed reports whether the crash is of a recorded start and it is not known whether the run began: the start was
// found nowhere after a takeover, or the worker of an isolated run crashed before any answer.
func (c Crash) isUnconfirmed() bool {
	return !c.Unseen && !c.Silent && (c.Run == 0 || (c.Trial && !c.Began))
}

// endedAtStart reports whether the crash is an unconfirmed one whose worker incarnation is known to have ended.
func (c Crash) endedAtStart() bool {
	return c.isUnconfirmed() && (c.Run != 0 || (c.Worker != "" && c.Company == 0))
}

// tally sums up the crashes of one task.
//
// all is the number of crashes and weight the sum of their weights. promptAny is the number of known runs below
// promptAge that are neither excused nor at a host that had crashed under the task before, surelyPrompt the number that
// are surely prompt. The other fields leave out workers that are only silent. ended is the number of ended
// incarnations, unobserved the number of those that ended without a leader that knew what ran there, unconfirmed the
// number of unconfirmed crashes, and endedAtStart the number of those whose incarnation is known to have ended. Of the
// known runs, knownWeight is the sum of weights,
// newHosts the number at a host that had not crashed under the task before, began the number known to have begun, prompt
// the number that are known to have begun, below promptAge and at such a host, and decisive the number that are decisive.
//
// Crashes without a known run count for less: a leader that died may have been about to start one.
type tally struct {
	all, weight, promptAny, surelyPrompt                                                         int
	ended, newHosts, knownWeight, began, prompt, decisive, unobserved, unconfirmed, endedAtStart int
}

// showsCrashes reports whether some of the crashes are of runs that a leader knew: a worker is known to have crashed, or
// workers went silent so soon after starts that they are likely to have crashed.
func (t tally) showsCrashes() bool {
	return t.ended > t.unobserved || t.surelyPrompt > 0 || t.promptAny >= isolationCrashes
}

// tallyOf sums up the crashes of one task.
func tallyOf(crashes []Crash) tally {
	var t tally
	for _, c := range crashes {
		t.all++
		t.weight += c.weight()
		if c.Age < promptAge && c.Run != 0 && !c.Again && !c.Excused {
			t.promptAny++
		}
		if c.surelyPrompt() {
			t.surelyPrompt++
		}
		if c.Silent {
			continue
		}
		t.ended++
		if c.Unseen {
			t.unobserved++
		}
		if c.isUnconfirmed() {
			t.unconfirmed++
		}
		if c.endedAtStart() {
			t.endedAtStart++
		}
		if c.Run == 0 {
			continue
		}
		t.knownWeight += c.weight()
		if !c.Again {
			t.newHosts++
		}
		if c.Began {
			t.began++
		}
		if c.Began && c.Age < promptAge && !c.Again {
			t.prompt++
		}
		if c.isDecisive() {
			t.decisive++
		}
	}
	return t
}

// atLastAge keeps the crashes at about the same run age as the last one, and those of unobserved ends: a
// task that ends its worker does so at the same point of its work.
func atLastAge(crashes []Crash) []Crash {
	last := crashes[len(crashes)-1].Age
	var list []Crash
	for _, c := range crashes {
		if c.Unseen || (c.Age-last).Abs() <= similarAgeMargin {
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
	t, alike, last := tallyOf(crashes), tallyOf(atLastAge(crashes)), crashes[len(crashes)-1]
	switch {
	case reachesLimit(alike, last), identifiesTask(alike, last), identifiedByPromptCrashes(t, last):
		return Poisonous
	case t.showsCrashes() && (t.weight >= isolationWeight || t.all >= isolationCrashes || alike.promptAny >= isolationPromptCrashes):
		return NeedsIsolation
	case t.weight >= suspectWeight:
		return Suspected
	}
	return Trusted
}

// reachesLimit reports whether there are so many crashes that the task is poisonous in any case.
//
// Some runs have to be known to have begun, or their worker to have ended after the record of their start. With
// unobserved ends among the crashes, the last crash has to be of a run without company, and more is asked of the others:
// else a task that merely waited through many takeovers would be poisonous. More than minBegan runs must have begun, or be
// unconfirmed. One crash fewer is enough if minBegan runs ended promptly and the last crash has no likely external cause,
// came soon after the start, and is confirmed: the record of some crash that a leader saw may have been lost.
func reachesLimit(t tally, last Crash) bool {
	started := t.began + t.endedAtStart
	if t.unobserved == 0 {
		return t.ended >= maxCrashes && started >= minBegan
	}
	if !last.onlyCandidate() && !last.isUnconfirmed() {
		return false
	}
	if t.ended >= maxCrashes && started >= minBegan && t.began+t.unconfirmed > minBegan {
		return true
	}
	sure := !last.Outside && !last.mayBeLate() && !last.isUnconfirmed()
	return sure && t.ended >= maxCrashes-1 && t.prompt >= minBegan
}

// identifiedByPromptCrashes reports whether crashes whose ages are known within narrow bounds show that the task is
// poisonous: with the last one decisive, one fewer than maxCrashes of any kind, or three if another one is decisive; or
// maxCrashes, minSurelyPrompt of them surely prompt, though the run was never without company.
func identifiedByPromptCrashes(t tally, last Crash) bool {
	if t.all >= maxCrashes && t.surelyPrompt >= minSurelyPrompt {
		return true
	}
	return last.isDecisive() && t.began >= minBegan && (t.all >= maxCrashes-1 || (t.decisive >= minBegan && t.all >= isolationCrashes))
}

// PoisonousAfterNextCrash reports whether one more crash of an isolated run makes the task poisonous, even if an
// external cause is likely.
func PoisonousAfterNextCrash(crashes []Crash) bool {
	if len(crashes) == 0 {
		return false
	}
	next := Crash{Run: 1, Began: true, Age: crashes[len(crashes)-1].Age, Lives: 1, Outside: true, Trial: true}
	return LevelOf(append(slices.Clone(crashes), next)) == Poisonous
}

// PoisonousAfterPromptCrash reports whether one more crash of an isolated run, surely soon after its start, makes the task
// poisonous though the others speak less against it than prompt crashes without an external cause.
func PoisonousAfterPromptCrash(crashes []Crash) bool {
	next := Crash{Run: 1, Began: true, AgeMost: time.Millisecond, Lives: 1, Trial: true}
	after := append(slices.Clone(crashes), next)
	alike := tallyOf(atLastAge(after))
	identified := identifiesTask(alike, next) && alike.knownWeight >= isolationCrashes*weightPrompt
	return LevelOf(after) == Poisonous && !identified
}

// UnobservedCrash returns the evidence against a task that was found nowhere and may have run at an incarnation that
// ended without a leader, or with one that died before it recorded the end. others is how many other tasks may have run
// there, ends how many incarnations ended so.
func UnobservedCrash(worker string, born int64, others, ends int, at time.Time) Crash {
	return Crash{Worker: worker, Born: born, Company: others, Accused: others + 1, Lives: ends, Unseen: true, At: at}
}

// identifiesTask reports whether crashes at about the same run age, the last of a run without company, identify the
// task: either enough crashes soon after a start, few of them with a likely external cause, or more of any kind, each
// at another host.
func identifiesTask(t tally, last Crash) bool {
	if !last.onlyCandidate() || t.began < minBegan {
		return false // the orders to start may never have reached the workers
	}
	return t.newHosts >= poisonousHosts || (!last.Outside && !last.mayBeLate() && t.prompt >= isolationCrashes && t.knownWeight >= poisonousWeight)
}

// Exonerates reports whether a run of a given age exonerates its task: it has lasted far longer than any run that
// ended with its worker.
func Exonerates(crashes []Crash, age time.Duration) bool {
	longest := time.Duration(0)
	for _, c := range crashes {
		longest = max(longest, c.Age)
	}
	return age >= exonerateMargin+2*longest
}

// EndExonerates reports whether a run of a given age that ended by itself, or was stopped, exonerates its task: it
// had outlived the age at which other runs ended with their workers.
func EndExonerates(crashes []Crash, age time.Duration) bool {
	return Exonerates(crashes, age+exonerateMargin-exonerateEndedMargin)
}

// LongRunning reports whether a run of a given age may be at a worker when an isolated run starts there: it will
// not count as company.
func LongRunning(age time.Duration) bool { return age >= farOlderMargin+promptAge }
