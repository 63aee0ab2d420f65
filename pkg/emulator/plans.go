package emulator

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
)

// Plan configures a day, which is one emulated run of a deployment: its size, its length and its faults.
type Plan struct {
	Seed uint64
	// Cells is the number of cells among which the hosts and the workers are distributed.
	Cells   int
	Hosts   int
	Workers int
	Jobs    int
	// Traffic is the time until which jobs are submitted, Trouble the time until which faults are injected, End the
	// length of the day. All count from the beginning of the day.
	Traffic, Trouble, End time.Duration
	// Faults is the number of faults of random kinds that are injected between 2 s and Trouble.
	Faults int
	Unsafe cell.Unsafe
	// LinkRate is the rate in bytes per second at which each host sends; 0 means no limit. A message waits until all
	// earlier messages of the host have been sent.
	LinkRate float64
	// Without is the set of mechanisms of the cell that are disabled.
	Without cell.Mechanism
	// SameIDs means that a restarted worker has the id of its previous incarnation.
	SameIDs bool
	// Unbound removes the fence that lets a call reach only the incarnation of the worker that the call is meant for.
	Unbound bool
	// Crashes is how often about half of the workers crash within 300 ms. Each restarts after up to 1.5 s.
	Crashes int
	// Flaps is how often a single worker crashes and restarts after up to 3 s, in addition to Faults.
	Flaps int
	// Resets means that workers which crash for no task crash as processes do that the operating system kills: open
	// connections break at once.
	Resets bool
	// CrashTasks is the number of jobs with a task that crashes each worker that starts it.
	CrashTasks int
	// Unguarded means that workers start tasks without checking their capacity. Rooms is how often the capacity of
	// a worker shrinks for a while.
	Unguarded bool
	Rooms     int
	// Suspends is how often a host is suspended for some seconds. Steady means that the hosts decide by a clock that
	// does not count the time of a suspension.
	Suspends int
	Steady   bool
	// Deposed is how often a leader is replaced while it goes on, because the table fails or the leader is cut off
	// from it. Touch means that the rules for hosts in contact are checked at every start.
	Deposed int
	Touch   bool
	// HallCuts is how often the hall that receives most jobs is cut off from the other halls and from the table.
	HallCuts int
	// Evacuations is how often an operator orders the evacuation of a hall for a while.
	Evacuations int
	// LateOrders is how often a worker executes some orders up to 2 s after they were sent. RemovedHosts is how often a
	// host is removed for good.
	LateOrders, RemovedHosts int
	// LostAnswers means that some callers get no answer to a cancel that is recorded.
	LostAnswers bool
	// Aftermath configures faults that follow crashes.
	Aftermath Aftermath
	// Takeovers configures leaders that end after workers begin to leave.
	Takeovers Takeovers
	// OddRows means that rows of the worker registry become invalid for a while, and that the registry holds rows of
	// unknown workers.
	OddRows bool
	// Leaving configures which workers leave for good. Lasting is the fraction of all cores that is reserved by
	// lasting tasks that nobody cancels before the faults are over. The rule LOST for lasting tasks checks these.
	Leaving Leaving
	Lasting float64
	// ConfirmedHandover is the setting of that name of all hosts. Restarts is how often all hosts are stopped as planned and
	// restarted, one after the other, while the table is slow at times.
	ConfirmedHandover bool
	Restarts          int
	// Relays means that most hosts learn of leaderships from others. Undated removes the fence that lets what they learn
	// age from the time at which the table was read.
	Relays, Undated bool
	// MostEnds is how many ends a worker lists at once, the oldest first; 0: all.
	MostEnds int
	// Idle means that the rule IDLE is checked. IdleByReservations means that it counts capacity by reservations, as the
	// platform does: fillers take memory, but no processors.
	Idle, IdleByReservations bool
	// Backlog configures bursts of fillers shortly before Traffic ends.
	Backlog Backlog
	// ScarceMemory configures cells whose memory is full while their processors are free. The rule LOST for lasting tasks
	// is checked on such days.
	ScarceMemory ScarceMemory
	// LabelJobs is the number of jobs whose tasks need a label that one worker of each cell has. That of the first cell
	// leaves for good.
	LabelJobs int
	// AdvisedJobs is the number of jobs whose starts need a ticket of the advice service, which approves no worker of the first
	// cell.
	AdvisedJobs int
	// UrgentWait is the setting urgentWait of all hosts. UrgentJobs is the number of urgent jobs in each of the waves that
	// come beside the other jobs until Traffic.
	UrgentWait time.Duration
	UrgentJobs int
	// UrgentLoad configures a steady load of urgent jobs, beside which lasting tasks wait.
	UrgentLoad UrgentLoad
	// Pending means that hosts are asked for the counts of pending jobs, and that the rule PENDING is checked. CutsInTurn is
	// how often a hall is cut off for some seconds, one after the other.
	Pending    bool
	CutsInTurn int
	// Processor is the processor time that the work of hosts takes.
	Processor Processor
	// Inventory configures the platform's inventory. Losses configures workers that are lost together with the host of their
	// leader.
	Inventory Inventory
	Losses    Losses
	// CancelChanges means that a leader takes only the rows of cancels that have changed since its last reading, as it does on
	// the platform, and that the rule KEPT is checked. Without it a leader takes all rows at each reading.
	CancelChanges bool
	// GivingUp configures callers that cancel a job without an answer to its submission.
	GivingUp GivingUp
	// CutOffs is the number of rounds in which workers are cut off from all hosts while they go on.
	CutOffs int
	// Load, if set, replaces the random cells, workers and jobs.
	Load *Load `json:"-"`
}

