package lab

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/wrenferry/wrenferry/pkg/emulator"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// How a day is drawn from a workload and a seed. Each kind of job, and each pair of
// images, has a stream of chance of its own, so that a change to one leaves the others
// as they were.

const (
	// electionTime is the time from the beginning to the first jobs: hosts find a leader in it.
	electionTime = 3 * time.Second
	// initialJobsSpan is the time in which the jobs that stand at the start come, and
	// startAhead how long before the others.
	initialJobsSpan = 200 * time.Millisecond
	arrivalsDelay   = 4 * time.Second
	// maxCancelDelay is when jobs are cancelled whose callers change their minds.
	maxCancelDelay = 4 * time.Second
	// interferenceSpread is by how much pairs of one sort differ.
	interferenceSpread = 0.3
	// maxSpreadTasksPerWorker is how many tasks of a job that is kept apart a worker takes.
	maxSpreadTasksPerWorker = 2
	serviceName             = "service"
	// widthSigma and the others are deviations of logarithms.
	widthSigma, sizeSigma, timeSigma = 0.6, 0.35, 0.43
)

type sampler struct {
	workload *Workload
	seed     uint64
	load     *emulator.Load
}

// Draw draws the day of a seed.
func Draw(w *Workload, seed uint64) *emulator.Load {
	d := &sampler{workload: w, seed: seed, load: &emulator.Load{Press: map[emulator.Pair]float64{}, Unloaded: w.Interference.UnloadedTail}}
	d.addFleet()
	d.addInterference()
	for n, k := range w.Kinds {
		d.load.Queues = append(d.load.Queues, manifest.Queue{
			Name: k.Name, Service: serviceName, Priority: int(k.Priority), MaxAttempts: int(max(1, k.MaxAttempts)), Stretch: max(1, k.Stretch), Slack: k.Slack,
		})
		d.addJobs(n, k)
	}
	sort.SliceStable(d.load.Jobs, func(a, b int) bool { return d.load.Jobs[a].At < d.load.Jobs[b].At })
	return d.load
}

// randomStream is the chance of one thing.
func (d *sampler) randomStream(of string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(of)) // a hash takes anything
	return rand.New(rand.NewPCG(d.seed, h.Sum64()))
}

func (d *sampler) addFleet() {
	w := d.workload
	for i := range int(w.Halls) {
		d.load.Halls = append(d.load.Halls, fmt.Sprintf("hall-%c", 'a'+i))
	}
	for i := range int(w.Fleet.Workers) {
		hall := i % len(d.load.Halls)
		nth := i / len(d.load.Halls)
		size := w.Fleet.SizeFactors[nth%len(w.Fleet.SizeFactors)]
		d.load.Machines = append(d.load.Machines, emulator.Machine{
			Hall: d.load.Halls[hall], Rack: fmt.Sprintf("rack-%c-%d", 'a'+hall, nth/int(max(1, w.Fleet.WorkersPerRack))),
			Millicores: int64(w.Fleet.Millicores * size), MemoryMB: int64(w.Fleet.MemoryMB * size),
		})
	}
}

// addInterference draws which fillers press on which serving images. Some serving images bear more
// than others.
func (d *sampler) addInterference() {
	p := d.workload.Interference
	for s := range int(p.ServingImages) {
		chance := d.randomStream(fmt.Sprintf("press %d", s))
		heavy := p.StrongShare * (0.4 + 1.2*chance.Float64())
		for f := range int(p.FillerImages) {
			rise := p.Weak
			if chance.Float64() < heavy {
				rise = p.Strong
			}
			d.load.Press[emulator.Pair{Serving: servingImage(s), Filler: fillerImage(f)}] = rise * (1 + interferenceSpread*(2*chance.Float64()-1))
		}
	}
}

func servingImage(n int) string { return fmt.Sprintf("serving-%d", n) }

func fillerImage(n int) string { return fmt.Sprintf("filler-%d", n) }

// addJobs draws the jobs of a kind.
func (d *sampler) addJobs(n int, k Kind) {
	chance := d.randomStream("kind " + k.Name)
	for i := range int(k.InitialJobs) {
		at := electionTime + time.Duration(chance.Float64()*float64(initialJobsSpan))
		d.load.Jobs = append(d.load.Jobs, d.sampleJob(chance, k, fmt.Sprintf("%04x%012x", n, i), at))
	}
	begin := electionTime + arrivalsDelay
	serial := int(k.InitialJobs)
	for at := begin; ; serial++ {
		rate := k.PerSecond * d.rateFactor(k.Name, at-begin)
		if k.PerSecond <= 0 {
			return
		}
		at += time.Duration(chance.ExpFloat64() / max(rate, 1e-6) * float64(time.Second))
		if at > begin+d.workload.Traffic {
			return
		}
		d.load.Jobs = append(d.load.Jobs, d.sampleJob(chance, k, fmt.Sprintf("%04x%012x", n, serial), at))
	}
}

