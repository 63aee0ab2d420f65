// Package serve implements the command line of the daemon, wrenferryd.
package serve

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/wrenferry/wrenferry/pkg/embedded"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/daemon"
	"github.com/wrenferry/wrenferry/pkg/tryout"
)

// Main runs the command line with the given arguments and returns the exit code.
func Main(args []string, out, errs io.Writer) int {
	root := command(out, errs)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	if err := root.Execute(); err != nil {
		fmt.Fprintf(errs, "wrenferryd: %s\n", err)
		return exitCode(err)
	}
	return 0
}

// The exit codes of the daemon.
const (
	exitFailure  = 1
	exitBadInput = 2
)

func exitCode(err error) int {
	if fault.CodeOf(err) == fault.BadInput {
		return exitBadInput
	}
	return exitFailure
}

// flags holds the values of the command-line flags.
type flags struct {
	config   string
	embedded bool
	unsafe   []string
}

func command(out, errs io.Writer) *cobra.Command {
	f := &flags{}
	root := &cobra.Command{
		Use:           "wrenferryd",
		Short:         "The entry host's daemon of wrenferry",
		Long:          longHelp(),
		Example:       "  wrenferryd --config /etc/wrenferry/process.jsonc\n  wrenferryd try",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), f, errs) },
	}
	root.Flags().StringVarP(&f.config, "config", "c", "", "the process's settings file, JSON with comments")
	root.Flags().BoolVar(&f.embedded, "embedded-standins", false, "run a platform, workers and runners inside this process; NOTHING IS KEPT when it ends")
	root.Flags().StringSliceVar(&f.unsafe, "unsafe-without", nil, "take a fence out, for tests only: "+strings.Join(fenceNames(), ", "))
	root.AddCommand(newFleetCommand(out))
	root.AddCommand(&cobra.Command{
		Use:   "try",
		Short: "Start an embedded instance, use it as callers and operators do, and end",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return tryout.Run(cmd.Context(), out) },
	})
	return root
}

// longHelp returns the help text that lists the settings, signals and exit codes.
func longHelp() string {
	var b strings.Builder
	b.WriteString("wrenferryd is the one daemon of every entry host. It serves callers, operators\nand its peers, and may lead its hall.\n\nSettings of the process (JSON with comments):\n")
	for _, f := range daemon.Fields {
		required := ""
		if f.Required {
			required = " (required)"
		}
		fmt.Fprintf(&b, "  %-11s %s%s\n              example: %q: %s\n", f.Name, f.Help, required, f.Name, f.Example)
	}
	b.WriteString("\nSIGTERM or SIGINT begins a planned stop: not ready, wait for the balancer, finish\nwhat is in flight, give the leadership up, exit 0.\n\nExit codes: 0 stopped as planned, 1 failed, 2 bad settings or flags.")
	return b.String()
}

func run(ctx context.Context, f *flags, errs io.Writer) error {
	config, err := load(f, errs)
	if err != nil {
		return err
	}
	unsafe, err := parseFences(f.unsafe)
	if err != nil {
		return err
	}
	logger, err := newLogger(config.LogLevel, errs)
	if err != nil {
		return err
	}
	if len(f.unsafe) > 0 {
		logger.Warnf("RUNNING WITHOUT: %s. Promises do not hold.", strings.Join(f.unsafe, ", "))
	}
	d, err := daemon.New(config, logger, daemon.WithoutSafeguards(unsafe))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if f.embedded {
		fmt.Fprintf(errs, "callers: http://%s  operators: http://%s\n", d.CallersAddress(), d.OperatorsAddress())
	}
	return d.Run(ctx)
}

func newLogger(level string, errs io.Writer) (*logrus.Logger, error) {
	logger := logrus.New()
	logger.SetOutput(errs)
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fault.New(fault.BadInput, "logLevel", fmt.Sprintf("%q is not a level", level), "use debug, info, warning or error")
	}
	logger.SetLevel(parsed)
	return logger, nil
}

func load(f *flags, errs io.Writer) (daemon.Config, error) {
	if f.embedded {
		fmt.Fprintln(errs, "EMBEDDED STAND-INS: the platform, the workers and the runners live in this process. NOTHING IS KEPT when it ends.")
		standins, err := embedded.Start(tryout.Hall, tryout.Services)
		if err != nil {
			return daemon.Config{}, err
		}
		return tryout.Config(standins, "127.0.0.1:8080", "127.0.0.1:8081"), nil
	}
	source, err := readSettings(f.config, "wrenferryd --help shows what stands in one; wrenferryd try needs none")
	if err != nil {
		return daemon.Config{}, err
	}
	return daemon.ParseConfig(f.config, source)
}

// readSettings reads the settings file of a process. remedy is the advice given if no
// file was named.
func readSettings(file, remedy string) ([]byte, error) {
	if file == "" {
		return nil, fault.New(fault.BadInput, "--config", "no settings file was named", remedy)
	}
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.New(fault.BadInput, file, "can't be read", "check the path").WithCause(err)
	}
	return source, nil
}

// ----------------------------------------------------------------- fences

// fence is a safety mechanism that a test may disable with --unsafe-without.
type fence struct {
	name string
	set  func(*daemon.Unsafe)
}

var fenceTable = []fence{
	{"tenure-wait", func(u *daemon.Unsafe) { u.Hall.NoTenureWait = true }},
	{"registration", func(u *daemon.Unsafe) { u.Hall.NoRegistration = true }},
	{"ledger", func(u *daemon.Unsafe) { u.Hall.NoLedger = true }},
	{"recorded", func(u *daemon.Unsafe) { u.Hall.NoRecorded = true }},
	{"repeatable", func(u *daemon.Unsafe) { u.Hall.RepeatAll = true }},
	{"ask-peers", func(u *daemon.Unsafe) { u.Gateway.NoAsk = true }},
	{"sent-mark", func(u *daemon.Unsafe) { u.Gateway.NoSentMark = true }},
	{"leaving", func(u *daemon.Unsafe) { u.Gateway.NoLeaving = true }},
	{"drain", func(u *daemon.Unsafe) { u.NoDrain = true }},
	{"monotonic", func(u *daemon.Unsafe) { u.NoMonotonic = true }},
}

func fenceNames() []string {
	names := make([]string, len(fenceTable))
	for i, f := range fenceTable {
		names[i] = f.name
	}
	return names
}

// parseFences returns the settings that disable the named fences. An unknown name is a
// BadInput fault.
func parseFences(names []string) (daemon.Unsafe, error) {
	var u daemon.Unsafe
	for _, name := range names {
		found := false
		for _, f := range fenceTable {
			if f.name == name {
				f.set(&u)
				found = true
			}
		}
		if !found {
			return u, fault.New(fault.BadInput, name, "no such fence", "known are "+strings.Join(fenceNames(), ", "))
		}
	}
	return u, nil
}
