package reduce

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/emulator"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// jobChanges are functions that each simplify a job in one way. They return false if there is nothing to change.
var jobChanges = []func(j *emulator.ScriptJob) bool{
	func(j *emulator.ScriptJob) bool {
		had := j.Crash != nil
		j.Crash = nil
		return had
	},
	func(j *emulator.ScriptJob) bool {
		had := j.Spec.Repeats != 0
		j.Spec.Repeats, j.Spec.FirstUnixMs, j.Spec.IntervalMs = 0, 0, 0
		return had
	},
	func(j *emulator.ScriptJob) bool { // only the first step
		had := len(j.Spec.Steps) > 1
		j.Spec.Steps = j.Spec.Steps[:1]
		return had
	},
	func(j *emulator.ScriptJob) bool {
		last := len(j.Spec.Steps) - 1
		j.Spec.Steps = j.Spec.Steps[:max(1, last)]
		return last > 0
	},
	func(j *emulator.ScriptJob) bool { // one task per step
		had := false
		for _, step := range j.Spec.Steps {
			had = had || step.Count > 1
			step.Count = 1
		}
		return had
	},
}

// simplifyJobs applies each of jobChanges to each job, and keeps the changes with which the rule is still broken.
func (r *reducer) simplifyJobs() {
	for i := range r.best.Jobs {
		for _, change := range jobChanges {
			s := *r.best
			j := s.Jobs[i]
			spec, ok := proto.Clone(j.Spec.JobSpec).(*wire.JobSpec)
			if !ok {
				continue
			}
			j.Spec = emulator.JobSpec{JobSpec: spec}
			if !change(&j) {
				continue
			}
			s.Jobs = slices.Clone(s.Jobs)
			s.Jobs[i] = j
			r.tryWithAlternatives("simpler jobs", &s)
		}
	}
}

// roundings are the units to which times and durations are rounded, the coarsest first.
var roundings = []time.Duration{time.Second, 100 * time.Millisecond, 10 * time.Millisecond, time.Millisecond}

// roundTimes rounds times and durations: first all at once, from the finest unit to the coarsest, then each by itself to
// the coarsest unit with which the rule is still broken.
func (r *reducer) roundTimes() {
	for _, grain := range slices.Backward(roundings) {
		r.roundChosen(grain, func(int) bool { return true })
	}
	for n := range len(times(r.best)) {
		for _, grain := range roundings {
			if r.roundChosen(grain, func(each int) bool { return each == n }) {
				break
			}
		}
	}
}

// roundChosen rounds the chosen times and returns whether they are round now in the best script.
func (r *reducer) roundChosen(grain time.Duration, chosen func(n int) bool) bool {
	s := *r.best
	s.Jobs, s.Faults, s.Cancels = slices.Clone(s.Jobs), slices.Clone(s.Faults), slices.Clone(s.Cancels)
	changed := false
	for n, moment := range times(&s) {
		if before := *moment; chosen(n) {
			*moment = before.Round(grain)
			changed = changed || *moment != before
		}
	}
	return !changed || r.tryWithAlternatives("rounded", &s)
}

// times returns pointers to all times and durations of a script.
func times(s *emulator.Script) []*time.Duration {
	var list []*time.Duration
	for i := range s.Jobs {
		list = append(list, &s.Jobs[i].At)
	}
	for i := range s.Cancels {
		list = append(list, &s.Cancels[i].At)
	}
	for i := range s.Faults {
		list = append(list, &s.Faults[i].At, &s.Faults[i].For)
	}
	return list
}