// DefaultPlan returns the plan of a small day of one cell with all kinds of faults.
func DefaultPlan(seed uint64) Plan {
	return Plan{
		Seed: seed, Cells: 1, Hosts: 3, Workers: 5, Jobs: 24, Faults: 10,
		Traffic: 15 * time.Second, Trouble: 20 * time.Second, End: 75 * time.Second,
	}
}

// TwoCellPlan returns the plan of a day of two cells that delegate tasks to each other. Most jobs are submitted to the
// first cell, so that its capacity is often exceeded. Some jobs consist of lasting tasks, which run until they are
// cancelled.
func TwoCellPlan(seed uint64) Plan {
	plan := DefaultPlan(seed)
	plan.Cells, plan.Hosts, plan.Workers, plan.Jobs = 2, 4, 6, 40
	return plan
}

// FullListsPlan returns the plan of a day of two cells on which workers often have more ends than they list at once, beside
// random faults or deposed leaders.
func FullListsPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	if seed%2 == 1 {
		plan = DeposedPlan(seed)
	}
	plan.MostEnds = 3
	return plan
}

// SameIDsPlan returns the plan of a day on which many workers crash at once and restart under their previous ids, from
// the first second of work on.
func SameIDsPlan(seed uint64) Plan {
	plan := DefaultPlan(seed)
	plan.SameIDs, plan.Crashes = true, 5
	return plan
}

// TroubledCellsPlan returns the plan of a day of two cells that delegate tasks, with crashes of many workers, restarts
// under previous ids and invalid registry rows.
func TroubledCellsPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.SameIDs, plan.Crashes, plan.OddRows = true, 4, true
	return plan
}

// OddRowsPlan returns a SameIDsPlan with fewer crashes on which registry rows of workers become invalid, too.
func OddRowsPlan(seed uint64) Plan {
	plan := SameIDsPlan(seed)
	plan.Crashes, plan.OddRows = 2, true
	return plan
}

// CrashTasksPlan returns the plan of a day of two cells with three jobs that have a task which crashes each worker that
// starts it, among other faults. On days with an even seed workers restart under their previous ids. On two days of
// three many workers crash at once.
func CrashTasksPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Workers, plan.CrashTasks = 12, 3
	plan.SameIDs, plan.Crashes = seed%2 == 0, int(seed%3)
	return plan
}

// CrashWavesPlan returns the plan of a day on which workers crash often, many at once and one by one, and no task
// causes a crash.
func CrashWavesPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Workers, plan.Crashes, plan.Flaps = 12, 4, 12
	plan.SameIDs = seed%2 == 0
	return plan
}

// ResetWavesPlan returns a CrashWavesPlan on which the connections of crashed workers break at once.
func ResetWavesPlan(seed uint64) Plan {
	plan := CrashWavesPlan(seed)
	plan.Resets = true
	return plan
}

// ResetWavesCrashTasksPlan returns a CrashTasksPlan on which many workers crash at once on each day, and the
// connections of crashed workers break at once.
func ResetWavesCrashTasksPlan(seed uint64) Plan {
	plan := CrashTasksPlan(seed)
	plan.Crashes, plan.Flaps, plan.Resets = 4, 6, true
	return plan
}

// RoomsPlan returns the plan of a day of two cells whose workers start tasks without checking their capacity, and whose
// capacity shrinks and grows.
func RoomsPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Unguarded, plan.Rooms = true, 12
	plan.SameIDs = seed%2 == 0
	return plan
}

// SuspendsPlan returns the plan of a day of two cells on which hosts, mostly leaders, are suspended. Suspensions fall
// also between a decision and its sending, at the answer to a renewal, and into a takeover.
func SuspendsPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Suspends = 10
	plan.SameIDs, plan.Crashes = seed%2 == 0, 1
	return plan
}

// DeposedPlan returns the plan of a day of two cells that delegate tasks. Leaders are cut off from the table and from
// other hosts, and go on until their tenure ends, beside successors that don't reach all workers. Many jobs are
// cancelled.
func DeposedPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Jobs, plan.Faults, plan.Deposed, plan.Touch = 60, 2, 6, true
	return plan
}

// HallCutPlan returns the plan of a day of two overloaded cells. A hall is cut off for longer than a cell stays without
// a leader, while jobs are cancelled that have delegated tasks in the other cell. The only fault of
// the other hall's hosts is that its leader is killed.
func HallCutPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Jobs, plan.Faults, plan.HallCuts, plan.Touch, plan.Pending = 90, 0, 2, true, true
	return plan
}

// CancelsPlan returns the plan of a day of two cells on which many running jobs are cancelled, some without an answer,
// workers execute orders late, and hosts are removed for good. The rest of the day has no faults, so that the rule
// UNASKED for runs of cancelled jobs holds then for each of them.
func CancelsPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Hosts, plan.Jobs, plan.Faults, plan.Touch = 5, 70, 0, true
	plan.LateOrders, plan.RemovedHosts, plan.LostAnswers = 24, 2, true
	plan.Traffic, plan.Trouble, plan.End = 14*time.Second, 16*time.Second, 60*time.Second
	return plan
}

// AllTroublesPlan returns a CrashTasksPlan with suspensions, shrinking capacity, workers that don't check their
// capacity, and invalid registry rows.
func AllTroublesPlan(seed uint64) Plan {
	plan := CrashTasksPlan(seed)
	plan.Suspends, plan.Rooms, plan.Unguarded, plan.OddRows = 4, 6, true, true
	return plan
}
