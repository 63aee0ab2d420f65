package emulator_test

import (
	"bytes"
	"compress/gzip"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/emulator"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
)

// recordablePlans are the plans whose days can be recorded, by name.
var recordablePlans = map[string]func(seed uint64) emulator.Plan{
	"default": emulator.DefaultPlan, "two cells": emulator.TwoCellPlan, "same ids": emulator.SameIDsPlan,
	"troubled cells": emulator.TroubledCellsPlan, "odd rows": emulator.OddRowsPlan, "crash tasks": emulator.CrashTasksPlan,
	"crash waves": emulator.CrashWavesPlan, "reset waves": emulator.ResetWavesPlan, "crash tasks in reset waves": emulator.ResetWavesCrashTasksPlan,
	"rooms": emulator.RoomsPlan, "suspends": emulator.SuspendsPlan,
	"leaving": emulator.LeavingPlan, "leaving trouble": emulator.LeavingTroublePlan, "leaving takeover": emulator.LeavingTakeoverPlan, "release": emulator.ReleasePlan,
	"evacuation leaving": emulator.EvacuationLeavingPlan, "urgent trouble": emulator.UrgentTroublePlan,
	"urgent load": shortUrgentLoadPlan, "cancels": emulator.CancelsPlan, "deposed": emulator.DeposedPlan, "hall cut": emulator.HallCutPlan, "all troubles": emulator.AllTroublesPlan,
	"pending": emulator.PendingPlan, "lost workers": emulator.LostWorkersPlan, "failing inventory": emulator.FailingInventoryPlan, "cut-off workers": emulator.CutOffWorkersPlan, "giving up": emulator.GivingUpPlan,
}

func TestScriptReplaysRecordedDay(t *testing.T) {
	t.Parallel()
	for name, plan := range recordablePlans {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			drawn, _ := emulator.Play(plan(5))
			script, recorded, _, err := emulator.Record(plan(5))
			must.NoError(t, err)
			must.Eq(t, story(drawn), story(recorded))
			file, err := script.Encode()
			must.NoError(t, err)
			must.Less(t, 200_000, len(file))
			read, err := emulator.DecodeScript("a file", file)
			must.NoError(t, err)
			for range 2 {
				played, _ := read.Play()
				must.Eq(t, story(drawn), story(played))
			}
		})
	}
}

func story(w *emulator.World) string { return strings.Join(w.Log, "\n") }

// A script draws the same numbers each time after the end of its tapes.
func TestScriptWithoutTapesIsDeterministic(t *testing.T) {
	t.Parallel()
	script, _, _, err := emulator.Record(emulator.DefaultPlan(1))
	must.NoError(t, err)
	script.Tapes = nil
	a, _ := script.Play()
	b, _ := script.Play()
	must.Eq(t, story(a), story(b))
}

// Removing a fault from a script does not change the targets of the other faults.
func TestRemovingFaultKeepsOtherFaults(t *testing.T) {
	t.Parallel()
	script, recorded, _, err := emulator.Record(emulator.TwoCellPlan(3))
	must.NoError(t, err)
	out := script.Faults[0]
	script.Faults = script.Faults[1:]
	played, _ := script.Play()
	want := linesWith(recorded.Log, "FAULT")
	must.StrContains(t, want[0], out.String())
	must.Eq(t, want[1:], linesWith(played.Log, "FAULT"))
}

func linesWith(log []string, word string) []string {
	var list []string
	for _, line := range log {
		if strings.Contains(line, word) {
			list = append(list, line)
		}
	}
	return list
}

func TestRecordRefusesDayOfGivenLoad(t *testing.T) {
	t.Parallel()
	_, _, _, err := emulator.Record(weakLinkPlan(1))
	must.Eq(t, fault.BadInput, fault.CodeOf(err))
	must.ErrorContains(t, err, "Plan.Load")
}

