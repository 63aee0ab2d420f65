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
	// lead is the time from the beginning to the first jobs: hosts find a leader in it.
	lead = 3 * time.Second
	// startWave is the time in which the jobs that stand at the start come, and
	// startAhead how long before the others.
	startWave  = 200 * time.Millisecond
	startAhead = 4 * time.Second
	// cancelWithin is when jobs are cancelled whose callers change their minds.
	cancelWithin = 4 * time.Second
	// pressStray is by how much pairs of one sort differ.
	pressStray = 0.3
	// apartMost is how many tasks of a job that is kept apart a worker takes.
	apartMost = 2
	service   = "service"
	// widthStray and the others are deviations of logarithms.
	widthStray, sizeStray, timeStray = 0.6, 0.35, 0.43
)

type drawer struct {
	workload *Workload
	seed     uint64
	load     *emulator.Load
}

// Draw draws the day of a seed.
func Draw(w *Workload, seed uint64) *emulator.Load {
	d := &drawer{workload: w, seed: seed, load: &emulator.Load{Press: map[emulator.Pair]float64{}, Unloaded: w.Press.Unloaded}}
	d.fleet()
	d.press()
	for n, k := range w.Kinds {
		d.load.Queues = append(d.load.Queues, manifest.Queue{
			Name: k.Name, Service: service, Priority: int(k.Priority), MaxAttempts: int(max(1, k.Attempts)), Stretch: max(1, k.Stretch), Slack: k.Slack,
		})
		d.kind(n, k)
	}
	sort.SliceStable(d.load.Jobs, func(a, b int) bool { return d.load.Jobs[a].At < d.load.Jobs[b].At })
	return d.load
}

// stream is the chance of one thing.
func (d *drawer) stream(of string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(of)) // a hash takes anything
	return rand.New(rand.NewPCG(d.seed, h.Sum64()))
}

func (d *drawer) fleet() {
	w := d.workload
	for i := range int(w.Halls) {
		d.load.Halls = append(d.load.Halls, fmt.Sprintf("hall-%c", 'a'+i))
	}
	for i := range int(w.Fleet.Workers) {
		hall := i % len(d.load.Halls)
		nth := i / len(d.load.Halls)
		size := w.Fleet.Sizes[nth%len(w.Fleet.Sizes)]
		d.load.Machines = append(d.load.Machines, emulator.Machine{
			Hall: d.load.Halls[hall], Rack: fmt.Sprintf("rack-%c-%d", 'a'+hall, nth/int(max(1, w.Fleet.Rack))),
			Millicores: int64(w.Fleet.Millicores * size), MemoryMB: int64(w.Fleet.MemoryMB * size),
		})
	}
}

// press draws which fillers press on which serving images. Some serving images bear more
// than others.
func (d *drawer) press() {
	p := d.workload.Press
	for s := range int(p.ServingImages) {
		chance := d.stream(fmt.Sprintf("press %d", s))
		heavy := p.Heavy * (0.4 + 1.2*chance.Float64())
		for f := range int(p.FillerImages) {
			rise := p.Mild
			if chance.Float64() < heavy {
				rise = p.Hard
			}
			d.load.Press[emulator.Pair{Serving: servingImage(s), Filler: fillerImage(f)}] = rise * (1 + pressStray*(2*chance.Float64()-1))
		}
	}
}

func servingImage(n int) string { return fmt.Sprintf("serving-%d", n) }

func fillerImage(n int) string { return fmt.Sprintf("filler-%d", n) }

// kind draws the jobs of a kind.
func (d *drawer) kind(n int, k Kind) {
	chance := d.stream("kind " + k.Name)
	for i := range int(k.AtStart) {
		at := lead + time.Duration(chance.Float64()*float64(startWave))
		d.load.Jobs = append(d.load.Jobs, d.job(chance, k, fmt.Sprintf("%04x%012x", n, i), at))
	}
	begin := lead + startAhead
	serial := int(k.AtStart)
	for at := begin; ; serial++ {
		rate := k.PerSecond * d.times(k.Name, at-begin)
		if k.PerSecond <= 0 {
			return
		}
		at += time.Duration(chance.ExpFloat64() / max(rate, 1e-6) * float64(time.Second))
		if at > begin+d.workload.Traffic {
			return
		}
		d.load.Jobs = append(d.load.Jobs, d.job(chance, k, fmt.Sprintf("%04x%012x", n, serial), at))
	}
}

