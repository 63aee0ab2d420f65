package emulator

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Takeovers configures leaders that end soon after a worker of their cell has begun to leave. A successor then learns
// neither from the worker nor from its predecessor how the worker's runs ended.
type Takeovers struct {
	// Ends is the number of leaders that end. Apart is the shortest time between two of them.
	Ends  int
	Apart time.Duration
	// Delay is the time from a worker's announcement to the end of its cell's leader, How the way in which the leader ends.
	Delay time.Duration
	How   LeaderEnd
	// Suspects means that some seconds before each series of leaving workers a cell gets a task that crashes its workers. It
	// needs an isolated run, for which a worker is reserved. Only the leader of that cell ends.
	Suspects bool
}

// LeaderEnd is a way in which a leader ends.
type LeaderEnd int

// The ways in which a leader ends.
const (
	// LeaderKilled leaders are killed, and their hosts boot again.
	LeaderKilled LeaderEnd = iota
	// LeaderFrozen and LeaderSuspended leaders stop for longer than it takes until another host leads.
	LeaderFrozen
	LeaderSuspended
	// LeaderCut leaders are cut off from the table, and from each other host with a probability of one half.
	LeaderCut
	// AllHostsKilled means that all hosts are killed, LeaderWithoutTable that the table refuses all requests.
	AllHostsKilled
	LeaderWithoutTable
)

// leaderEnds is the number of ways.
const leaderEnds = int(LeaderWithoutTable) + 1

// scheduleTakeovers makes the faults of Plan.Takeovers follow the announcements of leaving workers. As those of
// Plan.Aftermath, they are part of a recorded script, which therefore plays without it.
func (w *World) scheduleTakeovers() {
	plan, ends, last := w.plan.Takeovers, 0, time.Time{}
	if plan.Ends == 0 {
		return
	}
	w.afterLeave = func(k *worker) {
		if ends >= plan.Ends || w.now.Sub(last) < plan.Apart || (plan.Suspects && k.Hall != w.suspectCell) {
			return
		}
		ends, last = ends+1, w.now
		w.after(plan.Delay, func() { w.endLeaderAs(plan.How, k.Hall) })
	}
}

const (
	// minSuspectLead and maxSuspectLead bound the time from the submission of a crash task to the series of leaving workers
	// that follows: most such tasks have crashed one or two workers by then.
	minSuspectLead, maxSuspectLead = 4 * time.Second, 9 * time.Second
	// maxSuspectCores is the largest reservation of such a task, in cores.
	maxSuspectCores = 4
	// firstSuspectJob is the number from which the ids of these jobs count.
	firstSuspectJob = 0x2000
)

// scheduleSuspectBefore submits a job whose only task crashes its workers, some seconds before a series of leaving
// workers. The task then needs an isolated run when the leader of its cell ends. Leaders of other cells go on meanwhile.
func (w *World) scheduleSuspectBefore(series time.Duration) {
	name, at := w.cells[w.rand.IntN(len(w.cells))], series-w.between(minSuspectLead, maxSuspectLead)
	w.suspects++
	spec := &wire.JobSpec{
		Id: fmt.Sprintf("%016x", firstSuspectJob+w.suspects), Queue: queueName, Service: serviceName, Cell: name, Body: "a suspect",
		Steps: []*wire.StepSpec{{Count: 1, Millicores: int64(1000 * (1 + w.rand.IntN(maxSuspectCores))), MemoryMb: 1000, EstimateMs: 1000}},
	}
	w.scheduleJob(ScriptJob{At: at, Spec: JobSpec{spec}, Crash: w.drawCrashTask(spec)})
	w.after(at, func() { w.suspectCell = name })
}

// leaderEndSpans bound the durations of the faults with which a leader ends. Another host leads about one second after a
// leader stops, but a leader without the table keeps its cell for five. Short durations leave the day calm soon.
var leaderEndSpans = [...]struct{ least, most time.Duration }{
	LeaderKilled:       {minFaultSpan, time.Second},
	LeaderFrozen:       {time.Second, 2 * time.Second},
	LeaderSuspended:    {time.Second, 2 * time.Second},
	LeaderCut:          {4 * time.Second, 7 * time.Second},
	AllHostsKilled:     {minFaultSpan, time.Second},
	LeaderWithoutTable: {4 * time.Second, 7 * time.Second},
}

// endLeaderAs ends the leader of a cell. One time in four the fault lasts up to three seconds longer.
func (w *World) endLeaderAs(how LeaderEnd, name string) {
	span, leader := w.between(leaderEndSpans[how].least, leaderEndSpans[how].most), w.leaderOf(name)
	if w.rand.IntN(4) == 0 {
		span += w.between(0, 3*time.Second)
	}
	if leader == nil {
		return
	}
	switch how {
	case LeaderKilled:
		w.injectFault(Fault{Kind: KillHost, Target: leader.name, For: span})
	case LeaderFrozen:
		w.injectFault(Fault{Kind: FreezeHost, Target: leader.name, For: span})
	case LeaderSuspended:
		w.injectFault(Fault{Kind: SuspendHost, Target: leader.name, For: span})
	case LeaderCut:
		w.cutLeader(name, span)
	case AllHostsKilled:
		for _, h := range w.hosts {
			w.injectFault(Fault{Kind: KillHost, Target: h.name, For: span})
		}
	case LeaderWithoutTable:
		w.injectFault(Fault{Kind: TableDown, For: span})
	}
}

const (
	// takeoverStep is the difference in the delay from an announcement to the end of the leader between consecutive days,
	// and takeoverSteps the number of different delays: 20 ms to 2.5 s, which is until most leaving workers have ended.
	takeoverStep  = 20 * time.Millisecond
	takeoverSteps = 125
	// minTakeovers and takeoversRange bound the number of leaders that end.
	minTakeovers, takeoversRange = 2, 3
	// consecutiveEvery is the interval of days on which leaders end after consecutive announcements.
	consecutiveEvery = 4
)

// LeavingTakeoverPlan returns the plan of a day of cells nearly full of lasting tasks on which workers leave one each
// second, and soon after the first announcement of most series the leader of the worker's cell ends. There are no faults
// otherwise, so that the day is calm soon after each leader's end.
func LeavingTakeoverPlan(seed uint64) Plan {
	plan := leavingBasePlan(seed)
	plan.Leaving = Leaving{
		Series: minTakeovers + int(seed%takeoversRange), Least: 2, Most: 4, Apart: 9 * time.Second,
		Kinds: []LeaveKind{LeaveReleased, LeaveSpot, LeaveUnannounced},
	}
	plan.Takeovers = Takeovers{
		Ends: plan.Leaving.Series, Apart: 5 * time.Second, Delay: time.Duration(1+seed%takeoverSteps) * takeoverStep,
		How: LeaderEnd(seed / 2 % uint64(leaderEnds)), Suspects: seed%7 < 4,
	}
	if seed/12%consecutiveEvery == 0 {
		plan.Takeovers.Apart = 0
	}
	plan.Lasting = 0.75 + 0.05*float64(seed%5)
	plan.Jobs, plan.Trouble, plan.End = 30, 70*time.Second, 125*time.Second
	return plan
}
