package workers

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
)

// RegistryRow is one row of the worker registry before validation. A nil field is missing in
// the row. Other programs may write rows too, so every field is checked.
type RegistryRow struct {
	ID       string
	Born     *int64
	Host     *string
	Service  *string
	Address  *string
	Hall     *string
	State    *string
	Software *string
	// Slots and Sequence must be valid but are not used; the worker itself reports both.
	Slots, Sequence *int64
	Labels          []string
	Capacity        *Capacity
	RemainingMs     *int64
	Version         int64
}

// ContentWithoutSequence returns a text that is the same for rows that differ in nothing but their version and a valid
// sequence number.
func (a RegistryRow) ContentWithoutSequence() string {
	if rangeProblem(a.Sequence, 0, maxSequence, true) == "" {
		a.Sequence = new(int64)
	}
	a.Version = 0
	content, err := json.Marshal(a)
	if err != nil {
		return a.ID // unreachable: the row holds numbers and texts only
	}
	return string(content)
}

// Capacity is the capacity that a worker reports; a nil field is missing.
type Capacity struct {
	Millicores, MemoryMB, Accelerators *int64
}

// The values of RegistryRow.State.
const (
	StateReady   = "ready"
	StateLeaving = "draining"
)

// KnownNames looks up the services of the manifest and the halls of the deployment, which a row may name.
type KnownNames struct {
	Service func(name string) bool
	Hall    func(name string) bool
}

// InvalidRow is the error for a row that describes no usable worker.
type InvalidRow struct {
	ID string
	// Field is the invalid field, in the words of the product; empty: the row can't be
	// parsed at all. Reason is the problem.
	Field, Reason string
}

// Error returns the field and its problem.
func (u *InvalidRow) Error() string {
	if u.Field == "" {
		return u.Reason
	}
	return u.Field + ": " + u.Reason
}

// AsInvalidRow returns the InvalidRow that err wraps, or nil if it wraps none.
func AsInvalidRow(err error) *InvalidRow {
	var u *InvalidRow
	if errors.As(err, &u) {
		return u
	}
	return nil
}

// MaxRowBytes is the size of the largest row that is read: many times what a worker writes.
const MaxRowBytes = 8 << 10

const (
	// maxMillicores and maxMemoryMB bound the accepted capacity of a worker: a thousand times
	// the largest known worker. Sums over all workers then can't overflow.
	maxMillicores = 100_000_000
	maxMemoryMB   = 1_000_000_000
	// maxAccelerators is the same bound for accelerators.
	maxAccelerators = 1_000_000
	// maxSequence is the largest accepted sequence number.
	maxSequence = 1 << 62
	// maxTextBytes is the size of the largest accepted text. maxLabels bounds the labels of a worker, which are in each load
	// message of its cell.
	maxTextBytes = 256
	maxLabels    = 32
	// maxRemainingMs is the longest accepted time until a worker leaves, in ms: a day.
	maxRemainingMs = int64(24 * time.Hour / time.Millisecond)
)

// ValidateRow validates a row and returns the worker's Record. The error is an *InvalidRow.
func ValidateRow(a RegistryRow, known KnownNames) (Record, error) {
	for _, check := range []struct {
		field string
		why   string
	}{
		{"id", textProblem(&a.ID)},
		{"service", textProblem(a.Service)},
		{"address", textProblem(a.Address)},
		{"hall", textProblem(a.Hall)},
		{"state", textProblem(a.State)},
		{"software version", textProblem(a.Software)},
		{"host", optionalTextProblem(a.Host)},
		{"slots", rangeProblem(a.Slots, 0, maxMillicores, true)},
		{"sequence", rangeProblem(a.Sequence, 0, maxSequence, true)},
		{"born", rangeProblem(a.Born, 1, 1<<62, false)},
		{"remaining time", rangeProblem(a.RemainingMs, 0, maxRemainingMs, false)},
		{"labels", labelsProblem(a.Labels)},
		{"capacity", capacityProblem(a.Capacity)},
	} {
		if check.why != "" {
			return Record{}, &InvalidRow{ID: a.ID, Field: check.field, Reason: check.why}
		}
	}
	return recordFrom(a, known)
}

