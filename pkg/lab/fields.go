package lab

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/configfile"
)

// The tables of the settings of a workload file. The check of the file and the page of the
// documentation are made from them.

// WorkloadFields are the settings at the top level of the file.
var WorkloadFields = []configfile.Field[Workload]{
	{Name: "name", Example: `"evening"`, Required: true, Help: "what reports call it", Set: configfile.Value(func(w *Workload) *string { return &w.Name })},
	{Name: "halls", Example: "3", Required: true, Help: "halls, a cell each", Set: configfile.NumberBetween(1, 20, func(w *Workload) *float64 { return &w.Halls })},
	{Name: "hosts", Example: "8", Required: true, Help: "entry hosts, spread over the halls", Set: configfile.NumberBetween(1, 60, func(w *Workload) *float64 { return &w.Hosts })},
	{Name: "workers", Example: "66", Required: true, Help: "workers, spread over the halls", Set: configfile.NumberBetween(1, 2000, func(w *Workload) *float64 { return &w.Fleet.Workers })},
	{Name: "millicores", Example: "64000", Required: true, Help: "processors of a worker, in thousandths", Set: configfile.NumberBetween(1000, 1e6, func(w *Workload) *float64 { return &w.Fleet.Millicores })},
	{Name: "memoryMB", Example: "256000", Required: true, Help: "memory of a worker", Set: configfile.NumberBetween(1000, 1e7, func(w *Workload) *float64 { return &w.Fleet.MemoryMB })},
	{Name: "sizes", Example: "[1, 1, 1.5]", Help: "how much larger workers are, by turns", Set: configfile.Value(func(w *Workload) *[]float64 { return &w.Fleet.SizeFactors })},
	{Name: "rack", Example: "11", Help: "workers in a rack", Set: configfile.NumberBetween(1, 1000, func(w *Workload) *float64 { return &w.Fleet.WorkersPerRack })},
	{Name: "traffic", Example: `"34s"`, Required: true, Help: "how long jobs come", Set: configfile.Duration(func(w *Workload) *time.Duration { return &w.Traffic })},
	{Name: "finish", Example: `"14s"`, Required: true, Help: "how long the day goes on after that", Set: configfile.Duration(func(w *Workload) *time.Duration { return &w.Finish })},
	{Name: "servingImages", Example: "5", Help: "images of lasting tasks", Set: configfile.NumberBetween(1, 100, func(w *Workload) *float64 { return &w.Interference.ServingImages })},
	{Name: "fillerImages", Example: "9", Help: "images of fillers", Set: configfile.NumberBetween(1, 100, func(w *Workload) *float64 { return &w.Interference.FillerImages })},
	{Name: "heavy", Example: "0.5", Help: "share of pairs of images that press hard", Set: configfile.NumberBetween(0, 1, func(w *Workload) *float64 { return &w.Interference.StrongShare })},
	{Name: "hard", Example: "1.8", Help: "how much busier a filler that presses makes a serving task, by its use of a whole worker", Set: configfile.NumberBetween(0, 20, func(w *Workload) *float64 { return &w.Interference.Strong })},
	{Name: "mild", Example: "0.2", Help: "the same of the others", Set: configfile.NumberBetween(0, 20, func(w *Workload) *float64 { return &w.Interference.Weak })},
	{Name: "unloaded", Example: `"10ms"`, Help: "tail of a serving task that has nothing to do", Set: configfile.Duration(func(w *Workload) *time.Duration { return &w.Interference.UnloadedTail })},
	{Name: "weightDay", Example: "0.5", Required: true, Help: "weight of the whole day in its worth", Set: configfile.NumberBetween(0, 1, func(w *Workload) *float64 { return &w.Weights.Day })},
	{Name: "weightWindows", Example: "0.2", Help: "weight of the two worst windows of 2 s", Set: configfile.NumberBetween(0, 1, func(w *Workload) *float64 { return &w.Weights.WorstWindows })},
	{Name: "weightKind", Example: "0.12", Help: "weight of the worst kind of job", Set: configfile.NumberBetween(0, 1, func(w *Workload) *float64 { return &w.Weights.WorstKind })},
	{Name: "weightHall", Example: "0.2", Help: "weight of the worst hall", Set: configfile.NumberBetween(0, 1, func(w *Workload) *float64 { return &w.Weights.WorstHall })},
	{Name: "faults", Example: "4", Help: "faults that strike, of all kinds, by chance", Set: configfile.NumberBetween(0, 100, func(w *Workload) *float64 { return &w.Faults })},
	{Name: "kinds", Example: `[{"name": "receipts"}]`, Required: true, Help: "the kinds of jobs", Rows: configfile.ObjectList(KindFields, func(w *Workload) *[]Kind { return &w.Kinds })},
	{Name: "bursts", Example: `[{"kind": "receipts", "at": "8s", "for": "6s", "times": 1.4}]`, Help: "times when more jobs of a kind come", Rows: configfile.ObjectList(BurstFields, func(w *Workload) *[]Burst { return &w.Bursts })},
}