// times is how many times as many jobs of a kind come at a moment.
func (d *drawer) times(kind string, at time.Duration) float64 {
	times := 1.0
	for _, b := range d.workload.Bursts {
		if b.Kind == kind && at >= b.At && at < b.At+b.For {
			times *= b.Times
		}
	}
	return times
}

// lognormal draws around a mean, between a part of it and a most.
func lognormal(chance *rand.Rand, mean, stray, most float64) float64 {
	v := mean * math.Exp(stray*chance.NormFloat64()-stray*stray/2)
	return min(max(v, mean/8), most)
}

func (d *drawer) job(chance *rand.Rand, k Kind, id string, at time.Duration) emulator.Handin {
	h := emulator.Handin{
		At: at, Hall: d.load.Halls[chance.IntN(len(d.load.Halls))],
		Spec: &wire.JobSpec{Id: id, Queue: k.Name, Service: service, Body: "body of " + id},
	}
	steps := max(1, int(math.Round(lognormal(chance, k.Steps, 0.4, 4*k.Steps))))
	saves, apart := chance.Float64() < k.Saves, chance.Float64() < k.Apart
	images := [2]int{int(d.workload.Press.ServingImages), int(d.workload.Press.FillerImages)}
	if k.Steps <= 1 {
		steps = 1
	}
	for i := range steps {
		most := k.WidthMost
		if most <= 0 {
			most = 6 * k.Width
		}
		step := &wire.StepSpec{
			Count:      int32(max(1, math.Round(lognormal(chance, k.Width, widthStray, most)))),
			Millicores: int64(lognormal(chance, k.Millicores, sizeStray, min(3*k.Millicores, d.workload.Fleet.Millicores))),
			MemoryMb:   int64(lognormal(chance, k.MemoryMB, sizeStray, min(3*k.MemoryMB, d.workload.Fleet.MemoryMB))),
			Filler:     k.Filler, Lasting: k.Lasting, Checkpointing: saves,
		}
		if i > 0 {
			step.After = []int32{int32(i - 1)}
		}
		if apart {
			step.Spread = apartMost
		}
		switch {
		case k.Lasting:
			step.Image, step.TailTargetMs = servingImage(popular(chance, images[0])), k.Target.Milliseconds()
		case k.Filler:
			step.Image = fillerImage(chance.IntN(max(1, images[1])))
		}
		h.Spec.Steps = append(h.Spec.Steps, step)
		h.Tasks = append(h.Tasks, d.tasks(chance, k, step))
	}
	if k.Lasting {
		h.CancelAt = at + time.Duration(lognormal(chance, float64(k.Stay), timeStray, 3*float64(k.Stay)))
	}
	if chance.Float64() < k.Cancels {
		h.CancelAt = at + time.Duration(chance.Float64()*float64(cancelWithin))
	}
	return h
}

// popular picks an image; the first ones more often than the others.
func popular(chance *rand.Rand, n int) int {
	return int(float64(max(1, n)) * math.Pow(chance.Float64(), 1.5))
}

// tasks draws what a step's tasks really do, and what their caller declares of it.
func (d *drawer) tasks(chance *rand.Rand, k Kind, step *wire.StepSpec) []emulator.TaskTruth {
	list := make([]emulator.TaskTruth, step.GetCount())
	mean := lognormal(chance, k.Seconds, timeStray, 2.5*k.Seconds)
	for i := range list {
		if k.Lasting {
			list[i] = emulator.TaskTruth{Base: k.Base, Swing: k.Swing, Phase: chance.Float64(), Period: k.Period}
			continue
		}
		list[i].Work = time.Duration(lognormal(chance, mean, k.uneven(), 3*mean) * float64(time.Second))
		if chance.Float64() < k.Failures {
			list[i].Fails = 1
		}
	}
	off := math.Exp(k.EstimateOff * chance.NormFloat64())
	if !k.Lasting {
		step.EstimateMs = max(1, int64(1000*mean*off))
	}
	return list
}

// uneven is how much the tasks of one step differ, as the deviation of a logarithm.
func (Kind) uneven() float64 { return 0.3 }
