package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/configfile"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
)

// Config holds the settings of one process.
type Config struct {
	Name    string
	Hall    string
	Halls   []string
	Callers string
	Ready   string
	Control string
	Metrics string
	Table   string
	Advice  string
	// Inventory is the address of the platform's inventory of hosts; empty: there is none.
	Inventory string

	MaxLease  time.Duration
	Retention time.Duration
	Grace     time.Duration
	MemoryMB  float64
	// Processors is the number of processors that the process may use; it may be below 1.
	Processors float64
	LogLevel   string

	// ConfirmAcceptance repeats a submission without an answer of the table until its outcome is known.
	ConfirmAcceptance bool
	// RefuseLate is the treatment of jobs that would surely come too late: cell.RefuseOff, RefuseLog or RefuseOn.
	RefuseLate string
	// UrgentWait is the longest wait for a first start that callers of urgent work accept; 0: no capacity is kept for it.
	UrgentWait time.Duration
	// ConfirmedHandover hands a cell over to a host that has agreed to lead it.
	ConfirmedHandover bool
}

// Bounds returns the settings that a cell's decisions depend on.
func (c Config) Bounds() cell.Bounds {
	return cell.Bounds{
		MaxLease: c.MaxLease, Retention: c.Retention, UrgentWait: c.UrgentWait, RefuseLate: c.RefuseLate,
		ConfirmedHandover: c.ConfirmedHandover,
	}
}

// Fields describes the settings for the parser, the help text and the documentation.
var Fields = []configfile.Field[Config]{
	{Name: "name", Example: `"entry-1"`, Required: true, Help: "The entry host's name, unique in the deployment.", Set: configfile.Value(func(c *Config) *string { return &c.Name })},
	{Name: "hall", Example: `"mtl-a"`, Required: true, Help: "The hall that it stands in.", Set: configfile.Value(func(c *Config) *string { return &c.Hall })},
	{Name: "halls", Example: `["mtl-a", "mtl-b"]`, Required: true, Help: "All halls of the deployment.", Set: configfile.Value(func(c *Config) *[]string { return &c.Halls })},
	{Name: "callers", Example: `"10.0.0.1:8080"`, Required: true, Help: "Where callers are served over HTTP, behind the balancer.", Set: configfile.Address(func(c *Config) *string { return &c.Callers })},
	{Name: "ready", Example: `"10.0.0.1:8081"`, Required: true, Help: "Where the balancer asks whether this host takes calls.", Set: configfile.Address(func(c *Config) *string { return &c.Ready })},
	{Name: "control", Example: `"10.0.0.1:8082"`, Required: true, Help: "Where other entry hosts are served over gRPC.", Set: configfile.Address(func(c *Config) *string { return &c.Control })},
	{Name: "metrics", Example: `"10.0.0.1:8083"`, Required: true, Help: "Where metrics and the state of this process are told over HTTP.", Set: configfile.Address(func(c *Config) *string { return &c.Metrics })},
	{Name: "table", Example: `"10.0.0.9:7000"`, Required: true, Help: "Where the table service is.", Set: configfile.Address(func(c *Config) *string { return &c.Table })},
	{Name: "advice", Example: `"10.0.0.9:7001"`, Help: "Where the service is that says which workers may run a step; empty: there is none.", Set: configfile.Value(func(c *Config) *string { return &c.Advice })},
	{Name: "inventory", Example: `"10.0.0.9:7002"`, Help: "Where the platform's inventory of hosts and the workers that run there is, by which a leader learns that a silent worker has ended; empty: there is none, and the worker's lease decides.", Set: configfile.Value(func(c *Config) *string { return &c.Inventory })},
	{Name: "maxLease", Example: `"10s"`, Help: "The longest that a worker holds what runs without renewal (default 10s).", Set: configfile.Duration(func(c *Config) *time.Duration { return &c.MaxLease })},
	{Name: "retention", Example: `"2m"`, Help: "How long the state of an ended job is told (default 2m).", Set: configfile.Duration(func(c *Config) *time.Duration { return &c.Retention })},
	{Name: "grace", Example: `"6s"`, Help: "How long a planned stop may take (default 6s).", Set: configfile.Duration(func(c *Config) *time.Duration { return &c.Grace })},
	{Name: "memoryMB", Example: `284`, Help: "The memory that the process may take, 32 to 65536 MB (default 256).", Set: configfile.NumberBetween(32, 65536, func(c *Config) *float64 { return &c.MemoryMB })},
	{Name: "processors", Example: `0.4`, Help: "The share of a processor that the process has, 0.01 to 1024 (default 1): cells are led by the strongest hosts of their hall.", Set: configfile.NumberBetween(0.01, 1024, func(c *Config) *float64 { return &c.Processors })},
	{Name: "confirmAcceptance", Example: `true`, Help: "Whether a submission without an answer of the table is repeated until its outcome is known, and refused at once while the table is away (default false).", Set: configfile.Value(func(c *Config) *bool { return &c.ConfirmAcceptance })},
	{Name: "refuseLate", Example: `"on"`, Help: "Whether jobs that would surely come too late are refused: off, log (only logged) or on (default off).", Set: configfile.Value(func(c *Config) *string { return &c.RefuseLate })},
	{Name: "urgentWait", Example: `"300ms"`, Help: "The longest wait for a first start that callers of urgent work accept; capacity is kept for such work by it. Absent: none is kept.", Set: configfile.Duration(func(c *Config) *time.Duration { return &c.UrgentWait })},
	{Name: "confirmedHandover", Example: `true`, Help: "Whether a cell is handed over only to a host that has agreed to lead it, and a host asks a leader with an overdue renewal before it takes over (default false).", Set: configfile.Value(func(c *Config) *bool { return &c.ConfirmedHandover })},
	{Name: "logLevel", Example: `"info"`, Help: "debug, info, warning or error (default info).", Set: configfile.Value(func(c *Config) *string { return &c.LogLevel })},
}

// ParseConfig parses the content of a settings file. The error lists all faults of the file.
func ParseConfig(file string, source []byte) (Config, error) {
	c := Config{
		MaxLease: 10 * time.Second, Retention: 2 * time.Minute, Grace: 6 * time.Second, MemoryMB: 256, Processors: 1, LogLevel: "info",
		RefuseLate: cell.RefuseOff,
	}
	if err := configfile.Parse(file, source, &c, Fields); err != nil {
		return c, err
	}
	if !slices.Contains([]string{cell.RefuseOff, cell.RefuseLog, cell.RefuseOn}, c.RefuseLate) {
		return c, fault.New(fault.BadInput, "refuseLate", fmt.Sprintf("%q is none of its values", c.RefuseLate), "use off, log or on")
	}
	_, err := c.Level()
	return c, err
}

// Level returns the log level; the error says that LogLevel is not one.
func (c Config) Level() (logrus.Level, error) {
	level, err := logrus.ParseLevel(c.LogLevel)
	if err != nil {
		return level, fault.New(fault.BadInput, "logLevel", fmt.Sprintf("%q is not a level", c.LogLevel), "use debug, info, warning or error").WithCause(err)
	}
	return level, nil
}
