// Command standins is a test-support program. It runs one stand-in for a system that
// wrenferry calls (the platform, a worker, or a backend server of a service) as a separate
// process. The tests build it; it is not part of a release.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/standin"
)

// flags holds the values of the command line's flags, for all kinds of stand-in.
type flags struct {
	listen       string
	name         string
	platform     string
	record       string
	lag          time.Duration
	millicores   int64
	memoryMB     int64
	accelerators int64
	slots        int
	noFences     standin.NoFences
}

func main() {
	f := &flags{}
	root := &cobra.Command{Use: "standins", Short: "Stand-ins for what is outside of wrenferry, for tests"}
	set := root.PersistentFlags()
	set.StringVar(&f.listen, "listen", "127.0.0.1:0", "address to serve on")
	set.StringVar(&f.name, "name", "standin", "name of the host")
	set.StringVar(&f.platform, "platform", "", "address of the platform, for a worker's checkpoints")
	set.StringVar(&f.record, "record", "", "file to append the record to")
	set.DurationVar(&f.lag, "lag", 200*time.Millisecond, "lag of the platform's list of hosts")
	set.Int64Var(&f.millicores, "millicores", 32000, "a worker's processors")
	set.Int64Var(&f.memoryMB, "memory-mb", 125000, "a worker's memory")
	set.Int64Var(&f.accelerators, "accelerators", 0, "a worker's accelerators")
	set.IntVar(&f.slots, "slots", 8, "a runner's slots")
	set.BoolVar(&f.noFences.Epoch, "no-epoch", false, "a worker that obeys any epoch")
	set.BoolVar(&f.noFences.Incarnation, "no-incarnation", false, "a worker that obeys messages for an earlier incarnation")
	set.BoolVar(&f.noFences.Sequence, "no-sequence", false, "a worker that obeys old messages")
	set.BoolVar(&f.noFences.Lease, "no-lease", false, "a worker that goes on when its lease is over")
	root.AddCommand(
		standinCommand("platform", "the table, the objects and the list of hosts", func() (http.Handler, error) {
			return standin.NewPlatform(f.lag), nil
		}, f),
		standinCommand("worker", "a worker", func() (http.Handler, error) {
			size := ledger.Size{Millicores: f.millicores, MemoryMB: f.memoryMB, Accelerators: f.accelerators}
			return standin.NewWorker(f.name, f.platform, f.record, size, ledger.Size{}, f.noFences)
		}, f),
		standinCommand("runner", "one backend server of a service", func() (http.Handler, error) {
			return standin.NewRunner(f.name, f.record, f.slots)
		}, f),
	)
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

// standinCommand returns the command that serves the handler that build returns.
func standinCommand(name, short string, build func() (http.Handler, error), f *flags) *cobra.Command {
	return &cobra.Command{Use: name, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		handler, err := build()
		if err != nil {
			return err
		}
		server := &http.Server{Addr: f.listen, Handler: handler, ReadHeaderTimeout: time.Minute}
		fmt.Println("standin", name, f.name)
		return server.ListenAndServe()
	}}
}
