package lab

import (
	"math"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/emulator"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// What a day was worth to its callers. A job earns what its kind is worth, by its work,
// if it is done within its objective; late, a part of that up to three times the
// objective; nothing after. A lasting job earns in each window by the share of its tasks
// that are at work, less the share that is over its target: four times that, where only
// its neighbours keep it over.

const (
	// lateShare is the part that a late job earns, lateUntil times its objective when even
	// that ends.
	lateShare, lateLimit = 0.15, 3.0
	// fixedShare of a job's worth does not depend on its work, and largest bounds the rest.
	fixedShare, maxRelativeWork = 0.3, 4.0
	// interferencePenalty is how often time over target counts that neighbours cause.
	interferencePenalty = 4.0
	// answerLatency is the time from a last state in the table to its caller, which no
	// policy can spare.
	answerLatency = 50 * time.Millisecond
)

// Sum is what was owed and earned.
type Sum struct{ Owed, Earned float64 }

// Share is the part that was earned; 1 where nothing was owed.
func (s Sum) Share() float64 {
	if s.Owed <= 0 {
		return 1
	}
	return s.Earned / s.Owed
}

func (s *Sum) add(owed, earned float64) {
	s.Owed += owed
	s.Earned += earned
}

// Day is what one played day came to.
type Day struct {
	Seed uint64
	// Worth is the whole, from 0 to 1.
	Worth   float64
	All     Sum
	Kinds   map[string]*Sum
	Halls   map[string]*Sum
	Windows []Sum
	// Late, Never and OverSeconds tell why worth was lost: jobs done late, jobs not done in
	// time to earn anything, and the seconds that neighbours kept serving tasks over their
	// targets.
	Late, Never int
	OverSeconds float64
	// Broken are the rules that the day broke.
	Broken []string
}

// Play plays the day of a seed without the given mechanisms.
func Play(w *Workload, seed uint64, without cell.Mechanism) *Day {
	load := Draw(w, seed)
	end := electionTime + arrivalsDelay + w.Traffic + w.Finish
	plan := emulator.Plan{
		Seed: seed, Hosts: int(w.Hosts), Traffic: w.Traffic, Trouble: electionTime + arrivalsDelay + w.Traffic, End: end,
		Faults: int(w.Faults), Load: load, Without: without,
	}
	world, broken := emulator.Play(plan)
	return sumDay(w, seed, world.Results(), broken)
}

func sumDay(w *Workload, seed uint64, results []*emulator.JobResult, broken []string) *Day {
	d := &Day{Seed: seed, Kinds: map[string]*Sum{}, Halls: map[string]*Sum{}, Broken: broken}
	means := meanWork(results)
	for _, r := range results {
		k := w.kindNamed(r.Handin.Spec.GetQueue())
		size := fixedShare + (1-fixedShare)*min(maxRelativeWork, workSize(r.Handin)/max(1e-9, means[k.Name]))
		if k.Lasting {
			d.addLasting(w, k, r, size)
			continue
		}
		if r.Phase == wire.JobPhase_JOB_PHASE_CANCELLED {
			continue
		}
		owed := k.Worth * size
		d.addOwed(r, r.Handin.At, k, owed, owed*d.earnedShare(k, r))
	}
	d.Worth = d.weightedWorth(w.Weights)
	return d
}

func (w *Workload) kindNamed(name string) Kind {
	for _, k := range w.Kinds {
		if k.Name == name {
			return k
		}
	}
	return Kind{}
}

// earnedShare is the part of a job's worth that it earned, and counts what was late.
func (d *Day) earnedShare(k Kind, r *emulator.JobResult) float64 {
	objective := time.Duration(k.Stretch*float64(criticalPath(r.Handin))) + k.Slack
	took := r.EndedAt + answerLatency - r.Handin.At
	switch {
	case r.Phase == wire.JobPhase_JOB_PHASE_COMPLETED && took <= objective:
		return 1
	case r.Phase == wire.JobPhase_JOB_PHASE_COMPLETED && float64(took) <= lateLimit*float64(objective):
		d.Late++
		return lateShare
	}
	d.Never++
	return 0
}

func (d *Day) addLasting(w *Workload, k Kind, r *emulator.JobResult, size float64) {
	tasks := float64(r.Handin.Spec.GetSteps()[0].GetCount())
	until := electionTime + arrivalsDelay + w.Traffic
	if r.Handin.CancelAt > 0 {
		until = min(until, r.Handin.CancelAt)
	}
	for n := 0; r.Handin.At+time.Duration(n+1)*emulator.WindowSpan <= until; n++ {
		v := emulator.Window{}
		if n < len(r.Windows) {
			v = r.Windows[n]
		}
		all := tasks * emulator.WindowSpan.Seconds()
		share := (v.AtWork.Seconds() - v.Over.Seconds() - interferencePenalty*v.OverByOthers.Seconds()) / all
		d.OverSeconds += v.OverByOthers.Seconds()
		d.addOwed(r, r.Handin.At+time.Duration(n)*emulator.WindowSpan, k, k.Worth*size, k.Worth*size*min(1, max(0, share)))
	}
}

func (d *Day) addOwed(r *emulator.JobResult, at time.Duration, k Kind, owed, earned float64) {
	d.All.add(owed, earned)
	sumFor(d.Kinds, k.Name).add(owed, earned)
	sumFor(d.Halls, r.Handin.Hall).add(owed, earned)
	n := int((at - electionTime) / emulator.WindowSpan)
	for len(d.Windows) <= n {
		d.Windows = append(d.Windows, Sum{})
	}
	d.Windows[n].add(owed, earned)
}

func sumFor(sums map[string]*Sum, name string) *Sum {
	if sums[name] == nil {
		sums[name] = &Sum{}
	}
	return sums[name]
}

// weightedWorth is the whole of a day.
func (d *Day) weightedWorth(w Weights) float64 {
	windows := make([]float64, 0, len(d.Windows))
	for _, s := range d.Windows {
		windows = append(windows, s.Share())
	}
	slices.Sort(windows)
	worst := 1.0
	if len(windows) > 1 {
		worst = (windows[0] + windows[1]) / 2
	}
	return w.Day*d.All.Share() + w.WorstWindows*worst + w.WorstKind*lowestShare(d.Kinds) + w.WorstHall*lowestShare(d.Halls)
}

func lowestShare(sums map[string]*Sum) float64 {
	worst := 1.0
	for _, s := range sums {
		worst = math.Min(worst, s.Share())
	}
	return worst
}

// workSize is a job's core seconds; of a lasting one, its cores.
func workSize(h emulator.Handin) float64 {
	all := 0.0
	for i, step := range h.Spec.GetSteps() {
		cores := float64(step.GetMillicores()) / 1000
		for _, t := range h.Tasks[i] {
			if step.GetLasting() {
				all += cores
				continue
			}
			all += cores * t.Work.Seconds()
		}
	}
	return all
}

// criticalPath is a job's longest chain of work, with the runs that fail by their own fault.
func criticalPath(h emulator.Handin) time.Duration {
	all := time.Duration(0)
	for _, tasks := range h.Tasks {
		longest := time.Duration(0)
		for _, t := range tasks {
			longest = max(longest, t.Work+time.Duration(t.Fails)*t.Work/2)
		}
		all += longest
	}
	return all
}

func meanWork(results []*emulator.JobResult) map[string]float64 {
	sums, counts := map[string]float64{}, map[string]float64{}
	for _, r := range results {
		sums[r.Handin.Spec.GetQueue()] += workSize(r.Handin)
		counts[r.Handin.Spec.GetQueue()]++
	}
	for name := range sums {
		sums[name] /= counts[name]
	}
	return sums
}
