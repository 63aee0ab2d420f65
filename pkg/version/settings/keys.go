package settings

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Keys, in this file, defines all settings. The checker, the command line's help and docs/SETTINGS.md use it. To add a
// setting, add a row to Keys and a field to Kind or RootSettings in resolve.go, and run "make docs".

// ----------------------------------------------------------------- types

// Type is the type of a setting's value in the file.
type Type string

// The types of settings.
const (
	Duration Type = "duration"
	Integer  Type = "integer"
	Boolean  Type = "boolean"
	Choice   Type = "choice"
)

// Key defines one setting.
type Key struct {
	Name    string
	Type    Type
	Unit    string // of the value, for the help
	Min     int64  // of an Integer, or of a Duration in milliseconds
	Max     int64
	Choices []string // the values of a Choice
	Default string   // as written in the file
	Example string
	Root    bool // whether the setting is allowed only at the root of the tree
	Help    string
}

// Keys holds all settings, in the order in which the help shows them.
var Keys = []Key{
	{Name: "type", Type: Choice, Choices: []string{"request", "job", "stream"}, Default: `"request"`, Example: `"job"`, Help: "What a call of this kind is: a request answered at once, a job kept in the table until it is done, or a standing stream."},
	{Name: "deadline", Type: Duration, Unit: "ms, s or m", Min: 1, Max: 600000, Default: `"2s"`, Example: `"800ms"`, Help: "How long a caller waits for a request. One that cannot make it is refused at once."},
	{Name: "repeatable", Type: Boolean, Default: "false", Example: "true", Help: "Whether running the same work twice does no harm. Only repeatable work is ever tried a second time after it may have run."},
	{Name: "priority", Type: Integer, Min: 0, Max: 9, Default: "5", Example: "8", Help: "Who goes first: 9 is the most urgent. Under overload low priorities are refused first; among jobs, urgent ones evict lower ones."},
	{Name: "askPeers", Type: Choice, Choices: []string{"always", "marked"}, Default: `"always"`, Example: `"marked"`, Help: "For work that is not repeatable: whether every call with a key first asks the other entry hosts if they have seen the key, or only those that the caller marks as a second try."},
	{Name: "keyWindow", Type: Duration, Unit: "s or m", Min: 1000, Max: 3600000, Default: `"1m"`, Example: `"30s"`, Help: "How long a caller may go on asking again under one key. An entry host that started, or was lost, within this time can't vouch for a key."},
	{Name: "maxBody", Type: Integer, Unit: "bytes", Min: 1, Max: 64 << 20, Default: "1048576", Example: "65536", Help: "The largest body that is taken in."},
	{Name: "queueLimit", Type: Integer, Unit: "requests", Min: 0, Max: 100000, Default: "64", Example: "16", Help: "How many requests of one service may wait for a slot at one entry host."},
	{Name: "retryBudget", Type: Integer, Unit: "percent of first tries", Min: 0, Max: 100, Default: "10", Example: "5", Help: "How many second tries wrenferry may add on its own, so that retries never feed an overload."},
	{Name: "routePolicy", Type: Choice, Choices: []string{"two-choices", "round-robin", "random", "least-own"}, Default: `"two-choices"`, Example: `"random"`, Help: "How a backend server is chosen. All but the first are baselines, kept for comparison."},
	{Name: "millicores", Type: Integer, Unit: "thousandths of a processor", Min: 1, Max: 1024000, Default: "1000", Example: "4000", Help: "Processor time that one task reserves."},
	{Name: "memoryMB", Type: Integer, Unit: "MB", Min: 1, Max: 16 << 20, Default: "1024", Example: "8192", Help: "Memory that one task reserves."},
	{Name: "accelerators", Type: Integer, Unit: "devices", Min: 0, Max: 64, Default: "0", Example: "1", Help: "Accelerators that one task reserves."},
	{Name: "failureLimit", Type: Integer, Unit: "failures", Min: 1, Max: 100, Default: "3", Example: "5", Help: "How often a task may fail before it is given up on. Evictions and lost workers don't count."},
	{Name: "targetLatency", Type: Duration, Unit: "ms or s", Min: 1, Max: 600000, Default: `"1s"`, Example: `"250ms"`, Help: "The tail latency (99th percentile) that a service is to keep; batch work beside it gives way when it doesn't."},
	{Name: "quotaMillicores", Type: Integer, Unit: "thousandths of a processor", Min: 0, Max: 1 << 40, Default: "0", Example: "400000", Help: "The most that a team's batch tasks may reserve in one hall; 0 means no limit."},
	{Name: "quotaMemoryMB", Type: Integer, Unit: "MB", Min: 0, Max: 1 << 40, Default: "0", Example: "1000000", Help: "The most memory that a team's batch tasks may reserve in one hall; 0 means no limit."},
	{Name: "quotaAccelerators", Type: Integer, Unit: "devices", Min: 0, Max: 1 << 20, Default: "0", Example: "8", Help: "The most accelerators that a team's batch tasks may reserve in one hall; 0 means no limit."},
	{Name: "placePolicy", Type: Choice, Choices: []string{"least-harm", "first-fit", "least-loaded"}, Default: `"least-harm"`, Example: `"first-fit"`, Root: true, Help: "How a worker is chosen for a task. All but the first are baselines, kept for comparison."},
	{Name: "lease", Type: Duration, Unit: "ms or s", Min: 200, Max: 60000, Default: `"10s"`, Example: `"5s"`, Root: true, Help: "How long a worker goes on with its batch tasks after it last heard from its hall's leader."},
	{Name: "tenure", Type: Duration, Unit: "s or m", Min: 500, Max: 3600000, Default: `"5m"`, Example: `"2m"`, Root: true, Help: "How long a leader that can't reach the table may go on granting leases. A successor waits this long for workers that it can't reach."},
	{Name: "takeover", Type: Duration, Unit: "ms or s", Min: 300, Max: 600000, Default: `"3s"`, Example: `"4s"`, Root: true, Help: "How long a leader's row must stand still before another entry host of the hall takes over."},
	{Name: "ahead", Type: Integer, Unit: "tasks a worker", Min: 0, Max: 64, Default: "2", Example: "4", Root: true, Help: "How many tasks are committed to a worker ahead of room, so that it goes on through an outage of the table."},
	{Name: "urgentPriority", Type: Integer, Min: 1, Max: 10, Default: "8", Example: "9", Root: true, Help: "Tasks of this priority and above may evict lower ones. 10 switches it off."},
	{Name: "patience", Type: Duration, Unit: "s or m", Min: 100, Max: 86400000, Default: `"10m"`, Example: `"1h"`, Root: true, Help: "How long to wait for a lost worker to say what became of a task that must not run twice, before the task ends as unknown."},
}

