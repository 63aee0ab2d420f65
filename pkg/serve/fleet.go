package serve

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
	"github.com/thejerf/suture/v4"

	"github.com/wrenferry/wrenferry/pkg/connection/traffic"
	"github.com/wrenferry/wrenferry/pkg/eventlog"
	"github.com/wrenferry/wrenferry/pkg/process/fleet"
	"github.com/wrenferry/wrenferry/pkg/process/inventory"
	"github.com/wrenferry/wrenferry/pkg/request/intake"
	"github.com/wrenferry/wrenferry/platform"
)

const (
	// gcPercent is the heap growth over the live heap, in percent, that starts a
	// garbage collection. On small hosts processor time is scarcer than memory
	// until the memory limit is reached.
	gcPercent = 400
	// memoryLimitShare is the share of the process's memory that the Go runtime
	// may use; the rest is for memory that the runtime does not count.
	memoryLimitShare = 0.6
)

// newFleetCommand returns the command that runs an entry host on the platform's
// table service.
func newFleetCommand(out io.Writer) *cobra.Command {
	var config string
	cmd := &cobra.Command{
		Use:     "fleet",
		Short:   "Run an entry host that schedules jobs on the platform's table service",
		Long:    fleetLongHelp(),
		Example: "  wrenferryd fleet --config /etc/wrenferry/settings.yaml",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return runFleet(cmd.Context(), config, out) },
	}
	cmd.Flags().StringVarP(&config, "config", "c", os.Getenv("WRENFERRY_SETTINGS"), "the process's settings file, JSON with comments")
	cmd.AddCommand(newFleetTryCommand(out))
	return cmd
}

// fleetLongHelp returns the help text that lists the settings of the process.
func fleetLongHelp() string {
	var b strings.Builder
	b.WriteString("Settings of the process (JSON with comments):\n")
	for _, f := range fleet.Fields {
		required := ""
		if f.Required {
			required = " (required)"
		}
		fmt.Fprintf(&b, "  %-11s %s%s\n              example: %q: %s\n", f.Name, f.Help, required, f.Name, f.Example)
	}
	return b.String()
}

// runFleet runs an entry host until SIGTERM or SIGINT. SIGHUP reloads its settings file.
func runFleet(ctx context.Context, file string, out io.Writer) error {
	source, err := readSettings(file, "wrenferryd fleet --help shows what stands in one")
	if err != nil {
		return err
	}
	config, err := fleet.ParseConfig(file, source)
	if err != nil {
		return err
	}
	level, err := config.Level()
	if err != nil {
		return err
	}
	reloadRequests := make(chan os.Signal, 1)
	signal.Notify(reloadRequests, syscall.SIGHUP)
	defer signal.Stop(reloadRequests)
	debug.SetGCPercent(gcPercent)
	limitMemory(config)
	host, err := fleet.New(config, PlatformAdapters(config), eventlog.New(out, level))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return host.Run(ctx, &fleet.SettingsFollower{
		File: file, Source: source, Config: config, Signals: reloadRequests, Log: host.Log,
		Apply: func(c fleet.Config) {
			limitMemory(c)
			host.Reconfigure(c)
		},
	})
}

// limitMemory sets the memory limit of the Go runtime from the settings.
func limitMemory(config fleet.Config) {
	debug.SetMemoryLimit(int64(config.MemoryMB * memoryLimitShare * (1 << 20)))
}

// PlatformAdapters returns the adapters that connect an entry host to the platform.
func PlatformAdapters(config fleet.Config) fleet.Adapters {
	meter := traffic.NewMeter()
	var reader inventory.Reader
	if config.Inventory != "" {
		reader = platform.NewInventory(config.Inventory, meter)
	}
	return fleet.Adapters{
		Meter: meter, Table: platform.NewTable(config.Table, meter), Caller: platform.NewWorkers(meter), Advisor: platform.NewAdvisor(config.Advice), Inventory: reader, Source: platform.Source{}, Dial: platform.Dial,
		CallerAPI: func(h *fleet.Host) (http.Handler, suture.Service) {
			jobs := intake.New(config.Hall, h.Store, h.Control, h, h.Log, h.Metrics, intakeOptions(config, h)...)
			h.Relays.Load, h.Relays.CountPending = jobs.TakeLoad, jobs.CountPending
			return &platform.JobsHandler{Jobs: jobs, Manifest: h.Manifest, Log: h.Log}, jobs
		},
	}
}

// intakeOptions returns the options of the intake by the settings.
func intakeOptions(config fleet.Config, h *fleet.Host) []intake.Option {
	options := []intake.Option{intake.WithLateRefusal(h.RefuseLate), intake.WithExchange(h.Relays), intake.WithRetention(config.Retention)}
	if config.ConfirmAcceptance {
		options = append(options, intake.WithConfirmation())
	}
	return options
}
