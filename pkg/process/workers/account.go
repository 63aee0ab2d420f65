package workers

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/ledger"
)

// Account is what a row of the list of workers says, before it is judged: nil is what it does
// not say. Rows may come from other writers, so nothing in it is taken for granted.
type Account struct {
	ID       string
	Born     *int64
	Host     *string
	Service  *string
	Address  *string
	Hall     *string
	State    *string
	Software *string
	// Slots and Sequence are not used; a worker tells them.
	Slots, Sequence *int64
	Labels          []string
	Capacity        *Capacity
	RemainingMs     *int64
	Version         int64
}

// Capacity is what a worker says of its room.
type Capacity struct {
	Millicores, MemoryMB, Accelerators *int64
}

// The states that an account may name.
const (
	StateReady   = "ready"
	StateLeaving = "draining"
)

// Known is what a row is judged against: the services that the manifest names and the halls of
// the deployment.
type Known struct {
	Service func(name string) bool
	Hall    func(name string) bool
}

// Unusable says why a row names no worker to use.
type Unusable struct {
	ID string
	// Field is what is wrong with the row, in the product's words; empty: it can't be read at all.
	Field, Why string
}

// Error is the reason for people.
func (u *Unusable) Error() string {
	if u.Field == "" {
		return u.Why
	}
	return u.Field + ": " + u.Why
}

// AsUnusable finds the reason in an error; nil: it has none.
func AsUnusable(err error) *Unusable {
	var u *Unusable
	if errors.As(err, &u) {
		return u
	}
	return nil
}

const (
	// maxMillicores and mostMemoryMB bound what is believed of a worker: a thousand times the
	// largest that is known. Sums over all workers stay far from what fits into a number.
	maxMillicores = 100_000_000
	maxMemoryMB   = 1_000_000_000
	// maxAccelerators likewise.
	maxAccelerators = 1_000_000
	// maxRemainingMs is the longest time to leave that is believed, in ms: a day.
	maxRemainingMs = int64(24 * time.Hour / time.Millisecond)
)

// Judge is the one decision from a row to a worker to use, or why it names none.
func Judge(a Account, known Known) (Record, error) {
	for _, check := range []struct {
		field string
		why   string
	}{
		{"service", textProblem(a.Service)},
		{"address", textProblem(a.Address)},
		{"hall", textProblem(a.Hall)},
		{"state", textProblem(a.State)},
		{"software version", textProblem(a.Software)},
		{"slots", rangeProblem(a.Slots, 0, maxMillicores, true)},
		{"sequence", rangeProblem(a.Sequence, 0, 1<<62, true)},
		{"born", rangeProblem(a.Born, 1, 1<<62, false)},
		{"remaining time", rangeProblem(a.RemainingMs, 0, maxRemainingMs, false)},
		{"labels", labelsProblem(a.Labels)},
		{"capacity", capacityProblem(a.Capacity)},
	} {
		if check.why != "" {
			return Record{}, &Unusable{ID: a.ID, Field: check.field, Why: check.why}
		}
	}
	return recordFrom(a, known)
}

// recordFrom judges a row that is complete.
func recordFrom(a Account, known Known) (Record, error) {
	unusable := func(field, why string) (Record, error) {
		return Record{}, &Unusable{ID: a.ID, Field: field, Why: why}
	}
	switch {
	case a.ID == "":
		return unusable("id", "it is empty")
	case *a.State != StateReady && *a.State != StateLeaving:
		return unusable("state", fmt.Sprintf("%q is none that is known", *a.State))
	case invalidAddress(*a.Address):
		return unusable("address", fmt.Sprintf("%q is none", *a.Address))
	case a.Host != nil && *a.Host == "":
		return unusable("host", "it is empty")
	case !known.Hall(*a.Hall):
		return unusable("hall", fmt.Sprintf("%q is none of this deployment", *a.Hall))
	case !known.Service(*a.Service):
		return unusable("service", fmt.Sprintf("%q is none that the manifest names", *a.Service))
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

func textProblem(s *string) string {
	switch {
	case s == nil:
		return "it is missing"
	case strings.TrimSpace(*s) == "":
		return "it is empty"
	}
	return ""
}

// rangeProblem says how a number is outside its bounds; one that may be missing is in.
func rangeProblem(n *int64, least, most int64, needed bool) string {
	switch {
	case n == nil && needed:
		return "it is missing"
	case n != nil && (*n < least || *n > most):
		return fmt.Sprintf("%d is not between %d and %d", *n, least, most)
	}
	return ""
}

func labelsProblem(labels []string) string {
	if labels == nil {
		return "they are missing"
	}
	for _, l := range labels {
		if l == "" {
			return "one is empty"
		}
	}
	return ""
}

func (c *Capacity) size() ledger.Size {
	return ledger.Size{Millicores: valueOrZero(c.Millicores), MemoryMB: valueOrZero(c.MemoryMB), Accelerators: valueOrZero(c.Accelerators)}
}

// JudgeRoom is the room that a worker says it has, if what it says can be used.
func JudgeRoom(c *Capacity) (ledger.Size, bool) {
	if capacityProblem(c) != "" {
		return ledger.Size{}, false
	}
	return c.size(), true
}

func capacityProblem(c *Capacity) string {
	if c == nil {
		return "it is missing"
	}
	for _, check := range []struct{ name, why string }{
		{"processors", rangeProblem(c.Millicores, 0, maxMillicores, true)}, // a room of nothing is a full worker
		{"memory", rangeProblem(c.MemoryMB, 0, maxMemoryMB, true)},
		{"accelerators", rangeProblem(c.Accelerators, 0, maxAccelerators, false)},
	} {
		if check.why != "" {
			return check.name + ": " + check.why
		}
	}
	return ""
}

// hostCharacters are what the name or number of a host may be made of.
const hostCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-:%"

// invalidAddress says that nothing can be called there.
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
