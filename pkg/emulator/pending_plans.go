package emulator

import "time"

// PendingPlan returns the plan of a day on which hosts are asked for the counts of pending jobs. Two or three halls with more
// jobs than fit are cut off in turn, so that the leaders of their cells come back, or are replaced, again and again. By
// turns there is one more trouble: evacuations, lasting tasks that wait for capacity, crash tasks and crashes of many
// workers, deposed leaders, or leaders that are suspended.
func PendingPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Jobs, plan.Faults, plan.CutsInTurn, plan.Pending = 70, 0, 4, true
	plan.Traffic, plan.Trouble, plan.End = 20*time.Second, 28*time.Second, 85*time.Second
	if seed%2 == 0 {
		plan.Cells, plan.Hosts, plan.Workers = 3, 6, 9
	}
	switch seed % 5 {
	case 0:
		plan.Evacuations = 3
	case 1:
		plan.Lasting = 0.6
	case 2:
		plan.CrashTasks, plan.Crashes = 2, 3
	case 3:
		plan.Deposed = 3
	default:
		plan.Suspends = 3
	}
	return plan
}
