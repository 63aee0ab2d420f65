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

// A day is sampled from a workload and a seed. Each kind of job and each serving image has a
// random stream of its own, so that a change to one leaves the samples of the others unchanged.

const (
	// electionTime is the time from the start of the day to the first jobs. The entry hosts
	// elect their leaders in it.
	electionTime = 3 * time.Second
	// initialJobsSpan is the time after electionTime over which the initial jobs are submitted.
	// The other jobs arrive from arrivalsDelay after electionTime.
	initialJobsSpan = 200 * time.Millisecond
	arrivalsDelay   = 4 * time.Second
	// maxCancelDelay is the maximum time from the submission of a job to its cancellation by a
	// caller that no longer wants it.
	maxCancelDelay = 4 * time.Second
	// interferenceSpread is the maximum relative deviation of a pair's interference from
	// Interference.Strong or Weak.
	interferenceSpread = 0.3
	// maxSpreadTasksPerWorker is the maximum number of tasks that one worker takes of each step
	// of a spread job.
	maxSpreadTasksPerWorker = 2
	serviceName             = "service"
	// widthSigma, sizeSigma and timeSigma are standard deviations of the logarithm: of the tasks
	// of a step, of a task's millicores and memory, and of run times and lifetimes.
	widthSigma, sizeSigma, timeSigma = 0.6, 0.35, 0.43
)

// sampler builds the load of one day.
type sampler struct {
	workload *Workload
	seed     uint64
	load     *emulator.Load
}

// Draw samples the day of a seed from a workload. The day depends on nothing else.
func Draw(w *Workload, seed uint64) *emulator.Load {
	d := &sampler{workload: w, seed: seed, load: &emulator.Load{Pressure: map[emulator.Pair]float64{}, UnloadedTail: w.Interference.UnloadedTail}}
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

// randomStream returns the random stream for a name. It depends only on the seed and the name.
func (d *sampler) randomStream(of string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(of)) // a hash takes anything
	return rand.New(rand.NewPCG(d.seed, h.Sum64()))
}

// addFleet adds the halls, and the workers with their racks and sizes.
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

// addInterference samples how much each filler image disturbs each serving image. The share of
// filler images that disturb strongly differs between serving images.
func (d *sampler) addInterference() {
	p := d.workload.Interference
	for s := range int(p.ServingImages) {
		random := d.randomStream(fmt.Sprintf("press %d", s))
		heavy := p.StrongShare * (0.4 + 1.2*random.Float64())
		for f := range int(p.FillerImages) {
			rise := p.Weak
			if random.Float64() < heavy {
				rise = p.Strong
			}
			d.load.Pressure[emulator.Pair{Serving: servingImage(s), Filler: fillerImage(f)}] = rise * (1 + interferenceSpread*(2*random.Float64()-1))
		}
	}
}

func servingImage(n int) string { return fmt.Sprintf("serving-%d", n) }

func fillerImage(n int) string { return fmt.Sprintf("filler-%d", n) }

// addJobs samples the jobs of a kind: the initial jobs, then arrivals as a Poisson process whose
// rate bursts raise. The index n of the kind and a serial number form the
// job's id.
func (d *sampler) addJobs(n int, k Kind) {
	random := d.randomStream("kind " + k.Name)
	for i := range int(k.InitialJobs) {
		at := electionTime + time.Duration(random.Float64()*float64(initialJobsSpan))
		d.load.Jobs = append(d.load.Jobs, d.sampleJob(random, k, fmt.Sprintf("%04x%012x", n, i), at))
	}
	begin := electionTime + arrivalsDelay
	serial := int(k.InitialJobs)
	for at := begin; ; serial++ {
		rate := k.PerSecond * d.rateFactor(k.Name, at-begin)
		if k.PerSecond <= 0 {
			return
		}
		at += time.Duration(random.ExpFloat64() / max(rate, 1e-6) * float64(time.Second))
		if at > begin+d.workload.Traffic {
			return
		}
		d.load.Jobs = append(d.load.Jobs, d.sampleJob(random, k, fmt.Sprintf("%04x%012x", n, serial), at))
	}
}

