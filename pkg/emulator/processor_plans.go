package emulator

import "time"

// Plans of days on which leaders have little processor time.

// slowProcessor is what a decision and calls take on a host with a small share of a processor.
var slowProcessor = Processor{Decision: 12 * time.Millisecond, Call: 3 * time.Millisecond, Answer: 3 * time.Millisecond}

// ProcessorPlan returns the plan of a day of two cells without faults, whose leaders have little processor time: for half of it
// they have more short tasks to start than they can, while most of the workers' capacity is free.
func ProcessorPlan(seed uint64) Plan {
	plan := TwoCellPlan(seed)
	plan.Workers, plan.Hosts, plan.Faults, plan.Jobs = 48, 4, 0, 0
	plan.UrgentLoad = UrgentLoad{Share: 0.4}
	plan.Processor, plan.Idle = slowProcessor, true
	plan.Traffic, plan.Trouble, plan.End = 26*time.Second, time.Second, 50*time.Second
	return plan
}

// slowAnswers is what decisions and calls take on a host whose calls wait for its processor for longer than their time-outs.
var slowAnswers = Processor{Decision: 12 * time.Millisecond, Call: 8 * time.Millisecond, Answer: 8 * time.Millisecond}

// SlowAnswersPlan returns a ProcessorPlan of leaders whose answers wait for so long that their calls time out. What cannot be
// started in time is not checked.
func SlowAnswersPlan(seed uint64) Plan {
	plan := ProcessorPlan(seed)
	plan.Processor, plan.Idle, plan.UrgentLoad.Share = slowAnswers, false, 0.45
	plan.End = 2 * time.Minute
	return plan
}
