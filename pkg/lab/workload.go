// Package lab asks what a policy is worth: it plays days of a workload in the emulator,
// with the product's own deciders, and sums up what callers gained.
//
// Data flows one way: a workload file -> Parse (workload.go, fields.go) -> Draw (draw.go:
// one day, the same for each policy) -> emulator.Play -> worth (worth.go) -> Compare
// (compare.go: paired days, differences and how sure they are).
package lab

import (
	"fmt"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
)

// Workload is a kind of day: a fleet and what its callers want of it.
type Workload struct {
	Name  string
	Halls float64
	// Hosts is the number of entry hosts.
	Hosts float64
	Fleet Fleet
	// Traffic is how long jobs come, Finish how long the day goes on after that.
	Traffic, Finish time.Duration
	Interference    Interference
	Weights         Weights
	Faults          float64
	Kinds           []Kind
	Bursts          []Burst
}

// Fleet is the workers of a workload: their count, what one has, by how much some are
// larger, and how many stand in a rack.
type Fleet struct {
	Workers, Millicores, MemoryMB, WorkersPerRack float64
	SizeFactors                                   []float64
}

// Interference says how fillers disturb serving tasks: the share of pairs of images that press,
// and how much busier a filler of each sort makes a serving task by its use of a whole
// worker.
type Interference struct {
	ServingImages, FillerImages float64
	StrongShare, Strong, Weak   float64
	// UnloadedTail is the tail of a serving task that has nothing to do.
	UnloadedTail time.Duration
}

// Weights are the parts of a day's worth: the whole day, its two worst windows, the
// worst kind of job and the worst hall.
type Weights struct{ Day, WorstWindows, WorstKind, WorstHall float64 }

// Kind is a kind of job.
type Kind struct {
	Name string
	// PerSecond is how many come a second over all halls, AtStart how many stand before
	// the first second.
	PerSecond, InitialJobs float64
	// MeanSteps and Width are means; a step waits for the one before.
	MeanSteps, MeanWidth, MaxWidth float64
	// MeanSeconds is a task's mean run time, Millicores and MemoryMB what it asks for.
	MeanSeconds, Millicores, MemoryMB float64
	// EstimateSigma is by how much declared run times are off, as the deviation of their
	// logarithms: 0.7 is a factor of two, to either side.
	EstimateSigma float64
	Worth         float64
	// Stretch times the chain of work plus Slack is the objective.
	Stretch  float64
	Slack    time.Duration
	Priority float64
	// FailingShare is the share of runs that fail, Attempts how many a task has.
	FailingShare, MaxAttempts float64
	Filler, Lasting           bool
	// CheckpointingShare is the share of jobs whose tasks keep what they have done.
	CheckpointingShare float64
	// SpreadShare is the share of jobs of which a worker takes few tasks.
	SpreadShare float64
	// MeanLifetime is how long a lasting job stays, Target what its tail is to stay under; its
	// users' load is Base, and swings by Swing in Period.
	MeanLifetime, TailTarget, LoadPeriod time.Duration
	BaseLoad, LoadSwing                  float64
	CancelledShare                       float64
}

// Burst is a time when more jobs of a kind come.
type Burst struct {
	Kind       string
	At, For    time.Duration
	RateFactor float64
}

// check looks at values that must agree with each other.
func (w *Workload) check(file string) error {
	var problems []string
	names := map[string]bool{}
	for _, k := range w.Kinds {
		names[k.Name] = true
		if k.Lasting && k.Filler {
			problems = append(problems, fmt.Sprintf("%s: kind %q is both lasting and filler; take one of them out", file, k.Name))
		}
		if k.Lasting && (k.TailTarget <= 0 || k.LoadPeriod <= 0 || k.MeanLifetime <= 0) {
			problems = append(problems, fmt.Sprintf("%s: kind %q lasts; give it target, period and stay", file, k.Name))
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
