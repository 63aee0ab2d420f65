// Package lab evaluates scheduling policies: it plays days of a workload in the emulator,
// which runs the product's own decision code, and sums up the worth of the jobs to callers.
//
// Data flows one way: a workload file -> Parse (workload.go, fields.go) -> Draw (sample.go:
// one day, the same for each policy) -> emulator.Play -> worth (worth.go) -> Compare
// (compare.go: paired days, differences and their confidence intervals).
package lab

import (
	"fmt"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
)

// Workload describes a random day: a fleet and the distribution of its jobs. Counts are float64,
// since the numbers of a workload file are.
type Workload struct {
	Name string
	// Halls is the number of halls, with one cell each.
	Halls float64
	// Hosts is the number of entry hosts, over all halls.
	Hosts float64
	Fleet Fleet
	// Traffic is the time over which jobs arrive, Finish the time that the day lasts after it.
	Traffic, Finish time.Duration
	Interference    Interference
	Weights         Weights
	Faults          float64
	Kinds           []Kind
	Bursts          []Burst
}

// Fleet describes the workers over all halls: their number, the millicores and memory of a worker
// of size 1, the workers in a rack, and the sizes that successive workers of a hall have in turn.
type Fleet struct {
	Workers, Millicores, MemoryMB, WorkersPerRack float64
	SizeFactors                                   []float64
}

// Interference describes how fillers disturb serving tasks. StrongShare is the mean share of pairs
// of a serving and a filler image that interfere strongly. Strong and Weak are the increases of a
// serving task's utilization by a filler that uses a whole worker, for such pairs and the others.
type Interference struct {
	ServingImages, FillerImages float64
	StrongShare, Strong, Weak   float64
	// UnloadedTail is the tail latency of a serving task without load.
	UnloadedTail time.Duration
}

// Weights are the weights in a day's worth of the earned shares of the whole day, of its two worst
// windows, of the worst kind of job and of the worst hall.
type Weights struct{ Day, WorstWindows, WorstKind, WorstHall float64 }

// Kind describes the jobs of one kind, which share a queue. Their values are sampled around the
// means given here.
type Kind struct {
	Name string
	// PerSecond is the arrival rate over all halls, in jobs per second. InitialJobs is the number
	// of jobs submitted before the other jobs arrive.
	PerSecond, InitialJobs float64
	// MeanSteps is the mean number of steps of a job; each step waits for the previous one.
	// MeanWidth is the mean number of tasks of a step, MaxWidth the maximum (0: six times the mean).
	MeanSteps, MeanWidth, MaxWidth float64
	// MeanSeconds is the mean run time of a task. Millicores and MemoryMB are its mean requests.
	MeanSeconds, Millicores, MemoryMB float64
	// EstimateSigma is the error of declared run times, as the standard deviation of the logarithm
	// of declared over true: 0.7 is a factor of two, to either side.
	EstimateSigma float64
	Worth         float64
	// The objective for the time to complete a job is Stretch times its critical path, plus Slack.
	Stretch  float64
	Slack    time.Duration
	Priority float64
	// FailingShare is the share of tasks whose first run fails, MaxAttempts the maximum number of
	// failed runs of a task.
	FailingShare, MaxAttempts float64
	Filler, Lasting           bool
	// CheckpointingShare is the share of jobs whose tasks write checkpoints.
	CheckpointingShare float64
	// SpreadShare is the share of jobs whose tasks are spread: a worker takes few of them.
	SpreadShare float64
	// MeanLifetime is the mean time until a lasting job is cancelled, TailTarget its target for the
	// tail latency. The utilization by its users averages BaseLoad and oscillates by the share
	// LoadSwing with LoadPeriod.
	MeanLifetime, TailTarget, LoadPeriod time.Duration
	BaseLoad, LoadSwing                  float64
	CancelledShare                       float64
}

// Burst multiplies the arrival rate of a kind by RateFactor for a time. At counts from the first
// arrivals.
type Burst struct {
	Kind       string
	At, For    time.Duration
	RateFactor float64
}

// check checks the settings that depend on each other. The error lists all problems.
func (w *Workload) check(file string) error {
	var problems []string
	names := map[string]bool{}
	for _, k := range w.Kinds {
		names[k.Name] = true
		if k.Lasting && k.Filler {
			problems = append(problems, fmt.Sprintf("%s: kind %q is both lasting and filler; take one of them out", file, k.Name))
		}
		if k.Lasting && (k.TailTarget <= 0 || k.LoadPeriod <= 0 || k.MeanLifetime <= 0) {
			problems = append(problems, fmt.Sprintf("%s: kind %q is lasting; give it target, period and stay", file, k.Name))
		}
		if !k.Lasting && k.MeanSeconds <= 0 {
			problems = append(problems, fmt.Sprintf("%s: kind %q has no run time; give it seconds", file, k.Name))
		}
		if k.Millicores > w.Fleet.Millicores {
			problems = append(problems, fmt.Sprintf("%s: kind %q asks for %g millicores, a worker has %g; lower the one or raise the other", file, k.Name, k.Millicores, w.Fleet.Millicores))
		}
	}
	for _, b := range w.Bursts {
		if !names[b.Kind] {
			problems = append(problems, fmt.Sprintf("%s: a burst is of kind %q, which is not there; name one of the kinds", file, b.Kind))
		}
	}
	if len(problems) > 0 {
		return fault.New(fault.BadInput, "", strings.Join(problems, "\n"), "")
	}
	return nil
}
