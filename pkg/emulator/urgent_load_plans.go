package emulator

import (
	"fmt"
	"time"
)

// Plans of days on which a service is full of short urgent tasks while lasting tasks wait.

// UrgentLoad configures a steady load of urgent jobs until Plan.Traffic, and what makes lasting tasks wait beside it.
type UrgentLoad struct {
	// Share is the fraction of all cores that the urgent tasks keep busy.
	Share float64
	// Burst is the fraction of all cores that the lasting jobs of a burst reserve, in addition to Plan.Lasting.
	Burst float64
	// Evacuations is how often a hall is evacuated for some seconds, one after the other.
	Evacuations int
}

const (
	// urgentLoadFrom is when the urgent load begins.
	urgentLoadFrom = 2 * time.Second
	// lastingBurstAt is the earliest time of the burst of lasting jobs, lastingBurstSpan the time within which they are
	// submitted.
	lastingBurstAt   = 9 * time.Second
	lastingBurstSpan = 3 * time.Second
	// loadEvacuationsFrom is the earliest time of an evacuation under load, loadEvacuationEvery the time between two.
	loadEvacuationsFrom = 10 * time.Second
	loadEvacuationEvery = 8 * time.Second
	// minLoadEvacuation and maxLoadEvacuation bound the duration of these evacuations.
	minLoadEvacuation, maxLoadEvacuation = 4 * time.Second, 8 * time.Second
	// meanRunTime is the mean of the run times that drawRun draws.
	meanRunTime = 1300 * time.Millisecond
	// busyLinkRate is the rate of the hosts' links in bytes per second, which start orders and polls nearly fill, so that a
	// leader of a few workers learns of ends as late as one of hundreds does on a usual link.
	busyLinkRate = 20_000
	// urgentLoadFirstID and lastingBurstFirstID are the numbers of the first jobs of the load and of the burst.
	urgentLoadFirstID   = 0x500000
	lastingBurstFirstID = 0x600000
)

// loadLastingSizes are the processor reservations of the lasting tasks of the burst, in millicores. What an urgent task frees
// is enough for each of them.
var loadLastingSizes = []int64{500, 1000}

// UrgentLoadPlan returns the plan of a day of two or three cells that are full of short urgent tasks from the beginning, with
// lasting tasks on most of the rest. A burst of lasting jobs comes, halls are evacuated and reopen, and workers leave. Then
// the load goes on for 20 s without any of this. One day of three has no evacuation, one has two.
func UrgentLoadPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Workers, plan.Faults, plan.Jobs = 12, 0, 0
	if seed%2 == 1 {
		plan.Cells, plan.Hosts, plan.Workers = 3, 6, 15
	}
	plan.Lasting = 0.25 + 0.05*float64(seed/6%3)
	plan.UrgentLoad = UrgentLoad{Share: 0.65, Burst: 0.2, Evacuations: int(seed % 3)}
	plan.UrgentWait, plan.LinkRate = 300*time.Millisecond, busyLinkRate
	plan.Leaving = Leaving{Series: 1, Least: 3, Most: 6, Kinds: []LeaveKind{LeaveReleased, LeaveScaledIn, LeaveSpot, LeaveUnannounced}}
	plan.Traffic, plan.Trouble, plan.End = 48*time.Second, 33*time.Second, 100*time.Second
	return plan
}

// planUrgentLoad submits the jobs of the urgent load, and the burst of lasting jobs.
func (w *World) planUrgentLoad() {
	load := w.plan.UrgentLoad
	if load.Share == 0 {
		return
	}
	cores := float64(w.plan.Workers) * workerCores
	number := urgentLoadFirstID
	for at := urgentLoadFrom; at < w.plan.Traffic; {
		spec := w.urgentJob(fmt.Sprintf("%016x", number))
		spec.Cell = w.cells[w.rand.IntN(len(w.cells))]
		number++
		w.scheduleJob(ScriptJob{At: at, Spec: JobSpec{spec}})
		step := spec.GetSteps()[0]
		at += time.Duration(float64(int64(step.GetCount())*step.GetMillicores()) / (load.Share * cores) * float64(meanRunTime))
	}
	from, left := lastingBurstAt+w.between(0, lastingBurstSpan), int64(load.Burst*cores)
	for i := 0; left > 0; i++ {
		spec := w.lastingJob(fmt.Sprintf("%016x", lastingBurstFirstID+i))
		step := spec.GetSteps()[0]
		step.Millicores = loadLastingSizes[w.rand.IntN(len(loadLastingSizes))]
		left -= int64(step.GetCount()) * step.GetMillicores()
		w.scheduleJob(ScriptJob{At: from + w.between(0, lastingBurstSpan), Spec: JobSpec{spec}})
		w.scheduleCancel(Cancel{At: w.plan.Trouble + lastingStaysAfterTrouble, Job: spec.GetId(), Surely: true})
	}
}

// scheduleLoadEvacuations schedules the evacuations of a day with an urgent load.
func (w *World) scheduleLoadEvacuations() {
	for i := range w.plan.UrgentLoad.Evacuations {
		at := loadEvacuationsFrom + time.Duration(i)*loadEvacuationEvery + w.between(0, 2*time.Second)
		fault := Fault{Kind: EvacuateHall, Target: w.cells[w.rand.IntN(len(w.cells))], For: w.between(minLoadEvacuation, maxLoadEvacuation)}
		w.after(at, func() { w.injectFault(fault) })
	}
}