// recordFrom converts a row whose fields are all present. It also checks the values of the
// state, address, hall and service.
func recordFrom(a RegistryRow, known KnownNames) (Record, error) {
	unusable := func(field, why string) (Record, error) {
		return Record{}, &InvalidRow{ID: a.ID, Field: field, Reason: why}
	}
	switch {
	case *a.State != StateReady && *a.State != StateLeaving:
		return unusable("state", fault.Quote(*a.State)+" is not a known state")
	case invalidAddress(*a.Address):
		return unusable("address", fault.Quote(*a.Address)+" is not an address that can be called")
	case !known.Hall(*a.Hall):
		return unusable("hall", fault.Quote(*a.Hall)+" is not a hall of this deployment")
	case !known.Service(*a.Service):
		return unusable("service", fault.Quote(*a.Service)+" is not in the manifest")
	}
	r := Record{
		ID: a.ID, Born: valueOrZero(a.Born), Service: *a.Service, Address: *a.Address, Hall: *a.Hall, Labels: a.Labels,
		Capacity: a.Capacity.size(),
		Ready:    *a.State == StateReady, Leaving: *a.State == StateLeaving,
		Remaining: time.Duration(valueOrZero(a.RemainingMs)) * time.Millisecond, Version: a.Version,
	}
	if a.Host != nil {
		r.Host = *a.Host
	}
	if len(a.Labels) > 0 {
		r.Kind = a.Labels[0]
	}
	if len(a.Labels) > 1 {
		r.Rack = a.Labels[1]
	}
	return r, nil
}

func valueOrZero(n *int64) int64 {
	if n == nil {
		return 0
	}
	return *n
}

// textProblem returns what is wrong with a required text, or "".
func textProblem(s *string) string {
	switch {
	case s == nil:
		return "is missing"
	case strings.TrimSpace(*s) == "":
		return "is empty"
	case len(*s) > maxTextBytes:
		return fmt.Sprintf("%s is longer than %d bytes", fault.Quote(*s), maxTextBytes)
	case strings.ContainsFunc(*s, unicode.IsControl):
		return fault.Quote(*s) + " has control characters"
	}
	return ""
}

// optionalTextProblem returns what is wrong with a text that may be missing, or "".
func optionalTextProblem(s *string) string {
	if s == nil {
		return ""
	}
	return textProblem(s)
}

// rangeProblem returns what is wrong with a number that has to lie within bounds, or "". A
// missing number is a problem only if it is required.
func rangeProblem(n *int64, least, most int64, required bool) string {
	switch {
	case n == nil && required:
		return "is missing"
	case n != nil && (*n < least || *n > most):
		return fmt.Sprintf("%d is not between %d and %d", *n, least, most)
	}
	return ""
}

func labelsProblem(labels []string) string {
	if labels == nil {
		return "is missing"
	}
	if len(labels) > maxLabels {
		return fmt.Sprintf("%d are more than %d", len(labels), maxLabels)
	}
	for _, l := range labels {
		if problem := textProblem(&l); problem != "" {
			return "a label " + problem
		}
	}
	return ""
}

// size returns the capacity with 0 for each missing field.
func (c *Capacity) size() ledger.Size {
	return ledger.Size{Millicores: valueOrZero(c.Millicores), MemoryMB: valueOrZero(c.MemoryMB), Accelerators: valueOrZero(c.Accelerators)}
}

// ValidateCapacity returns the capacity that a worker reports, and whether it is valid.
func ValidateCapacity(c *Capacity) (ledger.Size, bool) {
	if capacityProblem(c) != "" {
		return ledger.Size{}, false
	}
	return c.size(), true
}

func capacityProblem(c *Capacity) string {
	if c == nil {
		return "is missing"
	}
	for _, check := range []struct{ name, why string }{
		{"processors", rangeProblem(c.Millicores, 0, maxMillicores, true)}, // 0 is valid: the worker is full
		{"memory", rangeProblem(c.MemoryMB, 0, maxMemoryMB, true)},
		{"accelerators", rangeProblem(c.Accelerators, 0, maxAccelerators, false)},
	} {
		if check.why != "" {
			return check.name + ": " + check.why
		}
	}
	return ""
}

// hostCharacters are the characters allowed in a host name or IP address.
const hostCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-:%"

// invalidAddress says whether a text is no host and port that can be called.
func invalidAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" || strings.Trim(host, hostCharacters) != "" {
		return true
	}
	if ip := net.ParseIP(host); ip != nil && ip.IsUnspecified() {
		return true
	}
	n, err := strconv.Atoi(port)
	return err != nil || n < 1 || n > 65535
}
