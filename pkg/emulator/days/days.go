// Package days is the developers' command line of the emulator: it searches days that break rules, and records, plays
// and reduces scripts. It is a program of its own, as operators have no use for days on which fences are removed.
package days

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/wrenferry/wrenferry/pkg/emulator"
	"github.com/wrenferry/wrenferry/pkg/emulator/reduce"
	"github.com/wrenferry/wrenferry/pkg/fault"
)

// The exit codes of Main: exitRuleBroken if a played day breaks a rule, exitBadInput for any error.
const (
	exitOK         = 0
	exitRuleBroken = 1
	exitBadInput   = 2
)

// defaultReductionTime bounds the time of a reduction unless --for is given.
const defaultReductionTime = 5 * time.Minute

const fileMode = 0o644

// Main runs the command line and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	code := exitOK
	root := &cobra.Command{
		Use: "emulate", Short: "Record, play and reduce days of the emulator", SilenceErrors: true, SilenceUsage: true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	root.AddCommand(recordCommand(&code), playCommand(&code), reduceCommand(), searchCommand(&code))
	if err := root.Execute(); err != nil {
		_, _ = fmt.Fprintln(errs, "emulate:", err)
		return exitBadInput
	}
	return code
}

func recordCommand(code *int) *cobra.Command {
	set := ""
	verb := &cobra.Command{
		Use:     "record PLAN SEED FILE",
		Short:   "Play the day of a seed, and write its script",
		Long:    "Play the day of a seed, and write its script. The plans: " + strings.Join(planNames(), ", ") + ".",
		Example: `  emulate record CrashTasksPlan 1494 day.json.gz --set '{"Unsafe": {"NoUnseen": true}}'`,
		Args:    cobra.ExactArgs(3),
		RunE: func(c *cobra.Command, args []string) error {
			plan, err := planOf(args[0], args[1], set)
			if err != nil {
				return err
			}
			script, _, broken, err := emulator.Record(plan)
			if err != nil {
				return err
			}
			printBroken(c.OutOrStdout(), broken, code)
			return writeScript(args[2], script)
		},
	}
	verb.Flags().StringVar(&set, "set", "", "fields of the plan to set, as JSON")
	return verb
}

func playCommand(code *int) *cobra.Command {
	all := false
	verb := &cobra.Command{
		Use:   "play FILE",
		Short: "Play a script, and print its timeline up to the first broken rule",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			script, err := readScript(args[0])
			if err != nil {
				return err
			}
			_, broken := script.Play()
			rule := ""
			if len(broken) > 0 && !all {
				rule, _, _ = strings.Cut(broken[0], ":")
			}
			if all || rule != "" {
				printLines(c.OutOrStdout(), reduce.Timeline(script, rule))
			}
			printBroken(c.OutOrStdout(), broken, code)
			return nil
		},
	}
	verb.Flags().BoolVar(&all, "all", false, "print all of the day's log")
	return verb
}

func reduceCommand() *cobra.Command {
	rule, good, longest := "", "", defaultReductionTime
	verb := &cobra.Command{
		Use:   "reduce FILE OUT",
		Short: "Reduce a script that breaks a rule to a small one that still breaks it, and print its timeline",
		Args:  cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			script, err := readScript(args[0])
			if err != nil {
				return err
			}
			ctx, end := context.WithTimeout(context.Background(), longest)
			defer end()
			options := []reduce.Option{reduce.WithRule(rule), reduce.WithProgress(func(line string) {
				_, _ = fmt.Fprintln(c.ErrOrStderr(), line)
			})}
			if good != "" {
				options = append(options, reduce.WithReference(func(s *emulator.Script) bool { return breaksNoRuleIn(ctx, good, s) }))
			}
			result, err := reduce.Script(ctx, script, options...)
			if err != nil {
				return err
			}
			if !result.Done {
				_, _ = fmt.Fprintf(c.ErrOrStderr(), "stopped after %s; this is the smallest script so far\n", longest)
			}
			printLines(c.OutOrStdout(), reduce.Timeline(result.Script, result.Rule))
			return writeScript(args[1], result.Script)
		},
	}
	verb.Flags().StringVar(&good, "good", "", "path of an emulate built from code on which the reduced script has to break no rule")
	verb.Flags().StringVar(&rule, "rule", "", "the rule to break, if the script breaks several")
	verb.Flags().DurationVar(&longest, "for", longest, "the longest time of the reduction")
	return verb
}

