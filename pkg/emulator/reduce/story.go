package reduce

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/emulator"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// maxLines is how long a story may be: a screen.
const maxLines = 60

// Timeline tells a script's day by time: what is planned, who leads, what crashes, and what becomes of the
// task or job that the rule is broken with, until then. Without a rule it is all of the day's log.
func Timeline(s *emulator.Script, rule string) []string {
	w, broken := s.Play()
	about := ""
	for _, line := range broken {
		if text, ok := strings.CutPrefix(line, rule+": "); ok && rule != "" {
			about, _, _ = strings.Cut(text, " ")
			break
		}
	}
	lines := append(plannedEntries(s), loggedEntries(w.Log, rule, about)...)
	slices.SortStableFunc(lines, func(a, b timelineEntry) int { return int(a.at - b.at) })
	head := fmt.Sprintf("%d hosts (%s), %d workers (%s), %d cells, %d events",
		len(s.Hosts), describeNodes(s.Hosts), len(s.Workers), describeNodes(s.Workers), s.Plan.Cells, EventCount(s))
	return append([]string{head}, format(lines, rule)...)
}

// timelineEntry is a line of a story.
type timelineEntry struct {
	at   time.Duration
	line string
}

func format(lines []timelineEntry, rule string) []string {
	var list []string
	left := 0
	for _, m := range lines {
		if rule != "" && len(list) >= maxLines && !strings.HasPrefix(m.line, "BROKEN "+rule) {
			left++
			continue
		}
		list = append(list, fmt.Sprintf("%8.3f %s", m.at.Seconds(), m.line))
		if rule != "" && strings.HasPrefix(m.line, "BROKEN "+rule) {
			break
		}
	}
	if left > 0 {
		list = append(list, fmt.Sprintf("(%d lines left out before that)", left))
	}
	return list
}

func plannedEntries(s *emulator.Script) []timelineEntry {
	var lines []timelineEntry
	for _, j := range s.Jobs {
		text := fmt.Sprintf("JOB %s comes to %s: %s", j.Spec.GetId(), j.Spec.GetCell(), describeSteps(j.Spec.JobSpec))
		if j.Crash != nil {
			text += fmt.Sprintf("; task %d.%d crashes its worker after %s", j.Crash.Step, j.Crash.Index, j.Crash.After)
		}
		lines = append(lines, timelineEntry{j.At, text})
	}
	for _, c := range s.Cancels {
		lines = append(lines, timelineEntry{c.At, "CANCEL " + c.Job})
	}
	return lines
}

// describeSteps says what a job is made of.
func describeSteps(spec *wire.JobSpec) string {
	var list []string
	for _, step := range spec.GetSteps() {
		text := fmt.Sprintf("%d of %d millicores", step.GetCount(), step.GetMillicores())
		for _, trait := range []struct {
			has  bool
			name string
		}{{step.GetGang(), "gang"}, {step.GetLasting(), "lasting"}, {step.GetFiller(), "filler"}, {step.GetSpread() > 0, "spread"}} {
			if trait.has {
				text += " " + trait.name
			}
		}
		if len(step.GetAfter()) > 0 {
			text += fmt.Sprintf(" after %v", step.GetAfter())
		}
		list = append(list, text)
	}
	text := strings.Join(list, ", ")
	if spec.GetRepeats() > 0 {
		text += fmt.Sprintf(", %d times", spec.GetRepeats())
	}
	return text
}

// alwaysShown are those of log lines that a story holds whatever they are about.
var alwaysShown = []string{"FAULT ", "BROKEN ", " leads epoch ", "cell-settled"}

func loggedEntries(log []string, rule, about string) []timelineEntry {
	var lines []timelineEntry
	for _, line := range log {
		first, text, _ := strings.Cut(strings.TrimLeft(line, " "), " ")
		seconds, err := strconv.ParseFloat(first, 64)
		if err != nil {
			continue
		}
		holds := func(word string) bool { return strings.Contains(line, word) }
		if rule == "" || slices.ContainsFunc(alwaysShown, holds) || strings.HasSuffix(line, " crashes") || (about != "" && holds(about)) {
			lines = append(lines, timelineEntry{time.Duration(seconds * float64(time.Second)), text})
		}
	}
	return lines
}

func describeNodes(list []emulator.Node) string {
	var names []string
	for _, p := range list {
		names = append(names, p.Name+" in "+p.Cell)
	}
	return strings.Join(names, ", ")
}