// KindFields are the settings of a kind of job.
var KindFields = []configfile.Field[Kind]{
	{Name: "name", Example: `"receipts"`, Required: true, Help: "what reports call it", Set: configfile.Value(func(k *Kind) *string { return &k.Name })},
	{Name: "perSecond", Example: "5", Required: true, Help: "jobs a second, over all halls", Set: configfile.NumberBetween(0, 1000, func(k *Kind) *float64 { return &k.PerSecond })},
	{Name: "atStart", Example: "50", Help: "jobs that stand before the first second", Set: configfile.NumberBetween(0, 10000, func(k *Kind) *float64 { return &k.InitialJobs })},
	{Name: "steps", Example: "1.6", Required: true, Help: "mean number of steps, each after the one before", Set: configfile.NumberBetween(1, 20, func(k *Kind) *float64 { return &k.MeanSteps })},
	{Name: "width", Example: "6", Required: true, Help: "mean number of tasks of a step", Set: configfile.NumberBetween(1, 500, func(k *Kind) *float64 { return &k.MeanWidth })},
	{Name: "widthMost", Example: "36", Help: "most tasks of a step", Set: configfile.NumberBetween(1, 1000, func(k *Kind) *float64 { return &k.MaxWidth })},
	{Name: "seconds", Example: "0.8", Help: "mean run time of a task", Set: configfile.NumberBetween(0.01, 1000, func(k *Kind) *float64 { return &k.MeanSeconds })},
	{Name: "millicores", Example: "6300", Required: true, Help: "mean processors of a task, in thousandths", Set: configfile.NumberBetween(1, 1e6, func(k *Kind) *float64 { return &k.Millicores })},
	{Name: "memoryMB", Example: "13000", Required: true, Help: "mean memory of a task", Set: configfile.NumberBetween(1, 1e7, func(k *Kind) *float64 { return &k.MemoryMB })},
	{Name: "estimateOff", Example: "0.5", Help: "by how much declared run times are off: the deviation of their logarithms", Set: configfile.NumberBetween(0, 5, func(k *Kind) *float64 { return &k.EstimateSigma })},
	{Name: "worth", Example: "0.38", Required: true, Help: "what a job of mean work earns; a lasting one every 2 s", Set: configfile.NumberBetween(0, 1e6, func(k *Kind) *float64 { return &k.Worth })},
	{Name: "stretch", Example: "1.5", Help: "objective: this times the chain of work, plus slack", Set: configfile.NumberBetween(1, 100, func(k *Kind) *float64 { return &k.Stretch })},
	{Name: "slack", Example: `"250ms"`, Help: "see stretch", Set: configfile.Duration(func(k *Kind) *time.Duration { return &k.Slack })},
	{Name: "priority", Example: "0", Help: "0 comes first", Set: configfile.NumberBetween(0, 9, func(k *Kind) *float64 { return &k.Priority })},
	{Name: "failures", Example: "0.05", Help: "share of tasks of which a run fails", Set: configfile.NumberBetween(0, 1, func(k *Kind) *float64 { return &k.FailingShare })},
	{Name: "attempts", Example: "3", Help: "failed runs that a task has", Set: configfile.NumberBetween(1, 20, func(k *Kind) *float64 { return &k.MaxAttempts })},
	{Name: "filler", Example: "true", Help: "its tasks get what others leave", Set: configfile.Value(func(k *Kind) *bool { return &k.Filler })},
	{Name: "lasting", Example: "true", Help: "its tasks serve until the job is cancelled", Set: configfile.Value(func(k *Kind) *bool { return &k.Lasting })},
	{Name: "saves", Example: "0.85", Help: "share of jobs whose tasks keep what they have done", Set: configfile.NumberBetween(0, 1, func(k *Kind) *float64 { return &k.CheckpointingShare })},
	{Name: "apart", Example: "0.5", Help: "share of jobs of which a worker takes two tasks at most", Set: configfile.NumberBetween(0, 1, func(k *Kind) *float64 { return &k.SpreadShare })},
	{Name: "cancels", Example: "0.05", Help: "share of jobs that are cancelled within 4 s", Set: configfile.NumberBetween(0, 1, func(k *Kind) *float64 { return &k.CancelledShare })},
	{Name: "stay", Example: `"70s"`, Help: "mean time that a lasting job stays", Set: configfile.Duration(func(k *Kind) *time.Duration { return &k.MeanLifetime })},
	{Name: "target", Example: `"50ms"`, Help: "what a serving task's tail is to stay under", Set: configfile.Duration(func(k *Kind) *time.Duration { return &k.TailTarget })},
	{Name: "base", Example: "0.45", Help: "how busy a serving task is by its own users, on average", Set: configfile.NumberBetween(0, 1, func(k *Kind) *float64 { return &k.BaseLoad })},
	{Name: "swing", Example: "0.5", Help: "by what share that swings", Set: configfile.NumberBetween(0, 1, func(k *Kind) *float64 { return &k.LoadSwing })},
	{Name: "period", Example: `"14s"`, Help: "in what time", Set: configfile.Duration(func(k *Kind) *time.Duration { return &k.LoadPeriod })},
}

// BurstFields are the settings of a burst.
var BurstFields = []configfile.Field[Burst]{
	{Name: "kind", Example: `"receipts"`, Required: true, Help: "of which kind", Set: configfile.Value(func(b *Burst) *string { return &b.Kind })},
	{Name: "at", Example: `"8s"`, Required: true, Help: "when", Set: configfile.Duration(func(b *Burst) *time.Duration { return &b.At })},
	{Name: "for", Example: `"6s"`, Required: true, Help: "how long", Set: configfile.Duration(func(b *Burst) *time.Duration { return &b.For })},
	{Name: "times", Example: "1.4", Required: true, Help: "how many times as many", Set: configfile.NumberBetween(0, 100, func(b *Burst) *float64 { return &b.RateFactor })},
}

// Parse returns the workload in a file's source. The error lists the problems; file is the name
// that it gives.
func Parse(file string, source []byte) (*Workload, error) {
	w := &Workload{Fleet: Fleet{SizeFactors: []float64{1}, WorkersPerRack: 8}}
	if err := configfile.Parse(file, source, w, WorkloadFields); err != nil {
		return nil, err
	}
	return w, w.check(file)
}
