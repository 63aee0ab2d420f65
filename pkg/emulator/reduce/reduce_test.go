package reduce_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/emulator"
	"github.com/wrenferry/wrenferry/pkg/emulator/reduce"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
)

// maxEvents bounds the number of events of a reduced script.
const maxEvents = 10

// maxTimelineLines bounds the number of lines of a timeline.
const maxTimelineLines = 60

// reductionTime bounds the time of one reduction.
const reductionTime = 4 * time.Minute

// shortReductionTime bounds the reduction in the test of references, which does not have to be complete.
const shortReductionTime = 2 * time.Second

// firstBreakingScript returns the script of the first day, from a seed on, that breaks a rule with fences removed.
func firstBreakingScript(t *testing.T, plan func(seed uint64) emulator.Plan, from uint64, unsafe cell.Unsafe, rule string) *emulator.Script {
	t.Helper()
	for seed := from; seed < from+400; seed++ {
		p := plan(seed)
		p.Unsafe = unsafe
		script, _, list, err := emulator.Record(p)
		must.NoError(t, err)
		if strings.Contains(strings.Join(list, ";"), rule+":") {
			t.Logf("seed %d: %s", seed, list[0])
			return script
		}
	}
	t.Fatal("no day broke the rule")
	return nil
}

func TestReducedScriptHasFewEventsAndBreaksSameRule(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		plan   func(seed uint64) emulator.Plan
		from   uint64
		unsafe cell.Unsafe
		rule   string
	}{
		{name: "settling", plan: emulator.DefaultPlan, unsafe: cell.Unsafe{NoSettling: true}, rule: "TWICE"},
		{name: "lease wait", plan: emulator.DefaultPlan, unsafe: cell.Unsafe{NoLeaseWait: true}, rule: "TWICE"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			script := firstBreakingScript(t, c.plan, c.from, c.unsafe, c.rule)
			before, err := script.Encode()
			must.NoError(t, err)
			ctx, end := context.WithTimeout(context.Background(), reductionTime)
			defer end()
			var progress []string
			result, err := reduce.Script(ctx, script, reduce.WithRule(c.rule), reduce.WithProgress(func(line string) { progress = append(progress, line) }))
			must.NoError(t, err)
			must.True(t, result.Done)
			must.SliceNotEmpty(t, progress)
			story := reduce.Timeline(result.Script, c.rule)
			must.LessEq(t, maxTimelineLines, len(story))
			must.StrContains(t, story[len(story)-1], "BROKEN "+c.rule)
			t.Log(result.Plays, "plays\n"+strings.Join(story, "\n"))
			must.LessEq(t, maxEvents, reduce.EventCount(result.Script))
			after, err := script.Encode()
			must.NoError(t, err)
			must.Eq(t, before, after)

			file, err := result.Script.Encode()
			must.NoError(t, err)
			read, err := emulator.DecodeScript("left", file)
			must.NoError(t, err)
			_, list := read.Play()
			must.StrContains(t, strings.Join(list, "\n"), c.rule+":")
			read.Plan.Unsafe = cell.Unsafe{}
			_, list = read.Play()
			must.SliceEmpty(t, list)
		})
	}
}

func TestReducedScriptPassesOnReference(t *testing.T) {
	t.Parallel()
	script := firstBreakingScript(t, emulator.DefaultPlan, 0, cell.Unsafe{NoSettling: true}, "TWICE")
	_, err := reduce.Script(context.Background(), script, reduce.WithReference(func(*emulator.Script) bool { return false }))
	must.Eq(t, fault.BadInput, fault.CodeOf(err))
	must.ErrorContains(t, err, "on good code, too")

	most := len(script.Jobs) - 1
	ctx, end := context.WithTimeout(context.Background(), shortReductionTime)
	defer end()
	result, err := reduce.Script(ctx, script, reduce.WithReference(func(s *emulator.Script) bool { return len(s.Jobs) >= most }))
	must.NoError(t, err)
	must.GreaterEq(t, most, len(result.Script.Jobs))
}

func TestReductionReturnsSmallestScriptAtTimeout(t *testing.T) {
	t.Parallel()
	script := firstBreakingScript(t, emulator.DefaultPlan, 0, cell.Unsafe{NoSettling: true}, "TWICE")
	ctx, end := context.WithCancel(context.Background())
	defer end()
	result, err := reduce.Script(ctx, script, reduce.WithProgress(func(string) { end() }))
	must.NoError(t, err)
	must.False(t, result.Done)
	_, list := result.Script.Play()
	must.StrContains(t, strings.Join(list, "\n"), "TWICE:")
}

func TestReductionRefusesRuleThatIsNotBroken(t *testing.T) {
	t.Parallel()
	script := firstBreakingScript(t, emulator.DefaultPlan, 0, cell.Unsafe{NoSettling: true}, "TWICE")
	_, err := reduce.Script(context.Background(), script, reduce.WithRule("SPREAD"))
	must.ErrorContains(t, err, "SPREAD")
	must.ErrorContains(t, err, "it breaks TWICE")
}

func TestReductionRefusesScriptThatBreaksNoRule(t *testing.T) {
	t.Parallel()
	script, _, _, err := emulator.Record(emulator.DefaultPlan(1))
	must.NoError(t, err)
	_, err = reduce.Script(context.Background(), script)
	must.Eq(t, fault.BadInput, fault.CodeOf(err))
	must.ErrorContains(t, err, "breaks no rule")
	script.Faults[0].Kind = "flood"
	_, err = reduce.Script(context.Background(), script)
	must.ErrorContains(t, err, `Faults[0].Kind: "flood"`)
}
