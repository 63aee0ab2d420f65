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

// maxLines is the number of lines of a timeline that ends with a broken rule: one screen.
const maxLines = 60

// Timeline plays a script and returns the events of its day in their order: jobs, cancels, faults, leaders, crashes, and
// the log lines on the task or job that breaks the rule, up to that moment. Without a rule it returns
// all jobs, cancels and log lines.
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

// timelineEntry is a line of a timeline with its time from the beginning of the day.
type timelineEntry struct {
	at   time.Duration
	line string
}

// format returns the lines of the entries, up to the one with which the rule is broken. Beyond maxLines it leaves out
// entries and adds a line with their number.
func format(lines []timelineEntry, rule string) []string {
	var list []string
	omitted := 0
	for _, m := range lines {
		if rule != "" && len(list) >= maxLines && !strings.HasPrefix(m.line, "BROKEN "+rule) {
			omitted++
			continue
		}
		list = append(list, fmt.Sprintf("%8.3f %s", m.at.Seconds(), m.line))
		if rule != "" && strings.HasPrefix(m.line, "BROKEN "+rule) {
			break
		}
	}
	if omitted > 0 {
		list = append(list, fmt.Sprintf("(%d lines left out before that)", omitted))
	}
	return list
}

// plannedEntries returns the entries of the script's jobs and cancels.
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

// describeSteps returns a text on a job's steps: task counts, sizes, kinds and order.
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

// alwaysShown are texts of log lines that a timeline shows whatever task or job they are about.
var alwaysShown = []string{"FAULT ", "BROKEN ", " leads epoch ", "cell-settled"}

// loggedEntries returns the entries of the log lines that a timeline of the rule shows: those with a text of alwaysShown
// or about, and crashes of workers. Without a rule it returns all.
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
