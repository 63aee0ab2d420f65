// Package reduce reduces a script that breaks a rule of the emulator to a small one that still breaks the same rule: by
// delta debugging over its jobs, faults, cancels, workers, hosts and tapes, then by rounding times and durations.
package reduce

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/emulator"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
)

// endOfDayRule is the rule that is checked at the end of a day, so that the day can't be shortened.
const endOfDayRule = "LOST"

// timeAfterBreak is the time for which a day is played on after the first break of the rule, during the reduction.
const timeAfterBreak = 5 * time.Second

// Result is the result of a reduction.
type Result struct {
	Script *emulator.Script
	// Rule is the rule that the script breaks, Plays the number of days played during the reduction.
	Rule  string
	Plays int
	// Done means that nothing more can be removed. It is false if the context ended first.
	Done bool
}

// Option is an option of Script.
type Option func(*reducer)

// WithRule sets the rule to break, for a script that breaks several. The default is the first one broken.
func WithRule(rule string) Option { return func(r *reducer) { r.rule = rule } }

// WithReference adds reference code on which the reduced script has to break no rule: holds returns whether a script
// breaks none there. Without a reference the reduced script may break the rule for another reason than the original.
// For a script that removes fences, this code with all fences is a reference, if the script breaks no rule there.
func WithReference(holds func(s *emulator.Script) bool) Option {
	return func(r *reducer) { r.references = append(r.references, holds) }
}

// WithProgress sets a function that is called with a line of text for each successful step.
func WithProgress(progress func(line string)) Option {
	return func(r *reducer) { r.progress = progress }
}

type reducer struct {
	ctx        context.Context
	best       *emulator.Script
	rule       string
	references []func(s *emulator.Script) bool
	progress   func(line string)
	plays      int
	// dayEnd is the end of the original day.
	dayEnd time.Duration
	// alternatives is the number of values of Script.Beyond that are tried, without tapes, if a script does not break
	// the rule.
	alternatives uint64
}

// Script reduces a script until nothing more can be removed or the context ends. It does not modify s. It returns a
// BadInput error if s is invalid, does not break the rule, or breaks a rule on reference code.
func Script(ctx context.Context, s *emulator.Script, opts ...Option) (*Result, error) {
	r := &reducer{ctx: ctx, best: s, dayEnd: s.Plan.End, progress: func(string) {}}
	for _, o := range opts {
		o(r)
	}
	if err := s.Check("script"); err != nil {
		return nil, err
	}
	w, broken := s.Play()
	r.plays++
	if len(broken) == 0 {
		return nil, fault.New(fault.BadInput, "script", "breaks no rule", "reduce a script that does")
	}
	if r.rule == "" {
		r.rule, _, _ = strings.Cut(broken[0], ":")
	}
	at, ok := w.FirstBreaks()[r.rule]
	if !ok {
		return nil, fault.New(fault.BadInput, r.rule, "is not a rule that the script breaks", "it breaks "+strings.Join(slices.Sorted(maps.Keys(w.FirstBreaks())), ", "))
	}
	if err := r.checkReferences(s); err != nil {
		return nil, err
	}
	r.endAfter(at)
	r.reduceAll()
	left := *r.best
	left.Plan.End = r.dayEnd
	return &Result{Script: &left, Rule: r.rule, Plays: r.plays, Done: ctx.Err() == nil}, nil
}

// checkReferences adds this code with all fences as a reference, if the script removes fences and breaks no rule with
// all of them. It returns an error if the script breaks a rule on reference code.
func (r *reducer) checkReferences(s *emulator.Script) error {
	if p := s.Plan; p.Unsafe != (cell.Unsafe{}) || p.Unbound || p.Steady {
		fenceHolds := func(s *emulator.Script) bool {
			_, broken := withAllFences(s).Play()
			return len(broken) == 0
		}
		if fenceHolds(s) {
			r.references = append(r.references, fenceHolds)
		}
	}
	for _, holds := range r.references {
		if !holds(s) {
			return fault.New(fault.BadInput, "script", "breaks a rule on good code, too", "name code on which it breaks none")
		}
	}
	return nil
}

// withAllFences returns a copy of a script without its settings that remove fences.
func withAllFences(s *emulator.Script) *emulator.Script {
	f := *s
	f.Plan.Unsafe, f.Plan.Unbound, f.Plan.Steady = cell.Unsafe{}, false, false
	return &f
}

// endAfter ends the day soon after the rule was broken, and removes later faults and cancels.
func (r *reducer) endAfter(at time.Duration) {
	if r.rule == endOfDayRule {
		return
	}
	s := *r.best
	s.Plan.End = min(s.Plan.End, at+timeAfterBreak)
	s.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(f emulator.Fault) bool { return f.At > at })
	s.Cancels = slices.DeleteFunc(slices.Clone(s.Cancels), func(c emulator.Cancel) bool { return c.At > at })
	r.tryWithAlternatives("the end", &s)
}

// alternativeCounts are the numbers of alternative draws (reducer.alternatives) that reduceAll tries per script, in
// this order. It goes on to the next number when the script can't be reduced further.
var alternativeCounts = []uint64{0, 12, 48}

// reduceAll removes what it can with the draws of the script, then with alternative draws, and rounds the times that
// are left.
func (r *reducer) reduceAll() {
	for _, r.alternatives = range alternativeCounts {
		r.cutUntilStable()
	}
	r.alternatives = 0
	r.roundTimes()
}

// cutUntilStable removes parts of all kinds again and again until the script does not shrink.
func (r *reducer) cutUntilStable() {
	for before := -1; before != r.size() && r.ctx.Err() == nil; {
		before = r.size()
		r.cutJobs()
		r.cutFaults()
		r.cutCancels()
		r.cutNodes()
		r.simplifyJobs()
		r.cutTapes()
	}
}