func TestDecodeScriptRefusesInvalidScripts(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ name, old, now, want string }{
		{"version", `"Version":1`, `"Version":2`, `Version: "2"`},
		{"unknown field", `"Hosts":`, `"Ghosts":`, `"Ghosts"`},
		{"unknown field of the plan", `"Crashes":`, `"Sunsets":`, `"Sunsets"`},
		{"unknown field of a specification", `"body":`, `"soul":`, `soul`},
		{"type", `"Kind":"kill-host"`, `"Kind":7`, `Faults.Kind`},
		{"fault kind", `"Kind":"kill-host"`, `"Kind":"flood"`, `Faults[0].Kind: "flood"`},
		{"fault target", `"Target":"host-0"`, `"Target":"worker-0"`, `Faults[0].Target: "worker-0"`},
		{"fault peer", `"Peer":"table"`, `"Peer":"chair"`, `Faults[1].Peer: "chair"`},
		{"cell of a worker", `{"Name":"worker-0","Cell":"hall-0"}`, `{"Name":"worker-0","Cell":"hall-7"}`, `Workers[0].Cell: "hall-7"`},
		{"host's name", `{"Name":"host-1"`, `{"Name":"host-0"`, `Hosts[1].Name: "host-0"`},
		{"cancelled job", `"Job":"0000000000000001"`, `"Job":"00"`, `Cancels[0].Job: "00"`},
		{"trailing value", `"Version":1`, "", "after top-level value"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			text := smallScriptText(t)
			if c.now == "" {
				text += "{}"
			} else {
				must.StrContains(t, text, c.old)
				text = strings.Replace(text, c.old, c.now, 1)
			}
			_, err := emulator.DecodeScript("a-case/script.json.gz", compressed(t, text))
			must.Eq(t, fault.BadInput, fault.CodeOf(err))
			must.ErrorContains(t, err, "a-case/script.json.gz")
			must.ErrorContains(t, err, c.want)
		})
	}
	_, err := emulator.DecodeScript("a-case/script.json.gz", []byte("no gzip"))
	must.ErrorContains(t, err, "a-case/script.json.gz")
}

// Guards against scripts that fault a worker before it joins, which Play can't find, and against two workers of one name.
func TestCheckRefusesInvalidJoinsAndLeaves(t *testing.T) {
	t.Parallel()
	join := func(at time.Duration, name, cell string) emulator.Fault {
		return emulator.Fault{At: at, Kind: emulator.JoinWorker, Target: name, Cell: cell}
	}
	leave := func(at time.Duration, name string) emulator.Fault {
		return emulator.Fault{At: at, Kind: emulator.LeaveWorker, Target: name, For: time.Second}
	}
	cut := emulator.Fault{At: time.Second, Kind: emulator.CutLink, Target: "host-0", Peer: "worker-9"}
	spot := leave(time.Second, "worker-0")
	spot.How = int(emulator.LeaveLost) + 1
	crash := emulator.Fault{At: time.Second, Kind: emulator.CrashWorker, Target: "worker-0", Cell: "hall-0"}
	for _, c := range []struct {
		name   string
		faults []emulator.Fault
		want   string // "" if the faults are valid
	}{
		{"join, then leave", []emulator.Fault{join(time.Second, "worker-9", "hall-0"), leave(time.Second, "worker-9")}, ""},
		{"join, listed after a later leave", []emulator.Fault{leave(2*time.Second, "worker-9"), join(time.Second, "worker-9", "hall-0")}, ""},
		{"leave before the join", []emulator.Fault{leave(time.Second, "worker-9"), join(2*time.Second, "worker-9", "hall-0")}, `Faults[0].Target: "worker-9" joins later`},
		{"leave at the join, listed first", []emulator.Fault{leave(time.Second, "worker-9"), join(time.Second, "worker-9", "hall-0")}, `Faults[0].Target: "worker-9" joins later`},
		{"cut before the join", []emulator.Fault{cut, join(2*time.Second, "worker-9", "hall-0")}, `Faults[0].Peer: "worker-9" joins later`},
		{"leave without a join", []emulator.Fault{leave(time.Second, "worker-9")}, `Faults[0].Target: "worker-9" is not of the type`},
		{"leave of a host", []emulator.Fault{leave(time.Second, "host-0")}, `Faults[0].Target: "host-0" is not of the type`},
		{"two leaves", []emulator.Fault{leave(time.Second, "worker-0"), leave(2*time.Second, "worker-0")}, `Faults[1].Target: "worker-0" leaves twice`},
		{"unknown kind of leave", []emulator.Fault{spot}, `Faults[0].How: 5 is not valid for leave-worker`},
		{"unknown cell", []emulator.Fault{join(time.Second, "worker-9", "hall-7")}, `Faults[0].Cell: "hall-7" is not a cell`},
		{"cell of another kind", []emulator.Fault{crash}, `Faults[0].Cell: crash-worker takes no cell`},
		{"name of a worker", []emulator.Fault{join(time.Second, "worker-0", "hall-0")}, `Faults[0].Target: "worker-0" is empty or used twice`},
		{"name of a host", []emulator.Fault{join(time.Second, "host-0", "hall-0")}, `Faults[0].Target: "host-0" is empty or used twice`},
		{"name of the table", []emulator.Fault{join(time.Second, "table", "hall-0")}, `Faults[0].Target: "table" is empty or used twice`},
		{"no name", []emulator.Fault{join(time.Second, "", "hall-0")}, `Faults[0].Target: "" is empty or used twice`},
		{"two joins", []emulator.Fault{join(time.Second, "worker-9", "hall-0"), join(2*time.Second, "worker-9", "hall-0")}, `Faults[1].Target: "worker-9" is empty or used twice`},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			script, _, _, err := emulator.Record(emulator.DefaultPlan(1))
			must.NoError(t, err)
			script.Faults = c.faults
			err = script.Check("a-script")
			if c.want == "" {
				must.NoError(t, err)
				script.Play()
				return
			}
			must.Eq(t, fault.BadInput, fault.CodeOf(err))
			must.ErrorContains(t, err, c.want)
		})
	}
}

