package emulator

import "time"

// Plans of days on which workers leave while lasting tasks stay.

// leavingBasePlan returns the plan of a day of cells that are often nearly full of lasting tasks that stay.
func leavingBasePlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Workers, plan.Faults, plan.Jobs = 12, 0, 60
	plan.Lasting = 0.6 + 0.05*float64(seed%7)
	plan.Traffic, plan.Trouble, plan.End = 45*time.Second, 55*time.Second, 110*time.Second
	if seed%2 == 1 {
		plan.Cells, plan.Hosts, plan.Workers = 3, 6, 15
	}
	return plan
}

// LeavingPlan returns the plan of a day on which workers leave in all ways, without faults.
func LeavingPlan(seed uint64) Plan {
	plan := leavingBasePlan(seed)
	plan.Leaving = Leaving{Series: 3, Most: 8, Apart: 5 * time.Second, Kinds: []LeaveKind{LeaveReleased, LeaveScaledIn, LeaveSpot, LeaveUnannounced}}
	return plan
}

// LeavingTroublePlan returns a LeavingPlan on which leaders, hosts and workers fail before workers leave, and some tasks
// crash their workers.
func LeavingTroublePlan(seed uint64) Plan {
	plan := LeavingPlan(seed)
	plan.Leaving.Before, plan.Leaving.Apart = 2, 12*time.Second
	plan.CrashTasks = int(seed % 3)
	plan.SameIDs = seed%5 == 0
	return plan
}

// ReleasePlan returns the plan of a day on which nearly all workers are replaced one after the other, after two faults.
func ReleasePlan(seed uint64) Plan {
	plan := LeavingTroublePlan(seed)
	plan.Leaving.Series, plan.Leaving.Most, plan.Leaving.Least, plan.Leaving.Kinds = 2, 16, 12, []LeaveKind{LeaveReleased}
	return plan
}

// LostHallPlan returns the plan of a day of three cells, one of which loses all its workers for good while it has tasks of
// its own and of other cells. There are no other faults.
func LostHallPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Cells, plan.Hosts, plan.Workers, plan.Jobs, plan.Faults = 3, 9, 15, 70, 0
	plan.Idle = true
	plan.Leaving = Leaving{WholeHall: true, Kinds: []LeaveKind{LeaveScaledIn, LeaveSpot, LeaveUnannounced}}
	return plan
}

// PartLostHallPlan returns a LostHallPlan on which one worker of the hall stays, and lasting tasks fill about a third of all
// capacity, and so that worker.
func PartLostHallPlan(seed uint64) Plan {
	plan := LostHallPlan(seed)
	plan.Leaving.Spared, plan.Lasting = 1, 0.35
	return plan
}