// size returns the number of events, nodes and tapes of the best script.
func (r *reducer) size() int {
	s := r.best
	return EventCount(s) + len(s.Workers) + len(s.Hosts) + len(s.Tapes)
}

// EventCount returns the number of jobs, faults and cancels of a script.
func EventCount(s *emulator.Script) int { return len(s.Jobs) + len(s.Faults) + len(s.Cancels) }

// tryWithAlternatives plays a script, then its variants with alternative draws, and keeps the first that breaks the
// rule. It returns whether there is one.
func (r *reducer) tryWithAlternatives(what string, s *emulator.Script) bool {
	if r.tryScript(what, s) {
		return true
	}
	for n := range r.alternatives {
		other := *s
		other.Tapes, other.Beyond = nil, n
		if r.tryScript(what, &other) {
			return true
		}
	}
	return false
}

// tryScript plays a script, keeps it if it breaks the rule and passes on all references, and returns whether it does.
func (r *reducer) tryScript(what string, s *emulator.Script) bool {
	if r.ctx.Err() != nil || s.Check("script") != nil {
		return false
	}
	w, _ := s.Play()
	r.plays++
	at, breaks := w.FirstBreaks()[r.rule]
	if !breaks || !r.referencesPass(s) {
		return false
	}
	if r.rule != endOfDayRule {
		s.Plan.End = min(s.Plan.End, at+timeAfterBreak)
	}
	s.Tapes = w.TapesRead()
	r.best = s
	r.progress(fmt.Sprintf("%d plays, %d jobs, %d faults, %d cancels, %d workers, %d hosts, %d tapes left: %s",
		r.plays, len(s.Jobs), len(s.Faults), len(s.Cancels), len(s.Workers), len(s.Hosts), len(s.Tapes), what))
	return true
}

// referencesPass returns whether a script breaks no rule on any reference code, up to the end of the original day.
func (r *reducer) referencesPass(s *emulator.Script) bool {
	whole := *s
	whole.Plan.End = r.dayEnd
	return !slices.ContainsFunc(r.references, func(holds func(s *emulator.Script) bool) bool { return !holds(&whole) })
}

func (r *reducer) cutJobs() {
	minimize(r.best.Jobs, func(jobs []emulator.ScriptJob) bool {
		s := *r.best
		s.Jobs = jobs
		left := map[string]bool{}
		for _, j := range jobs {
			left[j.Spec.GetId()] = true
		}
		s.Cancels = slices.DeleteFunc(slices.Clone(s.Cancels), func(c emulator.Cancel) bool { return !left[c.Job] })
		return r.tryWithAlternatives("jobs", &s)
	})
}

func (r *reducer) cutFaults() {
	minimize(r.best.Faults, func(faults []emulator.Fault) bool {
		s := *r.best
		s.Faults = faults
		dropFaultsWithoutTarget(&s)
		return r.tryWithAlternatives("faults", &s)
	})
}

func (r *reducer) cutCancels() {
	minimize(r.best.Cancels, func(cancels []emulator.Cancel) bool {
		s := *r.best
		s.Cancels = cancels
		return r.tryWithAlternatives("cancels", &s)
	})
}

func (r *reducer) cutNodes() {
	minimize(r.best.Workers, func(workers []emulator.Node) bool {
		s := *r.best
		s.Workers = workers
		dropFaultsWithoutTarget(&s)
		return r.tryWithAlternatives("workers", &s)
	})
	minimize(r.best.Hosts, func(hosts []emulator.Node) bool {
		s := *r.best
		s.Hosts = hosts
		dropFaultsWithoutTarget(&s)
		return r.tryWithAlternatives("hosts", &s)
	})
}

// dropFaultsWithoutTarget removes the faults whose host or worker is not in the script and doesn't join.
func dropFaultsWithoutTarget(s *emulator.Script) {
	there := map[string]bool{"": true, "table": true}
	for _, p := range slices.Concat(s.Hosts, s.Workers) {
		there[p.Name] = true
	}
	for _, f := range s.Faults {
		if f.Kind == emulator.JoinWorker || f.Kind == emulator.JoinHost {
			there[f.Target] = true
		}
	}
	s.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(f emulator.Fault) bool {
		ofCell := f.Kind == emulator.CutCell || f.Kind == emulator.EvacuateHall
		return !there[f.Peer] || (!ofCell && !there[f.Target])
	})
}

// cutTapes removes tapes: all of them, then those of a purpose, then single ones.
func (r *reducer) cutTapes() {
	purposes := map[string]bool{}
	for stream := range r.best.Tapes {
		purposes[purposeOf(stream)] = true
	}
	minimize(slices.Sorted(maps.Keys(purposes)), func(left []string) bool {
		return r.keepTapes(func(stream string) bool { return slices.Contains(left, purposeOf(stream)) })
	})
	minimize(slices.Sorted(maps.Keys(r.best.Tapes)), func(left []string) bool {
		return r.keepTapes(func(stream string) bool { return slices.Contains(left, stream) })
	})
}

// purposeOf returns the purpose of a stream, which is the first word of the stream's name.
func purposeOf(stream string) string {
	purpose, _, _ := strings.Cut(stream, " ")
	return purpose
}

// keepTapes tries the best script with only the tapes of the streams that keeps accepts.
func (r *reducer) keepTapes(keeps func(stream string) bool) bool {
	s := *r.best
	s.Tapes = maps.Clone(s.Tapes)
	maps.DeleteFunc(s.Tapes, func(stream string, _ []uint64) bool { return !keeps(stream) })
	return r.tryScript("tapes", &s)
}
