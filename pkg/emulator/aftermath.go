package emulator

import "time"

// Aftermath configures faults that follow crashes of workers, and the ends of tasks that a crash task waits for. They
// force an order of events that random faults produce on few days: a leader ends before it records what it saw.
type Aftermath struct {
	// Crashes is the number of crashes under crash tasks that a fault follows; with Any set, crashes of any cause count.
	Crashes int
	Any     bool
	// Delay is the time from a crash to the fault, Kind the kind of the fault, which is one of a host, and For its
	// duration. It affects the leader of the crashed worker's cell, or with AllHosts each host.
	Delay    time.Duration
	Kind     FaultKind
	For      time.Duration
	AllHosts bool
	// TableDown is how long the table is down after each end of another task of a crash task's job, while the number of
	// crashes is below Crashes.
	TableDown time.Duration
}

// scheduleAftermath makes the faults of Plan.Aftermath follow crashes and ends. The faults are part of a recorded script,
// which therefore plays without it.
func (w *World) scheduleAftermath() {
	plan, followed := w.plan.Aftermath, 0
	if plan.Crashes == 0 {
		return
	}
	w.afterCrash = func(k *worker) {
		if !(plan.Any || k.hasCrashTask()) || followed >= plan.Crashes {
			return
		}
		followed++
		w.after(plan.Delay, func() { w.endLeader(k.Hall) })
	}
	w.afterEnd = func(task string) {
		_, crashes := w.crashTaskDelays[crashTaskKey(task)]
		if plan.TableDown > 0 && followed < plan.Crashes && !crashes && w.hasCrashTaskOf(jobOf(task)) {
			w.injectFault(Fault{Kind: TableDown, For: plan.TableDown})
		}
	}
}

// endLeader injects the fault of Plan.Aftermath into the leader of a cell, or into all hosts.
func (w *World) endLeader(name string) {
	plan, leader := w.plan.Aftermath, w.leaderOf(name)
	for _, h := range w.hosts {
		if h == leader || plan.AllHosts {
			w.injectFault(Fault{Kind: plan.Kind, Target: h.name, For: plan.For})
		}
	}
}

// hasCrashTask returns whether the worker runs a crash task.
func (k *worker) hasCrashTask() bool {
	for task := range k.runs {
		if _, crashes := k.world.crashTaskDelays[crashTaskKey(task)]; crashes {
			return true
		}
	}
	return false
}

// hasCrashTaskOf returns whether a job has a crash task.
func (w *World) hasCrashTaskOf(job string) bool {
	for key := range w.crashTaskDelays {
		if jobOf(key) == job {
			return true
		}
	}
	return false
}

// leaderEndKinds are the kinds of faults with which a leader ends on the days of LeaderEndsPlan.
var leaderEndKinds = []FaultKind{KillHost, KillHost, FreezeHost, SuspendHost}

const (
	// minFollowed and followedRange bound the number of crashes that the end of a leader follows.
	minFollowed, followedRange = 2, 5
	// leaderEndStep is the difference in the delay from a crash to the end of the leader between consecutive days, and
	// leaderEndSteps the number of different delays.
	leaderEndStep  = 20 * time.Millisecond
	leaderEndSteps = 30
	// allHostsEvery is the interval of days on which all hosts end.
	allHostsEvery = 7
)

// LeaderEndsPlan returns the plan of a day on which a leader ends soon after each of the first crashes under the only
// crash task, between 20 and 600 ms later, in different ways by seed. There are no other faults.
func LeaderEndsPlan(seed uint64) Plan {
	plan := CrashTasksPlan(seed)
	plan.Faults, plan.Crashes, plan.CrashTasks = 0, 0, 1
	plan.Aftermath = Aftermath{
		Crashes: minFollowed + int(seed%followedRange), Delay: time.Duration(1+seed%leaderEndSteps) * leaderEndStep,
		Kind: leaderEndKinds[seed/followedRange%uint64(len(leaderEndKinds))], For: 500 * time.Millisecond, AllHosts: seed%allHostsEvery == 0,
	}
	if plan.Aftermath.Kind != KillHost {
		plan.Aftermath.For = 4 * time.Second
	}
	return plan
}

// UnrecordedEndsPlan returns a LeaderEndsPlan on which the table is down for up to 3.5 s after each end of another task of
// the crash task's job.
func UnrecordedEndsPlan(seed uint64) Plan {
	plan := LeaderEndsPlan(seed)
	plan.Aftermath.TableDown = time.Duration(1+seed%7) * 500 * time.Millisecond
	return plan
}

// LeaderEndsInWavesPlan returns a CrashWavesPlan, in which no task causes a crash, on which a leader ends 60 ms after each
// of the first eight crashes. On every second day the connections of crashed workers break at once.
func LeaderEndsInWavesPlan(seed uint64) Plan {
	plan := CrashWavesPlan(seed)
	plan.Faults, plan.Resets = 0, seed/2%2 == 0
	plan.Aftermath = Aftermath{Crashes: 8, Any: true, Delay: 60 * time.Millisecond, Kind: KillHost, For: 500 * time.Millisecond}
	return plan
}
