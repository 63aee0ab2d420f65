package emulator

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
)

// Plan says what a day is made of.
type Plan struct {
	Seed uint64
	// Cells is how many cells share the hosts and the workers.
	Cells   int
	Hosts   int
	Workers int
	Jobs    int
	// Traffic is how long jobs come, Trouble how long faults strike, End when
	// the day is over.
	Traffic, Trouble, End time.Duration
	// Faults is how many strike between 2 s and Trouble.
	Faults int
	Unsafe cell.Unsafe
	// LinkRate is how many bytes a second each host's link carries away from it; 0: any
	// number. What is sent waits for what was sent before.
	LinkRate float64
	// Without are mechanisms that are left out.
	Without cell.Mechanism
	// SameIDs says that a worker that starts again has the id that it had.
	SameIDs bool
	// Unbound takes out the fence by which calls reach only the life that they are for.
	Unbound bool
	// Crashes is how often half of the workers crash within a moment, each for a while.
	Crashes int
	// Flaps is how often a single worker crashes for a short while, besides the faults.
	Flaps int
	// CrashTasks is how many jobs have a task that crashes each worker that starts it.
	CrashTasks int
	// Unguarded says that workers start whatever they are told, Rooms how often one's room shrinks for
	// a while.
	Unguarded bool
	Rooms     int
	// Suspends is how often a host is suspended for some seconds. Steady says that its decisions go by
	// a clock that does not count that time.
	Suspends int
	Steady   bool
	// Deposed is how often a leader is cut off from the table, and so replaced while it goes on, Touch
	// that the rules which bind hosts that are in touch are asked at every start.
	Deposed int
	Touch   bool
	// HallCuts is how often the hall that most jobs come to is cut off from the others and the table.
	HallCuts int
	// OddRows says that rows of the list of workers are spoilt, and that others wrote some.
	OddRows bool
	// Leaving says which workers leave for good, Lasting which part of all cores is reserved by lasting tasks
	// that stay until the trouble is over: those of the rule about them.
	Leaving Leaving
	Lasting float64
	// Load, where set, takes the place of the drawn cells, workers and jobs.
	Load *Load `json:"-"`
}

// DefaultPlan is a small day with all kinds of faults.
func DefaultPlan(seed uint64) Plan {
	return Plan{
		Seed: seed, Cells: 1, Hosts: 3, Workers: 5, Jobs: 24, Faults: 10,
		Traffic: 15 * time.Second, Trouble: 20 * time.Second, End: 75 * time.Second,
	}
}

// TwoCellPlan is a day of two cells that lend each other tasks: jobs go to one of them
// by chance, so that it often has too little room. Some of them last until they are
// cancelled.
func TwoCellPlan(seed uint64) Plan {
	plan := DefaultPlan(seed)
	plan.Cells, plan.Hosts, plan.Workers, plan.Jobs = 2, 4, 6, 40
	return plan
}

// SameIDsPlan is a day on which workers crash many at once and start again under the ids
// that they had, from the first second of work on.
func SameIDsPlan(seed uint64) Plan {
	plan := DefaultPlan(seed)
	plan.SameIDs, plan.Crashes = true, 5
	return plan
}

// TroubledCellsPlan is a day of two cells that lend, with all of that.
func TroubledCellsPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.SameIDs, plan.Crashes, plan.OddRows = true, 4, true
	return plan
}

// OddRowsPlan is such a day on which rows of the list of workers are spoilt, too.
func OddRowsPlan(seed uint64) Plan {
	plan := SameIDsPlan(seed)
	plan.Crashes, plan.OddRows = 2, true
	return plan
}

// CrashTasksPlan is a day of two cells with some tasks that crash each worker that starts them,
// among other troubles: on some days workers come back under their ids, on some many crash at once.
func CrashTasksPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Workers, plan.CrashTasks = 12, 3
	plan.SameIDs, plan.Crashes = seed%2 == 0, int(seed%3)
	return plan
}

// CrashWavesPlan is a day on which workers crash often, many at once and one by one, and no task
// is to blame.
func CrashWavesPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Workers, plan.Crashes, plan.Flaps = 12, 4, 12
	plan.SameIDs = seed%2 == 0
	return plan
}

// RoomsPlan is a day of two cells whose workers start whatever they are told, and whose rooms shrink
// and grow.
func RoomsPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Unguarded, plan.Rooms = true, 12
	plan.SameIDs = seed%2 == 0
	return plan
}

// SuspendsPlan is a day of two cells on which hosts, leaders mostly, are suspended, at the worst moments
// too: between a decision and its sending, as a renewal's answer comes, in a takeover.
func SuspendsPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Suspends = 10
	plan.SameIDs, plan.Crashes = seed%2 == 0, 1
	return plan
}

// DeposedPlan is a day of two cells that lend, on which leaders are cut off from the table and from other
// hosts, and go on for their tenure beside successors that don't reach all workers; many jobs are
// cancelled.
func DeposedPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Jobs, plan.Faults, plan.Deposed, plan.Touch = 60, 2, 6, true
	return plan
}

// HallCutPlan is a day of two cells under more load than they bear, on which a hall is cut off for longer
// than a cell goes without a leader, while jobs are cancelled of which the other has tasks. Nothing else ails the hosts
// of the other hall.
func HallCutPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Jobs, plan.Faults, plan.HallCuts, plan.Touch = 90, 0, 2, true
	return plan
}

// AllTroublesPlan is a day with all that may come together.
func AllTroublesPlan(seed uint64) Plan {
	plan := CrashTasksPlan(seed)
	plan.Suspends, plan.Rooms, plan.Unguarded, plan.OddRows = 4, 6, true, true
	return plan
}
