package daemon

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/configfile"
)

// Config is the configuration of one entry host, read from its configuration file: its name and hall, and the addresses
// at which it listens and calls other services. It does not change while the process runs. Settings that operators
// change at run time are in the settings tree (package settings).
type Config struct {
	Name       string
	Hall       string
	Halls      []string
	Callers    string
	Operators  string
	Control    string
	Platform   string
	EntryHosts int
	DrainWait  time.Duration
	DrainLimit time.Duration
	LogLevel   string
}

// Fields describes the fields of the configuration file. The check, the help and the generated documentation use it.
var Fields = []configfile.Field[Config]{
	{Name: "name", Example: `"entry-1"`, Required: true, Help: "The entry host's name, as the host list has it.", Set: configfile.Value(func(c *Config) *string { return &c.Name })},
	{Name: "hall", Example: `"mtl-a"`, Required: true, Help: "The hall that it stands in.", Set: configfile.Value(func(c *Config) *string { return &c.Hall })},
	{Name: "halls", Example: `["mtl-a", "mtl-b", "mtl-c"]`, Required: true, Help: "All halls of the deployment.", Set: configfile.Value(func(c *Config) *[]string { return &c.Halls })},
	{Name: "callers", Example: `"10.0.0.1:8080"`, Required: true, Help: "Where callers are served over HTTP, behind the balancer.", Set: configfile.Address(func(c *Config) *string { return &c.Callers })},
	{Name: "operators", Example: `"10.0.0.1:8081"`, Required: true, Help: "Where operators are served over HTTP.", Set: configfile.Address(func(c *Config) *string { return &c.Operators })},
	{Name: "control", Example: `"10.0.0.1:8082"`, Required: true, Help: "Where other entry hosts are served over gRPC.", Set: configfile.Address(func(c *Config) *string { return &c.Control })},
	{Name: "platform", Example: `"10.0.0.9:7000"`, Required: true, Help: "Where the platform's table service and host list are.", Set: configfile.Address(func(c *Config) *string { return &c.Platform })},
	{Name: "entryHosts", Example: `9`, Help: "How many entry hosts share the connections of each backend server (default 9).", Set: configfile.Value(func(c *Config) *int { return &c.EntryHosts })},
	{Name: "drainWait", Example: `"5s"`, Help: "How long a planned stop waits for the balancer before it stops taking calls (default 5s).", Set: configfile.Duration(func(c *Config) *time.Duration { return &c.DrainWait })},
	{Name: "drainLimit", Example: `"2m"`, Help: "How long a planned stop waits for what is in flight (default 2m).", Set: configfile.Duration(func(c *Config) *time.Duration { return &c.DrainLimit })},
	{Name: "logLevel", Example: `"info"`, Help: "debug, info, warning or error (default info).", Set: configfile.Value(func(c *Config) *string { return &c.LogLevel })},
}

// ParseConfig parses a configuration file and fills in the defaults. Its error lists all problems of the file.
func ParseConfig(file string, source []byte) (Config, error) {
	c := Config{EntryHosts: 9, DrainWait: 5 * time.Second, DrainLimit: 2 * time.Minute, LogLevel: "info"}
	return c, configfile.Parse(file, source, &c, Fields)
}