// rateFactor returns the product of the factors of the bursts of a kind that are active at a time.
func (d *sampler) rateFactor(kind string, at time.Duration) float64 {
	times := 1.0
	for _, b := range d.workload.Bursts {
		if b.Kind == kind && at >= b.At && at < b.At+b.For {
			times *= b.RateFactor
		}
	}
	return times
}

// lognormal samples a lognormal value with the given mean, where sigma is the standard deviation
// of the logarithm. It clamps the value between an eighth of the mean and limit.
func lognormal(random *rand.Rand, mean, sigma, limit float64) float64 {
	v := mean * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)
	return min(max(v, mean/8), limit)
}

// sampleJob samples a job of a kind: its steps, its hall, when it is cancelled and what its tasks
// really do.
func (d *sampler) sampleJob(random *rand.Rand, k Kind, id string, at time.Duration) emulator.SubmittedJob {
	h := emulator.SubmittedJob{
		At: at, CallerHall: d.load.Halls[random.IntN(len(d.load.Halls))],
		Spec: &wire.JobSpec{Id: id, Queue: k.Name, Service: serviceName, Body: "body of " + id},
	}
	steps := max(1, int(math.Round(lognormal(random, k.MeanSteps, 0.4, 4*k.MeanSteps))))
	saves, apart := random.Float64() < k.CheckpointingShare, random.Float64() < k.SpreadShare
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
			Count:      int32(max(1, math.Round(lognormal(random, k.MeanWidth, widthSigma, most)))),
			Millicores: int64(lognormal(random, k.Millicores, sizeSigma, min(3*k.Millicores, d.workload.Fleet.Millicores))),
			MemoryMb:   int64(lognormal(random, k.MemoryMB, sizeSigma, min(3*k.MemoryMB, d.workload.Fleet.MemoryMB))),
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
			step.Image, step.TailTargetMs = servingImage(skewedIndex(random, images[0])), k.TailTarget.Milliseconds()
		case k.Filler:
			step.Image = fillerImage(random.IntN(max(1, images[1])))
		}
		h.Spec.Steps = append(h.Spec.Steps, step)
		h.Tasks = append(h.Tasks, d.sampleTasks(random, k, step))
	}
	if k.Lasting {
		h.CancelAt = at + time.Duration(lognormal(random, float64(k.MeanLifetime), timeSigma, 3*float64(k.MeanLifetime)))
	}
	if random.Float64() < k.CancelledShare {
		h.CancelAt = at + time.Duration(random.Float64()*float64(maxCancelDelay))
	}
	return h
}

// skewedIndex samples an index below n. Lower indices are more frequent.
func skewedIndex(random *rand.Rand, n int) int {
	return int(float64(max(1, n)) * math.Pow(random.Float64(), 1.5))
}

// sampleTasks samples the actual behaviour of a step's tasks, and sets the run time that their
// caller declares.
func (d *sampler) sampleTasks(random *rand.Rand, k Kind, step *wire.StepSpec) []emulator.TaskBehavior {
	list := make([]emulator.TaskBehavior, step.GetCount())
	mean := lognormal(random, k.MeanSeconds, timeSigma, 2.5*k.MeanSeconds)
	for i := range list {
		if k.Lasting {
			list[i] = emulator.TaskBehavior{Base: k.BaseLoad, Swing: k.LoadSwing, Phase: random.Float64(), Period: k.LoadPeriod}
			continue
		}
		list[i].Work = time.Duration(lognormal(random, mean, k.taskTimeSigma(), 3*mean) * float64(time.Second))
		if random.Float64() < k.FailingShare {
			list[i].FailingRuns = 1
		}
	}
	off := math.Exp(k.EstimateSigma * random.NormFloat64())
	if !k.Lasting {
		step.EstimateMs = max(1, int64(1000*mean*off))
	}
	return list
}

// taskTimeSigma is the standard deviation of the logarithm of run times within one step.
func (Kind) taskTimeSigma() float64 { return 0.3 }