// rateFactor is how many times as many jobs of a kind come at a moment.
func (d *sampler) rateFactor(kind string, at time.Duration) float64 {
	times := 1.0
	for _, b := range d.workload.Bursts {
		if b.Kind == kind && at >= b.At && at < b.At+b.For {
			times *= b.RateFactor
		}
	}
	return times
}

// lognormal draws around a mean, between a part of it and a most.
func lognormal(chance *rand.Rand, mean, stray, most float64) float64 {
	v := mean * math.Exp(stray*chance.NormFloat64()-stray*stray/2)
	return min(max(v, mean/8), most)
}

func (d *sampler) sampleJob(chance *rand.Rand, k Kind, id string, at time.Duration) emulator.Handin {
	h := emulator.Handin{
		At: at, Hall: d.load.Halls[chance.IntN(len(d.load.Halls))],
		Spec: &wire.JobSpec{Id: id, Queue: k.Name, Service: serviceName, Body: "body of " + id},
	}
	steps := max(1, int(math.Round(lognormal(chance, k.MeanSteps, 0.4, 4*k.MeanSteps))))
	saves, apart := chance.Float64() < k.CheckpointingShare, chance.Float64() < k.SpreadShare
	images := [2]int{int(d.workload.Interference.ServingImages), int(d.workload.Interference.FillerImages)}
	if k.MeanSteps <= 1 {
		steps = 1
	}
	for i := range steps {
		most := k.MaxWidth
		if most <= 0 {
			most = 6 * k.MeanWidth
		}
		step := &wire.StepSpec{
			Count:      int32(max(1, math.Round(lognormal(chance, k.MeanWidth, widthSigma, most)))),
			Millicores: int64(lognormal(chance, k.Millicores, sizeSigma, min(3*k.Millicores, d.workload.Fleet.Millicores))),
			MemoryMb:   int64(lognormal(chance, k.MemoryMB, sizeSigma, min(3*k.MemoryMB, d.workload.Fleet.MemoryMB))),
			Filler:     k.Filler, Lasting: k.Lasting, Checkpointing: saves,
		}
		if i > 0 {
			step.After = []int32{int32(i - 1)}
		}
		if apart {
			step.Spread = maxSpreadTasksPerWorker
		}
		switch {
		case k.Lasting:
			step.Image, step.TailTargetMs = servingImage(skewedIndex(chance, images[0])), k.TailTarget.Milliseconds()
		case k.Filler:
			step.Image = fillerImage(chance.IntN(max(1, images[1])))
		}
		h.Spec.Steps = append(h.Spec.Steps, step)
		h.Tasks = append(h.Tasks, d.sampleTasks(chance, k, step))
	}
	if k.Lasting {
		h.CancelAt = at + time.Duration(lognormal(chance, float64(k.MeanLifetime), timeSigma, 3*float64(k.MeanLifetime)))
	}
	if chance.Float64() < k.CancelledShare {
		h.CancelAt = at + time.Duration(chance.Float64()*float64(maxCancelDelay))
	}
	return h
}

// skewedIndex picks an image; the first ones more often than the others.
func skewedIndex(chance *rand.Rand, n int) int {
	return int(float64(max(1, n)) * math.Pow(chance.Float64(), 1.5))
}

// sampleTasks draws what a step's tasks really do, and what their caller declares of it.
func (d *sampler) sampleTasks(chance *rand.Rand, k Kind, step *wire.StepSpec) []emulator.TaskTruth {
	list := make([]emulator.TaskTruth, step.GetCount())
	mean := lognormal(chance, k.MeanSeconds, timeSigma, 2.5*k.MeanSeconds)
	for i := range list {
		if k.Lasting {
			list[i] = emulator.TaskTruth{Base: k.BaseLoad, Swing: k.LoadSwing, Phase: chance.Float64(), Period: k.LoadPeriod}
			continue
		}
		list[i].Work = time.Duration(lognormal(chance, mean, k.taskTimeSigma(), 3*mean) * float64(time.Second))
		if chance.Float64() < k.FailingShare {
			list[i].Fails = 1
		}
	}
	off := math.Exp(k.EstimateSigma * chance.NormFloat64())
	if !k.Lasting {
		step.EstimateMs = max(1, int64(1000*mean*off))
	}
	return list
}

// taskTimeSigma is how much the tasks of one step differ, as the deviation of a logarithm.
func (Kind) taskTimeSigma() float64 { return 0.3 }
