package emulator_test

import (
	"bytes"
	"compress/gzip"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/emulator"
	"github.com/wrenferry/wrenferry/pkg/fault"
)

// recordablePlans are the plans whose days can be recorded, by name.
var recordablePlans = map[string]func(seed uint64) emulator.Plan{
	"default": emulator.DefaultPlan, "two cells": emulator.TwoCellPlan, "same ids": emulator.SameIDsPlan,
	"troubled cells": emulator.TroubledCellsPlan, "odd rows": emulator.OddRowsPlan, "crash tasks": emulator.CrashTasksPlan,
	"crash waves": emulator.CrashWavesPlan, "reset waves": emulator.ResetWavesPlan, "crash tasks in reset waves": emulator.ResetWavesCrashTasksPlan,
	"rooms": emulator.RoomsPlan, "suspends": emulator.SuspendsPlan,
	"cancels": emulator.CancelsPlan, "deposed": emulator.DeposedPlan, "hall cut": emulator.HallCutPlan, "all troubles": emulator.AllTroublesPlan,
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

func TestRecordRefusesDayWithLeavingWorkers(t *testing.T) {
	t.Parallel()
	_, _, _, err := emulator.Record(emulator.LeavingPlan(1))
	must.ErrorContains(t, err, "Plan.Leaving")
}
