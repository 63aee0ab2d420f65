package cli

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/wrenferry/wrenferry/pkg/lab"
)

var labRun = verb{
	path: "lab run", args: "WORKLOAD", min: 1, max: 1,
	short:   "Play days of a workload in virtual time, and show what they were worth",
	long:    "lab run plays days of a workload file (- is standard input) with the scheduler's own\ndecisions, against modelled workers, table and network, and shows what callers gained:\nthe whole worth of each day, and of each kind of job the share that it earned.",
	example: "  wrenferry lab run examples/lab/full.jsonc --days 4\n  wrenferry lab run examples/lab/full.jsonc --without lend-plain,lend-fillers",
	flags:   daysAndWithoutFlags,
	run:     runLabRun,
}

func runLabRun(_ context.Context, s *session) error {
	w, err := s.readWorkload()
	if err != nil {
		return err
	}
	a, err := parseArm(s.flags.without)
	if err != nil {
		return err
	}
	days := lab.PlayAll(w, s.flags.days, a.Without)
	return show(s, days, "DAY WORTH EARNED KINDS LATE NEVER OVER-S RULES", dayLines)
}

func dayLines(days []*lab.Day) [][]any {
	lines := make([][]any, 0, len(days)+1)
	for _, d := range days {
		kinds := ""
		for _, name := range slices.Sorted(maps.Keys(d.Kinds)) {
			kinds += fmt.Sprintf("%s %.2f ", name, d.Kinds[name].Share())
		}
		rules := "kept"
		if len(d.Broken) > 0 {
			rules = "BROKEN " + d.Broken[0]
		}
		lines = append(lines, []any{d.Seed, fmt.Sprintf("%.3f", d.Worth), fmt.Sprintf("%.3f", d.All.Share()), kinds, d.Late, d.Never, fmt.Sprintf("%.0f", d.OverSeconds), rules})
	}
	return append(lines, []any{"mean", fmt.Sprintf("%.3f", lab.MeanWorth(days)), "", "", "", "", "", ""})
}