// leavingPlans are the plans on which workers leave or lasting tasks stay, by name.
var leavingPlans = map[string]func(seed uint64) emulator.Plan{
	"leaving": emulator.LeavingPlan, "leaving trouble": emulator.LeavingTroublePlan, "leaving takeover": emulator.LeavingTakeoverPlan, "release": emulator.ReleasePlan,
	"evacuation leaving": emulator.EvacuationLeavingPlan, "urgent trouble": emulator.UrgentTroublePlan,
}

// Guards against scripts of leaving workers that lose what broke a rule. Fences are removed so that days break rules.
func TestScriptOfLeavingWorkersBreaksSameRules(t *testing.T) {
	t.Parallel()
	var breaking atomic.Int64
	t.Run("plans", func(t *testing.T) {
		for name, plan := range leavingPlans {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(3) {
					p := plan(seed)
					p.Unsafe = cell.Unsafe{NoSettling: true, NoLeaseWait: true}
					_, drawn := emulator.Play(p)
					script, _, recorded, err := emulator.Record(p)
					must.NoError(t, err)
					file, err := script.Encode()
					must.NoError(t, err)
					read, err := emulator.DecodeScript("a file", file)
					must.NoError(t, err)
					_, played := read.Play()
					must.Eq(t, drawn, recorded)
					must.Eq(t, drawn, played)
					if len(drawn) > 0 {
						breaking.Add(1)
					}
				}
			})
		}
	})
	t.Logf("%d days break rules", breaking.Load())
	must.Positive(t, breaking.Load())
}

// smallScriptText returns the JSON text of a script with two faults of different kinds and one cancel.
func smallScriptText(t *testing.T) string {
	t.Helper()
	script, _, _, err := emulator.Record(emulator.DefaultPlan(1))
	must.NoError(t, err)
	script.Faults = []emulator.Fault{
		{At: time.Second, Kind: emulator.KillHost, Target: "host-0", For: time.Second},
		{At: time.Second, Kind: emulator.CutLink, Target: "host-1", Peer: "table", For: time.Second},
	}
	script.Cancels = []emulator.Cancel{{At: time.Second, Job: "0000000000000001"}}
	file, err := script.Encode()
	must.NoError(t, err)
	z, err := gzip.NewReader(bytes.NewReader(file))
	must.NoError(t, err)
	text, err := io.ReadAll(z)
	must.NoError(t, err)
	return string(text)
}

func compressed(t *testing.T, text string) []byte {
	t.Helper()
	var file bytes.Buffer
	z := gzip.NewWriter(&file)
	_, err := z.Write([]byte(text))
	must.NoError(t, err)
	must.NoError(t, z.Close())
	return file.Bytes()
}
