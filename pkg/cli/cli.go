// Package cli implements the operators' command line, wrenferry.
//
// The table in verbs.go drives both dispatch and help. Each verb has a file with its
// table row, its flags and its functions. To add a verb, add a file and list its row
// in the table.
//
// A verb makes one HTTP call to an entry host and prints the returned view as a table
// for people or as JSON for programs.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/wrenferry/wrenferry/pkg/fault"
)

// The exit codes. They are part of the public interface.
const (
	exitDone     = 0
	exitFailure  = 1
	exitBadInput = 2
	exitNotFound = 3
	exitConflict = 4
	exitUnknown  = 5
)

// exitCodes maps fault codes to exit codes.
var exitCodes = map[fault.Code]int{
	fault.BadInput:    exitBadInput,
	fault.TooLarge:    exitBadInput,
	fault.NotFound:    exitNotFound,
	fault.Conflict:    exitConflict,
	fault.Unknown:     exitUnknown,
	fault.Unavailable: exitUnknown,
	fault.NotRun:      exitUnknown,
}

// addressVariable is the environment variable with the default for --address.
const addressVariable = "WRENFERRY_ADDRESS"

const defaultAddress = "127.0.0.1:8081"

// session is one execution of a verb: its arguments, flags, streams and client.
type session struct {
	in     io.Reader
	out    io.Writer
	client *client
	args   []string
	flags  flags
}

// flags holds the values of the flags of all verbs. Each verb declares the flags that it
// accepts.
type flags struct {
	address string
	actor   string
	output  string
	dryRun  bool

	version int64
	base    int64
	from    int64
	origin  bool
	branch  string
	editID  string
	key     string
	body    string
	tasks   int
	object  string
	by      string
	since   string
	days    int
	without string
}

// verb is one row of the table of verbs.
type verb struct {
	path    string // "settings check"
	args    string // as shown in the usage: "FILE"
	min     int
	max     int
	short   string
	long    string
	example string
	flags   func(set *pflag.FlagSet, f *flags)
	run     func(ctx context.Context, s *session) error
}

// Main runs the command line with the given arguments and returns the exit code.
func Main(args []string, in io.Reader, out, errs io.Writer) int {
	root := newRoot(in, out)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	if err == nil {
		return exitDone
	}
	fmt.Fprintf(errs, "wrenferry: %s\n", err)
	if code, ok := exitCodes[fault.CodeOf(err)]; ok {
		return code
	}
	if strings.HasPrefix(err.Error(), "unknown ") {
		return exitBadInput
	}
	return exitFailure
}

func newRoot(in io.Reader, out io.Writer) *cobra.Command {
	f := &flags{}
	root := &cobra.Command{
		Use:           "wrenferry",
		Short:         "Operate a wrenferry deployment",
		Long:          "wrenferry speaks to any entry host of a deployment. Name one or more with --address\nor " + addressVariable + "; the first that answers is used.\n\nExit codes: 0 done, 1 failed, 2 bad input, 3 not found, 4 conflict, 5 no answer\n(the change may or may not have been made: ask again).",
		Example:       "  wrenferry status\n  wrenferry settings check tree.jsonc\n  wrenferry explain offer-1",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	persistent := root.PersistentFlags()
	persistent.StringVar(&f.address, "address", firstNonEmpty(os.Getenv(addressVariable), defaultAddress), "operators' addresses of entry hosts, with commas between")
	persistent.StringVar(&f.actor, "actor", firstNonEmpty(os.Getenv("USER"), "unknown"), "who you are, for the audit trail")
	persistent.StringVarP(&f.output, "output", "o", "table", "table for people, json for programs")
	groups := map[string]*cobra.Command{}
	for _, v := range verbs {
		addVerb(root, groups, v, f, in, out)
	}
	return root
}

// firstNonEmpty returns the first non-empty word, or "" if there is none.
func firstNonEmpty(words ...string) string {
	for _, w := range words {
		if w != "" {
			return w
		}
	}
	return ""
}

// addVerb adds a verb to its group, and creates the group command if there is none yet.
func addVerb(root *cobra.Command, groups map[string]*cobra.Command, v verb, f *flags, in io.Reader, out io.Writer) {
	parent := root
	name := v.path
	if group, rest, found := strings.Cut(v.path, " "); found {
		name = rest
		if groups[group] == nil {
			groups[group] = &cobra.Command{Use: group, Short: groupHelp[group]}
			root.AddCommand(groups[group])
		}
		parent = groups[group]
	}
	command := &cobra.Command{
		Use:     strings.TrimSpace(name + " " + v.args),
		Short:   v.short,
		Long:    firstNonEmpty(v.long, v.short),
		Example: v.example,
		Args:    arguments(v),
		RunE: func(cmd *cobra.Command, args []string) error {
			if f.output != "table" && f.output != "json" {
				return fault.New(fault.BadInput, "--output", fmt.Sprintf("%q is not a form of output", f.output), "use table or json")
			}
			return v.run(cmd.Context(), &session{in: in, out: out, args: args, flags: *f, client: newClient(f.address, f.actor)})
		},
	}
	if v.flags != nil {
		v.flags(command.Flags(), f)
	}
	parent.AddCommand(command)
}

// arguments returns a check of the number of arguments; its error shows the usage.
func arguments(v verb) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) >= v.min && len(args) <= v.max {
			return nil
		}
		return fault.New(fault.BadInput, v.path, fmt.Sprintf("%d argument(s) given", len(args)),
			strings.TrimSpace("write: wrenferry "+v.path+" "+v.args))
	}
}

// dryRunFlag declares --dry-run for verbs that change the state of a deployment.
func dryRunFlag(set *pflag.FlagSet, f *flags) {
	set.BoolVar(&f.dryRun, "dry-run", false, "say what would be done, and do nothing")
}

// reportDryRun returns whether --dry-run is set, and if so prints the change that the verb
// would make.
func (s *session) reportDryRun(format string, args ...any) bool {
	if s.flags.dryRun {
		fmt.Fprintf(s.out, "would "+format+"; nothing was changed\n", args...)
	}
	return s.flags.dryRun
}
