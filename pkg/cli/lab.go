package cli

import (
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/pflag"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/lab"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
)

// Flags and arguments that the verbs of the lab share: the workload, the number of days
// and the mechanisms to leave out.

// defaultDays is the default of --days. At the size of the examples, 16 days take some
// minutes on eight processors.
const defaultDays = 16

func daysFlag(set *pflag.FlagSet, f *flags) {
	set.IntVar(&f.days, "days", defaultDays, "how many days to play, with the seeds 1, 2, ...")
}

func daysAndWithoutFlags(set *pflag.FlagSet, f *flags) {
	daysFlag(set, f)
	set.StringVar(&f.without, "without", "", "mechanisms to leave out, with commas between; wrenferry lab mechanisms lists them")
}

// readWorkload parses the workload file in the first argument and checks --days.
func (s *session) readWorkload() (*lab.Workload, error) {
	text, err := s.readFile(s.args[0])
	if err != nil {
		return nil, err
	}
	if s.flags.days < 1 {
		return nil, fault.New(fault.BadInput, "--days", fmt.Sprintf("%d is not a number of days", s.flags.days), "write 1 or more")
	}
	return lab.Parse(s.args[0], []byte(text))
}

// parseArm returns the policy that leaves out the named mechanisms (separated by commas).
// No names give the shipped policy.
func parseArm(names string) (lab.Arm, error) {
	a := lab.Arm{Name: "shipped"}
	if names == "" {
		return a, nil
	}
	a.Name = "without " + names
	for _, name := range strings.Split(names, ",") {
		i := slices.IndexFunc(cell.Mechanisms, func(m cell.MechanismHelp) bool { return m.Name == name })
		if i < 0 {
			return a, fault.New(fault.BadInput, name, "no such mechanism", "wrenferry lab mechanisms lists them")
		}
		a.Without |= cell.Mechanisms[i].Mechanism
	}
	return a, nil
}

func differenceLines(list []lab.Difference) [][]any {
	lines := make([][]any, 0, len(list))
	for i, d := range list {
		if i == 0 {
			lines = append(lines, []any{d.Arm.Name, fmt.Sprintf("%.3f", d.Worth), "-", "-", "-"})
			continue
		}
		sure := "not clear"
		if d.Significant() {
			sure = "clear"
		}
		lines = append(lines, []any{
			d.Arm.Name, fmt.Sprintf("%.3f", d.Worth), fmt.Sprintf("%+.3f", d.Mean),
			fmt.Sprintf("%+.3f..%+.3f (%s)", d.Below, d.Above, sure), fmt.Sprintf("%d/%d/%d", d.Better, d.Equal, d.Worse),
		})
	}
	return lines
}

const differenceHead = "POLICY WORTH DIFFERENCE TRUE-95-OF-100 BETTER/EQUAL/WORSE-DAYS"
