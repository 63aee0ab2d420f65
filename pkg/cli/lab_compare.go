package cli

import (
	"context"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/lab"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
)

var labCompare = verb{
	path: "lab compare", args: "WORKLOAD", min: 1, max: 1,
	short:   "Compare the shipped policy with one that leaves mechanisms out, day by day",
	long:    "lab compare plays the same days with both policies and shows by how much their worth\ndiffers, and the interval that holds the true difference 95 times of 100.",
	example: "  wrenferry lab compare examples/lab/full.jsonc --without serving-by-image --days 32",
	flags:   daysAndWithoutFlags,
	run:     runLabCompare,
}

func runLabCompare(_ context.Context, s *session) error {
	w, err := s.readWorkload()
	if err != nil {
		return err
	}
	a, err := parseArm(s.flags.without)
	if err != nil {
		return err
	}
	if a.Without == 0 {
		return fault.New(fault.BadInput, "--without", "nothing is left out", "name a mechanism; wrenferry lab mechanisms lists them")
	}
	return show(s, lab.Compare(w, s.flags.days, lab.Arm{Name: "shipped"}, a), differenceHead, differenceLines)
}

var labAblate = verb{
	path: "lab ablate", args: "WORKLOAD", min: 1, max: 1,
	short:   "Leave each mechanism out in turn, and show what it is worth",
	long:    "lab ablate compares the shipped policy with one that lacks each mechanism in turn, on\nthe same days. A negative difference is what the mechanism is worth there.",
	example: "  wrenferry lab ablate examples/lab/full.jsonc --days 32",
	flags:   daysFlag,
	run:     runLabAblate,
}

func runLabAblate(_ context.Context, s *session) error {
	w, err := s.readWorkload()
	if err != nil {
		return err
	}
	arms := []lab.Arm{{Name: "shipped"}}
	for _, m := range cell.Mechanisms {
		arms = append(arms, lab.Arm{Name: "without " + m.Name, Without: m.Mechanism})
	}
	return show(s, lab.Compare(w, s.flags.days, arms...), differenceHead, differenceLines)
}

var labMechanisms = verb{
	path: "lab mechanisms", args: "", min: 0, max: 0,
	short:   "List the mechanisms of the scheduler that the lab can leave out",
	long:    "lab mechanisms prints the one table of mechanisms.",
	example: "  wrenferry lab mechanisms",
	run:     runLabMechanisms,
}

func runLabMechanisms(_ context.Context, s *session) error {
	return show(s, cell.Mechanisms, "MECHANISM WHAT-IT-DOES", func(list []cell.MechanismHelp) [][]any {
		lines := make([][]any, 0, len(list))
		for _, m := range list {
			lines = append(lines, []any{m.Name, m.Says})
		}
		return lines
	})
}
