package lab

import (
	"math"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/emulator"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// The worth of a day to its callers. A job that completes within its objective earns the worth of
// its kind, scaled by the job's work. A late job earns a part of that until three times the
// objective, then nothing. A lasting job earns in each window the share of its tasks' time that
// they are running, minus the share over the latency target. Time over the target counts four times
// if the task would meet it without the fillers on its worker.

const (
	// lateShare is the part of its worth that a late job earns. A job that takes longer than
	// lateLimit times its objective earns nothing.
	lateShare, lateLimit = 0.15, 3.0
	// fixedShare is the share of a job's worth that does not depend on its work. The rest is
	// proportional to its work relative to the mean of its kind, up to maxRelativeWork.
	fixedShare, maxRelativeWork = 0.3, 4.0
	// interferencePenalty is the weight of time over target that only fillers beside the task cause.
	interferencePenalty = 4.0
	// answerLatency is the time from the write of a job's final state to the table until its caller
	// has the answer. No policy can avoid it.
	answerLatency = 50 * time.Millisecond
)

// Sum is an amount of worth: Owed if all jobs meet their objectives, and Earned.
type Sum struct{ Owed, Earned float64 }

// Share returns earned over owed, or 1 if nothing was owed.
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

// Day is the result of one played day.
type Day struct {
	Seed uint64
	// Worth is the weighted worth, from 0 to 1.
	Worth float64
	// All, Kinds, Halls and Windows sum up the jobs: all of them, by kind, by the caller's hall and
	// by window of the day.
	All     Sum
	Kinds   map[string]*Sum
	Halls   map[string]*Sum
	Windows []Sum
	// Late, Never and OverSeconds are the reasons for lost worth. Late counts jobs that completed
	// late, Never jobs that earned nothing. OverSeconds is the time that serving tasks were over
	// their targets only because of fillers beside them, in seconds.
	Late, Never int
	OverSeconds float64
	// Broken lists the violations that the emulator's checker reported.
	Broken []string
}

// Play plays the day of a seed with the given mechanisms disabled.
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

// sumDay sums up the results of a day's jobs. A cancelled job that is not lasting does not count.
func sumDay(w *Workload, seed uint64, results []*emulator.JobResult, broken []string) *Day {
	d := &Day{Seed: seed, Kinds: map[string]*Sum{}, Halls: map[string]*Sum{}, Broken: broken}
	means := meanWork(results)
	for _, r := range results {
		k := w.kindNamed(r.Submitted.Spec.GetQueue())
		size := fixedShare + (1-fixedShare)*min(maxRelativeWork, workSize(r.Submitted)/max(1e-9, means[k.Name]))
		if k.Lasting {
			d.addLasting(w, k, r, size)
			continue
		}
		if r.Phase == wire.JobPhase_JOB_PHASE_CANCELLED {
			continue
		}
		owed := k.Worth * size
		d.addOwed(r, r.Submitted.At, k, owed, owed*d.earnedShare(k, r))
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

// earnedShare returns the share of its worth that a job earned. It counts jobs that are late or earn
// nothing.
func (d *Day) earnedShare(k Kind, r *emulator.JobResult) float64 {
	objective := time.Duration(k.Stretch*float64(criticalPath(r.Submitted))) + k.Slack
	took := r.EndedAt + answerLatency - r.Submitted.At
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

// addLasting adds the windows of a lasting job until it is cancelled or traffic ends. Only whole
// windows count.
func (d *Day) addLasting(w *Workload, k Kind, r *emulator.JobResult, size float64) {
	tasks := float64(r.Submitted.Spec.GetSteps()[0].GetCount())
	until := electionTime + arrivalsDelay + w.Traffic
	if r.Submitted.CancelAt > 0 {
		until = min(until, r.Submitted.CancelAt)
	}
	for n := 0; r.Submitted.At+time.Duration(n+1)*emulator.WindowSpan <= until; n++ {
		v := emulator.Window{}
		if n < len(r.Windows) {
			v = r.Windows[n]
		}
		all := tasks * emulator.WindowSpan.Seconds()
		share := (v.AtWork.Seconds() - v.OverTarget.Seconds() - interferencePenalty*v.OverTargetByFillers.Seconds()) / all
		d.OverSeconds += v.OverTargetByFillers.Seconds()
		d.addOwed(r, r.Submitted.At+time.Duration(n)*emulator.WindowSpan, k, k.Worth*size, k.Worth*size*min(1, max(0, share)))
	}
}

// addOwed adds worth to all sums; at is the time of the day to whose window it belongs.
func (d *Day) addOwed(r *emulator.JobResult, at time.Duration, k Kind, owed, earned float64) {
	d.All.add(owed, earned)
	sumFor(d.Kinds, k.Name).add(owed, earned)
	sumFor(d.Halls, r.Submitted.CallerHall).add(owed, earned)
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

// weightedWorth returns the day's worth from its sums, each by its weight.
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

// lowestShare returns the lowest earned share, at most 1.
func lowestShare(sums map[string]*Sum) float64 {
	worst := 1.0
	for _, s := range sums {
		worst = math.Min(worst, s.Share())
	}
	return worst
}

// workSize returns the work of a job in core seconds, or the cores of a lasting job.
func workSize(h emulator.SubmittedJob) float64 {
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

// criticalPath returns the sum of the longest tasks of all steps, since each step waits for the
// previous one. A run that fails by the task's own fault adds half of the task's work.
func criticalPath(h emulator.SubmittedJob) time.Duration {
	all := time.Duration(0)
	for _, tasks := range h.Tasks {
		longest := time.Duration(0)
		for _, t := range tasks {
			longest = max(longest, t.Work+time.Duration(t.FailingRuns)*t.Work/2)
		}
		all += longest
	}
	return all
}

// meanWork returns the mean work of the jobs of each kind.
func meanWork(results []*emulator.JobResult) map[string]float64 {
	sums, counts := map[string]float64{}, map[string]float64{}
	for _, r := range results {
		sums[r.Submitted.Spec.GetQueue()] += workSize(r.Submitted)
		counts[r.Submitted.Spec.GetQueue()]++
	}
	for name := range sums {
		sums[name] /= counts[name]
	}
	return sums
}
