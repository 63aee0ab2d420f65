// Package reduce cuts a script that breaks a rule of the emulator down to little that still breaks the
// same rule: by delta debugging over its jobs, faults, cancels, workers, hosts and tapes, then by rounding
// moments and lengths.
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

// endOfDayRule is the rule that is asked only at the end of a day.
const endOfDayRule = "LOST"

// timeAfterBreak is for how long a day is played on, while it is cut down, after the rule was broken.
const timeAfterBreak = 5 * time.Second

// Result is what is left of a script.
type Result struct {
	Script *emulator.Script
	// Rule is the one that it breaks, Plays how many days were played for it.
	Rule  string
	Plays int
	// Done says that nothing more can be taken out, not that the time was over.
	Done bool
}

// Option changes how a script is cut down.
type Option func(*reducer)

// WithRule names the rule, where a script breaks several.
func WithRule(rule string) Option { return func(r *reducer) { r.rule = rule } }

// WithReference names code on which what is left breaks no rule: holds says whether that is so. Without it a
// script may be cut down to one that breaks the rule for another reason. This code with all fences
// in is such code for a script that takes some out, if that script breaks no rule there.
func WithReference(holds func(s *emulator.Script) bool) Option {
	return func(r *reducer) { r.references = append(r.references, holds) }
}

// WithProgress has each step told.
func WithProgress(tell func(line string)) Option { return func(r *reducer) { r.progress = tell } }

type reducer struct {
	ctx        context.Context
	best       *emulator.Script
	rule       string
	references []func(s *emulator.Script) bool
	progress   func(line string)
	plays      int
	// dayEnd is when the whole day is over.
	dayEnd time.Duration
	// alternatives is how many other days are tried where one does not break the rule any more.
	alternatives uint64
}

// Script cuts a script down until nothing more can be taken out or the context is over. It stays as it is.
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

// checkReferences looks whether the script itself breaks no rule on good code.
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

// withAllFences is a script with all fences in.
func withAllFences(s *emulator.Script) *emulator.Script {
	f := *s
	f.Plan.Unsafe, f.Plan.Unbound, f.Plan.Steady = cell.Unsafe{}, false, false
	return &f
}

// endAfter ends the day soon after the rule was broken, and leaves out what comes later.
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

// alternativeCounts are how many other days are tried of what can't be cut further, one number after the other.
var alternativeCounts = []uint64{0, 12, 48}

// reduceAll takes out group by group until nothing more goes, then what goes on days on which other things are
// drawn, and rounds what is left.
func (r *reducer) reduceAll() {
	for _, r.alternatives = range alternativeCounts {
		r.cutUntilStable()
	}
	r.alternatives = 0
	r.roundTimes()
}

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

// size is how much of a script is left.
func (r *reducer) size() int {
	s := r.best
	return EventCount(s) + len(s.Workers) + len(s.Hosts) + len(s.Tapes)
}

// EventCount is how many events a script plans.
func EventCount(s *emulator.Script) int { return len(s.Jobs) + len(s.Faults) + len(s.Cancels) }

// tryWithAlternatives plays a script, and others with other draws, and keeps the first that still breaks the rule.
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

// tryScript plays a script, and keeps it if it still breaks the rule.
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

// referencesPass says whether a script breaks no rule on good code, to the end of its whole day.
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

// dropFaultsWithoutTarget takes out the faults that strike what is not there any more.
func dropFaultsWithoutTarget(s *emulator.Script) {
	there := map[string]bool{"": true, "table": true}
	for _, p := range slices.Concat(s.Hosts, s.Workers) {
		there[p.Name] = true
	}
	s.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(f emulator.Fault) bool {
		return !there[f.Peer] || (f.Kind != emulator.CutCell && !there[f.Target])
	})
}

// cutTapes takes out what was drawn: all of it, by purpose, and by stream.
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

func purposeOf(stream string) string {
	purpose, _, _ := strings.Cut(stream, " ")
	return purpose
}

func (r *reducer) keepTapes(keeps func(stream string) bool) bool {
	s := *r.best
	s.Tapes = maps.Clone(s.Tapes)
	maps.DeleteFunc(s.Tapes, func(stream string, _ []uint64) bool { return !keeps(stream) })
	return r.tryScript("tapes", &s)
}