// FindKey returns the setting with the given name.
func FindKey(name string) (Key, bool) {
	for _, k := range Keys {
		if k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

// Range returns a description of the setting's valid values, for help and error texts.
func (k Key) Range() string {
	switch k.Type {
	case Duration:
		return fmt.Sprintf("%s to %s", milliseconds(k.Min), milliseconds(k.Max))
	case Integer:
		return fmt.Sprintf("%d to %d", k.Min, k.Max)
	case Boolean:
		return "true or false"
	case Choice:
		return strings.Join(k.Choices, ", ")
	}
	return ""
}

// ---------------------------------------------------------------- values

// parseLiteral converts a literal from the file to a number: an integer as it is, a duration in milliseconds, a boolean
// as 0 or 1, and a choice as its index in Choices. It returns false if the literal is not a valid value.
func (k Key) parseLiteral(literal string) (int64, bool) {
	switch k.Type {
	case Duration:
		return k.parseDuration(literal)
	case Integer:
		n, err := strconv.ParseInt(literal, 10, 64)
		return n, err == nil && n >= k.Min && n <= k.Max
	case Boolean:
		if literal == "true" {
			return 1, true
		}
		return 0, literal == "false"
	case Choice:
		return k.parseChoice(literal)
	}
	return 0, false
}

func (k Key) parseDuration(literal string) (int64, bool) {
	var text string
	if json.Unmarshal([]byte(literal), &text) != nil {
		return 0, false
	}
	d, err := time.ParseDuration(text)
	n := d.Milliseconds()
	return n, err == nil && n >= k.Min && n <= k.Max
}

func (k Key) parseChoice(literal string) (int64, bool) {
	var text string
	if json.Unmarshal([]byte(literal), &text) != nil {
		return 0, false
	}
	for i, c := range k.Choices {
		if c == text {
			return int64(i), true
		}
	}
	return 0, false
}

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
