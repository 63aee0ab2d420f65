package emulator

// Plans of days on which operators evacuate halls.

// EvacuationPlan returns the plan of a day with evacuations beside one of the other troubles, by turns: random faults,
// crash tasks with all troubles, deposed leaders, a hall that is cut off, suspended hosts, and crash waves with workers
// that don't check their capacity.
func EvacuationPlan(seed uint64) Plan {
	plans := []func(uint64) Plan{TroubledCellsPlan, AllTroublesPlan, DeposedPlan, HallCutPlan, SuspendsPlan, RoomsPlan}
	plan := plans[seed%uint64(len(plans))](seed)
	plan.Evacuations = 4
	if seed%2 == 0 {
		plan.Cells, plan.Hosts, plan.Workers = 3, 6, max(plan.Workers, 9)
	}
	return plan
}

// EvacuationLeavingPlan returns the plan of a day with evacuations on which lasting tasks stay while workers leave one
// after the other, or nearly all are replaced.
func EvacuationLeavingPlan(seed uint64) Plan {
	plan := LeavingPlan(seed)
	if seed%3 == 0 {
		plan = ReleasePlan(seed)
	}
	plan.Lasting -= 0.3
	plan.Evacuations = 3
	return plan
}