// breaksNoRuleIn returns whether another emulate program plays a script without a broken rule.
func breaksNoRuleIn(ctx context.Context, program string, s *emulator.Script) bool {
	file, err := os.CreateTemp("", "emulate-*.json.gz")
	if err != nil {
		return false
	}
	_ = file.Close()
	defer func() { _ = os.Remove(file.Name()) }()
	return writeScript(file.Name(), s) == nil && exec.CommandContext(ctx, program, "play", file.Name()).Run() == nil
}

func printLines(out io.Writer, lines []string) { _, _ = fmt.Fprintln(out, strings.Join(lines, "\n")) }

// printBroken prints the number of broken rules and the first of them, and sets the exit code if there is one.
func printBroken(out io.Writer, broken []string, code *int) {
	if len(broken) == 0 {
		_, _ = fmt.Fprintln(out, "no rule is broken")
		return
	}
	*code = exitRuleBroken
	_, _ = fmt.Fprintf(out, "broken %d times, first: %s\n", len(broken), broken[0])
}

func readScript(file string) (*emulator.Script, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.New(fault.NotFound, file, "can't be read", "name a script").WithCause(err)
	}
	return emulator.DecodeScript(file, text)
}

func writeScript(file string, s *emulator.Script) error {
	text, err := s.Encode()
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, text, fileMode); err != nil {
		return fault.New(fault.BadInput, file, "can't be written", "").WithCause(err)
	}
	return nil
}

// plans are the emulator's functions for plans, by name.
var plans = map[string]func(seed uint64) emulator.Plan{
	"DefaultPlan": emulator.DefaultPlan, "TwoCellPlan": emulator.TwoCellPlan, "SameIDsPlan": emulator.SameIDsPlan,
	"TroubledCellsPlan": emulator.TroubledCellsPlan, "OddRowsPlan": emulator.OddRowsPlan, "CrashTasksPlan": emulator.CrashTasksPlan,
	"CrashWavesPlan": emulator.CrashWavesPlan, "ResetWavesPlan": emulator.ResetWavesPlan, "ResetWavesCrashTasksPlan": emulator.ResetWavesCrashTasksPlan,
	"RoomsPlan": emulator.RoomsPlan, "SuspendsPlan": emulator.SuspendsPlan,
	"LeaderEndsPlan": emulator.LeaderEndsPlan, "LeaderEndsInWavesPlan": emulator.LeaderEndsInWavesPlan, "UnrecordedEndsPlan": emulator.UnrecordedEndsPlan,
	"CancelsPlan": emulator.CancelsPlan, "DeposedPlan": emulator.DeposedPlan, "HallCutPlan": emulator.HallCutPlan, "AllTroublesPlan": emulator.AllTroublesPlan,
	"HandoverPlan": emulator.HandoverPlan, "FullListsPlan": emulator.FullListsPlan, "LostHallPlan": emulator.LostHallPlan, "PartLostHallPlan": emulator.PartLostHallPlan, "EvacuationPlan": emulator.EvacuationPlan, "EvacuationLeavingPlan": emulator.EvacuationLeavingPlan,
	"LeavingPlan": emulator.LeavingPlan, "LeavingTakeoverPlan": emulator.LeavingTakeoverPlan, "LeavingTroublePlan": emulator.LeavingTroublePlan, "ReleasePlan": emulator.ReleasePlan,
	"RelayPlan": emulator.RelayPlan, "UrgentPlan": emulator.UrgentPlan, "UrgentTroublePlan": emulator.UrgentTroublePlan, "UrgentLoadPlan": emulator.UrgentLoadPlan, "ProcessorPlan": emulator.ProcessorPlan, "SlowAnswersPlan": emulator.SlowAnswersPlan,
	"CutOffWorkersPlan": emulator.CutOffWorkersPlan, "LostWorkersPlan": emulator.LostWorkersPlan, "FailingInventoryPlan": emulator.FailingInventoryPlan, "LostWorkersCrashTasksPlan": emulator.LostWorkersCrashTasksPlan,
	"BacklogPlan": emulator.BacklogPlan, "ScarceMemoryPlan": emulator.ScarceMemoryPlan, "LostLabelPlan": emulator.LostLabelPlan, "LostLabelTroublePlan": emulator.LostLabelTroublePlan, "AdvicePlan": emulator.AdvicePlan, "GivingUpPlan": emulator.GivingUpPlan, "PendingPlan": emulator.PendingPlan,
}

func planNames() []string { return slices.Sorted(maps.Keys(plans)) }
